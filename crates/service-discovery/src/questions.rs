//! The questions that are out: which they are, when and to whom they were sent, and from which flow.

use crate::flows::FlowId;
use crate::Milliseconds;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// An answer that takes longer is not waited for. Services answer within 3 s; what a question could have told counts as told
/// 1.5 s after it in any case.
pub const ANSWERABLE: Milliseconds = 5_000.0;
/// Questions that are out at most: at the steady pace there are 25. The oldest gives way.
const MOST: usize = 64;

/// A question that is out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Question {
    /// Counted from 1 in the order in which questions are sent.
    pub number: u64,
    /// The id that its answer repeats.
    pub id: u16,
    /// The flow that it was sent from.
    pub flow: FlowId,
    /// Whom it was sent to.
    pub to: SocketAddr,
    /// When.
    pub asked_at: Milliseconds,
}

/// The questions that may still be answered.
#[derive(Debug, Default)]
pub struct OpenQuestions {
    open: VecDeque<Question>,
    last_number: u64,
}

impl OpenQuestions {
    /// Adds a question that is sent now, with an id of which `draw` proposes; no two open questions have the same.
    pub fn ask(
        &mut self,
        flow: FlowId,
        to: SocketAddr,
        now: Milliseconds,
        mut draw: impl FnMut() -> u16,
    ) -> Question {
        self.expire(now);
        if self.open.len() >= MOST {
            self.open.pop_front();
        }
        let id = loop {
            let id = draw();
            if self.open.iter().all(|question| question.id != id) {
                break id;
            }
        };
        self.last_number += 1;
        let question = Question { number: self.last_number, id, flow, to, asked_at: now };
        self.open.push_back(question);
        question
    }

    /// Takes the question out that this is an answer to.
    pub fn answer(&mut self, id: u16, from: SocketAddr, flow: FlowId, now: Milliseconds) -> Option<Question> {
        self.expire(now);
        let is_asked = |question: &Question| (question.id, question.to, question.flow) == (id, from, flow);
        let place = self.open.iter().position(is_asked)?;
        self.open.remove(place)
    }

    /// Whether a question to that address is open.
    pub fn any_to(&self, address: SocketAddr) -> bool {
        self.open.iter().any(|question| question.to == address)
    }

    /// When the first open question of a flow was sent that was sent after that one.
    pub fn first_after(&self, number: u64, flow: FlowId) -> Option<Milliseconds> {
        let later = |question: &&Question| question.flow == flow && question.number > number;
        self.open.iter().find(later).map(|question| question.asked_at)
    }

    /// The number of the last question.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    fn expire(&mut self, now: Milliseconds) {
        self.open.retain(|question| now - question.asked_at <= ANSWERABLE);
    }
}

#[cfg(test)]
mod tests;
