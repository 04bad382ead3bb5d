//! Service discovery of one process, as a state machine: when the next poll is sent, from which flow and to which address, how
//! each response counts, and until when the list may be relied on.
//!
//! A change of the service's address is an input among others: the next poll goes to the present address, while responses to
//! outstanding polls are still awaited. A flow that fails does not affect the polls of another one.

use crate::age::{Freshness, ListAge};
use crate::flows::Flows;
use crate::outstanding_polls::OutstandingPolls;
use crate::poll::{FlowId, Poll};
use crate::responses::{PollCounts, ResponseKind};
use crate::versions::Versions;
use crate::Milliseconds;
use starlingplank_pacing::poll_schedule::{self, PollSchedule};
use std::net::SocketAddr;

/// A poll that is sent later than this after it was due shows a pause of the process: at the steady interval another one would have
/// been sent meanwhile.
const MAX_POLL_DELAY: Milliseconds = poll_schedule::STEADY_INTERVAL;

/// The configuration of service discovery, and what a process knows at its start.
#[derive(Debug, Clone, Copy)]
pub struct DiscoveryConfig {
    /// When polls are sent.
    pub schedule: poll_schedule::PollConfig,
    /// The seed of random draws.
    pub seed: u64,
    /// The version of the list that the process begins with.
    pub known_version: u64,
    /// How long new work may be sent to an engine after the notification that it drains; 0 where no rule limits that.
    pub drain_grace: Milliseconds,
    /// The number of flows that may be open.
    pub max_flows: usize,
    /// The address of the service; none where there is no service.
    pub address: Option<SocketAddr>,
}

/// The content of a datagram that was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Response {
    /// A list.
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

/// How a response counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassifiedResponse {
    /// Its kind.
    pub kind: ResponseKind,
    /// Its list replaces the one in use though its version is lower: the service was relocated, and the list in use is from a
    /// previous address.
    pub supersedes: bool,
    /// The time since its poll was sent; none for a response that belongs to no poll.
    pub round_trip: Option<Milliseconds>,
}

impl ClassifiedResponse {
    fn of(kind: ResponseKind) -> Self {
        Self { kind, supersedes: false, round_trip: None }
    }
}

/// Service discovery of one process.
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
    /// Lists with a lower version are no responses to the schedule.
    min_version: u64,
    /// Whether a list was received that counts for the schedule.
    has_received: bool,
    rng: fastrand::Rng,
}

impl Discovery {
    /// A process that starts now.
    pub fn new(config: &DiscoveryConfig, now: Milliseconds) -> Self {
        // At the steady interval outdated lists are usual, and a process that has just started must not back off because of
        // the first of them.
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

    /// When the next poll is due; none without a service.
    pub fn next_poll_at(&self) -> Option<Milliseconds> {
        self.address.map(|_| self.schedule.next_poll_at())
    }

    /// Changes the service's address. An unchanged address has no effect.
    pub fn relocate(&mut self, address: Option<SocketAddr>, now: Milliseconds) {
        self.relocate_since(address, now, now);
    }

    /// Changes the service's address, which the process was told at `changed_at` at the earliest: it may have been paused since.
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

    /// Whether the next poll should be sent from a new flow.
    pub fn needs_new_flow(&self, now: Milliseconds) -> bool {
        self.flows.needs_renewal(now)
    }

    /// Adds a flow that was opened: the next polls are sent from it.
    pub fn open_flow(&mut self, now: Milliseconds) -> FlowId {
        self.flows.open(now)
    }

    /// Notes that a flow has failed: the next poll is sent from a new one.
    pub fn fail_flow(&mut self, id: FlowId) {
        self.flows.fail(id);
    }

    /// Removes and returns the flows that are to be closed now.
    pub fn close_flows(&mut self, now: Milliseconds) -> Vec<FlowId> {
        self.flows.close(now)
    }

    /// The poll that is sent now; none without a service or a flow.
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

    /// Handles a response that was received on a flow.
    pub fn receive(
        &mut self,
        response: Response,
        from: SocketAddr,
        flow: FlowId,
        now: Milliseconds,
    ) -> ClassifiedResponse {
        let verdict = match response {
            Response::List { id, version } => self.receive_list(id, version, from, flow, now),
            Response::Malformed => ClassifiedResponse::of(ResponseKind::Malformed),
            Response::Truncated => ClassifiedResponse::of(ResponseKind::Truncated),
        };
        self.counts.count_response(verdict.kind);
        if verdict.kind.is_invalid() && self.is_polled(from) {
            self.age.receive_invalid(now);
        }
        verdict
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
            true => self.versions.receive_from_present(version),
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
        // The list that a process begins with is usually older than the service's: the first response is no change.
        if self.has_received && version > self.min_version {
            self.schedule.list_changed(now);
        }
        (self.min_version, self.has_received) = (version, true);
    }

    /// The end of the lease on the list; infinite without a service or a rule on drains.
    pub fn lease_end(&self) -> Milliseconds {
        if self.address.is_none() || self.drain_grace <= 0.0 {
            return f64::INFINITY;
        }
        self.age.lease_end(self.drain_grace)
    }

    /// The time since the list was last known to be valid.
    pub fn age(&self, now: Milliseconds) -> Milliseconds {
        self.age.age(now)
    }

    /// The freshness of the list, if it has changed since the last call; none without a service.
    pub fn freshness_change(&mut self, now: Milliseconds) -> Option<Freshness> {
        self.address.and_then(|_| self.age.freshness_change(now))
    }

    /// Counts since the start of the process.
    pub fn counts(&self) -> &PollCounts {
        &self.counts
    }
}

#[cfg(test)]
mod tests;
