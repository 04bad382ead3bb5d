//! The flows that polls are sent from. Each flow is a UDP socket of its own.
//!
//! A flow may stop working permanently while the service is healthy. If a poll receives no response for some time, the next one
//! is therefore sent from a new flow. A flow stays open until its last poll has expired.

use crate::outstanding_polls::OutstandingPolls;
use crate::poll::{FlowId, Poll, RESPONSE_TIMEOUT};
use crate::Milliseconds;

/// The time in ms without a response that confirms the list after which a flow is replaced by a new one: three polls at the
/// steady interval. If the interval is longer than this, each unanswered poll is followed by one from a new flow.
pub const RENEW_AFTER: Milliseconds = 600.0;
/// Maximum number of open flows, if enough file descriptors are available. With a new flow every [`RENEW_AFTER`], the oldest one
/// is closed at about the time at which its last poll expires.
pub const MAX_FLOWS: usize = 8;

#[derive(Debug)]
struct Flow {
    id: FlowId,
    /// The time at which the last poll was sent from the flow.
    last_poll_at: Milliseconds,
    /// The time at which the first poll was sent since which no response has confirmed the list; negative infinity if the flow has
    /// failed.
    unconfirmed_since: Option<Milliseconds>,
}

/// The open flows of a process. Polls are sent from the one that was opened last.
#[derive(Debug)]
pub struct Flows {
    flows: Vec<Flow>,
    opened: u64,
    max_flows: usize,
}

impl Flows {
    /// Creates the state without an open flow. Up to `max_flows` flows are allowed, and always at least one.
    pub fn new(max_flows: usize) -> Self {
        Self { flows: Vec::new(), opened: 0, max_flows: max_flows.max(1) }
    }

    /// Returns the flow that the next poll is sent from.
    pub fn current(&self) -> Option<FlowId> {
        self.flows.last().map(|flow| flow.id)
    }

    /// Returns whether the next poll should be sent from a new flow.
    pub fn needs_renewal(&self, now: Milliseconds) -> bool {
        let is_silent = |since: Milliseconds| now - since >= RENEW_AFTER;
        self.flows.last().is_none_or(|flow| flow.unconfirmed_since.is_some_and(is_silent))
    }

    /// Adds a newly opened flow, and returns its id.
    pub fn open(&mut self, now: Milliseconds) -> FlowId {
        self.opened += 1;
        let id = FlowId(self.opened);
        self.flows.push(Flow { id, last_poll_at: now, unconfirmed_since: None });
        id
    }

    /// Records a sent poll for the flow that it was sent from.
    pub fn poll_sent(&mut self, poll: &Poll) {
        if let Some(flow) = self.find(poll.flow) {
            flow.last_poll_at = poll.sent_at;
            flow.unconfirmed_since.get_or_insert(poll.sent_at);
        }
    }

    /// Records a response to a poll that confirms the list or contains a newer one.
    pub fn confirm(&mut self, poll: &Poll, outstanding: &OutstandingPolls) {
        if let Some(flow) = self.find(poll.flow) {
            flow.unconfirmed_since = outstanding.first_after(poll.number, poll.flow);
        }
    }

    /// Records that a flow has failed. The flow is replaced when the next poll is sent.
    pub fn fail(&mut self, id: FlowId) {
        if let Some(flow) = self.find(id) {
            flow.unconfirmed_since = Some(f64::NEG_INFINITY);
        }
    }

    /// Removes and returns the flows that must be closed: those whose polls have all expired, and the oldest ones in excess of the
    /// maximum. The current flow stays open.
    pub fn close(&mut self, now: Milliseconds) -> Vec<FlowId> {
        let current = self.current();
        let above_maximum = self.flows.len().saturating_sub(self.max_flows);
        let flows = std::mem::take(&mut self.flows).into_iter().enumerate();
        let (open, closed): (Vec<_>, Vec<_>) = flows.partition(|(position, flow)| {
            let is_expired = now - flow.last_poll_at > RESPONSE_TIMEOUT;
            current == Some(flow.id) || (*position >= above_maximum && !is_expired)
        });
        self.flows = open.into_iter().map(|(_, flow)| flow).collect();
        closed.into_iter().map(|(_, flow)| flow.id).collect()
    }

    fn find(&mut self, id: FlowId) -> Option<&mut Flow> {
        self.flows.iter_mut().find(|flow| flow.id == id)
    }
}

#[cfg(test)]
mod tests;
