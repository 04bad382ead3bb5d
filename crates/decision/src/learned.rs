//! What the decision module has learned, as plain records: handed out by
//! [`Balancer::learned`](crate::decide::Balancer::learned), and taken back as
//! [`Event::StateRestored`](crate::interface::Event::StateRestored). Whoever restores records decides how much of an old record
//! still holds.

use crate::types::Milliseconds;

/// What a gateway has learned and the next incarnation starts from. Points in time are on the clock of the
/// decision cycles.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedState {
    /// When the records were made.
    pub recorded_at: Milliseconds,
    /// The concurrency limit last chosen, in threads a core; 0: none.
    pub concurrency_limit: f64,
    /// What was learned of all engines together.
    pub fleet: LearnedFleet,
    /// What was learned by class.
    pub classes: Vec<LearnedClass>,
    /// What was learned by engine.
    pub engines: Vec<LearnedEngine>,
}

/// What was learned of all engines together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedFleet {
    /// This gateway's threads of late, averaged.
    pub own_threads: f64,
    /// All gateways' threads of late, averaged.
    pub all_threads: f64,
    /// The mean number of threads of a query.
    pub threads_per_query: f64,
    /// Threads a core that other gateways run.
    pub other_load: f64,
    /// The share of engines whose load is far past any limit.
    pub overloaded_share: f64,
    /// The slowdown of the median engine.
    pub median_slowdown: f64,
    /// The time that queries take alone, over the time that they take now.
    pub speed: f64,
    /// The shortest health check by zone; the empty name: engines of no known zone.
    pub shortest_health_checks: Vec<(String, Milliseconds)>,
}

/// Latencies of a class in one band of load.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LearnedBand {
    /// The band, in threads a core.
    pub level: f64,
    /// The number of samples, faded.
    pub samples: f64,
    /// The mean in milliseconds, of a query of usual size.
    pub mean: Milliseconds,
    /// The variance in square milliseconds.
    pub variance: f64,
}

/// What was learned of a class.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedClass {
    /// The name of the class.
    pub name: String,
    /// Threads of a query when this was learned. Latencies do not carry over to another number.
    pub threads: f64,
    /// When the last latency sample was taken.
    pub confirmed_at: Option<Milliseconds>,
    /// The bands that have samples.
    pub bands: Vec<LearnedBand>,
    /// The lowest mean latency of late.
    pub best_latency: Milliseconds,
    /// The latency of a usual query that runs alone.
    pub unloaded_latency: Milliseconds,
    /// The number of control steps over which the best latency was learned.
    pub control_steps: f64,
    /// The time that clients usually leave from the arrival of a request to its deadline.
    pub time_left: Milliseconds,
    /// The mean of the work estimates that came with requests.
    pub mean_work_estimate: f64,
    /// The recent number of requests, retries left out.
    pub arrivals: f64,
    /// The recent sum of the time that attempts ran.
    pub runtime: f64,
    /// The memory granted, as a multiple of the estimate.
    pub grant_factor: f64,
}

/// What was learned of an engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedEngine {
    /// The identifier of the engine.
    pub id: String,
    /// When its process started, where the endpoint list states it.
    pub started_at: Option<Milliseconds>,
    /// When an answer, health check or progress update last came from it.
    pub confirmed_at: Option<Milliseconds>,
    /// When it last reported its load.
    pub reported_at: Option<Milliseconds>,
    /// How many times longer than alone queries take there.
    pub slowdown: f64,
    /// The recent share of failures among outcomes.
    pub error_rate: f64,
    /// Threads of other gateways there.
    pub other_threads: f64,
    /// When the current ejection ends.
    pub ejected_until: Option<Milliseconds>,
    /// Ejections in a row.
    pub ejections: u32,
    /// When the last ejection ended.
    pub ejection_ended_at: Option<Milliseconds>,
    /// When it last refused connections.
    pub connections_refused_at: Option<Milliseconds>,
    /// It was in slow start when last seen, stated or suspected.
    pub in_slow_start: bool,
    /// Set by whoever restores: its process may have restarted unseen, so it counts as in slow start until
    /// time or answers show otherwise.
    pub maybe_in_slow_start: bool,
    /// Set by whoever restores: its slow start budget was just used up.
    pub slow_start_budget_exhausted: bool,
}
