use super::*;

#[test]
fn share_of_at_least_one_query_is_even() {
    assert_eq!(own_share_of_budget(10_000.0, 500.0, 0.05), 500.0);
    assert_eq!(own_share_of_budget(10_000.0, 500.0, 0.25), 2_500.0);
}

#[test]
fn share_smaller_than_a_query_keeps_a_margin_for_random_rounding() {
    for (budget, work) in [(10_000.0, 500.0), (2_000.0, 400.0), (100_000.0, 250.0)] {
        let share = 0.5 * work / budget;
        let own = own_share_of_budget(budget, work, share);
        assert!(own > 0.0 && own < budget * share, "{own} of an even {}", budget * share);
        // The sum of the randomly rounded shares of many gateways exceeds the budget only beyond this many standard
        // deviations.
        let mean = own / share / work;
        let deviations = (budget / work - mean) / mean.sqrt();
        assert!(deviations >= BUDGET_MARGIN_DEVIATIONS - 1e-9, "{deviations} deviations below the budget");
    }
}
