//! Exports the learned state, and restores it in the next process of the gateway.
//!
//! The validity of old records is not decided here. Values that are not finite, out of range or inconsistent with the
//! settings are ignored.

use crate::balancer::Balancer;
use crate::execution_terms::{MAX_GRANT_FACTOR, MIN_GRANT_FACTOR};
use crate::learned::{LearnedBand, LearnedClass, LearnedEngine, LearnedFleet, LearnedState};
use crate::load_levels::{level_index, LEVELS, MAX_LEVEL, MIN_LEVEL};
use crate::load_reports::MAX_PLAUSIBLE_LOAD;
use crate::outlier_ejection::{MAX_EJECTION, MAX_SLOWDOWN, MIN_SLOWDOWN, SLOWDOWN_PRIOR};
use crate::settings::Class;
use crate::state::{ClassState, Engine, Fleet, LatencyStatistics, RecentSend, ThreadTimes, DISTANT_PAST};
use crate::types::{ClassId, EngineId, Milliseconds, ZoneId};
use std::ops::RangeInclusive;

/// Bands with fewer samples than this are not exported.
const MIN_BAND_SAMPLES: f64 = 0.01;
/// Work, in thread milliseconds, that exhausts any slow start budget.
const BUDGET_EXHAUSTING_WORK: Milliseconds = 1e12;
/// Maximum number of consecutive ejections that is restored: more do not lengthen the next ejection.
const MAX_RESTORED_EJECTIONS: u32 = 6;
/// Maximum duration of a health check, in milliseconds, that is restored as the shortest of a zone.
const MAX_RESTORED_CHECK: Milliseconds = 60_000.0;
/// Weight of restored thread times, as a multiple of the prior: new attempts soon outweigh them.
const RESTORED_TIMES_WEIGHT: f64 = 2.0;
/// Maximum value of a restored sum or count: a record with a larger value is damaged.
const MAX_RESTORED_COUNT: f64 = 1e9;
/// Maximum number of restored samples of a band: a record with a larger value is damaged.
const MAX_RESTORED_SAMPLES: f64 = 1e6;
/// Maximum value of a restored work or runtime: a record with a larger value is damaged.
const MAX_RESTORED_WORK: Milliseconds = 1e12;
/// Minimum best latency that is restored: a latency must be positive.
const MIN_RESTORED_LATENCY: Milliseconds = 1e-6;

impl Balancer {
    /// Returns the state that has been learned so far.
    pub fn learned(&self) -> LearnedState {
        let classes = self.classes.iter().zip(&self.settings.classes);
        let engines = self.engines.iter();
        LearnedState {
            recorded_at: self.now,
            concurrency_limit: self.concurrency_limit(),
            fleet: self.learned_fleet(),
            classes: classes.map(|(state, class)| learned_class(state, class)).collect(),
            engines: engines.map(|(id, engine)| self.learned_engine(id, engine)).collect(),
        }
    }

    fn learned_fleet(&self) -> LearnedFleet {
        let fleet = &self.fleet;
        let zone_name = |zone: &Option<ZoneId>| {
            zone.and_then(|zone| self.settings.zones.get(zone.0)).cloned().unwrap_or_default()
        };
        LearnedFleet {
            own_threads: fleet.mean_own_threads,
            all_threads: fleet.mean_all_threads,
            threads_per_query: fleet.threads_per_query,
            other_load: fleet.mean_other_load,
            overloaded_share: fleet.overloaded_share,
            median_slowdown: fleet.median_slowdown,
            speed: 1.0 / fleet.slowdown.clamp(1.0, MAX_SLOWDOWN),
            shortest_health_checks: fleet
                .shortest_checks
                .iter()
                .map(|(zone, check_time)| (zone_name(zone), *check_time))
                .collect(),
        }
    }

    fn learned_engine(&self, id: &EngineId, engine: &Engine) -> LearnedEngine {
        let ejection_ended_at = engine.ejection.ended_at;
        LearnedEngine {
            id: id.0.to_string(),
            started_at: engine.member.started,
            confirmed_at: engine.confirmed_at,
            reported_at: engine.load.last_report_at,
            slowdown: engine.slowdown,
            error_rate: engine.error_rate,
            other_threads: engine.load.other_threads,
            ejected_until: engine.ejection.until,
            ejections: engine.ejection.count,
            ejection_ended_at: (ejection_ended_at > DISTANT_PAST).then_some(ejection_ended_at),
            connections_refused_at: engine.connections_refused_at,
            in_slow_start: self.capacity_share(engine) < 1.0,
            maybe_in_slow_start: engine.slow_start.start_suspected,
            slow_start_budget_exhausted: false,
        }
    }

    /// Restores learned state. Records of unknown classes and engines are ignored.
    pub(crate) fn restore(&mut self, learned: &LearnedState) {
        for learned_class in &learned.classes {
            let classes = &self.settings.classes;
            let Some(index) = classes.iter().position(|class| class.name == learned_class.name) else {
                continue;
            };
            if classes[index].threads == learned_class.threads {
                self.restore_class(ClassId(index), learned_class);
            }
        }
        if let Some(limit) = within(learned.concurrency_limit, MIN_LEVEL..=MAX_LEVEL) {
            self.limit_level = level_index(limit);
            self.restore_fleet(&learned.fleet);
        }
        for learned_engine in &learned.engines {
            self.restore_engine(learned_engine);
        }
    }

    fn restore_class(&mut self, class: ClassId, from: &LearnedClass) {
        let max_latency = self.settings.classes[class.0].client_timeout.max(1.0);
        let state = &mut self.classes[class.0];
        for learned in &from.bands {
            if let Some(statistics) = restored_band(learned, max_latency) {
                state.bands[level_index(learned.level)] = statistics;
            }
        }
        restore_value(&mut state.best_latency, from.best_latency, MIN_RESTORED_LATENCY..=max_latency);
        restore_value(&mut state.unloaded_latency, from.unloaded_latency, 0.0..=max_latency);
        restore_value(&mut state.learned_steps, from.control_steps, 0.0..=MAX_RESTORED_COUNT);
        restore_value(&mut state.typical_time_left, from.time_left, 0.0..=MAX_RESTORED_COUNT);
        restore_value(&mut state.mean_work, from.mean_work_estimate, 0.0..=MAX_RESTORED_WORK);
        restore_value(&mut state.arrivals, from.arrivals, 0.0..=MAX_RESTORED_COUNT);
        restore_value(&mut state.runtime, from.runtime, 0.0..=MAX_RESTORED_WORK);
        restore_value(&mut state.grant_factor, from.grant_factor, MIN_GRANT_FACTOR..=MAX_GRANT_FACTOR);
        state.confirmed_at = from.confirmed_at;
    }

    fn restore_fleet(&mut self, from: &LearnedFleet) {
        let fleet: &mut Fleet = &mut self.fleet;
        restore_value(&mut fleet.mean_own_threads, from.own_threads, 0.0..=MAX_RESTORED_COUNT);
        restore_value(&mut fleet.mean_all_threads, from.all_threads, 0.0..=MAX_RESTORED_COUNT);
        restore_value(&mut fleet.threads_per_query, from.threads_per_query, 0.01..=1e4);
        restore_value(&mut fleet.mean_other_load, from.other_load, 0.0..=MAX_PLAUSIBLE_LOAD);
        restore_value(&mut fleet.overloaded_share, from.overloaded_share, 0.0..=1.0);
        restore_value(&mut fleet.median_slowdown, from.median_slowdown, 1.0..=MAX_SLOWDOWN);
        for (name, shortest) in &from.shortest_health_checks {
            let zone = self.settings.zones.iter().position(|zone| zone == name).map(ZoneId);
            let is_known = zone.is_some() || name.is_empty();
            if let Some(shortest) = within(*shortest, 0.0..=MAX_RESTORED_CHECK).filter(|_| is_known) {
                fleet.shortest_checks.insert(zone, shortest);
            }
        }
    }

    fn restore_engine(&mut self, from: &LearnedEngine) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&EngineId(from.id.as_str().into())) else { return };
        // State learned by this process is newer than any record.
        if engine.confirmed_at.is_some() {
            return;
        }
        let past = |time: Option<Milliseconds>| time.filter(|time| time.is_finite() && *time <= now);
        engine.slowdown = within(from.slowdown, MIN_SLOWDOWN..=MAX_SLOWDOWN).unwrap_or(1.0);
        engine.thread_times = thread_times_of(engine.slowdown);
        engine.error_rate = within(from.error_rate, 0.0..=1.0).unwrap_or(engine.error_rate);
        engine.load.other_threads = within(from.other_threads, 0.0..=MAX_PLAUSIBLE_LOAD * engine.cores)
            .unwrap_or(engine.load.other_threads);
        engine.load.last_report_at = past(from.reported_at);
        engine.ejection.count = from.ejections.min(MAX_RESTORED_EJECTIONS);
        let ejected_until = from.ejected_until.filter(|until| until.is_finite());
        engine.ejection.until = ejected_until.map(|until| until.min(now + MAX_EJECTION));
        engine.ejection.ended_at = past(from.ejection_ended_at).unwrap_or(DISTANT_PAST);
        engine.connections_refused_at = past(from.connections_refused_at);
        if from.maybe_in_slow_start {
            (engine.slow_start.started_at, engine.slow_start.start_suspected) = (Some(now), true);
        }
        if from.slow_start_budget_exhausted {
            engine
                .slow_start
                .recent_sends
                .push_back(RecentSend { sent_at: now, work: BUDGET_EXHAUSTING_WORK });
            engine.slow_start.recent_work += BUDGET_EXHAUSTING_WORK;
        }
    }
}

/// Returns the value if it is finite and within the limits.
fn within(value: f64, limits: RangeInclusive<f64>) -> Option<f64> {
    (value.is_finite() && limits.contains(&value)).then_some(value)
}

/// Replaces the value by a restored one if that is finite and within the limits.
fn restore_value(value: &mut f64, restored: f64, limits: RangeInclusive<f64>) {
    *value = within(restored, limits).unwrap_or(*value);
}

fn restored_band(learned: &LearnedBand, max_latency: Milliseconds) -> Option<LatencyStatistics> {
    Some(LatencyStatistics {
        count: within(learned.samples, 0.0..=MAX_RESTORED_SAMPLES)?,
        mean: within(learned.mean, 0.0..=10.0 * max_latency)?,
        variance: within(learned.variance, 0.0..=100.0 * max_latency * max_latency)?,
    })
}

/// Returns thread times that yield the given slowdown.
fn thread_times_of(slowdown: f64) -> ThreadTimes {
    let unloaded = RESTORED_TIMES_WEIGHT * SLOWDOWN_PRIOR;
    ThreadTimes { elapsed: (slowdown * (unloaded + SLOWDOWN_PRIOR) - SLOWDOWN_PRIOR).max(0.0), unloaded }
}

fn learned_class(state: &ClassState, class: &Class) -> LearnedClass {
    let bands = state.bands.iter().zip(LEVELS).filter(|(band, _)| band.count > MIN_BAND_SAMPLES);
    LearnedClass {
        name: class.name.clone(),
        threads: class.threads,
        confirmed_at: state.confirmed_at,
        bands: bands.map(|(band, level)| learned_band(band, level)).collect(),
        best_latency: state.best_latency,
        unloaded_latency: state.unloaded_latency,
        control_steps: state.learned_steps,
        time_left: state.typical_time_left,
        mean_work_estimate: state.mean_work,
        arrivals: state.arrivals,
        runtime: state.runtime,
        grant_factor: state.grant_factor,
    }
}

fn learned_band(band: &LatencyStatistics, level: f64) -> LearnedBand {
    LearnedBand { level, samples: band.count, mean: band.mean, variance: band.variance }
}

#[cfg(test)]
mod tests;
