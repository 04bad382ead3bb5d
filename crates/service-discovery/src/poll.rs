//! A poll of the name service, and the flow that it is sent from.

use crate::Milliseconds;
use std::net::SocketAddr;

/// A response that takes longer is not waited for. Services respond within 3 s, and a change that a poll could have reported
/// counts as propagated 1.5 s after it in any case.
pub const RESPONSE_TIMEOUT: Milliseconds = 5_000.0;

/// Identifies a flow within its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowId(pub u64);

/// A poll that was sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Poll {
    /// Counted from 1 in the order in which polls are sent.
    pub number: u64,
    /// The message id that its response repeats.
    pub id: u16,
    /// The flow that it was sent from.
    pub flow: FlowId,
    /// The address that it was sent to.
    pub to: SocketAddr,
    /// When it was sent.
    pub sent_at: Milliseconds,
}
