//! What is known of all engines together, and of this gateway's part in their load.

use crate::types::{Milliseconds, ZoneId};
use std::collections::BTreeMap;

/// What is known of all engines together, and of this gateway's part in their load.
pub(crate) struct Fleet {
    /// This gateway's share of all running threads.
    pub(crate) share: f64,
    /// This gateway's threads on all engines.
    pub(crate) own_threads: f64,
    /// Effective cores of all engines.
    pub(crate) cores: f64,
    /// This gateway's threads of late, averaged.
    pub(crate) mean_own_threads: f64,
    /// All gateways' threads of late, averaged; 0: never measured.
    pub(crate) mean_all_threads: f64,
    /// The mean number of threads of a query.
    pub(crate) threads_per_query: f64,
    /// Threads a core that other gateways run, averaged over the latest load reports.
    pub(crate) usual_load: f64,
    /// The share of engines whose load is far past any limit.
    pub(crate) overloaded_share: f64,
    /// The slowdown of the median engine.
    pub(crate) median_slowdown: f64,
    /// How many times longer than alone queries take, on engines that are not stuck.
    pub(crate) slowdown: f64,
    /// The same while few threads run: what spills and locks cost without any load.
    pub(crate) unloaded_slowdown: f64,
    /// The share of this gateway's work that is on engines which no longer answer.
    pub(crate) stuck_share: f64,
    /// The mean age of the latest load reports.
    pub(crate) report_age: Milliseconds,
    /// How long a thread of a usual query runs.
    pub(crate) residence_time: Milliseconds,
    /// The shortest health check by zone; `None`: engines of no known zone.
    pub(crate) shortest_checks: BTreeMap<Option<ZoneId>, Milliseconds>,
}

impl Fleet {
    /// A fleet of which nothing is known but this gateway's share.
    pub(crate) fn new(share: f64) -> Self {
        Self {
            share,
            own_threads: 0.0,
            cores: 1.0,
            mean_own_threads: 0.0,
            mean_all_threads: 0.0,
            threads_per_query: 1.0,
            usual_load: 0.0,
            overloaded_share: 0.0,
            median_slowdown: 1.0,
            slowdown: 1.0,
            unloaded_slowdown: 1.0,
            stuck_share: 0.0,
            report_age: 0.0,
            residence_time: 1000.0,
            shortest_checks: BTreeMap::new(),
        }
    }

    /// Threads a core that run on all engines: those of others by the latest reports, and this gateway's own.
    pub(crate) fn load(&self) -> f64 {
        self.usual_load + self.own_threads / self.cores
    }
}
