use super::*;
use crate::age::{PROPAGATION_DELAY, RELOCATION_PROPAGATION_DELAY};
use crate::flows::MAX_FLOWS;
use harness::*;
use rstest::rstest;
use std::cell::Cell;

mod harness;

/// When the list changes, in most runs.
const CHANGE: Milliseconds = 10_000.0;

/// Each answer takes 0.3 s, and a reload comes every 0.25 s.
#[rstest]
#[case::file_unchanged(false)]
#[case::between_two_good_services(true)]
fn reloads_in_series_lose_no_answer(#[case] moves: bool) {
    let mut harness = Harness::new(3, 1);
    for n in 0..48 {
        harness.play(f64::from(n) * 250.0, |harness, _| Some((300.0, harness.version(5_000.0))));
        let now = harness.now;
        harness.discovery.relocate(Some(address(if moves { 1 + n as u16 % 2 } else { 1 })), now);
    }
    assert_received_within(&harness, 5_000.0, 300.0 + poll_schedule::STEADY_INTERVAL + 2.0 * STEP);
    assert!(harness.longest_gap() <= poll_schedule::STEADY_INTERVAL + STEP, "{}", harness.longest_gap());
}

#[rstest]
fn answers_that_are_late_are_heard_and_flows_stay_bounded(
    #[values(300.0, 1_300.0, 2_500.0, 3_000.0)] takes: Milliseconds,
) {
    let mut harness = Harness::new(3, 2);
    harness.play(CHANGE + 5_000.0, |harness, _| Some((takes, harness.version(CHANGE))));
    assert_received_within(&harness, CHANGE, takes + poll_schedule::STEADY_INTERVAL + 2.0 * STEP);
    assert!(harness.max_open_flows <= MAX_FLOWS + 1, "{} flows", harness.max_open_flows);
    assert_eq!(
        harness.discovery.counts().responses(ResponseKind::Unsolicited),
        0,
        "no answer came for nothing"
    );
}

/// Silent for 12 s, and flows that began before the end of the silence stay dead; then some answers are lost.
#[rstest]
fn service_that_is_back_is_heard_from_a_fresh_flow_in_time(
    #[values(1, 5, 20)] gateways: usize,
    #[values(0, 1, 2, 3, 4)] seed: u64,
    #[values(0, 4)] lost_of_ten: u64,
) {
    let mut harness = Harness::new(gateways, seed);
    harness.play(18_000.0, |harness, poll| {
        let alive = harness.now < 2_000.0 || harness.opened_at(poll) >= 14_000.0;
        let lost = harness.now > 14_000.0 && poll.number % 10 < lost_of_ten;
        (alive && !lost).then_some((1.0, harness.version(14_100.0)))
    });
    // Told once an answer was sent that holds it, here the first from a fresh flow at the earliest.
    assert_received_within(&harness, 14_100.0, GRACE + if lost_of_ten > 0 { 800.0 } else { 0.0 });
    assert!(harness.max_open_flows <= MAX_FLOWS + 1, "{} flows", harness.max_open_flows);
}

/// A fleet that may ask a silent service only seldom asks each of its polls from a fresh flow.
#[test]
fn questions_of_a_back_off_leave_from_fresh_flows() {
    let mut harness = Harness::new(300, 3);
    harness.play(30_000.0, |_, _| None);
    let late: Vec<&Poll> = harness.polls.iter().filter(|poll| poll.sent_at > 12_000.0).collect();
    assert!((3..=12).contains(&late.len()), "{} polls in 18 s", late.len());
    assert!(late.windows(2).all(|pair| pair[0].flow != pair[1].flow), "{late:?}");
}

/// The service moves while no socket can be had: the flow that is there asks the new address.
#[test]
fn service_that_moves_while_sockets_fail_is_asked_from_the_flow_that_works() {
    let mut harness = Harness::new(3, 4);
    let answer = |harness: &Harness, poll: &Poll| {
        let good = address(if harness.now < 5_000.0 { 1 } else { 2 });
        (poll.to == good).then_some((1.0, harness.version(5_200.0)))
    };
    harness.play(4_800.0, answer);
    harness.can_open = false;
    harness.play(5_000.0, answer);
    harness.discovery.relocate(Some(address(2)), 5_000.0);
    harness.play(9_000.0, answer);
    assert_received_within(&harness, 5_200.0, poll_schedule::STEADY_INTERVAL + 2.0 * STEP);
}

/// The service moves at 5 s, the new one says nothing until 8 s, and then every second poll is lost. Everything counts as
/// told 4 s after the move.
#[rstest]
fn moved_service_that_is_silent_and_then_loses_every_second_question_is_heard_in_time(
    #[values(1, 5, 40, 300)] gateways: usize,
    #[values(0, 1)] lost: u64,
) {
    for seed in 0..20 {
        let mut harness = Harness::new(gateways, seed);
        let answer = |harness: &Harness, poll: &Poll| {
            let good = if harness.now < 5_000.0 {
                poll.to == address(1)
            } else {
                harness.now >= 8_000.0 && poll.to == address(2) && poll.number % 2 == lost
            };
            good.then_some((1.0, harness.version(5_200.0)))
        };
        harness.play(5_000.0, answer);
        harness.discovery.relocate(Some(address(2)), 5_000.0);
        harness.play(12_000.0, answer);
        assert_received_within(&harness, 5_000.0 + RELOCATION_PROPAGATION_DELAY, GRACE);
    }
}

/// A process that starts while answers get lost: the first four polls are named.
#[rstest]
fn process_whose_first_answers_are_lost_hears_a_drain_in_time(#[values(1, 5, 40, 100)] gateways: usize) {
    for seed in 0..20 {
        let mut harness = Harness::new(gateways, seed);
        harness.play(6_000.0, |harness, poll| (poll.number > 4).then_some((1.0, harness.version(700.0))));
        assert_received_within(&harness, 700.0, PROPAGATION_DELAY);
    }
}

#[test]
fn list_that_is_confirmed_all_the_time_stays_reliable() {
    let mut harness = Harness::new(3, 5);
    for second in 1..60 {
        harness.play(f64::from(second) * 1_000.0, |_, _| Some((1.0, 1)));
        let left = harness.discovery.lease_end() - harness.now;
        assert!(left > PROPAGATION_DELAY + GRACE - 2.0 * poll_schedule::STEADY_INTERVAL, "{left}");
    }
    assert!(harness.polls.iter().all(|poll| poll.flow == harness.polls[0].flow), "one flow is enough");
    assert_eq!(harness.discovery.counts().polls(), harness.polls.len() as u64);
    assert_eq!(harness.discovery.freshness_change(harness.now), None);
    assert_eq!(harness.discovery.freshness_change(harness.now + 2_000.0), Some(Freshness::Late));
}

#[test]
fn list_of_a_silent_service_is_reliable_until_all_counts_as_told() {
    let mut harness = Harness::new(3, 6);
    harness.play(3_000.0, |_, _| Some((1.0, 1)));
    let confirmed = harness.now - harness.discovery.age(harness.now);
    let mut last_reliable = 0.0;
    while harness.now < 20_000.0 {
        let until = harness.now + 100.0;
        harness.play(until, |_, _| None);
        if harness.discovery.lease_end() > harness.now {
            last_reliable = harness.now;
        }
    }
    let expected = confirmed + 7_000.0 + GRACE;
    assert!((expected - 110.0..=expected).contains(&last_reliable), "{last_reliable} of {expected}");
}

/// After a pause the list is not relied on before it is confirmed, also where the service is silent since.
#[rstest]
fn list_is_confirmed_after_a_pause_before_it_is_relied_on(#[values(true, false)] answers: bool) {
    let mut harness = Harness::new(3, 7);
    harness.pause = 5_200.0..9_200.0;
    harness.play(9_200.0, |_, _| Some((1.0, 1)));
    assert!(harness.discovery.lease_end() <= harness.now, "nothing was asked for 4 s");
    harness.play(9_250.0, |_, _| answers.then_some((1.0, 1)));
    assert_eq!(harness.discovery.lease_end() > harness.now, answers);
    harness.play(10_200.0, |_, _| answers.then_some((1.0, 1)));
    assert_eq!(harness.discovery.lease_end() > harness.now, answers);
    harness.play(10_500.0, |_, _| Some((1.0, 1)));
    assert!(harness.discovery.lease_end() > harness.now);
}

#[test]
fn spoilt_answers_of_the_service_bind_as_good_ones_would() {
    let mut harness = Harness::new(3, 8);
    harness.play(3_000.0, |_, _| Some((1.0, 1)));
    let flow = harness.polls.last().expect("asked").flow;
    harness.discovery.receive(Response::Malformed, address(9), flow, 3_100.0);
    harness.play(5_900.0, |_, _| None);
    assert!(harness.discovery.lease_end() > 5_900.0 + GRACE, "a stranger's word is nothing");
    harness.discovery.receive(Response::Malformed, address(1), flow, 3_100.0);
    assert_eq!(harness.discovery.lease_end(), 3_100.0 + PROPAGATION_DELAY + GRACE);
}

#[test]
fn answer_is_taken_from_the_address_and_the_flow_that_were_asked() {
    let mut harness = Harness::new(3, 9);
    harness.play(100.0, |_, _| None);
    let poll = harness.polls[0];
    let list = Response::List { id: poll.id, version: 2 };
    let mut kind = |from, flow| harness.discovery.receive(list, from, flow, 110.0).kind;
    assert_eq!(kind(address(2), poll.flow), ResponseKind::Unsolicited);
    assert_eq!(kind(address(1), FlowId(99)), ResponseKind::Unsolicited);
    assert_eq!(kind(address(1), poll.flow), ResponseKind::Update);
    assert_eq!(kind(address(1), poll.flow), ResponseKind::Unsolicited, "a second copy");
}

#[test]
fn answer_tells_how_long_it_took_and_confirms_without_superseding() {
    let mut harness = Harness::new(3, 12);
    harness.play(500.0, |_, _| None);
    let poll = harness.polls[1];
    let list = Response::List { id: poll.id, version: 1 };
    let verdict = harness.discovery.receive(list, poll.to, poll.flow, poll.sent_at + 70.0);
    let expected =
        ClassifiedResponse { kind: ResponseKind::Confirmation, supersedes: false, round_trip: Some(70.0) };
    assert_eq!(verdict, expected);
}

#[test]
fn flow_that_fails_is_left_with_the_next_question() {
    let mut harness = Harness::new(3, 13);
    harness.play(1_000.0, |_, _| Some((1.0, 1)));
    let flow = harness.polls[0].flow;
    harness.discovery.fail_flow(flow);
    harness.play(1_300.0, |_, _| Some((1.0, 1)));
    assert_ne!(harness.polls.last().expect("asked").flow, flow);
}

/// Spoilt answers of an address that is asked no longer count while one of its polls is out.
#[test]
fn spoilt_answer_of_a_former_address_binds_while_its_question_is_out() {
    let mut harness = Harness::new(3, 14);
    harness.play(3_000.0, |_, _| Some((1.0, 1)));
    harness.play(3_500.0, |_, _| None);
    let flow = harness.polls.last().expect("asked").flow;
    harness.discovery.relocate(Some(address(2)), 3_500.0);
    harness.play(4_000.0, |_, _| None);
    harness.discovery.receive(Response::Truncated, address(1), flow, 4_000.0);
    harness.play(5_000.0, |_, _| None);
    assert_eq!(harness.discovery.lease_end(), 4_000.0 + PROPAGATION_DELAY + GRACE);
}

/// Where the pace may be slower than steady, lists that are older than what a start knows are no answers to it.
#[rstest]
#[case::platform(poll_schedule::STEADY_INTERVAL, 1, 140)]
#[case::slower(poll_schedule::DEFAULT_MAX_INTERVAL, 1, 60)]
#[case::slower_and_newer(poll_schedule::DEFAULT_MAX_INTERVAL, 5, 140)]
fn pace_follows_the_answers_that_count(
    #[case] max_interval: Milliseconds,
    #[case] version: u64,
    #[case] polls: usize,
) {
    let mut harness = Harness::new(3, 15);
    let schedule = poll_schedule::PollConfig { gateways: 3, gateway_index: Some(0), max_interval };
    harness.discovery = Discovery::new(&config(schedule, 15, 4), 0.0);
    harness.play(30_000.0, |_, _| Some((1.0, version)));
    let asked = harness.polls.len();
    assert_eq!(asked >= 140, polls >= 140, "{asked}");
    assert!(polls >= 140 || asked <= polls, "{asked}");
}

/// Changes come together: news is followed by the next poll at the steady pace, in a fleet that begins slowly.
#[test]
fn news_quickens_the_next_question() {
    let gap = |version: u64| {
        let mut harness = Harness::new(300, 16);
        let schedule = poll_schedule::PollConfig {
            gateways: 300,
            gateway_index: Some(0),
            max_interval: poll_schedule::DEFAULT_MAX_INTERVAL,
        };
        harness.discovery = Discovery::new(&config(schedule, 16, 1), 0.0);
        // The first answer is no change, whatever it says; the second is news or not.
        harness.play(8_000.0, |harness, _| Some((1.0, if harness.polls.len() == 1 { 1 } else { version })));
        harness.polls[2].sent_at - harness.polls[1].sent_at
    };
    assert!(gap(2) <= poll_schedule::STEADY_INTERVAL + 2.0 * STEP, "{}", gap(2));
    assert!(gap(1) > 2.0 * poll_schedule::STEADY_INTERVAL, "{}", gap(1));
}

#[test]
fn word_of_a_former_address_counts_until_the_present_one_has_spoken() {
    let mut harness = Harness::new(3, 10);
    harness.play(500.0, |_, _| None);
    let old = harness.polls.clone();
    harness.discovery.relocate(Some(address(2)), 500.0);
    harness.play(700.0, |_, _| None);
    let new = *harness.polls.last().expect("asked");
    assert_eq!(new.to, address(2));
    let (last, said) = (Cell::new(ClassifiedResponse::of(ResponseKind::Older)), Cell::new(0));
    let mut hear = |poll: &Poll, version| {
        let list = Response::List { id: poll.id, version };
        last.set(harness.discovery.receive(list, poll.to, poll.flow, 710.0));
        said.set(said.get() + 1);
        (last.get().kind, last.get().supersedes)
    };
    assert_eq!(hear(&old[0], 1_000), (ResponseKind::Update, false));
    assert_eq!(hear(&new, 99), (ResponseKind::Update, true));
    assert_eq!(hear(&old[1], 2_000), (ResponseKind::PreviousAddress, false));
    assert_eq!(said.get(), 3);
}

#[test]
fn gateway_without_a_service_asks_nothing_and_relies_on_its_list() {
    let mut harness = Harness::new(3, 11);
    harness.discovery.relocate(None, 0.0);
    harness.play(20_000.0, |_, _| None);
    assert!(harness.polls.is_empty());
    assert_eq!(harness.discovery.lease_end(), f64::INFINITY);
    assert_eq!(harness.discovery.freshness_change(20_000.0), None);
}

/// SIGHUP arrives in a pause of the process: its 4 s count from then, and the new address says nothing.
#[test]
fn move_of_the_service_in_a_pause_counts_from_the_pause() {
    let mut harness = Harness::new(3, 18);
    harness.play(5_000.0, |_, _| Some((1.0, 1)));
    harness.pause = 5_000.0..6_200.0;
    harness.play(6_200.0, |_, _| None);
    harness.discovery.relocate_since(Some(address(2)), 5_000.0, 6_200.0);
    harness.play(8_000.0, |_, _| None);
    assert_eq!(harness.discovery.lease_end(), 5_000.0 + RELOCATION_PROPAGATION_DELAY + GRACE);
}

/// Soak seed 8051: the service is silent, the process stands still, the service is back meanwhile and silent again as the process
/// goes on. What happened in the pause may have been told.
#[test]
fn pause_in_the_middle_of_a_silence_is_no_part_of_it() {
    let mut harness = Harness::new(3, 17);
    harness.play(4_750.0, |_, _| Some((1.0, 1)));
    harness.pause = 6_000.0..10_700.0;
    harness.play(11_500.0, |_, _| None);
    assert!(harness.discovery.lease_end() <= harness.now, "nothing was asked for 4.7 s");
}
