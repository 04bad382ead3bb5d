//! What goes into the decision module and what comes out of it: settings, events, actions, ids.
//! No decision is taken here. All times and durations are milliseconds.

use std::sync::Arc;
use thiserror::Error;

/// A point in time or a duration, in milliseconds.
pub type Milliseconds = f64;

/// A client's request; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An engine. The text means nothing but identity.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub Arc<str>);

/// Index into [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index into [`Settings::kinds`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub usize);

/// Index into [`Settings::zones`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// The key by which ordered requests follow each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey(pub u64);

/// A group of tables that a request reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DataSet(pub u64);

/// Which engines recognise a repeat of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Every engine.
    All,
    /// Engines of one zone.
    Zone,
    /// Engines of one cell.
    Cell,
}

impl Scope {
    /// Whether an engine in the second zone and cell recognises what one in the first was sent.
    pub fn covers(self, first: (Option<ZoneId>, u64), second: (Option<ZoneId>, u64)) -> bool {
        match self {
            Scope::All => true,
            Scope::Zone => first.0 == second.0,
            Scope::Cell => first.1 == second.1,
        }
    }
}

/// What a second execution of a request would do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// No harm.
    Idempotent,
    /// Repeats are dropped by the engines in scope, for so long after the first send.
    Keyed {
        /// Where repeats are dropped.
        scope: Scope,
        /// For how long.
        window: Milliseconds,
    },
    /// Harm: it must not run twice.
    NotIdempotent,
}

impl Idempotency {
    /// Whether a client may repeat a request that may have run, whichever engine takes the repeat.
    pub fn allows_retry_anywhere(self) -> bool {
        matches!(self, Idempotency::Idempotent | Idempotency::Keyed { scope: Scope::All, .. })
    }
}

/// One class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Label.
    pub name: String,
    /// Full worth is earned by answering within this ...
    pub latency_objective: Milliseconds,
    /// ... plus this times the true work over the threads.
    pub latency_objective_stretch: f64,
    /// Clients give up after this, over all their tries.
    pub client_timeout: Milliseconds,
    /// Worth of an answer in time.
    pub priority_weight: f64,
    /// Share of the worth that a late answer keeps.
    pub late_weight_share: f64,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// Requests with one key run in turn.
    pub ordered: bool,
    /// The only kinds it may go to; none given: any.
    pub kinds: Option<Vec<KindId>>,
    /// The only zones it may go to; none given: any.
    pub zones: Option<Vec<ZoneId>>,
    /// Threads that one query runs on.
    pub threads: f64,
    /// It holds its data set on its engine while it runs.
    pub is_load: bool,
    /// It stands still while a load holds its data set.
    pub waits_for_loads: bool,
}

impl Class {
    /// Whether its placement allows that engine.
    pub fn may_run_on(&self, engine: &Member) -> bool {
        let among_kinds = self.kinds.as_ref().is_none_or(|k| engine.kind.is_some_and(|x| k.contains(&x)));
        let among_zones = self.zones.as_ref().is_none_or(|z| engine.zone.is_some_and(|x| z.contains(&x)));
        among_kinds && among_zones
    }
}

/// One kind of machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Label.
    pub name: String,
    /// Cores.
    pub cores: f64,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// One tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Label.
    pub name: String,
    /// Requests a second, over all gateways, that lie within its share; 0: unlimited.
    pub quota_per_s: f64,
}

/// How load reports come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reporting {
    /// With answers and probe results.
    Answers,
    /// With probe results alone.
    Probes,
    /// Not at all.
    Never,
}

/// The limit on attempts past each request's first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Allowed whatever the traffic.
    pub free: f64,
    /// Allowed for each request taken.
    pub per_request: f64,
    /// Length of the window.
    pub span: Milliseconds,
}

/// All that a gateway is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Seed of this gateway's randomness.
    pub seed: u64,
    /// Number of gateways before these engines.
    pub gateways: usize,
    /// This gateway's own number among them, from 0; none: not told.
    pub gateway_index: Option<u64>,
    /// The zone this gateway is in.
    pub zone: Option<ZoneId>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Machine kinds.
    pub kinds: Vec<Kind>,
    /// Zone names.
    pub zones: Vec<String>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The engine list must be subscribed to.
    pub subscribes_to_endpoints: bool,
    /// An attempt may be cancelled.
    pub may_cancel: bool,
    /// Two attempts of a request may be out at once.
    pub may_hedge: bool,
    /// Engines may be probed.
    pub may_check_health: bool,
    /// What a probe costs, as a share of a request's worth.
    pub health_check_price: f64,
    /// Clients hear advice on when to come back, and heed it up to this.
    pub max_retry_after: Milliseconds,
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// How load reports come.
    pub reporting: Reporting,
    /// Grace after the client's deadline within which a final answer still counts.
    pub answer_grace: Milliseconds,
    /// Without a subscription the list must be asked for at least this often.
    pub max_poll_interval: Milliseconds,
    /// Grace after news of a drain.
    pub drain_grace: Milliseconds,
    /// An engine starts with this share of its capacity.
    pub slow_start_from: f64,
    /// And is warm after this.
    pub slow_start_duration: Milliseconds,
    /// A cold engine falls over beyond this multiple of its capacity ...
    pub overload_collapse_multiple: f64,
    /// ... kept up for this long.
    pub overload_collapse_after: Milliseconds,
    /// The ration of further attempts, if any.
    pub retry_budget: Option<RetryBudgetSettings>,
    /// Rest of an ordered key after an attempt that may still run.
    pub ordered_key_pause: Milliseconds,
    /// Memory grants are heeded.
    pub grants: bool,
    /// Share of an engine's memory that one query may get.
    pub max_grant_share: f64,
    /// Priorities 0 to 3 are heeded.
    pub priorities: bool,
    /// Shortest time between turns.
    pub tick: Milliseconds,
}

impl Settings {
    /// Whether a gateway can work by these settings.
    ///
    /// # Errors
    /// Names the first setting that is missing or contradicts itself.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |name, why| Err(SettingsError::Bad { name, why });
        if self.gateways == 0 {
            return bad("balancers", "at least one gateway is needed");
        }
        if self.classes.is_empty() {
            return bad("classes", "at least one class is needed");
        }
        let positive = |x: f64| x > 0.0 && x.is_finite();
        if self.classes.iter().any(|c| {
            !positive(c.latency_objective)
                || !positive(c.client_timeout)
                || c.latency_objective > c.client_timeout
        }) {
            return bad("classes.on_time", "must lie above 0 and not past give_up");
        }
        if self.classes.iter().any(|c| !positive(c.threads)) {
            return bad("specifics.width_by_class", "must lie above 0");
        }
        if self.kinds.is_empty() || self.kinds.iter().any(|k| !positive(k.cores)) {
            return bad("specifics.cpu_of_kind", "every kind needs cores");
        }
        if !(positive(self.slow_start_from) && self.slow_start_from <= 1.0) {
            return bad("rules.cold_from", "must lie above 0 and not past 1");
        }
        let figures = [
            ("rules.drain_grace", self.drain_grace),
            ("rules.warm_within", self.slow_start_duration),
            ("rules.fall_multiple", self.overload_collapse_multiple),
            ("rules.tip_after", self.overload_collapse_after),
            ("rules.order_pause", self.ordered_key_pause),
            ("rules.extra_free", self.retry_budget.map_or(0.0, |r| r.free)),
            ("rules.extra_per_request", self.retry_budget.map_or(0.0, |r| r.per_request)),
            ("rules.ratio_span", self.retry_budget.map_or(0.0, |r| r.span)),
        ];
        if let Some((name, _)) = figures.iter().find(|(_, x)| *x < 0.0 || !x.is_finite()) {
            return bad(name, "must be finite and not below 0");
        }
        if self.max_attempts == 0 {
            return bad("limits.send_cap", "must allow one attempt");
        }
        Ok(())
    }
}

/// Why a gateway cannot start.
#[derive(Debug, Error, PartialEq)]
pub enum SettingsError {
    /// A setting is missing or makes no sense.
    #[error("setting {name}: {why}")]
    Bad {
        /// Which one.
        name: &'static str,
        /// What is wrong with it.
        why: &'static str,
    },
}

/// What an engine says of its load. Figures may be late, noisy or absurd.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Queries it holds.
    pub inflight: Option<f64>,
    /// Queries waiting for memory.
    pub queue: Option<f64>,
    /// Share of cores in use.
    pub util: Option<f64>,
    /// Share of memory granted.
    pub memory: Option<f64>,
    /// Share of disks busy.
    pub disks: Option<f64>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The engine answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may be running still.
    Timeout,
    /// No connection; it did not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    NotExecuted,
}

/// State of an engine in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// Takes work.
    Live,
    /// Finishing; takes nothing new.
    Draining,
    /// Removed from the list.
    Removed,
}

/// An entry of the engine list.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Which engine.
    pub engine: EngineId,
    /// Its zone, if among those of the settings.
    pub zone: Option<ZoneId>,
    /// Its kind, if among those of the settings.
    pub kind: Option<KindId>,
    /// Its cell.
    pub cell: u64,
    /// Its state.
    pub availability: Availability,
    /// When it last started, if lately.
    pub started: Option<Milliseconds>,
}

/// A request as taken.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestDetails {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Its key, in ordered classes.
    pub key: Option<OrderKey>,
    /// When the client gives up.
    pub deadline: Milliseconds,
    /// Guess of its work, if any.
    pub work: Option<Milliseconds>,
    /// Guess of its memory, if any.
    pub memory_mb: Option<f64>,
    /// What it reads.
    pub data: Option<DataSet>,
    /// The client says that it is a repeat.
    pub is_retry: bool,
}

/// News of a running attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProgressUpdate {
    /// Share done.
    Progress(f64),
    /// It spills; so many MB are missing.
    Spill(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for a load that holds its data set there.
    WaitsForLoad,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The engine list, whole or the changes.
    Members {
        /// Whether the list is complete: engines that it does not name were removed.
        complete: bool,
        /// The entries.
        members: Vec<Member>,
    },
    /// Asking for the list failed, or the subscription broke.
    ListFailed,
    /// A request was taken.
    Request(RequestDetails),
    /// A timer came due.
    Timer(u64),
    /// An attempt ended.
    Outcome {
        /// Its request.
        id: RequestId,
        /// Its number, from 0.
        attempt: u32,
        /// Where it ran.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the send.
        took: Milliseconds,
        /// The request is over.
        over: bool,
        /// Its true work, where told.
        work: Option<Milliseconds>,
        /// The engine's load report, if one came along.
        report: Option<LoadReport>,
    },
    /// An engine sent a progress update of a running attempt.
    ProgressUpdate {
        /// Its request.
        id: RequestId,
        /// Its number.
        attempt: u32,
        /// The update.
        update: ProgressUpdate,
    },
    /// A streamed answer began: time-outs no longer count.
    Streaming {
        /// Its request.
        id: RequestId,
    },
    /// A health check ended.
    HealthChecked {
        /// The engine.
        engine: EngineId,
        /// Whether it answered.
        ok: bool,
        /// Time since the probe.
        took: Milliseconds,
        /// Its load report.
        report: Option<LoadReport>,
    },
    /// The client disconnected or cancelled the request: no answer is pending any more.
    ClientDisconnected(RequestId),
    /// Bytes from another gateway.
    Peer(Vec<u8>),
    /// So many processes of this gateway run now.
    ProcessCount(u32),
    /// What an earlier life learned, as far as it still holds; engines in it are on the list already.
    Restored(Box<crate::learned::Learned>),
}

/// What keeps a request from being sent now: of all engines, the guard that the furthest of them came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum BlockReason {
    /// No engine is in the list.
    NoEngine,
    /// All are ejected, or have just said that they are full.
    Away,
    /// The rules: placement, repeats, one attempt at a time, the cap on sends, the deadline, the ration, the order of
    /// a key.
    Rules,
    /// A cold engine's budget.
    Cold,
    /// An engine says that it is busy, and the bound is reached.
    Busy,
    /// The estimate of an engine's load says that it is crowded, and the bound is reached.
    Crowded,
    /// An engine is slow, and the bound is reached.
    Slow,
    /// This gateway's part of the fleet's bound.
    Part,
    /// News of the engines' load, which is due.
    News,
    /// The client's time, which is over.
    Deadline,
    /// Its aim is past while it runs, and nothing or too little is earned any more.
    Late,
}

impl BlockReason {
    /// How many there are.
    pub const COUNT: usize = BlockReason::Late as usize + 1;

    /// All, in their order.
    pub const ALL: [BlockReason; BlockReason::COUNT] = [
        BlockReason::NoEngine,
        BlockReason::Away,
        BlockReason::Rules,
        BlockReason::Cold,
        BlockReason::Busy,
        BlockReason::Crowded,
        BlockReason::Slow,
        BlockReason::Part,
        BlockReason::News,
        BlockReason::Deadline,
        BlockReason::Late,
    ];

    /// Its name in counts and logs.
    pub fn name(self) -> &'static str {
        match self {
            BlockReason::NoEngine => "no engine",
            BlockReason::Away => "away",
            BlockReason::Rules => "rules",
            BlockReason::Cold => "cold",
            BlockReason::Busy => "busy",
            BlockReason::Crowded => "crowded",
            BlockReason::Slow => "slow",
            BlockReason::Part => "part",
            BlockReason::News => "news",
            BlockReason::Deadline => "deadline",
            BlockReason::Late => "late",
        }
    }
}

/// What the gateway does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a request to an engine.
    Send {
        /// Which.
        id: RequestId,
        /// Where to.
        engine: EngineId,
        /// Time-out; 0: until the client gives up.
        timeout: Milliseconds,
    },
    /// Rejects a request; a retry is harmless.
    Reject {
        /// Which.
        id: RequestId,
        /// After how long the client should retry; 0: no advice.
        retry_after: Milliseconds,
        /// What kept it from being sent.
        reason: BlockReason,
    },
    /// Fails a request, with no promise.
    Fail {
        /// Which.
        id: RequestId,
    },
    /// Withdraws an attempt.
    Cancel {
        /// Of which request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Sets memory and priority, before a send or of what is out.
    Terms {
        /// Of which request.
        id: RequestId,
        /// Memory for further sends; 0: the engine's choice.
        memory_mb: f64,
        /// 0 to 3.
        priority: u8,
    },
    /// Asks for [`Event::Timer`].
    Timer {
        /// From now.
        after: Milliseconds,
        /// Returned with it.
        token: u64,
    },
    /// Subscribes to changes of the list.
    Watch,
    /// Checks the health of an engine.
    CheckHealth {
        /// Which.
        engine: EngineId,
    },
}
