//! The reducer's endpoint membership: the endpoint list and its lease, operator overrides, and drains that an earlier
//! process or a previous address of the name service reported.

mod common;
mod reducer;

use common::settings;
use reducer::*;
use rstest::rstest;
use starlingplank::core::{Answer, Effect, Event};
use starlingplank::interface::*;
use starlingplank_admin::inherited_membership::InheritedMembership;
use starlingplank_admin::operator_overrides::OperatorOverrides;
use starlingplank_decision::permission::send::{SendPermit, SendRefusal};

/// An engine that an operator excludes is treated like a draining one. Later endpoint lists, with or without the engine, must
/// not put it back into use: only the operator's include does.
#[test]
fn engine_excluded_by_an_operator_drains_until_it_is_included_again() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a"]);
    assert!(sent(&harness.receive_request(1, None)).is_some());
    let mut overrides = OperatorOverrides::default();
    overrides.exclude("a", true, harness.now).expect("listed");
    let effects = harness.step(Event::OperatorOverrides(overrides.clone()));
    assert!(effects.iter().any(|e| matches!(e, Effect::DropQueued(engine) if &*engine.0 == "a")));
    assert_eq!(harness.core.member_counts(), (1, 1));
    assert!(sent(&harness.receive_request(2, None)).is_none());
    // The next lists are one with the engine, one without it, and one with it again.
    for (serial, engines) in [(2, &["a", "b"][..]), (3, &["b"]), (4, &["a", "b"])] {
        harness.receive_list(serial, engines);
        for id in 0..20 {
            let effects = harness.receive_request(serial * 100 + id, None);
            let sent_to =
                effects
                    .iter()
                    .find_map(|e| if let Effect::Send(s) = e { Some(s.engine.clone()) } else { None });
            assert!(sent_to.is_none_or(|engine| &*engine.0 == "b"));
        }
    }
    harness.receive_list(5, &["a"]);
    assert!(sent(&harness.receive_request(1_000, None)).is_none());
    overrides.include("a", true, harness.now).expect("out");
    harness.step(Event::OperatorOverrides(overrides));
    assert_eq!(harness.core.member_counts(), (1, 0));
    // The engine is in slow start: its budget admits the first request once a random draw allows it.
    let is_used = (0..500).any(|n| {
        harness.now += 10.0;
        sent(&harness.receive_request(2_000 + n, None)).is_some()
    });
    assert!(is_used);
}

/// A process that starts while the name service does not answer uses the configured engines. It must not send to an engine
/// that its predecessor knew to drain, until the name service sends a current list, even an unchanged one, but for at most
/// one minute.
#[rstest]
#[case::until_a_current_list(true)]
#[case::for_at_most_a_minute(false)]
fn drain_reported_to_an_earlier_process_applies_to_its_successor(#[case] current_list_arrives: bool) {
    let mut harness = Harness::new(settings());
    let now = harness.now;
    harness.step(Event::InheritedMembership(InheritedMembership::new(now, ["b".to_owned()])));
    harness.receive_list(1, &["a", "b"]);
    let engine_counts = |harness: &Harness| harness.core.member_counts();
    assert_eq!(engine_counts(&harness), (2, 1));
    // An older list does not end the drain.
    harness.receive_list(0, &["a", "b"]);
    assert_eq!(engine_counts(&harness), (2, 1));
    // The inherited membership is passed on unchanged to the next successor.
    assert_eq!(
        harness.core.membership_for_successor(),
        Some(InheritedMembership::new(now, ["b".to_owned()]))
    );
    if current_list_arrives {
        harness.receive_list(1, &["a", "b"]);
    } else {
        harness.now += 60_000.0;
        harness.step(Event::TimersDue);
    }
    assert_eq!(engine_counts(&harness), (2, 0));
    assert_eq!(harness.core.membership_for_successor().is_some(), current_list_arrives);
}

/// Without a known engine and before the first endpoint list, requests are rejected at once. Their retry times are spread, so
/// that clients do not retry together. The first list ends this even if its version is the one that the gateway started
/// with.
#[test]
fn requests_before_the_first_list_are_rejected_at_once_with_spread_retry_times() {
    let mut harness = Harness::new(Settings { max_retry_after: 10_000.0, ..settings() });
    harness.receive_list(0, &[]);
    harness.core.await_endpoint_list(harness.now);
    harness.now += 1_000.0;
    let waits: Vec<f64> = (0..20)
        .map(|id| match answers(&harness.receive_request(id, None))[..] {
            [Answer::Rejected(ms)] => *ms,
            ref other => panic!("{other:?}"),
        })
        .collect();
    assert!(waits.iter().all(|ms| (1_000.0..2_600.0).contains(ms)), "{waits:?}");
    let differ = |w: &[f64]| (w[0] - w[1]).abs() > 1.0;
    assert!(waits.windows(2).filter(|w| differ(w)).count() > 15, "{waits:?}");
    harness.receive_list(0, &["a"]);
    assert!(!harness.core.awaits_endpoint_list() && sent(&harness.receive_request(100, None)).is_some());
}

/// 300 gateways that start together must not all check the engines' health at the same time. The gateway with index 150 sends
/// its first health checks after 150 ms, and requests do not wait for them.
#[test]
fn first_health_checks_are_staggered_by_gateway_and_do_not_delay_requests() {
    let mut harness = Harness::new(Settings {
        gateways: 300,
        gateway_index: Some(150),
        may_check_health: true,
        ..settings()
    });
    let started_at = harness.now;
    let count_checks =
        |effects: &[Effect]| effects.iter().filter(|e| matches!(e, Effect::CheckHealth { .. })).count();
    let mut checks_before_slot = count_checks(&harness.receive_list(1, &["a", "b", "c"]));
    let effects = harness.receive_request(1, None);
    assert!(sent(&effects).is_some(), "a request does not wait for the first health checks");
    checks_before_slot += count_checks(&effects);
    while harness.now < started_at + 140.0 {
        checks_before_slot += count_checks(&harness.step(Event::TimersDue));
    }
    assert_eq!(checks_before_slot, 0);
    let mut checks_in_slot = 0;
    while harness.now < started_at + 160.0 {
        checks_in_slot += count_checks(&harness.step(Event::TimersDue));
    }
    assert!(checks_in_slot >= 2, "{checks_in_slot}");
}

fn permits(effects: &[Effect]) -> Vec<&SendPermit> {
    effects.iter().filter_map(|e| if let Effect::Send(s) = e { Some(&s.permit) } else { None }).collect()
}

/// Returns the list reliability that the reducer logs, `None` if it did not change.
fn logged_reliability(effects: &[Effect]) -> Option<bool> {
    effects
        .iter()
        .find_map(|e| if let Effect::LogListReliability(reliable) = e { Some(*reliable) } else { None })
}

#[test]
fn nothing_is_sent_while_the_lease_of_the_list_is_expired() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a"]);
    let until = harness.now + 1_000.0;
    assert_eq!(logged_reliability(&harness.step(Event::EndpointListLease(until))), None);
    let effects = harness.receive_request(1, None);
    let permit = permits(&effects)[0].clone();
    assert_eq!(permit.check(until - 1.0), Ok(()));
    // The writer of the attempt checks the lease itself, so it refuses even before the reducer's timer has expired.
    assert_eq!(permit.check(until), Err(SendRefusal::ListExpired));
    harness.now = until;
    let effects = harness.step(Event::TimersDue);
    assert_eq!(logged_reliability(&effects), Some(false));
    assert!(!effects.iter().any(|e| matches!(e, Effect::DropQueued(_))), "connections stay open");
    assert!(sent(&harness.receive_request(2, None)).is_none());
    let until = harness.now + 1_000.0;
    let effects = harness.step(Event::EndpointListLease(until));
    assert_eq!(logged_reliability(&effects), Some(true));
    assert!(
        sent(&effects).is_some() || sent(&harness.step(Event::RunDecisionCycle)).is_some(),
        "the waiting request is sent"
    );
}

#[test]
fn renewed_lease_is_valid_beyond_its_previous_end() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a"]);
    for _ in 0..100 {
        let effects = harness.step(Event::EndpointListLease(harness.now + 3_500.0));
        assert_eq!(logged_reliability(&effects), None);
        harness.now += 200.0;
    }
    assert!(sent(&harness.receive_request(1, None)).is_some());
    // The new lease ends earlier than the previous one, and the earlier end applies.
    assert_eq!(logged_reliability(&harness.step(Event::EndpointListLease(harness.now))), Some(false));
    assert!(sent(&harness.receive_request(2, None)).is_none());
}

/// After the name service has moved, its new address may send an older version of the list than its previous address did.
/// The older version is accepted, but drains that the previous address reported apply until the new one has reached the same
/// version, and for at most a minute. Otherwise attempts would be sent to draining engines.
#[test]
fn drains_from_a_previous_address_apply_until_the_new_address_reaches_their_version() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a", "b"]);
    let drains = |id| endpoint(id, Availability::Draining);
    let live = |id| endpoint(id, Availability::Live);
    harness.receive_list(1, &["a", "b"]);
    harness.step(Event::EndpointList { version: 9, endpoints: vec![drains("a"), live("b")] });
    harness.receive_list(9, &["a", "b"]);
    harness.step(Event::PreviousAddressSuperseded);
    harness.receive_list(2, &["a", "b", "c"]);
    assert_eq!((harness.core.membership_version(), harness.core.draining()), (Some(2), vec!["a"]));
    harness.receive_list(8, &["a", "c"]);
    assert_eq!(harness.core.draining(), ["a"]);
    harness.receive_list(9, &["a", "c"]);
    assert!(harness.core.draining().is_empty());
    harness.step(Event::EndpointList { version: 10, endpoints: vec![drains("a"), live("b")] });
    harness.step(Event::PreviousAddressSuperseded);
    harness.receive_list(9, &["a"]);
    assert_eq!(harness.core.draining(), ["a"]);
    harness.now += 61_000.0;
    harness.step(Event::TimersDue);
    assert!(harness.core.draining().is_empty(), "the drains of the previous address expire after a minute");
}
