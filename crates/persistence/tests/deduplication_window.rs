//! Tests of the deduplication window without a log, in virtual time.

use rstest::rstest;
use starlingplank_persistence::deduplication_window::{key, Admission, DeduplicationWindow};

/// A repeat can have another window than the first send, from another class or a changed configuration. It must be sent within
/// the shorter of the two windows, and the key is tracked for the longer one.
#[rstest]
#[case::shorter_now(12_000.0, 1_200.0)]
#[case::longer_now(1_200.0, 12_000.0)]
fn repeat_with_another_window_is_admitted_within_the_shorter_one(#[case] first: f64, #[case] now: f64) {
    let mut deduplication = DeduplicationWindow::in_memory();
    deduplication.admit(&key("k"), first, 1_000.0, 20.0);
    deduplication.permit_send(&key("k"), first, 1_000.0);
    assert_eq!(deduplication.admit(&key("k"), now, 1_500.0, 20.0), Admission::Until(2_180.0));
    assert!(matches!(deduplication.admit(&key("k"), now, 2_180.0, 20.0), Admission::Later(_)));
}
