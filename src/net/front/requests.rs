//! Requests received from clients, and the interface through which their responses are written.

use crate::core::{Answer, ResultRows, Statement};
use crate::interface::{ClassId, Milliseconds, TenantId};
use starlingplank_admin::metrics::Count;

/// Writes the response to one request, in the protocol of its client.
pub trait ResponseWriter {
    /// Writes the start of a streamed response and the rows collected so far.
    fn start(&self, rows: ResultRows);
    /// Writes the next chunk of a streamed response.
    fn send_chunk(&self, bytes: Vec<u8>);
    /// Writes the final answer and ends the response.
    fn finish(self: Box<Self>, answer: Answer);
}

/// A request that was read from a client and is not submitted yet.
pub struct ReceivedRequest {
    /// Name that the client gave the request.
    pub name: String,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the request; `None` if the client names no tenant, or one that is not in the settings.
    pub tenant: Option<TenantId>,
    /// Earliest time at which the last byte of the request may have arrived.
    pub arrived_at: Milliseconds,
    /// Maximum time for which the client waits for the answer.
    pub max_wait: Milliseconds,
    /// Client's estimate of the work of the request.
    pub work: Option<Milliseconds>,
    /// Client's estimate of the memory of the request, in MB.
    pub memory_mb: Option<f64>,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
    /// Statement to execute.
    pub statement: Statement,
}

/// Returns the metric under which an answer is counted.
pub(super) fn count_of_answer(answer: &Answer) -> Count {
    match answer {
        Answer::Served(_) | Answer::Streamed => Count::Answered,
        Answer::Rejected(_) => Count::Deferred,
        Answer::Aborted | Answer::Failed(_) | Answer::Expired => Count::Errored,
    }
}
