use super::*;

fn budget() -> RetryBudget {
    RetryBudget::new(Some(RetryBudgetSettings { min_retries: 1.0, retry_ratio: 0.5, window: 1_000.0 }))
}

#[test]
fn without_a_retry_budget_nothing_is_bounded_and_nothing_remembered() {
    let mut budget = RetryBudget::new(None);
    (0..100).for_each(|_| budget.retry(0.0));
    assert!(budget.allows(0.0, 0.0) && budget.retries.is_empty());
}

#[test]
fn retries_are_bounded_by_what_is_free_and_by_the_requests_of_the_span() {
    let mut budget = budget();
    (0..2).for_each(|_| budget.receive(100.0));
    budget.retry(200.0);
    assert!(budget.allows(300.0, 0.0));
    budget.retry(300.0);
    assert!(!budget.allows(400.0, 0.0));
    // The requests leave the span before the retries do.
    assert!(!budget.allows(1_150.0, 0.0));
    assert!(budget.allows(1_301.0, 0.0));
}

#[test]
fn margin_makes_the_budget_smaller_never_larger() {
    let mut budget = budget();
    budget.retry(0.0);
    assert!(budget.allows(1_005.0, 0.0) && !budget.allows(1_005.0, 10.0));
}

#[test]
fn memory_is_bounded() {
    let mut budget = budget();
    (0..MAX_REMEMBERED + 10).for_each(|_| budget.receive(0.0));
    assert_eq!(budget.received.len(), MAX_REMEMBERED);
    budget.forget(5_000.0, 0.0);
    assert!(budget.received.is_empty());
}
