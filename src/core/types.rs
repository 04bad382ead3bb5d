//! The plain data types that the reducer shares with front ends, engine connections and the runtime.

use crate::interface::*;
use starlingplank_persistence::sent_requests::Key;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

/// A member: an engine in the name service's list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The attributes that the decision module uses.
    pub member: Member,
    /// The address on which the engine listens. Engines are identified by their id alone, as addresses are reused.
    pub address: SocketAddr,
}

/// Flow control of a streamed result. Front ends implement this trait, and engine connections wait for capacity before they
/// read more of the result, so that a slow client slows down its own engine and memory stays bounded.
pub trait FlowControl: Debug {
    /// Waits until no more than `bytes` bytes are queued for the client, or the client has disconnected.
    fn wait_for_capacity(&self, bytes: usize) -> Pin<Box<dyn Future<Output = ()> + '_>>;
}

/// Reading of the connection on which a request arrived. Front ends implement this trait where a client may cancel a request by a
/// message, and writers to engines ask before the first byte of an attempt.
pub trait ClientReading: Debug {
    /// Returns whether the client may have cancelled the request or disconnected for longer than attempts may begin afterwards,
    /// as bytes of it are not handled yet.
    fn may_hold_withdrawal(&self) -> bool;
}

/// The part of a request that is transmitted to its engine. Decisions do not depend on it.
#[derive(Debug, Default)]
pub struct Statement {
    /// The name that the client gave the request.
    pub name: String,
    /// The name of the request's class.
    pub class: String,
    /// The statement's text, unchanged.
    pub text: Vec<u8>,
    /// The idempotency key, if any.
    pub key: Option<String>,
    /// The identity of a request that must not run twice, if the client has named the request.
    pub identity: Option<Key>,
    /// The data that follows the statement.
    pub data: Vec<u8>,
    /// Further parameters and credentials, where the engine's protocol has them.
    pub params: Vec<(String, String)>,
    /// Flow control, if the result can be streamed. Without it the result is sent once it is complete.
    pub flow: Option<Rc<dyn FlowControl>>,
    /// Reading of the client's connection, if a message on it may cancel the request.
    pub reading: Option<Rc<dyn ClientReading>>,
    /// Whether the client has disconnected or cancelled the request.
    pub abandoned: Cell<bool>,
}

impl Statement {
    /// Records that the client has disconnected or cancelled the request. From then on no attempt of the request may begin, even
    /// if the reducer has not been notified yet.
    pub fn abandon(&self) {
        self.abandoned.set(true);
    }

    /// Returns whether the client has disconnected or cancelled the request.
    pub fn is_abandoned(&self) -> bool {
        self.abandoned.get()
    }

    /// Returns whether a cancellation or a disconnect of the client may wait to be read.
    pub fn may_be_withdrawn(&self) -> bool {
        self.reading.as_ref().is_some_and(|reading| reading.may_hold_withdrawal())
    }

    /// Returns the memory that an open request with this statement takes: its text, its data, its parameters and its state, in bytes.
    pub fn bytes(&self) -> usize {
        self.text.len() + self.data.len() + params_memory(&self.params) + REQUEST_STATE_BYTES
    }
}

/// Memory of an open request beside its statement, in bytes: its names, its timers, its attempts, and what the decisions keep of it.
const REQUEST_STATE_BYTES: usize = 1 << 10;

/// Memory of one parameter in addition to its name and value, in bytes.
pub const PARAM_OVERHEAD: usize = size_of::<(String, String)>() + 2 * MIN_ALLOCATION;
/// Memory that an allocation takes at least, in bytes.
const MIN_ALLOCATION: usize = 24;

/// Returns the memory that parameters take, in bytes.
pub fn params_memory(params: &[(String, String)]) -> usize {
    params.iter().map(|(name, value)| name.len() + value.len() + PARAM_OVERHEAD).sum()
}

/// A result: its bytes in the parts in which they were received, and the headers that describe them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResultRows {
    /// The encoded rows, in order.
    pub parts: Vec<Vec<u8>>,
    /// Headers of the engine's response that are forwarded to the client.
    pub headers: Vec<(String, String)>,
    /// Keeps the memory of the rows counted until they are passed on.
    pub memory: CountedMemory,
}

/// Memory that its owner counts until this value is dropped.
#[derive(Debug, Clone, Default)]
pub struct CountedMemory {
    // A thin pointer, as events hold it.
    _counted: Option<Rc<Box<dyn Debug>>>,
}

impl CountedMemory {
    /// Keeps a value that counts memory until it is dropped.
    pub fn new(counted: impl Debug + 'static) -> Self {
        Self { _counted: Some(Rc::new(Box::new(counted))) }
    }
}

impl PartialEq for CountedMemory {
    /// Results are equal by their rows, whoever counts them.
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

/// A request as received by a front end.
#[derive(Debug)]
pub struct ClientRequest {
    /// The attributes that the decision module uses.
    pub details: RequestDetails,
    /// The part that is sent to the engine.
    pub statement: Rc<Statement>,
}

/// An engine's error, for front ends that forward it to the client.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineError {
    /// Status code of the response.
    pub status: u16,
    /// The engine's own error code.
    pub code: u32,
    /// The engine's error message.
    pub text: Vec<u8>,
}

/// The final answer to a request; each request gets exactly one.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The complete result.
    Served(ResultRows),
    /// The streamed result is complete.
    Streamed,
    /// The streamed result was cut off and cannot be completed.
    Aborted,
    /// Rejected before execution. The client may retry, preferably after this many milliseconds.
    Rejected(Milliseconds),
    /// Execution failed, with the engine's error if there is one.
    Failed(Option<EngineError>),
    /// The request's deadline passed before a result was available.
    Expired,
}

/// Identifies an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The attempt's number within the request, counted from 0.
    pub number: u32,
}

/// The end of an attempt, as reported by the engine connection.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The attempt's outcome.
    pub outcome: Outcome,
    /// The work that the attempt took, if the engine reported it.
    pub work: Option<Milliseconds>,
    /// The engine's load, if the engine reported it.
    pub report: Option<LoadReport>,
    /// The result, if it was not streamed.
    pub rows: ResultRows,
    /// The engine's error, if execution failed.
    pub error: Option<EngineError>,
}

impl AttemptEnd {
    /// Creates an end with an outcome and neither a result, an error nor a load report.
    pub fn from_outcome(outcome: Outcome) -> Self {
        Self { outcome, work: None, report: None, rows: ResultRows::default(), error: None }
    }
}

/// Counts of one class since the start of the process.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counts {
    /// Number of requests received.
    pub received: u64,
    /// Number of attempts that ended, by outcome, in the order of [`Outcome`].
    pub outcomes: [u64; 8],
    /// Number of requests whose client disconnected or cancelled the request.
    pub disconnected: u64,
    /// Number of rejected requests, by reason.
    pub rejections: BTreeMap<&'static str, u64>,
}
