use super::*;

fn budget() -> RetryBudget {
    RetryBudget::new(Some(RetryBudgetSettings { min_retries: 1.0, retry_ratio: 0.5, window: 1_000.0 }))
}

#[test]
fn without_settings_retries_are_not_limited_and_not_recorded() {
    let mut budget = RetryBudget::new(None);
    (0..100).for_each(|_| budget.record_retry(0.0));
    assert!(budget.allows(0.0, 0.0) && budget.retries.is_empty());
}

#[test]
fn retries_are_limited_by_the_minimum_and_the_requests_in_the_window() {
    let mut budget = budget();
    (0..2).for_each(|_| budget.record_request(100.0));
    budget.record_retry(200.0);
    assert!(budget.allows(300.0, 0.0));
    budget.record_retry(300.0);
    assert!(!budget.allows(400.0, 0.0));
    // The requests leave the window before the retries do.
    assert!(!budget.allows(1_150.0, 0.0));
    assert!(budget.allows(1_301.0, 0.0));
}

#[test]
fn margin_reduces_the_budget() {
    let mut budget = budget();
    budget.record_retry(0.0);
    assert!(budget.allows(1_005.0, 0.0) && !budget.allows(1_005.0, 10.0));
}

#[test]
fn number_of_recorded_requests_is_bounded() {
    let mut budget = budget();
    (0..MAX_RECORDED_REQUESTS + 10).for_each(|_| budget.record_request(0.0));
    assert_eq!(budget.received.len(), MAX_RECORDED_REQUESTS);
    budget.discard_before_window(5_000.0, 0.0);
    assert!(budget.received.is_empty());
}

#[test]
fn withdrawn_request_adds_nothing_to_the_budget() {
    let mut budget = budget();
    for at in [100.0, 200.0, 200.0, 300.0] {
        budget.record_request(at);
    }
    budget.remove_request(200.0);
    budget.remove_request(250.0);
    assert_eq!(budget.received, [100.0, 200.0, 300.0]);
}
