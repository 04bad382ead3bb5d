//! Learned state of all engines together, and this gateway's share of their load.

use crate::types::{Milliseconds, ZoneId};
use std::collections::BTreeMap;

/// Learned state of all engines together, and this gateway's share of their load.
pub(crate) struct Fleet {
    /// This gateway's share of all running threads, from 0 to 1.
    pub(crate) share: f64,
    /// Number of this gateway's threads on all engines.
    pub(crate) own_threads: f64,
    /// Total number of effective cores of all engines.
    pub(crate) cores: f64,
    /// Recent mean number of this gateway's threads.
    pub(crate) mean_own_threads: f64,
    /// Recent mean number of threads of all gateways; 0: never measured.
    pub(crate) mean_all_threads: f64,
    /// Mean number of threads of a query.
    pub(crate) threads_per_query: f64,
    /// Mean load by other gateways, in threads a core, averaged over the latest load reports.
    pub(crate) mean_other_load: f64,
    /// Share of engines whose load exceeds the highest possible concurrency limit.
    pub(crate) overloaded_share: f64,
    /// Slowdown of the median engine.
    pub(crate) median_slowdown: f64,
    /// Ratio of the time that queries take to their time on an idle engine, over all engines that are not outliers.
    pub(crate) slowdown: f64,
    /// Slowdown while few threads run: effect of spills and locks without load.
    pub(crate) unloaded_slowdown: f64,
    /// Share of this gateway's work that is on engines which no longer answer.
    pub(crate) stuck_share: f64,
    /// Mean age of the latest load reports.
    pub(crate) report_age: Milliseconds,
    /// Mean time for which a thread of a query runs.
    pub(crate) residence_time: Milliseconds,
    /// Shortest health check by zone; the key `None` stands for engines whose zone is not in the settings.
    pub(crate) shortest_checks: BTreeMap<Option<ZoneId>, Milliseconds>,
}

impl Fleet {
    /// Creates the state of a fleet about which only this gateway's share is known.
    pub(crate) fn new(share: f64) -> Self {
        Self {
            share,
            own_threads: 0.0,
            cores: 1.0,
            mean_own_threads: 0.0,
            mean_all_threads: 0.0,
            threads_per_query: 1.0,
            mean_other_load: 0.0,
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

    /// Returns the mean load of all engines, in threads a core: other gateways' threads by the latest reports plus
    /// this gateway's own.
    pub(crate) fn load(&self) -> f64 {
        self.mean_other_load + self.own_threads / self.cores
    }
}
