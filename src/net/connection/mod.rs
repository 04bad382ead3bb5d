//! Parts of a connection, of a client or to an engine: read buffer, write queue and orderly close.
//!
//! Outgoing messages are [`frame::Frame`]s in the write queue, which one task writes to the socket; incoming bytes are
//! collected in the read buffer. Both are counted in the number of buffered bytes that all connections share.

mod close;
pub mod frame;
mod read_barrier;
mod read_buffer;
mod shared_state;
mod socket_retry;
mod write_queue;

pub use close::close_orderly;
pub use read_barrier::ReadBarrier;
pub use read_buffer::ReadBuffer;
pub use shared_state::SharedState;
pub use socket_retry::SocketRetry;
pub use write_queue::{CloseMode, WriteQueue};
