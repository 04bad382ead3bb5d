//! What the decision module does with records of an earlier incarnation.

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

/// One engine of eight cores, `short` queries known to take 400 ms on one thread; the incarnation begins at 0.
fn restored(from: LearnedEngine) -> Balancer {
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

/// The number of queries sent within two seconds while 100 a second arrive and none is answered.
fn sent(balancer: &mut Balancer) -> usize {
    let mut count = 0;
    for id in 0..200_u64 {
        let now = id as f64 * 10.0;
        let details = RequestDetails { deadline: now + 2_900.0, ..incoming(id, 0, 0.0) };
        count += sends(&run_cycle(balancer, now, &[Event::Request(details), Event::Timer(0)])).len();
    }
    count
}

#[test]
fn perhaps_cold_engine_gets_no_more_than_a_cold_one_s_budget() {
    let starting = sent(&mut restored(LearnedEngine { maybe_in_slow_start: true, ..Default::default() }));
    // 0.8 of three times 0.3 of eight cores for two seconds, in queries of 400 ms; a little more as it warms.
    let budget = 0.8 * 3.0 * 0.3 * 8.0 * 2_000.0 / 400.0;
    let max = budget * (0.3 + 0.7 * 2.0 / 15.0) / 0.3 + 1.0;
    assert!(starting >= 3 && (starting as f64) <= max, "{starting} of {max}");
    let warm = sent(&mut restored(LearnedEngine::default()));
    assert!(warm > 2 * starting, "{warm} against {starting}");
}

#[test]
fn engine_whose_budget_was_spent_gets_nothing_until_the_span_is_over() {
    let mut balancer = restored(LearnedEngine {
        maybe_in_slow_start: true,
        slow_start_budget_exhausted: true,
        ..Default::default()
    });
    assert_eq!(sent(&mut balancer), 0);
    let details = RequestDetails { deadline: 5_000.0, ..incoming(900, 0, 0.0) };
    let later: usize = (0..20)
        .map(|cycle| {
            let now = 2_100.0 + f64::from(cycle) * 50.0;
            let events =
                if cycle == 0 { vec![Event::Request(details.clone())] } else { vec![Event::Timer(0)] };
            sends(&run_cycle(&mut balancer, now, &events)).len()
        })
        .sum();
    assert!(later >= 1, "and then it is an engine like others");
}

/// A query that the engine runs.
struct InFlight {
    sent_at: Milliseconds,
    id: u64,
}

/// The most queries in flight at once under steady load whose answers take `took`, after two seconds of such answers.
fn max_in_flight(took: Milliseconds) -> usize {
    let mut balancer = restored(LearnedEngine { maybe_in_slow_start: true, ..Default::default() });
    let mut in_flight: Vec<InFlight> = Vec::new();
    let mut max = 0;
    for id in 0..300_u64 {
        let now = id as f64 * 10.0;
        let mut events =
            vec![Event::Request(RequestDetails { deadline: now + 2_900.0, ..incoming(id, 0, 0.0) })];
        for ended in in_flight.extract_if(.., |query| query.sent_at + took <= now) {
            let mut end = outcome(ended.id, 0, &engine(0), Outcome::Ok, took);
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
fn answers_show_an_engine_to_be_warm_as_far_as_their_load_goes_and_slow_ones_show_nothing() {
    let (usual, slow) = (max_in_flight(100.0), max_in_flight(900.0));
    assert!(usual >= slow + 2, "{usual} against {slow}");
}

#[test]
fn figures_that_are_none_or_past_all_sense_are_left_out() {
    let absurd = LearnedEngine {
        slowdown: f64::NAN,
        error_rate: -3.0,
        other_threads: 1e300,
        ejected_until: Some(f64::INFINITY),
        ejection_ended_at: Some(1e18),
        ejections: u32::MAX,
        ..Default::default()
    };
    let balancer = restored(absurd);
    let learned = &balancer.learned().engines[0];
    assert!((learned.slowdown, learned.error_rate, learned.other_threads) == (1.0, 0.0, 0.0), "{learned:?}");
    assert!(
        learned.ejected_until.is_none() && learned.ejection_ended_at.is_none() && learned.ejections <= 6,
        "{learned:?}"
    );
}
