use super::*;
use rstest::rstest;

#[rstest]
#[case::inside(1.5, 1.5)]
#[case::at_the_limit(2.0, 2.0)]
#[case::past_the_limit(2.1, 1.0)]
#[case::not_a_number(f64::NAN, 1.0)]
#[case::unbounded(f64::INFINITY, 1.0)]
fn restored_value_out_of_range_is_ignored(#[case] restored: f64, #[case] expected: f64) {
    let mut value = 1.0;
    restore_value(&mut value, restored, 0.0..=2.0);
    assert_eq!(value, expected);
}

#[test]
fn restored_thread_times_yield_the_given_slowdown() {
    for slowdown in [0.5, 1.0, 3.0, MAX_SLOWDOWN] {
        let shown = thread_times_of(slowdown).slowdown(SLOWDOWN_PRIOR);
        assert!((shown - slowdown).abs() < 1e-9, "{shown} for {slowdown}");
    }
}

#[test]
fn band_with_one_value_out_of_range_is_ignored() {
    let band = LearnedBand { level: 1.0, samples: 5.0, mean: 100.0, variance: 4.0 };
    assert!(restored_band(&band, 1_000.0).is_some());
    for damaged in [
        LearnedBand { samples: -1.0, ..band },
        LearnedBand { mean: f64::NAN, ..band },
        LearnedBand { variance: f64::INFINITY, ..band },
    ] {
        assert!(restored_band(&damaged, 1_000.0).is_none());
    }
}
