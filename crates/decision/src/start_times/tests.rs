use super::*;

fn engine(id: &str) -> EngineId {
    EngineId(id.into())
}

fn receive(starts: &mut StartTimes, stated: Milliseconds, now: Milliseconds) -> Milliseconds {
    starts.record_list(&[(engine("s-1"), Some(stated))], now);
    starts.local_start(&engine("s-1"), Some(stated)).expect("it has one")
}

#[test]
fn start_in_the_first_list_is_the_stated_time_and_never_in_the_future() {
    assert_eq!(receive(&mut StartTimes::default(), 900.0, 1_000.0), 900.0);
    assert_eq!(receive(&mut StartTimes::default(), 3_600_000.0, 1_000.0), 1_000.0);
}

#[test]
fn start_in_a_later_list_is_no_older_than_the_last_list_without_it() {
    let mut starts = StartTimes::default();
    starts.record_list(&[], 1_000.0);
    starts.confirm_list(5_000.0);
    assert_eq!(receive(&mut starts, 10.0, 5_200.0), 5_000.0);
}

#[test]
fn start_that_was_stated_before_is_not_changed() {
    let mut starts = StartTimes::default();
    starts.record_list(&[], 1_000.0);
    assert_eq!(receive(&mut starts, 1_100.0, 1_200.0), 1_100.0);
    starts.confirm_list(9_000.0);
    assert_eq!(receive(&mut starts, 1_100.0, 9_100.0), 1_100.0);
    // The same process left the list and joined it again.
    starts.record_list(&[], 10_000.0);
    assert_eq!(receive(&mut starts, 1_100.0, 10_100.0), 1_100.0);
}

#[test]
fn restart_is_recognised_after_the_stated_clock_was_set_back() {
    let mut starts = StartTimes::default();
    starts.record_list(&[], 1_000.0);
    assert_eq!(receive(&mut starts, 1_100.0, 1_200.0), 1_100.0);
    starts.confirm_list(9_000.0);
    assert_eq!(receive(&mut starts, 500.0, 9_100.0), 9_000.0);
}

#[test]
fn unstated_start_and_non_finite_start_are_none() {
    let mut starts = StartTimes::default();
    starts.record_list(&[(engine("s-1"), None), (engine("s-2"), Some(f64::NAN))], 1_000.0);
    assert_eq!(starts.local_start(&engine("s-1"), None), None);
    assert_eq!(starts.local_start(&engine("s-2"), Some(f64::NAN)), None);
}

#[test]
fn number_of_recorded_starts_is_bounded() {
    let mut starts = StartTimes::default();
    for i in 0..MAX_RECORDED_STARTS + 10 {
        starts.record_list(&[(engine(&format!("s-{i}")), Some(1.0))], 1_000.0);
    }
    assert!(starts.starts.len() <= MAX_RECORDED_STARTS + 1);
}
