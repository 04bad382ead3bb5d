use super::*;

/// Returns a query whose actual work is the work that counts against the slow-start budget.
fn query(work: f64, threads: f64) -> QueryWork {
    QueryWork { work, usual: work, threads }
}

#[test]
fn query_takes_its_work_divided_by_its_threads_and_a_full_engine_shares_its_cores() {
    let mut model = CapacityModel::new(EngineSpec::default(), -1e9, 0.0);
    assert!(model.start(1, query(100.0, 2.0), 0.0));
    assert!(model.advance(49.0).is_empty());
    assert_eq!(model.advance(50.0), [1]);
    (0..24).for_each(|n| assert!(model.start(n, query(10.0, 1.0), 50.0)));
    assert!(model.advance(69.0).is_empty(), "with two threads per core, each thread runs at half speed");
    assert_eq!(model.advance(70.0).len(), 24);
}

#[test]
fn cold_engine_collapses_beyond_its_budget_and_a_warm_one_does_not() {
    let mut cold = CapacityModel::new(EngineSpec::default(), 0.0, 0.0);
    let budget = cold.budget(0.0, 2_000.0);
    assert!((20_000.0..30_000.0).contains(&budget), "{budget}");
    assert!((0..20).all(|n| cold.start(n, query(1_000.0, 1.0), 1_000.0)));
    assert!(!(0..10).all(|n| cold.start(n, query(1_000.0, 1.0), 1_100.0)) && cold.collapsed_at.is_some());
    // With the allowance for independent gateways, a budget of 29 queries accepts about 42 of them.
    let mut shared = CapacityModel::new(
        EngineSpec { independent_gateway_allowance_work: 777.0, ..EngineSpec::default() },
        0.0,
        0.0,
    );
    let accepted = (0..100).take_while(|n| shared.start(*n, query(777.0, 1.0), 1_000.0)).count();
    assert!(
        (40..=44).contains(&accepted) && shared.max_overload_ratio > 1.35,
        "{accepted}, {}",
        shared.max_overload_ratio
    );
    let mut warm = CapacityModel::new(EngineSpec::default(), -1e9, 0.0);
    assert!((0..200).all(|n| warm.start(n, query(1_000.0, 1.0), 1_000.0)));
}
