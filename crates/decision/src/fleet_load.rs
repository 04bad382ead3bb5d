//! Load of the fleet as a whole, and this gateway's share of it.

use crate::balancer::Balancer;
use crate::types::{Availability, Milliseconds};

/// Weight that earlier values keep in each control step in the means from which this gateway's share is computed: an
/// averaging time of about ten seconds.
const SHARE_DECAY: f64 = 0.99;
/// Weight of a control step in the mean number of threads of a query.
const THREADS_PER_QUERY_WEIGHT: f64 = 0.02;
/// Number of arrivals added to each class, so that no class has zero weight.
const PRIOR_ARRIVALS: f64 = 0.1;
/// Divisor of an even share that gives the minimum share of this gateway.
const MAX_SHARE_SHORTFALL: f64 = 4.0;

/// Sums over the engines that accept work.
pub(crate) struct FleetLoad {
    /// Number of threads of this gateway's attempts.
    pub(crate) own_threads: f64,
    /// Number of this gateway's attempts in flight.
    in_flight: f64,
    /// Number of threads of other gateways.
    other_threads: f64,
    /// Number of effective cores.
    cores: f64,
    /// Sum of the ages of the last reports, weighted by the share of each engine that lies in the aperture.
    report_ages: Milliseconds,
    /// Sum of these weights.
    aperture_shares: f64,
}

impl Balancer {
    /// Returns the sums over the engines that accept work.
    pub(crate) fn sum_fleet_load(&self) -> FleetLoad {
        let mut load = FleetLoad {
            own_threads: 0.0,
            in_flight: 0.0,
            other_threads: 0.0,
            cores: 0.0,
            report_ages: 0.0,
            aperture_shares: 0.0,
        };
        for engine in self.engines.values() {
            if engine.member.availability != Availability::Live {
                continue;
            }
            load.own_threads += engine.load.own_threads;
            load.in_flight += engine.load.in_flight;
            load.other_threads += engine.load.other_threads;
            load.cores += self.effective_cores(engine);
            load.report_ages += engine.aperture_share * engine.report_age(self.now);
            load.aperture_shares += engine.aperture_share;
        }
        load
    }

    /// Updates this gateway's share of all running threads. It starts from an even share at one thread a core,
    /// because the first measurements of hundreds of gateways that start at the same time would all be low.
    pub(crate) fn update_fleet_share(&mut self, load: &FleetLoad) {
        let even_share = 1.0 / self.settings.gateways as f64;
        let fleet = &mut self.fleet;
        fleet.own_threads = load.own_threads;
        fleet.cores = load.cores.max(1.0);
        if fleet.mean_all_threads <= 0.0 {
            fleet.mean_own_threads = even_share * load.cores;
            fleet.mean_all_threads = load.cores;
        }
        let all_threads = load.own_threads + load.other_threads;
        fleet.mean_own_threads += (1.0 - SHARE_DECAY) * (load.own_threads - fleet.mean_own_threads);
        fleet.mean_all_threads += (1.0 - SHARE_DECAY) * (all_threads - fleet.mean_all_threads);
        let share = (fleet.mean_own_threads + even_share) / (fleet.mean_all_threads + 1.0);
        fleet.share = share.clamp(even_share / MAX_SHARE_SHORTFALL, 1.0);
    }

    /// Updates the mean age of reports, the mean run time of a thread, and the mean number of threads of a query.
    pub(crate) fn update_fleet_averages(&mut self, load: &FleetLoad) {
        self.fleet.report_age = load.report_ages / (load.aperture_shares + 1.0);
        let (mut work, mut threads) = (0.0, 0.0);
        for (state, class) in self.classes.iter().zip(&self.settings.classes) {
            let class_threads = (state.arrivals + PRIOR_ARRIVALS) * class.threads;
            work += class_threads * state.best_latency;
            threads += class_threads;
        }
        self.fleet.residence_time = work / threads;
        let threads_per_query = (load.own_threads + 1.0) / (load.in_flight + 1.0);
        self.fleet.threads_per_query +=
            THREADS_PER_QUERY_WEIGHT * (threads_per_query - self.fleet.threads_per_query);
    }
}
