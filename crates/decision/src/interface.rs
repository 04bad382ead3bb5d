//! Input and output of the decision module: events and actions, with their types. This module takes no decisions. All
//! points in time and durations are in milliseconds.

pub use crate::settings::{
    Class, Idempotency, MachineType, RetryBudgetSettings, Scope, Settings, SettingsError, Tenant,
};
pub use crate::types::{
    Availability, ClassId, DataSet, EngineId, MachineTypeId, Member, Milliseconds, OrderKey, Placement,
    RequestId, TenantId, ZoneId,
};

/// Load report of an engine. Each figure may be delayed, inaccurate, implausible or missing.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Number of queries that run or wait at the engine.
    pub inflight: Option<f64>,
    /// Number of queries at the engine that wait for memory.
    pub queue: Option<f64>,
    /// Share of the engine's cores in use, from 0 to 1.
    pub util: Option<f64>,
    /// Share of the engine's memory that is granted, from 0 to 1.
    pub memory: Option<f64>,
    /// Share of the engine's disk time in use, from 0 to 1.
    pub disks: Option<f64>,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine answered with a result.
    Ok,
    /// The engine answered with an error; the attempt may have run.
    Error,
    /// The engine was full and rejected the attempt without running it.
    Full,
    /// The engine did not answer before the timeout; the attempt may still be running.
    Timeout,
    /// The connection was refused; the attempt did not run.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The gateway cancelled the attempt; it may have run.
    Cancelled,
    /// The attempt was never sent.
    NotExecuted,
}

/// A request as it was received.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestDetails {
    /// Identifier of the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant that sent the request, if known.
    pub tenant: Option<TenantId>,
    /// Key that determines the order of requests, in ordered classes.
    pub key: Option<OrderKey>,
    /// Deadline of the request: time at which the client stops waiting.
    pub deadline: Milliseconds,
    /// Estimate of the request's work, if the client sent one.
    pub work: Option<Milliseconds>,
    /// Estimate of the memory that the request needs, in MB, if the client sent one.
    pub memory_mb: Option<f64>,
    /// Data set that the request reads or loads, if stated.
    pub data: Option<DataSet>,
    /// The client marked the request as a retry.
    pub is_retry: bool,
}

/// State of a running attempt, as its engine reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProgressUpdate {
    /// Completed share of the attempt's work, from 0 to 1.
    Progress(f64),
    /// The attempt spills to disk because it lacks this amount of memory, in MB.
    Spill(f64),
    /// The attempt waits for memory.
    WaitsForMemory,
    /// The attempt waits for a load that locks its data set on this engine.
    WaitsForLoad,
}

/// Event: input of a decision cycle.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list was received, complete or as changes.
    EndpointListReceived {
        /// True if the list is complete: engines that it does not contain have been removed.
        complete: bool,
        /// Entries of the list.
        members: Vec<Member>,
    },
    /// A poll of the endpoint list failed, or the subscription was interrupted.
    EndpointPollFailed,
    /// A request was received.
    Request(RequestDetails),
    /// A timer expired; the value is the token of its [`Action::Timer`].
    Timer(u64),
    /// An attempt ended.
    Outcome {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within the request, from 0.
        attempt: u32,
        /// Engine that the attempt was sent to.
        engine: EngineId,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Time from the send to the outcome.
        elapsed: Milliseconds,
        /// The request has its final answer.
        request_finished: bool,
        /// Actual work of the query, if the engine reports it.
        work: Option<Milliseconds>,
        /// The engine's load report, if the outcome includes one.
        report: Option<LoadReport>,
    },
    /// An engine sent a progress update of a running attempt.
    ProgressUpdate {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within the request, from 0.
        attempt: u32,
        /// State that the engine reports.
        update: ProgressUpdate,
    },
    /// The engine started to stream its answer: timeouts no longer apply.
    Streaming {
        /// Request that the attempt belongs to.
        id: RequestId,
    },
    /// A health check ended.
    HealthChecked {
        /// The engine.
        engine: EngineId,
        /// True if the engine answered.
        ok: bool,
        /// Time from the start of the health check to its end.
        elapsed: Milliseconds,
        /// Load report of the engine, if the answer includes one.
        report: Option<LoadReport>,
    },
    /// The client disconnected or cancelled the request: no answer is to be sent any more.
    ClientDisconnected(RequestId),
    /// Message received from another gateway.
    Peer(Vec<u8>),
    /// Number of processes of this gateway that are running now.
    ProcessCount(u32),
    /// State that an earlier process of this gateway learned, as far as it is still valid. The endpoint list that
    /// contains its engines has already been received.
    StateRestored(Box<crate::learned::LearnedState>),
}

/// Reason why a request cannot be sent now. If engines were excluded for different reasons, the last one in this
/// order is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum BlockReason {
    /// The endpoint list is empty.
    NoEngine,
    /// The engine is ejected, has just rejected an attempt as full, or failed this request before.
    Unavailable,
    /// A rule forbids it: placement, idempotency, one attempt in flight, the maximum number of attempts, the
    /// deadline, the retry budget, or the order of requests with the same key.
    Rules,
    /// The engine is in slow start, and its budget is exhausted.
    SlowStart,
    /// The engine reports that it is busy, and the concurrency limit is reached.
    Busy,
    /// The estimated load of the engine is high, and the concurrency limit is reached.
    Crowded,
    /// The engine is slow, and the concurrency limit is reached.
    Slow,
    /// This gateway's share of the concurrency limit over all engines is exhausted.
    FleetShare,
    /// The client's deadline has passed.
    Deadline,
    /// The latency objective passed while the request ran, and a late answer earns nothing or too little.
    Late,
}

impl BlockReason {
    /// Number of reasons.
    pub const COUNT: usize = BlockReason::Late as usize + 1;

    /// All reasons, in the order of their discriminants.
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

    /// Returns the name of the reason in counters and logs.
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

/// Operation that the gateway must perform: output of a decision cycle.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a request to an engine.
    Send {
        /// The request.
        id: RequestId,
        /// The engine.
        engine: EngineId,
        /// Timeout of the attempt; 0: the client's deadline applies.
        timeout: Milliseconds,
    },
    /// Rejects a request; the client may retry it without harm.
    Reject {
        /// The request.
        id: RequestId,
        /// Time that the client should wait before it retries; 0: not stated.
        retry_after: Milliseconds,
        /// Reason why the request was not sent.
        reason: BlockReason,
    },
    /// Answers a request with a failure: it is not known whether the request ran.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancels an attempt.
    Cancel {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within the request, from 0.
        attempt: u32,
    },
    /// Sets the memory grant and the priority of a request, for its next attempt and those in flight.
    SetTerms {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Memory grant for further attempts, in MB; 0: the engine chooses.
        memory_mb: f64,
        /// Priority, from 0 (lowest) to 3.
        priority: u8,
    },
    /// Starts a timer whose expiry is reported by an [`Event::Timer`].
    Timer {
        /// Time from now until the timer expires.
        after: Milliseconds,
        /// Token that the event returns.
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
