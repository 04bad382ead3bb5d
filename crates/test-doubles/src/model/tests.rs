use super::*;

#[test]
fn query_alone_takes_its_work_over_its_threads_and_a_full_engine_shares() {
    let mut m = Model::new(Spec::default(), -1e9, 0.0);
    assert!(m.start(1, 100.0, 100.0, 2.0, 0.0));
    assert!(m.advance(49.0).is_empty());
    assert_eq!(m.advance(50.0), [1]);
    (0..24).for_each(|n| assert!(m.start(n, 10.0, 10.0, 1.0, 50.0)));
    assert!(m.advance(69.0).is_empty(), "two threads a core: half the speed");
    assert_eq!(m.advance(70.0).len(), 24);
}

#[test]
fn cold_engine_falls_over_beyond_its_budget_and_a_warm_one_does_not() {
    let mut cold = Model::new(Spec::default(), 0.0, 0.0);
    let budget = cold.budget(0.0, 2_000.0);
    assert!((20_000.0..30_000.0).contains(&budget), "{budget}");
    assert!((0..20).all(|n| cold.start(n, 1_000.0, 1_000.0, 1.0, 1_000.0)));
    assert!(!(0..10).all(|n| cold.start(n, 1_000.0, 1_000.0, 1.0, 1_100.0)) && cold.fallen.is_some());
    // Where it is sent by hundreds, 29 of its budget are some 42 that it bears.
    let mut many = Model::new(Spec { chance_of: 777.0, ..Spec::default() }, 0.0, 0.0);
    let borne = (0..100).take_while(|n| many.start(*n, 777.0, 777.0, 1.0, 1_000.0)).count();
    assert!((40..=44).contains(&borne) && many.worst > 1.35, "{borne}, {}", many.worst);
    let mut warm = Model::new(Spec::default(), -1e9, 0.0);
    assert!((0..200).all(|n| warm.start(n, 1_000.0, 1_000.0, 1.0, 1_000.0)));
}
