use super::*;

fn after(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

#[test]
fn connection_that_waits_for_bytes_does_not_lag() {
    let progress = ReadProgress::new(Instant::now());
    assert_eq!(progress.lag(after(5_000)), Duration::ZERO);
    progress.set_readable(Instant::now());
    progress.add_read(100);
    assert!(progress.lag(after(5_000)) >= Duration::from_millis(4_900));
    progress.set_idle(Instant::now());
    assert_eq!(progress.lag(after(5_000)), Duration::ZERO);
}

#[test]
fn lag_counts_from_the_bytes_that_are_handled_though_more_arrive() {
    let progress = ReadProgress::new(Instant::now());
    progress.set_readable(Instant::now());
    assert!(progress.needs_checkpoint());
    let arrived_by = after(1_000);
    progress.set_checkpoint(150, arrived_by);
    assert!(!progress.needs_checkpoint());
    progress.add_read(100);
    progress.set_handled(0);
    let before = progress.lag(after(3_000));
    assert!(before >= Duration::from_millis(2_900), "{before:?}");
    // 200 bytes are read, of which 50 are not handled: the position of the checkpoint is reached.
    progress.add_read(100);
    progress.set_handled(51);
    assert!(progress.lag(after(3_000)) >= Duration::from_millis(2_900));
    progress.set_handled(50);
    let lag = progress.lag(after(3_000));
    assert!(lag < Duration::from_millis(2_100), "{lag:?}");
    assert!(progress.needs_checkpoint());
}

#[test]
fn message_counts_as_arrived_when_earlier_bytes_were_handled() {
    let progress = ReadProgress::new(Instant::now());
    progress.set_readable(Instant::now());
    let now = after(700);
    assert!(progress.earliest_arrival(now) <= now - Duration::from_millis(690));
}

/// A connection counts as read up to the last time at which all sockets were read, as the process may have been paused since.
#[test]
fn bytes_that_arrive_during_a_pause_count_from_its_start() {
    let progress = ReadProgress::new(Instant::now());
    let (read_until, resumed_at) = (after(1_000), after(2_000));
    progress.set_readable(Instant::now());
    progress.set_idle(Instant::now());
    progress.set_readable(read_until);
    assert!(progress.lag(resumed_at) >= Duration::from_millis(990));
    progress.set_idle(Instant::now());
    progress.set_readable(read_until - Duration::from_secs(5));
    assert!(progress.lag(Instant::now()) < Duration::from_millis(100));
}

/// A client may connect, send a request and cancel it while the process is paused.
#[test]
fn bytes_of_a_connection_that_waited_to_be_accepted_count_from_its_arrival() {
    let now = after(1_000);
    let progress = ReadProgress::new(now);
    progress.set_connected(now - Duration::from_millis(400));
    // All sockets were read after the pause, but this connection was not accepted yet.
    progress.set_readable(now);
    assert!(progress.lag(now) >= Duration::from_millis(400));
}
