use super::*;

fn engine(id: &str) -> EngineId {
    EngineId(id.into())
}

fn receive(starts: &mut StartTimes, stated: Milliseconds, now: Milliseconds) -> Milliseconds {
    starts.receive(&[(engine("s-1"), Some(stated))], now);
    starts.local(&engine("s-1"), Some(stated)).expect("it has one")
}

#[test]
fn start_in_the_first_list_is_as_old_as_the_wall_clock_says_and_never_in_the_future() {
    assert_eq!(receive(&mut StartTimes::default(), 900.0, 1_000.0), 900.0);
    assert_eq!(receive(&mut StartTimes::default(), 3_600_000.0, 1_000.0), 1_000.0);
}

#[test]
fn start_in_a_later_list_is_no_older_than_the_last_list_without_it() {
    let mut starts = StartTimes::default();
    starts.receive(&[], 1_000.0);
    starts.confirm(5_000.0);
    assert_eq!(receive(&mut starts, 10.0, 5_200.0), 5_000.0);
}

#[test]
fn start_that_was_told_before_stays_as_it_was() {
    let mut starts = StartTimes::default();
    starts.receive(&[], 1_000.0);
    assert_eq!(receive(&mut starts, 1_100.0, 1_200.0), 1_100.0);
    starts.confirm(9_000.0);
    assert_eq!(receive(&mut starts, 1_100.0, 9_100.0), 1_100.0);
    // It left the list and came back, the same process.
    starts.receive(&[], 10_000.0);
    assert_eq!(receive(&mut starts, 1_100.0, 10_100.0), 1_100.0);
}

#[test]
fn restart_counts_also_where_the_clock_went_back_in_between() {
    let mut starts = StartTimes::default();
    starts.receive(&[], 1_000.0);
    assert_eq!(receive(&mut starts, 1_100.0, 1_200.0), 1_100.0);
    starts.confirm(9_000.0);
    assert_eq!(receive(&mut starts, 500.0, 9_100.0), 9_000.0);
}

#[test]
fn start_long_ago_is_none_and_so_is_one_that_is_no_number() {
    let mut starts = StartTimes::default();
    starts.receive(&[(engine("s-1"), None), (engine("s-2"), Some(f64::NAN))], 1_000.0);
    assert_eq!(starts.local(&engine("s-1"), None), None);
    assert_eq!(starts.local(&engine("s-2"), Some(f64::NAN)), None);
}

#[test]
fn no_more_starts_are_remembered_than_the_bound_and_the_list() {
    let mut starts = StartTimes::default();
    for i in 0..MAX_REMEMBERED + 10 {
        starts.receive(&[(engine(&format!("s-{i}")), Some(1.0))], 1_000.0);
    }
    assert!(starts.starts.len() <= MAX_REMEMBERED + 1);
}
