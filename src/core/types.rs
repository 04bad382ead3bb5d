//! What a gateway deals in: engines, statements, results, answers and counts.

use crate::interface::*;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

/// An engine as the list names it.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    /// What the module is told.
    pub member: Member,
    /// Where it listens. The id, never this, says which engine it is: addresses are used again.
    pub address: SocketAddr,
}

/// What waits for the reader of an answer that is passed on in parts. A front implements it; an engine wire asks
/// it for room before it reads on, so that a slow reader slows its own engine and memory stays bounded.
pub trait Flow: Debug {
    /// Waits until no more than so many bytes wait for the reader, or the reader has gone.
    fn room(&self, bytes: usize) -> Pin<Box<dyn Future<Output = ()> + '_>>;
}

/// What a request carries to its engine; no decision looks at it.
#[derive(Debug, Default)]
pub struct Statement {
    /// The client's name for the request.
    pub name: String,
    /// The class's name.
    pub class: String,
    /// The statement, as it came.
    pub text: Vec<u8>,
    /// The idempotency key, if any.
    pub key: Option<String>,
    /// Data that follows the statement.
    pub data: Vec<u8>,
    /// Further parameters and credentials to pass on, where the engines' interface has them.
    pub params: Vec<(String, String)>,
    /// Where the answer can be passed on in parts, what waits for its reader; else it is passed on whole.
    pub flow: Option<Rc<dyn Flow>>,
}

impl Statement {
    pub(super) fn bytes(&self) -> usize {
        self.text.len() + self.data.len()
    }
}

/// A result: its bytes in the parts in which they came, and what describes them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rows {
    /// Text of rows, in order.
    pub parts: Vec<Vec<u8>>,
    /// Headers of the engine's answer that the client should see.
    pub headers: Vec<(String, String)>,
}

/// A request as a front took it.
#[derive(Debug)]
pub struct Ask {
    /// The module's view of it.
    pub asked: Incoming,
    /// What is sent.
    pub statement: Rc<Statement>,
}

/// What an engine said about a failure, for fronts whose clients expect it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineError {
    /// Status code.
    pub status: u16,
    /// The engine's own code.
    pub code: u32,
    /// Its text.
    pub text: Vec<u8>,
}

/// The one final answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// All rows.
    Served(Rows),
    /// The rest of what was begun came whole.
    Finished,
    /// What was begun can not be finished.
    Cut,
    /// Turned away; trying again is harmless, best after so many milliseconds.
    Refused(Ms),
    /// Failed, with the engine's words if there are any.
    Failed(Option<EngineError>),
    /// Failed because its time ran out.
    Expired,
}

/// One attempt.
pub type AttemptId = (RequestId, u32);

/// How an attempt ended, as an engine wire saw it.
#[derive(Debug)]
pub struct End {
    /// Its outcome.
    pub outcome: Outcome,
    /// Its work, where told.
    pub work: Option<Ms>,
    /// The engine's load, where told.
    pub report: Option<Report>,
    /// The result of one that was served whole.
    pub rows: Rows,
    /// What the engine said of a failure.
    pub error: Option<EngineError>,
}

impl End {
    /// An end with nothing but its outcome.
    pub fn plain(outcome: Outcome) -> Self {
        Self { outcome, work: None, report: None, rows: Rows::default(), error: None }
    }
}

/// Attempts and outcomes of one class so far.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counts {
    /// Requests taken.
    pub taken: u64,
    /// Ends of attempts, in the order of [`Outcome`].
    pub outcomes: [u64; 8],
    /// Requests left by their clients.
    pub left: u64,
    /// Of the refused, what kept them from being sent.
    pub refusals: BTreeMap<&'static str, u64>,
}
