//! The reducer by itself: no sockets, and the clock is a number.

mod common;
mod reducer;

use common::settings;
use reducer::*;
use starlingplank::core::{Answer, AttemptEnd, AttemptId, Effect, Event};
use starlingplank::interface::*;
use starlingplank_persistence::deduplication_window::{self, DeduplicationWindow, LogState, TrustedLog};
use starlingplank_persistence::recovery::{self, RestoredState};
use starlingplank_persistence::snapshot_records::Snapshot;

#[test]
fn a_late_answer_to_an_attempt_given_up_is_not_the_next_one_s() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a", "b"]);
    let first = sent(&harness.receive_request(1, None)).expect("sent");
    let effects = harness.step(Event::AttemptEnded(first, AttemptEnd::from_outcome(Outcome::ConnectFailed)));
    let second = sent(&effects).expect("sent again");
    assert_eq!(second, AttemptId { request: first.request, number: 1 });
    assert!(
        answers(&harness.step(Event::AttemptEnded(first, AttemptEnd::from_outcome(Outcome::Ok)))).is_empty()
    );
    assert_eq!(
        answers(&harness.step(Event::AttemptEnded(second, AttemptEnd::from_outcome(Outcome::Ok)))).len(),
        1
    );
    assert!(
        answers(&harness.step(Event::AttemptEnded(second, AttemptEnd::from_outcome(Outcome::Ok)))).is_empty(),
        "a second answer"
    );
}

#[test]
fn a_list_that_came_late_changes_nothing_and_one_that_is_new_shuts_what_left() {
    let mut harness = Harness::new(settings());
    harness.receive_list(5, &["a"]);
    assert!(!harness.receive_list(4, &[]).iter().any(|e| matches!(e, Effect::DropQueued(_))));
    let first = sent(&harness.receive_request(1, None)).expect("sent");
    assert!(harness.receive_list(6, &[]).iter().any(|e| matches!(e, Effect::DropQueued(_))));
    // What ran there can end no more: it is given up soon, not at its deadline.
    harness.now += 300.0;
    let effects = harness.step(Event::TimersDue);
    assert!(effects.iter().any(|e| matches!(e, Effect::AbortAttempt { attempt, .. } if *attempt == first)));
}

#[test]
fn a_client_that_leaves_ends_its_attempts_at_once() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a"]);
    let first = sent(&harness.receive_request(1, None)).expect("sent");
    let mut effects = Vec::new();
    harness.core.handle(harness.now, Event::ClientDisconnected(RequestId(1)), &mut effects);
    assert!(effects.iter().any(|e| matches!(e, Effect::AbortAttempt { attempt, .. } if *attempt == first)));
}

#[test]
fn a_deadline_is_answered_once_and_in_time() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a"]);
    assert!(sent(&harness.receive_request(1, None)).is_some());
    harness.now += 1_990.0;
    assert_eq!(answers(&harness.step(Event::TimersDue)).len(), 1);
    harness.now += 100.0;
    assert!(answers(&harness.step(Event::TimersDue)).is_empty());
}

/// At the end of its time an attempt was followed by two more that could not leave, both counted as sent.
#[test]
fn nothing_is_sent_in_the_time_kept_for_the_answer() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a", "b"]);
    assert!(sent(&harness.receive_request(1, None)).is_some());
    harness.now += 1_970.0;
    let mut effects = Vec::new();
    for _ in 0..6 {
        effects.extend(harness.step(Event::TimersDue));
    }
    assert_eq!((answers(&effects).len(), sent(&effects)), (1, None));
    assert_eq!(harness.core.counts()[0].outcomes[Outcome::NotExecuted as usize], 0);
}

#[test]
fn a_repeat_of_a_key_does_not_leave_once_the_engines_may_have_forgotten_it() {
    let mut s = settings();
    s.classes[0].idempotency = Idempotency::Keyed { scope: Scope::All, window: 1_000.0 };
    let mut harness = Harness::new(s);
    harness.receive_list(1, &["a"]);
    let first = sent(&harness.receive_request(1, Some("k"))).expect("sent");
    harness.step(Event::AttemptEnded(first, AttemptEnd::from_outcome(Outcome::Ok)));
    harness.now += 980.0;
    assert_eq!(sent(&harness.receive_request(2, Some("k"))), None);
    assert!(sent(&harness.receive_request(3, Some("other"))).is_some());
    harness.now += 100.0;
    let late = harness.receive_request(4, Some("k"));
    assert!(sent(&late).is_none() && matches!(answers(&late)[..], [Answer::Rejected(_)]), "engines may lag");
    harness.now += deduplication_window::MAX_ARRIVAL_DELAY;
    assert!(
        sent(&harness.receive_request(5, Some("k"))).is_some(),
        "past the window it is a load of its own"
    );
}

/// A harness whose keys go through a log, which was begun.
fn logged() -> Harness {
    let mut s = settings();
    s.classes[0].idempotency = Idempotency::Keyed { scope: Scope::All, window: 12_000.0 };
    let mut harness = Harness::new(s);
    let mut gate = DeduplicationWindow::new(LogState::Open { required: false }, 12_000.0, 100, harness.now);
    gate.restore(TrustedLog::default(), harness.now);
    harness.core.resume(gate, None);
    harness.receive_list(1, &["a", "b"]);
    assert!(harness.step(Event::MaintenanceTick).iter().any(|e| matches!(e, Effect::RewriteLog(_))));
    assert!(harness
        .step(Event::LogRewritten(Vec::new()))
        .iter()
        .any(|e| matches!(e, Effect::WriteMark { .. })));
    harness
}

fn record(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|e| if let Effect::WriteRecord { number, .. } = e { Some(*number) } else { None })
}

#[test]
fn keyed_send_leaves_once_its_record_is_durable_and_not_before() {
    let mut harness = logged();
    let effects = harness.receive_request(1, Some("k"));
    let number = record(&effects).expect("a record");
    assert_eq!(sent(&effects), None);
    assert!(sent(&harness.receive_request(2, None)).is_some(), "what has no key waits for no record");
    assert_eq!(
        sent(&harness.step(Event::RecordsDurable(vec![number]))),
        Some(AttemptId { request: RequestId(1), number: 0 })
    );
    assert_eq!(sent(&harness.step(Event::RecordsDurable(vec![number]))), None, "once");
}

#[test]
fn engine_that_drains_while_a_record_is_written_gets_nothing() {
    let mut harness = logged();
    let number = record(&harness.receive_request(1, Some("k"))).expect("a record");
    harness.receive_list(2, &[]);
    let effects = harness.step(Event::RecordsDurable(vec![number]));
    assert_eq!(sent(&effects), None);
    assert_eq!(harness.core.counts()[0].outcomes[Outcome::NotExecuted as usize], 1, "it never ran");
}

/// The window counts from when the request was taken, and what is left of it goes along with the attempt.
#[test]
fn keyed_send_says_until_when_it_may_leave() {
    let mut s = settings();
    s.classes[0].idempotency = Idempotency::Keyed { scope: Scope::All, window: 800.0 };
    let mut harness = Harness::new(s);
    harness.receive_list(1, &["a"]);
    let within = |effects: &[Effect]| {
        let sends =
            effects
                .iter()
                .filter_map(|e| if let Effect::Send(s) = e { Some(s.transmit_within) } else { None });
        sends.collect::<Vec<_>>()
    };
    // 20 ms are kept for the way.
    assert_eq!(within(&harness.receive_request(1, Some("k"))), [Some(780.0)]);
    let unkeyed = harness.receive_request(2, None);
    assert_eq!(within(&unkeyed), [None]);
}

#[test]
fn client_that_leaves_before_there_is_an_engine_sends_nothing_once_there_is_one() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &[]);
    assert_eq!(sent(&harness.receive_request(1, None)), None, "it waits");
    harness.step(Event::ClientDisconnected(RequestId(1)));
    assert_eq!(sent(&harness.receive_list(2, &["a"])), None);
    // One that stays is sent then.
    harness.receive_list(3, &[]);
    assert_eq!(sent(&harness.receive_request(2, None)), None);
    assert_eq!(sent(&harness.receive_list(4, &["a"])), Some(AttemptId { request: RequestId(2), number: 0 }));
}

#[test]
fn client_that_leaves_while_its_record_is_written_sends_nothing() {
    let mut harness = logged();
    let number = record(&harness.receive_request(1, Some("k"))).expect("a record");
    harness.step(Event::ClientDisconnected(RequestId(1)));
    assert_eq!(sent(&harness.step(Event::RecordsDurable(vec![number]))), None);
}

#[test]
fn disk_that_hangs_costs_keyed_requests_alone_and_they_are_answered_at_once() {
    let mut harness = logged();
    let number = record(&harness.receive_request(1, Some("k"))).expect("a record");
    let mut effects = Vec::new();
    for _ in 0..400 {
        effects.extend(harness.step(Event::TimersDue));
    }
    assert!(sent(&effects).is_none() && answers(&effects).len() == 1, "one answer: {effects:?}");
    assert_eq!(sent(&harness.step(Event::RecordsDurable(vec![number]))), None, "too late to be of use");
    let refused = harness.receive_request(2, Some("other"));
    assert!(matches!(answers(&refused)[..], [Answer::Rejected(_)]) && record(&refused).is_none());
    assert!(sent(&harness.receive_request(3, None)).is_some());
    // The disk goes on: the log is begun anew, and keys leave again once that is durable.
    let effects = harness.step(Event::MaintenanceTick);
    let keys =
        effects.iter().find_map(|e| if let Effect::RewriteLog(w) = e { Some(w.clone()) } else { None });
    let rewrite = keys.expect("begun anew");
    assert_eq!(rewrite.mark, None, "a log that failed carries no mark until it is whole");
    harness.step(Event::LogRewritten(rewrite.keys));
    assert!(record(&harness.receive_request(4, Some("third"))).is_some());
}

#[test]
fn recalled_engines_follow_the_list_that_names_them() {
    let mut first = Harness::new(settings());
    first.receive_list(1, &["a", "b"]);
    let send = sent(&first.receive_request(1, None)).expect("sent");
    (0..60).for_each(|_| drop(first.step(Event::TimersDue)));
    first.step(Event::AttemptEnded(send, AttemptEnd::from_outcome(Outcome::Ok)));
    let learned = first.core.learned(first.now);
    let snapshot = Snapshot::new("n0", &learned, &first.core.addresses());
    assert!(snapshot.engines.iter().any(|e| e.confirmed_at.is_some()), "{snapshot:?}");

    let mut second = Harness::new(settings());
    second.now = first.now + 500.0;
    let recall = RestoredState::new(&snapshot, second.now, recovery::DEFAULT_SETTINGS).expect("it counts");
    second.core.resume(DeduplicationWindow::in_memory(), Some(recall));
    second.receive_list(1, &["a", "b"]);
    let back = second.core.learned(second.now);
    assert!(back.classes[0].bands.iter().any(|b| b.samples > 0.5), "{back:?}");
    let doubted: Vec<_> = back.engines.iter().filter(|e| e.maybe_in_slow_start).collect();
    assert_eq!(doubted.len(), 1, "the one that was never heard of: {back:?}");
}

#[test]
fn the_end_answers_what_is_open_and_then_exits() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a"]);
    harness.receive_request(1, None);
    harness.step(Event::Terminate { requested_at: harness.now });
    harness.now += 1_000.0;
    assert!(!harness.step(Event::TimersDue).iter().any(|e| matches!(e, Effect::Exit)));
    harness.now += 2_500.0;
    let effects = harness.step(Event::TimersDue);
    assert_eq!(answers(&effects).len(), 1);
    assert!(effects.iter().any(|e| matches!(e, Effect::Exit)));
}

/// SIGTERM arrives in a pause of the process: SIGKILL follows the signal, not the end of the pause.
#[test]
fn the_end_that_was_requested_in_a_pause_answers_what_is_open_in_time() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a"]);
    harness.now += 2_500.0;
    harness.receive_request(1, None);
    harness.step(Event::Terminate { requested_at: harness.now - 2_500.0 });
    harness.now += 800.0;
    let effects = harness.step(Event::TimersDue);
    assert_eq!(answers(&effects).len(), 1);
    assert!(effects.iter().any(|e| matches!(e, Effect::Exit)));
}

/// The pause outlasts the time for answers: requests are still taken for a while, and rejected at once.
#[test]
fn the_end_that_is_noticed_after_its_time_answers_all_and_accepts_for_a_while() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a"]);
    harness.now += 10_000.0;
    harness.receive_request(1, None);
    let mut effects = harness.step(Event::Terminate { requested_at: harness.now - 10_000.0 });
    effects.extend(harness.step(Event::TimersDue));
    assert_eq!(answers(&effects).len(), 1);
    assert!(!effects.iter().any(|e| matches!(e, Effect::Exit)), "clients may not know of it yet");
    let effects = harness.receive_request(2, None);
    assert!(effects.iter().any(|e| matches!(e, Effect::Answer(RequestId(2), Answer::Rejected(_)))));
}

#[test]
fn what_comes_after_the_last_answers_is_refused_at_once() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a"]);
    harness.step(Event::Terminate { requested_at: harness.now });
    assert!(sent(&harness.receive_request(1, None)).is_some(), "there is time left");
    harness.now += 60_000.0;
    harness.step(Event::TimersDue);
    let effects = harness.receive_request(2, None);
    assert!(effects.iter().any(|e| matches!(e, Effect::Answer(RequestId(2), Answer::Rejected(_)))));
    assert!(sent(&effects).is_none());
}

/// A repeat of what another process of this gateway sent keeps to the window of that.
#[test]
fn key_that_another_process_sent_is_not_sent_after_its_window() {
    let mut s = settings();
    s.classes[0].idempotency = Idempotency::Keyed { scope: Scope::All, window: 12_000.0 };
    let mut harness = Harness::new(s);
    harness.now = 100_000.0;
    harness.receive_list(1, &["a"]);
    let sends = deduplication_window::KeySends {
        first: harness.now - 11_990.0,
        last: harness.now - 11_990.0,
        window: 12_000.0,
    };
    harness.step(Event::PeerKeys(vec![(deduplication_window::key("k1"), sends)]));
    let effects = harness.receive_request(1, Some("k1"));
    assert!(effects.iter().any(|e| matches!(e, Effect::Answer(_, Answer::Rejected(_)))), "{effects:?}");
    assert!(sent(&harness.receive_request(2, Some("k2"))).is_some());
}
