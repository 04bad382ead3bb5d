//! The concurrency limit: maximum number of threads a core that all gateways together may run on an engine under
//! pressure.

use crate::balancer::Balancer;
use crate::latency_model::MIN_TRUSTED_SAMPLES;
use crate::load_levels::{INITIAL_LIMIT, LEVELS};
use crate::types::ClassId;

/// Index of the level to which the limit falls if no class meets its objective at any level: one thread a core.
const FALLBACK_LIMIT: usize = 3;
/// Minimum number of samples, over all classes, at a level before the next higher level may be chosen.
const MIN_KNOWN_SAMPLES: f64 = 1.0;

impl Balancer {
    /// Returns the last chosen concurrency limit, in threads a core over all gateways.
    pub fn concurrency_limit(&self) -> f64 {
        LEVELS[self.limit_level]
    }

    /// Chooses the concurrency limit, once enough latency samples have been recorded.
    pub(crate) fn choose_concurrency_limit(&mut self) {
        let mut bands = self.classes.iter().flat_map(|state| &state.bands);
        if !bands.any(|band| band.count >= MIN_TRUSTED_SAMPLES) {
            return;
        }
        // If no class meets its objective at any level, the values of the levels cannot be compared: engines have
        // collapsed or are all slow, and with fewer threads some queries still end in time. The limit falls by one
        // level per control step.
        let fallback = FALLBACK_LIMIT.max(self.limit_level.saturating_sub(1));
        self.limit_level = self.best_limit().unwrap_or(fallback);
    }

    /// Returns the level with the highest value. The value of a level is the level times the recent arrivals,
    /// weighted by priority, of the classes whose mean latency plus one standard deviation is within the objective at
    /// that level. Returns `None` if no class meets its objective at any level.
    fn best_limit(&self) -> Option<usize> {
        let mut best = None;
        let mut best_value = 0.0;
        for (index, level) in LEVELS.iter().enumerate().take(self.highest_candidate() + 1) {
            let value = level * self.weight_served_at(*level);
            if value > best_value {
                best_value = value;
                best = Some(index);
            }
        }
        best
    }

    /// Returns the level after the highest one with recent samples. Latencies at higher levels are extrapolated, and
    /// an engine collapses beyond its maximum throughput.
    fn highest_candidate(&self) -> usize {
        let samples = |level: usize| self.classes.iter().map(|state| state.bands[level].count).sum::<f64>();
        let highest_known = (0..LEVELS.len()).rev().find(|level| samples(*level) >= MIN_KNOWN_SAMPLES);
        highest_known.map_or(0, |level| level + 1).max(INITIAL_LIMIT)
    }

    /// Returns the recent arrivals, weighted by priority, of the classes that meet their objective at a level.
    fn weight_served_at(&self, level: f64) -> f64 {
        let meets_objective = |class: &ClassId| {
            let latency = self.latency_at(*class, level);
            latency.mean + latency.deviation <= self.latency_objective(*class, 1.0)
        };
        let weight =
            |class: ClassId| self.classes[class.0].arrivals * self.settings.classes[class.0].priority_weight;
        (0..self.classes.len()).map(ClassId).filter(meets_objective).map(weight).sum()
    }
}
