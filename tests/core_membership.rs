//! The reducer's membership: the name service's list and its lease, operator overrides, and what an earlier process or a previous
//! address of the name service reported.

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

/// One guard keeps both rules: an engine that is out by hand is one that drains, whatever the list says of it later.
#[test]
fn engine_out_by_hand_drains_until_it_is_called_back() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a"]);
    assert!(sent(&harness.receive_request(1, None)).is_some());
    let mut hand = OperatorOverrides::default();
    hand.exclude("a", true, harness.now).expect("listed");
    let effects = harness.step(Event::OperatorOverrides(hand.clone()));
    assert!(effects.iter().any(|e| matches!(e, Effect::DropQueued(engine) if &*engine.0 == "a")));
    assert_eq!(harness.core.member_counts(), (1, 1));
    assert!(sent(&harness.receive_request(2, None)).is_none());
    // A new event of the list, one without it, and one with it again.
    for (serial, engines) in [(2, &["a", "b"][..]), (3, &["b"]), (4, &["a", "b"])] {
        harness.receive_list(serial, engines);
        for id in 0..20 {
            let effects = harness.receive_request(serial * 100 + id, None);
            let to =
                effects
                    .iter()
                    .find_map(|e| if let Effect::Send(s) = e { Some(s.engine.clone()) } else { None });
            assert!(to.is_none_or(|engine| &*engine.0 == "b"));
        }
    }
    harness.receive_list(5, &["a"]);
    assert!(sent(&harness.receive_request(1_000, None)).is_none());
    hand.include("a", true, harness.now).expect("out");
    harness.step(Event::OperatorOverrides(hand));
    assert_eq!(harness.core.member_counts(), (1, 0));
    // It is cold, and its budget lets the first request in once a draw allows it.
    let used = (0..500).any(|n| {
        harness.now += 10.0;
        sent(&harness.receive_request(2_000 + n, None)).is_some()
    });
    assert!(used);
}

/// A successor starts on `known` alone while the list is silent: what its predecessor heard binds until the service
/// speaks, though it says nothing new, and no longer than a minute.
#[rstest]
#[case::until_the_service_speaks(true)]
#[case::no_longer_than_a_minute(false)]
fn engine_that_an_earlier_process_heard_to_drain_gets_nothing(#[case] speaks: bool) {
    let mut harness = Harness::new(settings());
    let now = harness.now;
    harness.step(Event::InheritedMembership(InheritedMembership::new(now, ["b".to_owned()])));
    harness.receive_list(1, &["a", "b"]);
    let live = |harness: &Harness| harness.core.member_counts();
    assert_eq!(live(&harness), (2, 1));
    // A stale answer frees nothing.
    harness.receive_list(0, &["a", "b"]);
    assert_eq!(live(&harness), (2, 1));
    // It is passed on to the next successor as it came.
    assert_eq!(
        harness.core.membership_for_successor(),
        Some(InheritedMembership::new(now, ["b".to_owned()]))
    );
    if speaks {
        harness.receive_list(1, &["a", "b"]);
    } else {
        harness.now += 60_000.0;
        harness.step(Event::TimersDue);
    }
    assert_eq!(live(&harness), (2, 0));
    assert_eq!(harness.core.membership_for_successor().is_some(), speaks);
}

/// Nothing is known and the list is awaited: what comes is turned away at once, each to come back at another time,
/// until the service speaks, even under the number that this began with.
#[test]
fn what_comes_before_the_first_list_is_refused_at_once_and_spread() {
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
    let apart = |w: &[f64]| (w[0] - w[1]).abs() > 1.0;
    assert!(waits.windows(2).filter(|w| apart(w)).count() > 15, "{waits:?}");
    harness.receive_list(0, &["a"]);
    assert!(!harness.core.awaits_endpoint_list() && sent(&harness.receive_request(100, None)).is_some());
}

/// Of 300 that start together this one's probes leave at its place, 150 ms on; requests wait for none of it.
#[test]
fn first_probes_leave_in_turn_and_hold_no_request_up() {
    let mut harness = Harness::new(Settings {
        gateways: 300,
        gateway_index: Some(150),
        may_check_health: true,
        ..settings()
    });
    let begun = harness.now;
    let probed =
        |effects: &[Effect]| effects.iter().filter(|e| matches!(e, Effect::CheckHealth { .. })).count();
    let mut early = probed(&harness.receive_list(1, &["a", "b", "c"]));
    let effects = harness.receive_request(1, None);
    assert!(sent(&effects).is_some(), "a request does not wait for its gateway's place");
    early += probed(&effects);
    while harness.now < begun + 140.0 {
        early += probed(&harness.step(Event::TimersDue));
    }
    assert_eq!(early, 0);
    let mut later = 0;
    while harness.now < begun + 160.0 {
        later += probed(&harness.step(Event::TimersDue));
    }
    assert!(later >= 2, "{later}");
}

fn permits(effects: &[Effect]) -> Vec<&SendPermit> {
    effects.iter().filter_map(|e| if let Effect::Send(s) = e { Some(&s.permit) } else { None }).collect()
}

/// Whether the reducer says that the list may be relied on, or no longer.
fn told_reliable(effects: &[Effect]) -> Option<bool> {
    effects
        .iter()
        .find_map(|e| if let Effect::LogListReliability(reliable) = e { Some(*reliable) } else { None })
}

#[test]
fn nothing_is_sent_while_the_list_may_not_be_relied_on() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a"]);
    let until = harness.now + 1_000.0;
    assert_eq!(told_reliable(&harness.step(Event::EndpointListLease(until))), None);
    let effects = harness.receive_request(1, None);
    let permit = permits(&effects)[0].clone();
    assert_eq!(permit.check(until - 1.0), Ok(()));
    // The writer asks by itself, also before the reducer's timer has fired.
    assert_eq!(permit.check(until), Err(SendRefusal::ListExpired));
    harness.now = until;
    let effects = harness.step(Event::TimersDue);
    assert_eq!(told_reliable(&effects), Some(false));
    assert!(!effects.iter().any(|e| matches!(e, Effect::DropQueued(_))), "connections stay");
    assert!(sent(&harness.receive_request(2, None)).is_none());
    let until = harness.now + 1_000.0;
    let effects = harness.step(Event::EndpointListLease(until));
    assert_eq!(told_reliable(&effects), Some(true));
    assert!(
        sent(&effects).is_some() || sent(&harness.step(Event::RunDecisionCycle)).is_some(),
        "what waited goes out"
    );
}

#[test]
fn renewed_list_is_relied_on_past_its_former_end() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a"]);
    for _ in 0..100 {
        let effects = harness.step(Event::EndpointListLease(harness.now + 3_500.0));
        assert_eq!(told_reliable(&effects), None);
        harness.now += 200.0;
    }
    assert!(sent(&harness.receive_request(1, None)).is_some());
    // The end comes forward: what was confirmed no longer counts.
    assert_eq!(told_reliable(&harness.step(Event::EndpointListLease(harness.now))), Some(false));
    assert!(sent(&harness.receive_request(2, None)).is_none());
}

/// A service that has moved says an older version than its former address has said since: the version is taken, and what the
/// former one told of drains binds until the present one says as much.
#[test]
fn drains_that_a_former_address_told_bind_until_the_present_one_says_as_much() {
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
    assert!(harness.core.draining().is_empty(), "its word does not bind for ever");
}
