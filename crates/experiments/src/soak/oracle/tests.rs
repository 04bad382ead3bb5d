//! Each check is seen to fail with a ledger in which its rule is broken, and to pass with one in which it is kept.

use super::*;
use crate::soak::ledger::{
    Announcement, Answer, AttemptEnd, AttemptOutcome, ConnectionFlood, Drain, EngineRecord, Observation,
    ProcessEvent, ProcessRecord, Relocation, Silence,
};
use rstest::rstest;

fn parameters() -> RuleParameters {
    crate::soak::rule_parameters()
}

fn request() -> RequestRecord {
    RequestRecord {
        gateway: 0,
        incarnation: 0,
        class: Class::NotIdempotent,
        sent: 10.0,
        timeout: 2.0,
        end: RequestEnd::Answered(10.5, Answer::Served),
        ended_after: 10.5,
        further_answers: 0,
        on_used_connection: false,
    }
}

fn attempt(arrived: f64, ended: f64) -> AttemptRecord {
    AttemptRecord {
        engine: 0,
        arrived: Observation::exact(arrived),
        budget: 1.5,
        end: Some(AttemptEnd { at: Observation::exact(ended), outcome: AttemptOutcome::Served }),
    }
}

fn ledger() -> Ledger {
    let process = ProcessRecord {
        events: vec![
            (0.0, ProcessEvent::Started),
            (0.1, ProcessEvent::Listening),
            (20.0, ProcessEvent::Terminated),
            (21.0, ProcessEvent::Exited(Some(0))),
        ],
        log_lines: 10,
        violations: Some(0),
    };
    Ledger {
        requests: BTreeMap::from([("a".into(), request())]),
        attempts: BTreeMap::from([("a".into(), vec![attempt(10.1, 10.4)])]),
        processes: vec![vec![process]],
        engines: vec![EngineRecord { cold_since: None, drain: None }],
        recovery_checks: vec![RecoveryCheck { served: 5, sent: 5 }],
        ..Ledger::default()
    }
}

fn with_request(change: impl FnOnce(&mut RequestRecord)) -> Ledger {
    let mut ledger = ledger();
    let request = ledger.requests.get_mut("a").expect("there");
    change(request);
    let (RequestEnd::Answered(at, _)
    | RequestEnd::Abandoned(at)
    | RequestEnd::ConnectionLost(at)
    | RequestEnd::NoAnswer(at)
    | RequestEnd::WriteFailed(at)) = request.end;
    request.ended_after = at;
    ledger
}

fn with_attempts(attempts: Vec<AttemptRecord>) -> Ledger {
    let mut ledger = ledger();
    ledger.attempts.insert("a".into(), attempts);
    ledger
}

fn with_process(change: impl FnOnce(&mut ProcessRecord)) -> Ledger {
    let mut ledger = ledger();
    change(&mut ledger.processes[0][0]);
    ledger
}

#[test]
fn sound_play_breaks_nothing() {
    assert_eq!(violations(&ledger(), &parameters()), [""; 0]);
}

#[rstest]
#[case::late(with_request(|request| request.end = RequestEnd::Answered(12.2, Answer::Served)))]
#[case::twice(with_request(|request| request.further_answers = 1))]
#[case::lost(with_request(|request| request.end = RequestEnd::ConnectionLost(10.2)))]
#[case::nothing(with_request(|request| request.end = RequestEnd::NoAnswer(14.0)))]
#[case::run_twice(with_attempts(vec![attempt(10.0, 10.1), attempt(10.2, 10.3)]))]
#[case::told_too_much(with_attempts(vec![AttemptRecord { budget: 2.2, ..attempt(10.1, 10.2) }]))]
#[case::killed_itself(with_process(|process| process.events[2] = (20.0, ProcessEvent::Exited(Some(101)))))]
#[case::bad_code(with_process(|process| process.events[3] = (21.0, ProcessEvent::Exited(Some(1)))))]
#[case::ended_late(with_process(|process| process.events[3] = (29.0, ProcessEvent::Exited(Some(0)))))]
#[case::never_ended(with_process(|process| process.events.truncate(3)))]
#[case::listened_late(with_process(|process| process.events[1].0 = 15.0))]
#[case::violation(with_process(|process| process.violations = Some(1)))]
#[case::overdue(with_process(|process| process.events.insert(3, (20.5, ProcessEvent::Overdue))))]
#[case::log_flood(with_process(|process| process.log_lines = 100_000))]
fn each_break_is_found(#[case] ledger: Ledger) {
    assert_eq!(violations(&ledger, &parameters()).len(), 1, "{:?}", violations(&ledger, &parameters()));
}

#[test]
fn two_attempts_out_at_once_are_found_also_where_a_repeat_does_no_harm() {
    let mut ledger = with_attempts(vec![attempt(10.0, 10.4), attempt(10.2, 10.3)]);
    ledger.requests.get_mut("a").expect("there").class = Class::Idempotent;
    assert_eq!(violations(&ledger, &parameters()).len(), 1);
}

#[test]
fn process_that_neither_listens_nor_answers_is_found() {
    let mut ledger = with_process(|process| {
        process.events.remove(1);
    });
    assert_eq!(processes(&ledger, &parameters()).len(), 0, "its log was lost, and it answers");
    ledger.requests.clear();
    assert_eq!(processes(&ledger, &parameters()).len(), 1);
}

#[test]
fn attempt_after_its_client_has_gone_is_found() {
    let abandoned = |at| with_request(|request| request.end = RequestEnd::Abandoned(at));
    assert_eq!(abandoned_requests(&abandoned(10.05), &parameters()).len(), 0);
    assert_eq!(abandoned_requests(&abandoned(9.9), &parameters()).len(), 1);
}

#[test]
fn attempt_after_the_pause_in_which_its_client_has_gone_is_found_however_wide_the_slack() {
    let wide = RuleParameters { abandoned_slack: 60.0, ..parameters() };
    let paused = |from: f64, to: f64| {
        let mut ledger = with_request(|request| request.end = RequestEnd::Abandoned(9.5));
        ledger.processes[0][0].events.insert(2, (from, ProcessEvent::Paused));
        ledger.processes[0][0].events.insert(3, (to, ProcessEvent::Resumed));
        ledger
    };
    assert_eq!(abandoned_requests(&paused(9.4, 10.0), &wide).len(), 1, "the attempt arrived at 10.1");
    assert_eq!(abandoned_requests(&paused(9.4, 9.55), &wide).len(), 0, "a short pause");
    assert_eq!(abandoned_requests(&paused(9.6, 10.0), &wide).len(), 0, "not in the pause");
}

/// The run's own process got no time from the machine: what it noticed late happened in time.
#[test]
fn what_was_noticed_late_counts_from_the_last_look_before() {
    let unseen = Observation { earliest: 10.1, latest: 10.9 };
    let told = |arrived| with_attempts(vec![AttemptRecord { budget: 1.9, arrived, ..attempt(10.1, 11.0) }]);
    assert_eq!(deadlines(&told(unseen), &parameters()).len(), 0);
    assert_eq!(deadlines(&told(Observation::exact(10.9)), &parameters()).len(), 1);
    let mut overlapping = vec![attempt(10.0, 10.4), attempt(10.2, 10.3)];
    overlapping[0].end = Some(AttemptEnd {
        at: Observation { earliest: 10.1, latest: 10.4 },
        outcome: AttemptOutcome::ConnectionClosed,
    });
    assert_eq!(single_attempts(&with_attempts(overlapping), &parameters()).len(), 0);
    let mut late = with_request(|request| request.end = RequestEnd::Answered(12.2, Answer::Served));
    late.requests.get_mut("a").expect("there").ended_after = 12.0;
    assert_eq!(answers(&late, &parameters()).len(), 0);
}

#[test]
fn excuses_are_counted() {
    let count = |ledger: &Ledger| excuses(ledger, &parameters()).into_iter().collect::<Vec<_>>();
    let lost = |at| move |request: &mut RequestRecord| request.end = RequestEnd::ConnectionLost(at);
    assert_eq!(count(&ledger()), []);
    let crossed = with_request(|request| {
        lost(10.02)(request);
        request.on_used_connection = true;
    });
    assert_eq!(count(&crossed), [(Excuse::CrossedClose, 1)]);
    let mut flooded = with_request(lost(10.2));
    flooded.attempts.clear();
    flooded.connection_floods.push(ConnectionFlood { gateway: 0, from: 9.0, to: 11.0 });
    assert_eq!(count(&flooded), [(Excuse::ClosedUnread, 1)]);
    let mut killed = with_request(lost(10.2));
    killed.processes[0][0].events.insert(2, (10.1, ProcessEvent::Killed));
    assert_eq!(count(&killed), [(Excuse::Killed, 1)]);
    let mut ending = with_request(lost(10.2));
    ending.attempts.clear();
    ending.processes[0][0].events[2] = (9.5, ProcessEvent::Terminated);
    assert_eq!(count(&ending), [(Excuse::ClosedInShutdown, 1)]);
    ending.processes[0][0].events[2] = (9.7, ProcessEvent::Terminated);
    assert_eq!(count(&ending), [], "connections come until 0.4 s after SIGTERM");
    let written = with_request(|request| request.end = RequestEnd::WriteFailed(10.0));
    assert_eq!(count(&written), [(Excuse::WriteFailed, 1)]);
    let mut late = with_request(|request| request.end = RequestEnd::Answered(12.5, Answer::Served));
    late.processes[0][0].events.insert(2, (11.0, ProcessEvent::Paused));
    late.processes[0][0].events.insert(3, (11.5, ProcessEvent::Resumed));
    assert_eq!(count(&late), [(Excuse::Paused, 1)]);
}

/// SIGKILL at the end of a shutdown excuses the requests of a process that is paused then, and no others.
#[test]
fn overdue_process_excuses_its_requests_only_in_a_pause() {
    let overdue = |paused: bool| {
        let mut ledger = with_request(|request| request.end = RequestEnd::ConnectionLost(10.2));
        let events = &mut ledger.processes[0][0].events;
        events.truncate(2);
        events.push((6.4, ProcessEvent::Terminated));
        if paused {
            events.push((9.9, ProcessEvent::Paused));
        }
        events.push((10.1, ProcessEvent::Overdue));
        events.push((10.2, ProcessEvent::Exited(None)));
        ledger
    };
    assert_eq!(answers(&overdue(true), &parameters()).len(), 0);
    assert_eq!(processes(&overdue(true), &parameters()), [""; 0]);
    assert_eq!(answers(&overdue(false), &parameters()).len(), 1);
    assert_eq!(processes(&overdue(false), &parameters()).len(), 2, "it ended by a signal, and late");
}

#[test]
fn attempt_of_a_request_that_nobody_sent_is_found() {
    let mut ledger = ledger();
    ledger.attempts.insert("b".into(), vec![attempt(10.1, 10.2)]);
    assert_eq!(violations(&ledger, &parameters()).len(), 1);
}

#[test]
fn keyed_request_past_its_window_is_found() {
    let mut ledger =
        with_attempts(vec![attempt(10.0, 10.1), attempt(10.0 + parameters().key_window + 0.1, 14.0)]);
    ledger.requests.get_mut("a").expect("there").class = Class::Keyed;
    assert_eq!(repeats(&ledger, &parameters()).len(), 1);
    ledger.attempts.get_mut("a").expect("there")[1].arrived = Observation::exact(10.5);
    assert_eq!(repeats(&ledger, &parameters()).len(), 0);
}

/// An engine that drains from 5.0 on with version 3, and an attempt that reaches it at 10.1.
fn drained() -> Ledger {
    let mut ledger = ledger();
    ledger.engines[0].drain = Some(Drain { at: 5.0, version: 3 });
    ledger
}

fn announced(at: f64, version: u32, is_valid: bool) -> Ledger {
    let mut ledger = silent(None, 0.0, 60.0);
    ledger.announcements.push(Announcement { gateway: 0, at, version, is_valid });
    ledger
}

fn silent(gateway: Option<usize>, from: f64, to: f64) -> Ledger {
    let mut ledger = drained();
    ledger.silences.push(Silence { gateway, from, to });
    ledger
}

fn moved(gateway: usize, at: f64) -> Ledger {
    let mut ledger = silent(None, 0.0, 60.0);
    ledger.relocations.push(Relocation { gateway, at });
    ledger
}

#[rstest]
#[case::told_in_time(drained(), true)]
#[case::silent_until_just_before(silent(None, 4.0, 9.0), false)]
#[case::silent_from_soon_after(silent(Some(0), 6.0, 9.0), false)]
#[case::silent_elsewhere(silent(Some(1), 4.0, 9.0), true)]
#[case::silent_long_ago(silent(None, 4.0, 6.0), true)]
#[case::silent_for_all_means(silent(None, 4.0, 60.0), false)]
#[case::good_answer(announced(8.0, 3, true), true)]
#[case::good_answer_just_before(announced(8.1, 3, true), false)]
#[case::spoilt_answer(announced(6.5, 3, false), true)]
#[case::spoilt_answer_just_before(announced(6.6, 3, false), false)]
#[case::answer_without_it(announced(6.0, 2, true), false)]
#[case::moved(moved(0, 4.0), true)]
#[case::moved_just_before(moved(0, 4.1), false)]
#[case::another_moved(moved(1, 4.0), false)]
fn attempt_at_a_drained_engine_is_found_once_it_counts_as_told(
    #[case] ledger: Ledger,
    #[case] is_violation: bool,
) {
    let parameters = RuleParameters { drain_grace: 2.05, ..parameters() };
    assert_eq!(
        drains(&ledger, &parameters).len(),
        usize::from(is_violation),
        "{:?}",
        drains(&ledger, &parameters)
    );
}

#[test]
fn move_tells_nothing_to_a_process_that_was_started_after_it() {
    let mut ledger = moved(0, 4.0);
    ledger.processes[0]
        .push(ProcessRecord { events: vec![(4.5, ProcessEvent::Started)], ..ProcessRecord::default() });
    assert_eq!(drains(&ledger, &parameters()).len(), 0);
}

#[test]
fn change_counts_as_told_by_all_means_after_seven_seconds() {
    let mut ledger = silent(None, 0.0, 60.0);
    ledger.attempts.get_mut("a").expect("there")[0].arrived =
        Observation::exact(5.0 + 7.0 + parameters().drain_grace + 0.01);
    assert_eq!(drains(&ledger, &parameters()).len(), 1);
}

#[test]
fn pause_of_a_process_excuses_no_attempt_at_a_drained_engine() {
    let mut ledger = drained();
    ledger.processes[0][0].events.insert(2, (5.0, ProcessEvent::Paused));
    ledger.processes[0][0].events.insert(3, (10.0, ProcessEvent::Resumed));
    assert_eq!(drains(&ledger, &parameters()).len(), 1);
}

#[test]
fn what_one_process_was_told_is_not_told_to_the_next() {
    let mut ledger = announced(6.0, 3, true);
    ledger.processes[0]
        .push(ProcessRecord { events: vec![(9.0, ProcessEvent::Started)], ..ProcessRecord::default() });
    assert_eq!(drains(&ledger, &parameters()).len(), 0);
}

#[test]
fn client_that_waits_no_longer_than_its_gateway_stands_still_is_excused() {
    let mut ledger = with_request(|request| request.end = RequestEnd::NoAnswer(16.0));
    assert_eq!(answers(&ledger, &parameters()).len(), 1);
    ledger.processes[0][0].events.insert(2, (10.1, ProcessEvent::Paused));
    ledger.processes[0][0].events.insert(3, (14.5, ProcessEvent::Resumed));
    assert_eq!(answers(&ledger, &parameters()).len(), 0);
}

#[test]
fn connection_that_is_shut_unread_in_a_crowd_is_excused() {
    let lost = |on_used_connection| {
        let mut ledger = with_request(|request| {
            request.end = RequestEnd::ConnectionLost(10.5);
            request.on_used_connection = on_used_connection;
        });
        ledger.attempts.clear();
        ledger
    };
    let mut crowded = lost(false);
    crowded.connection_floods.push(ConnectionFlood { gateway: 0, from: 9.0, to: 11.0 });
    assert_eq!(answers(&crowded, &parameters()).len(), 0);
    crowded.attempts = ledger().attempts;
    assert_eq!(answers(&crowded, &parameters()).len(), 1, "it was read");
    let mut resting = lost(true);
    resting.connection_floods.push(ConnectionFlood { gateway: 0, from: 9.0, to: 11.0 });
    assert_eq!(answers(&resting, &parameters()).len(), 1);
}

#[test]
fn crowd_at_a_cold_engine_is_found() {
    let mut ledger = with_attempts((0..1_000).map(|_| attempt(10.0, 10.1)).collect());
    assert_eq!(slow_starts(&ledger, &parameters()).len(), 0, "it is warm");
    ledger.engines[0].cold_since = Some(9.9);
    assert_eq!(slow_starts(&ledger, &parameters()).len(), 1);
}

#[test]
fn further_attempts_past_the_budget_are_found() {
    let few = with_attempts((0..3).map(|_| attempt(10.0, 10.1)).collect());
    assert_eq!(retry_budgets(&few, &parameters()).len(), 0);
    let many = with_attempts((0..8).map(|_| attempt(10.0, 10.1)).collect());
    assert_eq!(retry_budgets(&many, &parameters()).len(), 1);
}

/// Each process has a budget of its own: what the former one spent counts no more.
#[test]
fn retry_budget_begins_with_its_process() {
    let of = |incarnation: u32, name: &str, ledger: &mut Ledger| {
        ledger.requests.insert(name.into(), RequestRecord { incarnation, ..request() });
        ledger.attempts.insert(name.into(), (0..4).map(|_| attempt(10.0, 10.1)).collect());
    };
    let mut ledger = ledger();
    of(0, "a", &mut ledger);
    ledger.processes[0][0].events[2].0 = 9.0;
    ledger.processes[0][0].events[3].0 = 9.5;
    ledger.processes[0]
        .push(ProcessRecord { events: vec![(9.6, ProcessEvent::Started)], ..ProcessRecord::default() });
    of(1, "b", &mut ledger);
    assert_eq!(retry_budgets(&ledger, &parameters()).len(), 0);
    of(1, "c", &mut ledger);
    assert_eq!(retry_budgets(&ledger, &parameters()).len(), 1);
}

#[test]
fn process_that_does_not_serve_in_the_end_is_found() {
    let mut ledger = ledger();
    ledger.recovery_checks = vec![RecoveryCheck { served: 5, sent: 5 }, RecoveryCheck { served: 1, sent: 5 }];
    assert_eq!(recoveries(&ledger, &parameters()).len(), 1);
}

#[test]
fn time_in_which_a_process_was_stopped_is_no_delay_of_its_own() {
    let process = ProcessRecord {
        events: vec![(1.0, ProcessEvent::Paused), (3.0, ProcessEvent::Resumed), (5.0, ProcessEvent::Paused)],
        ..ProcessRecord::default()
    };
    assert_eq!(process.paused_within(2.0, 6.0), 2.0);
}
