//! Which part of a large fleet each gateway meets. In: the engines that take work, this gateway's number, how many
//! gateways there are, and its share of the traffic. Out: for each engine the share, from 0 to 1, in which this gateway
//! meets it, and its part of that engine's budget while cold. Rule: at their base width the shares of all gateways add
//! up to the same for every engine, and so do the parts, to one.
//!
//! Engines lie evenly on a ring, in an order that every gateway finds by itself; gateways do so too, by number, and
//! each meets what its arc covers, the engines at its ends in part (deterministic aperture, as Finagle describes it).
//! Hundreds of gateways that each meet every engine meet each seldom: news is old, a cold engine's budget falls into
//! parts smaller than a query, and connections add up to their product.

use crate::state::Engine;
use crate::types::{Availability, EngineId};
use std::collections::BTreeMap;

/// Engines that a gateway meets, where there are more.
pub const MET: f64 = 10.0;
/// Gateways that meet an engine, at least: with few gateways each meets more engines.
pub const MEETING: f64 = 4.0;
/// Times the even share of the traffic past which a gateway meets more engines, in proportion.
const WIDEN: f64 = 3.0;

/// A gateway's place on the ring.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Aperture {
    /// Where its arc begins, from 0 to 1.
    at: f64,
    /// Gateways in all.
    gateways: f64,
    /// How many times its base width the arc has now.
    widened: f64,
    /// Processes of this gateway that run now, and share its part of cold engines' budgets.
    processes: f64,
}

impl Aperture {
    /// By its number, or by chance where it has none.
    pub fn new(gateway_index: Option<u64>, gateways: usize, seed: u64) -> Self {
        let all = gateways.max(1) as f64;
        let chance = || fastrand::Rng::with_seed(seed).f64();
        Self {
            at: gateway_index.map_or_else(chance, |r| (r as f64 / all).fract()),
            gateways: all,
            widened: 1.0,
            processes: 1.0,
        }
    }

    /// So many processes of this gateway run now: one that takes over and the one that it takes over from.
    pub fn share(&mut self, processes: u32, engines: &mut BTreeMap<EngineId, Engine>, share: f64) {
        self.processes = f64::from(processes.max(1));
        self.focus(engines, share, true);
    }

    /// The share of the ring that each gateway covers before so many engines.
    pub fn width(&self, engines: usize) -> f64 {
        (MET / engines.max(1) as f64).max(MEETING / self.gateways).min(1.0)
    }

    /// Meets engines anew after their list has changed, or where this gateway's share of the traffic has become far
    /// more or less than its arc was made for.
    pub fn focus(&mut self, engines: &mut BTreeMap<EngineId, Engine>, share: f64, changed: bool) {
        let wanted = (share * self.gateways / WIDEN).max(1.0);
        if !changed && (self.widened / 2.0..=self.widened * 1.5).contains(&wanted) {
            return;
        }
        self.widened = wanted;
        let live = |e: &&mut Engine| e.member.availability == Availability::Live;
        let mut met: Vec<&mut Engine> = engines.values_mut().filter(live).collect();
        let width = self.width(met.len());
        let ids: Vec<&EngineId> = met.iter().map(|e| &e.member.engine).collect();
        let wide = self.shares(&ids, (width * self.widened).min(1.0));
        let base = self.shares(&ids, width);
        for (e, (wide, base)) in met.iter_mut().zip(wide.into_iter().zip(base)) {
            (e.aperture_share, e.slow_start_share) = (wide, base / (self.gateways * width * self.processes));
        }
    }

    /// Of each engine, in the order given, the share that an arc of that width covers.
    fn shares(&self, engines: &[&EngineId], width: f64) -> Vec<f64> {
        let n = engines.len() as f64;
        let mut ring: Vec<(u64, usize)> =
            engines.iter().enumerate().map(|(i, id)| (id.stable_hash(), i)).collect();
        ring.sort_unstable_by(|a, b| a.0.cmp(&b.0).then_with(|| engines[a.1].cmp(engines[b.1])));
        let mut shares = vec![0.0; engines.len()];
        for (place, (_, i)) in ring.iter().enumerate() {
            let (from, to) = (place as f64 / n, (place + 1) as f64 / n);
            // The arc may pass the ring's end once.
            let covered = |arc: f64| (to.min(arc + width) - from.max(arc)).max(0.0);
            let share = (covered(self.at) + covered(self.at - 1.0)) * n;
            // What is left of rounding is no share.
            shares[*i] = if share > 1e-9 { share.min(1.0) } else { 0.0 };
        }
        shares
    }
}

#[cfg(test)]
mod tests;
