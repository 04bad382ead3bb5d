use super::*;

#[test]
fn same_seed_gives_the_same_schedule_and_troubles_overlap() {
    let plan = draw(7, 10, 4, 20.0);
    assert_eq!(plan, draw(7, 10, 4, 20.0));
    assert_ne!(plan, draw(8, 10, 4, 20.0));
    let overlapping = |fault: &PlannedFault| {
        plan.iter().filter(|other| other.from <= fault.from && other.to > fault.from).count()
    };
    assert!(plan.iter().any(|fault| overlapping(fault) >= 3), "{plan:?}");
}

#[test]
fn faults_of_system_calls_follow_from_the_seed() {
    assert_eq!(system_call_faults(3), system_call_faults(3));
}

/// Also where a run is short and has few gateways, as in CI.
#[test]
fn every_run_has_the_faults_that_show_rare_guards() {
    for seed in 0..100 {
        let plan = draw(seed, 4, 8, 6.0);
        let has = |wanted: fn(&Fault) -> bool| plan.iter().any(|planned| wanted(&planned.fault));
        assert!(has(|fault| matches!(fault, Fault::PauseInSilence { .. })), "seed {seed}");
        assert!(has(|fault| matches!(fault, Fault::DeparturesInPauses { .. })), "seed {seed}");
        assert!(has(|fault| matches!(fault, Fault::OverloadAllEngines)), "seed {seed}");
        assert!(has(|fault| matches!(fault, Fault::ResetConnections(_))), "seed {seed}");
    }
}
