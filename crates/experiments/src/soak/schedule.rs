//! The faults of a run, and when they begin and end: drawn from the seed, several of them at a time.

mod fault;

use super::run::BUSY_EVERY;
use fault::excludes;
pub(super) use fault::{Fault, PlannedFault, ReloadKind, Reloads, SignalSeries};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::ops::Range;

/// When the first fault begins, so that gateways know something by then.
const FIRST_FAULT: f64 = 1.5;
/// How long a fault lasts, in seconds.
const DURATION: Range<f64> = 0.3..2.5;
/// How long a name service is silent ...
const SILENCE: Range<f64> = 0.5..5.0;
/// ... and, with this probability, how long otherwise: until every change counts as propagated, and longer.
const LONG_SILENCE: Range<f64> = 9.5..11.0;
const LONG_SILENCE_PROBABILITY: f64 = 0.3;
/// How long a process is paused: up to longer than the lease on its list.
const PAUSE: Range<f64> = 0.3..6.0;
/// How long an engine drains: well longer than until the rule on drains applies.
const DRAIN: Range<f64> = 6.0..8.0;
/// How long one drains that begins to in a long silence: until the drain counts as propagated in any case, and longer.
const DRAIN_IN_SILENCE: Range<f64> = 11.0..13.0;
/// The time from the beginning of a fault to that of the next, on average well under the duration of a fault.
const FAULT_INTERVAL: Range<f64> = 0.05..0.5;
/// The probability that a second fault of the same gateway overlaps one.
const COMPANION_PROBABILITY: f64 = 0.5;
/// How much later the second begins.
const COMPANION_DELAY: Range<f64> = 0.0..0.8;
/// The probability that an engine begins to drain around the end, or soon after the beginning, of a fault of the name service
/// or a pause ...
const DRAIN_PROBABILITY: f64 = 0.7;
/// ... and how much later.
const DRAIN_DELAY: Range<f64> = -0.3..0.4;
/// The signals of a series, and the seconds between them: close together, or apart.
const SERIES_RELOADS: Range<u32> = 0..4;
const SERIES_TERMINATIONS: Range<u32> = 1..5;
const CLOSE_INTERVAL: Range<f64> = 0.001..0.03;
const WIDE_INTERVAL: Range<f64> = 0.1..0.5;
/// Pauses in which clients leave: how many, and the seconds of each.
const DEPARTURE_PAUSES: Range<u32> = 3..9;
const DEPARTURE_PAUSE: Range<f64> = 0.15..0.5;
/// The seconds between two such pauses.
pub(super) const DEPARTURE_INTERVAL: f64 = 0.4;
/// The seconds of a pause within a silence: longer than a change needs to count as propagated.
const PAUSE_IN_SILENCE: Range<f64> = 2.3..5.0;
/// The seconds of silence after it.
pub(super) const SILENCE_AFTER_PAUSE: f64 = 5.0;
/// The seconds of silence before it.
pub(super) const SILENCE_BEFORE_PAUSE: f64 = 1.0;
/// The pauses with departures that every run has, and the seconds of each.
const CERTAIN_DEPARTURE_PAUSES: Range<u32> = 3..5;
const CERTAIN_DEPARTURE_PAUSE: Range<f64> = 0.2..0.35;
/// The seconds in which every run resets connections of an engine.
const CERTAIN_RESETS: Range<f64> = 2.0..3.0;
/// The seconds of the overload of all engines that every run has.
const CERTAIN_OVERLOAD: Range<f64> = 1.5..2.5;
/// The probability that a run has a crowd at all gateways.
const CROWD_PROBABILITY: f64 = 0.2;
/// What the seed of a run is combined with to draw whether it has a crowd.
const CROWD_SEED: u64 = 0x0063_726f_7764;
/// The time between two faults that exclude one another.
const MIN_GAP: f64 = 0.2;
/// The engines that drain at once.
const MAX_DRAINING: usize = 3;

/// Draws the schedule of a run. Faults that exclude one another do not overlap.
pub(super) fn draw(seed: u64, gateways: usize, engines: usize, seconds: f64) -> Vec<PlannedFault> {
    let mut schedule =
        Schedule { rng: Pcg64Mcg::seed_from_u64(seed), planned: Vec::new(), gateways, engines, seconds };
    schedule.add_certain_faults();
    let mut at = FIRST_FAULT;
    while at < seconds {
        schedule.add_drawn(at);
        at += schedule.rng.random_range(FAULT_INTERVAL);
    }
    schedule.planned
}

/// Whether the run with that seed has a crowd of idle connections at all gateways.
pub(super) fn has_crowd(seed: u64) -> bool {
    Pcg64Mcg::seed_from_u64(seed ^ CROWD_SEED).random_bool(CROWD_PROBABILITY)
}

struct Schedule {
    rng: Pcg64Mcg,
    planned: Vec<PlannedFault>,
    gateways: usize,
    engines: usize,
    seconds: f64,
}

/// The weights of faults of gateways, of the name service, and of engines and clients.
const GATEWAY_WEIGHT: u32 = 11;
const DISCOVERY_WEIGHT: u32 = 8;
const OTHER_WEIGHT: u32 = 15;

impl Schedule {
    /// Adds a fault that begins at a time, and faults that go with it.
    fn add_drawn(&mut self, at: f64) {
        let kind = self.rng.random_range(0..GATEWAY_WEIGHT + DISCOVERY_WEIGHT + OTHER_WEIGHT);
        let gateway = self.rng.random_range(0..self.gateways);
        if kind < GATEWAY_WEIGHT {
            self.add_of_gateway(at, kind, gateway);
        } else if kind < GATEWAY_WEIGHT + DISCOVERY_WEIGHT {
            self.add_of_discovery(at, kind - GATEWAY_WEIGHT, gateway);
        } else {
            let fault = self.other(kind - GATEWAY_WEIGHT - DISCOVERY_WEIGHT);
            self.add(at, fault);
        }
    }

    fn add_of_gateway(&mut self, at: f64, kind: u32, gateway: usize) {
        let fault = self.of_gateway(kind, gateway);
        let is_pause = matches!(fault, Fault::Pause(_));
        if self.add(at, fault).is_some() && is_pause {
            self.add_drain(at + COMPANION_DELAY.end, DRAIN);
        }
        if self.rng.random_range(0.0..1.0) < COMPANION_PROBABILITY {
            let delay = self.rng.random_range(COMPANION_DELAY);
            let kind = self.rng.random_range(0..GATEWAY_WEIGHT);
            let companion = self.of_gateway(kind, gateway);
            self.add(at + delay, companion);
        }
    }

    fn add_of_discovery(&mut self, at: f64, kind: u32, gateway: usize) {
        let fault = self.of_discovery(kind, gateway);
        let Some(ended) = self.add(at, fault) else { return };
        match ended - at > LONG_SILENCE.start {
            true => self.add_drain(at + COMPANION_DELAY.end, DRAIN_IN_SILENCE),
            false => self.add_drain(ended, DRAIN),
        }
    }

    /// Adds, with some probability, an engine that begins to drain at about that time.
    fn add_drain(&mut self, at: f64, duration: Range<f64>) {
        let (delay, engine) = (self.rng.random_range(DRAIN_DELAY), self.rng.random_range(0..self.engines));
        if self.rng.random_range(0.0..1.0) < DRAIN_PROBABILITY {
            let duration = self.rng.random_range(duration);
            self.add_with_duration(at + delay, duration, Fault::ReplaceEngine(engine));
        }
    }

    fn of_gateway(&mut self, kind: u32, gateway: usize) -> Fault {
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
        let is_close = self.rng.random_bool(0.5);
        SignalSeries {
            reloads: self.rng.random_range(SERIES_RELOADS),
            terminations: self.rng.random_range(SERIES_TERMINATIONS),
            interval: self.rng.random_range(if is_close { CLOSE_INTERVAL } else { WIDE_INTERVAL }),
        }
    }

    /// Adds the faults that every run has, however short it is: each shows a guard that would seldom be seen to be missing.
    fn add_certain_faults(&mut self) {
        let engine = self.rng.random_range(0..self.engines);
        let fault = Fault::PauseInSilence {
            gateway: self.idle_gateway(),
            engine,
            pause: self.rng.random_range(PAUSE_IN_SILENCE),
        };
        let at = FIRST_FAULT + self.rng.random_range(COMPANION_DELAY);
        self.add(at, fault);
        let departures = Fault::DeparturesInPauses {
            gateway: 0,
            pauses: self.rng.random_range(CERTAIN_DEPARTURE_PAUSES),
            pause: self.rng.random_range(CERTAIN_DEPARTURE_PAUSE),
        };
        let at = FIRST_FAULT + self.rng.random_range(COMPANION_DELAY);
        self.add(at, departures);
        let reset = Fault::ResetConnections((engine + 1) % self.engines);
        let duration = self.rng.random_range(CERTAIN_RESETS);
        self.add_with_duration(FIRST_FAULT, duration, reset);
        let latest = (self.seconds - CERTAIN_OVERLOAD.end).max(FIRST_FAULT + COMPANION_DELAY.end);
        let at = self.rng.random_range(FIRST_FAULT..latest).max(FIRST_FAULT + duration + 2.0 * MIN_GAP);
        let duration = self.rng.random_range(CERTAIN_OVERLOAD).min(self.seconds - at - MIN_GAP);
        self.add_with_duration(at, duration, Fault::OverloadAllEngines);
    }

    /// A gateway in which no requests wait, if there is one.
    fn idle_gateway(&mut self) -> usize {
        let gateway = self.rng.random_range(0..self.gateways);
        if gateway.is_multiple_of(BUSY_EVERY) && gateway + 1 < self.gateways {
            gateway + 1
        } else {
            gateway
        }
    }

    /// Departures at the busy gateway that is at or before that one.
    fn departures(&mut self, gateway: usize) -> Fault {
        Fault::DeparturesInPauses {
            gateway: gateway - gateway % BUSY_EVERY,
            pauses: self.rng.random_range(DEPARTURE_PAUSES),
            pause: self.rng.random_range(DEPARTURE_PAUSE),
        }
    }

    fn of_discovery(&mut self, kind: u32, gateway: usize) -> Fault {
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

    fn other(&mut self, kind: u32) -> Fault {
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

    /// Adds a fault, unless it overlaps one that excludes it or would last too long. Returns when it ends.
    fn add(&mut self, from: f64, fault: Fault) -> Option<f64> {
        let duration = match &fault {
            Fault::ReplaceEngine(_) => self.rng.random_range(DRAIN),
            Fault::SilentNameService if self.rng.random_range(0.0..1.0) < LONG_SILENCE_PROBABILITY => {
                self.rng.random_range(LONG_SILENCE)
            }
            Fault::SilentNameService => self.rng.random_range(SILENCE),
            Fault::Pause(_) => self.rng.random_range(PAUSE),
            Fault::Reload(_, reloads) => reloads.duration(),
            Fault::DeparturesInPauses { pauses, pause, .. } => {
                f64::from(*pauses) * (pause + DEPARTURE_INTERVAL)
            }
            Fault::PauseInSilence { pause, .. } => SILENCE_BEFORE_PAUSE + pause + SILENCE_AFTER_PAUSE,
            _ => self.rng.random_range(DURATION),
        };
        self.add_with_duration(from, duration, fault)
    }

    fn add_with_duration(&mut self, from: f64, duration: f64, fault: Fault) -> Option<f64> {
        let to = from + duration;
        let is_drain = matches!(fault, Fault::ReplaceEngine(_) | Fault::PauseInSilence { .. });
        // Draining engines outlast the other faults.
        let latest = if is_drain { self.seconds + DRAIN_IN_SILENCE.end } else { self.seconds };
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

/// The faults of system calls of one process, as the library of `crates/fault-injection` reads them.
pub(super) fn system_call_faults(seed: u64) -> String {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut plan = format!("seed={}", rng.random_range(1..1_000_000));
    let mut may = |name: &str, values: &[&str]| {
        if rng.random_range(0..3) == 0 {
            plan += &format!(",{name}={}", values[rng.random_range(0..values.len())]);
        }
    };
    may("interrupt", &["0.003", "0.03", "0.2"]);
    may("short", &["0.02", "0.2"]);
    may("accept", &["0.3", "0.7"]);
    may("socket", &["0.1", "0.4"]);
    may("connect", &["0.1", "0.4"]);
    may("log", &["1"]);
    may("disk", &["0.3", "1"]);
    may("torn", &["0.2"]);
    may("wall_step_ms", &["-3600000", "3600000", "-5000", "5000"]);
    plan
}

#[cfg(test)]
mod tests;
