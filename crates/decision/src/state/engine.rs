//! Learned state of an engine.

use crate::settings::MachineType;
use crate::types::{Availability, DataSet, Member, Milliseconds};
use std::collections::{BTreeMap, VecDeque};

/// Point in time before any other, for events that have not occurred.
pub(crate) const DISTANT_PAST: Milliseconds = -1e15;

/// Minimum number of cores that an engine counts as where a load is divided by cores: the effective cores of a
/// failing engine in slow start may be close to 0.
pub(crate) const MIN_CORES: f64 = 0.1;

/// Two sums over attempts: the elapsed time of their threads, and the time that the same threads would have taken on
/// an idle engine.
#[derive(Clone, Copy, Default)]
pub(crate) struct ThreadTimes {
    /// Thread time from send to outcome, in milliseconds times threads.
    pub(crate) elapsed: Milliseconds,
    /// Thread time of the same queries on an idle engine.
    pub(crate) unloaded: Milliseconds,
}

impl ThreadTimes {
    /// Adds the thread times of an attempt.
    pub(crate) fn add(&mut self, elapsed: Milliseconds, unloaded: Milliseconds) {
        self.elapsed += elapsed;
        self.unloaded += unloaded;
    }

    /// Multiplies both sums by `factor`, so that old attempts lose weight.
    pub(crate) fn decay(&mut self, factor: f64) {
        self.elapsed *= factor;
        self.unloaded *= factor;
    }

    /// Returns the ratio of elapsed time to time on an idle engine. `prior` is added to both sums, so that a small
    /// number of attempts has little effect.
    pub(crate) fn slowdown(&self, prior: Milliseconds) -> f64 {
        (self.elapsed + prior) / (self.unloaded + prior)
    }
}

/// Load of an engine.
pub(crate) struct EngineLoad {
    /// Number of threads of this gateway's attempts on the engine.
    pub(crate) own_threads: f64,
    /// Number of this gateway's attempts in flight on the engine.
    pub(crate) in_flight: f64,
    /// Number of this gateway's attempts in flight on the engine, averaged over the delay of load reports.
    pub(crate) mean_in_flight: f64,
    /// Number of threads of other gateways' attempts, estimated from load reports.
    pub(crate) other_threads: f64,
    /// Time of the last load report, or of the last health check that gave an estimate of the load.
    pub(crate) last_report_at: Option<Milliseconds>,
    /// The last load report, or a rejection as full, showed that the engine is saturated.
    pub(crate) is_saturated: bool,
}

/// Ejections of an engine.
pub(crate) struct EjectionState {
    /// Time from which a trial may be sent to the ejected engine; `None`: the engine is not ejected.
    pub(crate) until: Option<Milliseconds>,
    /// Number of consecutive ejections.
    pub(crate) count: u32,
    /// Time at which the last ejection ended.
    pub(crate) ended_at: Milliseconds,
}

/// Start of an engine's process, and its budget while it is in slow start.
pub(crate) struct SlowStartState {
    /// This gateway's share of the engine's slow start budget, from 0 to 1.
    pub(crate) own_share: f64,
    /// Attempts that this gateway sent to the engine within the budget's window.
    pub(crate) recent_sends: VecDeque<RecentSend>,
    /// Total work of `recent_sends`, recomputed in each control step.
    pub(crate) recent_work: Milliseconds,
    /// Random number from 0 to 1 that rounds this gateway's share of the budget up or down.
    pub(crate) budget_draw: f64,
    /// Time at which `budget_draw` is drawn again.
    pub(crate) next_draw_at: Milliseconds,
    /// Time at which the engine's process started, stated by the endpoint list or suspected.
    pub(crate) started_at: Option<Milliseconds>,
    /// The start is only suspected: the process may be the earlier one, which has left slow start.
    pub(crate) start_suspected: bool,
    /// Number of consecutive answers that prove a larger capacity share than is assumed.
    pub(crate) fast_answers: u32,
    /// Lowest capacity share that these answers prove.
    pub(crate) shown_capacity_share: f64,
}

/// Learned state of an engine.
pub(crate) struct Engine {
    /// Entry of the engine in the endpoint list.
    pub(crate) member: Member,
    /// Hash of the engine's identifier, the same on every gateway.
    pub(crate) stable_hash: u64,
    /// Number of cores of the engine.
    pub(crate) cores: f64,
    /// Memory of the engine in MB.
    pub(crate) memory_mb: f64,
    /// Share of the engine that this gateway's aperture covers, from 0 to 1.
    pub(crate) aperture_share: f64,
    /// Random number from 0 to 1 that distinguishes otherwise equal engines.
    pub(crate) jitter: f64,
    pub(crate) load: EngineLoad,
    pub(crate) ejection: EjectionState,
    pub(crate) slow_start: SlowStartState,
    /// Ratio of the time that queries take on this engine to their time on an idle engine, including attempts in
    /// flight.
    pub(crate) slowdown: f64,
    /// Thread times of recently ended attempts.
    pub(crate) thread_times: ThreadTimes,
    /// Recent share of failures among outcomes.
    pub(crate) error_rate: f64,
    /// Time at which an attempt on the engine last succeeded or reported progress.
    pub(crate) last_answer_at: Milliseconds,
    /// Time at which the engine last answered an attempt or a health check or reported progress, within the lifetime
    /// of this gateway process.
    pub(crate) confirmed_at: Option<Milliseconds>,
    /// Time at which the health of the engine was last checked.
    pub(crate) checked_at: Milliseconds,
    /// Time at which the engine last rejected an attempt as full.
    pub(crate) full_at: Milliseconds,
    /// Time at which a connection to the engine last broke.
    pub(crate) reset_at: Milliseconds,
    /// Time at which the engine last refused a connection: its process may have been restarted and be in slow start.
    pub(crate) connections_refused_at: Option<Milliseconds>,
    /// Data sets that loads of other gateways appear to lock on this engine, with the expected end of each lock.
    pub(crate) locked_until: BTreeMap<DataSet, Milliseconds>,
    /// Number of this gateway's loads in flight on the engine, by data set.
    pub(crate) own_loads: BTreeMap<DataSet, u32>,
}

/// An attempt that was sent to an engine, as counted in its slow start budget.
#[derive(Clone, Copy)]
pub(crate) struct RecentSend {
    /// Time at which the attempt was sent.
    pub(crate) sent_at: Milliseconds,
    /// Expected work of the attempt's class, in thread time.
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

    /// Returns the number of threads of all gateways' attempts.
    pub(crate) fn all_threads(&self) -> f64 {
        self.own_threads + self.other_threads
    }
}

impl EjectionState {
    fn new() -> Self {
        Self { until: None, count: 0, ended_at: DISTANT_PAST }
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
            fast_answers: 0,
            shown_capacity_share: 1.0,
        }
    }
}

impl Engine {
    /// Creates the state of an engine about which nothing has been learned yet.
    pub(crate) fn new(member: Member, machine_type: &MachineType, now: Milliseconds, jitter: f64) -> Self {
        Self {
            stable_hash: member.engine.stable_hash(),
            member,
            cores: machine_type.cores,
            memory_mb: machine_type.memory_mb.max(1.0),
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
            checked_at: DISTANT_PAST,
            full_at: DISTANT_PAST,
            reset_at: DISTANT_PAST,
            connections_refused_at: None,
            locked_until: BTreeMap::new(),
            own_loads: BTreeMap::new(),
        }
    }

    /// Resets the state after a restart of the engine's process, because nothing learned of the earlier process
    /// applies. Attempts in flight, the aperture and the slow start budget are carried over.
    pub(crate) fn restart(&mut self, started_at: Milliseconds) {
        let machine_type = MachineType { name: String::new(), cores: self.cores, memory_mb: self.memory_mb };
        let mut fresh = Self::new(self.member.clone(), &machine_type, self.last_answer_at, self.jitter);
        fresh.aperture_share = self.aperture_share;
        fresh.load.own_threads = self.load.own_threads;
        fresh.load.in_flight = self.load.in_flight;
        fresh.slow_start.own_share = self.slow_start.own_share;
        fresh.slow_start.recent_sends = std::mem::take(&mut self.slow_start.recent_sends);
        fresh.slow_start.recent_work = self.slow_start.recent_work;
        fresh.slow_start.started_at = Some(started_at);
        *self = fresh;
    }

    /// Returns whether a load is known or assumed to lock that data set on this engine.
    pub(crate) fn is_locked(&self, data: DataSet, now: Milliseconds) -> bool {
        self.own_loads.contains_key(&data) || self.locked_until.get(&data).is_some_and(|until| now < *until)
    }

    /// Records the end of one of this gateway's loads of that data set.
    pub(crate) fn release_load(&mut self, data: DataSet) {
        if let Some(loads) = self.own_loads.get_mut(&data) {
            *loads -= 1;
            self.own_loads.retain(|_, loads| *loads > 0);
        }
    }

    /// Discards expired locks of other gateways' loads.
    pub(crate) fn expire_locks(&mut self, now: Milliseconds) {
        self.locked_until.retain(|_, until| now < *until);
    }

    /// Returns whether the engine accepts work and is in this gateway's aperture.
    pub(crate) fn is_in_aperture(&self) -> bool {
        self.member.availability == Availability::Live && self.aperture_share > 0.0
    }
}
