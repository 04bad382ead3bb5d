use super::*;
use crate::age::{PROPAGATION_DELAY, RELOCATION_PROPAGATION_DELAY};
use crate::flows::MAX_FLOWS;
use harness::*;
use rstest::rstest;
use std::cell::Cell;

mod harness;

/// The time at which the list changes, in some of the tests.
const CHANGE: Milliseconds = 10_000.0;

/// Guards against responses that are lost because of a reload: each response takes 0.3 s, and the configuration is reloaded every
/// 0.25 s.
#[rstest]
#[case::address_unchanged(false)]
#[case::alternates_between_two_healthy_services(true)]
fn consecutive_reloads_lose_no_response(#[case] relocates: bool) {
    let mut harness = Harness::new(3, 1);
    for n in 0..48 {
        harness.run_until(f64::from(n) * 250.0, |harness, _| Some((300.0, harness.version(5_000.0))));
        let now = harness.now;
        harness.discovery.relocate(Some(address(if relocates { 1 + n as u16 % 2 } else { 1 })), now);
    }
    assert_received_within(&harness, 5_000.0, 300.0 + poll_schedule::STEADY_INTERVAL + 2.0 * STEP);
    assert!(harness.longest_gap() <= poll_schedule::STEADY_INTERVAL + STEP, "{}", harness.longest_gap());
}

#[rstest]
fn delayed_responses_are_received_and_flows_stay_bounded(
    #[values(300.0, 1_300.0, 2_500.0, 3_000.0)] delay: Milliseconds,
) {
    let mut harness = Harness::new(3, 2);
    harness.run_until(CHANGE + 5_000.0, |harness, _| Some((delay, harness.version(CHANGE))));
    assert_received_within(&harness, CHANGE, delay + poll_schedule::STEADY_INTERVAL + 2.0 * STEP);
    assert!(harness.max_open_flows <= MAX_FLOWS + 1, "{} flows", harness.max_open_flows);
    assert_eq!(
        harness.discovery.counts().responses(ResponseKind::Unsolicited),
        0,
        "each response belongs to an outstanding poll"
    );
}

/// The service is silent for 12 s, flows that were opened before its end never work again, and some later responses are lost.
#[rstest]
fn response_after_a_silence_is_received_on_a_new_flow_in_time(
    #[values(1, 5, 20)] gateways: usize,
    #[values(0, 1, 2, 3, 4)] seed: u64,
    #[values(0, 4)] lost_per_ten: u64,
) {
    let mut harness = Harness::new(gateways, seed);
    harness.run_until(18_000.0, |harness, poll| {
        let flow_works = harness.now < 2_000.0 || harness.opened_at(poll) >= 14_000.0;
        let lost = harness.now > 14_000.0 && poll.number % 10 < lost_per_ten;
        (flow_works && !lost).then_some((1.0, harness.version(14_100.0)))
    });
    // The change is propagated by the first response that contains it, which is the first one on a new flow at the earliest.
    assert_received_within(&harness, 14_100.0, GRACE + if lost_per_ten > 0 { 800.0 } else { 0.0 });
    assert!(harness.max_open_flows <= MAX_FLOWS + 1, "{} flows", harness.max_open_flows);
}

/// During a backoff, when a large fleet polls a silent service rarely, each poll is sent from a new flow.
#[test]
fn polls_during_a_backoff_are_sent_from_new_flows() {
    let mut harness = Harness::new(300, 3);
    harness.run_until(30_000.0, |_, _| None);
    let backoff_polls: Vec<&Poll> = harness.polls.iter().filter(|poll| poll.sent_at > 12_000.0).collect();
    assert!((3..=12).contains(&backoff_polls.len()), "{} polls in 18 s", backoff_polls.len());
    assert!(backoff_polls.windows(2).all(|pair| pair[0].flow != pair[1].flow), "{backoff_polls:?}");
}

/// The service is relocated while no socket can be opened: the existing flow must poll the new address.
#[test]
fn relocated_service_is_polled_from_the_existing_flow_while_no_socket_can_be_opened() {
    let mut harness = Harness::new(3, 4);
    let respond = |harness: &Harness, poll: &Poll| {
        let service = address(if harness.now < 5_000.0 { 1 } else { 2 });
        (poll.to == service).then_some((1.0, harness.version(5_200.0)))
    };
    harness.run_until(4_800.0, respond);
    harness.can_open_flows = false;
    harness.run_until(5_000.0, respond);
    harness.discovery.relocate(Some(address(2)), 5_000.0);
    harness.run_until(9_000.0, respond);
    assert_received_within(&harness, 5_200.0, poll_schedule::STEADY_INTERVAL + 2.0 * STEP);
}

/// The service is relocated at 5 s and is silent until 8 s, and then every second poll is lost. Changes count as propagated
/// 4 s after the relocation.
#[rstest]
fn update_is_received_in_time_after_a_relocation_with_silence_and_lost_polls(
    #[values(1, 5, 40, 300)] gateways: usize,
    #[values(0, 1)] lost: u64,
) {
    for seed in 0..20 {
        let mut harness = Harness::new(gateways, seed);
        let respond = |harness: &Harness, poll: &Poll| {
            let is_answered = if harness.now < 5_000.0 {
                poll.to == address(1)
            } else {
                harness.now >= 8_000.0 && poll.to == address(2) && poll.number % 2 == lost
            };
            is_answered.then_some((1.0, harness.version(5_200.0)))
        };
        harness.run_until(5_000.0, respond);
        harness.discovery.relocate(Some(address(2)), 5_000.0);
        harness.run_until(12_000.0, respond);
        assert_received_within(&harness, 5_000.0 + RELOCATION_PROPAGATION_DELAY, GRACE);
    }
}

/// The first four polls of a starting process receive no response.
#[rstest]
fn drain_is_received_in_time_if_the_first_responses_of_a_process_are_lost(
    #[values(1, 5, 40, 100)] gateways: usize,
) {
    for seed in 0..20 {
        let mut harness = Harness::new(gateways, seed);
        harness
            .run_until(6_000.0, |harness, poll| (poll.number > 4).then_some((1.0, harness.version(700.0))));
        assert_received_within(&harness, 700.0, PROPAGATION_DELAY);
    }
}

#[test]
fn continuously_confirmed_list_stays_reliable() {
    let mut harness = Harness::new(3, 5);
    for second in 1..60 {
        harness.run_until(f64::from(second) * 1_000.0, |_, _| Some((1.0, 1)));
        let remaining = harness.discovery.lease_end() - harness.now;
        assert!(remaining > PROPAGATION_DELAY + GRACE - 2.0 * poll_schedule::STEADY_INTERVAL, "{remaining}");
    }
    assert!(harness.polls.iter().all(|poll| poll.flow == harness.polls[0].flow), "a single flow is used");
    assert_eq!(harness.discovery.counts().polls(), harness.polls.len() as u64);
    assert_eq!(harness.discovery.freshness_change(harness.now), None);
    assert_eq!(harness.discovery.freshness_change(harness.now + 2_000.0), Some(Freshness::Late));
}

#[test]
fn list_of_a_silent_service_is_reliable_until_all_changes_count_as_propagated() {
    let mut harness = Harness::new(3, 6);
    harness.run_until(3_000.0, |_, _| Some((1.0, 1)));
    let confirmed = harness.now - harness.discovery.age(harness.now);
    let mut last_reliable = 0.0;
    while harness.now < 20_000.0 {
        let until = harness.now + 100.0;
        harness.run_until(until, |_, _| None);
        if harness.discovery.lease_end() > harness.now {
            last_reliable = harness.now;
        }
    }
    let expected = confirmed + 7_000.0 + GRACE;
    assert!(
        (expected - 110.0..=expected).contains(&last_reliable),
        "reliable until {last_reliable}, expected {expected}"
    );
}

/// After a process pause the list is unreliable until it is confirmed, even if the service is silent since.
#[rstest]
fn list_is_unreliable_after_a_pause_until_it_is_confirmed(#[values(true, false)] responds: bool) {
    let mut harness = Harness::new(3, 7);
    harness.pause = 5_200.0..9_200.0;
    harness.run_until(9_200.0, |_, _| Some((1.0, 1)));
    assert!(harness.discovery.lease_end() <= harness.now, "no poll was sent for 4 s");
    harness.run_until(9_250.0, |_, _| responds.then_some((1.0, 1)));
    assert_eq!(harness.discovery.lease_end() > harness.now, responds);
    harness.run_until(10_200.0, |_, _| responds.then_some((1.0, 1)));
    assert_eq!(harness.discovery.lease_end() > harness.now, responds);
    harness.run_until(10_500.0, |_, _| Some((1.0, 1)));
    assert!(harness.discovery.lease_end() > harness.now);
}

#[test]
fn only_invalid_responses_from_the_service_shorten_the_lease() {
    let mut harness = Harness::new(3, 8);
    harness.run_until(3_000.0, |_, _| Some((1.0, 1)));
    let flow = harness.polls.last().expect("a poll was sent").flow;
    harness.discovery.receive(Response::Malformed, address(9), flow, 3_100.0);
    harness.run_until(5_900.0, |_, _| None);
    assert!(
        harness.discovery.lease_end() > 5_900.0 + GRACE,
        "a response from an unknown address has no effect"
    );
    harness.discovery.receive(Response::Malformed, address(1), flow, 3_100.0);
    assert_eq!(harness.discovery.lease_end(), 3_100.0 + PROPAGATION_DELAY + GRACE);
}

#[test]
fn response_is_accepted_only_from_the_address_and_the_flow_of_its_poll() {
    let mut harness = Harness::new(3, 9);
    harness.run_until(100.0, |_, _| None);
    let poll = harness.polls[0];
    let list = Response::List { id: poll.id, version: 2 };
    let mut kind = |from, flow| harness.discovery.receive(list, from, flow, 110.0).kind;
    assert_eq!(kind(address(2), poll.flow), ResponseKind::Unsolicited);
    assert_eq!(kind(address(1), FlowId(99)), ResponseKind::Unsolicited);
    assert_eq!(kind(address(1), poll.flow), ResponseKind::Update);
    assert_eq!(kind(address(1), poll.flow), ResponseKind::Unsolicited, "a duplicate");
}

#[test]
fn response_reports_its_round_trip_and_confirms_without_superseding() {
    let mut harness = Harness::new(3, 12);
    harness.run_until(500.0, |_, _| None);
    let poll = harness.polls[1];
    let list = Response::List { id: poll.id, version: 1 };
    let classified = harness.discovery.receive(list, poll.to, poll.flow, poll.sent_at + 70.0);
    let expected =
        ClassifiedResponse { kind: ResponseKind::Confirmation, supersedes: false, round_trip: Some(70.0) };
    assert_eq!(classified, expected);
}

#[test]
fn failed_flow_is_replaced_with_the_next_poll() {
    let mut harness = Harness::new(3, 13);
    harness.run_until(1_000.0, |_, _| Some((1.0, 1)));
    let flow = harness.polls[0].flow;
    harness.discovery.fail_flow(flow);
    harness.run_until(1_300.0, |_, _| Some((1.0, 1)));
    assert_ne!(harness.polls.last().expect("a poll was sent").flow, flow);
}

/// Invalid responses from an address that is no longer polled count while one of its polls is outstanding.
#[test]
fn invalid_response_from_a_previous_address_shortens_the_lease_while_its_poll_is_outstanding() {
    let mut harness = Harness::new(3, 14);
    harness.run_until(3_000.0, |_, _| Some((1.0, 1)));
    harness.run_until(3_500.0, |_, _| None);
    let flow = harness.polls.last().expect("a poll was sent").flow;
    harness.discovery.relocate(Some(address(2)), 3_500.0);
    harness.run_until(4_000.0, |_, _| None);
    harness.discovery.receive(Response::Truncated, address(1), flow, 4_000.0);
    harness.run_until(5_000.0, |_, _| None);
    assert_eq!(harness.discovery.lease_end(), 4_000.0 + PROPAGATION_DELAY + GRACE);
}

/// If the interval may be longer than the steady one, lists that are older than the one known at the start do not count as
/// responses for the poll schedule.
#[rstest]
#[case::steady(poll_schedule::STEADY_INTERVAL, 1, 140)]
#[case::longer_interval(poll_schedule::DEFAULT_MAX_INTERVAL, 1, 60)]
#[case::longer_interval_and_newer_list(poll_schedule::DEFAULT_MAX_INTERVAL, 5, 140)]
fn poll_rate_follows_the_responses_that_count(
    #[case] max_interval: Milliseconds,
    #[case] version: u64,
    #[case] polls: usize,
) {
    let mut harness = Harness::new(3, 15);
    let schedule = poll_schedule::PollConfig { gateways: 3, gateway_index: Some(0), max_interval };
    harness.discovery = Discovery::new(&config(schedule, 15, 4), 0.0);
    harness.run_until(30_000.0, |_, _| Some((1.0, version)));
    let sent = harness.polls.len();
    assert_eq!(sent >= 140, polls >= 140, "{sent}");
    assert!(polls >= 140 || sent <= polls, "{sent}");
}

/// Changes tend to follow each other closely: after an update the next poll follows at the steady interval, even in a fleet that
/// starts at a longer interval.
#[test]
fn list_change_brings_the_next_poll_forward() {
    let gap = |version: u64| {
        let mut harness = Harness::new(300, 16);
        let schedule = poll_schedule::PollConfig {
            gateways: 300,
            gateway_index: Some(0),
            max_interval: poll_schedule::DEFAULT_MAX_INTERVAL,
        };
        harness.discovery = Discovery::new(&config(schedule, 16, 1), 0.0);
        // The first response never counts as a change. The second one contains a newer list or the same one.
        harness
            .run_until(8_000.0, |harness, _| Some((1.0, if harness.polls.len() == 1 { 1 } else { version })));
        harness.polls[2].sent_at - harness.polls[1].sent_at
    };
    assert!(gap(2) <= poll_schedule::STEADY_INTERVAL + 2.0 * STEP, "{}", gap(2));
    assert!(gap(1) > 2.0 * poll_schedule::STEADY_INTERVAL, "{}", gap(1));
}

#[test]
fn lists_from_a_previous_address_count_until_the_current_one_has_responded() {
    let mut harness = Harness::new(3, 10);
    harness.run_until(500.0, |_, _| None);
    let old = harness.polls.clone();
    harness.discovery.relocate(Some(address(2)), 500.0);
    harness.run_until(700.0, |_, _| None);
    let new = *harness.polls.last().expect("a poll was sent");
    assert_eq!(new.to, address(2));
    let (last, count) = (Cell::new(ClassifiedResponse::of(ResponseKind::Older)), Cell::new(0));
    let mut receive = |poll: &Poll, version| {
        let list = Response::List { id: poll.id, version };
        last.set(harness.discovery.receive(list, poll.to, poll.flow, 710.0));
        count.set(count.get() + 1);
        (last.get().kind, last.get().supersedes)
    };
    assert_eq!(receive(&old[0], 1_000), (ResponseKind::Update, false));
    assert_eq!(receive(&new, 99), (ResponseKind::Update, true));
    assert_eq!(receive(&old[1], 2_000), (ResponseKind::PreviousAddress, false));
    assert_eq!(count.get(), 3);
}

#[test]
fn gateway_without_a_service_sends_no_polls_and_its_lease_never_ends() {
    let mut harness = Harness::new(3, 11);
    harness.discovery.relocate(None, 0.0);
    harness.run_until(20_000.0, |_, _| None);
    assert!(harness.polls.is_empty());
    assert_eq!(harness.discovery.lease_end(), f64::INFINITY);
    assert_eq!(harness.discovery.freshness_change(20_000.0), None);
}

/// SIGHUP arrives during a process pause, and the new address is silent: the 4 s of the relocation count from the earliest time at
/// which the signal may have arrived, not from the end of the pause.
#[test]
fn relocation_during_a_pause_counts_from_the_start_of_the_pause() {
    let mut harness = Harness::new(3, 18);
    harness.run_until(5_000.0, |_, _| Some((1.0, 1)));
    harness.pause = 5_000.0..6_200.0;
    harness.run_until(6_200.0, |_, _| None);
    harness.discovery.relocate_since(Some(address(2)), 5_000.0, 6_200.0);
    harness.run_until(8_000.0, |_, _| None);
    assert_eq!(harness.discovery.lease_end(), 5_000.0 + RELOCATION_PROPAGATION_DELAY + GRACE);
}

/// Regression test for soak seed 8051: the service is silent, the process is paused, and the service responds during the pause
/// but is silent again when the process resumes. Changes during the pause may count as propagated.
#[test]
fn pause_during_a_silence_does_not_count_as_silence() {
    let mut harness = Harness::new(3, 17);
    harness.run_until(4_750.0, |_, _| Some((1.0, 1)));
    harness.pause = 6_000.0..10_700.0;
    harness.run_until(11_500.0, |_, _| None);
    assert!(harness.discovery.lease_end() <= harness.now, "no poll was sent for 4.7 s");
}
