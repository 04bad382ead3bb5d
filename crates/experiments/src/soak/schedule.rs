//! Which troubles a play has, and when: drawn from the seed, several of them at a time.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::ops::Range;

/// SIGHUPs in a row.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Reloads {
    /// How many.
    pub times: u32,
    /// Seconds from one to the next.
    pub gap: f64,
    /// What is new in the file.
    pub kind: ReloadKind,
}

/// What is new in a configuration that is read again.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub enum ReloadKind {
    /// Nothing.
    Unchanged,
    /// The service is at its other address, where it answers; the former one answers on.
    BetweenGood,
    /// The service is at its other address, and the former one is gone; the new one answers only so many seconds later.
    ToSilent(f64),
}

/// One trouble. Gateways and engines are meant by their numbers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Trouble {
    /// A gateway is told to end: so many SIGHUPs before and SIGTERMs in all, close together; SIGKILL comes as early as it may.
    Restart {
        /// Which.
        gateway: usize,
        /// SIGHUPs before it.
        reloads: u32,
        /// SIGTERMs.
        terminations: u32,
    },
    /// A new process is started beside it and takes over.
    Upgrade(usize),
    /// It is killed and started again.
    Kill(usize),
    /// It is stopped for the time of the trouble.
    Stop(usize),
    /// It reads its configuration again.
    Reload(usize, Reloads),
    /// System calls of a gateway fail as it was drawn for its start.
    SystemCalls(usize),
    /// Clients that say nothing fill its descriptors.
    Crowd(usize),
    /// The name service takes so many seconds to answer a gateway.
    ListLate(usize, f64),
    /// This share of its answers is lost, cut, failed, older, or under another id.
    ListLossy(usize, f64),
    /// The flows that the gateway has used until now are dead.
    FlowsDie(usize),
    /// The name service answers nobody.
    SilentList,
    /// An engine drains and stays up for the time of the trouble, then goes; another joins in its place, cold.
    Replace(usize),
    /// It is gone at once, with all its connections, and comes back cold.
    Crash(usize),
    /// Half of the engines are gone at once, and come back cold together.
    CrashMany,
    /// It answers nothing.
    Hang(usize),
    /// It turns everything away.
    Overload(usize),
    /// All engines turn everything away.
    OverloadAll,
    /// It resets its connections, again and again.
    Reset(usize),
    /// It closes each connection as soon as nothing is open on it.
    CloseIdle(usize),
    /// Clients cancel and leave far more often.
    Leaving,
}

/// A trouble with its time, in seconds since the play began.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Planned {
    /// It begins.
    pub from: f64,
    /// It ends.
    pub to: f64,
    /// What it is.
    pub trouble: Trouble,
}

/// The first trouble begins after this, so that something is known by then.
const QUIET: f64 = 1.5;
/// A trouble lasts so long, in seconds.
const LASTS: Range<f64> = 0.3..2.5;
/// A name service is silent for so long ...
const SILENT: Range<f64> = 0.5..5.0;
/// ... or, now and then, for longer than until everything counts as told.
const LONG_SILENT: Range<f64> = 9.5..11.0;
const LONG_SILENCES: f64 = 0.3;
/// A process is stopped for up to longer than its list may be relied on.
const STOPPED: Range<f64> = 0.3..6.0;
/// An engine drains for so long: longer than from its first moment to the end of the rule, and a good deal more.
const DRAINS: Range<f64> = 6.0..8.0;
/// ... one that begins to in a silence: longer than until it counts as told by all means.
const DRAINS_IN_SILENCE: Range<f64> = 11.0..13.0;
/// From the begin of one to the begin of the next, on average well under the time that one lasts.
const GAP: Range<f64> = 0.05..0.5;
/// Troubles of gateways that a second one of the same gateway overlaps.
const COMPANIONS: f64 = 0.5;
/// The second begins so much later.
const COMPANION_AFTER: Range<f64> = 0.0..0.8;
/// Troubles of the name service, and stops, at whose end an engine begins to drain, or soon after whose begin ...
const DRAINS_AT_END: f64 = 0.7;
/// ... so much later.
const DRAIN_AFTER: Range<f64> = -0.3..0.4;
/// Engines that drain at once at most, as a share of all.
const DRAINING: usize = 3;

/// The schedule of a play. Troubles of one gateway or engine don't begin before its last one has ended.
pub fn draw(seed: u64, gateways: usize, engines: usize, seconds: f64) -> Vec<Planned> {
    let mut schedule =
        Schedule { rng: Pcg64Mcg::seed_from_u64(seed), planned: Vec::new(), gateways, engines, seconds };
    let mut at = QUIET;
    while at < seconds {
        schedule.add_some(at);
        at += schedule.rng.random_range(GAP);
    }
    schedule.planned
}

struct Schedule {
    rng: Pcg64Mcg,
    planned: Vec<Planned>,
    gateways: usize,
    engines: usize,
    seconds: f64,
}

/// Kinds of troubles of gateways, of the name service, and all, by number.
const GATEWAY_KINDS: u32 = 9;
const DISCOVERY_KINDS: u32 = 8;
const OTHER_KINDS: u32 = 15;

impl Schedule {
    /// A trouble that begins now, and what may go with it.
    fn add_some(&mut self, at: f64) {
        let kind = self.rng.random_range(0..GATEWAY_KINDS + DISCOVERY_KINDS + OTHER_KINDS);
        let gateway = self.rng.random_range(0..self.gateways);
        if kind < GATEWAY_KINDS {
            let trouble = self.of_gateway(kind, gateway);
            let is_stop = matches!(trouble, Trouble::Stop(_));
            if self.add(at, trouble).is_some() && is_stop {
                self.add_drain(at + COMPANION_AFTER.end, DRAINS);
            }
            if self.rng.random_range(0.0..1.0) < COMPANIONS {
                let (after, kind) =
                    (self.rng.random_range(COMPANION_AFTER), self.rng.random_range(0..GATEWAY_KINDS));
                let companion = self.of_gateway(kind, gateway);
                self.add(at + after, companion);
            }
        } else if kind < GATEWAY_KINDS + DISCOVERY_KINDS {
            let trouble = self.of_discovery(kind - GATEWAY_KINDS, gateway);
            if let Some(ended) = self.add(at, trouble) {
                match ended - at > LONG_SILENT.start {
                    true => self.add_drain(at + COMPANION_AFTER.end, DRAINS_IN_SILENCE),
                    false => self.add_drain(ended, DRAINS),
                }
            }
        } else {
            let trouble = self.other(kind - GATEWAY_KINDS - DISCOVERY_KINDS);
            self.add(at, trouble);
        }
    }

    /// An engine that begins to drain at about that time, as a rule.
    fn add_drain(&mut self, at: f64, lasts: Range<f64>) {
        let (after, engine) = (self.rng.random_range(DRAIN_AFTER), self.rng.random_range(0..self.engines));
        if self.rng.random_range(0.0..1.0) < DRAINS_AT_END {
            let lasts = self.rng.random_range(lasts);
            self.add_for(at + after, lasts, Trouble::Replace(engine));
        }
    }

    fn of_gateway(&mut self, kind: u32, gateway: usize) -> Trouble {
        match kind {
            0 | 1 => Trouble::Restart {
                gateway,
                reloads: self.rng.random_range(0..3),
                terminations: self.rng.random_range(1..3),
            },
            2 => Trouble::Kill(gateway),
            3 | 4 => Trouble::Stop(gateway),
            5 => Trouble::Upgrade(gateway),
            6 => Trouble::Crowd(gateway),
            _ => Trouble::SystemCalls(gateway),
        }
    }

    fn of_discovery(&mut self, kind: u32, gateway: usize) -> Trouble {
        match kind {
            0 | 1 => Trouble::ListLate(gateway, self.rng.random_range(0.2..3.0)),
            2 => Trouble::ListLossy(gateway, self.rng.random_range(0.2..0.5)),
            3 => Trouble::FlowsDie(gateway),
            4 => Trouble::SilentList,
            _ => Trouble::Reload(gateway, self.reloads()),
        }
    }

    fn reloads(&mut self) -> Reloads {
        let (times, gap) = (self.rng.random_range(1..12), self.rng.random_range(0.01..0.3));
        match self.rng.random_range(0..4) {
            0 => Reloads { times, gap, kind: ReloadKind::Unchanged },
            1 => Reloads { times, gap, kind: ReloadKind::BetweenGood },
            _ => Reloads { times: 1, gap, kind: ReloadKind::ToSilent(self.rng.random_range(0.0..3.0)) },
        }
    }

    fn other(&mut self, kind: u32) -> Trouble {
        let engine = self.rng.random_range(0..self.engines);
        match kind {
            0 | 1 => Trouble::Replace(engine),
            2 | 3 => Trouble::Crash(engine),
            4 => Trouble::CrashMany,
            5 => Trouble::Hang(engine),
            6..9 => Trouble::OverloadAll,
            9 => Trouble::Overload(engine),
            10..13 => Trouble::Reset(engine),
            13 => Trouble::CloseIdle(engine),
            _ => Trouble::Leaving,
        }
    }

    /// Adds a trouble, unless its place has one already or it would last too long. When it ends.
    fn add(&mut self, from: f64, trouble: Trouble) -> Option<f64> {
        let lasts = match &trouble {
            Trouble::Replace(_) => self.rng.random_range(DRAINS),
            Trouble::SilentList if self.rng.random_range(0.0..1.0) < LONG_SILENCES => {
                self.rng.random_range(LONG_SILENT)
            }
            Trouble::SilentList => self.rng.random_range(SILENT),
            Trouble::Stop(_) => self.rng.random_range(STOPPED),
            Trouble::Reload(_, reloads) => reloads.lasts(),
            _ => self.rng.random_range(LASTS),
        };
        self.add_for(from, lasts, trouble)
    }

    fn add_for(&mut self, from: f64, lasts: f64, trouble: Trouble) -> Option<f64> {
        let to = from + lasts;
        let is_drain = matches!(trouble, Trouble::Replace(_));
        // Draining engines outlast the other troubles.
        let latest = if is_drain { self.seconds + DRAINS_IN_SILENCE.end } else { self.seconds };
        let meets = |p: &Planned| p.to + 0.2 > from && p.from < to + 0.2;
        let busy = self.planned.iter().any(|p| meets(p) && same_place(&p.trouble, &trouble));
        let drains = |p: &&Planned| meets(p) && matches!(p.trouble, Trouble::Replace(_));
        let crowded = is_drain && self.planned.iter().filter(drains).count() >= DRAINING;
        if busy || crowded || to >= latest {
            return None;
        }
        self.planned.push(Planned { from, to, trouble });
        Some(to)
    }
}

impl Reloads {
    /// Seconds from the first to when the service answers well.
    fn lasts(&self) -> f64 {
        let silent = match self.kind {
            ReloadKind::ToSilent(silent) => silent,
            _ => 0.0,
        };
        f64::from(self.times) * self.gap + silent
    }
}

/// Whether two troubles are of one engine, of the list or of the clients. Troubles of one gateway may meet, but for those that
/// end its process, and those of its name service.
fn same_place(a: &Trouble, b: &Trouble) -> bool {
    use Trouble::*;
    let engine = |t: &Trouble| match t {
        Replace(n) | Crash(n) | Hang(n) | Overload(n) | Reset(n) | CloseIdle(n) => Some(*n),
        _ => None,
    };
    let all_engines = |t: &Trouble| matches!(t, CrashMany | OverloadAll);
    let ends = |t: &Trouble| match t {
        Restart { gateway: n, .. } | Kill(n) | Upgrade(n) => Some(*n),
        _ => None,
    };
    let list = |t: &Trouble| match t {
        ListLate(n, _) | ListLossy(n, _) | FlowsDie(n) | Reload(n, _) => Some(*n),
        _ => None,
    };
    let same = |of: &dyn Fn(&Trouble) -> Option<usize>| of(a).is_some() && of(a) == of(b);
    match (a, b) {
        (SilentList, SilentList) | (Leaving, Leaving) => true,
        (SystemCalls(x), SystemCalls(y)) | (Stop(x), Stop(y)) | (Crowd(x), Crowd(y)) => x == y,
        // An engine that drains may be overloaded or restarted with the others.
        (Replace(_), _) | (_, Replace(_)) if all_engines(a) || all_engines(b) => false,
        _ if all_engines(a) => all_engines(b) || engine(b).is_some(),
        _ if all_engines(b) => engine(a).is_some(),
        _ => same(&engine) || same(&ends) || same(&list),
    }
}

/// The faults of system calls of one process, as the library of `crates/fault-injection` reads them.
pub fn system_call_faults(seed: u64) -> String {
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
