//! The total work that all gateways send to an engine in slow start, in virtual time. Each gateway has far more requests than
//! the engine may receive, and no other engine. In any span of `overload_collapse_after`, the work sent must not exceed that of
//! N + 2 x sqrt(N) + 2 mean requests, where N is the budget in mean requests and the rest is a margin for chance, for any number of
//! gateways.

mod common;

use common::{incoming, member, outcome, sends, settings as default_settings};
use rstest::rstest;
use starlingplank::decide::Balancer;
use starlingplank::interface::*;
use std::collections::BTreeMap;

/// Time at which the engine restarts and slow start begins.
const STARTED_AT: Milliseconds = 30_000.0;
/// Time between two steps of the simulation.
const STEP: Milliseconds = 10.0;
/// Expected work of the requests of each class.
const EXPECTED_WORK: [Milliseconds; 2] = [250.0, 1_000.0];

/// A request that was sent to the engine in slow start.
struct SentWork {
    at: Milliseconds,
    work: Milliseconds,
}

/// An event that the gateway receives at the given time.
struct DueEvent {
    at: Milliseconds,
    event: Event,
}

/// A gateway under test, with its pending events.
struct TestGateway {
    balancer: Balancer,
    next_request: u64,
    due: Vec<DueEvent>,
    /// Class of each request, by the request's identifier.
    classes: BTreeMap<u64, usize>,
}

impl TestGateway {
    fn new(settings: Settings) -> Self {
        let mut balancer = Balancer::new(settings, 0.0).expect("settings are valid");
        let list = Event::EndpointListReceived { complete: true, members: vec![member(0)] };
        balancer.run_cycle(0.0, &[list], &mut Vec::new());
        Self { balancer, next_request: 1, due: Vec::new(), classes: BTreeMap::new() }
    }

    fn request(&mut self, class: usize, deadline: Milliseconds) -> Event {
        let request = Event::Request(incoming(self.next_request, class, deadline));
        self.next_request += 1;
        request
    }

    /// Serves requests of both classes before the engine restarts, so that the gateway learns their expected work.
    fn learn_expected_work(&mut self) {
        for round in 0..200 {
            let (now, class) = (f64::from(round) * 100.0, usize::from(round % 2 == 1));
            let request = self.request(class, now + 2_000.0);
            let mut actions = Vec::new();
            self.balancer.run_cycle(now, &[request], &mut actions);
            for (id, engine) in sends(&actions) {
                let end = outcome(id, 0, &engine, Outcome::Ok, EXPECTED_WORK[class]);
                self.balancer.run_cycle(now + 50.0, &[end], &mut Vec::new());
            }
        }
    }

    fn take_due_events(&mut self, now: Milliseconds) -> Vec<Event> {
        self.due.extract_if(.., |due| due.at <= now).map(|due| due.event).collect()
    }

    /// Runs a decision cycle. Returns the requests that it sends, and schedules their answers.
    fn run_cycle(&mut self, now: Milliseconds, events: &[Event]) -> Vec<SentWork> {
        let mut actions = Vec::new();
        self.balancer.run_cycle(now, events, &mut actions);
        let mut sent = Vec::new();
        for (id, engine) in sends(&actions) {
            // Answers arrive after 40 ms, so that only the slow-start budget limits the next request.
            let work = EXPECTED_WORK[self.classes[&id]];
            sent.push(SentWork { at: now, work });
            let answer = outcome(id, 0, &engine, Outcome::Ok, work);
            self.due.push(DueEvent { at: now + 40.0, event: answer });
        }
        sent
    }
}

/// A fleet of gateways in front of one engine, which restarts at [`STARTED_AT`].
struct Scenario {
    gateways: usize,
    /// Number of gateways that each gateway is configured with.
    configured_gateways: usize,
    cores: f64,
    seed: u64,
    /// Share of requests of the long class.
    long_share: f64,
    /// Time of the first arrivals.
    from: Milliseconds,
    /// End of the simulation.
    until: Milliseconds,
}

impl Scenario {
    /// Runs the simulation. Returns the requests that were sent to the engine.
    fn run(&self) -> Vec<SentWork> {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let mut fleet = self.start_gateways(&mut rng);
        for gateway in &mut fleet {
            gateway.learn_expected_work();
        }
        let starting = Member { started: Some(STARTED_AT), ..member(0) };
        for gateway in &mut fleet {
            let event = Event::EndpointListReceived { complete: true, members: vec![starting.clone()] };
            gateway.due.push(DueEvent { at: STARTED_AT, event });
        }
        let (mut sent, mut now) = (Vec::new(), STARTED_AT);
        while now < self.until {
            for gateway in &mut fleet {
                sent.extend(self.step(gateway, &mut rng, now));
            }
            now += STEP;
        }
        sent
    }

    fn start_gateways(&self, rng: &mut fastrand::Rng) -> Vec<TestGateway> {
        let mut settings = default_settings();
        settings.gateways = self.configured_gateways;
        for kind in &mut settings.machine_types {
            kind.cores = self.cores;
        }
        settings.classes[1].threads = 1.0;
        settings.classes[1].latency_objective = 3_000.0;
        let mut start = |index| {
            let gateway_index = Some(index as u64);
            TestGateway::new(Settings { seed: rng.u64(..), gateway_index, ..settings.clone() })
        };
        (0..self.gateways).map(&mut start).collect()
    }

    fn step(&self, gateway: &mut TestGateway, rng: &mut fastrand::Rng, now: Milliseconds) -> Vec<SentWork> {
        let mut events = gateway.take_due_events(now);
        // Requests arrive faster than the budget allows, but few enough wait at a time that they are not rejected.
        if now >= self.from && rng.f64() < 0.2 && gateway.balancer.open_requests() < 8 {
            let class = usize::from(rng.f64() < self.long_share);
            gateway.classes.insert(gateway.next_request, class);
            events.push(gateway.request(class, now + 1_500.0));
        }
        if events.is_empty() && rng.f64() < 0.5 {
            return Vec::new();
        }
        gateway.run_cycle(now, &events)
    }
}

/// Returns the slow-start budget for a span that ends at the time `at`, in requests whose work is `mean_work`.
fn budget(cores: f64, at: Milliseconds, mean_work: Milliseconds) -> f64 {
    let settings = default_settings();
    let capacity_share = settings.slow_start_initial_share
        + (1.0 - settings.slow_start_initial_share)
            * ((at - STARTED_AT) / settings.slow_start_duration).min(1.0);
    settings.overload_collapse_multiple * capacity_share * cores * settings.overload_collapse_after
        / mean_work
}

/// Comparison of the work that was sent with the slow-start budget N, in mean requests.
struct BudgetUse {
    /// Maximum work in any span, as a share of N + 2 x sqrt(N) + 2.
    max: f64,
    /// Mean work over all spans, as a share of N.
    mean: f64,
}

impl BudgetUse {
    fn of(scenario: &Scenario) -> Self {
        let sent = scenario.run();
        let span = default_settings().overload_collapse_after;
        let mean_work = sent.iter().map(|sent| sent.work).sum::<f64>() / sent.len().max(1) as f64;
        let mut max: f64 = 0.0;
        for (index, first) in sent.iter().enumerate() {
            let mut sum = 0.0;
            for SentWork { at, work } in sent[index..].iter().take_while(|sent| sent.at < first.at + span) {
                sum += work / mean_work;
                let n = budget(scenario.cores, *at, mean_work);
                max = max.max(sum / (n + 2.0 * n.sqrt() + 2.0));
            }
        }
        let spans = (scenario.until - scenario.from) / span;
        let n = budget(scenario.cores, (scenario.from + scenario.until) / 2.0, mean_work);
        let mean = sent.iter().map(|sent| sent.work / mean_work).sum::<f64>() / spans / n;
        Self { max, mean }
    }
}

#[rstest]
#[case::three_gateways(3, 8.0, 20)]
#[case::three_gateways_small_engine(3, 1.0, 20)]
#[case::twenty_gateways(20, 8.0, 20)]
#[case::twenty_gateways_small_engine(20, 1.0, 20)]
#[case::thirty_gateways(30, 8.0, 20)]
#[case::thirty_gateways_large_engine(30, 32.0, 10)]
#[case::three_hundred_gateways(300, 8.0, 10)]
#[case::three_hundred_gateways_large_engine(300, 32.0, 10)]
fn work_of_all_gateways_stays_within_the_slow_start_budget_of_an_engine(
    #[case] gateways: usize,
    #[case] cores: f64,
    #[case] seeds: u64,
) {
    for seed in 0..seeds {
        for long_share in [0.0, 0.2] {
            // Requests arrive from the time of the restart, or only after a period without traffic. Budget must not accumulate
            // during that period.
            for idle_time in [0.0, 4_000.0] {
                let from = STARTED_AT + idle_time;
                let until = from + 6_000.0;
                let configured_gateways = gateways;
                let BudgetUse { max, mean } = BudgetUse::of(&Scenario {
                    gateways,
                    configured_gateways,
                    cores,
                    seed,
                    long_share,
                    from,
                    until,
                });
                println!("{gateways} {cores} {seed} {long_share} {idle_time}: max {max:.2} mean {mean:.2}");
                assert!(max <= 1.0, "seed {seed}, long_share {long_share}, idle_time {idle_time}: {max:.2}");
                assert!(mean > 0.1, "the engine in slow start is hardly used: {mean:.2}");
            }
        }
    }
}

/// Shows that the check detects an excess: each gateway is configured with a third of the real number of gateways, so their
/// shares add up to three times the budget.
#[test]
fn gateways_configured_with_too_small_a_fleet_exceed_the_slow_start_budget() {
    let scenario = Scenario {
        gateways: 30,
        configured_gateways: 10,
        cores: 8.0,
        seed: 1,
        long_share: 0.0,
        from: STARTED_AT,
        until: STARTED_AT + 6_000.0,
    };
    assert!(BudgetUse::of(&scenario).max > 1.0);
}
