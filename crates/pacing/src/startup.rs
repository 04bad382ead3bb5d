//! Where a gateway stands in a start of all, and when its first probes leave.
//!
//! What each may send at its start adds up: hundreds that start together open their connections to one engine within a
//! tenth of a second, before anybody has asked for anything. So what no client waits for leaves in turn, by rank or by
//! chance, over a span that grows with the fleet; a request is never held up by it.

use crate::poll_schedule::{Milliseconds, FLEET};

/// This gateway's place among the others, from 0 to 1.
pub fn place(gateways: usize, gateway_index: Option<u64>, rng: &mut fastrand::Rng) -> f64 {
    gateway_index.map_or_else(|| rng.f64(), |r| (r as f64 / gateways.max(1) as f64).fract())
}

/// The span over which a fleet spreads what each does once at its start: a millisecond a gateway, and no longer than
/// what is learned from it stays new.
pub fn span(gateways: usize) -> Milliseconds {
    (gateways.max(1) as f64 / FLEET * 1_000.0).min(2_000.0)
}

/// Holds back a gateway's probes until its place in the span has come.
#[derive(Debug, Clone)]
pub struct InitialHealthChecks<E> {
    /// Until then.
    pub until: Milliseconds,
    held: Vec<E>,
}

impl<E: PartialEq> InitialHealthChecks<E> {
    /// A gateway that starts now.
    pub fn new(gateways: usize, gateway_index: Option<u64>, seed: u64, now: Milliseconds) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Self { until: now + place(gateways, gateway_index, &mut rng) * span(gateways), held: Vec::new() }
    }

    /// A probe of that engine is wanted. Returned: it may leave now; else it is held, once for each engine.
    pub fn ask(&mut self, engine: E, now: Milliseconds) -> Option<E> {
        if now >= self.until {
            return Some(engine);
        }
        if !self.held.contains(&engine) {
            self.held.push(engine);
        }
        None
    }

    /// What was held and may leave now.
    pub fn due(&mut self, now: Milliseconds) -> Vec<E> {
        if now >= self.until {
            std::mem::take(&mut self.held)
        } else {
            Vec::new()
        }
    }
}

#[cfg(test)]
mod tests;
