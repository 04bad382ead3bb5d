//! The state machine of service discovery in one process. It determines the time, flow and address of the next poll, classifies
//! each response, and computes the end of the lease on the list.
//!
//! After a change of the service's address the next poll is sent to the new address, while responses to outstanding polls are
//! still accepted. The failure of a flow does not affect polls that were sent from others.

use crate::age::{Freshness, ListAge};
use crate::flows::Flows;
use crate::outstanding_polls::OutstandingPolls;
use crate::poll::{FlowId, Poll};
use crate::responses::{PollCounts, ResponseKind};
use crate::versions::Versions;
use crate::Milliseconds;
use starlingplank_pacing::poll_schedule::{self, PollSchedule};
use std::net::SocketAddr;

/// The delay of a poll in ms above which the process must have been paused: at the steady interval another poll would have been
/// due meanwhile.
const MAX_POLL_DELAY: Milliseconds = poll_schedule::STEADY_INTERVAL;

/// The configuration of service discovery, and the state that a process starts with.
#[derive(Debug, Clone, Copy)]
pub struct DiscoveryConfig {
    /// The configuration of the poll schedule.
    pub schedule: poll_schedule::PollConfig,
    /// The seed of the random number generators.
    pub seed: u64,
    /// The version of the list that the process starts with.
    pub known_version: u64,
    /// The time for which new work may be sent to an engine after the notification that the engine is draining; 0 for no limit.
    pub drain_grace: Milliseconds,
    /// Maximum number of open flows.
    pub max_flows: usize,
    /// The address of the service; `None` without a service.
    pub address: Option<SocketAddr>,
}

/// The content of a received datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Response {
    /// A list of engines.
    List {
        /// The message id of the poll.
        id: u16,
        /// The version of the list.
        version: u64,
    },
    /// A message that cannot be parsed, or that reports a failure.
    Malformed,
    /// A message whose truncation flag is set.
    Truncated,
}

/// The classification of a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassifiedResponse {
    /// The kind of the response.
    pub kind: ResponseKind,
    /// Whether the list replaces the one in use although its version is lower: the service was relocated, and the list in use is
    /// from a previous address.
    pub supersedes: bool,
    /// The time since the poll was sent; `None` for a response that belongs to no poll.
    pub round_trip: Option<Milliseconds>,
}

impl ClassifiedResponse {
    fn of(kind: ResponseKind) -> Self {
        Self { kind, supersedes: false, round_trip: None }
    }
}

/// The state of service discovery in one process.
#[derive(Debug)]
pub struct Discovery {
    address: Option<SocketAddr>,
    schedule: PollSchedule,
    outstanding: OutstandingPolls,
    flows: Flows,
    versions: Versions,
    age: ListAge,
    counts: PollCounts,
    drain_grace: Milliseconds,
    /// Lists with a lower version are not recorded as responses in the poll schedule.
    min_version: u64,
    /// Whether a list has been recorded as a response in the poll schedule.
    has_received: bool,
    rng: fastrand::Rng,
}

impl Discovery {
    /// Creates the state of a process that starts now.
    pub fn new(config: &DiscoveryConfig, now: Milliseconds) -> Self {
        // At the steady interval outdated lists are common, and a process that has just started must not back off because the
        // first responses contain them.
        let ignores_outdated = config.schedule.max_interval > poll_schedule::STEADY_INTERVAL;
        Self {
            address: config.address,
            schedule: PollSchedule::new(config.schedule, config.seed, now),
            outstanding: OutstandingPolls::default(),
            flows: Flows::new(config.max_flows),
            versions: Versions::new(config.known_version),
            age: ListAge::new(now, config.schedule.max_interval),
            counts: PollCounts::default(),
            drain_grace: config.drain_grace,
            min_version: if ignores_outdated { config.known_version } else { 0 },
            has_received: false,
            rng: fastrand::Rng::with_seed(config.seed),
        }
    }

    /// Returns the time at which the next poll is due; `None` without a service.
    pub fn next_poll_at(&self) -> Option<Milliseconds> {
        self.address.map(|_| self.schedule.next_poll_at())
    }

    /// Changes the service's address. An unchanged address has no effect.
    pub fn relocate(&mut self, address: Option<SocketAddr>, now: Milliseconds) {
        self.relocate_since(address, now, now);
    }

    /// Changes the service's address. `changed_at` is the earliest time at which the process may have been notified of the change:
    /// it may have been paused since.
    pub fn relocate_since(
        &mut self,
        address: Option<SocketAddr>,
        changed_at: Milliseconds,
        now: Milliseconds,
    ) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.versions.relocate();
        self.age.relocate(changed_at);
        self.schedule.service_relocated(now);
    }

    /// Returns whether the next poll should be sent from a new flow.
    pub fn needs_new_flow(&self, now: Milliseconds) -> bool {
        self.flows.needs_renewal(now)
    }

    /// Adds a newly opened flow, from which the next polls are sent, and returns its id.
    pub fn open_flow(&mut self, now: Milliseconds) -> FlowId {
        self.flows.open(now)
    }

    /// Records that a flow has failed. The next poll is sent from a new one.
    pub fn fail_flow(&mut self, id: FlowId) {
        self.flows.fail(id);
    }

    /// Removes and returns the flows that must be closed now.
    pub fn close_flows(&mut self, now: Milliseconds) -> Vec<FlowId> {
        self.flows.close(now)
    }

    /// Records that a poll is sent now, and returns it; `None` without a service or a flow.
    pub fn start_poll(&mut self, now: Milliseconds) -> Option<Poll> {
        let (to, flow) = (self.address?, self.flows.current()?);
        let rng = &mut self.rng;
        let poll = self.outstanding.add(flow, to, now, || rng.u16(..));
        self.flows.poll_sent(&poll);
        let delay = now - self.schedule.next_poll_at();
        self.schedule.poll_sent(now);
        if delay > MAX_POLL_DELAY {
            self.age.late_poll_sent(now);
        } else {
            self.age.poll_sent(now);
        }
        self.counts.count_poll();
        Some(poll)
    }

    /// Handles a response that was received on a flow, and classifies it.
    pub fn receive(
        &mut self,
        response: Response,
        from: SocketAddr,
        flow: FlowId,
        now: Milliseconds,
    ) -> ClassifiedResponse {
        let classified = match response {
            Response::List { id, version } => self.receive_list(id, version, from, flow, now),
            Response::Malformed => ClassifiedResponse::of(ResponseKind::Malformed),
            Response::Truncated => ClassifiedResponse::of(ResponseKind::Truncated),
        };
        self.counts.count_response(classified.kind);
        if classified.kind.is_invalid() && self.is_polled(from) {
            self.age.receive_invalid(now);
        }
        classified
    }

    fn is_polled(&self, address: SocketAddr) -> bool {
        self.address == Some(address) || self.outstanding.any_to(address)
    }

    fn receive_list(
        &mut self,
        id: u16,
        version: u64,
        from: SocketAddr,
        flow: FlowId,
        now: Milliseconds,
    ) -> ClassifiedResponse {
        let Some(poll) = self.outstanding.complete(id, from, flow, now) else {
            return ClassifiedResponse::of(ResponseKind::Unsolicited);
        };
        let in_use = self.versions.newest();
        let kind = match self.address == Some(from) {
            true => self.versions.receive_from_current(version),
            false => self.versions.receive_from_previous(version),
        };
        let supersedes = kind.confirms() && version < in_use;
        if kind.confirms() {
            self.flows.confirm(&poll, &self.outstanding);
            self.age.confirm(poll.sent_at, self.outstanding.last_number() - poll.number);
        }
        if kind != ResponseKind::PreviousAddress {
            self.update_schedule(version, supersedes, now);
        }
        ClassifiedResponse { kind, supersedes, round_trip: Some(now - poll.sent_at) }
    }

    fn update_schedule(&mut self, version: u64, supersedes: bool, now: Milliseconds) {
        if version < self.min_version && !supersedes {
            return;
        }
        self.schedule.response_received(now);
        // The list that a process starts with is usually older than the service's, so the first response does not count as a
        // change.
        if self.has_received && version > self.min_version {
            self.schedule.list_changed(now);
        }
        (self.min_version, self.has_received) = (version, true);
    }

    /// Returns the end of the lease on the list; infinite without a service or without a limit on new work to draining engines.
    pub fn lease_end(&self) -> Milliseconds {
        if self.address.is_none() || self.drain_grace <= 0.0 {
            return f64::INFINITY;
        }
        self.age.lease_end(self.drain_grace)
    }

    /// Returns the time since the list was last known to be valid.
    pub fn age(&self, now: Milliseconds) -> Milliseconds {
        self.age.age(now)
    }

    /// Returns the freshness of the list if it has changed since the last call; `None` without a service.
    pub fn freshness_change(&mut self, now: Milliseconds) -> Option<Freshness> {
        self.address.and_then(|_| self.age.freshness_change(now))
    }

    /// Returns the counts of polls and responses since the start of the process.
    pub fn counts(&self) -> &PollCounts {
        &self.counts
    }
}

#[cfg(test)]
mod tests;
