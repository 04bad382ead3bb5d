//! The records inside a snapshot.
//!
//! They repeat the types of [`starlingplank_decision::learned`] on purpose: those may change with each release, while the
//! order and types of the fields here are the stored format, which postcard encodes by position. The decision module
//! also does not depend on serde. Version 1 has no addresses and no shortest health checks; it can still be read.

use serde::{Deserialize, Serialize};
use starlingplank_decision::interface::Milliseconds;
use starlingplank_decision::learned::{LearnedBand, LearnedClass, LearnedEngine, LearnedFleet, LearnedState};
use std::collections::BTreeMap;

/// A snapshot, as version 2 stores it. Times are Unix milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// When the snapshot was taken.
    pub taken_at: Milliseconds,
    /// The gateway's name.
    pub gateway: String,
    /// The concurrency limit, in threads per core.
    pub concurrency_limit: f64,
    /// What was learned of all engines together.
    pub fleet: StoredFleet,
    /// What was learned of each class.
    pub classes: Vec<StoredClass>,
    /// What was learned of each engine.
    pub engines: Vec<StoredEngine>,
}

/// What was learned of all engines together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredFleet {
    /// This gateway's recent threads.
    pub own_threads: f64,
    /// Recent threads of all gateways.
    pub all_threads: f64,
    /// Mean threads of a query.
    pub threads_per_query: f64,
    /// Threads per core that other gateways run.
    pub other_load: f64,
    /// Fraction of engines far over any concurrency limit.
    pub overloaded_share: f64,
    /// Median slowness of the engines.
    pub median_slowdown: f64,
    /// Latency of queries that run alone divided by their actual latency.
    pub speed: f64,
    /// The shortest health check by zone, in milliseconds.
    pub shortest_health_checks: Vec<(String, Milliseconds)>,
}

/// Latencies of a class in one band of load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredBand {
    /// The band, in threads per core.
    pub level: f64,
    /// Number of samples, decayed.
    pub samples: f64,
    /// Mean, in milliseconds.
    pub mean: Milliseconds,
    /// Variance, in square milliseconds.
    pub variance: f64,
}

/// What was learned of a class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredClass {
    /// Its name.
    pub name: String,
    /// Threads of a query.
    pub threads: f64,
    /// When an outcome was last seen.
    pub confirmed_at: Option<Milliseconds>,
    /// Latency by load.
    pub bands: Vec<StoredBand>,
    /// Lowest recent mean latency.
    pub best_latency: Milliseconds,
    /// Latency of a query alone.
    pub unloaded_latency: Milliseconds,
    /// Steps over which the lowest latency was learned.
    pub control_steps: f64,
    /// Clients' usual time from the request to their timeout.
    pub time_left: Milliseconds,
    /// Mean estimate of work that came with requests.
    pub mean_work_estimate: f64,
    /// Recent first attempts.
    pub arrivals: f64,
    /// Recent run time of attempts.
    pub runtime: f64,
    /// Requested memory divided by the estimate.
    pub grant_factor: f64,
}

/// What was learned of an engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredEngine {
    /// Its id.
    pub id: String,
    /// Where it listened; empty in records of version 1.
    pub address: String,
    /// When its process started, if the list told.
    pub started_at: Option<Milliseconds>,
    /// When it last answered anything.
    pub confirmed_at: Option<Milliseconds>,
    /// When it last reported its load.
    pub reported_at: Option<Milliseconds>,
    /// Its latency divided by the lowest.
    pub slowdown: f64,
    /// Recent fraction of failures.
    pub error_rate: f64,
    /// Threads of other gateways.
    pub other_threads: f64,
    /// When its ejection ends.
    pub ejected_until: Option<Milliseconds>,
    /// Consecutive ejections.
    pub ejections: u32,
    /// When the last ejection ended.
    pub ejection_ended_at: Option<Milliseconds>,
    /// When it last refused connections.
    pub connections_refused_at: Option<Milliseconds>,
    /// Whether it was in slow start when last seen.
    pub in_slow_start: bool,
}

impl Snapshot {
    /// Records what the decision module has learned, with the addresses that the endpoint list gave.
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

    /// The decision module's records, as they were taken.
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

/// Without an address: the decision module knows none.
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

/// What is decided on recovery is unset: [`recovery::engine`](crate::recovery::engine) decides it.
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

/// The records of version 1.
pub mod v1 {
    use super::{Milliseconds, StoredClass};
    use serde::{Deserialize, Serialize};

    /// A snapshot of version 1.
    #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
    pub struct Snapshot {
        /// When the snapshot was taken.
        pub taken_at: Milliseconds,
        /// The concurrency limit.
        pub concurrency_limit: f64,
        /// Recent threads of this gateway and of all, threads of a query, load of others, slowness, speed.
        pub fleet: [f64; 6],
        /// What was learned of each class, as in version 2.
        pub classes: Vec<StoredClass>,
        /// What was learned of each engine.
        pub engines: Vec<StoredEngine>,
    }

    /// An engine of version 1.
    #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
    pub struct StoredEngine {
        /// Its id.
        pub id: String,
        /// When its process started.
        pub started_at: Option<Milliseconds>,
        /// When it last answered.
        pub confirmed_at: Option<Milliseconds>,
        /// Its latency divided by the lowest.
        pub slowdown: f64,
        /// Recent fraction of failures.
        pub error_rate: f64,
        /// When its ejection ends.
        pub ejected_until: Option<Milliseconds>,
        /// Whether it was in slow start.
        pub in_slow_start: bool,
    }

    impl From<Snapshot> for super::Snapshot {
        fn from(old: Snapshot) -> Self {
            let [own_seen, all_seen, width, usual_load, usual_slow, speed] = old.fleet;
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
                    own_threads: own_seen,
                    all_threads: all_seen,
                    threads_per_query: width,
                    other_load: usual_load,
                    overloaded_share: 0.0,
                    median_slowdown: usual_slow,
                    speed,
                    shortest_health_checks: Vec::new(),
                },
                classes: old.classes,
                engines: old.engines.into_iter().map(engine).collect(),
            }
        }
    }
}
