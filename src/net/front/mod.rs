//! Fronts: they read requests from clients, and write final answers back to them.
//!
//! [`FrontendState`] is what all fronts share: requests are submitted to it and answers are handed out by it. Each client
//! has a [`ClientConnection`], which [`thrift`] or [`clickhouse`] serves. [`rules`] assigns statements to classes.

pub mod clickhouse;
mod client_connection;
mod requests;
pub mod rules;
mod shutdown_phase;
mod state;
pub mod thrift;

pub use client_connection::ClientConnection;
pub use requests::{ReceivedRequest, ResponseWriter};
pub use shutdown_phase::ShutdownPhase;
pub use state::{FrontendState, ListenerGuard};
