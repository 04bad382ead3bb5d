//! Client-facing side of the gateway: reads requests from clients and writes the final answers back.
//!
//! [`FrontendState`] is shared by all client protocols: it submits requests to the reducer and passes answers to the
//! response writers. Each client has a [`ClientConnection`], served by [`thrift`] or [`clickhouse`]. [`rules`] assigns
//! statements to classes.

pub mod clickhouse;
mod client_connection;
mod close_reason;
mod requests;
pub mod rules;
mod shutdown_phase;
mod state;
pub mod thrift;

pub use client_connection::{ClientConnection, Evictable, EvictableKind, ReadOutcome};
pub use close_reason::{CloseCounters, CloseReason};
pub use requests::{ReceivedRequest, ResponseWriter};
pub use shutdown_phase::ShutdownPhase;
pub use state::{FrontendState, ListenerGuard};
