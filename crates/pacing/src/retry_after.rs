//! When clients that are rejected at a start should retry, so that they do not all retry at once.
//!
//! How long the start takes is not known in advance. An outage that has lasted for some time is expected to last as long
//! again, so clients are asked to wait for once to twice that time, each for another. Each client then retries only a few
//! times however long it takes, and clients that arrived over a span retry over a span as long.

use crate::Milliseconds;

/// The shortest wait: within it a name service that responds at all has sent the list.
pub const MIN_RETRY_AFTER: Milliseconds = 100.0;

/// Draws the waits of rejected clients.
#[derive(Debug, Clone)]
pub struct RetryAfter {
    outage_began_at: Milliseconds,
    rng: fastrand::Rng,
}

impl RetryAfter {
    /// An outage that begins now.
    pub fn new(seed: u64, now: Milliseconds) -> Self {
        Self { outage_began_at: now, rng: fastrand::Rng::with_seed(seed) }
    }

    /// How long a client that is rejected now should wait: at most `max_wait`, as clients heed no more. Past half of that the
    /// waits are only spread.
    pub fn draw(&mut self, now: Milliseconds, max_wait: Milliseconds) -> Milliseconds {
        let base = (now - self.outage_began_at).max(MIN_RETRY_AFTER).min(max_wait / 2.0);
        base * (1.0 + self.rng.f64())
    }
}

#[cfg(test)]
mod tests;
