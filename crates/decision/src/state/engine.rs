//! What is known of an engine.

use crate::settings::MachineType;
use crate::types::{Availability, DataSet, Member, Milliseconds};
use std::collections::{BTreeMap, VecDeque};

/// A point in time before any other.
pub(crate) const NEVER: Milliseconds = -1e15;

/// The least number of cores that an engine counts as where a load is divided by cores: an engine in slow start that
/// fails may count as next to none.
pub(crate) const MIN_CORES: f64 = 0.1;

/// Two sums over attempts: the time that their threads took, and the time that they would have taken alone.
#[derive(Clone, Copy, Default)]
pub(crate) struct ThreadTimes {
    /// Thread time from send to outcome.
    pub(crate) taken: Milliseconds,
    /// Thread time of the same queries on an idle engine.
    pub(crate) alone: Milliseconds,
}

impl ThreadTimes {
    /// Adds an attempt.
    pub(crate) fn add(&mut self, taken: Milliseconds, alone: Milliseconds) {
        self.taken += taken;
        self.alone += alone;
    }

    /// Multiplies both sums by `factor`, so that old attempts lose weight.
    pub(crate) fn decay(&mut self, factor: f64) {
        self.taken *= factor;
        self.alone *= factor;
    }

    /// How many times longer than alone the attempts took, with `prior` of time taken to be as usual.
    pub(crate) fn slowdown(&self, prior: Milliseconds) -> f64 {
        (self.taken + prior) / (self.alone + prior)
    }
}

/// The load of an engine.
pub(crate) struct EngineLoad {
    /// Threads of this gateway's attempts there.
    pub(crate) own_threads: f64,
    /// This gateway's attempts in flight there.
    pub(crate) in_flight: f64,
    /// The same, averaged over the time by which load reports are late.
    pub(crate) mean_in_flight: f64,
    /// Threads of other gateways, estimated from load reports.
    pub(crate) other_threads: f64,
    /// When it last reported its load, or a health check showed it.
    pub(crate) last_report_at: Option<Milliseconds>,
    /// Its last report, or a rejection as full, says that it is saturated.
    pub(crate) is_saturated: bool,
}

/// The ejections of an engine.
pub(crate) struct EjectionState {
    /// It is ejected; from this time on a trial may be sent.
    pub(crate) until: Option<Milliseconds>,
    /// Ejections in a row.
    pub(crate) count: u32,
    /// When the last ejection ended.
    pub(crate) ended_at: Milliseconds,
}

/// The start of an engine's process, and its budget while it is in slow start.
pub(crate) struct SlowStartState {
    /// This gateway's share of the budget.
    pub(crate) own_share: f64,
    /// What the engine was sent of late.
    pub(crate) recent_sends: VecDeque<SentWork>,
    /// The sum of the work in it, recomputed each control step.
    pub(crate) recent_work: Milliseconds,
    /// A random number from 0 to 1: rounds this gateway's share of the budget up or down.
    pub(crate) budget_draw: f64,
    /// When that is drawn anew.
    pub(crate) next_draw_at: Milliseconds,
    /// When its process started, stated by the list or suspected.
    pub(crate) started_at: Option<Milliseconds>,
    /// Its start is suspected only: the process may still be the earlier, warm one.
    pub(crate) start_suspected: bool,
    /// Answers in a row that show it to be warmer than it is taken for.
    pub(crate) warm_answers: u32,
    /// The lowest warmth that those answers show, as a share of its capacity.
    pub(crate) shown_warmth: f64,
}

/// What is known of an engine.
pub(crate) struct Engine {
    /// Its entry in the endpoint list.
    pub(crate) member: Member,
    /// Its number for hashing, the same on every gateway.
    pub(crate) stable_hash: u64,
    /// Its cores.
    pub(crate) cores: f64,
    /// Its memory in MB.
    pub(crate) memory_mb: f64,
    /// The share, from 0 to 1, in which it lies in this gateway's aperture.
    pub(crate) aperture_share: f64,
    /// A random number from 0 to 1 that tells apart engines which are otherwise alike.
    pub(crate) jitter: f64,
    pub(crate) load: EngineLoad,
    pub(crate) ejection: EjectionState,
    pub(crate) slow_start: SlowStartState,
    /// How many times longer than alone queries take there, with those in flight.
    pub(crate) slowdown: f64,
    /// Thread times of attempts that ended of late.
    pub(crate) thread_times: ThreadTimes,
    /// The recent share of failures among outcomes.
    pub(crate) error_rate: f64,
    /// When an attempt there last succeeded or reported progress.
    pub(crate) last_answer_at: Milliseconds,
    /// When it last answered anything, in this incarnation of the gateway.
    pub(crate) confirmed_at: Option<Milliseconds>,
    /// When its health was last checked.
    pub(crate) checked_at: Milliseconds,
    /// When it last rejected an attempt as full.
    pub(crate) full_at: Milliseconds,
    /// When a connection to it last broke.
    pub(crate) reset_at: Milliseconds,
    /// When it last refused connections: its process may be a new one, in slow start.
    pub(crate) connections_refused_at: Option<Milliseconds>,
    /// Data sets that a load of another gateway seems to lock here, and until when.
    pub(crate) locked_until: BTreeMap<DataSet, Milliseconds>,
    /// This gateway's loads in flight here, by data set.
    pub(crate) own_loads: BTreeMap<DataSet, u32>,
}

/// Work that was sent to an engine.
#[derive(Clone, Copy)]
pub(crate) struct SentWork {
    /// When it was sent.
    pub(crate) sent_at: Milliseconds,
    /// The usual work of its class, in thread time.
    pub(crate) work: Milliseconds,
}

impl EngineLoad {
    fn new() -> Self {
        Self {
            own_threads: 0.0,
            in_flight: 0.0,
            mean_in_flight: 0.0,
            other_threads: 0.0,
            last_report_at: None,
            is_saturated: false,
        }
    }

    /// Threads of all gateways.
    pub(crate) fn all_threads(&self) -> f64 {
        self.own_threads + self.other_threads
    }
}

impl EjectionState {
    fn new() -> Self {
        Self { until: None, count: 0, ended_at: NEVER }
    }
}

impl SlowStartState {
    fn new(now: Milliseconds) -> Self {
        Self {
            own_share: 0.0,
            recent_sends: VecDeque::new(),
            recent_work: 0.0,
            budget_draw: 1.0,
            next_draw_at: now,
            started_at: None,
            start_suspected: false,
            warm_answers: 0,
            shown_warmth: 1.0,
        }
    }
}

impl Engine {
    /// An engine of which nothing is known yet.
    pub(crate) fn new(member: Member, kind: &MachineType, now: Milliseconds, jitter: f64) -> Self {
        Self {
            stable_hash: member.engine.stable_hash(),
            member,
            cores: kind.cores,
            memory_mb: kind.memory_mb.max(1.0),
            aperture_share: 1.0,
            jitter,
            load: EngineLoad::new(),
            ejection: EjectionState::new(),
            slow_start: SlowStartState::new(now),
            slowdown: 1.0,
            thread_times: ThreadTimes::default(),
            error_rate: 0.0,
            last_answer_at: now,
            confirmed_at: None,
            checked_at: NEVER,
            full_at: NEVER,
            reset_at: NEVER,
            connections_refused_at: None,
            locked_until: BTreeMap::new(),
            own_loads: BTreeMap::new(),
        }
    }

    /// Replaces the record after a restart of the engine's process: nothing that was learned of the earlier
    /// process holds. Attempts in flight, the aperture and the slow start budget are carried over.
    pub(crate) fn restart(&mut self, started_at: Milliseconds) {
        let kind = MachineType { name: String::new(), cores: self.cores, memory_mb: self.memory_mb };
        let mut fresh = Self::new(self.member.clone(), &kind, self.last_answer_at, self.jitter);
        fresh.aperture_share = self.aperture_share;
        fresh.load.own_threads = self.load.own_threads;
        fresh.load.in_flight = self.load.in_flight;
        fresh.slow_start.own_share = self.slow_start.own_share;
        fresh.slow_start.recent_sends = std::mem::take(&mut self.slow_start.recent_sends);
        fresh.slow_start.recent_work = self.slow_start.recent_work;
        fresh.slow_start.started_at = Some(started_at);
        *self = fresh;
    }

    /// Whether a load is known or seems to lock that data set here.
    pub(crate) fn is_locked(&self, data: DataSet, now: Milliseconds) -> bool {
        self.own_loads.contains_key(&data) || self.locked_until.get(&data).is_some_and(|until| now < *until)
    }

    /// Ends one of this gateway's loads of that data set.
    pub(crate) fn release_load(&mut self, data: DataSet) {
        if let Some(loads) = self.own_loads.get_mut(&data) {
            *loads -= 1;
            self.own_loads.retain(|_, loads| *loads > 0);
        }
    }

    /// Forgets locks of other gateways' loads that have expired.
    pub(crate) fn expire_locks(&mut self, now: Milliseconds) {
        self.locked_until.retain(|_, until| now < *until);
    }

    /// Whether the engine accepts work and lies in this gateway's aperture.
    pub(crate) fn is_in_aperture(&self) -> bool {
        self.member.availability == Availability::Live && self.aperture_share > 0.0
    }
}
