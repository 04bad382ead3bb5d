//! One connection, of a client or to an engine: its read buffer, its write queue and its close.
//!
//! Bytes to be written pass through [`frame`] into the write queue, which one task writes to the socket; bytes that
//! arrive collect in the read buffer. Both count towards sums that all connections share.

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
