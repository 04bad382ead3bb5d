//! What was learned of a class of requests.

use crate::types::Milliseconds;

/// Mean and variance of latencies, in which old samples lose weight: of one class in one band of load.
#[derive(Clone, Copy, Default)]
pub(crate) struct LatencyStatistics {
    /// The number of samples, faded.
    pub(crate) count: f64,
    /// The mean in milliseconds, of a query of usual size.
    pub(crate) mean: Milliseconds,
    /// The variance in square milliseconds.
    pub(crate) variance: f64,
}

impl LatencyStatistics {
    /// Adds a sample, with `min_weight` or more.
    pub(crate) fn add(&mut self, sample: Milliseconds, min_weight: f64) {
        self.count += 1.0;
        let weight = (1.0 / self.count).max(min_weight);
        let deviation = sample - self.mean;
        self.mean += weight * deviation;
        self.variance = (1.0 - weight) * (self.variance + weight * deviation * deviation);
    }
}

/// The two groups that classes are split into by their runtime.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RuntimeGroup {
    /// Classes with short runtimes.
    #[default]
    Short,
    /// Classes with long runtimes.
    Long,
}

impl RuntimeGroup {
    /// The other group.
    pub(crate) fn other(self) -> Self {
        match self {
            Self::Short => Self::Long,
            Self::Long => Self::Short,
        }
    }
}

/// What was learned of a class.
#[derive(Default)]
pub(crate) struct ClassState {
    /// Latencies by band of load, see [`load_levels::LEVELS`](crate::load_levels::LEVELS).
    pub(crate) bands: Vec<LatencyStatistics>,
    /// The lowest mean latency of late.
    pub(crate) best_latency: Milliseconds,
    /// The latency of a usual query that runs alone, from the work that answers report; 0: never reported.
    pub(crate) unloaded_latency: Milliseconds,
    /// The number of control steps over which the best latency was learned.
    pub(crate) learned_steps: f64,
    /// The time that clients usually leave from the arrival of a request to its deadline.
    pub(crate) usual_time_left: Milliseconds,
    /// The mean of the work estimates that came with requests; 0: none came.
    pub(crate) mean_work: Milliseconds,
    /// The recent number of requests, retries left out; decays.
    pub(crate) arrivals: f64,
    /// The recent sum of the time that attempts ran; decays.
    pub(crate) runtime: Milliseconds,
    /// The memory granted, as a multiple of the estimate.
    pub(crate) grant_factor: f64,
    /// When the last latency sample was taken.
    pub(crate) confirmed_at: Option<Milliseconds>,
    /// The group that the class belongs to.
    pub(crate) group: RuntimeGroup,
}
