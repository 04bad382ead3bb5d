//! A barrier between reading from clients and writing attempts: an attempt begins only once what its client has sent, a
//! disconnect or a cancellation among it, has been read.
//!
//! The process may be paused at any point, and clients may leave meanwhile. As it goes on, tasks that write to engines may run before
//! those that read from clients. A writer therefore asks whether clients were read recently enough, and if not, lets all tasks
//! read what has arrived first.

use std::cell::Cell;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// How old the last look at clients' sockets may be as an attempt begins: a part of the 100 ms in which a disconnect has to take effect.
const MAX_READ_AGE: Duration = Duration::from_millis(25);
/// Polls of the sockets in one pass: the first wakes the tasks that read, and the others let them go on after they gave way.
const POLLS_PER_PASS: usize = 3;

/// When clients' sockets were last read, for all writers of a process.
#[derive(Debug)]
pub struct ReadBarrier {
    /// Everything that had arrived by then has been read.
    read_until: Cell<Instant>,
}

impl ReadBarrier {
    /// A barrier of a process that starts now and has no clients.
    pub(super) fn new() -> Self {
        Self { read_until: Cell::new(Instant::now()) }
    }

    /// Whether clients were read recently enough for an attempt to begin now.
    pub fn is_fresh(&self) -> bool {
        self.read_until.get().elapsed() <= MAX_READ_AGE
    }

    /// Lets all tasks read what has arrived, until that was recent enough. A pause within a pass makes another one necessary.
    pub async fn pass(&self) {
        while !self.is_fresh() {
            let begun = Instant::now();
            for _ in 0..POLLS_PER_PASS {
                // The runtime polls all sockets before it resumes a task that yields, and wakes those that wait for them first.
                yield_now().await;
            }
            self.read_until.set(begun.max(self.read_until.get()));
        }
    }
}

#[cfg(test)]
mod tests;
