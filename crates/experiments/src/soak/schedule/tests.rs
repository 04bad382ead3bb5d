use super::*;

#[test]
fn schedule_follows_from_the_seed_and_has_overlapping_faults() {
    let plan = draw(7, 10, 4, 20.0);
    assert_eq!(plan, draw(7, 10, 4, 20.0));
    assert_ne!(plan, draw(8, 10, 4, 20.0));
    let overlapping = |fault: &PlannedFault| {
        plan.iter().filter(|other| other.from <= fault.from && other.to > fault.from).count()
    };
    assert!(plan.iter().any(|fault| overlapping(fault) >= 3), "{plan:?}");
}

#[test]
fn system_call_faults_follow_from_the_seed() {
    assert_eq!(system_call_faults(3), system_call_faults(3));
}

/// Guards against short runs with few gateways, as in CI, that leave out the faults which exercise rarely needed safeguards.
#[test]
fn every_run_has_the_mandatory_faults() {
    for seed in 0..100 {
        let plan = draw(seed, 4, 8, 6.0);
        let has = |wanted: fn(&Fault) -> bool| plan.iter().any(|planned| wanted(&planned.fault));
        assert!(has(|fault| matches!(fault, Fault::PauseInSilence { .. })), "seed {seed}");
        assert!(has(|fault| matches!(fault, Fault::DeparturesInPauses { .. })), "seed {seed}");
        assert!(has(|fault| matches!(fault, Fault::OverloadAllEngines)), "seed {seed}");
        assert!(has(|fault| matches!(fault, Fault::ResetConnections(_))), "seed {seed}");
    }
}
