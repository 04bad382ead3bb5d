//! One test for each rule that the decision module checks before it sends an attempt.

mod common;

use common::{engine, fleet, incoming, member, outcome, sends, settings as default_settings};
use starlingplank::decide::Balancer;
use starlingplank::interface::*;

fn start(settings: Settings, engines: usize) -> Balancer {
    let mut balancer = Balancer::new(settings, 0.0).expect("settings are valid");
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
fn rule_1_request_is_answered_after_its_deadline_even_without_an_outcome_of_its_attempt() {
    let mut balancer = start(default_settings(), 1);
    run_cycle(&mut balancer, 0.0, &[Event::Request(incoming(1, 0, 100.0))]);
    let actions = run_cycle(&mut balancer, 111.0, &[Event::Timer(0)]);
    assert!(actions.iter().any(|action| matches!(action, Action::Reject { id: RequestId(1), .. })));
    // The late outcome ends the attempt and does not cause a second answer.
    let late = outcome(1, 0, &engine(0), Outcome::Timeout, 112.0);
    assert!(run_cycle(&mut balancer, 112.0, &[late])
        .iter()
        .all(|action| matches!(action, Action::Timer { .. })));
    assert_eq!(balancer.open_requests(), 0);
}

#[test]
fn rule_2_request_that_is_not_idempotent_is_retried_only_if_it_did_not_run() {
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
fn rule_2_keyed_request_is_retried_only_in_its_cell_and_window() {
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
fn rule_3_nothing_is_sent_to_draining_or_removed_engines() {
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
fn rule_5_requests_of_a_key_run_one_after_another_and_pause_after_a_reset() {
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
fn rule_6_request_stays_in_its_zone_and_machine_type_even_if_no_engine_there_is_left() {
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
fn rule_7_retries_stay_within_the_retry_budget() {
    let mut settings = default_settings();
    settings.retry_budget =
        Some(RetryBudgetSettings { min_retries: 2.0, retry_ratio: 0.0, window: 10_000.0 });
    let mut balancer = start(settings, 6);
    let mut retries = 0;
    for id in 0..6 {
        let at = id as f64 * 50.0;
        let first = sends(&run_cycle(&mut balancer, at, &[Event::Request(incoming(id, 0, 3_000.0))]));
        let failed = outcome(id, 0, &first[0].1, Outcome::Full, 1.0);
        let second = sends(&run_cycle(&mut balancer, at + 1.0, &[failed]));
        retries += second.len();
        if let Some((_, engine_id)) = second.first() {
            run_cycle(&mut balancer, at + 2.0, &[outcome(id, 1, engine_id, Outcome::Ok, 1.0)]);
        }
    }
    assert_eq!(retries, 2);
}
