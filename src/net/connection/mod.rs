//! Parts of a connection, of a client or to an engine: read buffer, write queue and orderly close.
//!
//! Outgoing messages are [`frame::Frame`]s in the write queue, which one task writes to the socket; incoming bytes are
//! collected in the read buffer. Messages of clients and answers to them are counted separately, each within its own limit,
//! so that clients that do not complete their messages cannot take the memory for the answers to others.

mod close;
mod discard_buffer;
mod fair_share;
pub mod frame;
mod incoming_memory;
mod outgoing_memory;
mod peer_close;
mod read_barrier;
mod read_buffer;
mod read_progress;
mod shared_state;
mod socket_retry;
mod write_queue;

pub use close::close_orderly;
pub use fair_share::{FairScheduler, WorkShare};
pub use incoming_memory::{AwaitedBytes, MessageMemory};
pub use outgoing_memory::ResultMemory;
pub use peer_close::{closed_by_peer, is_closed_by_peer};
pub use read_barrier::ReadBarrier;
pub use read_buffer::ReadBuffer;
pub use read_progress::ReadProgress;
pub use shared_state::SharedState;
pub use socket_retry::SocketRetry;
pub use write_queue::{CloseMode, WriteOverflow, WriteQueue};
