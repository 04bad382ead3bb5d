//! Types of the records in a snapshot.
//!
//! These types deliberately duplicate those of [`starlingplank_decision::learned`], which may change with each release. The
//! order and types of the fields here are the stored format, as postcard encodes fields by position. The separation also
//! keeps serde out of the decision module. Version 1 has no addresses and no shortest health checks; it can still be read.

use serde::{Deserialize, Serialize};
use starlingplank_decision::interface::Milliseconds;
use starlingplank_decision::learned::{LearnedBand, LearnedClass, LearnedEngine, LearnedFleet, LearnedState};
use std::collections::BTreeMap;

/// A snapshot in the format of version 2. Times are in Unix milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Time at which the snapshot was taken.
    pub taken_at: Milliseconds,
    /// Name of the gateway.
    pub gateway: String,
    /// The concurrency limit, in threads per core.
    pub concurrency_limit: f64,
    /// Statistics of all engines together.
    pub fleet: StoredFleet,
    /// Statistics of each class.
    pub classes: Vec<StoredClass>,
    /// Statistics and state of each engine.
    pub engines: Vec<StoredEngine>,
}

/// Statistics of all engines together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredFleet {
    /// Number of engine threads that this gateway recently used.
    pub own_threads: f64,
    /// Number of engine threads that all gateways recently used.
    pub all_threads: f64,
    /// Mean number of threads of a query.
    pub threads_per_query: f64,
    /// Number of threads per core that other gateways use.
    pub other_load: f64,
    /// Fraction of engines whose load is far above any concurrency limit.
    pub overloaded_share: f64,
    /// Median slowdown of the engines.
    pub median_slowdown: f64,
    /// Unloaded latency of queries divided by their actual latency.
    pub speed: f64,
    /// Shortest health check by zone, in milliseconds.
    pub shortest_health_checks: Vec<(String, Milliseconds)>,
}

/// Latencies of a class within one band of engine load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredBand {
    /// Load of the band, in threads per core.
    pub level: f64,
    /// Number of latency samples, decayed with their age.
    pub samples: f64,
    /// Mean latency in milliseconds.
    pub mean: Milliseconds,
    /// Variance of the latency in square milliseconds.
    pub variance: f64,
}

/// Statistics of a class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredClass {
    /// Name of the class.
    pub name: String,
    /// Number of threads of a query.
    pub threads: f64,
    /// Time at which the outcome of an attempt was last observed.
    pub confirmed_at: Option<Milliseconds>,
    /// Latencies by engine load.
    pub bands: Vec<StoredBand>,
    /// Lowest recent mean latency in milliseconds.
    pub best_latency: Milliseconds,
    /// Latency of a query on an otherwise idle engine, in milliseconds.
    pub unloaded_latency: Milliseconds,
    /// Number of control steps from which the lowest latency was derived.
    pub control_steps: f64,
    /// Usual time from a request to the client's timeout, in milliseconds.
    pub time_left: Milliseconds,
    /// Mean of the work estimates that requests contained.
    pub mean_work_estimate: f64,
    /// Number of recent first attempts.
    pub arrivals: f64,
    /// Total run time of recent attempts.
    pub runtime: f64,
    /// Requested memory divided by the estimated memory.
    pub grant_factor: f64,
}

/// Statistics and state of an engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredEngine {
    /// Id of the engine.
    pub id: String,
    /// Address at which the engine listened; empty in records of version 1.
    pub address: String,
    /// Time at which the engine's process started, if the endpoint list contained it.
    pub started_at: Option<Milliseconds>,
    /// Time of the engine's last answer of any kind.
    pub confirmed_at: Option<Milliseconds>,
    /// Time of the engine's last load report.
    pub reported_at: Option<Milliseconds>,
    /// Latency of the engine divided by the lowest latency.
    pub slowdown: f64,
    /// Recent fraction of failed attempts.
    pub error_rate: f64,
    /// Number of threads that other gateways use on the engine.
    pub other_threads: f64,
    /// Time at which the engine's ejection ends.
    pub ejected_until: Option<Milliseconds>,
    /// Number of consecutive ejections.
    pub ejections: u32,
    /// Time at which the last ejection ended.
    pub ejection_ended_at: Option<Milliseconds>,
    /// Time at which the engine last refused a connection.
    pub connections_refused_at: Option<Milliseconds>,
    /// Whether the engine was in slow start when last observed.
    pub in_slow_start: bool,
}

impl Snapshot {
    /// Creates a snapshot of the decision module's records. `addresses` contains the address of each engine by id, as in the
    /// endpoint list.
    pub fn new(gateway: &str, learned: &LearnedState, addresses: &BTreeMap<String, String>) -> Self {
        let engine = |engine: &LearnedEngine| {
            let address = addresses.get(&engine.id).cloned().unwrap_or_default();
            StoredEngine { address, ..StoredEngine::from(engine) }
        };
        Self {
            taken_at: learned.recorded_at,
            gateway: gateway.to_owned(),
            concurrency_limit: learned.concurrency_limit,
            fleet: StoredFleet::from(&learned.fleet),
            classes: learned.classes.iter().map(StoredClass::from).collect(),
            engines: learned.engines.iter().map(engine).collect(),
        }
    }

    /// Returns the decision module's records as they were when the snapshot was taken.
    pub fn learned(&self) -> LearnedState {
        LearnedState {
            recorded_at: self.taken_at,
            concurrency_limit: self.concurrency_limit,
            fleet: LearnedFleet::from(&self.fleet),
            classes: self.classes.iter().map(LearnedClass::from).collect(),
            engines: self.engines.iter().map(LearnedEngine::from).collect(),
        }
    }
}

impl From<&LearnedFleet> for StoredFleet {
    fn from(fleet: &LearnedFleet) -> Self {
        Self {
            own_threads: fleet.own_threads,
            all_threads: fleet.all_threads,
            threads_per_query: fleet.threads_per_query,
            other_load: fleet.other_load,
            overloaded_share: fleet.overloaded_share,
            median_slowdown: fleet.median_slowdown,
            speed: fleet.speed,
            shortest_health_checks: fleet.shortest_health_checks.clone(),
        }
    }
}

impl From<&StoredFleet> for LearnedFleet {
    fn from(fleet: &StoredFleet) -> Self {
        Self {
            own_threads: fleet.own_threads,
            all_threads: fleet.all_threads,
            threads_per_query: fleet.threads_per_query,
            other_load: fleet.other_load,
            overloaded_share: fleet.overloaded_share,
            median_slowdown: fleet.median_slowdown,
            speed: fleet.speed,
            shortest_health_checks: fleet.shortest_health_checks.clone(),
        }
    }
}

impl From<&LearnedBand> for StoredBand {
    fn from(band: &LearnedBand) -> Self {
        let LearnedBand { level, samples, mean, variance } = *band;
        Self { level, samples, mean, variance }
    }
}

impl From<&StoredBand> for LearnedBand {
    fn from(band: &StoredBand) -> Self {
        let StoredBand { level, samples, mean, variance } = *band;
        Self { level, samples, mean, variance }
    }
}

impl From<&LearnedClass> for StoredClass {
    fn from(class: &LearnedClass) -> Self {
        Self {
            name: class.name.clone(),
            threads: class.threads,
            confirmed_at: class.confirmed_at,
            bands: class.bands.iter().map(StoredBand::from).collect(),
            best_latency: class.best_latency,
            unloaded_latency: class.unloaded_latency,
            control_steps: class.control_steps,
            time_left: class.time_left,
            mean_work_estimate: class.mean_work_estimate,
            arrivals: class.arrivals,
            runtime: class.runtime,
            grant_factor: class.grant_factor,
        }
    }
}

impl From<&StoredClass> for LearnedClass {
    fn from(class: &StoredClass) -> Self {
        Self {
            name: class.name.clone(),
            threads: class.threads,
            confirmed_at: class.confirmed_at,
            bands: class.bands.iter().map(LearnedBand::from).collect(),
            best_latency: class.best_latency,
            unloaded_latency: class.unloaded_latency,
            control_steps: class.control_steps,
            time_left: class.time_left,
            mean_work_estimate: class.mean_work_estimate,
            arrivals: class.arrivals,
            runtime: class.runtime,
            grant_factor: class.grant_factor,
        }
    }
}

/// The address is left empty, as the decision module has no addresses.
impl From<&LearnedEngine> for StoredEngine {
    fn from(engine: &LearnedEngine) -> Self {
        Self {
            id: engine.id.clone(),
            address: String::new(),
            started_at: engine.started_at,
            confirmed_at: engine.confirmed_at,
            reported_at: engine.reported_at,
            slowdown: engine.slowdown,
            error_rate: engine.error_rate,
            other_threads: engine.other_threads,
            ejected_until: engine.ejected_until,
            ejections: engine.ejections,
            ejection_ended_at: engine.ejection_ended_at,
            connections_refused_at: engine.connections_refused_at,
            in_slow_start: engine.in_slow_start,
        }
    }
}

/// Leaves `maybe_in_slow_start` and `slow_start_budget_exhausted` unset: [`recovery::engine`](crate::recovery::engine)
/// determines them.
impl From<&StoredEngine> for LearnedEngine {
    fn from(engine: &StoredEngine) -> Self {
        Self {
            id: engine.id.clone(),
            started_at: engine.started_at,
            confirmed_at: engine.confirmed_at,
            reported_at: engine.reported_at,
            slowdown: engine.slowdown,
            error_rate: engine.error_rate,
            other_threads: engine.other_threads,
            ejected_until: engine.ejected_until,
            ejections: engine.ejections,
            ejection_ended_at: engine.ejection_ended_at,
            connections_refused_at: engine.connections_refused_at,
            in_slow_start: engine.in_slow_start,
            maybe_in_slow_start: false,
            slow_start_budget_exhausted: false,
        }
    }
}

/// Types of the records in a snapshot of version 1.
pub mod v1 {
    use super::{Milliseconds, StoredClass};
    use serde::{Deserialize, Serialize};

    /// A snapshot in the format of version 1.
    #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
    pub struct Snapshot {
        /// Time at which the snapshot was taken.
        pub taken_at: Milliseconds,
        /// The concurrency limit, in threads per core.
        pub concurrency_limit: f64,
        /// Recent threads of this gateway and of all gateways, threads per query, load of other gateways, median slowdown,
        /// speed.
        pub fleet: [f64; 6],
        /// Statistics of each class, as in version 2.
        pub classes: Vec<StoredClass>,
        /// Statistics and state of each engine.
        pub engines: Vec<StoredEngine>,
    }

    /// Statistics and state of an engine in the format of version 1.
    #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
    pub struct StoredEngine {
        /// Id of the engine.
        pub id: String,
        /// Time at which the engine's process started.
        pub started_at: Option<Milliseconds>,
        /// Time of the engine's last answer.
        pub confirmed_at: Option<Milliseconds>,
        /// Latency of the engine divided by the lowest latency.
        pub slowdown: f64,
        /// Recent fraction of failed attempts.
        pub error_rate: f64,
        /// Time at which the engine's ejection ends.
        pub ejected_until: Option<Milliseconds>,
        /// Whether the engine was in slow start.
        pub in_slow_start: bool,
    }

    impl From<Snapshot> for super::Snapshot {
        fn from(old: Snapshot) -> Self {
            let [recent_own, recent_all, query_threads, gateways_load, engines_slowdown, speed] = old.fleet;
            let engine = |engine: StoredEngine| super::StoredEngine {
                id: engine.id,
                started_at: engine.started_at,
                confirmed_at: engine.confirmed_at,
                slowdown: engine.slowdown,
                error_rate: engine.error_rate,
                ejected_until: engine.ejected_until,
                in_slow_start: engine.in_slow_start,
                ..super::StoredEngine::default()
            };
            Self {
                taken_at: old.taken_at,
                gateway: String::new(),
                concurrency_limit: old.concurrency_limit,
                fleet: super::StoredFleet {
                    own_threads: recent_own,
                    all_threads: recent_all,
                    threads_per_query: query_threads,
                    other_load: gateways_load,
                    overloaded_share: 0.0,
                    median_slowdown: engines_slowdown,
                    speed,
                    shortest_health_checks: Vec::new(),
                },
                classes: old.classes,
                engines: old.engines.into_iter().map(engine).collect(),
            }
        }
    }
}
