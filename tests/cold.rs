//! What all gateways together send to a cold engine, in virtual time: each has far more to send than the engine may get,
//! and no other engine to send it to. Any span of the settings' length holds no more than the budget of N usual requests
//! and 2 x root of N + 2, at any size of the fleet.

mod common;

use common::{incoming, member, outcome, sends, settings};
use rstest::rstest;
use starlingplank::decide::Balancer;
use starlingplank::interface::*;
use std::collections::BTreeMap;

const COLD: Milliseconds = 30_000.0;
const STEP: Milliseconds = 10.0;
const USUAL: [Milliseconds; 2] = [250.0, 1_000.0];

struct One {
    gateway: Balancer,
    next: u64,
    due: Vec<(Milliseconds, Event)>,
    classes: BTreeMap<u64, usize>,
}

/// Times and work of what one engine, cold from [`COLD`] on, was sent by so many gateways that were told of so many.
/// Nothing comes before `from`.
fn play(
    (gateways, told): (usize, usize),
    cores: f64,
    seed: u64,
    long_share: f64,
    (from, until): (Milliseconds, Milliseconds),
) -> Vec<(Milliseconds, Milliseconds)> {
    let mut s = settings();
    s.gateways = told;
    s.kinds.iter_mut().for_each(|k| k.cores = cores);
    s.classes[1].threads = 1.0;
    s.classes[1].latency_objective = 3_000.0;
    let mut dice = fastrand::Rng::with_seed(seed);
    let mut fleet: Vec<One> = (0..gateways)
        .map(|g| {
            let s = Settings { seed: dice.u64(..), gateway_index: Some(g as u64), ..s.clone() };
            let mut gateway = Balancer::new(s, 0.0).expect("settings are good");
            let list = Event::Members { complete: true, members: vec![member(0)] };
            gateway.turn(0.0, &[list], &mut Vec::new());
            One { gateway, next: 1, due: Vec::new(), classes: BTreeMap::new() }
        })
        .collect();
    // What is usual is learned one after the other, while the engine is warm.
    for one in &mut fleet {
        for i in 0..200 {
            let (now, class) = (f64::from(i) * 100.0, usize::from(i % 2 == 1));
            let mut actions = Vec::new();
            one.gateway.turn(now, &[Event::Request(incoming(one.next, class, now + 2_000.0))], &mut actions);
            for (id, e) in sends(&actions) {
                let end = outcome(id, 0, &e, Outcome::Ok, USUAL[class]);
                one.gateway.turn(now + 50.0, &[end], &mut Vec::new());
            }
            one.next += 1;
        }
    }
    let cold = Member { started: Some(COLD), ..member(0) };
    for one in &mut fleet {
        one.due.push((COLD, Event::Members { complete: true, members: vec![cold.clone()] }));
    }
    let (mut sent, mut now) = (Vec::new(), COLD);
    while now < until {
        for one in &mut fleet {
            let mut events: Vec<Event> = Vec::new();
            one.due.retain(|(at, event)| {
                let due = *at <= now;
                events.extend(due.then(|| event.clone()));
                !due
            });
            // More than it may send, and never more than it can hold.
            if now >= from && dice.f64() < 0.2 && one.gateway.open_requests() < 8 {
                let class = usize::from(dice.f64() < long_share);
                one.classes.insert(one.next, class);
                events.push(Event::Request(incoming(one.next, class, now + 1_500.0)));
                one.next += 1;
            }
            if events.is_empty() && dice.f64() < 0.5 {
                continue;
            }
            let mut actions = Vec::new();
            one.gateway.turn(now, &events, &mut actions);
            for (id, e) in sends(&actions) {
                // It is answered soon, so that nothing but the budget holds the next one back.
                let usual = USUAL[one.classes[&id]];
                sent.push((now, usual));
                one.due.push((now + 40.0, outcome(id, 0, &e, Outcome::Ok, usual)));
            }
        }
        now += STEP;
    }
    sent
}

/// The budget that the settings allow in a span that ends then, in usual requests of that much work.
fn budget(cores: f64, at: Milliseconds, usual: Milliseconds) -> f64 {
    let s = settings();
    let warmth =
        s.slow_start_from + (1.0 - s.slow_start_from) * ((at - COLD) / s.slow_start_duration).min(1.0);
    s.overload_collapse_multiple * warmth * cores * s.overload_collapse_after / usual
}

/// Most over any span, in shares of N + 2 x root of N + 2, and the mean over all, in shares of N.
fn worst_and_mean(
    sent: &[(Milliseconds, Milliseconds)],
    cores: f64,
    from: Milliseconds,
    until: Milliseconds,
) -> (f64, f64) {
    let span = settings().overload_collapse_after;
    let usual = sent.iter().map(|x| x.1).sum::<f64>() / sent.len().max(1) as f64;
    let mut worst: f64 = 0.0;
    for (i, (start, _)) in sent.iter().enumerate() {
        let mut sum = 0.0;
        for (at, work) in sent[i..].iter().take_while(|x| x.0 < start + span) {
            sum += work / usual;
            let n = budget(cores, *at, usual);
            worst = worst.max(sum / (n + 2.0 * n.sqrt() + 2.0));
        }
    }
    let spans = (until - from) / span;
    let n = budget(cores, (from + until) / 2.0, usual);
    (worst, sent.iter().map(|x| x.1 / usual).sum::<f64>() / spans / n)
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
            // Work waits as the start is told; and comes at once after a lull in which nothing may be saved up.
            for lull in [0.0, 4_000.0] {
                let (from, until) = (COLD + lull, COLD + lull + 6_000.0);
                let sent = play((gateways, gateways), cores, seed, long_share, (from, until));
                let (worst, mean) = worst_and_mean(&sent, cores, from, until);
                println!("{gateways} {cores} {seed} {long_share} {lull}: worst {worst:.2} mean {mean:.2}");
                assert!(worst <= 1.0, "seed {seed}, long {long_share}, lull {lull}: {worst:.2}");
                assert!(mean > 0.1, "a cold engine is used: {mean:.2}");
            }
        }
    }
}

/// The check can fail: each takes itself for one of a third as many.
#[test]
fn fleet_whose_size_is_told_wrong_pushes_a_cold_engine_over() {
    let (from, until) = (COLD, COLD + 6_000.0);
    let sent = play((30, 10), 8.0, 1, 0.0, (from, until));
    assert!(worst_and_mean(&sent, 8.0, from, until).0 > 1.0);
}
