//! What old knowledge is still worth. Pure: a snapshot, the list and the time go in, the module's records come out.
//!
//! Every kind of knowledge loses half its worth in its own time: latencies change with engines and data, loads with
//! the minute. What a process knew by being warm can't be told from its id: one that the gateway has not heard of
//! for longer than a restart takes, that started anew, or that the snapshot does not know, is *perhaps cold*.

use crate::snapshot_records::{Engine, Snapshot};
use starlingplank_decision::interface::Milliseconds;
use starlingplank_decision::learned::{EngineLearned, Learned};
use std::collections::{BTreeMap, BTreeSet};

/// Half of what was seen of a class's latencies is gone after this: ten minutes.
pub const LATENCY_HALF: Milliseconds = 600_000.0;
/// Of arrivals, shares of traffic and the fleet's load: ten seconds, as the module's own sums forget.
pub const TRAFFIC_HALF: Milliseconds = 10_000.0;
/// Of an engine's slowness and errors: a minute.
pub const HEALTH_HALF: Milliseconds = 60_000.0;
/// Of what others run on an engine: three seconds.
pub const LOAD_HALF: Milliseconds = 3_000.0;
/// Of the shortest probe to a zone: an hour; ways change seldom.
pub const WAY_HALF: Milliseconds = 3_600_000.0;
/// A clock may be set back by so little without a word.
pub const CLOCK_SLACK: Milliseconds = 500.0;

/// What an operator settles.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// An engine cannot stop and be back within less.
    pub restart_within: Milliseconds,
    /// A snapshot older than this counts as nothing.
    pub keep_for: Milliseconds,
    /// Engines that the list does not name are kept so long for it to name them.
    pub list_wait: Milliseconds,
    /// A cold engine's budget is counted over this.
    pub overload_collapse_after: Milliseconds,
}

/// What holds where an operator says nothing.
pub const DEFAULT: Rules = Rules {
    restart_within: 3_000.0,
    keep_for: 3_600_000.0,
    list_wait: 60_000.0,
    overload_collapse_after: 2_000.0,
};

/// An engine as the list names it now.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointIdentity {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: String,
    /// When its process started, where told.
    pub started: Option<Milliseconds>,
}

/// Why an engine is perhaps cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Uncertainty {
    /// It is the process that was known, heard of lately: none.
    None,
    /// It was not heard of for longer than a restart takes.
    Unheard,
    /// Its start time is another.
    StartedAnew,
    /// Its id is unknown.
    Unknown,
    /// It was cold when last seen, and the list tells of no start.
    WasCold,
}

/// Why a snapshot counts as nothing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RejectedSnapshot {
    /// It was taken in what is the future now: the clock was set back.
    FromTheFuture(Milliseconds),
    /// It is this old.
    TooOld(Milliseconds),
    /// Its time is none.
    NoTime,
}

impl std::fmt::Display for RejectedSnapshot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RejectedSnapshot::FromTheFuture(by) => {
                write!(f, "it was taken {:.1} s in the future: the clock was set back", by / 1000.0)
            }
            RejectedSnapshot::TooOld(age) => write!(f, "it is {:.0} s old", age / 1000.0),
            RejectedSnapshot::NoTime => write!(f, "its time is none"),
        }
    }
}

/// The share of its worth that knowledge keeps after so long.
pub fn worth(age: Milliseconds, half: Milliseconds) -> f64 {
    if age.is_finite() {
        0.5_f64.powf(age.max(0.0) / half)
    } else {
        0.0
    }
}

/// Whether a snapshot counts at all, and how old it is.
///
/// # Errors
/// It is from the future, too old, or has no time.
pub fn age(snapshot: &Snapshot, now: Milliseconds, rules: &Rules) -> Result<Milliseconds, RejectedSnapshot> {
    let age = now - snapshot.taken;
    match age {
        _ if !age.is_finite() => Err(RejectedSnapshot::NoTime),
        _ if age < -CLOCK_SLACK => Err(RejectedSnapshot::FromTheFuture(-age)),
        _ if age > rules.keep_for => Err(RejectedSnapshot::TooOld(age)),
        _ => Ok(age.max(0.0)),
    }
}

/// Whether an engine is the process that was known.
pub fn doubt(
    known: Option<&Engine>,
    named: &EndpointIdentity,
    now: Milliseconds,
    rules: &Rules,
) -> Uncertainty {
    let Some(known) = known else { return Uncertainty::Unknown };
    if named.started.is_some() && named.started != known.started {
        return Uncertainty::StartedAnew;
    }
    if known.cold && named.started.is_none() {
        return Uncertainty::WasCold;
    }
    match known.confirmed {
        Some(at) if now - at <= rules.restart_within && now - at >= -CLOCK_SLACK => Uncertainty::None,
        _ => Uncertainty::Unheard,
    }
}

/// What is kept of a class, aged.
fn classes(snapshot: &Snapshot, now: Milliseconds, out: &mut Learned) {
    for c in &mut out.classes {
        let age = now - c.confirmed.unwrap_or(snapshot.taken);
        let (latency, traffic) = (worth(age, LATENCY_HALF), worth(now - snapshot.taken, TRAFFIC_HALF));
        c.bands.iter_mut().for_each(|b| b.n *= latency);
        // The fewer steps stand behind the best, the faster the module learns another.
        c.steps = (c.steps * latency).floor().max(f64::from(u8::from(c.steps >= 1.0)));
        c.arrivals *= traffic;
        c.runtime *= traffic;
        c.confirmed = None;
    }
}

fn fleet(age: Milliseconds, out: &mut Learned) {
    let (traffic, load) = (worth(age, TRAFFIC_HALF), worth(age, LOAD_HALF));
    let f = &mut out.fleet;
    f.own_seen *= traffic;
    f.all_seen *= traffic;
    f.usual_load *= load;
    f.jammed *= load;
    f.usual_slow = 1.0 + (f.usual_slow - 1.0) * worth(age, HEALTH_HALF);
    f.speed = 1.0 + (f.speed - 1.0) * worth(age, HEALTH_HALF);
    if worth(age, WAY_HALF) < 0.5 {
        f.floors.clear();
    }
}

/// What is kept of an engine.
pub fn engine(
    known: Option<&Engine>,
    named: &EndpointIdentity,
    taken: Milliseconds,
    now: Milliseconds,
    rules: &Rules,
) -> EngineLearned {
    let doubt = doubt(known, named, now, rules);
    let cold = doubt != Uncertainty::None;
    let fresh =
        EngineLearned { id: named.id.clone(), slow: 1.0, perhaps_cold: cold, ..EngineLearned::default() };
    let Some(known) = known.filter(|_| !matches!(doubt, Uncertainty::StartedAnew | Uncertainty::Unknown))
    else {
        return fresh;
    };
    let seen = known.confirmed.unwrap_or(taken);
    let health = worth(now - seen, HEALTH_HALF);
    // What was left of a cold engine's budget is not known to the last moment.
    let spent =
        known.cold && now - seen.max(taken) <= rules.overload_collapse_after.max(rules.restart_within);
    EngineLearned {
        slow: 1.0 + (known.slow - 1.0) * health,
        errors: known.errors * health,
        others: known.others * worth(now - known.heard.unwrap_or(taken), LOAD_HALF),
        heard: known.heard,
        // One whose ejection has ended meanwhile gets its trial first.
        ejected: known.ejected.filter(|_| health > 0.1),
        ejections: if health > 0.1 { known.ejections } else { 0 },
        back: known.back,
        lost: known.lost.filter(|_| !cold),
        cold: known.cold,
        spent,
        ..fresh
    }
}

/// Knowledge of an earlier life, until the list has named its engines or the time for that is over.
#[derive(Debug)]
pub struct RestoredState {
    rules: Rules,
    taken: Milliseconds,
    fleet: Option<Learned>,
    known: BTreeMap<String, Engine>,
    /// Engines that were given back already.
    given: BTreeSet<String>,
    until: Option<Milliseconds>,
}

impl RestoredState {
    /// A snapshot that counts.
    ///
    /// # Errors
    /// It does not.
    pub fn new(snapshot: &Snapshot, now: Milliseconds, rules: Rules) -> Result<Self, RejectedSnapshot> {
        let age = age(snapshot, now, &rules)?;
        let mut learned = snapshot.learned();
        learned.engines.clear();
        classes(snapshot, now, &mut learned);
        fleet(age, &mut learned);
        let known = snapshot.engines.iter().map(|e| (e.id.clone(), e.clone())).collect();
        let (fleet, given, until) = (Some(learned), BTreeSet::new(), None);
        Ok(Self { rules, taken: snapshot.taken, fleet, known, given, until })
    }

    /// The list names these engines: what there is to give back of them, if anything. An engine is given back once;
    /// one that is new to a list later than the wait is the module's own to know.
    pub fn list(&mut self, named: &[EndpointIdentity], now: Milliseconds) -> Option<Learned> {
        if named.is_empty() {
            return None;
        }
        let until = *self.until.get_or_insert(now + self.rules.list_wait);
        if now > until {
            self.known.clear();
            return None;
        }
        let fresh: Vec<_> = named.iter().filter(|n| !self.given.contains(&n.id)).collect();
        if fresh.is_empty() && self.fleet.is_none() {
            return None;
        }
        let engines: Vec<_> =
            fresh.iter().map(|n| engine(self.known.get(&n.id), n, self.taken, now, &self.rules)).collect();
        for n in fresh {
            self.given.insert(n.id.clone());
            self.known.remove(&n.id);
        }
        Some(Learned { engines, ..self.fleet.take().unwrap_or_default() })
    }

    /// Engines that the list has not named yet.
    pub fn waiting(&self) -> usize {
        self.known.len()
    }

    /// Whether nothing more can be given back.
    pub fn over(&self, now: Milliseconds) -> bool {
        self.until.is_some_and(|until| now > until)
    }
}
