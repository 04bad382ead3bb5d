//! Retries, hedged requests and cancelled attempts.

use crate::common::{fleet, incoming, outcome, sends, settings as default_settings};
use crate::harness::TestGateway;
use starlingplank::decide::Balancer;
use starlingplank::interface::*;

#[test]
fn a_copy_goes_out_for_an_overdue_query_only_where_copies_are_granted() {
    for granted in [true, false] {
        let mut settings = default_settings();
        settings.may_hedge = granted;
        let mut gateway = TestGateway::new(settings, 3);
        gateway.serve(60, 0, 20.0);
        let (id, first) = gateway.receive(0);
        gateway.now += 150.0;
        gateway.run_cycle(&[Event::Timer(0)]);
        gateway.now += 150.0;
        let hedged = sends(&gateway.run_cycle(&[Event::Timer(0)]));
        assert_eq!(hedged.len(), usize::from(granted));
        assert!(hedged.iter().all(|(i, e)| *i == id && Some(e) != first.as_ref()));
    }
}

#[test]
fn what_a_client_that_left_still_has_running_is_withdrawn_where_cancels_are_granted() {
    for granted in [true, false] {
        let mut settings = default_settings();
        settings.may_cancel = granted;
        let mut gateway = TestGateway::new(settings, 2);
        let (id, sent_to) = gateway.receive(0);
        assert!(sent_to.is_some());
        let actions = gateway.run_cycle(&[Event::ClientDisconnected(RequestId(id))]);
        let cancels = actions.iter().filter(|a| matches!(a, Action::Cancel { attempt: 0, .. })).count();
        assert_eq!(cancels, usize::from(granted));
    }
}

/// An overdue attempt on an engine that fails is cancelled in time for a retry elsewhere, if a retry is allowed.
#[test]
fn what_is_out_on_an_ill_engine_goes_elsewhere_only_where_it_may_go_again() {
    let runs = |idempotency: Idempotency, max_attempts: u32, free: f64| {
        let mut settings = default_settings();
        (settings.may_cancel, settings.max_attempts) = (true, max_attempts);
        settings.classes[0].idempotency = idempotency;
        settings.retry_budget =
            Some(RetryBudgetSettings { min_retries: free, retry_ratio: 0.0, window: 5_000.0 });
        let mut gateway = TestGateway::new(settings, 4);
        gateway.serve(30, 0, 50.0);
        let (id, stuck_on) = gateway.receive(0);
        let late = gateway.now + 330.0;
        gateway.now += 205.0;
        while gateway.now < late {
            let (other, sent_to) = gateway.receive(0);
            let result = if sent_to == stuck_on { Outcome::Error } else { Outcome::Ok };
            let Some(sent_to) = sent_to else { continue };
            let cancels_it = |a: &Action| matches!(a, Action::Cancel { id: i, .. } if i.0 == id);
            if gateway.run_cycle(&[outcome(other, 0, &sent_to, result, 1.0)]).iter().any(cancels_it) {
                return true;
            }
            gateway.now += 0.5;
        }
        false
    };
    assert!(runs(Idempotency::Idempotent, 3, 50.0), "a safe one is tried afresh");
    assert!(!runs(Idempotency::NotIdempotent, 3, 50.0), "unsafe: it would only be failed");
    assert!(!runs(Idempotency::Idempotent, 1, 50.0), "at the cap on sends");
    assert!(!runs(Idempotency::Idempotent, 3, 0.0), "no ration left");
}

/// One of hundreds of gateways sends each engine a query every few seconds, and learns too late from them that an engine
/// has collapsed. A stuck attempt is therefore replaced after three times its latency alone, and not sooner. Returns the
/// engines of the replacements of four stuck attempts, after so many other queries were slow.
fn replacements_of_stuck_attempts(others: usize) -> Vec<Option<EngineId>> {
    let mut settings = default_settings();
    settings.may_cancel = true;
    settings.retry_budget =
        Some(RetryBudgetSettings { min_retries: 2.0, retry_ratio: 0.0, window: 10_000.0 });
    let mut gateway = TestGateway::new(settings, 6);
    gateway.serve(200, 0, 50.0);
    for _ in 0..others {
        let (id, sent_to) = gateway.receive(0);
        gateway.advance(400.0);
        let sent_to = sent_to.expect("sent");
        gateway.run_cycle(&[
            outcome(id, 0, &sent_to, Outcome::Ok, 400.0),
            Event::ClientDisconnected(RequestId(id)),
        ]);
    }
    let mut moved = Vec::new();
    for _ in 0..4 {
        let (id, sent_to) = gateway.receive(0);
        let sent = gateway.now;
        let cancelled = (0..40).find_map(|_| {
            gateway.now += 10.0;
            let cancel = |a: &Action| matches!(a, Action::Cancel { id: i, .. } if i.0 == id);
            gateway.run_cycle(&[Event::Timer(0)]).iter().any(cancel).then_some(gateway.now)
        });
        if let Some(at) = cancelled {
            assert!((200.0..300.0).contains(&(at - sent)), "given up after {} ms", at - sent);
            gateway.run_cycle(&[outcome(
                id,
                0,
                sent_to.as_ref().expect("sent"),
                Outcome::Cancelled,
                at - sent,
            )]);
            let retried: Vec<_> = gateway.advance(100.0).into_iter().filter(|(i, _)| *i == id).collect();
            moved.push(retried.first().map(|(_, e)| e.clone()));
            assert!(
                moved.iter().flatten().all(|e| Some(e) != sent_to.as_ref()),
                "back to where it was stuck"
            );
        }
        gateway.run_cycle(&[Event::ClientDisconnected(RequestId(id))]);
    }
    moved
}

#[test]
fn what_is_stuck_on_an_engine_of_which_nothing_bad_is_known_moves_in_time() {
    let moved = replacements_of_stuck_attempts(0);
    assert_eq!(moved.len(), 2, "as many as the ration has: {moved:?}");
}

/// In a fleet that is full as a whole, replacements would add load: a burst on eight engines went from 0.75 to 0.35.
#[test]
fn nothing_moves_while_the_whole_fleet_takes_long() {
    assert_eq!(replacements_of_stuck_attempts(30), vec![]);
}

/// Requests that are read after a pause may be as old as the pause. They earn retries only for the rest of their window.
#[test]
fn requests_that_came_in_a_stand_still_count_for_the_ration_from_when_they_may_have_come() {
    let mut settings = default_settings();
    settings.retry_budget =
        Some(RetryBudgetSettings { min_retries: 0.0, retry_ratio: 0.2, window: 10_000.0 });
    let mut balancer = Balancer::new(settings, 0.0).expect("settings are good");
    let mut actions = Vec::new();
    balancer.run_cycle(0.0, &[fleet(4)], &mut actions);
    balancer.run_cycle(100.0, &[Event::Timer(0)], &mut actions);
    // Ten arrived during a pause of 6 s, perhaps all at its start.
    let arrivals: Vec<Event> = (0..10).map(|i| Event::Request(incoming(i, 0, 30_000.0))).collect();
    balancer.run_cycle(6_100.0, &arrivals, &mut actions);
    let ends: Vec<Event> =
        sends(&actions).iter().map(|(id, engine)| outcome(*id, 0, engine, Outcome::Ok, 50.0)).collect();
    balancer.run_cycle(6_150.0, &ends, &mut actions);
    // Ten seconds after the earliest time of their arrival they earn no retries: a request that fails is not retried.
    for (at, retried) in [(9_900.0, true), (10_400.0, false)] {
        let id = at as u64;
        let mut actions = Vec::new();
        balancer.run_cycle(at, &[Event::Request(incoming(id, 0, at + 3_000.0))], &mut actions);
        let first = sends(&actions);
        assert_eq!(first.len(), 1);
        let mut actions = Vec::new();
        let full = outcome(id, 0, &first[0].1, Outcome::Reset, 10.0);
        balancer.run_cycle(at + 10.0, &[full], &mut actions);
        let sent = sends(&actions).len();
        assert_eq!(sent, usize::from(retried), "at {at}");
        if retried {
            let (id, engine) = sends(&actions)[0].clone();
            balancer.run_cycle(at + 20.0, &[outcome(id, 1, &engine, Outcome::Ok, 10.0)], &mut Vec::new());
        }
    }
}
