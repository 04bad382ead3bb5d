//! Check whether a peer has closed a connection although bytes of it are unread.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::os::fd::AsFd;
use std::time::Duration;
use tokio::time::sleep;

/// Interval of checks for a closed connection whose bytes are not read.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Returns whether the peer has closed the connection or its side of it, or the connection has failed. If the system call fails, the
/// connection counts as open.
pub fn is_closed_by_peer(stream: impl AsFd) -> bool {
    const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
    let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut descriptors = [PollFd::new(&stream, PollFlags::RDHUP)];
    poll(&mut descriptors, Some(&NO_WAIT)).is_ok() && descriptors[0].revents().intersects(closed)
}

/// Waits until the peer has closed the connection, also while bytes of it are unread.
pub async fn closed_by_peer(stream: impl AsFd) {
    while !is_closed_by_peer(&stream) {
        sleep(CHECK_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;
