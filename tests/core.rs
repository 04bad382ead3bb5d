//! Tests of the reducer without sockets, in virtual time.

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
fn late_answer_to_an_ended_attempt_is_not_taken_for_the_next_attempt() {
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
        "the request was answered twice"
    );
}

#[test]
fn older_endpoint_list_is_ignored_and_a_newer_one_drops_removed_engines() {
    let mut harness = Harness::new(settings());
    harness.receive_list(5, &["a"]);
    assert!(!harness.receive_list(4, &[]).iter().any(|e| matches!(e, Effect::DropQueued(_))));
    let first = sent(&harness.receive_request(1, None)).expect("sent");
    assert!(harness.receive_list(6, &[]).iter().any(|e| matches!(e, Effect::DropQueued(_))));
    // The attempt on the removed engine can no longer end. It is aborted soon, and not only at its deadline.
    harness.now += 300.0;
    let effects = harness.step(Event::TimersDue);
    assert!(effects.iter().any(|e| matches!(e, Effect::AbortAttempt { attempt, .. } if *attempt == first)));
}

#[test]
fn disconnect_of_a_client_aborts_its_attempts_at_once() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a"]);
    let first = sent(&harness.receive_request(1, None)).expect("sent");
    let mut effects = Vec::new();
    harness.core.handle(harness.now, Event::ClientDisconnected(RequestId(1)), &mut effects);
    assert!(effects.iter().any(|e| matches!(e, Effect::AbortAttempt { attempt, .. } if *attempt == first)));
}

#[test]
fn request_is_answered_once_and_before_its_deadline() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a"]);
    assert!(sent(&harness.receive_request(1, None)).is_some());
    harness.now += 1_990.0;
    assert_eq!(answers(&harness.step(Event::TimersDue)).len(), 1);
    harness.now += 100.0;
    assert!(answers(&harness.step(Event::TimersDue)).is_empty());
}

/// Guards against attempts that start in the time reserved for the answer, just before the deadline. Two such attempts were
/// counted as sent, although they could not be written any more.
#[test]
fn no_attempt_starts_in_the_time_reserved_for_the_answer() {
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
fn repeat_of_a_key_is_not_sent_around_the_end_of_its_deduplication_window() {
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
    assert!(
        sent(&late).is_none() && matches!(answers(&late)[..], [Answer::Rejected(_)]),
        "attempts may arrive late at engines"
    );
    harness.now += deduplication_window::MAX_ARRIVAL_DELAY;
    assert!(
        sent(&harness.receive_request(5, Some("k"))).is_some(),
        "after the window the request counts as a new one"
    );
}

/// Returns a harness with an idempotency log that has been rewritten once and is in use.
fn harness_with_log() -> Harness {
    let mut s = settings();
    s.classes[0].idempotency = Idempotency::Keyed { scope: Scope::All, window: 12_000.0 };
    let mut harness = Harness::new(s);
    let mut window = DeduplicationWindow::new(LogState::Open { required: false }, 12_000.0, 100, harness.now);
    window.restore(TrustedLog::default(), harness.now);
    harness.core.resume(window, None);
    harness.receive_list(1, &["a", "b"]);
    assert!(harness.step(Event::MaintenanceTick).iter().any(|e| matches!(e, Effect::RewriteLog(_))));
    assert!(harness
        .step(Event::LogRewritten(Vec::new()))
        .iter()
        .any(|e| matches!(e, Effect::WriteMark { .. })));
    harness
}

fn written_record(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|e| if let Effect::WriteRecord { number, .. } = e { Some(*number) } else { None })
}

#[test]
fn keyed_attempt_is_sent_once_and_only_after_its_log_record_is_durable() {
    let mut harness = harness_with_log();
    let effects = harness.receive_request(1, Some("k"));
    let number = written_record(&effects).expect("a record");
    assert_eq!(sent(&effects), None);
    assert!(
        sent(&harness.receive_request(2, None)).is_some(),
        "a request without a key does not wait for a record"
    );
    assert_eq!(
        sent(&harness.step(Event::RecordsDurable(vec![number]))),
        Some(AttemptId { request: RequestId(1), number: 0 })
    );
    assert_eq!(sent(&harness.step(Event::RecordsDurable(vec![number]))), None, "the attempt was sent twice");
}

#[test]
fn attempt_is_not_sent_if_its_engine_is_removed_while_the_log_record_is_written() {
    let mut harness = harness_with_log();
    let number = written_record(&harness.receive_request(1, Some("k"))).expect("a record");
    harness.receive_list(2, &[]);
    let effects = harness.step(Event::RecordsDurable(vec![number]));
    assert_eq!(sent(&effects), None);
    assert_eq!(
        harness.core.counts()[0].outcomes[Outcome::NotExecuted as usize],
        1,
        "the attempt counts as not executed"
    );
}

/// An attempt that is written late could arrive after its deduplication window. The window begins when the request is
/// accepted, and the attempt carries the time that remains of it.
#[test]
fn keyed_attempt_carries_the_time_within_which_it_may_be_sent() {
    let mut s = settings();
    s.classes[0].idempotency = Idempotency::Keyed { scope: Scope::All, window: 800.0 };
    let mut harness = Harness::new(s);
    harness.receive_list(1, &["a"]);
    let transmit_within = |effects: &[Effect]| {
        let sends =
            effects
                .iter()
                .filter_map(|e| if let Effect::Send(s) = e { Some(s.transmit_within) } else { None });
        sends.collect::<Vec<_>>()
    };
    // 20 ms are reserved for the transmission to the engine.
    assert_eq!(transmit_within(&harness.receive_request(1, Some("k"))), [Some(780.0)]);
    let unkeyed = harness.receive_request(2, None);
    assert_eq!(transmit_within(&unkeyed), [None]);
}

#[test]
fn waiting_request_of_a_disconnected_client_is_not_sent_when_an_engine_is_added() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &[]);
    assert_eq!(sent(&harness.receive_request(1, None)), None, "the request waits for an engine");
    harness.step(Event::ClientDisconnected(RequestId(1)));
    assert_eq!(sent(&harness.receive_list(2, &["a"])), None);
    // The request of a client that stays connected is sent when an engine is added.
    harness.receive_list(3, &[]);
    assert_eq!(sent(&harness.receive_request(2, None)), None);
    assert_eq!(sent(&harness.receive_list(4, &["a"])), Some(AttemptId { request: RequestId(2), number: 0 }));
}

#[test]
fn attempt_is_not_sent_if_its_client_disconnects_while_the_log_record_is_written() {
    let mut harness = harness_with_log();
    let number = written_record(&harness.receive_request(1, Some("k"))).expect("a record");
    harness.step(Event::ClientDisconnected(RequestId(1)));
    assert_eq!(sent(&harness.step(Event::RecordsDurable(vec![number]))), None);
}

#[test]
fn hanging_disk_affects_only_keyed_requests_which_are_rejected_at_once() {
    let mut harness = harness_with_log();
    let number = written_record(&harness.receive_request(1, Some("k"))).expect("a record");
    let mut effects = Vec::new();
    for _ in 0..400 {
        effects.extend(harness.step(Event::TimersDue));
    }
    assert!(sent(&effects).is_none() && answers(&effects).len() == 1, "one answer: {effects:?}");
    assert_eq!(
        sent(&harness.step(Event::RecordsDurable(vec![number]))),
        None,
        "the attempt was sent after the answer"
    );
    let refused = harness.receive_request(2, Some("other"));
    assert!(matches!(answers(&refused)[..], [Answer::Rejected(_)]) && written_record(&refused).is_none());
    assert!(sent(&harness.receive_request(3, None)).is_some());
    // The disk works again. The log is rewritten, and keyed attempts are sent again once that is durable.
    let effects = harness.step(Event::MaintenanceTick);
    let keys =
        effects.iter().find_map(|e| if let Effect::RewriteLog(w) = e { Some(w.clone()) } else { None });
    let rewrite = keys.expect("the log is rewritten");
    assert_eq!(rewrite.mark, None, "a log that failed gets no mark until it is complete");
    harness.step(Event::LogRewritten(rewrite.keys));
    assert!(written_record(&harness.receive_request(4, Some("third"))).is_some());
}

#[test]
fn restored_engine_state_is_used_once_the_endpoint_list_names_the_engines() {
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
    let restored_state = RestoredState::new(&snapshot, second.now, recovery::DEFAULT_SETTINGS)
        .expect("the snapshot is recent enough");
    second.core.resume(DeduplicationWindow::in_memory(), Some(restored_state));
    second.receive_list(1, &["a", "b"]);
    let restored = second.core.learned(second.now);
    assert!(restored.classes[0].bands.iter().any(|b| b.samples > 0.5), "{restored:?}");
    let maybe_in_slow_start: Vec<_> = restored.engines.iter().filter(|e| e.maybe_in_slow_start).collect();
    assert_eq!(
        maybe_in_slow_start.len(),
        1,
        "only the engine that never answered may be in slow start: {restored:?}"
    );
}

#[test]
fn shutdown_answers_open_requests_and_then_exits() {
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

/// SIGTERM arrives during a pause of the process. The time until SIGKILL runs from the signal and not from the end of the
/// pause, so the gateway must count it from there to answer open requests in time.
#[test]
fn shutdown_requested_during_a_pause_answers_open_requests_in_time() {
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

/// The process pause is longer than the shutdown's time for answers. Clients may not have noticed the shutdown, so the
/// gateway still accepts requests for a while and rejects them at once, instead of exiting.
#[test]
fn shutdown_noticed_after_its_time_answers_open_requests_and_still_rejects_new_ones() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a"]);
    harness.now += 10_000.0;
    harness.receive_request(1, None);
    let mut effects = harness.step(Event::Terminate { requested_at: harness.now - 10_000.0 });
    effects.extend(harness.step(Event::TimersDue));
    assert_eq!(answers(&effects).len(), 1);
    assert!(
        !effects.iter().any(|e| matches!(e, Effect::Exit)),
        "clients may not have noticed the shutdown yet"
    );
    let effects = harness.receive_request(2, None);
    assert!(effects.iter().any(|e| matches!(e, Effect::Answer(RequestId(2), Answer::Rejected(_)))));
}

#[test]
fn request_after_the_end_of_the_shutdown_time_is_rejected_at_once() {
    let mut harness = Harness::new(settings());
    harness.receive_list(1, &["a"]);
    harness.step(Event::Terminate { requested_at: harness.now });
    assert!(
        sent(&harness.receive_request(1, None)).is_some(),
        "a request is sent while shutdown time is left"
    );
    harness.now += 60_000.0;
    harness.step(Event::TimersDue);
    let effects = harness.receive_request(2, None);
    assert!(effects.iter().any(|e| matches!(e, Effect::Answer(RequestId(2), Answer::Rejected(_)))));
    assert!(sent(&effects).is_none());
}

/// Another process of this gateway sent a request with the same key, for example before a hot restart. A repeat must not be
/// sent at the end of the deduplication window of that request, when engines may no longer recognize the key.
#[test]
fn key_sent_by_another_process_is_not_sent_again_at_the_end_of_its_window() {
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
