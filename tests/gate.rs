//! One small case for each rule that an attempt must keep before it is sent.

mod common;

use common::{engine, fleet, incoming, member, outcome, sends, settings as default_settings};
use starlingplank::decide::Balancer;
use starlingplank::interface::*;

fn start(settings: Settings, engines: usize) -> Balancer {
    let mut balancer = Balancer::new(settings, 0.0).expect("settings are good");
    balancer.run_cycle(0.0, &[fleet(engines)], &mut Vec::new());
    balancer
}

fn run_cycle(balancer: &mut Balancer, now: Milliseconds, events: &[Event]) -> Vec<Action> {
    let mut actions = Vec::new();
    balancer.run_cycle(now, events, &mut actions);
    actions
}

fn changed_to(n: usize, availability: Availability) -> Event {
    Event::EndpointListReceived { complete: false, members: vec![Member { availability, ..member(n) }] }
}

#[test]
fn rule_1_an_answer_comes_even_if_the_time_out_does_not() {
    let mut balancer = start(default_settings(), 1);
    run_cycle(&mut balancer, 0.0, &[Event::Request(incoming(1, 0, 100.0))]);
    let actions = run_cycle(&mut balancer, 111.0, &[Event::Timer(0)]);
    assert!(actions.iter().any(|action| matches!(action, Action::Reject { id: RequestId(1), .. })));
    // The late outcome ends the record and brings no second answer.
    let late = outcome(1, 0, &engine(0), Outcome::Timeout, 112.0);
    assert!(run_cycle(&mut balancer, 112.0, &[late])
        .iter()
        .all(|action| matches!(action, Action::Timer { .. })));
    assert_eq!(balancer.open_requests(), 0);
}

#[test]
fn rule_2_unsafe_goes_again_only_after_proof() {
    for (result, is_retried) in
        [(Outcome::Full, true), (Outcome::ConnectFailed, true), (Outcome::Reset, false)]
    {
        let mut settings = default_settings();
        settings.classes[0].idempotency = Idempotency::NotIdempotent;
        let mut balancer = start(settings, 3);
        let first = sends(&run_cycle(&mut balancer, 0.0, &[Event::Request(incoming(1, 0, 3_000.0))]));
        let actions = run_cycle(&mut balancer, 10.0, &[outcome(1, 0, &first[0].1, result, 10.0)]);
        assert_eq!(sends(&actions).len(), usize::from(is_retried), "{result:?}");
        assert_eq!(actions.contains(&Action::Fail { id: RequestId(1) }), !is_retried, "{result:?}");
    }
}

#[test]
fn rule_2_keyed_stays_in_its_cell_and_window() {
    for (after, is_retried) in [(100.0, true), (900.0, false)] {
        let mut settings = default_settings();
        settings.classes[0].idempotency = Idempotency::Keyed { scope: Scope::Cell, window: 800.0 };
        let mut balancer = start(settings, 6);
        let first =
            sends(&run_cycle(&mut balancer, 0.0, &[Event::Request(incoming(1, 0, 3_000.0))]))[0].1.clone();
        let actions = run_cycle(&mut balancer, after, &[outcome(1, 0, &first, Outcome::Error, after)]);
        let second = sends(&actions);
        assert_eq!(second.len(), usize::from(is_retried));
        let cell = |engine_id: &EngineId| (0..6).find(|n| engine(*n) == *engine_id).map(|n| n / 2);
        assert!(second.iter().all(|(_, engine_id)| cell(engine_id) == cell(&first)));
        assert_eq!(actions.contains(&Action::Fail { id: RequestId(1) }), !is_retried);
    }
}

#[test]
fn rule_3_nothing_goes_to_what_drains_or_is_gone() {
    let mut balancer = start(default_settings(), 3);
    run_cycle(
        &mut balancer,
        1.0,
        &[changed_to(0, Availability::Draining), changed_to(1, Availability::Removed)],
    );
    for id in 0..5 {
        let sent = sends(&run_cycle(&mut balancer, 2.0, &[Event::Request(incoming(id, 0, 3_000.0))]));
        assert!(sent.iter().all(|(_, engine_id)| *engine_id == engine(2)));
        assert_eq!(sent.len(), 1);
    }
}

#[test]
fn rule_5_a_key_runs_in_turn_and_rests_after_a_reset() {
    let mut settings = default_settings();
    settings.classes[0].ordered = true;
    settings.max_attempts = 1;
    let mut balancer = start(settings, 3);
    let ordered = |id| Event::Request(RequestDetails { key: Some(OrderKey(4)), ..incoming(id, 0, 3_000.0) });
    let first = sends(&run_cycle(&mut balancer, 0.0, &[ordered(1), ordered(2)]));
    assert_eq!(first.len(), 1);
    let reset = outcome(1, 0, &first[0].1, Outcome::Reset, 10.0);
    assert!(sends(&run_cycle(&mut balancer, 10.0, &[reset])).is_empty());
    assert!(sends(&run_cycle(&mut balancer, 500.0, &[Event::Timer(0)])).is_empty());
    assert_eq!(sends(&run_cycle(&mut balancer, 511.0, &[Event::Timer(0)]))[0].0, 2);
}

#[test]
fn rule_6_placement_holds_even_when_the_place_is_down() {
    let mut settings = default_settings();
    settings.classes[0].zones = Some(vec![ZoneId(1)]);
    settings.classes[0].machine_types = Some(vec![MachineTypeId(0)]);
    let mut balancer = start(settings, 4);
    let sent = sends(&run_cycle(&mut balancer, 0.0, &[Event::Request(incoming(1, 0, 3_000.0))]));
    assert_eq!(sent[0].1, engine(1));
    run_cycle(&mut balancer, 1.0, &[changed_to(1, Availability::Removed)]);
    assert!(sends(&run_cycle(&mut balancer, 2.0, &[Event::Request(incoming(2, 0, 3_000.0))])).is_empty());
    let actions = run_cycle(&mut balancer, 130.0, &[Event::Timer(0)]);
    assert!(actions.iter().any(|action| matches!(action, Action::Reject { id: RequestId(2), .. })));
}

#[test]
fn rule_7_further_attempts_stay_in_the_ration() {
    let mut settings = default_settings();
    settings.retry_budget =
        Some(RetryBudgetSettings { min_retries: 2.0, retry_ratio: 0.0, window: 10_000.0 });
    let mut balancer = start(settings, 6);
    let mut is_retried = 0;
    for id in 0..6 {
        let at = id as f64 * 50.0;
        let first = sends(&run_cycle(&mut balancer, at, &[Event::Request(incoming(id, 0, 3_000.0))]));
        let failed = outcome(id, 0, &first[0].1, Outcome::Full, 1.0);
        let second = sends(&run_cycle(&mut balancer, at + 1.0, &[failed]));
        is_retried += second.len();
        if let Some((_, engine_id)) = second.first() {
            run_cycle(&mut balancer, at + 2.0, &[outcome(id, 1, engine_id, Outcome::Ok, 1.0)]);
        }
    }
    assert_eq!(is_retried, 2);
}
