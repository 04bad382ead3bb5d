//! The flows, one socket each, that questions leave from. A flow may fall silent for good while the service is well, so that a
//! question that goes unanswered for a while makes the next one leave from a fresh flow. A flow lives until its last
//! question can't be answered any more.

use crate::questions::{OpenQuestions, Question, ANSWERABLE};
use crate::Milliseconds;

/// A flow on which nothing has confirmed the list for so long is left for a fresh one: three questions at the steady pace.
/// Where questions are further apart, each unanswered one is followed by one from a fresh flow.
pub const RENEW_AFTER: Milliseconds = 600.0;
/// Flows at once at most, where there are descriptors for them. With a fresh one every [`RENEW_AFTER`] the oldest gives way as
/// its last question expires.
pub const MOST_FLOWS: usize = 8;

/// Identifies a flow within its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowId(pub u64);

#[derive(Debug)]
struct Flow {
    id: FlowId,
    /// When the last question left from it.
    last_asked_at: Milliseconds,
    /// When the first question left that no answer has confirmed since.
    unconfirmed_since: Option<Milliseconds>,
}

/// The flows of a process; questions leave from the last one.
#[derive(Debug)]
pub struct Flows {
    flows: Vec<Flow>,
    opened: u64,
    most: usize,
}

impl Flows {
    /// No flow yet, and that many at most.
    pub fn new(most: usize) -> Self {
        Self { flows: Vec::new(), opened: 0, most: most.max(1) }
    }

    /// The flow that the next question leaves from.
    pub fn current(&self) -> Option<FlowId> {
        self.flows.last().map(|flow| flow.id)
    }

    /// Whether the next question should leave from a fresh flow.
    pub fn wants_fresh(&self, now: Milliseconds) -> bool {
        let is_silent = |since: Milliseconds| now - since >= RENEW_AFTER;
        self.flows.last().is_none_or(|flow| flow.unconfirmed_since.is_some_and(is_silent))
    }

    /// A fresh flow was opened.
    pub fn open(&mut self, now: Milliseconds) -> FlowId {
        self.opened += 1;
        let id = FlowId(self.opened);
        self.flows.push(Flow { id, last_asked_at: now, unconfirmed_since: None });
        id
    }

    /// A question leaves from a flow.
    pub fn ask(&mut self, question: &Question) {
        if let Some(flow) = self.find(question.flow) {
            flow.last_asked_at = question.asked_at;
            flow.unconfirmed_since.get_or_insert(question.asked_at);
        }
    }

    /// The answer to a question confirms the list, or holds a newer one.
    pub fn confirm(&mut self, question: &Question, open: &OpenQuestions) {
        if let Some(flow) = self.find(question.flow) {
            flow.unconfirmed_since = open.first_after(question.number, question.flow);
        }
    }

    /// A flow does not work: it is left with the next question.
    pub fn fail(&mut self, id: FlowId) {
        if let Some(flow) = self.find(id) {
            flow.unconfirmed_since = Some(f64::NEG_INFINITY);
        }
    }

    /// The flows that end now: no answer can come on them any more, or they are too many.
    pub fn close(&mut self, now: Milliseconds) -> Vec<FlowId> {
        let current = self.current();
        let most_former = self.flows.len().saturating_sub(self.most);
        let mut place = 0;
        let mut closed = Vec::new();
        self.flows.retain(|flow| {
            let is_over = place < most_former || now - flow.last_asked_at > ANSWERABLE;
            place += 1;
            let ends = is_over && current != Some(flow.id);
            if ends {
                closed.push(flow.id);
            }
            !ends
        });
        closed
    }

    fn find(&mut self, id: FlowId) -> Option<&mut Flow> {
        self.flows.iter_mut().find(|flow| flow.id == id)
    }
}

#[cfg(test)]
mod tests;
