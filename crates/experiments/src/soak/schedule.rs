//! The schedule of a run: its faults with the times at which they begin and end, drawn from the seed. Several faults overlap.

mod fault;

use super::run::BUSY_GATEWAY_INTERVAL;
use fault::excludes;
pub(super) use fault::{Fault, PlannedFault, ReloadKind, Reloads, SignalSeries};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::ops::Range;

/// Time in seconds at which the first fault begins. By then gateways have data about their engines.
const FIRST_FAULT: f64 = 1.5;
/// Duration of a fault, in seconds.
const FAULT_DURATION: Range<f64> = 0.3..2.5;
/// Duration of a silence of the name service, in seconds.
const SILENCE_DURATION: Range<f64> = 0.5..5.0;
/// Duration of a long silence, in seconds: longer than until every change of the endpoint list counts as propagated.
const LONG_SILENCE_DURATION: Range<f64> = 9.5..11.0;
/// Probability that a silence is a long one.
const LONG_SILENCE_PROBABILITY: f64 = 0.3;
/// Duration of a pause of a process, in seconds. The longest ones exceed the lease on its endpoint list.
const PAUSE_DURATION: Range<f64> = 0.3..6.0;
/// Time in seconds for which an engine drains: clearly longer than until the rule on drains applies.
const DRAIN_DURATION: Range<f64> = 6.0..8.0;
/// Time in seconds for which an engine drains if it begins to drain in a long silence: longer than until the drain counts as propagated
/// in any case.
const DRAIN_IN_SILENCE_DURATION: Range<f64> = 11.0..13.0;
/// Time in seconds from the beginning of a fault to that of the next. It is on average well below the duration of a fault, so that faults
/// overlap.
const FAULT_INTERVAL: Range<f64> = 0.05..0.5;
/// Probability that a fault of a gateway is overlapped by a second one of the same gateway.
const SECOND_FAULT_PROBABILITY: f64 = 0.5;
/// Time in seconds by which the second fault begins later. It also offsets mandatory faults, and drains from the beginning of a fault.
const SECOND_FAULT_DELAY: Range<f64> = 0.0..0.8;
/// Probability that an engine begins to drain near the end, or soon after the beginning, of a pause or a fault of the name service.
const DRAIN_PROBABILITY: f64 = 0.7;
/// Offset in seconds of the beginning of a drain from a pause or a fault of the name service; negative values are earlier.
const DRAIN_DELAY: Range<f64> = -0.3..0.4;
/// Number of SIGHUPs at the beginning of a series of signals.
const SERIES_RELOADS: Range<u32> = 0..4;
/// Number of SIGTERMs of a series of signals.
const SERIES_TERMINATIONS: Range<u32> = 1..5;
/// Time in seconds between the signals of a dense series.
const DENSE_INTERVAL: Range<f64> = 0.001..0.03;
/// Time in seconds between the signals of a sparse series.
const SPARSE_INTERVAL: Range<f64> = 0.1..0.5;
/// Number of successive pauses in which clients abandon their requests.
const DEPARTURE_PAUSES: Range<u32> = 3..9;
/// Duration in seconds of each pause in which clients abandon their requests.
const DEPARTURE_PAUSE: Range<f64> = 0.15..0.5;
/// Time in seconds between two pauses in which clients abandon their requests.
pub(super) const DEPARTURE_INTERVAL: f64 = 0.4;
/// Duration in seconds of a pause within a silence of the name service: longer than until a change of the endpoint list counts as
/// propagated.
const PAUSE_IN_SILENCE: Range<f64> = 2.3..5.0;
/// Duration in seconds of the silence of the name service after a pause within it.
pub(super) const SILENCE_AFTER_PAUSE: f64 = 5.0;
/// Duration in seconds of the silence of the name service before a pause within it.
pub(super) const SILENCE_BEFORE_PAUSE: f64 = 1.0;
/// Number of pauses of the mandatory fault, which every run has, in which clients abandon their requests.
const MANDATORY_DEPARTURE_PAUSES: Range<u32> = 3..5;
/// Duration in seconds of each of the mandatory pauses in which clients abandon their requests.
const MANDATORY_DEPARTURE_PAUSE: Range<f64> = 0.2..0.35;
/// Duration in seconds of the mandatory fault that resets connections of an engine.
const MANDATORY_RESETS: Range<f64> = 2.0..3.0;
/// Duration in seconds of the mandatory overload of all engines.
const MANDATORY_OVERLOAD: Range<f64> = 1.5..2.5;
/// Probability that idle connections exhaust the file descriptors of all gateways for a whole run.
const RUN_LONG_FLOOD_PROBABILITY: f64 = 0.2;
/// Mask that is combined with the seed of a run by exclusive or, so that the draw of the run-long flood is independent of the schedule.
const RUN_LONG_FLOOD_SEED_MASK: u64 = 0x0063_726f_7764;
/// Minimum time in seconds between two faults that exclude one another.
const MIN_GAP: f64 = 0.2;
/// Maximum number of engines that drain at the same time.
const MAX_DRAINING: usize = 3;

/// Draws the schedule of a run. Faults that exclude one another do not overlap.
pub(super) fn draw(seed: u64, gateways: usize, engines: usize, seconds: f64) -> Vec<PlannedFault> {
    let mut schedule =
        Schedule { rng: Pcg64Mcg::seed_from_u64(seed), planned: Vec::new(), gateways, engines, seconds };
    schedule.add_mandatory_faults();
    let mut at = FIRST_FAULT;
    while at < seconds {
        schedule.add_drawn(at);
        at += schedule.rng.random_range(FAULT_INTERVAL);
    }
    schedule.planned
}

/// Returns whether idle connections flood all gateways for the whole run with this seed.
pub(super) fn has_run_long_flood(seed: u64) -> bool {
    Pcg64Mcg::seed_from_u64(seed ^ RUN_LONG_FLOOD_SEED_MASK).random_bool(RUN_LONG_FLOOD_PROBABILITY)
}

struct Schedule {
    rng: Pcg64Mcg,
    planned: Vec<PlannedFault>,
    gateways: usize,
    engines: usize,
    seconds: f64,
}

/// Weight of gateway faults in the draw of a fault. The kinds of each group are drawn by a number below its weight.
const GATEWAY_WEIGHT: u32 = 11;
/// Weight of faults of the name service in the draw of a fault.
const NAME_SERVICE_WEIGHT: u32 = 8;
/// Weight of faults of engines and clients in the draw of a fault.
const ENGINE_OR_CLIENT_WEIGHT: u32 = 15;

impl Schedule {
    /// Adds a drawn fault that begins at the time `at`, and the faults that accompany it.
    fn add_drawn(&mut self, at: f64) {
        let kind = self.rng.random_range(0..GATEWAY_WEIGHT + NAME_SERVICE_WEIGHT + ENGINE_OR_CLIENT_WEIGHT);
        let gateway = self.rng.random_range(0..self.gateways);
        if kind < GATEWAY_WEIGHT {
            self.add_gateway_faults(at, kind, gateway);
        } else if kind < GATEWAY_WEIGHT + NAME_SERVICE_WEIGHT {
            self.add_name_service_fault(at, kind - GATEWAY_WEIGHT, gateway);
        } else {
            let fault = self.engine_or_client_fault(kind - GATEWAY_WEIGHT - NAME_SERVICE_WEIGHT);
            self.add(at, fault);
        }
    }

    fn add_gateway_faults(&mut self, at: f64, kind: u32, gateway: usize) {
        let fault = self.gateway_fault(kind, gateway);
        let is_pause = matches!(fault, Fault::Pause(_));
        if self.add(at, fault).is_some() && is_pause {
            self.add_drain(at + SECOND_FAULT_DELAY.end, DRAIN_DURATION);
        }
        if self.rng.random_range(0.0..1.0) < SECOND_FAULT_PROBABILITY {
            let delay = self.rng.random_range(SECOND_FAULT_DELAY);
            let kind = self.rng.random_range(0..GATEWAY_WEIGHT);
            let second = self.gateway_fault(kind, gateway);
            self.add(at + delay, second);
        }
    }

    fn add_name_service_fault(&mut self, at: f64, kind: u32, gateway: usize) {
        let fault = self.name_service_fault(kind, gateway);
        let Some(ended) = self.add(at, fault) else { return };
        match ended - at > LONG_SILENCE_DURATION.start {
            true => self.add_drain(at + SECOND_FAULT_DELAY.end, DRAIN_IN_SILENCE_DURATION),
            false => self.add_drain(ended, DRAIN_DURATION),
        }
    }

    /// Adds, with `DRAIN_PROBABILITY`, the drain of an engine that begins at about the time `at`.
    fn add_drain(&mut self, at: f64, duration: Range<f64>) {
        let (delay, engine) = (self.rng.random_range(DRAIN_DELAY), self.rng.random_range(0..self.engines));
        if self.rng.random_range(0.0..1.0) < DRAIN_PROBABILITY {
            let duration = self.rng.random_range(duration);
            self.add_with_duration(at + delay, duration, Fault::ReplaceEngine(engine));
        }
    }

    fn gateway_fault(&mut self, kind: u32, gateway: usize) -> Fault {
        match kind {
            0 | 1 => Fault::Restart { gateway, signals: self.signal_series() },
            2 => Fault::Kill(gateway),
            3 | 4 => Fault::Pause(gateway),
            5 => Fault::HotRestart { gateway, signals: self.signal_series() },
            7 | 8 => self.departures(gateway),
            6 => Fault::ConnectionFlood(gateway),
            _ => Fault::SystemCalls(gateway),
        }
    }

    fn signal_series(&mut self) -> SignalSeries {
        let is_dense = self.rng.random_bool(0.5);
        SignalSeries {
            reloads: self.rng.random_range(SERIES_RELOADS),
            terminations: self.rng.random_range(SERIES_TERMINATIONS),
            interval: self.rng.random_range(if is_dense { DENSE_INTERVAL } else { SPARSE_INTERVAL }),
        }
    }

    /// Adds the faults that every run has, however short it is. Each exercises a safeguard of the gateway whose absence the drawn faults
    /// would seldom reveal.
    fn add_mandatory_faults(&mut self) {
        let engine = self.rng.random_range(0..self.engines);
        let fault = Fault::PauseInSilence {
            gateway: self.idle_gateway(),
            engine,
            pause: self.rng.random_range(PAUSE_IN_SILENCE),
        };
        let at = FIRST_FAULT + self.rng.random_range(SECOND_FAULT_DELAY);
        self.add(at, fault);
        let departures = Fault::DeparturesInPauses {
            gateway: 0,
            pauses: self.rng.random_range(MANDATORY_DEPARTURE_PAUSES),
            pause: self.rng.random_range(MANDATORY_DEPARTURE_PAUSE),
        };
        let at = FIRST_FAULT + self.rng.random_range(SECOND_FAULT_DELAY);
        self.add(at, departures);
        let reset = Fault::ResetConnections((engine + 1) % self.engines);
        let duration = self.rng.random_range(MANDATORY_RESETS);
        self.add_with_duration(FIRST_FAULT, duration, reset);
        let latest = (self.seconds - MANDATORY_OVERLOAD.end).max(FIRST_FAULT + SECOND_FAULT_DELAY.end);
        let at = self.rng.random_range(FIRST_FAULT..latest).max(FIRST_FAULT + duration + 2.0 * MIN_GAP);
        let duration = self.rng.random_range(MANDATORY_OVERLOAD).min(self.seconds - at - MIN_GAP);
        self.add_with_duration(at, duration, Fault::OverloadAllEngines);
    }

    /// Draws a gateway without queued requests, if there is one.
    fn idle_gateway(&mut self) -> usize {
        let gateway = self.rng.random_range(0..self.gateways);
        if gateway.is_multiple_of(BUSY_GATEWAY_INTERVAL) && gateway + 1 < self.gateways {
            gateway + 1
        } else {
            gateway
        }
    }

    /// Draws pauses in which clients abandon their requests, at the busy gateway with the greatest number up to `gateway`.
    fn departures(&mut self, gateway: usize) -> Fault {
        Fault::DeparturesInPauses {
            gateway: gateway - gateway % BUSY_GATEWAY_INTERVAL,
            pauses: self.rng.random_range(DEPARTURE_PAUSES),
            pause: self.rng.random_range(DEPARTURE_PAUSE),
        }
    }

    fn name_service_fault(&mut self, kind: u32, gateway: usize) -> Fault {
        match kind {
            0 | 1 => Fault::SlowNameService(gateway, self.rng.random_range(0.2..3.0)),
            2 => Fault::LossyNameService(gateway, self.rng.random_range(0.2..0.5)),
            3 => Fault::DeadFlows(gateway),
            4 => Fault::SilentNameService,
            _ => Fault::Reload(gateway, self.reloads()),
        }
    }

    fn reloads(&mut self) -> Reloads {
        let (count, interval) = (self.rng.random_range(1..12), self.rng.random_range(0.01..0.3));
        match self.rng.random_range(0..4) {
            0 => Reloads { count, interval, kind: ReloadKind::Unchanged },
            1 => Reloads { count, interval, kind: ReloadKind::ToHealthyAddress },
            _ => {
                let kind = ReloadKind::ToSilentAddress(self.rng.random_range(0.0..3.0));
                Reloads { count: 1, interval, kind }
            }
        }
    }

    fn engine_or_client_fault(&mut self, kind: u32) -> Fault {
        let engine = self.rng.random_range(0..self.engines);
        match kind {
            0 | 1 => Fault::ReplaceEngine(engine),
            2 | 3 => Fault::CrashEngine(engine),
            4 => Fault::CrashHalf,
            5 => Fault::HangEngine(engine),
            6..9 => Fault::OverloadAllEngines,
            9 => Fault::OverloadEngine(engine),
            10..13 => Fault::ResetConnections(engine),
            13 => Fault::CloseIdleConnections(engine),
            _ => Fault::ImpatientClients,
        }
    }

    /// Adds a fault with a drawn duration, unless it would overlap a fault that excludes it or would end too late. Returns the time at
    /// which the fault ends.
    fn add(&mut self, from: f64, fault: Fault) -> Option<f64> {
        let duration = match &fault {
            Fault::ReplaceEngine(_) => self.rng.random_range(DRAIN_DURATION),
            Fault::SilentNameService if self.rng.random_range(0.0..1.0) < LONG_SILENCE_PROBABILITY => {
                self.rng.random_range(LONG_SILENCE_DURATION)
            }
            Fault::SilentNameService => self.rng.random_range(SILENCE_DURATION),
            Fault::Pause(_) => self.rng.random_range(PAUSE_DURATION),
            Fault::Reload(_, reloads) => reloads.duration(),
            Fault::DeparturesInPauses { pauses, pause, .. } => {
                f64::from(*pauses) * (pause + DEPARTURE_INTERVAL)
            }
            Fault::PauseInSilence { pause, .. } => SILENCE_BEFORE_PAUSE + pause + SILENCE_AFTER_PAUSE,
            _ => self.rng.random_range(FAULT_DURATION),
        };
        self.add_with_duration(from, duration, fault)
    }

    fn add_with_duration(&mut self, from: f64, duration: f64, fault: Fault) -> Option<f64> {
        let to = from + duration;
        let is_drain = matches!(fault, Fault::ReplaceEngine(_) | Fault::PauseInSilence { .. });
        // Drains may end after all other faults, as they last longer.
        let latest = if is_drain { self.seconds + DRAIN_IN_SILENCE_DURATION.end } else { self.seconds };
        let overlaps = |planned: &&PlannedFault| planned.to + MIN_GAP > from && planned.from < to + MIN_GAP;
        let mut overlapping = self.planned.iter().filter(overlaps);
        let is_excluded = overlapping.any(|planned| excludes(&planned.fault, &fault));
        let draining = self.planned.iter().filter(overlaps);
        let draining = draining.filter(|planned| matches!(planned.fault, Fault::ReplaceEngine(_)));
        let has_max_draining = is_drain && draining.count() >= MAX_DRAINING;
        if is_excluded || has_max_draining || to >= latest {
            return None;
        }
        self.planned.push(PlannedFault { from, to, fault });
        Some(to)
    }
}

/// Draws the system-call faults of one process, in the format that the library of `crates/fault-injection` reads.
pub(super) fn system_call_faults(seed: u64) -> String {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut plan = format!("seed={}", rng.random_range(1..1_000_000));
    let mut draw_entry = |name: &str, values: &[&str]| {
        if rng.random_range(0..3) == 0 {
            plan += &format!(",{name}={}", values[rng.random_range(0..values.len())]);
        }
    };
    draw_entry("interrupt", &["0.003", "0.03", "0.2"]);
    draw_entry("short", &["0.02", "0.2"]);
    draw_entry("accept", &["0.3", "0.7"]);
    draw_entry("socket", &["0.1", "0.4"]);
    draw_entry("connect", &["0.1", "0.4"]);
    draw_entry("log", &["1"]);
    draw_entry("disk", &["0.3", "1"]);
    draw_entry("torn", &["0.2"]);
    draw_entry("wall_step_ms", &["-3600000", "3600000", "-5000", "5000"]);
    plan
}

#[cfg(test)]
mod tests;
