//! Windows of keys by themselves: no disk, and the clock is a number.

use rstest::rstest;
use starlingplank_persistence::deduplication_window::{key, Admission, DeduplicationWindow};

/// Another class, or an earlier configuration, sent the key under another window: a repeat leaves within the shorter of
/// the two, and the key is kept for the longer.
#[rstest]
#[case::shorter_now(12_000.0, 1_200.0)]
#[case::longer_now(1_200.0, 12_000.0)]
fn repeat_under_another_window_leaves_within_the_shorter_one(#[case] first: f64, #[case] now: f64) {
    let mut deduplication = DeduplicationWindow::in_memory();
    deduplication.admit(&key("k"), first, 1_000.0, 20.0);
    deduplication.permit_send(&key("k"), first, 1_000.0);
    assert_eq!(deduplication.admit(&key("k"), now, 1_500.0, 20.0), Admission::Until(2_180.0));
    assert!(matches!(deduplication.admit(&key("k"), now, 2_180.0, 20.0), Admission::Later(_)));
}
