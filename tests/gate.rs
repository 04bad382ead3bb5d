//! One small case for each rule's part of the gate.

mod common;

use common::{engine, fleet, incoming, member, outcome, sends, settings};
use starlingplank::decide::Balancer;
use starlingplank::interface::*;

fn start(s: Settings, engines: usize) -> Balancer {
    let mut balancer = Balancer::new(s, 0.0).expect("settings are good");
    balancer.turn(0.0, &[fleet(engines)], &mut Vec::new());
    balancer
}

fn turn(balancer: &mut Balancer, now: Milliseconds, events: &[Event]) -> Vec<Action> {
    let mut actions = Vec::new();
    balancer.turn(now, events, &mut actions);
    actions
}

fn down(n: usize, availability: Availability) -> Event {
    Event::Members { complete: false, members: vec![Member { availability, ..member(n) }] }
}

#[test]
fn rule_1_an_answer_comes_even_if_the_time_out_does_not() {
    let mut balancer = start(settings(), 1);
    turn(&mut balancer, 0.0, &[Event::Request(incoming(1, 0, 100.0))]);
    let actions = turn(&mut balancer, 111.0, &[Event::Timer(0)]);
    assert!(actions.iter().any(|a| matches!(a, Action::Reject { id: RequestId(1), .. })));
    // The late outcome ends the record and brings no second answer.
    let late = outcome(1, 0, &engine(0), Outcome::Timeout, 112.0);
    assert!(turn(&mut balancer, 112.0, &[late]).iter().all(|a| matches!(a, Action::Timer { .. })));
    assert_eq!(balancer.open_requests(), 0);
}

#[test]
fn rule_2_unsafe_goes_again_only_after_proof() {
    for (how, again) in [(Outcome::Full, true), (Outcome::ConnectFailed, true), (Outcome::Reset, false)] {
        let mut s = settings();
        s.classes[0].idempotency = Idempotency::NotIdempotent;
        let mut balancer = start(s, 3);
        let first = sends(&turn(&mut balancer, 0.0, &[Event::Request(incoming(1, 0, 3_000.0))]));
        let actions = turn(&mut balancer, 10.0, &[outcome(1, 0, &first[0].1, how, 10.0)]);
        assert_eq!(sends(&actions).len(), usize::from(again), "{how:?}");
        assert_eq!(actions.contains(&Action::Fail { id: RequestId(1) }), !again, "{how:?}");
    }
}

#[test]
fn rule_2_keyed_stays_in_its_cell_and_window() {
    for (after, again) in [(100.0, true), (900.0, false)] {
        let mut s = settings();
        s.classes[0].idempotency = Idempotency::Keyed { scope: Scope::Cell, window: 800.0 };
        let mut balancer = start(s, 6);
        let first = sends(&turn(&mut balancer, 0.0, &[Event::Request(incoming(1, 0, 3_000.0))]))[0].1.clone();
        let actions = turn(&mut balancer, after, &[outcome(1, 0, &first, Outcome::Error, after)]);
        let second = sends(&actions);
        assert_eq!(second.len(), usize::from(again));
        let cell = |e: &EngineId| (0..6).find(|n| engine(*n) == *e).map(|n| n / 2);
        assert!(second.iter().all(|(_, e)| cell(e) == cell(&first)));
        assert_eq!(actions.contains(&Action::Fail { id: RequestId(1) }), !again);
    }
}

#[test]
fn rule_3_nothing_goes_to_what_drains_or_is_gone() {
    let mut balancer = start(settings(), 3);
    turn(&mut balancer, 1.0, &[down(0, Availability::Draining), down(1, Availability::Removed)]);
    for i in 0..5 {
        let sent = sends(&turn(&mut balancer, 2.0, &[Event::Request(incoming(i, 0, 3_000.0))]));
        assert!(sent.iter().all(|(_, e)| *e == engine(2)));
        assert_eq!(sent.len(), 1);
    }
}

#[test]
fn rule_5_a_key_runs_in_turn_and_rests_after_a_reset() {
    let mut s = settings();
    s.classes[0].ordered = true;
    s.max_attempts = 1;
    let mut balancer = start(s, 3);
    let ask = |id| Event::Request(RequestDetails { key: Some(OrderKey(4)), ..incoming(id, 0, 3_000.0) });
    let first = sends(&turn(&mut balancer, 0.0, &[ask(1), ask(2)]));
    assert_eq!(first.len(), 1);
    let reset = outcome(1, 0, &first[0].1, Outcome::Reset, 10.0);
    assert!(sends(&turn(&mut balancer, 10.0, &[reset])).is_empty());
    assert!(sends(&turn(&mut balancer, 500.0, &[Event::Timer(0)])).is_empty());
    assert_eq!(sends(&turn(&mut balancer, 511.0, &[Event::Timer(0)]))[0].0, 2);
}

#[test]
fn rule_6_placement_holds_even_when_the_place_is_down() {
    let mut s = settings();
    s.classes[0].zones = Some(vec![ZoneId(1)]);
    s.classes[0].kinds = Some(vec![KindId(0)]);
    let mut balancer = start(s, 4);
    let sent = sends(&turn(&mut balancer, 0.0, &[Event::Request(incoming(1, 0, 3_000.0))]));
    assert_eq!(sent[0].1, engine(1));
    turn(&mut balancer, 1.0, &[down(1, Availability::Removed)]);
    assert!(sends(&turn(&mut balancer, 2.0, &[Event::Request(incoming(2, 0, 3_000.0))])).is_empty());
    let actions = turn(&mut balancer, 130.0, &[Event::Timer(0)]);
    assert!(actions.iter().any(|a| matches!(a, Action::Reject { id: RequestId(2), .. })));
}

#[test]
fn rule_7_further_attempts_stay_in_the_ration() {
    let mut s = settings();
    s.retry_budget = Some(RetryBudgetSettings { free: 2.0, per_request: 0.0, span: 10_000.0 });
    let mut balancer = start(s, 6);
    let mut again = 0;
    for i in 0..6 {
        let at = i as f64 * 50.0;
        let first = sends(&turn(&mut balancer, at, &[Event::Request(incoming(i, 0, 3_000.0))]));
        let failed = outcome(i, 0, &first[0].1, Outcome::Full, 1.0);
        let second = sends(&turn(&mut balancer, at + 1.0, &[failed]));
        again += second.len();
        if let Some((_, e)) = second.first() {
            turn(&mut balancer, at + 2.0, &[outcome(i, 1, e, Outcome::Ok, 1.0)]);
        }
    }
    assert_eq!(again, 2);
}
