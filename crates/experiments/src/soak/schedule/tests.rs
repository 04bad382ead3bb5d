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
