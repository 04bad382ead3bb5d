//! The flows that polls are sent from, one socket each.
//!
//! A flow may stop to work for good while the service is healthy. A poll without a response for some time therefore causes
//! the next one to be sent from a new flow. A flow stays open until its last poll can get no response any more.

use crate::outstanding_polls::OutstandingPolls;
use crate::poll::{FlowId, Poll, RESPONSE_TIMEOUT};
use crate::Milliseconds;

/// A flow on which no response has confirmed the list for so long is replaced by a new one: three polls at the steady
/// interval. Where the interval is longer, each unanswered poll is followed by one from a new flow.
pub const RENEW_AFTER: Milliseconds = 600.0;
/// The number of flows where there are descriptors for them. With a new one every [`RENEW_AFTER`] the oldest is closed as its
/// last poll expires.
pub const MAX_FLOWS: usize = 8;

#[derive(Debug)]
struct Flow {
    id: FlowId,
    /// When the last poll was sent from it.
    last_poll_at: Milliseconds,
    /// When the first poll was sent that no response has confirmed since; negative infinity where the flow has failed.
    unconfirmed_since: Option<Milliseconds>,
}

/// The open flows of a process; polls are sent from the last one.
#[derive(Debug)]
pub struct Flows {
    flows: Vec<Flow>,
    opened: u64,
    max_flows: usize,
}

impl Flows {
    /// Without an open flow; of `max_flows`, at least one is allowed.
    pub fn new(max_flows: usize) -> Self {
        Self { flows: Vec::new(), opened: 0, max_flows: max_flows.max(1) }
    }

    /// The flow that the next poll is sent from.
    pub fn current(&self) -> Option<FlowId> {
        self.flows.last().map(|flow| flow.id)
    }

    /// Whether the next poll should be sent from a new flow.
    pub fn needs_renewal(&self, now: Milliseconds) -> bool {
        let is_silent = |since: Milliseconds| now - since >= RENEW_AFTER;
        self.flows.last().is_none_or(|flow| flow.unconfirmed_since.is_some_and(is_silent))
    }

    /// Adds a flow that was opened.
    pub fn open(&mut self, now: Milliseconds) -> FlowId {
        self.opened += 1;
        let id = FlowId(self.opened);
        self.flows.push(Flow { id, last_poll_at: now, unconfirmed_since: None });
        id
    }

    /// Notes a poll that was sent from its flow.
    pub fn poll_sent(&mut self, poll: &Poll) {
        if let Some(flow) = self.find(poll.flow) {
            flow.last_poll_at = poll.sent_at;
            flow.unconfirmed_since.get_or_insert(poll.sent_at);
        }
    }

    /// Notes a response to a poll that confirms the list, or holds a newer one.
    pub fn confirm(&mut self, poll: &Poll, outstanding: &OutstandingPolls) {
        if let Some(flow) = self.find(poll.flow) {
            flow.unconfirmed_since = outstanding.first_after(poll.number, poll.flow);
        }
    }

    /// Notes that a flow has failed: it is replaced with the next poll.
    pub fn fail(&mut self, id: FlowId) {
        if let Some(flow) = self.find(id) {
            flow.unconfirmed_since = Some(f64::NEG_INFINITY);
        }
    }

    /// Removes and returns the flows that are to be closed: those whose polls have all expired, and the oldest ones above the
    /// maximum. The current flow stays.
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
