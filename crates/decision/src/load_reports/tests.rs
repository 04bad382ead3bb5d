use super::*;
use rstest::rstest;

const NOTHING: LoadReport = LoadReport { inflight: None, queue: None, util: None, memory: None, disks: None };

#[test]
fn queries_in_flight_take_precedence_over_utilization_and_that_over_check_time() {
    let both = LoadReport { inflight: Some(4.0), util: Some(0.5), ..NOTHING };
    assert!(matches!(best_load_input(&both, Some(2.0)), Some(LoadInput::InFlight(4.0))));
    let utilization = LoadReport { util: Some(1.5), ..NOTHING };
    assert!(matches!(best_load_input(&utilization, Some(2.0)), Some(LoadInput::Utilization(1.0))));
    assert!(matches!(best_load_input(&NOTHING, Some(2.0)), Some(LoadInput::CheckTime(2.0))));
    assert!(best_load_input(&NOTHING, None).is_none());
}

#[rstest]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
#[case(-1.0)]
fn implausible_values_are_ignored(#[case] value: f64) {
    let report = LoadReport { inflight: Some(value), util: Some(value), ..NOTHING };
    assert!(best_load_input(&report, Some(value)).is_none());
    assert!(!is_saturated(&LoadReport {
        queue: Some(value),
        memory: Some(value),
        disks: Some(value),
        ..report
    }));
}

#[rstest]
#[case::queue(LoadReport { queue: Some(1.0), ..NOTHING }, true)]
#[case::cores(LoadReport { util: Some(0.96), ..NOTHING }, true)]
#[case::memory(LoadReport { memory: Some(0.96), ..NOTHING }, true)]
#[case::disks(LoadReport { disks: Some(0.96), ..NOTHING }, true)]
#[case::below_all_thresholds(LoadReport { queue: Some(0.9), util: Some(0.95), ..NOTHING }, false)]
#[case::no_figures(NOTHING, false)]
fn queue_or_any_exhausted_resource_means_saturated(#[case] report: LoadReport, #[case] saturated: bool) {
    assert_eq!(is_saturated(&report), saturated);
}

#[test]
fn overloaded_engines_are_excluded_from_the_mean_load() {
    let mut fleet = Fleet::new(1.0);
    learn_fleet_load(&mut fleet, 1.0);
    let mean = fleet.mean_other_load;
    assert!(mean > 0.0 && fleet.overloaded_share == 0.0);
    learn_fleet_load(&mut fleet, 2.0 * MAX_LEVEL);
    assert_eq!(fleet.mean_other_load, mean);
    assert!(fleet.overloaded_share > 0.0);
}
