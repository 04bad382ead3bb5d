//! Timing of a gateway's initial health checks.
//!
//! Without spreading, hundreds of gateways that start together would connect to one engine within a tenth of a second, before
//! any client has sent a request. Health checks are therefore spread over a period that grows with the fleet, by the gateway's
//! index or at random. They never delay a request.

use crate::fleet::{start_position, START_ACTIONS_PER_SECOND};
use crate::Milliseconds;

/// Maximum period in ms over which a fleet spreads its initial health checks. The load that the first ones report would be
/// outdated after a longer period.
const MAX_START_SPREAD: Milliseconds = 2_000.0;

/// Returns the period over which a fleet spreads the actions that each gateway performs once at its start: one millisecond for
/// each gateway, up to a maximum.
pub fn start_spread(gateways: usize) -> Milliseconds {
    (gateways.max(1) as f64 / START_ACTIONS_PER_SECOND * 1_000.0).min(MAX_START_SPREAD)
}

/// Defers the health checks of a gateway until its position in the start of the fleet is reached. Stores the engines whose
/// checks are deferred.
#[derive(Debug, Clone)]
pub struct InitialHealthChecks<E> {
    /// The time from which health checks are no longer deferred.
    pub release_at: Milliseconds,
    deferred: Vec<E>,
}

impl<E: PartialEq> InitialHealthChecks<E> {
    /// Creates the state of a gateway that starts now.
    pub fn new(gateways: usize, gateway_index: Option<u64>, seed: u64, now: Milliseconds) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let position = start_position(gateways, gateway_index, &mut rng);
        Self { release_at: now + position * start_spread(gateways), deferred: Vec::new() }
    }

    /// Requests a health check of an engine. Returns the engine if it may be checked now; otherwise the check is deferred, and
    /// repeated requests for the same engine cause only one check.
    pub fn request(&mut self, engine: E, now: Milliseconds) -> Option<E> {
        if now >= self.release_at {
            return Some(engine);
        }
        if !self.deferred.contains(&engine) {
            self.deferred.push(engine);
        }
        None
    }

    /// Removes and returns the deferred engines once they may be checked.
    pub fn release(&mut self, now: Milliseconds) -> Vec<E> {
        if now < self.release_at {
            return Vec::new();
        }
        std::mem::take(&mut self.deferred)
    }
}

#[cfg(test)]
mod tests;
