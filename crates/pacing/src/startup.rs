//! When the initial health checks of a gateway are sent.
//!
//! Hundreds of gateways that start together would connect to one engine within a tenth of a second, before any client has
//! sent a request. Health checks are therefore spread over a span that grows with the fleet, by the gateway's index or by
//! chance. They never delay a request.

use crate::fleet::{start_position, START_ACTIONS_PER_SECOND};
use crate::Milliseconds;

/// The span over which a fleet spreads its initial health checks. After it the load that they report would be outdated.
const MAX_START_SPREAD: Milliseconds = 2_000.0;

/// The span over which a fleet spreads what each gateway does once at its start: a millisecond for each gateway, bounded.
pub fn start_spread(gateways: usize) -> Milliseconds {
    (gateways.max(1) as f64 / START_ACTIONS_PER_SECOND * 1_000.0).min(MAX_START_SPREAD)
}

/// Defers the health checks of a gateway until its position in the start of the fleet. Owns the deferred engines.
#[derive(Debug, Clone)]
pub struct InitialHealthChecks<E> {
    /// When health checks are no longer deferred.
    pub release_at: Milliseconds,
    deferred: Vec<E>,
}

impl<E: PartialEq> InitialHealthChecks<E> {
    /// A gateway that starts now.
    pub fn new(gateways: usize, gateway_index: Option<u64>, seed: u64, now: Milliseconds) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let position = start_position(gateways, gateway_index, &mut rng);
        Self { release_at: now + position * start_spread(gateways), deferred: Vec::new() }
    }

    /// Requests a health check of an engine. Returns the engine if it may be checked now; otherwise the check is deferred,
    /// once for each engine.
    pub fn request(&mut self, engine: E, now: Milliseconds) -> Option<E> {
        if now >= self.release_at {
            return Some(engine);
        }
        if !self.deferred.contains(&engine) {
            self.deferred.push(engine);
        }
        None
    }

    /// Removes and returns the engines that were deferred and may be checked now.
    pub fn release(&mut self, now: Milliseconds) -> Vec<E> {
        if now < self.release_at {
            return Vec::new();
        }
        std::mem::take(&mut self.deferred)
    }
}

#[cfg(test)]
mod tests;
