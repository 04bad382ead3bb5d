//! Barrier between reading from clients and writing attempts: an attempt is written only after the disconnects and
//! cancellations that have arrived from clients were read.
//!
//! The process may be paused at any point, and clients may disconnect during the pause. Afterwards, tasks that write to
//! engines may run before those that read from clients. A writer therefore checks whether client sockets were read recently
//! enough, and otherwise first lets all tasks read the bytes that have arrived.

use std::cell::Cell;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Maximum time between the last read of client sockets and the write of an attempt: a fraction of the 100 ms within which
/// a disconnect has to take effect.
const MAX_READ_AGE: Duration = Duration::from_millis(25);
/// Number of polls of the sockets in one pass: the first wakes the reading tasks, and the others let those continue that
/// have yielded.
const POLLS_PER_PASS: usize = 3;

/// Time of the last read of client sockets, shared by all writers of a process.
#[derive(Debug)]
pub struct ReadBarrier {
    /// All bytes that arrived before this time have been read, or their connections count as not read up to then.
    read_until: Cell<Instant>,
}

impl ReadBarrier {
    /// Creates the barrier of a process that has no clients yet.
    pub(super) fn new() -> Self {
        Self { read_until: Cell::new(Instant::now()) }
    }

    /// Returns the time before which all bytes that have arrived were read, or their reading tasks woken.
    pub fn read_until(&self) -> Instant {
        self.read_until.get()
    }

    /// Returns whether client sockets were read recently enough for an attempt to be written now.
    pub fn is_fresh(&self) -> bool {
        self.read_until.get().elapsed() <= MAX_READ_AGE
    }

    /// Lets all tasks read the bytes that have arrived. Repeated until the barrier is fresh, as the process may be paused
    /// during a pass.
    pub async fn pass(&self) {
        while !self.is_fresh() {
            let started_at = Instant::now();
            for _ in 0..POLLS_PER_PASS {
                // Before the runtime resumes a task that has yielded, it polls all sockets and wakes the tasks that wait for them.
                yield_now().await;
            }
            self.read_until.set(started_at.max(self.read_until.get()));
        }
    }
}

#[cfg(test)]
mod tests;
