//! Tests of the oracle: each check reports a violation for a ledger that breaks its rule, and none for a ledger that satisfies it.

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
fn ledger_that_satisfies_all_rules_has_no_violations() {
    assert_eq!(violations(&ledger(), &parameters()), [""; 0]);
}

#[rstest]
#[case::late_answer(with_request(|request| request.end = RequestEnd::Answered(12.2, Answer::Served)))]
#[case::second_answer(with_request(|request| request.further_answers = 1))]
#[case::lost_connection(with_request(|request| request.end = RequestEnd::ConnectionLost(10.2)))]
#[case::no_answer(with_request(|request| request.end = RequestEnd::NoAnswer(14.0)))]
#[case::executed_twice(with_attempts(vec![attempt(10.0, 10.1), attempt(10.2, 10.3)]))]
#[case::deadline_exceeds_remaining(with_attempts(vec![AttemptRecord { budget: 2.2, ..attempt(10.1, 10.2) }]))]
#[case::exit_on_its_own(with_process(|process| process.events[2] = (20.0, ProcessEvent::Exited(Some(101)))))]
#[case::failing_exit_code(with_process(|process| process.events[3] = (21.0, ProcessEvent::Exited(Some(1)))))]
#[case::late_exit(with_process(|process| process.events[3] = (29.0, ProcessEvent::Exited(Some(0)))))]
#[case::no_exit(with_process(|process| process.events.truncate(3)))]
#[case::late_listening(with_process(|process| process.events[1].0 = 15.0))]
#[case::violation_counted_by_process(with_process(|process| process.violations = Some(1)))]
#[case::killed_after_grace(with_process(|process| process.events.insert(3, (20.5, ProcessEvent::Overdue))))]
#[case::too_many_log_lines(with_process(|process| process.log_lines = 100_000))]
fn each_broken_rule_gives_one_violation(#[case] ledger: Ledger) {
    assert_eq!(violations(&ledger, &parameters()).len(), 1, "{:?}", violations(&ledger, &parameters()));
}

#[test]
fn concurrent_attempts_are_a_violation_even_for_idempotent_requests() {
    let mut ledger = with_attempts(vec![attempt(10.0, 10.4), attempt(10.2, 10.3)]);
    ledger.requests.get_mut("a").expect("there").class = Class::Idempotent;
    assert_eq!(violations(&ledger, &parameters()).len(), 1);
}

#[test]
fn process_that_neither_listens_nor_answers_is_a_violation() {
    let mut ledger = with_process(|process| {
        process.events.remove(1);
    });
    assert_eq!(processes(&ledger, &parameters()).len(), 0, "the process lost its log line, but answers");
    ledger.requests.clear();
    assert_eq!(processes(&ledger, &parameters()).len(), 1);
}

#[test]
fn attempt_after_the_client_abandoned_the_request_is_a_violation() {
    let abandoned = |at| with_request(|request| request.end = RequestEnd::Abandoned(at));
    assert_eq!(abandoned_requests(&abandoned(10.05), &parameters()).len(), 0);
    assert_eq!(abandoned_requests(&abandoned(9.9), &parameters()).len(), 1);
}

#[test]
fn attempt_after_a_pause_in_which_the_client_abandoned_the_request_is_a_violation_for_any_slack() {
    let wide = RuleParameters { abandoned_slack: 60.0, ..parameters() };
    let paused = |from: f64, to: f64| {
        let mut ledger = with_request(|request| request.end = RequestEnd::Abandoned(9.5));
        ledger.processes[0][0].events.insert(2, (from, ProcessEvent::Paused));
        ledger.processes[0][0].events.insert(3, (to, ProcessEvent::Resumed));
        ledger
    };
    assert_eq!(abandoned_requests(&paused(9.4, 10.0), &wide).len(), 1, "the attempt arrived at 10.1");
    assert_eq!(abandoned_requests(&paused(9.4, 9.55), &wide).len(), 0, "a short pause");
    assert_eq!(abandoned_requests(&paused(9.6, 10.0), &wide).len(), 0, "abandoned before the pause");
}

/// Guards against false violations on a busy machine: when the test process itself gets no processor time, it notices an event late, and
/// the rules have to use the earliest time at which the event may have happened.
#[test]
fn late_observation_is_judged_by_its_earliest_possible_time() {
    let late_observation = Observation { earliest: 10.1, latest: 10.9 };
    let with_arrival =
        |arrived| with_attempts(vec![AttemptRecord { budget: 1.9, arrived, ..attempt(10.1, 11.0) }]);
    assert_eq!(deadlines(&with_arrival(late_observation), &parameters()).len(), 0);
    assert_eq!(deadlines(&with_arrival(Observation::exact(10.9)), &parameters()).len(), 1);
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
    assert_eq!(count(&ending), [], "a process accepts connections until 0.4 s after SIGTERM");
    let written = with_request(|request| request.end = RequestEnd::WriteFailed(10.0));
    assert_eq!(count(&written), [(Excuse::WriteFailed, 1)]);
    let mut late = with_request(|request| request.end = RequestEnd::Answered(12.5, Answer::Served));
    late.processes[0][0].events.insert(2, (11.0, ProcessEvent::Paused));
    late.processes[0][0].events.insert(3, (11.5, ProcessEvent::Resumed));
    assert_eq!(count(&late), [(Excuse::Paused, 1)]);
}

/// The run's SIGKILL at the end of the grace period after SIGTERM excuses unanswered requests only if the process is paused at that time.
#[test]
fn kill_after_the_grace_period_excuses_requests_only_during_a_pause() {
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
fn attempt_without_a_client_request_is_a_violation() {
    let mut ledger = ledger();
    ledger.attempts.insert("b".into(), vec![attempt(10.1, 10.2)]);
    assert_eq!(violations(&ledger, &parameters()).len(), 1);
}

#[test]
fn repeat_of_a_keyed_request_after_the_deduplication_window_is_a_violation() {
    let mut ledger =
        with_attempts(vec![attempt(10.0, 10.1), attempt(10.0 + parameters().key_window + 0.1, 14.0)]);
    ledger.requests.get_mut("a").expect("there").class = Class::Keyed;
    assert_eq!(repeats(&ledger, &parameters()).len(), 1);
    ledger.attempts.get_mut("a").expect("there")[1].arrived = Observation::exact(10.5);
    assert_eq!(repeats(&ledger, &parameters()).len(), 0);
}

/// Returns a ledger with an engine that drains from 5.0 on, with version 3 of the list, and an attempt that reaches it at 10.1.
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

fn relocated(gateway: usize, at: f64) -> Ledger {
    let mut ledger = silent(None, 0.0, 60.0);
    ledger.relocations.push(Relocation { gateway, at });
    ledger
}

#[rstest]
#[case::responsive_name_service(drained(), true)]
#[case::silence_ends_shortly_before_the_attempt(silent(None, 4.0, 9.0), false)]
#[case::silence_begins_soon_after_the_drain(silent(Some(0), 6.0, 9.0), false)]
#[case::silence_for_another_gateway(silent(Some(1), 4.0, 9.0), true)]
#[case::silence_ends_long_before_the_attempt(silent(None, 4.0, 6.0), true)]
#[case::silence_during_the_whole_run(silent(None, 4.0, 60.0), false)]
#[case::valid_response(announced(8.0, 3, true), true)]
#[case::valid_response_too_recent(announced(8.1, 3, true), false)]
#[case::invalid_response(announced(6.5, 3, false), true)]
#[case::invalid_response_too_recent(announced(6.6, 3, false), false)]
#[case::response_with_an_older_version(announced(6.0, 2, true), false)]
#[case::relocation(relocated(0, 4.0), true)]
#[case::relocation_too_recent(relocated(0, 4.1), false)]
#[case::relocation_of_another_gateway(relocated(1, 4.0), false)]
fn attempt_at_a_drained_engine_is_a_violation_once_the_drain_counts_as_propagated(
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
fn relocation_propagates_nothing_to_a_process_started_after_it() {
    let mut ledger = relocated(0, 4.0);
    ledger.processes[0]
        .push(ProcessRecord { events: vec![(4.5, ProcessEvent::Started)], ..ProcessRecord::default() });
    assert_eq!(drains(&ledger, &parameters()).len(), 0);
}

#[test]
fn change_counts_as_propagated_after_seven_seconds_even_in_a_silence() {
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
fn response_to_one_process_does_not_count_for_the_next() {
    let mut ledger = announced(6.0, 3, true);
    ledger.processes[0]
        .push(ProcessRecord { events: vec![(9.0, ProcessEvent::Started)], ..ProcessRecord::default() });
    assert_eq!(drains(&ledger, &parameters()).len(), 0);
}

#[test]
fn missing_answer_is_excused_if_the_gateway_was_paused_for_the_excess_wait() {
    let mut ledger = with_request(|request| request.end = RequestEnd::NoAnswer(16.0));
    assert_eq!(answers(&ledger, &parameters()).len(), 1);
    ledger.processes[0][0].events.insert(2, (10.1, ProcessEvent::Paused));
    ledger.processes[0][0].events.insert(3, (14.5, ProcessEvent::Resumed));
    assert_eq!(answers(&ledger, &parameters()).len(), 0);
}

#[test]
fn new_connection_closed_unread_in_a_flood_is_excused() {
    let lost = |on_used_connection| {
        let mut ledger = with_request(|request| {
            request.end = RequestEnd::ConnectionLost(10.5);
            request.on_used_connection = on_used_connection;
        });
        ledger.attempts.clear();
        ledger
    };
    let mut flooded = lost(false);
    flooded.connection_floods.push(ConnectionFlood { gateway: 0, from: 9.0, to: 11.0 });
    assert_eq!(answers(&flooded, &parameters()).len(), 0);
    flooded.attempts = ledger().attempts;
    assert_eq!(answers(&flooded, &parameters()).len(), 1, "the request was read");
    let mut reused = lost(true);
    reused.connection_floods.push(ConnectionFlood { gateway: 0, from: 9.0, to: 11.0 });
    assert_eq!(answers(&reused, &parameters()).len(), 1);
}

#[test]
fn attempts_beyond_the_slow_start_of_a_cold_engine_are_a_violation() {
    let mut ledger = with_attempts((0..1_000).map(|_| attempt(10.0, 10.1)).collect());
    assert_eq!(slow_starts(&ledger, &parameters()).len(), 0, "the engine is warm");
    ledger.engines[0].cold_since = Some(9.9);
    assert_eq!(slow_starts(&ledger, &parameters()).len(), 1);
}

#[test]
fn retries_beyond_the_retry_budget_are_a_violation() {
    let few = with_attempts((0..3).map(|_| attempt(10.0, 10.1)).collect());
    assert_eq!(retry_budgets(&few, &parameters()).len(), 0);
    let many = with_attempts((0..8).map(|_| attempt(10.0, 10.1)).collect());
    assert_eq!(retry_budgets(&many, &parameters()).len(), 1);
}

/// Each process has its own retry budget: retries of the previous process do not count against it.
#[test]
fn new_process_starts_with_a_full_retry_budget() {
    let add_request = |incarnation: u32, name: &str, ledger: &mut Ledger| {
        ledger.requests.insert(name.into(), RequestRecord { incarnation, ..request() });
        ledger.attempts.insert(name.into(), (0..4).map(|_| attempt(10.0, 10.1)).collect());
    };
    let mut ledger = ledger();
    add_request(0, "a", &mut ledger);
    ledger.processes[0][0].events[2].0 = 9.0;
    ledger.processes[0][0].events[3].0 = 9.5;
    ledger.processes[0]
        .push(ProcessRecord { events: vec![(9.6, ProcessEvent::Started)], ..ProcessRecord::default() });
    add_request(1, "b", &mut ledger);
    assert_eq!(retry_budgets(&ledger, &parameters()).len(), 0);
    add_request(1, "c", &mut ledger);
    assert_eq!(retry_budgets(&ledger, &parameters()).len(), 1);
}

#[test]
fn gateway_that_does_not_serve_after_the_last_fault_is_a_violation() {
    let mut ledger = ledger();
    ledger.recovery_checks = vec![RecoveryCheck { served: 5, sent: 5 }, RecoveryCheck { served: 1, sent: 5 }];
    assert_eq!(recoveries(&ledger, &parameters()).len(), 1);
}

#[test]
fn paused_within_counts_only_the_pauses_in_the_given_interval() {
    let process = ProcessRecord {
        events: vec![(1.0, ProcessEvent::Paused), (3.0, ProcessEvent::Resumed), (5.0, ProcessEvent::Paused)],
        ..ProcessRecord::default()
    };
    assert_eq!(process.paused_within(2.0, 6.0), 2.0);
}
