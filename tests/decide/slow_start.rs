//! Engines in slow start, and the budget of work that all gateways together may send to one.

use crate::common::{engine, incoming, member, outcome, sends, settings as default_settings};
use crate::harness::TestGateway;
use starlingplank::interface::*;

#[test]
fn engine_in_slow_start_gets_its_budget_and_no_burst_of_long_queries() {
    let mut settings = default_settings();
    settings.gateways = 4;
    let mut gateway = TestGateway::new(settings, 0);
    let mut starting = member(0);
    starting.started = Some(0.0);
    gateway.run_cycle(&[Event::EndpointListReceived { complete: true, members: vec![starting] }]);
    let long = (0..10).filter(|_| gateway.receive(1).1.is_some()).count();
    // The share is 3 x 0.3 x 8 cores x 2 s x 0.8 / 4 gateways = 2.9 s of work. A long query is estimated at 4.8 s of work
    // before any has been answered.
    assert_eq!(long, 0);
    let short = (0..60).filter(|_| gateway.receive(0).1.is_some()).count();
    assert!((1..=15).contains(&short), "{short} of 60 short queries sent at once");
}

const GATEWAYS: usize = 300;
/// Number of engines. The first one is in slow start.
const ENGINES: usize = 12;
/// Round in which two thirds of the gateways restart.
const RESTART_ROUND: usize = 30;
/// First round after a pause of all gateways.
const ROUND_AFTER_PAUSE: usize = 60;

/// A query that was sent to the engine in slow start.
struct SentWork {
    at: Milliseconds,
    work: Milliseconds,
}

/// Hundreds of gateways in front of a fleet with one engine in slow start.
struct StartingFleet {
    settings: Settings,
    /// The class of all requests.
    class: usize,
    /// The work of each request.
    expected_work: Milliseconds,
    /// The load report of engines that are not in slow start, `None` if engines send no reports.
    reported: Option<LoadReport>,
    members: Vec<Member>,
    gateways: Vec<TestGateway>,
    /// The requests that each gateway sent in its last cycle, with their engines. They are answered in its next cycle.
    in_flight: Vec<Vec<(u64, EngineId)>>,
    sent_to_starting: Vec<SentWork>,
}

impl StartingFleet {
    fn new(class: usize, expected_work: Milliseconds, reported: Option<LoadReport>) -> Self {
        let settings = default_settings();
        let mut starting = member(0);
        starting.started = Some(0.0);
        Self {
            class,
            expected_work,
            reported,
            members: std::iter::once(starting).chain((1..ENGINES).map(member)).collect(),
            gateways: (0..GATEWAYS as u64).map(|seed| start_gateway(&settings, seed)).collect(),
            settings,
            in_flight: vec![Vec::new(); GATEWAYS],
            sent_to_starting: Vec::new(),
        }
    }

    fn run(&mut self) {
        let mut times: Vec<Milliseconds> = (0..ROUND_AFTER_PAUSE).map(|round| round as f64 * 100.0).collect();
        times.extend((0..40).map(|round| 8_000.0 + f64::from(round) * 100.0));
        for (round, now) in times.into_iter().enumerate() {
            for index in 0..GATEWAYS {
                self.step(index, round, now);
            }
        }
    }

    fn step(&mut self, index: usize, round: usize, now: Milliseconds) {
        let restarts = round == RESTART_ROUND && !index.is_multiple_of(3);
        if restarts {
            self.gateways[index] = start_gateway(&self.settings, 1_000 + index as u64);
        }
        self.gateways[index].now = now;
        let mut events = vec![Event::Timer(0)];
        if round == 0 || restarts {
            events.push(Event::EndpointListReceived { complete: true, members: self.members.clone() });
        }
        if let Some(reported) = self.reported {
            events.extend((1..ENGINES).map(|number| health_checked(number, reported)));
            let inflight = reported.inflight.map(|_| 0.0);
            events.push(health_checked(0, LoadReport { inflight, util: Some(0.0), ..reported }));
        }
        self.receive_requests(index, round, &mut events);
        let duration = self.expected_work / self.settings.classes[self.class].threads;
        let answered = std::mem::take(&mut self.in_flight[index]);
        events.extend(answered.iter().map(|(id, sent_to)| outcome(*id, 0, sent_to, Outcome::Ok, duration)));
        let sent = sends(&self.gateways[index].run_cycle(&events));
        for _ in sent.iter().filter(|(_, sent_to)| *sent_to == engine(0)) {
            self.sent_to_starting.push(SentWork { at: now, work: self.expected_work });
        }
        self.in_flight[index] = sent;
    }

    /// Adds the requests that arrive at a gateway in a round: about three a second, and six at once after the pause.
    fn receive_requests(&mut self, index: usize, round: usize, events: &mut Vec<Event>) {
        let gateway = &mut self.gateways[index];
        let count =
            if round == ROUND_AFTER_PAUSE { 6 } else { usize::from((round + index).is_multiple_of(3)) };
        for _ in 0..count {
            gateway.next += 1;
            events.push(Event::Request(incoming(gateway.next, self.class, gateway.now + 3_000.0)));
        }
    }

    fn check_budget(&self) {
        let Self { settings, class, reported, sent_to_starting: sent, .. } = self;
        for start in sent.iter().map(|sent| sent.at) {
            let end = start + settings.overload_collapse_after;
            let span = sent.iter().filter(|sent| sent.at >= start && sent.at < end);
            let work: f64 = span.map(|sent| sent.work).sum();
            let capacity_share = settings.slow_start_initial_share
                + (1.0 - settings.slow_start_initial_share) * start / settings.slow_start_duration;
            let budget =
                settings.overload_collapse_multiple * capacity_share * 8.0 * settings.overload_collapse_after;
            assert!(work <= budget, "{work} ms of work exceed the budget of {budget} ms from {start}: class {class}, {reported:?}");
        }
        // A few long queries fill the budget, so by chance none of them may be sent.
        assert!(
            *class > 0 || sent.len() > 10,
            "only {} queries were sent to the engine in slow start",
            sent.len()
        );
    }
}

fn start_gateway(settings: &Settings, seed: u64) -> TestGateway {
    TestGateway::new(Settings { gateways: GATEWAYS, seed, ..settings.clone() }, 0)
}

fn health_checked(number: usize, report: LoadReport) -> Event {
    Event::HealthChecked { engine: engine(number), ok: true, elapsed: 1.0, report: Some(report) }
}

/// Checks that the work that 300 gateways together send to one engine in slow start is within its budget in any span of
/// `overload_collapse_after`. The run has steady load, a restart of two thirds of the gateways, which lose their record of
/// what they sent, and a burst after a pause of all gateways.
fn check_hundreds_of_gateways(class: usize, expected_work: Milliseconds, reported: Option<LoadReport>) {
    let mut fleet = StartingFleet::new(class, expected_work, reported);
    fleet.run();
    fleet.check_budget();
}

/// Without load reports, with utilization alone and with queries in flight, for a class of short and one of long queries.
#[test]
fn hundreds_of_gateways_together_stay_within_the_slow_start_budget() {
    let util = LoadReport { util: Some(1.0), ..LoadReport::default() };
    for reported in [None, Some(util), Some(LoadReport { inflight: Some(10.0), ..util })] {
        check_hundreds_of_gateways(0, 200.0, reported);
        check_hundreds_of_gateways(1, 4_800.0, reported);
    }
}

/// Engines in slow start are slow without being overloaded. A gateway whose engines have all just started must not take
/// their long latencies for load, or it would not use them fully.
#[test]
fn long_latency_of_an_engine_in_slow_start_does_not_count_as_overload() {
    let mut settings = default_settings();
    settings.gateways = 1;
    settings.slow_start_duration = 1e9;
    let mut gateway = TestGateway::new(settings, 0);
    let started = |n| Member { started: Some(0.0), ..member(n) };
    gateway
        .run_cycle(&[Event::EndpointListReceived { complete: true, members: (0..4).map(started).collect() }]);
    for _ in 0..200 {
        let (id, sent_to) = gateway.receive(0);
        gateway.advance(300.0);
        let Some(sent_to) = sent_to else { continue };
        // 100 ms of work takes 333 ms at three tenths of the speed.
        let mut end = outcome(id, 0, &sent_to, Outcome::Ok, 333.0);
        if let Event::Outcome { work, .. } = &mut end {
            *work = Some(100.0);
        }
        gateway.run_cycle(&[end]);
    }
    let speed = gateway.balancer.learned().fleet.speed;
    assert!(speed > 0.9, "queries are estimated to take {:.1} times their unloaded latency", 1.0 / speed);
}
