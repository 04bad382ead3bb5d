//! What all gateways together send to an engine in slow start, in virtual time. Each has far more to send than the engine
//! may get, and no other engine. Any span of the settings' length holds no more than the budget of N usual requests and
//! 2 x root of N + 2, at any size of the fleet.

mod common;

use common::{incoming, member, outcome, sends, settings as default_settings};
use rstest::rstest;
use starlingplank::decide::Balancer;
use starlingplank::interface::*;
use std::collections::BTreeMap;

const STARTED_AT: Milliseconds = 30_000.0;
const STEP: Milliseconds = 10.0;
const USUAL_WORK: [Milliseconds; 2] = [250.0, 1_000.0];

/// Work that was sent to the engine in slow start.
struct SentWork {
    at: Milliseconds,
    work: Milliseconds,
}

/// An event that reaches a gateway at its time.
struct DueEvent {
    at: Milliseconds,
    event: Event,
}

struct TestGateway {
    balancer: Balancer,
    next_request: u64,
    due: Vec<DueEvent>,
    /// The class of each request.
    classes: BTreeMap<u64, usize>,
}

impl TestGateway {
    fn new(settings: Settings) -> Self {
        let mut balancer = Balancer::new(settings, 0.0).expect("settings are good");
        let list = Event::EndpointListReceived { complete: true, members: vec![member(0)] };
        balancer.run_cycle(0.0, &[list], &mut Vec::new());
        Self { balancer, next_request: 1, due: Vec::new(), classes: BTreeMap::new() }
    }

    fn request(&mut self, class: usize, deadline: Milliseconds) -> Event {
        let request = Event::Request(incoming(self.next_request, class, deadline));
        self.next_request += 1;
        request
    }

    /// Learns the usual work of both classes while the engine is warm.
    fn learn_usual_work(&mut self) {
        for round in 0..200 {
            let (now, class) = (f64::from(round) * 100.0, usize::from(round % 2 == 1));
            let request = self.request(class, now + 2_000.0);
            let mut actions = Vec::new();
            self.balancer.run_cycle(now, &[request], &mut actions);
            for (id, engine) in sends(&actions) {
                let end = outcome(id, 0, &engine, Outcome::Ok, USUAL_WORK[class]);
                self.balancer.run_cycle(now + 50.0, &[end], &mut Vec::new());
            }
        }
    }

    fn take_due_events(&mut self, now: Milliseconds) -> Vec<Event> {
        self.due.extract_if(.., |due| due.at <= now).map(|due| due.event).collect()
    }

    /// Runs a decision cycle. Returns the work that it sends.
    fn run_cycle(&mut self, now: Milliseconds, events: &[Event]) -> Vec<SentWork> {
        let mut actions = Vec::new();
        self.balancer.run_cycle(now, events, &mut actions);
        let mut sent = Vec::new();
        for (id, engine) in sends(&actions) {
            // The answer comes soon, so that only the budget limits the next request.
            let work = USUAL_WORK[self.classes[&id]];
            sent.push(SentWork { at: now, work });
            let answer = outcome(id, 0, &engine, Outcome::Ok, work);
            self.due.push(DueEvent { at: now + 40.0, event: answer });
        }
        sent
    }
}

/// A fleet before one engine, which starts at [`STARTED_AT`].
struct Scenario {
    gateways: usize,
    /// The size of the fleet that each gateway is configured for.
    configured_gateways: usize,
    cores: f64,
    seed: u64,
    /// The share of long requests.
    long_share: f64,
    /// No request arrives before.
    from: Milliseconds,
    until: Milliseconds,
}

impl Scenario {
    /// Returns what the engine is sent.
    fn run(&self) -> Vec<SentWork> {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let mut fleet = self.start_gateways(&mut rng);
        for gateway in &mut fleet {
            gateway.learn_usual_work();
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
        // More than the budget allows, but few enough to wait.
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

/// The budget that the settings allow in a span that ends then, in usual requests of that much work.
fn budget(cores: f64, at: Milliseconds, mean_work: Milliseconds) -> f64 {
    let settings = default_settings();
    let capacity_share = settings.slow_start_initial_share
        + (1.0 - settings.slow_start_initial_share)
            * ((at - STARTED_AT) / settings.slow_start_duration).min(1.0);
    settings.overload_collapse_multiple * capacity_share * cores * settings.overload_collapse_after
        / mean_work
}

/// How the work that was sent compares with the budget.
struct BudgetUse {
    /// The most work in any span, as a share of N + 2 x root of N + 2.
    worst: f64,
    /// The mean over all spans, as a share of N.
    mean: f64,
}

impl BudgetUse {
    fn of(scenario: &Scenario) -> Self {
        let sent = scenario.run();
        let span = default_settings().overload_collapse_after;
        let mean_work = sent.iter().map(|sent| sent.work).sum::<f64>() / sent.len().max(1) as f64;
        let mut worst: f64 = 0.0;
        for (index, first) in sent.iter().enumerate() {
            let mut sum = 0.0;
            for SentWork { at, work } in sent[index..].iter().take_while(|sent| sent.at < first.at + span) {
                sum += work / mean_work;
                let n = budget(scenario.cores, *at, mean_work);
                worst = worst.max(sum / (n + 2.0 * n.sqrt() + 2.0));
            }
        }
        let spans = (scenario.until - scenario.from) / span;
        let n = budget(scenario.cores, (scenario.from + scenario.until) / 2.0, mean_work);
        let mean = sent.iter().map(|sent| sent.work / mean_work).sum::<f64>() / spans / n;
        Self { worst, mean }
    }
}

#[rstest]
#[case::of_three(3, 8.0, 20)]
#[case::of_three_small(3, 1.0, 20)]
#[case::of_twenty(20, 8.0, 20)]
#[case::of_twenty_small(20, 1.0, 20)]
#[case::of_thirty(30, 8.0, 20)]
#[case::of_thirty_large(30, 32.0, 10)]
#[case::of_three_hundred(300, 8.0, 10)]
#[case::of_three_hundred_large(300, 32.0, 10)]
fn sum_of_all_gateways_at_a_cold_engine_stays_within_the_budget_and_its_chance(
    #[case] gateways: usize,
    #[case] cores: f64,
    #[case] seeds: u64,
) {
    for seed in 0..seeds {
        for long_share in [0.0, 0.2] {
            // Work waits when the start is learned; or arrives at once after a lull, during which no budget may be saved up.
            for lull in [0.0, 4_000.0] {
                let from = STARTED_AT + lull;
                let until = from + 6_000.0;
                let configured_gateways = gateways;
                let BudgetUse { worst, mean } = BudgetUse::of(&Scenario {
                    gateways,
                    configured_gateways,
                    cores,
                    seed,
                    long_share,
                    from,
                    until,
                });
                println!("{gateways} {cores} {seed} {long_share} {lull}: worst {worst:.2} mean {mean:.2}");
                assert!(worst <= 1.0, "seed {seed}, long {long_share}, lull {lull}: {worst:.2}");
                assert!(mean > 0.1, "a cold engine is used: {mean:.2}");
            }
        }
    }
}

/// The check can fail: here each gateway takes itself for one of a third as many.
#[test]
fn fleet_whose_size_is_told_wrong_pushes_a_cold_engine_over() {
    let scenario = Scenario {
        gateways: 30,
        configured_gateways: 10,
        cores: 8.0,
        seed: 1,
        long_share: 0.0,
        from: STARTED_AT,
        until: STARTED_AT + 6_000.0,
    };
    assert!(BudgetUse::of(&scenario).worst > 1.0);
}
