//! The plain types that the reducer shares with fronts, engine wires and the runtime.

use crate::interface::*;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

/// A member: an engine as the name service lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The decision module's view of it.
    pub member: Member,
    /// Where it listens. Engines are identified by their id alone, as addresses are reused.
    pub address: SocketAddr,
}

/// Flow control of a streamed answer. A front implements it; an engine wire waits for it before it reads on, so that a
/// slow client slows down its own engine and memory stays bounded.
pub trait FlowControl: Debug {
    /// Waits until at most this many bytes are queued for the client, or the client has disconnected.
    fn wait_for_capacity(&self, bytes: usize) -> Pin<Box<dyn Future<Output = ()> + '_>>;
}

/// What a request carries to its engine; decisions do not depend on it.
#[derive(Debug, Default)]
pub struct Statement {
    /// The client's name for the request.
    pub name: String,
    /// The class's name.
    pub class: String,
    /// The statement, unchanged.
    pub text: Vec<u8>,
    /// The idempotency key, if any.
    pub key: Option<String>,
    /// The data after the statement.
    pub data: Vec<u8>,
    /// Further parameters and credentials, where the engines' interface has them.
    pub params: Vec<(String, String)>,
    /// Flow control where the answer can be streamed; without it the answer is sent once it is complete.
    pub flow: Option<Rc<dyn FlowControl>>,
    /// Whether the client has disconnected or cancelled the request.
    pub abandoned: Cell<bool>,
}

impl Statement {
    /// Records that the client has disconnected or cancelled the request: no attempt of it may begin, also before the reducer is
    /// notified.
    pub fn abandon(&self) {
        self.abandoned.set(true);
    }

    /// Whether the client has disconnected or cancelled the request.
    pub fn is_abandoned(&self) -> bool {
        self.abandoned.get()
    }

    pub(super) fn bytes(&self) -> usize {
        self.text.len() + self.data.len()
    }
}

/// A result: its bytes in the parts in which they arrived, and the headers that describe them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResultRows {
    /// Text of rows, in order.
    pub parts: Vec<Vec<u8>>,
    /// Headers of the engine's answer that go to the client.
    pub headers: Vec<(String, String)>,
}

/// A request as a front received it.
#[derive(Debug)]
pub struct ClientRequest {
    /// The decision module's view of it.
    pub details: RequestDetails,
    /// What is sent to the engine.
    pub statement: Rc<Statement>,
}

/// An engine's error, for fronts that pass it on to the client.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineError {
    /// Status code.
    pub status: u16,
    /// The engine's own code.
    pub code: u32,
    /// The engine's message.
    pub text: Vec<u8>,
}

/// The one final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The complete result.
    Served(ResultRows),
    /// The streamed result is complete.
    Streamed,
    /// The streamed result cannot be completed.
    Aborted,
    /// Rejected before execution; the client may retry, best after this many milliseconds.
    Rejected(Milliseconds),
    /// Failed, with the engine's error if there is one.
    Failed(Option<EngineError>),
    /// Failed as its deadline passed.
    Expired,
}

/// Identifies an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Its request.
    pub request: RequestId,
    /// Its number within the request, from 0.
    pub number: u32,
}

/// How an attempt ended, as an engine wire saw it.
#[derive(Debug)]
pub struct AttemptEnd {
    /// Its outcome.
    pub outcome: Outcome,
    /// The work it took, where the engine reports that.
    pub work: Option<Milliseconds>,
    /// The engine's load, where the engine reports that.
    pub report: Option<LoadReport>,
    /// The result, if it was not streamed.
    pub rows: ResultRows,
    /// The engine's error, if it failed.
    pub error: Option<EngineError>,
}

impl AttemptEnd {
    /// An end that has nothing but its outcome.
    pub fn from_outcome(outcome: Outcome) -> Self {
        Self { outcome, work: None, report: None, rows: ResultRows::default(), error: None }
    }
}

/// Counts of one class since the start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counts {
    /// Requests received.
    pub received: u64,
    /// Ended attempts, in the order of [`Outcome`].
    pub outcomes: [u64; 8],
    /// Requests whose clients disconnected or withdrew them.
    pub disconnected: u64,
    /// Rejected requests by reason.
    pub rejections: BTreeMap<&'static str, u64>,
}
