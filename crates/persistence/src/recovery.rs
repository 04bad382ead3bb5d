//! Restores the decision module's records from a snapshot, the current endpoint list and the time. Performs no I/O and
//! reads no clock.
//!
//! Restored values lose weight with their age. Each kind of value has its own half-life, as latencies change only with
//! engines and data, but loads within minutes. An engine's id does not show whether its process is still the same one, so
//! an engine is *possibly in slow start* if it has not answered for longer than a restart takes, if it restarted, or if the
//! snapshot does not contain it.

use crate::snapshot_records::{Snapshot, StoredEngine};
use starlingplank_decision::interface::Milliseconds;
use starlingplank_decision::learned::{LearnedEngine, LearnedFleet, LearnedState};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Half-life of the latencies of a class: ten minutes.
pub const LATENCY_HALF_LIFE: Milliseconds = 600_000.0;
/// Half-life of arrivals, traffic and the fleet's threads: ten seconds, as in the decaying sums of the decision module.
pub const TRAFFIC_HALF_LIFE: Milliseconds = 10_000.0;
/// Half-life of the slowdown and the error rate of an engine: one minute.
pub const HEALTH_HALF_LIFE: Milliseconds = 60_000.0;
/// Half-life of the load that other gateways put on an engine: three seconds.
pub const LOAD_HALF_LIFE: Milliseconds = 3_000.0;
/// Half-life of the shortest health check of a zone: one hour, as network paths rarely change.
pub const NETWORK_HALF_LIFE: Milliseconds = 3_600_000.0;
/// Maximum time by which a snapshot may lie in the future, in milliseconds. Beyond it the clock is assumed to have been set
/// back.
pub const CLOCK_TOLERANCE: Milliseconds = 500.0;
/// Ejections are discarded if the retained weight of the engine's health is not above this value.
const EJECTION_MIN_WEIGHT: f64 = 0.1;
/// Shortest health checks are discarded if their retained weight is below this value.
const NETWORK_MIN_WEIGHT: f64 = 0.5;

/// Settings of the recovery, which an operator can configure.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecoverySettings {
    /// Minimum time that an engine takes to stop and to serve again.
    pub min_restart_time: Milliseconds,
    /// Maximum age of a snapshot; an older one is rejected.
    pub max_snapshot_age: Milliseconds,
    /// Time for which engines of the snapshot that the endpoint list does not contain are retained, in case they are added to it.
    pub unlisted_retention: Milliseconds,
    /// Time over which the budget of an engine in slow start is counted.
    pub overload_collapse_after: Milliseconds,
}

/// Default settings.
pub const DEFAULT_SETTINGS: RecoverySettings = RecoverySettings {
    min_restart_time: 3_000.0,
    max_snapshot_age: 3_600_000.0,
    unlisted_retention: 60_000.0,
    overload_collapse_after: 2_000.0,
};

/// Identity of an engine according to the current endpoint list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointIdentity {
    /// Id of the engine.
    pub id: String,
    /// Address at which the engine listens.
    pub address: String,
    /// Time at which the engine's process started, if the list contains it.
    pub started: Option<Milliseconds>,
}

/// Reason for which an engine is possibly in slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Uncertainty {
    /// No reason: the engine is the known process and answered recently.
    None,
    /// The engine has not answered for longer than a restart takes.
    NotSeenRecently,
    /// The engine's start time differs from the one in the snapshot.
    Restarted,
    /// The snapshot does not contain the engine's id.
    UnknownId,
    /// The engine was in slow start when last observed, and the endpoint list contains no start time for it.
    WasInSlowStart,
}

/// Reason for which a snapshot is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
pub enum RejectedSnapshot {
    /// The snapshot was taken in the future by this many milliseconds, so the clock was set back.
    #[error("the snapshot was taken {:.1} s in the future: the clock was set back", .0 / 1000.0)]
    FromTheFuture(Milliseconds),
    /// The snapshot is older than the settings allow; contains its age in milliseconds.
    #[error("the snapshot is too old: {:.0} s", .0 / 1000.0)]
    TooOld(Milliseconds),
    /// The time of the snapshot is not a finite number.
    #[error("the time of the snapshot is not a finite number")]
    InvalidTime,
}

/// Returns the fraction of its weight that a value of this age retains: 0 if the age is not a finite number.
pub fn retained_weight(age: Milliseconds, half_life: Milliseconds) -> f64 {
    if age.is_finite() {
        0.5_f64.powf(age.max(0.0) / half_life)
    } else {
        0.0
    }
}

/// Returns the age of a snapshot.
///
/// # Errors
/// Returns the reason if the snapshot is rejected: it lies in the future, is too old, or has no valid time.
pub fn age(
    snapshot: &Snapshot,
    now: Milliseconds,
    settings: &RecoverySettings,
) -> Result<Milliseconds, RejectedSnapshot> {
    let age = now - snapshot.taken_at;
    match age {
        _ if !age.is_finite() => Err(RejectedSnapshot::InvalidTime),
        _ if age < -CLOCK_TOLERANCE => Err(RejectedSnapshot::FromTheFuture(-age)),
        _ if age > settings.max_snapshot_age => Err(RejectedSnapshot::TooOld(age)),
        _ => Ok(age.max(0.0)),
    }
}

/// Returns the reason for which an engine is possibly in slow start. `known` is its record in the snapshot, if there is one.
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
        // The decision module replaces the lowest latency faster if it is derived from fewer control steps.
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

/// Returns the restored record of an engine. `taken` is the time at which the snapshot was taken.
pub fn engine(
    known: Option<&StoredEngine>,
    identity: &EndpointIdentity,
    taken: Milliseconds,
    now: Milliseconds,
    settings: &RecoverySettings,
) -> LearnedEngine {
    let uncertainty = uncertainty(known, identity, now, settings);
    let possibly_in_slow_start = uncertainty != Uncertainty::None;
    let fresh = LearnedEngine {
        id: identity.id.clone(),
        slowdown: 1.0,
        maybe_in_slow_start: possibly_in_slow_start,
        ..LearnedEngine::default()
    };
    let same_process = !matches!(uncertainty, Uncertainty::Restarted | Uncertainty::UnknownId);
    let Some(known) = known.filter(|_| same_process) else { return fresh };
    let last_answer_at = known.confirmed_at.unwrap_or(taken);
    let health = retained_weight(now - last_answer_at, HEALTH_HALF_LIFE);
    // The remaining budget of a slow start when the previous process ended is unknown, so it is treated as exhausted.
    let budget_exhausted = known.in_slow_start
        && now - last_answer_at.max(taken) <= settings.overload_collapse_after.max(settings.min_restart_time);
    LearnedEngine {
        slowdown: 1.0 + (known.slowdown - 1.0) * health,
        error_rate: known.error_rate * health,
        other_threads: known.other_threads
            * retained_weight(now - known.reported_at.unwrap_or(taken), LOAD_HALF_LIFE),
        reported_at: known.reported_at,
        // An engine whose ejection has ended in the meantime is tried first.
        ejected_until: known.ejected_until.filter(|_| health > EJECTION_MIN_WEIGHT),
        ejections: if health > EJECTION_MIN_WEIGHT { known.ejections } else { 0 },
        ejection_ended_at: known.ejection_ended_at,
        connections_refused_at: known.connections_refused_at.filter(|_| !possibly_in_slow_start),
        in_slow_start: known.in_slow_start,
        slow_start_budget_exhausted: budget_exhausted,
        ..fresh
    }
}

/// State of an earlier process that waits to be restored: until the endpoint list has contained all of its engines, or
/// until the wait for them has ended.
#[derive(Debug)]
pub struct RestoredState {
    settings: RecoverySettings,
    taken: Milliseconds,
    /// Records of classes and of the fleet, until they are restored together with the first engines.
    fleet: Option<LearnedState>,
    known: BTreeMap<String, StoredEngine>,
    /// Ids of engines that were already restored.
    restored: BTreeSet<String>,
    /// End of the wait for the engines; set when the endpoint list contains its first engines.
    deadline: Option<Milliseconds>,
}

impl RestoredState {
    /// Prepares a snapshot for restoring, with its values weighted by their age.
    ///
    /// # Errors
    /// Returns the reason if the snapshot is rejected.
    pub fn new(
        snapshot: &Snapshot,
        now: Milliseconds,
        settings: RecoverySettings,
    ) -> Result<Self, RejectedSnapshot> {
        let age = age(snapshot, now, &settings)?;
        let mut learned = snapshot.learned();
        learned.engines.clear();
        age_classes(snapshot, now, &mut learned);
        age_fleet(age, &mut learned.fleet);
        Ok(Self {
            settings,
            taken: snapshot.taken_at,
            fleet: Some(learned),
            known: snapshot.engines.iter().map(|engine| (engine.id.clone(), engine.clone())).collect(),
            restored: BTreeSet::new(),
            deadline: None,
        })
    }

    /// Returns the records to restore now that the endpoint list contains these engines, or `None` if there are none. Each
    /// engine is restored once. An engine that the list contains for the first time after the wait is not restored.
    pub fn restore(&mut self, listed: &[EndpointIdentity], now: Milliseconds) -> Option<LearnedState> {
        if listed.is_empty() {
            return None;
        }
        let deadline = *self.deadline.get_or_insert(now + self.settings.unlisted_retention);
        if now > deadline {
            self.known.clear();
            return None;
        }
        let added: Vec<_> = listed.iter().filter(|identity| !self.restored.contains(&identity.id)).collect();
        if added.is_empty() && self.fleet.is_none() {
            return None;
        }
        let restored = |identity: &&EndpointIdentity| {
            engine(self.known.get(&identity.id), identity, self.taken, now, &self.settings)
        };
        let engines: Vec<_> = added.iter().map(restored).collect();
        for identity in added {
            self.restored.insert(identity.id.clone());
            self.known.remove(&identity.id);
        }
        Some(LearnedState { engines, ..self.fleet.take().unwrap_or_default() })
    }

    /// Returns the number of engines that the endpoint list has not contained yet.
    pub fn unrestored(&self) -> usize {
        self.known.len()
    }

    /// Returns whether the wait has ended, after which nothing more is restored.
    pub fn is_finished(&self, now: Milliseconds) -> bool {
        self.deadline.is_some_and(|deadline| now > deadline)
    }
}
