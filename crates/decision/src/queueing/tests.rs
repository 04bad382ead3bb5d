use super::*;

#[test]
fn small_requests_precede_large_ones_then_deferred_then_late_ones() {
    let first = QueuePriority { is_last: false, is_deferred: false, size_step: 4 };
    let large = QueuePriority { size_step: 8, ..first };
    let deferred = QueuePriority { is_deferred: true, size_step: 0, ..first };
    let last = QueuePriority { is_last: true, size_step: 0, ..first };
    let mut order = [last, deferred, large, first];
    order.sort();
    assert!(order == [first, large, deferred, last]);
}
