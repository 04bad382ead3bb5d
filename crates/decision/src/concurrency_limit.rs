//! The concurrency limit: how many threads a core all gateways together may run on an engine under pressure.

use crate::balancer::Balancer;
use crate::latency_model::MIN_TRUSTED_SAMPLES;
use crate::load_levels::{INITIAL_LIMIT, LEVELS};
use crate::types::ClassId;

/// Where no limit serves any class, the limit falls to this level: one thread a core.
const FALLBACK_LIMIT: usize = 3;
/// The number of samples, over all classes, that make a level known enough to try the next one.
const MIN_KNOWN_SAMPLES: f64 = 1.0;

impl Balancer {
    /// The concurrency limit last chosen, in threads a core over all gateways.
    pub fn concurrency_limit(&self) -> f64 {
        LEVELS[self.limit_level]
    }

    /// Chooses the limit once latencies are known.
    pub(crate) fn choose_concurrency_limit(&mut self) {
        let mut bands = self.classes.iter().flat_map(|state| &state.bands);
        if !bands.any(|band| band.count >= MIN_TRUSTED_SAMPLES) {
            return;
        }
        // Where no class meets its objective anywhere, the sums say nothing: engines have collapsed or all are slow,
        // and fewer threads let some queries end in time. The limit falls by a level each step.
        let fallback = FALLBACK_LIMIT.max(self.limit_level.saturating_sub(1));
        self.limit_level = self.best_limit().unwrap_or(fallback);
    }

    /// The level with the highest value: the sum, over classes whose mean latency plus one deviation there is within
    /// the objective, of recent arrivals by priority weight, times the level. None: no class meets its objective.
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

    /// The level after the highest one with recent samples. Latencies past it are guesses, and past its peak an engine
    /// collapses.
    fn highest_candidate(&self) -> usize {
        let samples = |level: usize| self.classes.iter().map(|state| state.bands[level].count).sum::<f64>();
        let highest_known = (0..LEVELS.len()).rev().find(|level| samples(*level) >= MIN_KNOWN_SAMPLES);
        highest_known.map_or(0, |level| level + 1).max(INITIAL_LIMIT)
    }

    /// The recent arrivals, by priority weight, of the classes that meet their objective at a level.
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
