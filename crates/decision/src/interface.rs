//! What goes into the decision module and what comes out of it: events and actions, with their types.
//! No decision is taken here. All points in time and durations are milliseconds.

pub use crate::settings::{
    Class, Idempotency, MachineType, RetryBudgetSettings, Scope, Settings, SettingsError, Tenant,
};
pub use crate::types::{
    Availability, ClassId, DataSet, EngineId, MachineTypeId, Member, Milliseconds, OrderKey, Placement,
    RequestId, TenantId, ZoneId,
};

/// The load that an engine reports. Figures may be late, noisy or absurd; each may be missing.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Queries that run or wait there.
    pub inflight: Option<f64>,
    /// Queries waiting for memory.
    pub queue: Option<f64>,
    /// Share of cores in use, from 0 to 1.
    pub util: Option<f64>,
    /// Share of memory granted, from 0 to 1.
    pub memory: Option<f64>,
    /// Share of disk time in use, from 0 to 1.
    pub disks: Option<f64>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine answered with a result.
    Ok,
    /// The engine answered with an error; the attempt may have run.
    Error,
    /// The engine was full and rejected the attempt without running it.
    Full,
    /// No answer in time; the attempt may still be running.
    Timeout,
    /// The connection was refused; the attempt did not run.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The gateway cancelled it; the attempt may have run.
    Cancelled,
    /// It was never sent.
    NotExecuted,
}

/// A request as received.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestDetails {
    /// Its identifier.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// The key that orders it, in ordered classes.
    pub key: Option<OrderKey>,
    /// The deadline: when the client stops waiting.
    pub deadline: Milliseconds,
    /// The estimate of its work, if any.
    pub work: Option<Milliseconds>,
    /// The estimate of its memory in MB, if any.
    pub memory_mb: Option<f64>,
    /// The data set that it reads or loads.
    pub data: Option<DataSet>,
    /// The client marked it as a retry.
    pub is_retry: bool,
}

/// The state of a running attempt, as its engine reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProgressUpdate {
    /// The share of the work that is done, from 0 to 1.
    Progress(f64),
    /// It spills to disk for want of so many MB of memory.
    Spill(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for a load that holds its data set there.
    WaitsForLoad,
}

/// What happened: the input of a decision cycle.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list arrived, complete or as changes.
    EndpointListReceived {
        /// Whether the list is complete: engines that it does not name were removed.
        complete: bool,
        /// The entries.
        members: Vec<Member>,
    },
    /// A poll of the endpoint list failed, or the subscription broke.
    EndpointPollFailed,
    /// A request was received.
    Request(RequestDetails),
    /// A timer expired; it carries the token of its [`Action::Timer`].
    Timer(u64),
    /// An attempt ended.
    Outcome {
        /// Its request.
        id: RequestId,
        /// Its number, from 0.
        attempt: u32,
        /// The engine that it was sent to.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the send.
        elapsed: Milliseconds,
        /// The request has its final answer.
        request_finished: bool,
        /// Its true work, where the engine reports it.
        work: Option<Milliseconds>,
        /// The engine's load report, if one came with the outcome.
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
    /// A streamed answer began: timeouts no longer apply.
    Streaming {
        /// Its request.
        id: RequestId,
    },
    /// A health check ended.
    HealthChecked {
        /// The engine.
        engine: EngineId,
        /// Whether the engine answered.
        ok: bool,
        /// Time since the health check was sent.
        elapsed: Milliseconds,
        /// Its load report.
        report: Option<LoadReport>,
    },
    /// The client disconnected or cancelled the request: no answer is pending any more.
    ClientDisconnected(RequestId),
    /// Bytes from another gateway.
    Peer(Vec<u8>),
    /// The number of processes of this gateway that run now.
    ProcessCount(u32),
    /// What an earlier incarnation learned, as far as it still holds; its engines are in the list already.
    StateRestored(Box<crate::learned::LearnedState>),
}

/// Why a request cannot be sent now. Of all engines, the one that came furthest in the order of these
/// reasons decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum BlockReason {
    /// The endpoint list is empty.
    NoEngine,
    /// The engine is ejected, has just rejected an attempt as full, or failed this request before.
    Unavailable,
    /// A rule: placement, retries, one attempt in flight, the maximum of attempts, the deadline, the retry
    /// budget, the order of a key.
    Rules,
    /// The engine is in slow start, and its budget is spent.
    SlowStart,
    /// The engine reports that it is busy, and the concurrency limit is reached.
    Busy,
    /// The estimated load of the engine is high, and the concurrency limit is reached.
    Crowded,
    /// The engine is slow, and the concurrency limit is reached.
    Slow,
    /// This gateway's share of the concurrency limit over all engines is used up.
    FleetShare,
    /// The client's deadline has passed.
    Deadline,
    /// The latency objective passed while the request ran, and a late answer earns nothing or too little.
    Late,
}

impl BlockReason {
    /// The number of reasons.
    pub const COUNT: usize = BlockReason::Late as usize + 1;

    /// All reasons, in their order.
    pub const ALL: [BlockReason; BlockReason::COUNT] = [
        BlockReason::NoEngine,
        BlockReason::Unavailable,
        BlockReason::Rules,
        BlockReason::SlowStart,
        BlockReason::Busy,
        BlockReason::Crowded,
        BlockReason::Slow,
        BlockReason::FleetShare,
        BlockReason::Deadline,
        BlockReason::Late,
    ];

    /// The name in counts and logs.
    pub fn name(self) -> &'static str {
        match self {
            BlockReason::NoEngine => "no engine",
            BlockReason::Unavailable => "away",
            BlockReason::Rules => "rules",
            BlockReason::SlowStart => "cold",
            BlockReason::Busy => "busy",
            BlockReason::Crowded => "crowded",
            BlockReason::Slow => "slow",
            BlockReason::FleetShare => "part",
            BlockReason::Deadline => "deadline",
            BlockReason::Late => "late",
        }
    }
}

/// What the gateway is to do: the output of a decision cycle.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a request to an engine.
    Send {
        /// The request.
        id: RequestId,
        /// The engine.
        engine: EngineId,
        /// The timeout of the attempt; 0: the client's deadline.
        timeout: Milliseconds,
    },
    /// Rejects a request; the client may retry it without harm.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries; 0: not stated.
        retry_after: Milliseconds,
        /// Why it was not sent.
        reason: BlockReason,
    },
    /// Fails a request; whether it ran is not known.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancels an attempt.
    Cancel {
        /// Its request.
        id: RequestId,
        /// Its number, from 0.
        attempt: u32,
    },
    /// Sets the memory grant and the priority of a request, for its next attempt and those in flight.
    Terms {
        /// Its request.
        id: RequestId,
        /// Memory grant for further attempts; 0: the engine chooses.
        memory_mb: f64,
        /// From 0, the lowest, to 3.
        priority: u8,
    },
    /// Starts a timer that ends in an [`Event::Timer`].
    Timer {
        /// How long from now.
        after: Milliseconds,
        /// Returned with the event.
        token: u64,
    },
    /// Subscribes to changes of the endpoint list.
    SubscribeToEndpoints,
    /// Checks the health of an engine.
    CheckHealth {
        /// The engine.
        engine: EngineId,
    },
}
