//! Learned state of a class of requests.

use crate::types::Milliseconds;

/// Mean and variance of the latencies of one class in one load band; old samples lose weight.
#[derive(Clone, Copy, Default)]
pub(crate) struct LatencyStatistics {
    /// Number of samples; decays over time.
    pub(crate) count: f64,
    /// Mean latency in milliseconds, scaled to a query of average size.
    pub(crate) mean: Milliseconds,
    /// Variance of the latency in square milliseconds.
    pub(crate) variance: f64,
}

impl LatencyStatistics {
    /// Adds a sample with a weight of at least `min_weight`.
    pub(crate) fn add(&mut self, sample: Milliseconds, min_weight: f64) {
        self.count += 1.0;
        let weight = (1.0 / self.count).max(min_weight);
        let deviation = sample - self.mean;
        self.mean += weight * deviation;
        self.variance = (1.0 - weight) * (self.variance + weight * deviation * deviation);
    }
}

/// Group of classes by runtime.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RuntimeGroup {
    /// Classes with short runtimes.
    #[default]
    Short,
    /// Classes with long runtimes.
    Long,
}

impl RuntimeGroup {
    /// Returns the other group.
    pub(crate) fn other(self) -> Self {
        match self {
            Self::Short => Self::Long,
            Self::Long => Self::Short,
        }
    }
}

/// Learned state of a class of requests.
#[derive(Default)]
pub(crate) struct ClassState {
    /// Latencies by load band, see [`load_levels::LEVELS`](crate::load_levels::LEVELS).
    pub(crate) bands: Vec<LatencyStatistics>,
    /// Lowest recent mean latency, as expected under little load.
    pub(crate) best_latency: Milliseconds,
    /// Latency of an average query on an idle engine, computed from the work that answers report; 0: never reported.
    pub(crate) unloaded_latency: Milliseconds,
    /// Number of control steps in which the best latency was updated.
    pub(crate) learned_steps: f64,
    /// Time from the arrival of a request to its deadline that clients typically allow.
    pub(crate) typical_time_left: Milliseconds,
    /// Mean of the work estimates that were received with requests; 0: none was received.
    pub(crate) mean_work: Milliseconds,
    /// Recent number of requests without retries; decays over time.
    pub(crate) arrivals: f64,
    /// Recent total elapsed time of attempts; decays over time.
    pub(crate) runtime: Milliseconds,
    /// Memory grant, as a multiple of the estimate.
    pub(crate) grant_factor: f64,
    /// Time of the last latency sample.
    pub(crate) confirmed_at: Option<Milliseconds>,
    /// Runtime group of the class.
    pub(crate) group: RuntimeGroup,
}
