use super::*;

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn input_read_while_the_process_runs_counts_as_arrived_now() {
    let start = Instant::now();
    let pauses = PauseDetector::new(start);
    pauses.record_alive(after(start, 100));
    assert_eq!(pauses.earliest_arrival(after(start, 200)), after(start, 200));
}

#[test]
fn input_read_right_after_a_pause_counts_as_arrived_at_its_start() {
    let start = Instant::now();
    let pauses = PauseDetector::new(start);
    pauses.record_alive(after(start, 50));
    // The end of the pause may be noticed first by the event loop, as here, or by a connection, as below.
    pauses.record_alive(after(start, 1_050));
    assert_eq!(pauses.earliest_arrival(after(start, 1_060)), after(start, 50));
    assert_eq!(pauses.earliest_arrival(after(start, 1_101)), after(start, 1_101));
    assert_eq!(pauses.earliest_arrival(after(start, 3_000)), after(start, 1_101));
}

#[test]
fn backlog_is_reported_for_50_ms_after_a_pause() {
    let start = Instant::now();
    let pauses = PauseDetector::new(start);
    assert!(!pauses.has_backlog(after(start, 100)));
    assert!(pauses.has_backlog(after(start, 1_000)), "the process has just resumed");
    assert!(pauses.has_backlog(after(start, 1_050)));
    assert!(!pauses.has_backlog(after(start, 1_051)));
}
