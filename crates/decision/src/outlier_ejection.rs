//! Outlier ejection: failing engines receive no requests for a while, and are used again after a successful trial
//! request. Engines that no longer answer or are slow are detected by the elapsed time of their attempts.

use crate::balancer::{Balancer, CONTROL_PERIOD};
use crate::interface::Outcome;
use crate::latency_model::{unloaded_latency, BEST_LATENCY_LEVEL};
use crate::load_levels::MAX_LEVEL;
use crate::settings::Settings;
use crate::slow_start::AnswerSpeed;
use crate::state::{ClassState, EndedAttempt, Engine, Request, RuntimeGroup, ThreadTimes};
use crate::types::{EngineId, Milliseconds, RequestId};
use std::collections::BTreeMap;

/// Weight of an outcome in the error rate of its engine.
const ERROR_WEIGHT: f64 = 0.2;
/// Factor applied to error rates in each control step.
const ERROR_RATE_DECAY: f64 = 0.99;
/// Error rate above which an engine is ejected.
const MAX_ERROR_RATE: f64 = 0.3;
/// Duration of the first ejection; it doubles with each consecutive one.
const FIRST_EJECTION: Milliseconds = 1000.0;
/// Maximum duration of an ejection.
pub(crate) const MAX_EJECTION: Milliseconds = 8000.0;
/// Maximum number of times that the duration doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 6;
/// An engine without an ejection for this time starts again with the first duration.
const EJECTION_RESET_TIME: Milliseconds = 4.0 * MAX_EJECTION;
/// Minimum of the random factor by which the duration of an ejection is multiplied.
const MIN_LENGTH_FACTOR: f64 = 0.8;
/// Width of the range of the random factor by which the duration of an ejection is multiplied.
const LENGTH_FACTOR_SPREAD: f64 = 0.4;
/// Time from the end of an ejection until the engine receives its full share of requests again.
pub(crate) const RECOVERY_RAMP: Milliseconds = 4000.0;
/// Time constant with which thread times decay.
const SLOWDOWN_TIME_CONSTANT: Milliseconds = 5000.0;
/// Thread time added at a slowdown of 1 to each engine's sums, so that a few slow attempts do not mark the engine as
/// slow.
pub(crate) const SLOWDOWN_PRIOR: Milliseconds = 500.0;
/// Lower bound of an engine's slowdown.
pub(crate) const MIN_SLOWDOWN: f64 = 0.1;
/// Upper bound of an engine's slowdown.
pub(crate) const MAX_SLOWDOWN: f64 = 10.0;
/// Weight of a control step in the slowdown without load.
const UNLOADED_SLOWDOWN_WEIGHT: f64 = 0.05;
/// Maximum slowdown without load: an engine above it is faulty, regardless of the cause.
const MAX_UNLOADED_SLOWDOWN: f64 = 1.5;
/// Maximum mean age of load reports at which they are used to decide whether the fleet is loaded.
const MAX_TRUSTED_REPORT_AGE: Milliseconds = 500.0;

/// Information that an outcome gives about the health of its engine.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthSignal {
    /// The engine answered correctly.
    Success,
    /// The engine failed.
    Failure,
    /// The outcome gives no information about the engine's health.
    Neutral,
}

/// Returns whether an engine is ejected, or so slow that it is assumed not to answer.
pub(crate) fn is_outlier(engine: &Engine) -> bool {
    engine.ejection.until.is_some() || engine.slowdown > MAX_LEVEL
}

impl Engine {
    /// Decays thread times and error rate by one control step.
    pub(crate) fn decay_outlier_statistics(&mut self) {
        self.thread_times.decay((-CONTROL_PERIOD / SLOWDOWN_TIME_CONSTANT).exp());
        self.error_rate *= ERROR_RATE_DECAY;
    }

    /// Ends the engine's ejection after a successful attempt. The recovery ramp starts now, unless the attempt was
    /// sent before the previous ejection ended.
    fn end_ejection(&mut self, sent_at: Milliseconds, now: Milliseconds) {
        if self.ejection.until.take().is_some() && sent_at > self.ejection.ended_at {
            self.ejection.ended_at = now;
        }
    }
}

impl Balancer {
    /// Adds the time of an ended attempt to the sums of its engine. For a failed attempt, the time on an idle engine
    /// is taken as no longer than its elapsed time, because it may have failed early.
    pub(crate) fn learn_thread_times(&mut self, ended: &EndedAttempt) {
        if ended.never_ran || self.was_paused() {
            return;
        }
        let threads = self.settings.classes[ended.class.0].threads;
        let longest = if ended.outcome == Outcome::Ok { f64::INFINITY } else { ended.elapsed };
        let unloaded = self.unloaded_latency_of_ended(ended).min(longest);
        if let Some(engine) = self.engines.get_mut(&ended.engine) {
            engine.thread_times.add(ended.elapsed * threads, unloaded * threads);
        }
    }

    /// Updates the state of the engine from an outcome, and returns the resulting signal about its health.
    pub(crate) fn learn_response(&mut self, ended: &EndedAttempt) -> HealthSignal {
        let now = self.now;
        let slowdown = (ended.elapsed / self.unloaded_latency_of_ended(ended).max(1.0))
            .clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
        let threads = self.settings.classes[ended.class.0].threads;
        let Some(engine) = self.engines.get_mut(&ended.engine) else { return HealthSignal::Neutral };
        match ended.outcome {
            Outcome::Ok => {
                engine.last_answer_at = now;
                engine.confirmed_at = Some(now);
                engine.end_ejection(ended.sent_at, now);
                let answer = AnswerSpeed { slowdown, threads };
                engine.learn_capacity_share(&answer, now, &self.settings);
                HealthSignal::Success
            }
            // A broken connection counts as one failure, regardless of the number of attempts it carried.
            Outcome::Reset if engine.reset_at == now => HealthSignal::Neutral,
            Outcome::Reset => {
                engine.reset_at = now;
                HealthSignal::Failure
            }
            Outcome::ConnectFailed => {
                engine.connections_refused_at = Some(now);
                HealthSignal::Failure
            }
            Outcome::Error => HealthSignal::Failure,
            // A full engine rejects at once and would therefore appear to have free capacity. A session limit of the
            // engine below the concurrency limit has the same effect.
            Outcome::Full => {
                engine.full_at = now;
                engine.load.is_saturated = true;
                let overloaded = MAX_LEVEL * engine.cores - engine.load.own_threads;
                engine.load.other_threads = engine.load.other_threads.max(overloaded);
                HealthSignal::Neutral
            }
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotExecuted => HealthSignal::Neutral,
        }
    }

    /// Updates the error rate of an engine, and ejects it if its error rate is too high, its trial fails, or it
    /// refuses connections. This keeps requests away from unreachable engines, and from engines that fail quickly and
    /// therefore appear to have free capacity. Disadvantage: errors caused by the requests themselves also eject
    /// engines.
    pub(crate) fn learn_health(&mut self, ended: &EndedAttempt, signal: HealthSignal) {
        if signal == HealthSignal::Neutral {
            return;
        }
        let failed = signal == HealthSignal::Failure;
        let Some(engine) = self.engines.get_mut(&ended.engine) else { return };
        engine.error_rate += ERROR_WEIGHT * (f64::from(failed) - engine.error_rate);
        let is_ejected = engine.ejection.until.is_some();
        let refuses_connections = ended.outcome == Outcome::ConnectFailed;
        if failed && (is_ejected || engine.error_rate > MAX_ERROR_RATE || refuses_connections) {
            self.eject(&ended.engine);
        }
    }

    /// Ejects an engine, unless it is already ejected and its trial is not yet due. The duration is randomised so
    /// that gateways do not all send their trials at the same time.
    fn eject(&mut self, engine: &EngineId) {
        let now = self.now;
        let may_eject = |engine: &&mut Engine| engine.ejection.until.is_none_or(|until| until <= now);
        let Some(engine) = self.engines.get_mut(engine).filter(may_eject) else { return };
        if now - engine.ejection.ended_at > EJECTION_RESET_TIME && engine.ejection.until.is_none() {
            engine.ejection.count = 0;
        }
        let doublings = engine.ejection.count.min(MAX_EJECTION_DOUBLINGS);
        let length = (FIRST_EJECTION * f64::from(1 << doublings)).min(MAX_EJECTION);
        engine.ejection.count += 1;
        engine.ejection.until =
            Some(now + length * (MIN_LENGTH_FACTOR + LENGTH_FACTOR_SPREAD * self.rng.f64()));
    }

    /// Returns whether an ejected engine may receive this request as a trial: one short query after the end of the
    /// ejection.
    pub(crate) fn may_send_trial(
        &self,
        engine: &Engine,
        ejected_until: Milliseconds,
        request: &Request,
    ) -> bool {
        let is_short = self.class_state_of(request).group == RuntimeGroup::Short;
        self.now >= ejected_until && engine.load.in_flight == 0.0 && is_short
    }

    /// Returns whether more than half of the engines in the aperture are ejected. A common cause is then likely, and
    /// sending to ejected engines is better than having no engine. Engines that refuse connections are not counted as
    /// ejected.
    pub(crate) fn most_are_ejected(&self) -> bool {
        let in_aperture = self.engines.values().filter(|engine| engine.is_in_aperture());
        let is_ejected =
            |engine: &&Engine| engine.ejection.until.is_some() && engine.connections_refused_at.is_none();
        in_aperture.clone().filter(is_ejected).count() * 2 > in_aperture.count()
    }

    /// Computes the slowdown of each engine and of the fleet, including attempts in flight. This detects collapsed
    /// engines: they no longer answer, and because all their queries wait for disks or memory, their idle cores are
    /// reported as free capacity. It also detects slow engines; for engines in slow start a longer time is expected.
    pub(crate) fn measure_slowdowns(&mut self) {
        let in_flight = times_in_flight(&self.requests, &self.classes, &self.settings, self.now);
        let capacity_shares: Vec<f64> =
            self.engines.values().map(|engine| self.capacity_share(engine)).collect();
        let (mut responsive, mut stuck_work) = (ThreadTimes::default(), 0.0);
        for ((id, engine), capacity_share) in self.engines.iter_mut().zip(capacity_shares) {
            let mut times = engine.thread_times;
            if let Some(in_flight) = in_flight.get(id) {
                times.add(in_flight.elapsed, in_flight.unloaded);
            }
            engine.slowdown = times.slowdown(SLOWDOWN_PRIOR).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
            if is_outlier(engine) {
                stuck_work += times.unloaded;
            } else {
                responsive.add(times.elapsed, times.unloaded / capacity_share);
            }
        }
        let fleet = &mut self.fleet;
        // A gateway that sends little has few measurements, so the load that engines report sets the weight of the
        // prior.
        fleet.slowdown = (responsive.elapsed + SLOWDOWN_PRIOR * fleet.mean_other_load.min(1.0))
            / (responsive.unloaded + SLOWDOWN_PRIOR);
        fleet.stuck_share = stuck_work / (stuck_work + responsive.unloaded + SLOWDOWN_PRIOR);
        self.learn_unloaded_slowdown();
        self.measure_median_slowdown();
    }

    /// Updates the slowdown that spills and locks cause without load. Where engines honour memory grants few queries
    /// spill, and load reports decide whether there is load.
    fn learn_unloaded_slowdown(&mut self) {
        let fleet = &mut self.fleet;
        let is_load_known =
            !self.settings.supports_memory_grants || fleet.report_age < MAX_TRUSTED_REPORT_AGE;
        let is_unloaded = is_load_known && fleet.load() < BEST_LATENCY_LEVEL;
        if is_unloaded || fleet.slowdown < fleet.unloaded_slowdown {
            let slowdown = fleet.slowdown.clamp(1.0, MAX_UNLOADED_SLOWDOWN);
            fleet.unloaded_slowdown += UNLOADED_SLOWDOWN_WEIGHT * (slowdown - fleet.unloaded_slowdown);
        }
    }

    /// Computes the slowdown of the median engine. If all engines are slow the cause is shared, and no engine is slow
    /// in relation to the others.
    fn measure_median_slowdown(&mut self) {
        let mut slowdowns: Vec<f64> = self.engines.values().map(|engine| engine.slowdown).collect();
        slowdowns.sort_by(f64::total_cmp);
        let median = slowdowns.get(slowdowns.len() / 2).copied();
        self.fleet.median_slowdown = median.unwrap_or(1.0).max(1.0);
    }
}

/// Returns the elapsed thread times of the attempts in flight, by engine.
fn times_in_flight<'a>(
    requests: &'a BTreeMap<RequestId, Request>,
    classes: &[ClassState],
    settings: &Settings,
    now: Milliseconds,
) -> BTreeMap<&'a EngineId, ThreadTimes> {
    let mut times: BTreeMap<&EngineId, ThreadTimes> = BTreeMap::new();
    for request in requests.values() {
        let class = request.details.class.0;
        let (unloaded, threads) =
            (unloaded_latency(&classes[class], request), settings.classes[class].threads);
        for attempt in request.attempts.iter().filter(|attempt| attempt.in_flight) {
            let elapsed = now - attempt.sent_at;
            times.entry(&attempt.engine).or_default().add(elapsed * threads, elapsed.min(unloaded) * threads);
        }
    }
    times
}
