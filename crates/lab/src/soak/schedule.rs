//! Which troubles a play has, and when: drawn from the seed, two or three of them at a time.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// One trouble. Gateways and engines are meant by their numbers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Trouble {
    /// A gateway is told to end, and started again once it has.
    Restart(usize),
    /// A new process is started beside it and takes over.
    Upgrade(usize),
    /// It is killed and started again.
    Kill(usize),
    /// It is stopped for the time of the trouble.
    Stop(usize),
    /// It reads its configuration again, so many times in a row; the name service is at another address from then on.
    Reload(usize, u32),
    /// System calls of a gateway fail as it was drawn for its start.
    SystemCalls(usize),
    /// An engine drains, goes, and another comes in its place, cold.
    Replace(usize),
    /// It is gone at once, with all its connections, and comes back cold.
    Crash(usize),
    /// It answers nothing.
    Hang(usize),
    /// It turns everything away.
    Overload(usize),
    /// It resets its connections, again and again.
    Reset(usize),
    /// It closes each connection as soon as nothing is open on it.
    CloseIdle(usize),
    /// The name service answers nothing.
    SilentList,
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
const LASTS: std::ops::Range<f64> = 0.3..2.5;
/// From the begin of one to the begin of the next, on average well under the time that one lasts.
const GAP: std::ops::Range<f64> = 0.05..0.5;
/// Troubles of gateways that a second one of the same gateway overlaps.
const COMPANIONS: f64 = 0.5;
/// The second begins so much later.
const COMPANION_AFTER: std::ops::Range<f64> = 0.0..0.8;

/// The schedule of a play. Troubles of one gateway or engine don't begin before its last one has ended.
pub fn draw(seed: u64, gateways: usize, engines: usize, seconds: f64) -> Vec<Planned> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut at = QUIET;
    let mut planned: Vec<Planned> = Vec::new();
    while at < seconds {
        let trouble = one(&mut rng, gateways, engines);
        let gateway = gateway_of(&trouble);
        add(&mut planned, &mut rng, at, trouble, seconds);
        if let Some(gateway) = gateway.filter(|_| rng.random_range(0.0..1.0) < COMPANIONS) {
            let (after, kind) = (rng.random_range(COMPANION_AFTER), rng.random_range(0..GATEWAY_KINDS));
            let times = rng.random_range(1..4);
            add(&mut planned, &mut rng, at + after, of_gateway(kind, gateway, times), seconds);
        }
        at += rng.random_range(GAP);
    }
    planned
}

/// Adds a trouble, unless its place has one already or it would last too long.
fn add(planned: &mut Vec<Planned>, rng: &mut Pcg64Mcg, from: f64, trouble: Trouble, seconds: f64) {
    let to = from + rng.random_range(LASTS);
    let meets = |p: &Planned| p.to + 0.2 > from && p.from < to + 0.2;
    let busy = planned.iter().any(|p| meets(p) && same_place(&p.trouble, &trouble));
    if !busy && to < seconds {
        planned.push(Planned { from, to, trouble });
    }
}

fn gateway_of(trouble: &Trouble) -> Option<usize> {
    use Trouble::*;
    match trouble {
        Restart(n) | Upgrade(n) | Kill(n) | Stop(n) | Reload(n, _) | SystemCalls(n) => Some(*n),
        _ => None,
    }
}

/// Kinds of troubles of gateways, by number.
const GATEWAY_KINDS: u32 = 9;

fn of_gateway(kind: u32, gateway: usize, times: u32) -> Trouble {
    match kind {
        0 | 1 => Trouble::Restart(gateway),
        2 => Trouble::Kill(gateway),
        3 => Trouble::Stop(gateway),
        4 => Trouble::Upgrade(gateway),
        5 | 6 => Trouble::Reload(gateway, times),
        _ => Trouble::SystemCalls(gateway),
    }
}

fn one(rng: &mut Pcg64Mcg, gateways: usize, engines: usize) -> Trouble {
    let (gateway, engine) = (rng.random_range(0..gateways), rng.random_range(0..engines));
    match rng.random_range(0..GATEWAY_KINDS + 8) {
        kind @ 0..GATEWAY_KINDS => of_gateway(kind, gateway, rng.random_range(1..4)),
        9 => Trouble::Replace(engine),
        10 => Trouble::Crash(engine),
        11 => Trouble::Hang(engine),
        12 => Trouble::Overload(engine),
        13 => Trouble::Reset(engine),
        14 => Trouble::CloseIdle(engine),
        15 => Trouble::SilentList,
        _ => Trouble::Leaving,
    }
}

/// Whether two troubles are of one engine, of the list or of the clients. Troubles of one gateway may meet, but for those that
/// end its process.
fn same_place(a: &Trouble, b: &Trouble) -> bool {
    use Trouble::*;
    let engine = |t: &Trouble| match t {
        Replace(n) | Crash(n) | Hang(n) | Overload(n) | Reset(n) | CloseIdle(n) => Some(*n),
        _ => None,
    };
    let ends = |t: &Trouble| match t {
        Restart(n) | Kill(n) | Upgrade(n) => Some(*n),
        _ => None,
    };
    match (a, b) {
        (SilentList, SilentList) | (Leaving, Leaving) => true,
        (SystemCalls(x), SystemCalls(y)) | (Stop(x), Stop(y)) => x == y,
        _ => engine(a).is_some() && engine(a) == engine(b) || ends(a).is_some() && ends(a) == ends(b),
    }
}

/// The faults of system calls of one process, as the library of `crates/faults` reads them.
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
