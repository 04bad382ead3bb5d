use super::*;
use rstest::rstest;

const NOTHING: LoadReport = LoadReport { inflight: None, queue: None, util: None, memory: None, disks: None };

#[test]
fn queries_in_flight_are_better_evidence_than_utilization_and_that_than_a_check() {
    let both = LoadReport { inflight: Some(4.0), util: Some(0.5), ..NOTHING };
    assert!(matches!(best_evidence(&both, Some(2.0)), Some(LoadEvidence::InFlight(4.0))));
    let utilization = LoadReport { util: Some(1.5), ..NOTHING };
    assert!(matches!(best_evidence(&utilization, Some(2.0)), Some(LoadEvidence::Utilization(1.0))));
    assert!(matches!(best_evidence(&NOTHING, Some(2.0)), Some(LoadEvidence::CheckTime(2.0))));
    assert!(best_evidence(&NOTHING, None).is_none());
}

#[rstest]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
#[case(-1.0)]
fn implausible_values_are_no_evidence(#[case] value: f64) {
    let report = LoadReport { inflight: Some(value), util: Some(value), ..NOTHING };
    assert!(best_evidence(&report, Some(value)).is_none());
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
#[case::nearly(LoadReport { queue: Some(0.9), util: Some(0.95), ..NOTHING }, false)]
#[case::silent(NOTHING, false)]
fn queue_or_any_full_resource_saturates(#[case] report: LoadReport, #[case] saturated: bool) {
    assert_eq!(is_saturated(&report), saturated);
}

#[test]
fn overloaded_engines_are_left_out_of_the_mean_load() {
    let mut fleet = Fleet::new(1.0);
    learn_fleet_load(&mut fleet, 1.0);
    let mean = fleet.usual_load;
    assert!(mean > 0.0 && fleet.overloaded_share == 0.0);
    learn_fleet_load(&mut fleet, 2.0 * MAX_LEVEL);
    assert_eq!(fleet.usual_load, mean);
    assert!(fleet.overloaded_share > 0.0);
}
