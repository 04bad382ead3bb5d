//! The test harness: a gateway and a name service in virtual time.

use super::*;
use crate::flows::MAX_FLOWS;
use std::ops::Range;

pub(super) const GRACE: Milliseconds = 1_000.0;
/// The resolution of the virtual time in ms.
pub(super) const STEP: Milliseconds = 10.0;

/// Returns the address of the service at this port.
pub(super) fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A response that was sent and that the gateway has not received yet.
struct ResponseInTransit {
    due_at: Milliseconds,
    response: Response,
    from: SocketAddr,
    flow: FlowId,
}

/// A response that the gateway has received and classified.
pub(super) struct Received {
    pub(super) at: Milliseconds,
    pub(super) classified: ClassifiedResponse,
}

/// A gateway and a name service in virtual time.
pub(super) struct Harness {
    pub(super) discovery: Discovery,
    pub(super) now: Milliseconds,
    /// Whether new flows can be opened.
    pub(super) can_open_flows: bool,
    /// The time at which each flow was opened.
    opened_at: Vec<Milliseconds>,
    in_transit: Vec<ResponseInTransit>,
    pub(super) polls: Vec<Poll>,
    pub(super) received: Vec<Received>,
    /// The maximum number of flows that were open at the same time.
    pub(super) max_open_flows: usize,
    open_flows: usize,
    /// The period in which the process is paused.
    pub(super) pause: Range<Milliseconds>,
}

impl Harness {
    /// Creates a gateway that starts at time 0 and polls at the steady interval.
    pub(super) fn new(gateways: usize, seed: u64) -> Self {
        let schedule = poll_schedule::PollConfig {
            gateways,
            gateway_index: Some(0),
            max_interval: poll_schedule::STEADY_INTERVAL,
        };
        Self {
            discovery: Discovery::new(&config(schedule, seed, 1), 0.0),
            now: 0.0,
            can_open_flows: true,
            opened_at: Vec::new(),
            in_transit: Vec::new(),
            polls: Vec::new(),
            received: Vec::new(),
            max_open_flows: 0,
            open_flows: 0,
            pause: 0.0..0.0,
        }
    }

    /// Runs the simulation until the given time. `respond` returns the delay and the version of the response to a poll, or `None` if
    /// there is no response.
    pub(super) fn run_until(
        &mut self,
        until: Milliseconds,
        respond: impl Fn(&Harness, &Poll) -> Option<(Milliseconds, u64)>,
    ) {
        while self.now < until {
            if !self.pause.contains(&self.now) {
                self.receive_due();
                if self.discovery.next_poll_at().is_some_and(|due| due <= self.now) {
                    self.poll(&respond);
                }
            }
            self.now += STEP;
        }
    }

    fn receive_due(&mut self) {
        let in_transit = std::mem::take(&mut self.in_transit).into_iter();
        let (due, later) = in_transit.partition(|sent| sent.due_at <= self.now);
        self.in_transit = later;
        let due: Vec<ResponseInTransit> = due;
        for sent in due {
            let classified = self.discovery.receive(sent.response, sent.from, sent.flow, self.now);
            self.received.push(Received { at: self.now, classified });
        }
    }

    fn poll(&mut self, respond: &impl Fn(&Harness, &Poll) -> Option<(Milliseconds, u64)>) {
        if self.discovery.needs_new_flow(self.now) && self.can_open_flows {
            self.discovery.open_flow(self.now);
            self.opened_at.push(self.now);
            self.open_flows += 1;
        }
        self.open_flows -= self.discovery.close_flows(self.now).len();
        self.max_open_flows = self.max_open_flows.max(self.open_flows);
        let Some(poll) = self.discovery.start_poll(self.now) else { return };
        self.polls.push(poll);
        let Some((delay, version)) = respond(self, &poll) else { return };
        let response = Response::List { id: poll.id, version };
        self.in_transit.push(ResponseInTransit {
            due_at: self.now + delay,
            response,
            from: poll.to,
            flow: poll.flow,
        });
    }

    /// Returns the time at which the flow of a poll was opened.
    pub(super) fn opened_at(&self, poll: &Poll) -> Milliseconds {
        self.opened_at[poll.flow.0 as usize - 1]
    }

    /// Returns the time at which the first update of the list was received.
    pub(super) fn first_update_at(&self) -> Option<Milliseconds> {
        let update = self.received.iter().find(|received| received.classified.kind == ResponseKind::Update);
        update.map(|received| received.at)
    }

    /// Returns the current version of the service's list: 1 before `change`, and 2 from then on.
    pub(super) fn version(&self, change: Milliseconds) -> u64 {
        1 + u64::from(self.now >= change)
    }

    /// Returns the longest time between two consecutive polls.
    pub(super) fn longest_gap(&self) -> Milliseconds {
        self.polls.windows(2).map(|pair| pair[1].sent_at - pair[0].sent_at).fold(0.0, f64::max)
    }
}

/// Returns the configuration of a gateway that starts with this version of the list.
pub(super) fn config(schedule: poll_schedule::PollConfig, seed: u64, known_version: u64) -> DiscoveryConfig {
    DiscoveryConfig {
        schedule,
        seed,
        known_version,
        drain_grace: GRACE,
        max_flows: MAX_FLOWS,
        address: Some(address(1)),
    }
}

/// Asserts that the first update of the list was received within `within` ms from the time `from`.
#[track_caller]
pub(super) fn assert_received_within(harness: &Harness, from: Milliseconds, within: Milliseconds) {
    let received = harness.first_update_at().map(|at| at - from);
    assert!(
        received.is_some_and(|delay| delay <= within),
        "update received after {received:?} ms, allowed are {within} ms"
    );
}
