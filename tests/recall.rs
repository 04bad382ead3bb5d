//! The decision module's use of the state that an earlier incarnation has learned.

mod common;

use common::{engine, fleet, incoming, outcome, sends, settings as default_settings};
use starlingplank::decide::Balancer;
use starlingplank::interface::*;
use starlingplank_decision::learned::{LearnedClass, LearnedEngine, LearnedState};

fn run_cycle(balancer: &mut Balancer, now: Milliseconds, events: &[Event]) -> Vec<Action> {
    let mut actions = Vec::new();
    balancer.run_cycle(now, events, &mut actions);
    actions
}

/// Returns a balancer, started at time 0, with this record of its one engine of eight cores. `short` queries are known to take
/// 400 ms on one thread.
fn restored_balancer(from: LearnedEngine) -> Balancer {
    let settings = Settings { gateways: 1, ..default_settings() };
    let mut balancer = Balancer::new(settings, 0.0).expect("sound");
    let short = LearnedClass {
        name: "short".into(),
        threads: 1.0,
        best_latency: 400.0,
        control_steps: 50.0,
        ..Default::default()
    };
    let learned = LearnedState {
        concurrency_limit: 1.5,
        classes: vec![short],
        engines: vec![LearnedEngine { id: engine(0).0.to_string(), slowdown: 1.0, ..from }],
        ..LearnedState::default()
    };
    run_cycle(&mut balancer, 0.0, &[fleet(1), Event::StateRestored(Box::new(learned))]);
    balancer
}

/// Returns the number of queries sent within two seconds while 100 a second arrive and none is answered.
fn queries_sent(balancer: &mut Balancer) -> usize {
    let mut count = 0;
    for id in 0..200_u64 {
        let now = id as f64 * 10.0;
        let details = RequestDetails { deadline: now + 2_900.0, ..incoming(id, 0, 0.0) };
        count += sends(&run_cycle(balancer, now, &[Event::Request(details), Event::Timer(0)])).len();
    }
    count
}

#[test]
fn engine_possibly_in_slow_start_gets_no_more_than_the_slow_start_budget() {
    let starting = queries_sent(&mut restored_balancer(LearnedEngine {
        maybe_in_slow_start: true,
        ..Default::default()
    }));
    // 0.8 of three times 0.3 of eight cores for two seconds, in queries of 400 ms; a little more as the capacity grows.
    let budget = 0.8 * 3.0 * 0.3 * 8.0 * 2_000.0 / 400.0;
    let max = budget * (0.3 + 0.7 * 2.0 / 15.0) / 0.3 + 1.0;
    assert!(starting >= 3 && (starting as f64) <= max, "{starting} of {max}");
    let without_slow_start = queries_sent(&mut restored_balancer(LearnedEngine::default()));
    assert!(without_slow_start > 2 * starting, "{without_slow_start} without slow start, {starting} in it");
}

#[test]
fn engine_with_an_exhausted_slow_start_budget_gets_nothing_until_the_window_ends() {
    let mut balancer = restored_balancer(LearnedEngine {
        maybe_in_slow_start: true,
        slow_start_budget_exhausted: true,
        ..Default::default()
    });
    assert_eq!(queries_sent(&mut balancer), 0);
    let details = RequestDetails { deadline: 5_000.0, ..incoming(900, 0, 0.0) };
    let later: usize = (0..20)
        .map(|cycle| {
            let now = 2_100.0 + f64::from(cycle) * 50.0;
            let events =
                if cycle == 0 { vec![Event::Request(details.clone())] } else { vec![Event::Timer(0)] };
            sends(&run_cycle(&mut balancer, now, &events)).len()
        })
        .sum();
    assert!(later >= 1, "the engine is used again after the window");
}

/// A query that the engine is executing.
struct InFlight {
    sent_at: Milliseconds,
    id: u64,
}

/// Returns the maximum number of queries in flight under steady load, from the third second on, if each query takes `latency`.
fn max_in_flight(latency: Milliseconds) -> usize {
    let mut balancer = restored_balancer(LearnedEngine { maybe_in_slow_start: true, ..Default::default() });
    let mut in_flight: Vec<InFlight> = Vec::new();
    let mut max = 0;
    for id in 0..300_u64 {
        let now = id as f64 * 10.0;
        let mut events =
            vec![Event::Request(RequestDetails { deadline: now + 2_900.0, ..incoming(id, 0, 0.0) })];
        for ended in in_flight.extract_if(.., |query| query.sent_at + latency <= now) {
            let mut end = outcome(ended.id, 0, &engine(0), Outcome::Ok, latency);
            if let Event::Outcome { work, .. } = &mut end {
                *work = Some(100.0);
            }
            events.push(end);
        }
        for (id, _) in sends(&run_cycle(&mut balancer, now, &events)) {
            in_flight.push(InFlight { sent_at: now, id });
        }
        if now > 2_000.0 {
            max = max.max(in_flight.len());
        }
    }
    max
}

#[test]
fn slow_start_estimate_rises_with_fast_answers_but_not_with_slow_ones() {
    let (fast, slow) = (max_in_flight(100.0), max_in_flight(900.0));
    assert!(fast >= slow + 2, "{fast} in flight with fast answers, {slow} with slow ones");
}

#[test]
fn invalid_learned_values_are_discarded() {
    let invalid = LearnedEngine {
        slowdown: f64::NAN,
        error_rate: -3.0,
        other_threads: 1e300,
        ejected_until: Some(f64::INFINITY),
        ejection_ended_at: Some(1e18),
        ejections: u32::MAX,
        ..Default::default()
    };
    let balancer = restored_balancer(invalid);
    let learned = &balancer.learned().engines[0];
    assert!((learned.slowdown, learned.error_rate, learned.other_threads) == (1.0, 0.0, 0.0), "{learned:?}");
    assert!(
        learned.ejected_until.is_none() && learned.ejection_ended_at.is_none() && learned.ejections <= 6,
        "{learned:?}"
    );
}
