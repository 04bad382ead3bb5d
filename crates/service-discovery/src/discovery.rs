//! Service discovery of one process, as a state machine: when the next question leaves, from which flow and to whom, what
//! each answer is worth, and until when the list may be relied on.
//!
//! A change of the service's address is an input among others: the next question goes to the new address, while the answers
//! to those that are out are still awaited. Nothing that happens to one flow touches the questions of another.

use crate::age::{Freshness, ListAge};
use crate::answers::{AnswerCounts, AnswerKind};
use crate::flows::{FlowId, Flows};
use crate::questions::{OpenQuestions, Question};
use crate::versions::Versions;
use crate::Milliseconds;
use starlingplank_pacing::poll_schedule::{self, PollSchedule};
use std::net::SocketAddr;

/// What a process begins with.
#[derive(Debug, Clone, Copy)]
pub struct Start {
    /// The pace of questions.
    pub pace: poll_schedule::Rules,
    /// For what is drawn.
    pub seed: u64,
    /// The version of the list that the process begins with.
    pub known: u64,
    /// How long new work may go to an engine after it was told that it drains.
    pub drain_grace: Milliseconds,
    /// Flows at once at most.
    pub most_flows: usize,
    /// Where the service is; none: there is no service.
    pub address: Option<SocketAddr>,
}

/// What was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received {
    /// A list with this version, in answer to the question with this id.
    List {
        /// The id of the question.
        id: u16,
        /// The version of the list.
        version: u64,
    },
    /// What cannot be read, or reports a failure.
    Unreadable,
    /// What says of itself that it is truncated.
    Truncated,
}

/// What an answer is worth.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Verdict {
    /// Its kind.
    pub kind: AnswerKind,
    /// It replaces the list in use though its version is lower: the service has moved, and the one in use is the word of a
    /// former address.
    pub supersedes: bool,
    /// How long ago its question was sent.
    pub took: Option<Milliseconds>,
}

impl Verdict {
    fn of(kind: AnswerKind) -> Self {
        Self { kind, supersedes: false, took: None }
    }
}

/// Service discovery of one process.
#[derive(Debug)]
pub struct Discovery {
    address: Option<SocketAddr>,
    pace: PollSchedule,
    questions: OpenQuestions,
    flows: Flows,
    versions: Versions,
    age: ListAge,
    counts: AnswerCounts,
    drain_grace: Milliseconds,
    /// Lists with a lower version tell the pace nothing.
    least_version: u64,
    /// A list was heard.
    has_heard: bool,
    rng: fastrand::Rng,
}

impl Discovery {
    /// A process that starts now.
    pub fn new(start: &Start, now: Milliseconds) -> Self {
        // Where the pace is the rules', lists that come late are usual, and a process that has just started must not fall
        // silent over the first of them.
        let heeds_known = start.pace.slowest > poll_schedule::STEADY;
        Self {
            address: start.address,
            pace: PollSchedule::new(start.pace, start.seed, now),
            questions: OpenQuestions::default(),
            flows: Flows::new(start.most_flows),
            versions: Versions::new(start.known),
            age: ListAge::new(now, start.pace.slowest),
            counts: AnswerCounts::default(),
            drain_grace: start.drain_grace,
            least_version: if heeds_known { start.known } else { 0 },
            has_heard: false,
            rng: fastrand::Rng::with_seed(start.seed),
        }
    }

    /// When the next question is due; none: there is no service.
    pub fn due(&self) -> Option<Milliseconds> {
        self.address.map(|_| self.pace.due())
    }

    /// The service is at another address, or at none. The present one is no news.
    pub fn relocate(&mut self, address: Option<SocketAddr>, now: Milliseconds) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.versions.relocate();
        self.age.relocate(now);
        self.pace.relocated(now);
    }

    /// Whether the next question should leave from a fresh flow.
    pub fn wants_fresh_flow(&self, now: Milliseconds) -> bool {
        self.flows.wants_fresh(now)
    }

    /// A fresh flow was opened: the next questions leave from it.
    pub fn open_flow(&mut self, now: Milliseconds) -> FlowId {
        self.flows.open(now)
    }

    /// A flow does not work: the next question leaves from a fresh one.
    pub fn fail_flow(&mut self, id: FlowId) {
        self.flows.fail(id);
    }

    /// The flows that end now.
    pub fn close_flows(&mut self, now: Milliseconds) -> Vec<FlowId> {
        self.flows.close(now)
    }

    /// The question that leaves now; none without a service or a flow.
    pub fn ask(&mut self, now: Milliseconds) -> Option<Question> {
        let (to, flow) = (self.address?, self.flows.current()?);
        let rng = &mut self.rng;
        let question = self.questions.ask(flow, to, now, || rng.u16(..));
        self.flows.ask(&question);
        self.pace.asked(now);
        self.age.ask(now);
        self.counts.count_question();
        Some(question)
    }

    /// Something was received on a flow.
    pub fn receive(
        &mut self,
        received: Received,
        from: SocketAddr,
        flow: FlowId,
        now: Milliseconds,
    ) -> Verdict {
        let verdict = match received {
            Received::List { id, version } => self.receive_list(id, version, from, flow, now),
            Received::Unreadable => Verdict::of(AnswerKind::Unreadable),
            Received::Truncated => Verdict::of(AnswerKind::Truncated),
        };
        self.counts.count(verdict.kind);
        if verdict.kind.is_spoilt() && self.is_asked(from) {
            self.age.hear_spoilt(now);
        }
        verdict
    }

    fn is_asked(&self, address: SocketAddr) -> bool {
        self.address == Some(address) || self.questions.any_to(address)
    }

    fn receive_list(
        &mut self,
        id: u16,
        version: u64,
        from: SocketAddr,
        flow: FlowId,
        now: Milliseconds,
    ) -> Verdict {
        let Some(question) = self.questions.answer(id, from, flow, now) else {
            return Verdict::of(AnswerKind::UnknownQuestion);
        };
        let in_use = self.versions.newest();
        let kind = match self.address == Some(from) {
            true => self.versions.hear_present(version),
            false => self.versions.hear_former(version),
        };
        let supersedes = kind.confirms() && version < in_use;
        if kind.confirms() {
            self.flows.confirm(&question, &self.questions);
            self.age.confirm(question.asked_at, self.questions.last_number() - question.number);
        }
        if kind != AnswerKind::FormerAddress {
            self.tell_pace(version, supersedes, now);
        }
        Verdict { kind, supersedes, took: Some(now - question.asked_at) }
    }

    fn tell_pace(&mut self, version: u64, supersedes: bool, now: Milliseconds) {
        if version < self.least_version && !supersedes {
            return;
        }
        self.pace.answered(now);
        // What a start knows is older than the service's word as a rule: the first is no change.
        if self.has_heard && version > self.least_version {
            self.pace.changed(now);
        }
        (self.least_version, self.has_heard) = (version, true);
    }

    /// Until when the list may be relied on; without a service, or a rule on drains, for ever.
    pub fn reliable_until(&self) -> Milliseconds {
        if self.address.is_none() || self.drain_grace <= 0.0 {
            return f64::INFINITY;
        }
        self.age.reliable_until(self.drain_grace)
    }

    /// Time since the list was last known to hold.
    pub fn age(&self, now: Milliseconds) -> Milliseconds {
        self.age.age(now)
    }

    /// The list's freshness, if it has changed since this was last asked.
    pub fn freshness_change(&mut self, now: Milliseconds) -> Option<Freshness> {
        self.address.and_then(|_| self.age.change(now))
    }

    /// Counts since the start.
    pub fn counts(&self) -> &AnswerCounts {
        &self.counts
    }
}

#[cfg(test)]
mod tests;
