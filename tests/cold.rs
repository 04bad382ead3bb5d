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

struct TestGateway {
    balancer: Balancer,
    next: u64,
    due: Vec<(Milliseconds, Event)>,
    classes: BTreeMap<u64, usize>,
}

/// Returns the times and the work of what one engine, which starts at [`STARTED_AT`], is sent by `gateways` that are
/// configured for `configured_gateways`. No request arrives before `from`.
fn play(
    (gateways, configured_gateways): (usize, usize),
    cores: f64,
    seed: u64,
    long_share: f64,
    (from, until): (Milliseconds, Milliseconds),
) -> Vec<(Milliseconds, Milliseconds)> {
    let mut settings = default_settings();
    settings.gateways = configured_gateways;
    settings.kinds.iter_mut().for_each(|k| k.cores = cores);
    settings.classes[1].threads = 1.0;
    settings.classes[1].latency_objective = 3_000.0;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet: Vec<TestGateway> = (0..gateways)
        .map(|g| {
            let settings = Settings { seed: rng.u64(..), gateway_index: Some(g as u64), ..settings.clone() };
            let mut balancer = Balancer::new(settings, 0.0).expect("settings are good");
            let list = Event::Members { complete: true, members: vec![member(0)] };
            balancer.run_cycle(0.0, &[list], &mut Vec::new());
            TestGateway { balancer, next: 1, due: Vec::new(), classes: BTreeMap::new() }
        })
        .collect();
    // The usual work is learned by one gateway after the other, while the engine is warm.
    for test_gateway in &mut fleet {
        for i in 0..200 {
            let (now, class) = (f64::from(i) * 100.0, usize::from(i % 2 == 1));
            let mut actions = Vec::new();
            test_gateway.balancer.run_cycle(
                now,
                &[Event::Request(incoming(test_gateway.next, class, now + 2_000.0))],
                &mut actions,
            );
            for (id, e) in sends(&actions) {
                let end = outcome(id, 0, &e, Outcome::Ok, USUAL_WORK[class]);
                test_gateway.balancer.run_cycle(now + 50.0, &[end], &mut Vec::new());
            }
            test_gateway.next += 1;
        }
    }
    let starting = Member { started: Some(STARTED_AT), ..member(0) };
    for test_gateway in &mut fleet {
        test_gateway
            .due
            .push((STARTED_AT, Event::Members { complete: true, members: vec![starting.clone()] }));
    }
    let (mut sent, mut now) = (Vec::new(), STARTED_AT);
    while now < until {
        for test_gateway in &mut fleet {
            let mut events: Vec<Event> = Vec::new();
            test_gateway.due.retain(|(at, event)| {
                let due = *at <= now;
                events.extend(due.then(|| event.clone()));
                !due
            });
            // More than the budget allows, but few enough to wait.
            if now >= from && rng.f64() < 0.2 && test_gateway.balancer.open_requests() < 8 {
                let class = usize::from(rng.f64() < long_share);
                test_gateway.classes.insert(test_gateway.next, class);
                events.push(Event::Request(incoming(test_gateway.next, class, now + 1_500.0)));
                test_gateway.next += 1;
            }
            if events.is_empty() && rng.f64() < 0.5 {
                continue;
            }
            let mut actions = Vec::new();
            test_gateway.balancer.run_cycle(now, &events, &mut actions);
            for (id, e) in sends(&actions) {
                // The answer comes soon, so that only the budget limits the next request.
                let usual_work = USUAL_WORK[test_gateway.classes[&id]];
                sent.push((now, usual_work));
                test_gateway.due.push((now + 40.0, outcome(id, 0, &e, Outcome::Ok, usual_work)));
            }
        }
        now += STEP;
    }
    sent
}

/// The budget that the settings allow in a span that ends then, in usual requests of that much work.
fn budget(cores: f64, at: Milliseconds, usual_work: Milliseconds) -> f64 {
    let settings = default_settings();
    let warmth = settings.slow_start_from
        + (1.0 - settings.slow_start_from) * ((at - STARTED_AT) / settings.slow_start_duration).min(1.0);
    settings.overload_collapse_multiple * warmth * cores * settings.overload_collapse_after / usual_work
}

/// Returns the most work in any span, as a share of N + 2 x root of N + 2, and the mean over all spans, as a share of N.
fn worst_and_mean(
    sent: &[(Milliseconds, Milliseconds)],
    cores: f64,
    from: Milliseconds,
    until: Milliseconds,
) -> (f64, f64) {
    let span = default_settings().overload_collapse_after;
    let usual_work = sent.iter().map(|x| x.1).sum::<f64>() / sent.len().max(1) as f64;
    let mut worst: f64 = 0.0;
    for (i, (start, _)) in sent.iter().enumerate() {
        let mut sum = 0.0;
        for (at, work) in sent[i..].iter().take_while(|x| x.0 < start + span) {
            sum += work / usual_work;
            let n = budget(cores, *at, usual_work);
            worst = worst.max(sum / (n + 2.0 * n.sqrt() + 2.0));
        }
    }
    let spans = (until - from) / span;
    let n = budget(cores, (from + until) / 2.0, usual_work);
    (worst, sent.iter().map(|x| x.1 / usual_work).sum::<f64>() / spans / n)
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
                let (from, until) = (STARTED_AT + lull, STARTED_AT + lull + 6_000.0);
                let sent = play((gateways, gateways), cores, seed, long_share, (from, until));
                let (worst, mean) = worst_and_mean(&sent, cores, from, until);
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
    let (from, until) = (STARTED_AT, STARTED_AT + 6_000.0);
    let sent = play((30, 10), 8.0, 1, 0.0, (from, until));
    assert!(worst_and_mean(&sent, 8.0, from, until).0 > 1.0);
}
