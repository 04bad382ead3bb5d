//! Retry-after times for clients that are rejected during a start, so that they do not all retry at once.
//!
//! The duration of the start is not known in advance. An outage that has lasted for some time is expected to last as long
//! again, so each client is asked to wait for a random time between one and two times the elapsed one. Each client then
//! retries only a few times however long the outage lasts, and clients that arrived over some period also retry over a period
//! of at least that length.

use crate::Milliseconds;

/// The shortest base of a wait in ms: a name service that responds at all has sent the list within this time.
pub const MIN_RETRY_AFTER: Milliseconds = 100.0;

/// Draws retry-after times for rejected clients.
#[derive(Debug, Clone)]
pub struct RetryAfter {
    outage_began_at: Milliseconds,
    rng: fastrand::Rng,
}

impl RetryAfter {
    /// Creates the generator for an outage that begins now.
    pub fn new(seed: u64, now: Milliseconds) -> Self {
        Self { outage_began_at: now, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Returns the time for which a client that is rejected now should wait. The maximum is `max_wait`, as clients ignore longer
    /// times. Once the outage has lasted for half of `max_wait`, waits no longer grow and are only spread.
    pub fn draw(&mut self, now: Milliseconds, max_wait: Milliseconds) -> Milliseconds {
        let base = (now - self.outage_began_at).max(MIN_RETRY_AFTER).min(max_wait / 2.0);
        base * (1.0 + self.rng.f64())
    }
}

#[cfg(test)]
mod tests;
