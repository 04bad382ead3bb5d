//! Records of the state that the decision module has learned: exported by
//! [`Balancer::learned`](crate::decide::Balancer::learned) and restored by
//! [`Event::StateRestored`](crate::interface::Event::StateRestored). The code that restores records decides how much
//! of an old record is still valid.

use crate::types::Milliseconds;

/// State that a gateway process has learned and its successor starts from. Points in time are on the clock of the
/// decision cycles.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedState {
    /// Time at which the records were made.
    pub recorded_at: Milliseconds,
    /// Last chosen concurrency limit, in threads a core; 0: none.
    pub concurrency_limit: f64,
    /// Learned state of all engines together.
    pub fleet: LearnedFleet,
    /// Learned state by class.
    pub classes: Vec<LearnedClass>,
    /// Learned state by engine.
    pub engines: Vec<LearnedEngine>,
}

/// Learned state of all engines together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedFleet {
    /// Recent mean number of this gateway's threads.
    pub own_threads: f64,
    /// Recent mean number of threads of all gateways.
    pub all_threads: f64,
    /// Mean number of threads of a query.
    pub threads_per_query: f64,
    /// Mean load by other gateways, in threads a core.
    pub other_load: f64,
    /// Share of engines whose load exceeds the highest possible concurrency limit.
    pub overloaded_share: f64,
    /// Slowdown of the median engine.
    pub median_slowdown: f64,
    /// Ratio of the time that queries take on an idle engine to the time that they take now.
    pub speed: f64,
    /// Shortest health check by zone; the empty name stands for engines whose zone is not in the settings.
    pub shortest_health_checks: Vec<(String, Milliseconds)>,
}

/// Latencies of a class in one load band.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LearnedBand {
    /// Load of the band, in threads a core.
    pub level: f64,
    /// Number of samples; decays over time.
    pub samples: f64,
    /// Mean latency in milliseconds, scaled to a query of average size.
    pub mean: Milliseconds,
    /// Variance of the latency in square milliseconds.
    pub variance: f64,
}

/// Learned state of a class.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedClass {
    /// Name of the class.
    pub name: String,
    /// Number of threads of a query when this was learned. Latencies are not restored for a different number.
    pub threads: f64,
    /// Time of the last latency sample.
    pub confirmed_at: Option<Milliseconds>,
    /// Load bands that have samples.
    pub bands: Vec<LearnedBand>,
    /// Lowest recent mean latency, as expected under little load.
    pub best_latency: Milliseconds,
    /// Latency of an average query on an idle engine.
    pub unloaded_latency: Milliseconds,
    /// Number of control steps in which the best latency was updated.
    pub control_steps: f64,
    /// Time from the arrival of a request to its deadline that clients typically allow.
    pub time_left: Milliseconds,
    /// Mean of the work estimates that were received with requests.
    pub mean_work_estimate: f64,
    /// Recent number of requests without retries.
    pub arrivals: f64,
    /// Recent total elapsed time of attempts.
    pub runtime: f64,
    /// Memory grant, as a multiple of the estimate.
    pub grant_factor: f64,
}

/// Learned state of an engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedEngine {
    /// Identifier of the engine.
    pub id: String,
    /// Time at which the engine's process started, if the endpoint list states it.
    pub started_at: Option<Milliseconds>,
    /// Time of the last answer, health check or progress update from the engine.
    pub confirmed_at: Option<Milliseconds>,
    /// Time of the engine's last load report.
    pub reported_at: Option<Milliseconds>,
    /// Ratio of the time that queries take on the engine to their time on an idle engine.
    pub slowdown: f64,
    /// Recent share of failures among outcomes.
    pub error_rate: f64,
    /// Number of threads of other gateways on the engine.
    pub other_threads: f64,
    /// Time at which the current ejection ends.
    pub ejected_until: Option<Milliseconds>,
    /// Number of consecutive ejections.
    pub ejections: u32,
    /// Time at which the last ejection ended.
    pub ejection_ended_at: Option<Milliseconds>,
    /// Time at which the engine last refused a connection.
    pub connections_refused_at: Option<Milliseconds>,
    /// The engine was in slow start, stated or suspected, when the record was made.
    pub in_slow_start: bool,
    /// Set by the code that restores the record: the engine's process may have restarted unnoticed, so the engine
    /// counts as in slow start until enough time has elapsed or answers show otherwise.
    pub maybe_in_slow_start: bool,
    /// Set by the code that restores the record: the slow start budget of the engine may just have been exhausted, so
    /// it counts as used up.
    pub slow_start_budget_exhausted: bool,
}
