use super::*;
use rstest::rstest;

#[rstest]
#[case::idle(0.0, 0)]
#[case::at_a_level(0.5, 1)]
#[case::just_below_the_middle_of_two(0.37, 0)]
#[case::just_above_the_middle_of_two(0.38, 1)]
#[case::highest(3.0, 11)]
#[case::past_the_highest(100.0, 11)]
#[case::unbounded(f64::INFINITY, 11)]
fn load_belongs_to_the_nearest_level(#[case] load: f64, #[case] index: usize) {
    assert_eq!(level_index(load), index);
}

#[test]
fn levels_are_evenly_spaced_from_the_first() {
    for (index, level) in LEVELS.iter().enumerate() {
        assert_eq!(*level, MIN_LEVEL * (index + 1) as f64);
        assert_eq!(level_index(*level), index);
    }
}
