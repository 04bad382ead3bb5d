//! The input of the reducer, [`Event`], and its output, [`Effect`].

use super::types::{Answer, AttemptEnd, AttemptId, ClientRequest, Endpoint, ResultRows, Statement};
use crate::interface::{ClassId, EngineId, LoadReport, Milliseconds, Outcome, ProgressUpdate, RequestId};
use starlingplank_admin::inherited_membership::InheritedMembership;
use starlingplank_admin::operator_overrides::OperatorOverrides;
use starlingplank_decision::permission::send::{SendPermit, SendRefusal};
use starlingplank_persistence::deduplication_window::{Key, KeySend, KeySends, LogMark, Rewrite};
use std::net::SocketAddr;
use std::rc::Rc;

/// An input of the reducer.
#[derive(Debug)]
pub enum Event {
    /// The name service sent its complete list of engines.
    EndpointList {
        /// The list's version, which increases with each change of the list.
        version: u64,
        /// All members of the list.
        endpoints: Vec<Endpoint>,
    },
    /// The current address of the name service has responded. The list that follows replaces those that a previous address
    /// has sent since the change of address, even if its version is lower.
    PreviousAddressSuperseded,
    /// The lease on the list of engines is renewed until this time.
    EndpointListLease(Milliseconds),
    /// A front end received a request.
    RequestReceived(ClientRequest),
    /// The client disconnected or cancelled the request.
    ClientDisconnected(RequestId),
    /// The first part of a streamed result was received from the engine.
    ResponseStarted(AttemptId, ResultRows),
    /// A further part of a streamed result was received from the engine.
    ResponseChunk(AttemptId, Vec<u8>),
    /// An attempt ended.
    AttemptEnded(AttemptId, AttemptEnd),
    /// An engine sent a progress update for an attempt.
    ProgressUpdate(AttemptId, ProgressUpdate),
    /// A health check ended.
    HealthChecked {
        /// The number from [`Effect::CheckHealth`].
        number: u64,
        /// Whether the engine responded in time and reported no failure.
        succeeded: bool,
        /// The engine's load, if the engine reported it.
        report: Option<LoadReport>,
    },
    /// At least one timer is due.
    TimersDue,
    /// All events of a batch have been handled: run a decision cycle if one is due.
    RunDecisionCycle,
    /// A shutdown was requested.
    Terminate {
        /// The earliest time at which the shutdown may have been requested.
        requested_at: Milliseconds,
    },
    /// The records of keyed sends with these numbers are durable.
    RecordsDurable(Vec<u64>),
    /// The records with these numbers may not be durable, and the log accepts no further records.
    RecordsFailed(Vec<u64>),
    /// The idempotency log was rewritten, and now holds these keys.
    LogRewritten(Vec<(Key, KeySends)>),
    /// Maintenance of the idempotency log is due, which happens once a second.
    MaintenanceTick,
    /// A successor process accepts new connections, which leaves more time for open requests.
    SuccessorListening,
    /// The operator override was read or has changed: the engines that operators have excluded.
    OperatorOverrides(OperatorOverrides),
    /// The membership known to an earlier process of this gateway was read.
    InheritedMembership(InheritedMembership),
    /// Another process of this gateway has sent requests with these keys.
    PeerKeys(Vec<(Key, KeySends)>),
    /// Another process of this gateway has sent requests with these identities, which must not run twice.
    PeerRequests(Vec<(Key, KeySends)>),
    /// The current number of running processes of this gateway.
    ProcessCount(usize),
}

/// An attempt that is to be transmitted.
#[derive(Debug, Clone)]
pub struct Send {
    /// The attempt's id.
    pub id: AttemptId,
    /// The engine that the attempt is sent to.
    pub engine: EngineId,
    /// The address on which the engine listens.
    pub address: SocketAddr,
    /// The request's class.
    pub class: ClassId,
    /// The statement and its data.
    pub statement: Rc<Statement>,
    /// The time that is left until the attempt's deadline, in ms.
    pub time_left: Milliseconds,
    /// The time within which the attempt must be transmitted or dropped, as engines discard idempotency keys after a while.
    pub transmit_within: Option<Milliseconds>,
    /// Memory grant in MB; 0 for the engine's default.
    pub memory_mb: f64,
    /// The attempt's priority, 0 to 3.
    pub priority: u8,
    /// Whether another attempt of the request was sent before.
    pub is_retry: bool,
    /// The permission to transmit the attempt. Revoked when the attempt ends.
    pub permit: SendPermit,
    /// The time at which the reducer requested the transmission.
    pub at: Milliseconds,
}

/// An output of the reducer, performed by the runtime.
#[derive(Debug)]
pub enum Effect {
    /// Transmit an attempt.
    Send(Send),
    /// Abort an attempt.
    AbortAttempt {
        /// The attempt's id.
        attempt: AttemptId,
        /// The engine that the attempt was sent to.
        engine: EngineId,
        /// The reason for the abort: a timeout, a cancellation or a reset.
        outcome: Outcome,
    },
    /// Change the priority of an attempt in flight.
    SetPriority {
        /// The attempt's id.
        attempt: AttemptId,
        /// The engine that the attempt was sent to.
        engine: EngineId,
        /// The new priority, 0 to 3.
        priority: u8,
    },
    /// Check the health of an engine.
    CheckHealth {
        /// The number that [`Event::HealthChecked`] repeats.
        number: u64,
        /// The engine to check.
        engine: EngineId,
        /// The address on which the engine listens.
        address: SocketAddr,
    },
    /// Drop the attempts queued for an engine that is draining or was removed.
    DropQueued(EngineId),
    /// Send the first part of a streamed result to the client.
    StartResponse(RequestId, ResultRows),
    /// Send a further part of a streamed result to the client.
    ResponseChunk(RequestId, Vec<u8>),
    /// Send the final answer to the client.
    Answer(RequestId, Answer),
    /// Log why a request was rejected.
    LogRejection {
        /// The request's id.
        request: RequestId,
        /// The request's class.
        class: ClassId,
        /// The reason for the rejection.
        reason: &'static str,
        /// The time from the request's arrival to its rejection.
        waited: Milliseconds,
    },
    /// Log that the decision module requested an attempt that the sending rules do not allow, and that the attempt was not sent.
    LogViolation {
        /// The attempt's id.
        attempt: AttemptId,
        /// The rule that the attempt violates.
        refusal: SendRefusal,
    },
    /// Write a record of a keyed send.
    WriteRecord {
        /// The number that [`Event::RecordsDurable`] or [`Event::RecordsFailed`] repeats.
        number: u64,
        /// The idempotency key.
        key: Key,
        /// The send to record.
        sent: KeySend,
    },
    /// Write a mark that the idempotency log is complete so far.
    WriteMark(LogMark),
    /// Rewrite the idempotency log.
    RewriteLog(Rewrite),
    /// Log whether the list of engines is reliable from now on.
    LogListReliability(bool),
    /// Exit, as every request has been answered.
    Exit,
}
