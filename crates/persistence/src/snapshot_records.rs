//! The records inside a snapshot.
//!
//! They repeat the types of [`starlingplank_decision::learned`] on purpose: those may change with each release, while the
//! order and types of the fields here are the stored format, which postcard encodes by position. The decision module
//! also does not depend on serde. Version 1 has no addresses and no shortest health checks; it can still be read.

use serde::{Deserialize, Serialize};
use starlingplank_decision::interface::Milliseconds;
use starlingplank_decision::learned::{BandLearned, ClassLearned, EngineLearned, FleetLearned, Learned};
use std::collections::BTreeMap;

/// A snapshot, as version 2 stores it. Times are Unix milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// When the snapshot was taken.
    pub taken: Milliseconds,
    /// The gateway's name.
    pub gateway: String,
    /// The concurrency limit, in threads per core.
    pub bound: f64,
    /// What was learned of all engines together.
    pub fleet: Fleet,
    /// What was learned of each class.
    pub classes: Vec<Class>,
    /// What was learned of each engine.
    pub engines: Vec<Engine>,
}

/// What was learned of all engines together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// This gateway's recent threads.
    pub own_seen: f64,
    /// Recent threads of all gateways.
    pub all_seen: f64,
    /// Mean threads of a query.
    pub width: f64,
    /// Threads per core that other gateways run.
    pub usual_load: f64,
    /// Fraction of engines far over any concurrency limit.
    pub jammed: f64,
    /// Median slowness of the engines.
    pub usual_slow: f64,
    /// Latency of queries that run alone divided by their actual latency.
    pub speed: f64,
    /// The shortest health check by zone, in milliseconds.
    pub floors: Vec<(String, Milliseconds)>,
}

/// What was learned of a class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Threads of a query.
    pub threads: f64,
    /// When an outcome was last seen.
    pub confirmed: Option<Milliseconds>,
    /// Latency by load: level in threads per core, outcomes, mean and variance in milliseconds.
    pub bands: Vec<(f64, f64, f64, f64)>,
    /// Lowest recent mean latency.
    pub best: Milliseconds,
    /// Latency of a query alone.
    pub usual: Milliseconds,
    /// Steps over which the lowest latency was learned.
    pub steps: f64,
    /// Clients' usual time from the request to their timeout.
    pub time_left: Milliseconds,
    /// Mean estimate of work that came with requests.
    pub size: f64,
    /// Recent first attempts.
    pub arrivals: f64,
    /// Recent run time of attempts.
    pub runtime: f64,
    /// Requested memory divided by the estimate.
    pub grant: f64,
}

/// What was learned of an engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Its id.
    pub id: String,
    /// Where it listened; empty in records of version 1.
    pub address: String,
    /// When its process started, if the list told.
    pub started: Option<Milliseconds>,
    /// When it last answered anything.
    pub confirmed: Option<Milliseconds>,
    /// When it last reported its load.
    pub heard: Option<Milliseconds>,
    /// Its latency divided by the lowest.
    pub slow: f64,
    /// Recent fraction of failures.
    pub errors: f64,
    /// Threads of other gateways.
    pub others: f64,
    /// When its ejection ends.
    pub ejected: Option<Milliseconds>,
    /// Consecutive ejections.
    pub ejections: u32,
    /// When the last ejection ended.
    pub back: Option<Milliseconds>,
    /// When it last refused connections.
    pub lost: Option<Milliseconds>,
    /// Whether it was in slow start when last seen.
    pub cold: bool,
}

impl Snapshot {
    /// Records what the decision module has learned, with the addresses that the endpoint list gave.
    pub fn new(gateway: &str, learned: &Learned, addresses: &BTreeMap<String, String>) -> Self {
        let engine = |engine: &EngineLearned| {
            let address = addresses.get(&engine.id).cloned().unwrap_or_default();
            Engine { address, ..Engine::from(engine) }
        };
        Self {
            taken: learned.recorded_at,
            gateway: gateway.to_owned(),
            bound: learned.concurrency_limit,
            fleet: Fleet::from(&learned.fleet),
            classes: learned.classes.iter().map(Class::from).collect(),
            engines: learned.engines.iter().map(engine).collect(),
        }
    }

    /// The decision module's records, as they were taken.
    pub fn learned(&self) -> Learned {
        Learned {
            recorded_at: self.taken,
            concurrency_limit: self.bound,
            fleet: FleetLearned::from(&self.fleet),
            classes: self.classes.iter().map(ClassLearned::from).collect(),
            engines: self.engines.iter().map(EngineLearned::from).collect(),
        }
    }
}

impl From<&FleetLearned> for Fleet {
    fn from(fleet: &FleetLearned) -> Self {
        Self {
            own_seen: fleet.own_threads,
            all_seen: fleet.all_threads,
            width: fleet.threads_per_query,
            usual_load: fleet.other_load,
            jammed: fleet.overloaded_share,
            usual_slow: fleet.median_slowdown,
            speed: fleet.speed,
            floors: fleet.shortest_health_checks.clone(),
        }
    }
}

impl From<&Fleet> for FleetLearned {
    fn from(fleet: &Fleet) -> Self {
        Self {
            own_threads: fleet.own_seen,
            all_threads: fleet.all_seen,
            threads_per_query: fleet.width,
            other_load: fleet.usual_load,
            overloaded_share: fleet.jammed,
            median_slowdown: fleet.usual_slow,
            speed: fleet.speed,
            shortest_health_checks: fleet.floors.clone(),
        }
    }
}

impl From<&ClassLearned> for Class {
    fn from(class: &ClassLearned) -> Self {
        Self {
            name: class.name.clone(),
            threads: class.threads,
            confirmed: class.confirmed_at,
            bands: class.bands.iter().map(|band| (band.level, band.samples, band.mean, band.variance)).collect(),
            best: class.best_latency,
            usual: class.unloaded_latency,
            steps: class.control_steps,
            time_left: class.time_left,
            size: class.mean_work_estimate,
            arrivals: class.arrivals,
            runtime: class.runtime,
            grant: class.grant_factor,
        }
    }
}

impl From<&Class> for ClassLearned {
    fn from(class: &Class) -> Self {
        let band = |&(level, n, mean, var): &(f64, f64, f64, f64)| BandLearned { level, samples: n, mean, variance: var };
        Self {
            name: class.name.clone(),
            threads: class.threads,
            confirmed_at: class.confirmed,
            bands: class.bands.iter().map(band).collect(),
            best_latency: class.best,
            unloaded_latency: class.usual,
            control_steps: class.steps,
            time_left: class.time_left,
            mean_work_estimate: class.size,
            arrivals: class.arrivals,
            runtime: class.runtime,
            grant_factor: class.grant,
        }
    }
}

/// Without an address: the decision module knows none.
impl From<&EngineLearned> for Engine {
    fn from(engine: &EngineLearned) -> Self {
        Self {
            id: engine.id.clone(),
            address: String::new(),
            started: engine.started_at,
            confirmed: engine.confirmed_at,
            heard: engine.reported_at,
            slow: engine.slowdown,
            errors: engine.error_rate,
            others: engine.other_threads,
            ejected: engine.ejected_until,
            ejections: engine.ejections,
            back: engine.ejection_ended_at,
            lost: engine.connections_refused_at,
            cold: engine.in_slow_start,
        }
    }
}

/// What is decided on recovery is unset: [`recovery::engine`](crate::recovery::engine) decides it.
impl From<&Engine> for EngineLearned {
    fn from(engine: &Engine) -> Self {
        Self {
            id: engine.id.clone(),
            started_at: engine.started,
            confirmed_at: engine.confirmed,
            reported_at: engine.heard,
            slowdown: engine.slow,
            error_rate: engine.errors,
            other_threads: engine.others,
            ejected_until: engine.ejected,
            ejections: engine.ejections,
            ejection_ended_at: engine.back,
            connections_refused_at: engine.lost,
            in_slow_start: engine.cold,
            maybe_in_slow_start: false,
            budget_spent: false,
        }
    }
}

/// The records of version 1.
pub mod v1 {
    use super::{Class, Milliseconds};
    use serde::{Deserialize, Serialize};

    /// A snapshot of version 1.
    #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
    pub struct Snapshot {
        /// When the snapshot was taken.
        pub taken: Milliseconds,
        /// The concurrency limit.
        pub bound: f64,
        /// Recent threads of this gateway and of all, threads of a query, load of others, slowness, speed.
        pub fleet: [f64; 6],
        /// What was learned of each class, as in version 2.
        pub classes: Vec<Class>,
        /// What was learned of each engine.
        pub engines: Vec<Engine>,
    }

    /// An engine of version 1.
    #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
    pub struct Engine {
        /// Its id.
        pub id: String,
        /// When its process started.
        pub started: Option<Milliseconds>,
        /// When it last answered.
        pub confirmed: Option<Milliseconds>,
        /// Its latency divided by the lowest.
        pub slow: f64,
        /// Recent fraction of failures.
        pub errors: f64,
        /// When its ejection ends.
        pub ejected: Option<Milliseconds>,
        /// Whether it was in slow start.
        pub cold: bool,
    }

    impl From<Snapshot> for super::Snapshot {
        fn from(old: Snapshot) -> Self {
            let [own_seen, all_seen, width, usual_load, usual_slow, speed] = old.fleet;
            let engine = |engine: Engine| super::Engine {
                id: engine.id,
                started: engine.started,
                confirmed: engine.confirmed,
                slow: engine.slow,
                errors: engine.errors,
                ejected: engine.ejected,
                cold: engine.cold,
                ..super::Engine::default()
            };
            Self {
                taken: old.taken,
                gateway: String::new(),
                bound: old.bound,
                fleet: super::Fleet {
                    own_seen,
                    all_seen,
                    width,
                    usual_load,
                    jammed: 0.0,
                    usual_slow,
                    speed,
                    floors: Vec::new(),
                },
                classes: old.classes,
                engines: old.engines.into_iter().map(engine).collect(),
            }
        }
    }
}
