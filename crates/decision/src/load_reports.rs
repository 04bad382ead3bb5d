//! What load reports, and the time that health checks take, show of the load of an engine.
//!
//! All evidence is turned into one estimate with one meaning: threads a core, of all gateways. The best evidence is
//! the number of queries in flight; next the utilization of the cores; last the duration of a health check.

use crate::admission::CROWDED;
use crate::balancer::Balancer;
use crate::interface::LoadReport;
use crate::load_levels::MAX_LEVEL;
use crate::outlier_ejection::MAX_SLOWDOWN;
use crate::state::{Engine, Fleet};
use crate::types::{EngineId, Milliseconds};

/// The reported share of cores, memory or disks in use past which an engine is saturated.
const SATURATED: f64 = 0.95;
/// Threads a core past which no report is believed.
pub(crate) const MAX_BELIEVED_LOAD: f64 = 20.0;
/// The time over which reports are smoothed.
const SMOOTHING_TIME: Milliseconds = 1000.0;
/// The least weight of a report in an engine's load, however soon it follows the last.
const MIN_REPORT_WEIGHT: f64 = 0.05;
/// The weight of a report in the mean load of the fleet.
const FLEET_WEIGHT: f64 = 0.1;
/// The age past which a report gives way to the mean load of the fleet.
pub(crate) const MAX_REPORT_AGE: Milliseconds = 2000.0;
/// The factor by which the fleet's load falls each control step while nothing is sent and no report comes.
const UNREPORTED_LOAD_DECAY: f64 = 0.99;
/// The weight of a control step in the mean number of attempts in flight: about the time by which reports are late.
const IN_FLIGHT_WEIGHT: f64 = 0.3;
/// How many times longer than alone queries take, past which idle cores mean that all of them wait for disks.
const SLOWDOWN_WITH_IDLE_CORES: f64 = 4.0;
/// The share of the shortest health check that is work at the engine rather than network time.
const CHECK_WORK_SHARE: f64 = 0.5;
/// The share of the shortest health check of a zone within which a check shows no delay.
const CHECK_NOISE: f64 = 0.35;
/// The work of a health check, in milliseconds, below which a delay may come from this gateway itself.
const MIN_TRUSTED_CHECK_WORK: Milliseconds = 0.2;
/// The load, in threads a core, of an engine whose health check shows no delay: the middle of what it can be.
const UNDELAYED_LOAD: f64 = 0.5;

/// What a load can be estimated from, the best evidence first.
enum LoadEvidence {
    /// The number of queries that run or wait at the engine.
    InFlight(f64),
    /// The share of its cores in use, from 0 to 1.
    Utilization(f64),
    /// How long a health check took.
    CheckTime(Milliseconds),
}

impl Balancer {
    /// Learns the load of an engine from its report, or from the time that a successful health check took.
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
        // During a pause of this process, time is no measure of the engine.
        let check_time = check_time.filter(|_| !was_paused);
        let Some(evidence) = best_evidence(&report, check_time) else { return };

        let fleet = &mut self.fleet;
        let own = engine.load.mean_in_flight * fleet.threads_per_query / engine.cores;
        let all = estimate_load(engine, fleet, own, &evidence);
        let others = (all - own).clamp(0.0, MAX_BELIEVED_LOAD);
        let age = engine.load.last_report_at.map(|at| self.now - at);
        let weight = age.map_or(1.0, |age| (age / SMOOTHING_TIME).clamp(MIN_REPORT_WEIGHT, 1.0));
        engine.load.other_threads += weight * (others * engine.cores - engine.load.other_threads);
        learn_fleet_load(fleet, engine.load.other_threads / engine.cores);
        engine.load.last_report_at = Some(self.now);
    }

    /// Lets the load of the fleet fall while this gateway sends nothing and so hears nothing: it must not stay shut
    /// out by the last reports that it received.
    pub(crate) fn decay_unreported_load(&mut self, own_threads: f64) {
        let now = self.now;
        if own_threads == 0.0 && self.engines.values().all(|engine| engine.is_report_stale(now)) {
            self.fleet.overloaded_share *= UNREPORTED_LOAD_DECAY;
            self.fleet.usual_load *= UNREPORTED_LOAD_DECAY;
        }
    }
}

impl Engine {
    /// The age of the last report, up to [`MAX_REPORT_AGE`].
    pub(crate) fn report_age(&self, now: Milliseconds) -> Milliseconds {
        self.load.last_report_at.map_or(MAX_REPORT_AGE, |at| (now - at).min(MAX_REPORT_AGE))
    }

    fn is_report_stale(&self, now: Milliseconds) -> bool {
        self.load.last_report_at.is_none_or(|at| now - at > MAX_REPORT_AGE)
    }

    /// Advances the average number of attempts in flight by a control step. A stale report gives way to the mean load
    /// of the fleet, in threads a core.
    pub(crate) fn renew_load(&mut self, now: Milliseconds, fleet_load: f64) {
        self.load.mean_in_flight += IN_FLIGHT_WEIGHT * (self.load.in_flight - self.load.mean_in_flight);
        if self.is_report_stale(now) {
            self.load.other_threads = fleet_load * self.cores;
            self.load.is_saturated = false;
        }
    }
}

/// A value that is finite and not negative.
fn plausible(value: Option<f64>) -> Option<f64> {
    value.filter(|value| value.is_finite() && *value >= 0.0)
}

fn is_saturated(report: &LoadReport) -> bool {
    let is_high = |share: Option<f64>| plausible(share).is_some_and(|share| share > SATURATED);
    let has_queue = plausible(report.queue).is_some_and(|queue| queue >= 1.0);
    has_queue || is_high(report.util) || is_high(report.memory) || is_high(report.disks)
}

fn best_evidence(report: &LoadReport, check_time: Option<Milliseconds>) -> Option<LoadEvidence> {
    if let Some(in_flight) = plausible(report.inflight) {
        return Some(LoadEvidence::InFlight(in_flight));
    }
    if let Some(utilization) = plausible(report.util) {
        return Some(LoadEvidence::Utilization(utilization.min(1.0)));
    }
    plausible(check_time).map(LoadEvidence::CheckTime)
}

/// Threads a core on the engine, of all gateways. `own` is this gateway's part of it, as of when reports were made.
fn estimate_load(engine: &Engine, fleet: &mut Fleet, own: f64, evidence: &LoadEvidence) -> f64 {
    match evidence {
        LoadEvidence::InFlight(count) => {
            own + (count - engine.load.mean_in_flight).max(0.0) * fleet.threads_per_query / engine.cores
        }
        LoadEvidence::Utilization(utilization) => load_by_utilization(engine, fleet, *utilization),
        LoadEvidence::CheckTime(took) => load_by_check_time(engine, fleet, own, *took),
    }
}

/// Cores in use, times how much longer than alone queries take there. Cores idle while all queries wait for disks.
fn load_by_utilization(engine: &Engine, fleet: &Fleet, utilization: f64) -> f64 {
    let slowdown = fleet.slowdown.max(engine.slowdown) / fleet.unloaded_slowdown;
    let slowdown = slowdown.clamp(1.0, MAX_SLOWDOWN);
    utilization * slowdown + (1.0 - utilization) * (slowdown - SLOWDOWN_WITH_IDLE_CORES).max(0.0)
}

/// How much longer a health check takes than the shortest to that zone, in units of its work at the engine.
fn load_by_check_time(engine: &Engine, fleet: &mut Fleet, own: f64, took: Milliseconds) -> f64 {
    let shortest = fleet.shortest_checks.entry(engine.member.zone).or_insert(took);
    *shortest = took.min(*shortest);
    let (excess, noise) = (took - *shortest * (1.0 + CHECK_NOISE), *shortest * CHECK_NOISE);
    let work = CHECK_WORK_SHARE * fleet.shortest_checks.values().copied().fold(f64::INFINITY, f64::min);
    if excess > 0.0 && work > 0.0 {
        return (1.0 + excess / work).min(max_load_by_check_time(engine, fleet, work));
    }
    // Over a long way a short delay is lost in the noise: no more than the mean is known.
    if noise < work {
        UNDELAYED_LOAD
    } else {
        own + fleet.usual_load
    }
}

/// The most load that the time of a check can show. Where the work of a check is less than this gateway's own scatter,
/// a delay is believed only as far as answers are slower too.
fn max_load_by_check_time(engine: &Engine, fleet: &Fleet, work: Milliseconds) -> f64 {
    if work < MIN_TRUSTED_CHECK_WORK {
        CROWDED * fleet.slowdown.max(engine.slowdown).clamp(1.0, MAX_SLOWDOWN)
    } else {
        f64::INFINITY
    }
}

/// Learns the mean load of the fleet, in threads a core, from one engine. Overloaded engines are left out of the mean,
/// else their load shuts out all that could still serve.
fn learn_fleet_load(fleet: &mut Fleet, load: f64) {
    let is_overloaded = load > MAX_LEVEL;
    fleet.overloaded_share += FLEET_WEIGHT * (f64::from(is_overloaded) - fleet.overloaded_share);
    if !is_overloaded {
        fleet.usual_load += FLEET_WEIGHT * (load - fleet.usual_load);
    }
}

#[cfg(test)]
mod tests;
