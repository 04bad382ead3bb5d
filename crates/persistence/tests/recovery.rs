//! Tests of restoring a snapshot: which engines are possibly in slow start, and how fast each kind of value loses weight.

mod common;

use common::snapshot;
use rstest::rstest;
use starlingplank_persistence::recovery::{
    age, retained_weight, uncertainty, EndpointIdentity, RecoverySettings, RejectedSnapshot, RestoredState,
    Uncertainty,
};
use starlingplank_persistence::snapshot_records::StoredEngine;

const TAKEN: f64 = 1_000_000.0;
const SETTINGS: RecoverySettings = starlingplank_persistence::recovery::DEFAULT_SETTINGS;

fn identity(id: &str, started: Option<f64>) -> EndpointIdentity {
    EndpointIdentity { id: id.into(), address: "127.0.0.1:9000".into(), started }
}

fn engine(started: Option<f64>, in_slow_start: bool) -> StoredEngine {
    StoredEngine { started_at: started, in_slow_start, ..snapshot(TAKEN, 1).engines.remove(0) }
}

#[rstest]
#[case::same_process_answered_recently(engine(None, false), None, 2_000.0, Uncertainty::None)]
#[case::same_start_time(engine(Some(5.0), true), Some(5.0), 2_000.0, Uncertainty::None)]
#[case::longer_than_a_restart(engine(None, false), None, 3_000.0, Uncertainty::NotSeenRecently)]
#[case::new_start_time(engine(Some(5.0), false), Some(9.0), 100.0, Uncertainty::Restarted)]
#[case::start_time_listed_for_the_first_time(engine(None, false), Some(9.0), 100.0, Uncertainty::Restarted)]
#[case::in_slow_start_when_last_seen(engine(None, true), None, 100.0, Uncertainty::WasInSlowStart)]
#[case::never_answered(StoredEngine { confirmed_at: None, ..engine(None, false) }, None, 100.0, Uncertainty::NotSeenRecently)]
#[case::answered_in_the_future(engine(None, false), None, -5_000.0, Uncertainty::NotSeenRecently)]
fn engine_is_possibly_in_slow_start_unless_it_is_certainly_the_known_warm_process(
    #[case] known: StoredEngine,
    #[case] started: Option<f64>,
    #[case] after: f64,
    #[case] expected: Uncertainty,
) {
    assert_eq!(uncertainty(Some(&known), &identity("s-0", started), TAKEN + after, &SETTINGS), expected);
}

#[test]
fn new_id_at_a_known_address_is_possibly_in_slow_start_and_restores_no_values() {
    let mut restored =
        RestoredState::new(&snapshot(TAKEN, 1), TAKEN + 100.0, SETTINGS).expect("the snapshot is accepted");
    let learned = restored.restore(&[identity("s-new", None)], TAKEN + 100.0).expect("records to restore");
    let e = &learned.engines[0];
    assert!(e.maybe_in_slow_start && e.slowdown == 1.0 && e.error_rate == 0.0 && e.reported_at.is_none());
}

#[test]
fn engines_that_return_under_their_ids_after_a_zone_failure_are_possibly_in_slow_start() {
    // The name service does not answer either, so no start times are known. Eleven seconds without an answer exceed the
    // minimum restart time, so all engines may have restarted.
    let mut restored = RestoredState::new(&snapshot(TAKEN, 4), TAKEN + 11_000.0, SETTINGS)
        .expect("the snapshot is accepted");
    let identities: Vec<_> = (0..4).map(|n| identity(&format!("s-{n}"), None)).collect();
    let learned = restored.restore(&identities, TAKEN + 11_000.0).expect("records to restore");
    assert_eq!(learned.engines.iter().filter(|e| e.maybe_in_slow_start).count(), 4);
}

#[rstest]
#[case(TAKEN - 400.0, Ok(0.0))]
#[case(TAKEN - 600.0, Err(RejectedSnapshot::FromTheFuture(600.0)))]
#[case(TAKEN + 3_600_000.0, Ok(3_600_000.0))]
#[case(TAKEN + 3_600_001.0, Err(RejectedSnapshot::TooOld(3_600_001.0)))]
#[case(f64::NAN, Err(RejectedSnapshot::InvalidTime))]
fn snapshot_that_is_too_old_or_from_the_future_or_without_valid_time_is_rejected(
    #[case] now: f64,
    #[case] expected: Result<f64, RejectedSnapshot>,
) {
    assert_eq!(age(&snapshot(TAKEN, 1), now, &SETTINGS), expected);
    assert_eq!(RestoredState::new(&snapshot(TAKEN, 1), now, SETTINGS).is_ok(), expected.is_ok());
}

#[test]
fn each_kind_of_value_loses_weight_with_its_own_half_life() {
    assert_eq!(
        (retained_weight(0.0, 10.0), retained_weight(10.0, 10.0), retained_weight(20.0, 10.0)),
        (1.0, 0.5, 0.25)
    );
    assert_eq!((retained_weight(-5.0, 10.0), retained_weight(f64::NAN, 10.0)), (1.0, 0.0));
    let after = |ms: f64| {
        let mut restored =
            RestoredState::new(&snapshot(TAKEN, 2), TAKEN + ms, SETTINGS).expect("the snapshot is accepted");
        restored.restore(&[identity("s-1", None)], TAKEN + ms).expect("records to restore")
    };
    let (soon, late) = (after(1_000.0), after(60_000.0));
    // After a minute, latencies retain most of their weight, traffic almost none, and an engine's slowdown one half.
    assert!(late.classes[0].bands[0].samples > 0.9 * soon.classes[0].bands[0].samples);
    assert!(
        late.classes[0].best_latency == 200.0 && late.classes[0].arrivals < 0.02 * soon.classes[0].arrivals
    );
    assert!((soon.engines[0].slowdown - 2.0).abs() < 0.02 && (late.engines[0].slowdown - 1.5).abs() < 0.01);
    assert!(late.engines[0].other_threads < 0.001 && soon.engines[0].other_threads > 3.0);
    assert!(late.fleet.own_threads < 0.1 && soon.fleet.own_threads > 2.5);
}

#[test]
fn engines_are_restored_once_listed_and_discarded_after_the_wait() {
    let mut restored =
        RestoredState::new(&snapshot(TAKEN, 3), TAKEN, SETTINGS).expect("the snapshot is accepted");
    assert!(
        restored.restore(&[], TAKEN).is_none(),
        "an empty list restores no engine and does not start the wait"
    );
    let first = restored.restore(&[identity("s-0", None)], TAKEN + 100.0).expect("the fleet and one engine");
    assert!(first.classes.len() == 1 && first.engines.len() == 1 && restored.unrestored() == 2);
    assert!(
        restored.restore(&[identity("s-0", None)], TAKEN + 200.0).is_none(),
        "an engine is restored once"
    );
    let later = restored
        .restore(&[identity("s-0", None), identity("s-1", None)], TAKEN + 20_000.0)
        .expect("another engine");
    assert!(later.classes.is_empty() && later.engines.len() == 1 && later.engines[0].maybe_in_slow_start);
    assert!(
        restored.restore(&[identity("s-2", None)], TAKEN + 60_101.0).is_none() && restored.unrestored() == 0
    );
    assert!(restored.is_finished(TAKEN + 60_101.0));
}

#[test]
fn slow_start_budget_of_an_engine_last_seen_in_slow_start_is_exhausted() {
    let mut s = snapshot(TAKEN, 1);
    s.engines[0] = engine(Some(TAKEN - 4_000.0), true);
    let restore_after = |after: f64| {
        let mut restored = RestoredState::new(&s, TAKEN + after, SETTINGS).expect("the snapshot is accepted");
        restored
            .restore(&[identity("s-0", Some(TAKEN - 4_000.0))], TAKEN + after)
            .expect("records to restore")
            .engines
            .remove(0)
    };
    assert!(
        restore_after(500.0).slow_start_budget_exhausted && !restore_after(500.0).maybe_in_slow_start,
        "the start time is listed, so it is known whether the engine is in slow start"
    );
    assert!(!restore_after(5_000.0).slow_start_budget_exhausted);
}
