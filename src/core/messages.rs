//! The reducer's input, [`Event`], and its output, [`Effect`].

use super::types::{Answer, AttemptEnd, AttemptId, ClientRequest, Endpoint, ResultRows, Statement};
use crate::interface::{ClassId, EngineId, LoadReport, Milliseconds, Outcome, ProgressUpdate, RequestId};
use starlingplank_admin::inherited_membership::InheritedMembership;
use starlingplank_admin::operator_overrides::OperatorOverrides;
use starlingplank_decision::permission::send::{SendPermit, SendRefusal};
use starlingplank_persistence::deduplication_window::{Key, KeySend, KeySends, LogMark, Rewrite};
use std::net::SocketAddr;
use std::rc::Rc;

/// Input of the reducer.
#[derive(Debug)]
pub enum Event {
    /// The name service's complete list.
    EndpointList {
        /// Rises with each change of the list.
        version: u64,
        /// All members.
        endpoints: Vec<Endpoint>,
    },
    /// The present address of the name service has answered: the list that follows replaces those that a previous address
    /// has sent since the change of address, though its version may be lower.
    PreviousAddressSuperseded,
    /// The lease on the list of engines is renewed until this time.
    EndpointListLease(Milliseconds),
    /// A front received a request.
    RequestReceived(ClientRequest),
    /// The client disconnected or withdrew the request.
    ClientDisconnected(RequestId),
    /// The first part of a streamed answer arrived.
    ResponseStarted(AttemptId, ResultRows),
    /// A further part of a streamed answer arrived.
    ResponseChunk(AttemptId, Vec<u8>),
    /// An attempt ended.
    AttemptEnded(AttemptId, AttemptEnd),
    /// An engine sent a progress update of an attempt.
    ProgressUpdate(AttemptId, ProgressUpdate),
    /// A health check ended.
    HealthChecked {
        /// The number that [`Effect::CheckHealth`] gave.
        number: u64,
        /// Whether the engine answered in time and well.
        succeeded: bool,
        /// The engine's load, where it reports that.
        report: Option<LoadReport>,
    },
    /// The time of a timer has come.
    TimersDue,
    /// All events of a batch were handled: run a decision cycle if one is due.
    RunDecisionCycle,
    /// The shutdown was requested.
    Terminate {
        /// When, at the earliest.
        requested_at: Milliseconds,
    },
    /// These records of keyed sends are durable.
    RecordsDurable(Vec<u64>),
    /// These records may not be durable, and the log accepts no more.
    RecordsFailed(Vec<u64>),
    /// The log was rewritten with these keys.
    LogRewritten(Vec<(Key, KeySends)>),
    /// The maintenance tick of the log, once a second.
    MaintenanceTick,
    /// Another process takes over, which leaves more time for open requests.
    SuccessorListens,
    /// The operator override: engines that operators have excluded.
    OperatorOverrides(OperatorOverrides),
    /// What an earlier process of this gateway knew of the membership.
    InheritedMembership(InheritedMembership),
    /// Another process of this gateway sent requests with these keys.
    PeerKeys(Vec<(Key, KeySends)>),
    /// How many processes of this gateway run now.
    ProcessCount(usize),
}

/// An attempt to transmit.
#[derive(Debug, Clone)]
pub struct Send {
    /// The attempt.
    pub id: AttemptId,
    /// The engine.
    pub engine: EngineId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The request's class.
    pub class: ClassId,
    /// What is transmitted.
    pub statement: Rc<Statement>,
    /// The time until its deadline.
    pub budget: Milliseconds,
    /// The time within which it must be transmitted or dropped, as engines forget keys.
    pub transmit_within: Option<Milliseconds>,
    /// Memory grant in MB; 0 leaves it to the engine.
    pub memory_mb: f64,
    /// Priority, 0 to 3.
    pub priority: u8,
    /// Another attempt of the request was sent before.
    pub is_retry: bool,
    /// Ends with the attempt.
    pub permit: SendPermit,
    /// When it was handed over.
    pub at: Milliseconds,
}

/// Output of the reducer, performed by the runtime.
#[derive(Debug)]
pub enum Effect {
    /// Transmit an attempt.
    Send(Send),
    /// Abort an attempt.
    AbortAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Its engine.
        engine: EngineId,
        /// The reason: a timeout, a cancellation or a reset.
        outcome: Outcome,
    },
    /// Change the priority of an attempt in flight.
    SetPriority {
        /// The attempt.
        attempt: AttemptId,
        /// Its engine.
        engine: EngineId,
        /// The new priority, 0 to 3.
        priority: u8,
    },
    /// Check the health of an engine.
    CheckHealth {
        /// The number that [`Event::HealthChecked`] repeats.
        number: u64,
        /// The engine.
        engine: EngineId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Drop what is queued for an engine that drains or was removed.
    DropQueued(EngineId),
    /// Stream the first part of an answer to the client.
    StartResponse(RequestId, ResultRows),
    /// Stream a further part.
    ResponseChunk(RequestId, Vec<u8>),
    /// Send the final answer.
    Answer(RequestId, Answer),
    /// Log why a request was rejected.
    LogRejection {
        /// The request.
        request: RequestId,
        /// Its class.
        class: ClassId,
        /// Why it was rejected.
        reason: &'static str,
        /// How long it had waited.
        waited: Milliseconds,
    },
    /// Log that the decision module requested an attempt that the rules do not allow. It was not sent.
    LogViolation {
        /// The attempt.
        attempt: AttemptId,
        /// The rule that it breaks.
        refusal: SendRefusal,
    },
    /// Write a record of a keyed send.
    WriteRecord {
        /// The number that [`Event::RecordsDurable`] or [`Event::RecordsFailed`] reports.
        number: u64,
        /// The idempotency key.
        key: Key,
        /// The send.
        sent: KeySend,
    },
    /// Write a mark that the log is complete.
    WriteMark(LogMark),
    /// Rewrite the log.
    RewriteLog(Rewrite),
    /// Log whether the list of engines may be relied on from now on.
    LogListReliability(bool),
    /// Every request is answered: exit.
    Exit,
}
