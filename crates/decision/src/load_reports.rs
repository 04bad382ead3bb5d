//! Estimates the load of an engine from load reports and from the elapsed time of health checks.
//!
//! Every input is converted to one figure: load by all gateways in threads a core. The number of queries in flight is
//! the most reliable input, then the utilization of the cores, then the elapsed time of a health check.

use crate::admission::PRESSURE_LOAD;
use crate::balancer::Balancer;
use crate::interface::LoadReport;
use crate::load_levels::MAX_LEVEL;
use crate::outlier_ejection::MAX_SLOWDOWN;
use crate::state::{Engine, Fleet};
use crate::types::{EngineId, Milliseconds};

/// Reported share of cores, memory or disks in use above which an engine is saturated.
const SATURATED_SHARE: f64 = 0.95;
/// Maximum load in threads a core that is accepted from a report or a restored record.
pub(crate) const MAX_PLAUSIBLE_LOAD: f64 = 20.0;
/// Time constant with which reports are smoothed.
const SMOOTHING_TIME: Milliseconds = 1000.0;
/// Minimum weight of a report in an engine's load, regardless of how soon it follows the previous one.
const MIN_REPORT_WEIGHT: f64 = 0.05;
/// Weight of a report in the mean load of the fleet.
const FLEET_WEIGHT: f64 = 0.1;
/// Age above which a report is replaced by the mean load of the fleet.
pub(crate) const MAX_REPORT_AGE: Milliseconds = 2000.0;
/// Factor applied to the fleet's load in each control step while nothing is sent and no report is received.
const UNREPORTED_LOAD_DECAY: f64 = 0.99;
/// Weight of a control step in the mean number of attempts in flight; the averaging time is about the delay of load
/// reports.
const IN_FLIGHT_WEIGHT: f64 = 0.3;
/// Slowdown above which idle cores mean that all queries wait for disks.
const SLOWDOWN_WITH_IDLE_CORES: f64 = 4.0;
/// Share of the shortest health check that is work of the engine rather than network time.
const CHECK_WORK_SHARE: f64 = 0.5;
/// Variation of health checks without load, as a share of the shortest health check of the zone.
const CHECK_NOISE: f64 = 0.35;
/// Work of a health check, in milliseconds, below which a delay may be caused by this gateway itself.
const MIN_TRUSTED_CHECK_WORK: Milliseconds = 0.2;
/// Assumed load, in threads a core, of an engine whose health check shows no delay: the middle of the possible range.
const UNDELAYED_LOAD: f64 = 0.5;

/// Input from which a load is estimated, most reliable first.
enum LoadInput {
    /// Number of queries that run or wait at the engine.
    InFlight(f64),
    /// Share of the engine's cores in use, from 0 to 1.
    Utilization(f64),
    /// Elapsed time of a health check.
    CheckTime(Milliseconds),
}

impl Balancer {
    /// Updates the load of an engine from its report, or from the elapsed time of a successful health check.
    pub(crate) fn learn_report(
        &mut self,
        engine: &EngineId,
        report: Option<&LoadReport>,
        check_time: Option<Milliseconds>,
    ) {
        let was_paused = self.was_paused();
        let Some(engine) = self.engines.get_mut(engine) else { return };
        if let Some(report) = report {
            engine.load.is_saturated = is_saturated(report);
        }
        let report = report.copied().unwrap_or_default();
        // Elapsed times that include a pause of this process are no measure of the engine's load.
        let check_time = check_time.filter(|_| !was_paused);
        let Some(input) = best_load_input(&report, check_time) else { return };

        let fleet = &mut self.fleet;
        let own = engine.load.mean_in_flight * fleet.threads_per_query / engine.cores;
        let all = estimate_load(engine, fleet, own, &input);
        let others = (all - own).clamp(0.0, MAX_PLAUSIBLE_LOAD);
        let age = engine.load.last_report_at.map(|at| self.now - at);
        let weight = age.map_or(1.0, |age| (age / SMOOTHING_TIME).clamp(MIN_REPORT_WEIGHT, 1.0));
        engine.load.other_threads += weight * (others * engine.cores - engine.load.other_threads);
        learn_fleet_load(fleet, engine.load.other_threads / engine.cores);
        engine.load.last_report_at = Some(self.now);
    }

    /// Decays the load of the fleet while this gateway sends nothing and therefore receives no reports. Otherwise the
    /// last reports received could prevent it from sending indefinitely.
    pub(crate) fn decay_unreported_load(&mut self, own_threads: f64) {
        let now = self.now;
        if own_threads == 0.0 && self.engines.values().all(|engine| engine.is_report_stale(now)) {
            self.fleet.overloaded_share *= UNREPORTED_LOAD_DECAY;
            self.fleet.mean_other_load *= UNREPORTED_LOAD_DECAY;
        }
    }
}

impl Engine {
    /// Returns the age of the last report, at most [`MAX_REPORT_AGE`].
    pub(crate) fn report_age(&self, now: Milliseconds) -> Milliseconds {
        self.load.last_report_at.map_or(MAX_REPORT_AGE, |at| (now - at).min(MAX_REPORT_AGE))
    }

    fn is_report_stale(&self, now: Milliseconds) -> bool {
        self.load.last_report_at.is_none_or(|at| now - at > MAX_REPORT_AGE)
    }

    /// Advances the mean number of attempts in flight by one control step, and replaces a stale report by the mean
    /// load of the fleet, given in threads a core.
    pub(crate) fn update_load(&mut self, now: Milliseconds, fleet_load: f64) {
        self.load.mean_in_flight += IN_FLIGHT_WEIGHT * (self.load.in_flight - self.load.mean_in_flight);
        if self.is_report_stale(now) {
            self.load.other_threads = fleet_load * self.cores;
            self.load.is_saturated = false;
        }
    }
}

/// Returns the value if it is finite and not negative.
fn plausible(value: Option<f64>) -> Option<f64> {
    value.filter(|value| value.is_finite() && *value >= 0.0)
}

fn is_saturated(report: &LoadReport) -> bool {
    let is_high = |share: Option<f64>| plausible(share).is_some_and(|share| share > SATURATED_SHARE);
    let has_queue = plausible(report.queue).is_some_and(|queue| queue >= 1.0);
    has_queue || is_high(report.util) || is_high(report.memory) || is_high(report.disks)
}

fn best_load_input(report: &LoadReport, check_time: Option<Milliseconds>) -> Option<LoadInput> {
    if let Some(in_flight) = plausible(report.inflight) {
        return Some(LoadInput::InFlight(in_flight));
    }
    if let Some(utilization) = plausible(report.util) {
        return Some(LoadInput::Utilization(utilization.min(1.0)));
    }
    plausible(check_time).map(LoadInput::CheckTime)
}

/// Returns the load of the engine by all gateways in threads a core. `own` is this gateway's part of it at the time
/// when the report was made.
fn estimate_load(engine: &Engine, fleet: &mut Fleet, own: f64, input: &LoadInput) -> f64 {
    match input {
        LoadInput::InFlight(count) => {
            own + (count - engine.load.mean_in_flight).max(0.0) * fleet.threads_per_query / engine.cores
        }
        LoadInput::Utilization(utilization) => load_by_utilization(engine, fleet, *utilization),
        LoadInput::CheckTime(check_time) => load_by_check_time(engine, fleet, own, *check_time),
    }
}

/// Returns the load as the share of cores in use times the slowdown on the engine. A high slowdown with idle cores
/// means that all queries wait for disks, and adds to the load.
fn load_by_utilization(engine: &Engine, fleet: &Fleet, utilization: f64) -> f64 {
    let slowdown = fleet.slowdown.max(engine.slowdown) / fleet.unloaded_slowdown;
    let slowdown = slowdown.clamp(1.0, MAX_SLOWDOWN);
    utilization * slowdown + (1.0 - utilization) * (slowdown - SLOWDOWN_WITH_IDLE_CORES).max(0.0)
}

/// Returns the load as the time by which a health check exceeds the shortest one of the zone, divided by the engine's
/// work for a health check.
fn load_by_check_time(engine: &Engine, fleet: &mut Fleet, own: f64, check_time: Milliseconds) -> f64 {
    let shortest = fleet.shortest_checks.entry(engine.member.zone).or_insert(check_time);
    *shortest = check_time.min(*shortest);
    let (excess, noise) = (check_time - *shortest * (1.0 + CHECK_NOISE), *shortest * CHECK_NOISE);
    let work = CHECK_WORK_SHARE * fleet.shortest_checks.values().copied().fold(f64::INFINITY, f64::min);
    if excess > 0.0 && work > 0.0 {
        return (1.0 + excess / work).min(max_load_by_check_time(engine, fleet, work));
    }
    // On a long network path a short delay is within the variation, so nothing beyond the mean load of the fleet is
    // known.
    if noise < work {
        UNDELAYED_LOAD
    } else {
        own + fleet.mean_other_load
    }
}

/// Returns the maximum load that the elapsed time of a health check can show. If the work of a check is less than
/// this gateway's own timing variation, a delay is accepted only as far as answers are slower too.
fn max_load_by_check_time(engine: &Engine, fleet: &Fleet, work: Milliseconds) -> f64 {
    if work < MIN_TRUSTED_CHECK_WORK {
        PRESSURE_LOAD * fleet.slowdown.max(engine.slowdown).clamp(1.0, MAX_SLOWDOWN)
    } else {
        f64::INFINITY
    }
}

/// Updates the mean load of the fleet, in threads a core, with the load of one engine. Overloaded engines are
/// excluded from the mean; otherwise their load would block the engines that still have capacity.
fn learn_fleet_load(fleet: &mut Fleet, load: f64) {
    let is_overloaded = load > MAX_LEVEL;
    fleet.overloaded_share += FLEET_WEIGHT * (f64::from(is_overloaded) - fleet.overloaded_share);
    if !is_overloaded {
        fleet.mean_other_load += FLEET_WEIGHT * (load - fleet.mean_other_load);
    }
}

#[cfg(test)]
mod tests;
