//! A poll of the name service, and the id of the flow that it is sent from.

use crate::Milliseconds;
use std::net::SocketAddr;

/// The time in ms after which a poll without a response expires. Services respond within 3 s, and a change that a poll could
/// have reported counts as propagated 1.5 s after the poll in any case.
pub const RESPONSE_TIMEOUT: Milliseconds = 5_000.0;

/// Identifies a flow within its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowId(pub u64);

/// A poll that was sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Poll {
    /// The poll's sequence number: polls are numbered from 1 in the order in which they are sent.
    pub number: u64,
    /// The message id, which the response repeats.
    pub id: u16,
    /// The flow that the poll was sent from.
    pub flow: FlowId,
    /// The address that the poll was sent to.
    pub to: SocketAddr,
    /// The time at which the poll was sent.
    pub sent_at: Milliseconds,
}
