//! Engines in slow start and their budget.

use crate::common::{engine, incoming, member, outcome, sends, settings as default_settings};
use crate::harness::TestGateway;
use starlingplank::interface::*;

#[test]
fn a_cold_engine_gets_its_part_of_the_budget_and_heavy_queries_cannot_burst() {
    let mut settings = default_settings();
    settings.gateways = 4;
    let mut gateway = TestGateway::new(settings, 0);
    let mut starting = member(0);
    starting.started = Some(0.0);
    gateway.run_cycle(&[Event::EndpointListReceived { complete: true, members: vec![starting] }]);
    let long = (0..10).filter(|_| gateway.receive(1).1.is_some()).count();
    // 3 x 0.3 x 8 cores x 2 s x 0.8 / 4 gateways is 2.9 s of work; a long query counts 4.8 s before any is known.
    assert_eq!(long, 0);
    let short = (0..60).filter(|_| gateway.receive(0).1.is_some()).count();
    assert!((1..=15).contains(&short), "{short} of 60 short ones sent at once");
}

const GATEWAYS: usize = 300;
/// The engines; the first is in slow start.
const ENGINES: usize = 12;
/// The round in which two thirds of the gateways restart, and the one that follows a pause of all.
const RESTART_ROUND: usize = 30;
const ROUND_AFTER_PAUSE: usize = 60;

/// Work that was sent to the engine in slow start.
struct SentWork {
    at: Milliseconds,
    work: Milliseconds,
}

/// Hundreds of gateways before a fleet with one engine in slow start.
struct StartingFleet {
    settings: Settings,
    /// The class of all requests, and the work of one.
    class: usize,
    work_per_request: Milliseconds,
    /// What warm engines report, if any do.
    reported: Option<LoadReport>,
    members: Vec<Member>,
    gateways: Vec<TestGateway>,
    /// What each gateway sent in its last cycle. The next answers it.
    in_flight: Vec<Vec<(u64, EngineId)>>,
    sent_to_starting: Vec<SentWork>,
}

impl StartingFleet {
    fn new(class: usize, work_per_request: Milliseconds, reported: Option<LoadReport>) -> Self {
        let settings = default_settings();
        let mut starting = member(0);
        starting.started = Some(0.0);
        Self {
            class,
            work_per_request,
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
        let took = self.work_per_request / self.settings.classes[self.class].threads;
        let answered = std::mem::take(&mut self.in_flight[index]);
        events.extend(answered.iter().map(|(id, sent_to)| outcome(*id, 0, sent_to, Outcome::Ok, took)));
        let sent = sends(&self.gateways[index].run_cycle(&events));
        for _ in sent.iter().filter(|(_, sent_to)| *sent_to == engine(0)) {
            self.sent_to_starting.push(SentWork { at: now, work: self.work_per_request });
        }
        self.in_flight[index] = sent;
    }

    /// Three queries a second reach each gateway; more at once after the pause.
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
            assert!(work <= budget, "{work} of {budget} from {start}: class {class}, {reported:?}");
        }
        // Few heavy queries fill that budget: chance may leave them none.
        assert!(*class > 0 || sent.len() > 10, "only {} queries: a cold engine must be used", sent.len());
    }
}

fn start_gateway(settings: &Settings, seed: u64) -> TestGateway {
    TestGateway::new(Settings { gateways: GATEWAYS, seed, ..settings.clone() }, 0)
}

fn health_checked(number: usize, report: LoadReport) -> Event {
    Event::HealthChecked { engine: engine(number), ok: true, elapsed: 1.0, report: Some(report) }
}

/// What 300 gateways together send to one engine in slow start stays under its budget in any span of the stated length:
/// however load is reported, for light and heavy classes, under steady load, in a burst, after a pause of all, and with
/// two thirds of the gateways restarted in between, which have forgotten what they sent.
fn hundreds_of_gateways_before_a_starting_engine(
    class: usize,
    work_per_request: Milliseconds,
    reported: Option<LoadReport>,
) {
    let mut fleet = StartingFleet::new(class, work_per_request, reported);
    fleet.run();
    fleet.check_budget();
}

#[test]
fn hundreds_of_gateways_together_keep_a_cold_engines_budget() {
    let util = LoadReport { util: Some(1.0), ..LoadReport::default() };
    for reported in [None, Some(util), Some(LoadReport { inflight: Some(10.0), ..util })] {
        hundreds_of_gateways_before_a_starting_engine(0, 200.0, reported);
        hundreds_of_gateways_before_a_starting_engine(1, 4_800.0, reported);
    }
}

/// Engines in slow start are slow without being crowded; a gateway whose engines have all just started uses them fully.
#[test]
fn query_that_takes_long_as_its_engine_is_cold_does_not_tell_of_a_crowd() {
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
        // 100 ms of work takes 333 at three tenths of the speed.
        let mut end = outcome(id, 0, &sent_to, Outcome::Ok, 333.0);
        if let Event::Outcome { work, .. } = &mut end {
            *work = Some(100.0);
        }
        gateway.run_cycle(&[end]);
    }
    let speed = gateway.balancer.learned().fleet.speed;
    assert!(speed > 0.9, "queries seem to take {:.1} times as long as alone", 1.0 / speed);
}
