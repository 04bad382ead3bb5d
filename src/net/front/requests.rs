//! A request as a front reads it from a client, and how the client is answered.

use crate::core::{Answer, ResultRows, Statement};
use crate::interface::{ClassId, Milliseconds, TenantId};
use starlingplank_admin::metrics::Count;

/// Writes the response to one request, in the protocol of its client.
pub trait ResponseWriter {
    /// Writes the first part of a streamed response.
    fn start(&self, rows: ResultRows);
    /// Writes a further part of a streamed response.
    fn send_chunk(&self, bytes: Vec<u8>);
    /// Writes the final answer.
    fn finish(self: Box<Self>, answer: Answer);
}

/// A request that a front has read from a client.
pub struct ReceivedRequest {
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where the settings name it.
    pub tenant: Option<TenantId>,
    /// When its last byte arrived.
    pub arrived: Milliseconds,
    /// How long the client waits for the answer.
    pub limit: Milliseconds,
    /// The client's estimate of its work.
    pub work: Option<Milliseconds>,
    /// The client's estimate of its memory.
    pub memory_mb: Option<f64>,
    /// The client marks it as a retry of its own.
    pub is_retry: bool,
    /// What is to be executed.
    pub statement: Statement,
}

/// The metric under which an answer is counted.
pub(super) fn count_of_answer(answer: &Answer) -> Count {
    match answer {
        Answer::Served(_) | Answer::Streamed => Count::Answered,
        Answer::Rejected(_) => Count::Deferred,
        Answer::Aborted | Answer::Failed(_) | Answer::Expired => Count::Errored,
    }
}
