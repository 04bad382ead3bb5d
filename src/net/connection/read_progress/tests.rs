use super::*;

fn after(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

/// Returns the progress of a connection whose socket was found empty.
fn idle() -> Rc<ReadProgress> {
    let progress = ReadProgress::new(Instant::now());
    progress.set_readable(Instant::now(), Instant::now());
    progress.set_idle(Instant::now(), false);
    progress
}

#[test]
fn connection_that_waits_for_bytes_does_not_lag() {
    let progress = idle();
    assert_eq!(progress.lag(after(5_000)), Duration::ZERO);
    assert!(!progress.may_hold_withdrawal());
    progress.set_readable(Instant::now(), Instant::now());
    assert!(progress.lag(after(5_000)) >= Duration::from_millis(4_900));
    progress.set_idle(after(10), false);
    assert_eq!(progress.lag(after(5_000)), Duration::ZERO);
    assert!(!progress.may_hold_withdrawal());
}

/// The client may have sent more that waits on its side, and may have closed the connection behind it.
#[test]
fn socket_has_to_stay_empty_after_bytes_have_waited() {
    let progress = idle();
    progress.set_readable(Instant::now(), Instant::now());
    progress.set_idle(after(400), false);
    assert!(progress.may_hold_withdrawal());
    assert!(progress.settled_at.get() >= after(400));
}

#[test]
fn message_counts_as_arrived_when_the_socket_became_readable() {
    let progress = idle();
    progress.set_readable(Instant::now(), Instant::now());
    let now = after(700);
    assert!(progress.earliest_arrival(now) <= now - Duration::from_millis(690));
    progress.restart_arrival();
    assert!(progress.earliest_arrival(now) >= now - Duration::from_millis(700));
    progress.set_idle(now, false);
    assert_eq!(progress.earliest_arrival(now), now);
}

/// A connection counts as read up to the last time at which all sockets were read, as the process may have been paused since.
#[test]
fn bytes_that_arrive_during_a_pause_count_from_its_start() {
    let progress = idle();
    let (read_until, resumed_at) = (after(1_000), after(2_000));
    progress.set_readable(read_until, Instant::now());
    assert!(progress.lag(resumed_at) >= Duration::from_millis(990));
    let progress = idle();
    progress.set_readable(read_until - Duration::from_secs(5), Instant::now());
    assert!(progress.lag(Instant::now()) < Duration::from_millis(100));
}

/// A client may connect, send a request and cancel it while the process is paused.
#[test]
fn bytes_of_a_connection_that_waited_to_be_accepted_count_from_its_arrival() {
    let now = after(1_000);
    let connected_at = now - Duration::from_millis(400);
    let progress = ReadProgress::new(now);
    progress.set_connected(connected_at, connected_at);
    // All sockets were read after the pause, but this connection was not accepted yet. It is read in several parts.
    for _ in 0..2 {
        progress.set_readable(now, now);
        assert_eq!(progress.earliest_arrival(now), connected_at);
        assert!(progress.lag(now) >= Duration::from_millis(400));
    }
    progress.set_idle(now, false);
    progress.set_readable(now, now);
    assert_eq!(progress.earliest_arrival(now), now);
}

/// Over HTTP a disconnect is noticed although bytes are unread.
#[test]
fn connection_that_is_known_to_be_open_does_not_lag() {
    let progress = idle();
    progress.set_readable(Instant::now(), Instant::now());
    progress.set_connected_at(after(1_000));
    assert!(progress.lag(after(1_010)) <= Duration::from_millis(50));
}

#[test]
fn socket_of_a_client_that_exceeds_its_share_has_to_stay_empty() {
    let progress = idle();
    progress.set_readable(Instant::now(), Instant::now());
    progress.add_read(BURST_BYTES - 1);
    progress.set_idle(Instant::now(), true);
    assert!(!progress.may_hold_withdrawal(), "a client that waits for its answers sends short messages");
    progress.set_readable(Instant::now(), Instant::now());
    progress.add_read(BURST_BYTES);
    progress.set_idle(Instant::now(), true);
    assert!(progress.may_hold_withdrawal());
    assert!(progress.settled_at.get() <= after(50));
}

/// A request that arrives during a pause counts from its start, however long it waits to be read afterwards.
#[test]
fn message_counts_from_the_start_of_a_pause() {
    let progress = idle();
    let (paused_at, read_at) = (after(1_000), after(2_000));
    progress.set_readable(Instant::now(), paused_at);
    assert_eq!(progress.earliest_arrival(read_at), paused_at);
}
