//! A gateway under test, with a fleet of engines and a virtual clock.

use crate::common::{engine, fleet, incoming, outcome, sends};
use starlingplank::decide::Balancer;
use starlingplank::interface::*;

/// A gateway in front of a fleet of engines. Its clock advances only when a test advances it.
pub(crate) struct TestGateway {
    pub balancer: Balancer,
    pub now: Milliseconds,
    /// The identifier of the next request.
    pub next: u64,
}

impl TestGateway {
    pub(crate) fn new(settings: Settings, engines: usize) -> Self {
        let mut balancer = Balancer::new(settings, 0.0).expect("settings are good");
        balancer.run_cycle(0.0, &[fleet(engines)], &mut Vec::new());
        Self { balancer, now: 0.0, next: 0 }
    }

    /// Runs a decision cycle at the current time. Returns its actions.
    pub(crate) fn run_cycle(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.run_cycle(self.now, events, &mut actions);
        actions
    }

    /// Receives a request of a class. Returns its identifier and the engine that it was sent to, `None` if it waits or was
    /// rejected.
    pub(crate) fn receive(&mut self, class: usize) -> (u64, Option<EngineId>) {
        let id = self.next;
        self.next += 1;
        let client_timeout = if class == 0 { 3_000.0 } else { 20_000.0 };
        let request = incoming(id, class, self.now + client_timeout);
        let actions = self.run_cycle(&[Event::Request(request)]);
        let send = sends(&actions).into_iter().find(|(sent, _)| *sent == id);
        (id, send.map(|(_, engine)| engine))
    }

    /// Advances the clock, with a decision cycle every 100 ms. Returns the requests that these cycles sent, with their engines.
    pub(crate) fn advance(&mut self, mut by: Milliseconds) -> Vec<(u64, EngineId)> {
        let mut sent = Vec::new();
        while by > 100.0 {
            (self.now, by) = (self.now + 100.0, by - 100.0);
            sent.extend(sends(&self.run_cycle(&[Event::Timer(0)])));
        }
        self.now += by;
        sent
    }

    /// Serves `rounds` rounds of `count` requests of class 0 that arrive together. Each request takes `duration`.
    pub(crate) fn serve_in_rounds(&mut self, rounds: usize, count: usize, duration: Milliseconds) {
        for _ in 0..rounds {
            let received: Vec<_> = (0..count).map(|_| self.receive(0)).collect();
            let mut sent: Vec<_> =
                received.into_iter().filter_map(|(id, engine)| Some((id, engine?))).collect();
            sent.extend(self.advance(duration));
            while let Some((id, engine)) = sent.pop() {
                let actions = self.run_cycle(&[outcome(id, 0, &engine, Outcome::Ok, duration)]);
                sent.extend(sends(&actions));
            }
        }
    }

    /// Serves `count` requests of a class one after another. Each takes `duration`.
    pub(crate) fn serve(&mut self, count: usize, class: usize, duration: Milliseconds) {
        for _ in 0..count {
            let (id, engine) = self.receive(class);
            self.advance(duration);
            if let Some(engine) = engine {
                self.run_cycle(&[outcome(id, 0, &engine, Outcome::Ok, duration)]);
            }
        }
    }
}

/// Delivers a load report of an engine with all cores in use and `inflight` queries in flight.
pub(crate) fn report_busy(gateway: &mut TestGateway, engine_number: usize, inflight: f64) {
    let report = LoadReport { util: Some(1.0), inflight: Some(inflight), ..LoadReport::default() };
    gateway.run_cycle(&[Event::HealthChecked {
        engine: engine(engine_number),
        ok: true,
        elapsed: 1.0,
        report: Some(report),
    }]);
}

/// Runs a decision cycle whenever a timer of the gateway expires, up to the time `until`. Appends the actions with their times.
pub(crate) fn run_timers(
    gateway: &mut TestGateway,
    until: Milliseconds,
    actions: &mut Vec<(Milliseconds, Action)>,
) {
    while gateway.now < until {
        let next_timer = actions.iter().rev().find_map(|(at, action)| match action {
            Action::Timer { after, .. } => Some(at + after),
            _ => None,
        });
        gateway.now = next_timer.unwrap_or(until).clamp(gateway.now + 1.0, until);
        let now = gateway.now;
        actions.extend(gateway.run_cycle(&[Event::Timer(0)]).into_iter().map(|action| (now, action)));
    }
}
