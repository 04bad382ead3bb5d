//! The latency model: how long queries of a class take at each level of load, and what follows from it for a request.

use crate::balancer::Balancer;
use crate::interface::Outcome;
use crate::load_levels::{level_index, LEVELS};
use crate::state::{ClassState, EndedAttempt, Request};
use crate::types::{ClassId, Milliseconds};

/// The least weight of a new sample in a band or mean: about thirty samples are remembered.
const SAMPLE_WEIGHT: f64 = 0.03;
/// The factor by which a band's sample count falls each control step: old bands give way to new outcomes.
const BAND_DECAY: f64 = 0.99;
/// The factor by which arrivals and runtimes fall each control step: about ten seconds are remembered.
const RECENT_DECAY: f64 = 0.99;
/// The number of samples from which a band's own mean and deviation are trusted.
pub(crate) const MIN_TRUSTED_SAMPLES: f64 = 4.0;
/// Deviations past the mean at which a sample is cut off, so that runaway queries do not dominate.
const MAX_DEVIATIONS: f64 = 4.0;
/// The least deviation for that cut, as a share of the mean.
const MIN_DEVIATION_SHARE: f64 = 0.5;
/// The number of samples that the prior latency counts as.
const PRIOR_SAMPLES: f64 = 1.0;
/// The latency before any outcome, as a share of the class's latency objective.
pub(crate) const INITIAL_LATENCY_SHARE: f64 = 0.4;
/// The load, in threads a core, at which the best latency is read: engines are not slowed down there.
pub(crate) const BEST_LATENCY_LEVEL: f64 = LEVELS[2];
/// The weight of a control step in the best latency while it falls ...
const BEST_LATENCY_FALL: f64 = 0.05;
/// ... and while it rises: far less, else a long overload is taken for the best there is.
const BEST_LATENCY_RISE: f64 = 0.005;
/// The number of samples in a band from which the best latency is learned.
const MIN_SAMPLES_FOR_BEST: f64 = 1.0;

/// The latency of a class at a level of load.
#[derive(Clone, Copy)]
pub(crate) struct LatencyEstimate {
    pub(crate) mean: Milliseconds,
    pub(crate) deviation: Milliseconds,
}

impl Balancer {
    /// Mean and deviation of a class's latency at a load in threads a core. All bands contribute, the nearest most, so
    /// a band without samples leans on its neighbours. Between bands, latency is taken to grow in proportion to load.
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

    /// The latency objective of a request of that relative size.
    pub(crate) fn latency_objective(&self, class: ClassId, relative_size: f64) -> Milliseconds {
        let class_settings = &self.settings.classes[class.0];
        let best_latency = self.classes[class.0].best_latency;
        (class_settings.latency_objective
            + class_settings.latency_objective_stretch * best_latency * relative_size)
            .min(class_settings.client_timeout)
    }

    /// Whether the latency objective of a request has passed.
    pub(crate) fn is_late(&self, request: &Request) -> bool {
        let objective = self.latency_objective(request.details.class, request.relative_size);
        self.now - request.received_at > objective
    }

    /// How long a request takes on an idle engine.
    pub(crate) fn unloaded_latency(&self, request: &Request) -> Milliseconds {
        unloaded_latency(self.class_state_of(request), request)
    }

    /// How long an ended attempt would have taken on an idle engine: by its reported work, else by the best latency.
    pub(crate) fn unloaded_latency_of_ended(&self, ended: &EndedAttempt) -> Milliseconds {
        let threads = self.settings.classes[ended.class.0].threads;
        let best_latency = self.classes[ended.class.0].best_latency * ended.relative_size;
        ended.work.map_or(best_latency, |work| work / threads)
    }

    /// The usual work of a class, in thread time; its whole objective before anything was learned.
    pub(crate) fn usual_work(&self, class: ClassId) -> Milliseconds {
        let (state, class_settings) = (&self.classes[class.0], &self.settings.classes[class.0]);
        let is_learned = state.learned_steps > 0.0;
        class_settings.threads
            * if is_learned { state.best_latency } else { class_settings.latency_objective }
    }

    /// Learns from an ended attempt how long its class runs, and how long a usual query takes on an idle engine.
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

    /// Takes the latency of an ended attempt as a sample. A timeout counts as a latency of at least that long, except
    /// where the engine is an outlier or the attempt was counted while it ran.
    pub(crate) fn learn_latency(&mut self, ended: &EndedAttempt, is_outlier: bool) {
        let is_sample = match ended.outcome {
            Outcome::Ok => true,
            Outcome::Timeout => !ended.counted && !is_outlier,
            _ => false,
        };
        let is_measure = !self.was_paused() && ended.elapsed.is_finite() && ended.elapsed >= 0.0;
        if is_sample && is_measure {
            self.add_sample(ended.class, ended.load_level, ended.elapsed / ended.relative_size);
        }
    }

    /// Adds a latency, at the size of a usual query of its class, at a load in threads a core.
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

    /// Lets arrivals, runtimes and sample counts of all classes decay by a control step.
    pub(crate) fn decay_class_statistics(&mut self) {
        for state in &mut self.classes {
            state.arrivals *= RECENT_DECAY;
            state.runtime *= RECENT_DECAY;
            for band in &mut state.bands {
                band.count *= BAND_DECAY;
            }
        }
    }

    /// Moves the best latency of each class towards that of an engine under little load.
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

/// How long a request takes on an idle engine: by the work that answers report, else by the best latency.
pub(crate) fn unloaded_latency(state: &ClassState, request: &Request) -> Milliseconds {
    let usual = if state.unloaded_latency > 0.0 { state.unloaded_latency } else { state.best_latency };
    request.relative_size * usual
}
