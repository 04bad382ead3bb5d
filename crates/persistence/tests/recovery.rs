//! What old knowledge is still good for: which engines are perhaps in slow start, and what fades how fast.

mod common;

use common::snapshot;
use rstest::rstest;
use starlingplank_persistence::recovery::{
    age, retained_weight, uncertainty, EndpointIdentity, RecoverySettings, RejectedSnapshot, RestoredState,
    Uncertainty,
};
use starlingplank_persistence::snapshot_records::StoredEngine;

const TAKEN: f64 = 1_000_000.0;
const RULES: RecoverySettings = starlingplank_persistence::recovery::DEFAULT;

fn identity(id: &str, started: Option<f64>) -> EndpointIdentity {
    EndpointIdentity { id: id.into(), address: "127.0.0.1:9000".into(), started }
}

fn engine(started: Option<f64>, cold: bool) -> StoredEngine {
    StoredEngine { started_at: started, in_slow_start: cold, ..snapshot(TAKEN, 1).engines.remove(0) }
}

#[rstest]
#[case::same_process_heard_of_lately(engine(None, false), None, 2_000.0, Uncertainty::None)]
#[case::same_start_time(engine(Some(5.0), true), Some(5.0), 2_000.0, Uncertainty::None)]
#[case::longer_than_a_restart(engine(None, false), None, 3_000.0, Uncertainty::NotSeenRecently)]
#[case::new_start_time(engine(Some(5.0), false), Some(9.0), 100.0, Uncertainty::Restarted)]
#[case::start_time_told_for_the_first_time(engine(None, false), Some(9.0), 100.0, Uncertainty::Restarted)]
#[case::cold_when_last_seen(engine(None, true), None, 100.0, Uncertainty::WasInSlowStart)]
#[case::never_heard_of(StoredEngine { confirmed_at: None, ..engine(None, false) }, None, 100.0, Uncertainty::NotSeenRecently)]
#[case::heard_of_in_the_future(engine(None, false), None, -5_000.0, Uncertainty::NotSeenRecently)]
fn engine_is_perhaps_cold_unless_it_is_surely_the_process_that_was_warm(
    #[case] known: StoredEngine,
    #[case] started: Option<f64>,
    #[case] after: f64,
    #[case] expected: Uncertainty,
) {
    assert_eq!(uncertainty(Some(&known), &identity("s-0", started), TAKEN + after, &RULES), expected);
}

#[test]
fn new_id_at_an_old_address_is_perhaps_cold_and_brings_nothing_along() {
    let mut restored = RestoredState::new(&snapshot(TAKEN, 1), TAKEN + 100.0, RULES).expect("it counts");
    let back = restored.restore(&[identity("s-new", None)], TAKEN + 100.0).expect("something");
    let e = &back.engines[0];
    assert!(e.maybe_in_slow_start && e.slowdown == 1.0 && e.error_rate == 0.0 && e.reported_at.is_none());
}

#[test]
fn room_that_was_lost_comes_back_cold_under_the_same_ids() {
    // The list is down as well and names no starts: eleven seconds are enough for all to be doubted.
    let mut restored = RestoredState::new(&snapshot(TAKEN, 4), TAKEN + 11_000.0, RULES).expect("it counts");
    let names: Vec<_> = (0..4).map(|n| identity(&format!("s-{n}"), None)).collect();
    let back = restored.restore(&names, TAKEN + 11_000.0).expect("something");
    assert_eq!(back.engines.iter().filter(|e| e.maybe_in_slow_start).count(), 4);
}

#[rstest]
#[case(TAKEN - 400.0, Ok(0.0))]
#[case(TAKEN - 600.0, Err(RejectedSnapshot::FromTheFuture(600.0)))]
#[case(TAKEN + 3_600_000.0, Ok(3_600_000.0))]
#[case(TAKEN + 3_600_001.0, Err(RejectedSnapshot::TooOld(3_600_001.0)))]
#[case(f64::NAN, Err(RejectedSnapshot::InvalidTime))]
fn snapshot_from_the_future_or_too_old_counts_as_nothing(
    #[case] now: f64,
    #[case] expected: Result<f64, RejectedSnapshot>,
) {
    assert_eq!(age(&snapshot(TAKEN, 1), now, &RULES), expected);
    assert_eq!(RestoredState::new(&snapshot(TAKEN, 1), now, RULES).is_ok(), expected.is_ok());
}

#[test]
fn each_kind_of_knowledge_fades_in_its_own_time() {
    assert_eq!(
        (retained_weight(0.0, 10.0), retained_weight(10.0, 10.0), retained_weight(20.0, 10.0)),
        (1.0, 0.5, 0.25)
    );
    assert_eq!((retained_weight(-5.0, 10.0), retained_weight(f64::NAN, 10.0)), (1.0, 0.0));
    let after = |ms: f64| {
        let mut restored = RestoredState::new(&snapshot(TAKEN, 2), TAKEN + ms, RULES).expect("it counts");
        restored.restore(&[identity("s-1", None)], TAKEN + ms).expect("something")
    };
    let (soon, late) = (after(1_000.0), after(60_000.0));
    // Latencies stay, traffic is gone, an engine's slowness has lost half.
    assert!(late.classes[0].bands[0].samples > 0.9 * soon.classes[0].bands[0].samples);
    assert!(
        late.classes[0].best_latency == 200.0 && late.classes[0].arrivals < 0.02 * soon.classes[0].arrivals
    );
    assert!((soon.engines[0].slowdown - 2.0).abs() < 0.02 && (late.engines[0].slowdown - 1.5).abs() < 0.01);
    assert!(late.engines[0].other_threads < 0.001 && soon.engines[0].other_threads > 3.0);
    assert!(late.fleet.own_threads < 0.1 && soon.fleet.own_threads > 2.5);
}

#[test]
fn engines_wait_for_the_list_to_name_them_and_then_end() {
    let mut restored = RestoredState::new(&snapshot(TAKEN, 3), TAKEN, RULES).expect("it counts");
    assert!(restored.restore(&[], TAKEN).is_none(), "an empty list names nobody and starts no wait");
    let first = restored.restore(&[identity("s-0", None)], TAKEN + 100.0).expect("the fleet and an engine");
    assert!(first.classes.len() == 1 && first.engines.len() == 1 && restored.unrestored() == 2);
    assert!(
        restored.restore(&[identity("s-0", None)], TAKEN + 200.0).is_none(),
        "an engine is given back once"
    );
    let later = restored
        .restore(&[identity("s-0", None), identity("s-1", None)], TAKEN + 20_000.0)
        .expect("one more");
    assert!(later.classes.is_empty() && later.engines.len() == 1 && later.engines[0].maybe_in_slow_start);
    assert!(
        restored.restore(&[identity("s-2", None)], TAKEN + 60_101.0).is_none() && restored.unrestored() == 0
    );
    assert!(restored.is_finished(TAKEN + 60_101.0));
}

#[test]
fn budget_of_an_engine_that_was_cold_when_last_seen_counts_as_spent() {
    let mut s = snapshot(TAKEN, 1);
    s.engines[0] = engine(Some(TAKEN - 4_000.0), true);
    let back = |after: f64| {
        let mut restored = RestoredState::new(&s, TAKEN + after, RULES).expect("it counts");
        restored
            .restore(&[identity("s-0", Some(TAKEN - 4_000.0))], TAKEN + after)
            .expect("it")
            .engines
            .remove(0)
    };
    assert!(
        back(500.0).slow_start_budget_exhausted && !back(500.0).maybe_in_slow_start,
        "its start is told: the list says how cold it is"
    );
    assert!(!back(5_000.0).slow_start_budget_exhausted);
}
