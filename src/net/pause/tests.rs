use super::*;

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn what_is_read_while_the_process_runs_has_just_arrived() {
    let start = Instant::now();
    let pauses = PauseDetector::new(start);
    pauses.record_alive(after(start, 100));
    assert_eq!(pauses.earliest_arrival(after(start, 200)), after(start, 200));
}

#[test]
fn what_is_read_right_after_a_pause_is_as_old_as_the_pause() {
    let start = Instant::now();
    let pauses = PauseDetector::new(start);
    pauses.record_alive(after(start, 50));
    // Whether the loop or a connection notices it first.
    pauses.record_alive(after(start, 1_050));
    assert_eq!(pauses.earliest_arrival(after(start, 1_060)), after(start, 50));
    assert_eq!(pauses.earliest_arrival(after(start, 1_101)), after(start, 1_101));
    assert_eq!(pauses.earliest_arrival(after(start, 3_000)), after(start, 1_101));
}

#[test]
fn backlog_of_a_pause_is_there_for_a_moment_after_it() {
    let start = Instant::now();
    let pauses = PauseDetector::new(start);
    assert!(!pauses.has_backlog(after(start, 100)));
    assert!(pauses.has_backlog(after(start, 1_000)), "it has just gone on");
    assert!(pauses.has_backlog(after(start, 1_050)));
    assert!(!pauses.has_backlog(after(start, 1_051)));
}
