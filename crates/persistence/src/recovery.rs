//! What old knowledge is still good for. Pure: a snapshot, the endpoint list and the time go in, the decision module's
//! records come out.
//!
//! Each kind of knowledge loses half its weight in its own time: latencies change with engines and data, loads by the
//! minute. Whether a process is warm cannot be told from its id: an engine that the gateway has not heard from for
//! longer than a restart takes, that restarted, or that the snapshot does not know, is *perhaps in slow start*.

use crate::snapshot_records::{Snapshot, StoredEngine};
use starlingplank_decision::interface::Milliseconds;
use starlingplank_decision::learned::{LearnedEngine, LearnedFleet, LearnedState};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Half-life of a class's latencies: ten minutes.
pub const LATENCY_HALF_LIFE: Milliseconds = 600_000.0;
/// Half-life of arrivals, traffic and the fleet's threads: ten seconds, as in the decision module's own sums.
pub const TRAFFIC_HALF_LIFE: Milliseconds = 10_000.0;
/// Half-life of an engine's slowness and errors: a minute.
pub const HEALTH_HALF_LIFE: Milliseconds = 60_000.0;
/// Half-life of what other gateways run on an engine: three seconds.
pub const LOAD_HALF_LIFE: Milliseconds = 3_000.0;
/// Half-life of the shortest health check to a zone: an hour, as network paths change seldom.
pub const NETWORK_HALF_LIFE: Milliseconds = 3_600_000.0;
/// How far a snapshot may lie in the future before the clock counts as set back.
pub const CLOCK_TOLERANCE: Milliseconds = 500.0;
/// Ejections are forgotten once an engine's health has kept no more than this of its weight.
const EJECTION_MIN_WEIGHT: f64 = 0.1;
/// Network paths are forgotten once they have kept less than this of their weight.
const NETWORK_MIN_WEIGHT: f64 = 0.5;

/// What an operator configures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecoverySettings {
    /// An engine cannot stop and be back in less time.
    pub min_restart_time: Milliseconds,
    /// An older snapshot is rejected.
    pub max_snapshot_age: Milliseconds,
    /// How long engines that the list does not name are kept for it to name them.
    pub unlisted_retention: Milliseconds,
    /// The budget of an engine in slow start is counted over this time.
    pub overload_collapse_after: Milliseconds,
}

/// The rules where an operator configures none.
pub const DEFAULT: RecoverySettings = RecoverySettings {
    min_restart_time: 3_000.0,
    max_snapshot_age: 3_600_000.0,
    unlisted_retention: 60_000.0,
    overload_collapse_after: 2_000.0,
};

/// An engine as the endpoint list names it now.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointIdentity {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: String,
    /// When its process started, if the list tells.
    pub started: Option<Milliseconds>,
}

/// Why an engine is perhaps in slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Uncertainty {
    /// It is not: it is the known process, and was heard from recently.
    None,
    /// It was not heard from for longer than a restart takes.
    NotSeenRecently,
    /// Its start time is another.
    Restarted,
    /// The snapshot does not know its id.
    UnknownId,
    /// It was in slow start when last seen, and the list tells no start time.
    WasInSlowStart,
}

/// Why a snapshot is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
pub enum RejectedSnapshot {
    /// It was taken this far in the future, in milliseconds: the clock was set back.
    #[error("it was taken {:.1} s in the future: the clock was set back", .0 / 1000.0)]
    FromTheFuture(Milliseconds),
    /// It is older than the rules allow; its age in milliseconds.
    #[error("it is {:.0} s old", .0 / 1000.0)]
    TooOld(Milliseconds),
    /// Its time is not a finite number.
    #[error("its time is none")]
    InvalidTime,
}

/// The fraction of its weight that knowledge of this age retains.
pub fn retained_weight(age: Milliseconds, half_life: Milliseconds) -> f64 {
    if age.is_finite() {
        0.5_f64.powf(age.max(0.0) / half_life)
    } else {
        0.0
    }
}

/// The age of a snapshot.
///
/// # Errors
/// The snapshot lies in the future, is too old, or has no valid time.
pub fn age(
    snapshot: &Snapshot,
    now: Milliseconds,
    rules: &RecoverySettings,
) -> Result<Milliseconds, RejectedSnapshot> {
    let age = now - snapshot.taken_at;
    match age {
        _ if !age.is_finite() => Err(RejectedSnapshot::InvalidTime),
        _ if age < -CLOCK_TOLERANCE => Err(RejectedSnapshot::FromTheFuture(-age)),
        _ if age > rules.max_snapshot_age => Err(RejectedSnapshot::TooOld(age)),
        _ => Ok(age.max(0.0)),
    }
}

/// Whether an engine may be another process than the known one.
pub fn uncertainty(
    known: Option<&StoredEngine>,
    identity: &EndpointIdentity,
    now: Milliseconds,
    rules: &RecoverySettings,
) -> Uncertainty {
    let Some(known) = known else { return Uncertainty::UnknownId };
    if identity.started.is_some() && identity.started != known.started_at {
        return Uncertainty::Restarted;
    }
    if known.in_slow_start && identity.started.is_none() {
        return Uncertainty::WasInSlowStart;
    }
    match known.confirmed_at {
        Some(at) if now - at <= rules.min_restart_time && now - at >= -CLOCK_TOLERANCE => Uncertainty::None,
        _ => Uncertainty::NotSeenRecently,
    }
}

fn age_classes(snapshot: &Snapshot, now: Milliseconds, learned: &mut LearnedState) {
    for class in &mut learned.classes {
        let age = now - class.confirmed_at.unwrap_or(snapshot.taken_at);
        let latency = retained_weight(age, LATENCY_HALF_LIFE);
        let traffic = retained_weight(now - snapshot.taken_at, TRAFFIC_HALF_LIFE);
        for band in &mut class.bands {
            band.samples *= latency;
        }
        // The fewer steps the best latency rests on, the faster the decision module learns another.
        class.control_steps =
            (class.control_steps * latency).floor().max(f64::from(u8::from(class.control_steps >= 1.0)));
        class.arrivals *= traffic;
        class.runtime *= traffic;
        class.confirmed_at = None;
    }
}

fn age_fleet(age: Milliseconds, fleet: &mut LearnedFleet) {
    let traffic = retained_weight(age, TRAFFIC_HALF_LIFE);
    let load = retained_weight(age, LOAD_HALF_LIFE);
    let health = retained_weight(age, HEALTH_HALF_LIFE);
    fleet.own_threads *= traffic;
    fleet.all_threads *= traffic;
    fleet.other_load *= load;
    fleet.overloaded_share *= load;
    fleet.median_slowdown = 1.0 + (fleet.median_slowdown - 1.0) * health;
    fleet.speed = 1.0 + (fleet.speed - 1.0) * health;
    if retained_weight(age, NETWORK_HALF_LIFE) < NETWORK_MIN_WEIGHT {
        fleet.shortest_health_checks.clear();
    }
}

/// What is restored of an engine. `taken` is the time of the snapshot.
pub fn engine(
    known: Option<&StoredEngine>,
    identity: &EndpointIdentity,
    taken: Milliseconds,
    now: Milliseconds,
    rules: &RecoverySettings,
) -> LearnedEngine {
    let uncertainty = uncertainty(known, identity, now, rules);
    let perhaps_cold = uncertainty != Uncertainty::None;
    let fresh = LearnedEngine {
        id: identity.id.clone(),
        slowdown: 1.0,
        maybe_in_slow_start: perhaps_cold,
        ..LearnedEngine::default()
    };
    let same_process = !matches!(uncertainty, Uncertainty::Restarted | Uncertainty::UnknownId);
    let Some(known) = known.filter(|_| same_process) else { return fresh };
    let seen = known.confirmed_at.unwrap_or(taken);
    let health = retained_weight(now - seen, HEALTH_HALF_LIFE);
    // How much of a slow start's budget was left at the very end is unknown.
    let spent = known.in_slow_start
        && now - seen.max(taken) <= rules.overload_collapse_after.max(rules.min_restart_time);
    LearnedEngine {
        slowdown: 1.0 + (known.slowdown - 1.0) * health,
        error_rate: known.error_rate * health,
        other_threads: known.other_threads
            * retained_weight(now - known.reported_at.unwrap_or(taken), LOAD_HALF_LIFE),
        reported_at: known.reported_at,
        // An engine whose ejection has ended meanwhile is tried first.
        ejected_until: known.ejected_until.filter(|_| health > EJECTION_MIN_WEIGHT),
        ejections: if health > EJECTION_MIN_WEIGHT { known.ejections } else { 0 },
        ejection_ended_at: known.ejection_ended_at,
        connections_refused_at: known.connections_refused_at.filter(|_| !perhaps_cold),
        in_slow_start: known.in_slow_start,
        slow_start_budget_exhausted: spent,
        ..fresh
    }
}

/// Knowledge of an earlier process, held until the endpoint list has named its engines or the wait for that has ended.
#[derive(Debug)]
pub struct RestoredState {
    rules: RecoverySettings,
    taken: Milliseconds,
    /// What is not of single engines, until it is handed out with the first of them.
    fleet: Option<LearnedState>,
    known: BTreeMap<String, StoredEngine>,
    /// Ids of engines that were handed out already.
    restored: BTreeSet<String>,
    /// End of the wait for the list: set when it names the first engines.
    deadline: Option<Milliseconds>,
}

impl RestoredState {
    /// Ages a snapshot.
    ///
    /// # Errors
    /// The snapshot is rejected.
    pub fn new(
        snapshot: &Snapshot,
        now: Milliseconds,
        rules: RecoverySettings,
    ) -> Result<Self, RejectedSnapshot> {
        let age = age(snapshot, now, &rules)?;
        let mut learned = snapshot.learned();
        learned.engines.clear();
        age_classes(snapshot, now, &mut learned);
        age_fleet(age, &mut learned.fleet);
        Ok(Self {
            rules,
            taken: snapshot.taken_at,
            fleet: Some(learned),
            known: snapshot.engines.iter().map(|engine| (engine.id.clone(), engine.clone())).collect(),
            restored: BTreeSet::new(),
            deadline: None,
        })
    }

    /// What there is to restore now that the list names these engines, if anything. An engine is restored once; one that
    /// the list names for the first time after the wait is left to the decision module.
    pub fn restore(&mut self, listed: &[EndpointIdentity], now: Milliseconds) -> Option<LearnedState> {
        if listed.is_empty() {
            return None;
        }
        let deadline = *self.deadline.get_or_insert(now + self.rules.unlisted_retention);
        if now > deadline {
            self.known.clear();
            return None;
        }
        let added: Vec<_> = listed.iter().filter(|identity| !self.restored.contains(&identity.id)).collect();
        if added.is_empty() && self.fleet.is_none() {
            return None;
        }
        let restored = |identity: &&EndpointIdentity| {
            engine(self.known.get(&identity.id), identity, self.taken, now, &self.rules)
        };
        let engines: Vec<_> = added.iter().map(restored).collect();
        for identity in added {
            self.restored.insert(identity.id.clone());
            self.known.remove(&identity.id);
        }
        Some(LearnedState { engines, ..self.fleet.take().unwrap_or_default() })
    }

    /// Number of engines that the list has not named yet.
    pub fn unrestored(&self) -> usize {
        self.known.len()
    }

    /// Whether nothing more can be restored.
    pub fn is_finished(&self, now: Milliseconds) -> bool {
        self.deadline.is_some_and(|deadline| now > deadline)
    }
}
