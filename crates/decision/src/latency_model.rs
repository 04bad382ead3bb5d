//! The latency model: estimates the latency of each class at each level of load, and derives latency figures for a
//! request from it.

use crate::balancer::Balancer;
use crate::interface::Outcome;
use crate::load_levels::{level_index, LEVELS};
use crate::state::{ClassState, EndedAttempt, Request};
use crate::types::{ClassId, Milliseconds};

/// Minimum weight of a new sample in a band or mean: an averaging window of about thirty samples.
const SAMPLE_WEIGHT: f64 = 0.03;
/// Factor applied to a band's sample count in each control step, so that new samples replace old ones.
const BAND_DECAY: f64 = 0.99;
/// Factor applied to arrivals and runtimes in each control step: an averaging window of about ten seconds.
const RECENT_DECAY: f64 = 0.99;
/// Minimum number of samples from which a band's own mean and deviation are used.
pub(crate) const MIN_TRUSTED_SAMPLES: f64 = 4.0;
/// Number of standard deviations above the mean at which a sample is capped, so that runaway queries do not dominate.
const MAX_DEVIATIONS: f64 = 4.0;
/// Minimum standard deviation used for that cap, as a share of the mean.
const MIN_DEVIATION_SHARE: f64 = 0.5;
/// Number of samples that the prior latency counts as.
const PRIOR_SAMPLES: f64 = 1.0;
/// Assumed latency before any outcome, as a share of the class's latency objective.
pub(crate) const INITIAL_LATENCY_SHARE: f64 = 0.4;
/// Load, in threads a core, at which the best latency is estimated: engines are not slowed down at this load.
pub(crate) const BEST_LATENCY_LEVEL: f64 = LEVELS[2];
/// Weight of a control step in the best latency while it falls.
const BEST_LATENCY_FALL: f64 = 0.05;
/// Weight of a control step in the best latency while it rises: far less than while it falls, otherwise the latency
/// under a long overload would become the best latency.
const BEST_LATENCY_RISE: f64 = 0.005;
/// Minimum number of samples in a band from which the best latency is learned.
const MIN_SAMPLES_FOR_BEST: f64 = 1.0;

/// Estimated latency of a class at a load.
#[derive(Clone, Copy)]
pub(crate) struct LatencyEstimate {
    pub(crate) mean: Milliseconds,
    pub(crate) deviation: Milliseconds,
}

impl Balancer {
    /// Returns mean and standard deviation of a class's latency at a load in threads a core. All bands contribute,
    /// the nearest ones most, so a band without samples is estimated from its neighbours. Between bands, latency is
    /// assumed to be proportional to load above one thread a core.
    pub(crate) fn latency_at(&self, class: ClassId, load: f64) -> LatencyEstimate {
        let level = level_index(load);
        let objective = self.settings.classes[class.0].latency_objective;
        let prior = objective * INITIAL_LATENCY_SHARE * LEVELS[level].max(1.0);
        let (mut weights, mut mean, mut variance) = (PRIOR_SAMPLES, PRIOR_SAMPLES * prior, 0.0);
        for (index, band) in self.classes[class.0].bands.iter().enumerate() {
            if band.count <= 0.0 {
                continue;
            }
            let distance = index.abs_diff(level) as f64;
            let weight = band.count / (1.0 + distance * distance);
            let scale = LEVELS[level].max(1.0) / LEVELS[index].max(1.0);
            weights += weight;
            mean += weight * band.mean * scale;
            variance += weight * band.variance * scale * scale;
        }
        LatencyEstimate { mean: mean / weights, deviation: (variance / weights).sqrt() }
    }

    /// Returns the latency objective of a request of that class and relative size.
    pub(crate) fn latency_objective(&self, class: ClassId, relative_size: f64) -> Milliseconds {
        let class_settings = &self.settings.classes[class.0];
        let best_latency = self.classes[class.0].best_latency;
        (class_settings.latency_objective
            + class_settings.latency_objective_stretch * best_latency * relative_size)
            .min(class_settings.client_timeout)
    }

    /// Returns whether the latency objective of a request has passed.
    pub(crate) fn is_late(&self, request: &Request) -> bool {
        let objective = self.latency_objective(request.details.class, request.relative_size);
        self.now - request.received_at > objective
    }

    /// Returns the latency of a request on an idle engine.
    pub(crate) fn unloaded_latency(&self, request: &Request) -> Milliseconds {
        unloaded_latency(self.class_state_of(request), request)
    }

    /// Returns the latency that an ended attempt would have had on an idle engine: from its reported work, otherwise
    /// from the best latency of the class.
    pub(crate) fn unloaded_latency_of_ended(&self, ended: &EndedAttempt) -> Milliseconds {
        let threads = self.settings.classes[ended.class.0].threads;
        let best_latency = self.classes[ended.class.0].best_latency * ended.relative_size;
        ended.work.map_or(best_latency, |work| work / threads)
    }

    /// Returns the expected work of a query of a class, in thread time. Before anything has been learned it is based
    /// on the whole latency objective.
    pub(crate) fn expected_work(&self, class: ClassId) -> Milliseconds {
        let (state, class_settings) = (&self.classes[class.0], &self.settings.classes[class.0]);
        let is_learned = state.learned_steps > 0.0;
        class_settings.threads
            * if is_learned { state.best_latency } else { class_settings.latency_objective }
    }

    /// Updates the recent runtime of the class, and the latency of an average query on an idle engine, from an ended
    /// attempt.
    pub(crate) fn learn_runtime(&mut self, ended: &EndedAttempt) {
        let class_settings = &self.settings.classes[ended.class.0];
        let state = &mut self.classes[ended.class.0];
        state.runtime += ended.elapsed.clamp(0.0, class_settings.client_timeout);
        let Some(work) = ended.work.filter(|work| ended.outcome == Outcome::Ok && *work > 0.0) else {
            return;
        };
        let latency = work / class_settings.threads / ended.relative_size;
        state.unloaded_latency += if state.unloaded_latency > 0.0 {
            SAMPLE_WEIGHT * (latency - state.unloaded_latency)
        } else {
            latency
        };
    }

    /// Records the latency of an ended attempt as a sample. A timeout counts as a latency of the elapsed time, except
    /// if the engine is an outlier or the attempt was already sampled while it was overdue.
    pub(crate) fn learn_latency(&mut self, ended: &EndedAttempt, is_outlier: bool) {
        let is_sample = match ended.outcome {
            Outcome::Ok => true,
            Outcome::Timeout => !ended.sampled && !is_outlier,
            _ => false,
        };
        let is_measure = !self.was_paused() && ended.elapsed.is_finite() && ended.elapsed >= 0.0;
        if is_sample && is_measure {
            self.add_sample(ended.class, ended.load_level, ended.elapsed / ended.relative_size);
        }
    }

    /// Adds a latency sample, scaled to a query of average size of its class, at a load in threads a core.
    pub(crate) fn add_sample(&mut self, class: ClassId, load: f64, latency: Milliseconds) {
        let state = &mut self.classes[class.0];
        state.confirmed_at = Some(self.now);
        let band = &mut state.bands[level_index(load)];
        let max_latency = if band.count >= MIN_TRUSTED_SAMPLES {
            band.mean + MAX_DEVIATIONS * band.variance.sqrt().max(band.mean * MIN_DEVIATION_SHARE)
        } else {
            self.settings.classes[class.0].client_timeout
        };
        band.add(latency.min(max_latency), SAMPLE_WEIGHT);
    }

    /// Decays arrivals, runtimes and sample counts of all classes by one control step.
    pub(crate) fn decay_class_statistics(&mut self) {
        for state in &mut self.classes {
            state.arrivals *= RECENT_DECAY;
            state.runtime *= RECENT_DECAY;
            for band in &mut state.bands {
                band.count *= BAND_DECAY;
            }
        }
    }

    /// Moves the best latency of each class towards its estimated latency on an engine under little load.
    pub(crate) fn learn_best_latencies(&mut self) {
        for index in 0..self.classes.len() {
            let latency = self.latency_at(ClassId(index), BEST_LATENCY_LEVEL).mean;
            let state = &mut self.classes[index];
            if !state.bands.iter().any(|band| band.count >= MIN_SAMPLES_FOR_BEST) {
                continue;
            }
            state.learned_steps += 1.0;
            let weight = if latency < state.best_latency { BEST_LATENCY_FALL } else { BEST_LATENCY_RISE };
            state.best_latency += weight.max(1.0 / state.learned_steps) * (latency - state.best_latency);
        }
    }
}

/// Returns the latency of a request on an idle engine: from the work that answers report, otherwise from the best
/// latency of the class.
pub(crate) fn unloaded_latency(state: &ClassState, request: &Request) -> Milliseconds {
    let usual = if state.unloaded_latency > 0.0 { state.unloaded_latency } else { state.best_latency };
    request.relative_size * usual
}
