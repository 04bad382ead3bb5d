//! The aperture: the part of a large fleet that each gateway sends to. Input: the engines that accept work, this
//! gateway's index, the number of gateways, and this gateway's share of the traffic. Output: for each engine, the
//! share from 0 to 1 of the engine that the aperture covers, and this gateway's share of the engine's slow start
//! budget. At the base width the shares of all gateways add up to the same total for every engine, and the budget
//! shares add up to one.
//!
//! Engines are evenly spaced on a ring, in an order that every gateway computes by itself; gateways are evenly spaced
//! too, by index. Each gateway sends to the engines that its arc covers; engines at the ends of the arc are covered
//! in part (deterministic aperture, as described by Finagle). If each of hundreds of gateways sent to every engine,
//! it would send to each engine rarely: load reports would be old, each share of a slow start budget would be smaller
//! than a query, and the number of connections would be the product of both numbers.

use crate::state::Engine;
use crate::types::{Availability, EngineId};
use std::collections::BTreeMap;

/// Number of engines that a gateway sends to in a large fleet: enough to balance load among them.
const ENGINES_PER_GATEWAY: f64 = 10.0;
/// Minimum number of gateways that send to each engine: with few gateways, each sends to more engines.
const MIN_GATEWAYS_PER_ENGINE: f64 = 4.0;
/// Multiple of an even share of the traffic above which the arc of a gateway is widened, in proportion.
const WIDENING_THRESHOLD: f64 = 3.0;
/// The arc is not narrowed while its current width is at most this multiple of the target width.
const NARROWING_HYSTERESIS: f64 = 2.0;
/// The arc is not widened while the target width is at most this multiple of its current width.
const WIDENING_HYSTERESIS: f64 = 1.5;
/// Shares below this are caused by rounding, and are treated as 0.
const MIN_SHARE: f64 = 1e-9;

/// A gateway's arc on the ring.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Aperture {
    /// Position on the ring at which the arc begins, from 0 to 1.
    start: f64,
    /// Number of gateways that share the engines.
    gateways: f64,
    /// Current width of the arc, as a multiple of its base width.
    widening: f64,
    /// Number of processes of this gateway that are running now and divide its budget shares among them.
    processes: f64,
}

impl Aperture {
    /// Creates an arc that begins at the position of the gateway's index, or at a random position if the gateway has
    /// none.
    pub(crate) fn new(gateway_index: Option<u64>, gateways: usize, seed: u64) -> Self {
        let gateways = gateways.max(1) as f64;
        let random_start = || fastrand::Rng::with_seed(seed).f64();
        let start = gateway_index.map_or_else(random_start, |index| (index as f64 / gateways).fract());
        Self { start, gateways, widening: 1.0, processes: 1.0 }
    }

    /// Sets the number of processes of this gateway that are running now: two during a hot restart, the old one and
    /// the new one.
    pub(crate) fn set_process_count(
        &mut self,
        processes: u32,
        engines: &mut BTreeMap<EngineId, Engine>,
        traffic_share: f64,
    ) {
        self.processes = f64::from(processes.max(1));
        self.update(engines, traffic_share, true);
    }

    /// Returns the share of the ring that each gateway's arc covers before widening, for that number of engines.
    fn base_width(&self, engines: usize) -> f64 {
        let width = ENGINES_PER_GATEWAY / engines.max(1) as f64;
        width.max(MIN_GATEWAYS_PER_ENGINE / self.gateways).min(1.0)
    }

    /// Recomputes the shares of all engines if the endpoint list has changed, or if this gateway's share of the
    /// traffic has become far larger or smaller than the one its arc was computed for.
    pub(crate) fn update(
        &mut self,
        engines: &mut BTreeMap<EngineId, Engine>,
        traffic_share: f64,
        list_changed: bool,
    ) {
        let wanted = (traffic_share * self.gateways / WIDENING_THRESHOLD).max(1.0);
        let tolerated = self.widening / NARROWING_HYSTERESIS..=self.widening * WIDENING_HYSTERESIS;
        if !list_changed && tolerated.contains(&wanted) {
            return;
        }
        self.widening = wanted;
        let is_live = |engine: &&mut Engine| engine.member.availability == Availability::Live;
        let mut live: Vec<&mut Engine> = engines.values_mut().filter(is_live).collect();
        let width = self.base_width(live.len());
        let ids: Vec<&EngineId> = live.iter().map(|engine| &engine.member.engine).collect();
        let widened_shares = self.shares(&ids, (width * self.widening).min(1.0));
        let base_shares = self.shares(&ids, width);
        for (engine, (widened, base)) in live.iter_mut().zip(widened_shares.into_iter().zip(base_shares)) {
            engine.aperture_share = widened;
            engine.slow_start.own_share = base / (self.gateways * width * self.processes);
        }
    }

    /// Returns the share of each engine, in the given order, that an arc of that width covers.
    fn shares(&self, engines: &[&EngineId], width: f64) -> Vec<f64> {
        let count = engines.len() as f64;
        let hashes = engines.iter().map(|id| id.stable_hash());
        let mut ring: Vec<(u64, usize)> = hashes.zip(0..).collect();
        ring.sort_unstable_by(|a, b| a.0.cmp(&b.0).then_with(|| engines[a.1].cmp(engines[b.1])));
        let mut shares = vec![0.0; engines.len()];
        for (position, (_, index)) in ring.iter().enumerate() {
            let (from, to) = (position as f64 / count, (position + 1) as f64 / count);
            let covered = |start: f64| (to.min(start + width) - from.max(start)).max(0.0);
            // The arc may extend past the end of the ring, and then continues at its start.
            let share = (covered(self.start) + covered(self.start - 1.0)) * count;
            shares[*index] = if share > MIN_SHARE { share.min(1.0) } else { 0.0 };
        }
        shares
    }
}

#[cfg(test)]
mod tests;
