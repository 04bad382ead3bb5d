//! When those who are turned away at a start come back, so that they do not all come at once.
//!
//! Nobody knows how long the list will take. An outage that has lasted for some time is taken to last as long again;
//! clients are told to keep away for once to twice that time, each another. So each asks some few times however long it
//! takes, and those that came over a span come back over a span as long.

use crate::poll_schedule::Milliseconds;

/// Nobody is told to come back sooner: a list that answers at all is there by then.
pub const LEAST: Milliseconds = 100.0;

/// The line of those who were turned away.
#[derive(Debug, Clone)]
pub struct RetryAfter {
    since: Milliseconds,
    rng: fastrand::Rng,
}

impl RetryAfter {
    /// From now on nothing can be served.
    pub fn new(seed: u64, now: Milliseconds) -> Self {
        Self { since: now, rng: fastrand::Rng::with_seed(seed) }
    }

    /// For how long one that is turned away now should keep away. `most`: no client heeds more; past half of that
    /// all that is left is to spread them.
    pub fn wait(&mut self, now: Milliseconds, most: Milliseconds) -> Milliseconds {
        let base = (now - self.since).max(LEAST).min(most / 2.0);
        base * (1.0 + self.rng.f64())
    }
}

#[cfg(test)]
mod tests;
