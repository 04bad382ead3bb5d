//! The records inside a snapshot, apart from the module's own types: those may change with each release, these are
//! a promise. Version 1 knew no addresses and no shortest probes; it is still read.

use serde::{Deserialize, Serialize};
use starlingplank_decision::interface::Milliseconds;
use starlingplank_decision::learned::{BandLearned, ClassLearned, EngineLearned, FleetLearned, Learned};
use std::collections::BTreeMap;

/// A snapshot, as version 2 writes it. Times are Unix milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// When it was taken.
    pub taken: Milliseconds,
    /// The gateway's name.
    pub gateway: String,
    /// The bound, in threads a core.
    pub bound: f64,
    /// Of all engines together.
    pub fleet: Fleet,
    /// By class.
    pub classes: Vec<Class>,
    /// By engine.
    pub engines: Vec<Engine>,
}

/// Of all engines together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// This gateway's threads of late.
    pub own_seen: f64,
    /// All threads of late.
    pub all_seen: f64,
    /// Threads of a query.
    pub width: f64,
    /// Threads a core that others run.
    pub usual_load: f64,
    /// Share of engines far over any bound.
    pub jammed: f64,
    /// The middle engine's slowness.
    pub usual_slow: f64,
    /// What queries would take alone over what they take.
    pub speed: f64,
    /// The shortest probe by zone.
    pub floors: Vec<(String, Milliseconds)>,
}

/// A class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Threads of a query.
    pub threads: f64,
    /// When an outcome last told of it.
    pub confirmed: Option<Milliseconds>,
    /// Level in threads a core, outcomes, mean and variance.
    pub bands: Vec<(f64, f64, f64, f64)>,
    /// Lowest mean latency of late.
    pub best: Milliseconds,
    /// Latency of a query alone.
    pub usual: Milliseconds,
    /// Steps over which the best was learned.
    pub steps: f64,
    /// Clients' time from asking to giving up.
    pub time_left: Milliseconds,
    /// Mean estimate of work.
    pub size: f64,
    /// Recent first tries.
    pub arrivals: f64,
    /// Recent time of attempts.
    pub runtime: f64,
    /// Memory asked for over the estimate.
    pub grant: f64,
}

/// An engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Its id.
    pub id: String,
    /// Where it listened; empty in records of version 1.
    pub address: String,
    /// When its process started, where told.
    pub started: Option<Milliseconds>,
    /// When it last answered anything.
    pub confirmed: Option<Milliseconds>,
    /// When it last told of its load.
    pub heard: Option<Milliseconds>,
    /// Latency over the best.
    pub slow: f64,
    /// Recent share of failures.
    pub errors: f64,
    /// Threads of others.
    pub others: f64,
    /// Until when it was ejected.
    pub ejected: Option<Milliseconds>,
    /// Ejections in a row.
    pub ejections: u32,
    /// End of the last ejection.
    pub back: Option<Milliseconds>,
    /// When it last refused connections.
    pub lost: Option<Milliseconds>,
    /// It was cold when last seen.
    pub cold: bool,
}

impl Snapshot {
    /// The record of what the module learned, with the addresses that the list gave.
    pub fn new(gateway: &str, learned: &Learned, addresses: &BTreeMap<String, String>) -> Self {
        let f = &learned.fleet;
        let class = |c: &ClassLearned| Class {
            name: c.name.clone(),
            threads: c.threads,
            confirmed: c.confirmed,
            bands: c.bands.iter().map(|b| (b.level, b.n, b.mean, b.var)).collect(),
            best: c.best,
            usual: c.usual,
            steps: c.steps,
            time_left: c.time_left,
            size: c.size,
            arrivals: c.arrivals,
            runtime: c.runtime,
            grant: c.grant,
        };
        let engine = |e: &EngineLearned| Engine {
            id: e.id.clone(),
            address: addresses.get(&e.id).cloned().unwrap_or_default(),
            started: e.started,
            confirmed: e.confirmed,
            heard: e.heard,
            slow: e.slow,
            errors: e.errors,
            others: e.others,
            ejected: e.ejected,
            ejections: e.ejections,
            back: e.back,
            lost: e.lost,
            cold: e.cold,
        };
        Self {
            taken: learned.at,
            gateway: gateway.to_owned(),
            bound: learned.bound,
            fleet: Fleet {
                own_seen: f.own_seen,
                all_seen: f.all_seen,
                width: f.width,
                usual_load: f.usual_load,
                jammed: f.jammed,
                usual_slow: f.usual_slow,
                speed: f.speed,
                floors: f.floors.clone(),
            },
            classes: learned.classes.iter().map(class).collect(),
            engines: learned.engines.iter().map(engine).collect(),
        }
    }

    /// The module's records, as they were.
    pub fn learned(&self) -> Learned {
        let f = &self.fleet;
        Learned {
            at: self.taken,
            bound: self.bound,
            fleet: FleetLearned {
                own_seen: f.own_seen,
                all_seen: f.all_seen,
                width: f.width,
                usual_load: f.usual_load,
                jammed: f.jammed,
                usual_slow: f.usual_slow,
                speed: f.speed,
                floors: f.floors.clone(),
            },
            classes: self.classes.iter().map(Class::learned).collect(),
            engines: self.engines.iter().map(Engine::learned).collect(),
        }
    }
}

impl Class {
    fn learned(&self) -> ClassLearned {
        let band = |(level, n, mean, var): &(f64, f64, f64, f64)| BandLearned {
            level: *level,
            n: *n,
            mean: *mean,
            var: *var,
        };
        ClassLearned {
            name: self.name.clone(),
            threads: self.threads,
            confirmed: self.confirmed,
            bands: self.bands.iter().map(band).collect(),
            best: self.best,
            usual: self.usual,
            steps: self.steps,
            time_left: self.time_left,
            size: self.size,
            arrivals: self.arrivals,
            runtime: self.runtime,
            grant: self.grant,
        }
    }
}

impl Engine {
    fn learned(&self) -> EngineLearned {
        EngineLearned {
            id: self.id.clone(),
            started: self.started,
            confirmed: self.confirmed,
            heard: self.heard,
            slow: self.slow,
            errors: self.errors,
            others: self.others,
            ejected: self.ejected,
            ejections: self.ejections,
            back: self.back,
            lost: self.lost,
            cold: self.cold,
            perhaps_cold: false,
            spent: false,
        }
    }
}

/// Version 1, as it was.
pub mod v1 {
    use super::{Class, Milliseconds};
    use serde::{Deserialize, Serialize};

    /// A snapshot of version 1.
    #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
    pub struct Snapshot {
        /// When it was taken.
        pub taken: Milliseconds,
        /// The bound.
        pub bound: f64,
        /// Threads of this gateway and of all of late, threads of a query, load of others, slowness, speed.
        pub fleet: [f64; 6],
        /// By class; the same as in version 2.
        pub classes: Vec<Class>,
        /// By engine.
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
        /// Latency over the best.
        pub slow: f64,
        /// Recent share of failures.
        pub errors: f64,
        /// Until when it was ejected.
        pub ejected: Option<Milliseconds>,
        /// It was cold.
        pub cold: bool,
    }

    impl From<Snapshot> for super::Snapshot {
        fn from(old: Snapshot) -> Self {
            let [own_seen, all_seen, width, usual_load, usual_slow, speed] = old.fleet;
            let engine = |e: Engine| super::Engine {
                id: e.id,
                started: e.started,
                confirmed: e.confirmed,
                slow: e.slow,
                errors: e.errors,
                ejected: e.ejected,
                cold: e.cold,
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
