//! Outlier ejection: engines that fail are left out for a while and come back through a trial; engines that no longer
//! answer, or are slow, are found by the time that their attempts take.

use crate::balancer::{Balancer, CONTROL_PERIOD};
use crate::interface::Outcome;
use crate::latency_model::{unloaded_latency, BEST_LATENCY_LEVEL};
use crate::load_levels::MAX_LEVEL;
use crate::settings::Settings;
use crate::slow_start::AnswerPace;
use crate::state::{ClassState, EndedAttempt, Engine, Request, RuntimeGroup, ThreadTimes};
use crate::types::{EngineId, Milliseconds, RequestId};
use std::collections::BTreeMap;

/// The weight of an outcome in the error rate of its engine.
const ERROR_WEIGHT: f64 = 0.2;
/// The factor by which error rates fall each control step.
const ERROR_RATE_DECAY: f64 = 0.99;
/// The error rate past which an engine is ejected.
const MAX_ERROR_RATE: f64 = 0.3;
/// The length of a first ejection; it doubles with each further one in a row.
const FIRST_EJECTION: Milliseconds = 1000.0;
/// The longest ejection.
pub(crate) const MAX_EJECTION: Milliseconds = 8000.0;
/// The most times that the length doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 6;
/// An engine without an ejection for this long starts again with the first length.
const EJECTION_MEMORY: Milliseconds = 4.0 * MAX_EJECTION;
/// The length of an ejection is multiplied by a random factor: the least one ...
const MIN_LENGTH_FACTOR: f64 = 0.8;
/// ... and the width of the range.
const LENGTH_FACTOR_SPREAD: f64 = 0.4;
/// The time from the end of an ejection to the full share of requests.
pub(crate) const RECOVERY_RAMP: Milliseconds = 4000.0;
/// The time over which thread times are remembered.
const SLOWDOWN_MEMORY: Milliseconds = 5000.0;
/// Thread time that is taken to be as usual, so that a few attempts make no engine slow.
pub(crate) const SLOWDOWN_PRIOR: Milliseconds = 500.0;
/// The limits of an engine's slowdown.
pub(crate) const MIN_SLOWDOWN: f64 = 0.1;
pub(crate) const MAX_SLOWDOWN: f64 = 10.0;
/// The weight of a control step in the slowdown without load.
const UNLOADED_SLOWDOWN_WEIGHT: f64 = 0.05;
/// The most slowdown without load: an engine past it is faulty, whatever slows it down.
const MAX_UNLOADED_SLOWDOWN: f64 = 1.5;
/// The mean age of reports up to which they show how many threads run.
const MAX_TRUSTED_REPORT_AGE: Milliseconds = 500.0;

/// What an outcome shows of the health of its engine.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthSignal {
    /// The engine works.
    Success,
    /// The engine failed.
    Failure,
    /// Nothing.
    Neutral,
}

/// Whether an engine is ejected, or attempts sent there no longer come back.
pub(crate) fn is_outlier(engine: &Engine) -> bool {
    engine.ejection.until.is_some() || engine.slowdown > MAX_LEVEL
}

impl Engine {
    /// Lets thread times and error rate decay by a control step.
    pub(crate) fn decay_outlier_statistics(&mut self) {
        self.thread_times.decay((-CONTROL_PERIOD / SLOWDOWN_MEMORY).exp());
        self.error_rate *= ERROR_RATE_DECAY;
    }

    /// Ends an ejection whose trial succeeded. The recovery ramp starts now, unless the attempt that succeeded was sent
    /// before the last ejection ended.
    fn end_ejection(&mut self, sent_at: Milliseconds, now: Milliseconds) {
        if self.ejection.until.take().is_some() && sent_at > self.ejection.ended_at {
            self.ejection.ended_at = now;
        }
    }
}

impl Balancer {
    /// Adds the time of an ended attempt to those of its engine. An attempt that failed early shows no more than its
    /// own time.
    pub(crate) fn learn_thread_times(&mut self, ended: &EndedAttempt) {
        if ended.never_ran || self.was_paused() {
            return;
        }
        let threads = self.settings.classes[ended.class.0].threads;
        let longest = if ended.outcome == Outcome::Ok { f64::INFINITY } else { ended.elapsed };
        let alone = self.unloaded_latency_of_ended(ended).min(longest);
        if let Some(engine) = self.engines.get_mut(&ended.engine) {
            engine.thread_times.add(ended.elapsed * threads, alone * threads);
        }
    }

    /// Learns from an outcome the state of its engine; returns what it shows of the engine's health.
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
                let answer = AnswerPace { slowdown, threads };
                engine.learn_warmth(&answer, now, &self.settings);
                HealthSignal::Success
            }
            // A connection that breaks is one failure, however many attempts it carried.
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
            // A full engine answers at once and so looks free. Session limits below the concurrency limit show the
            // same way.
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

    /// Updates the error rate of an engine, and ejects it if it fails too often, fails its trial or refuses
    /// connections. Keeps requests from engines that fail fast and so look free, and from dead ones. Does harm where
    /// errors are the requests' own fault.
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

    /// Ejects an engine, unless it is ejected already and its trial is not due. The length is drawn, so that
    /// gateways do not all try again at once.
    fn eject(&mut self, engine: &EngineId) {
        let now = self.now;
        let may_eject = |engine: &&mut Engine| engine.ejection.until.is_none_or(|until| until <= now);
        let Some(engine) = self.engines.get_mut(engine).filter(may_eject) else { return };
        if now - engine.ejection.ended_at > EJECTION_MEMORY && engine.ejection.until.is_none() {
            engine.ejection.count = 0;
        }
        let doublings = engine.ejection.count.min(MAX_EJECTION_DOUBLINGS);
        let length = (FIRST_EJECTION * f64::from(1 << doublings)).min(MAX_EJECTION);
        engine.ejection.count += 1;
        engine.ejection.until =
            Some(now + length * (MIN_LENGTH_FACTOR + LENGTH_FACTOR_SPREAD * self.rng.f64()));
    }

    /// Whether an ejected engine may take this request as a trial: one short query after the end of the ejection.
    pub(crate) fn may_try_again(
        &self,
        engine: &Engine,
        ejected_until: Milliseconds,
        request: &Request,
    ) -> bool {
        let is_short = self.class_state_of(request).group == RuntimeGroup::Short;
        self.now >= ejected_until && engine.load.in_flight == 0.0 && is_short
    }

    /// Whether more than half of the engines are ejected. The cause is then shared, and using them beats having none.
    pub(crate) fn most_are_ejected(&self) -> bool {
        let in_aperture = self.engines.values().filter(|engine| engine.is_in_aperture());
        let is_ejected =
            |engine: &&Engine| engine.ejection.until.is_some() && engine.connections_refused_at.is_none();
        in_aperture.clone().filter(is_ejected).count() * 2 > in_aperture.count()
    }

    /// Measures how many times longer than alone queries take, on each engine and over all, with the attempts in
    /// flight. Finds engines that have collapsed: they answer nothing, and their cores, idle while all queries wait for
    /// disks or memory, report free capacity. Finds slow ones too; engines in slow start take longer anyway.
    pub(crate) fn measure_slowdowns(&mut self) {
        let in_flight = times_in_flight(&self.requests, &self.classes, &self.settings, self.now);
        let warmths: Vec<f64> = self.engines.values().map(|engine| self.warmth(engine)).collect();
        let (mut answering, mut stuck_work) = (ThreadTimes::default(), 0.0);
        for ((id, engine), warmth) in self.engines.iter_mut().zip(warmths) {
            let mut times = engine.thread_times;
            if let Some(in_flight) = in_flight.get(id) {
                times.add(in_flight.taken, in_flight.alone);
            }
            engine.slowdown = times.slowdown(SLOWDOWN_PRIOR).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
            if is_outlier(engine) {
                stuck_work += times.alone;
            } else {
                answering.add(times.taken, times.alone / warmth);
            }
        }
        let fleet = &mut self.fleet;
        // A gateway that sends little has measured little, and goes by what engines report.
        fleet.slowdown = (answering.taken + SLOWDOWN_PRIOR * fleet.usual_load.min(1.0))
            / (answering.alone + SLOWDOWN_PRIOR);
        fleet.stuck_share = stuck_work / (stuck_work + answering.alone + SLOWDOWN_PRIOR);
        self.learn_unloaded_slowdown();
        self.measure_median_slowdown();
    }

    /// Learns how much spills and locks slow queries down without load. Where memory grants are heeded few queries
    /// spill, and reports decide whether there is load.
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

    /// The slowdown of the median engine. When all are slow the cause is shared: none is then slow against the others.
    fn measure_median_slowdown(&mut self) {
        let mut slowdowns: Vec<f64> = self.engines.values().map(|engine| engine.slowdown).collect();
        slowdowns.sort_by(f64::total_cmp);
        let median = slowdowns.get(slowdowns.len() / 2).copied();
        self.fleet.median_slowdown = median.unwrap_or(1.0).max(1.0);
    }
}

/// The thread times so far of the attempts in flight, by engine.
fn times_in_flight<'a>(
    requests: &'a BTreeMap<RequestId, Request>,
    classes: &[ClassState],
    settings: &Settings,
    now: Milliseconds,
) -> BTreeMap<&'a EngineId, ThreadTimes> {
    let mut times: BTreeMap<&EngineId, ThreadTimes> = BTreeMap::new();
    for request in requests.values() {
        let class = request.details.class.0;
        let (alone, threads) = (unloaded_latency(&classes[class], request), settings.classes[class].threads);
        for attempt in request.attempts.iter().filter(|attempt| attempt.in_flight) {
            let taken = now - attempt.sent_at;
            times.entry(&attempt.engine).or_default().add(taken * threads, taken.min(alone) * threads);
        }
    }
    times
}
