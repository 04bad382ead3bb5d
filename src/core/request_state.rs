//! The state of one request and of its attempts, shared by the parts of the reducer.

use super::types::{AttemptId, EngineError, Statement};
use crate::interface::{ClassId, EngineId, Milliseconds, Outcome, Placement, RequestId};
use starlingplank_decision::permission::send::{never_ran, SendPermit};
use starlingplank_persistence::deduplication_window::{Key, KeySend};
use std::rc::Rc;

/// The priority of a request until the decision module sets another.
const DEFAULT_PRIORITY: u8 = 1;

/// An idempotency key, and how long engines remember it.
#[derive(Clone, Copy)]
pub(super) struct RequestKey {
    pub(super) key: Key,
    pub(super) window: Milliseconds,
}

/// What an engine grants the attempts of a request.
#[derive(Clone, Copy)]
pub(super) struct Terms {
    /// Memory grant in MB; 0 leaves it to the engine.
    pub(super) memory_mb: f64,
    /// Priority, 0 to 3.
    pub(super) priority: u8,
}

impl Default for Terms {
    fn default() -> Self {
        Self { memory_mb: 0.0, priority: DEFAULT_PRIORITY }
    }
}

/// A record of a keyed send that is being written.
pub(super) struct PendingRecord {
    pub(super) sent: KeySend,
    /// The deadline of the attempt that waits for it.
    pub(super) deadline: Milliseconds,
}

/// One attempt to execute a request on an engine.
pub(super) struct Attempt {
    pub(super) engine: EngineId,
    pub(super) sent_at: Milliseconds,
    /// The record that must be durable before the attempt is transmitted.
    pub(super) pending_record: Option<PendingRecord>,
    /// Zone and cell of its engine.
    pub(super) placement: Placement,
    /// Revoked when the attempt ends: its message is not written afterwards.
    pub(super) permit: SendPermit,
    /// How it ended; none while it is in flight.
    outcome: Option<Outcome>,
}

impl Attempt {
    /// An attempt that is in flight from now on.
    pub(super) fn new(engine: EngineId, placement: Placement, now: Milliseconds, permit: SendPermit) -> Self {
        Self { engine, sent_at: now, pending_record: None, placement, permit, outcome: None }
    }

    /// Whether it has not ended.
    pub(super) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Ends it, and revokes the permission to write its message.
    pub(super) fn end(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
        self.permit.revoke();
    }

    /// Whether an engine may have executed it, or may still do so.
    pub(super) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(never_ran)
    }

    /// Whether it was transmitted, as far as is known.
    pub(super) fn was_transmitted(&self) -> bool {
        self.outcome != Some(Outcome::NotExecuted)
    }
}

/// How far the response to a request has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum ResponsePhase {
    /// Nothing was sent to the client.
    Pending,
    /// The first part of the result was sent to the client.
    Streaming,
    /// The final answer was sent, or the client disconnected, before a result was streamed.
    Closed,
    /// The streamed result has ended, or the client disconnected during it.
    ClosedAfterStreaming,
}

/// A request that is open, or that is closed and has attempts in flight.
pub(super) struct Request {
    pub(super) statement: Rc<Statement>,
    pub(super) class: ClassId,
    pub(super) received_at: Milliseconds,
    pub(super) key: Option<RequestKey>,
    pub(super) deadline: Milliseconds,
    /// A keyed statement is not transmitted later than this, as an engine that received its key before forgets it then.
    pub(super) send_by: Milliseconds,
    pub(super) attempts: Vec<Attempt>,
    pub(super) terms: Terms,
    /// The engine's error of the last attempt.
    pub(super) last_error: Option<EngineError>,
    pub(super) phase: ResponsePhase,
}

impl Request {
    /// Whether it has its final answer, or its client disconnected.
    pub(super) fn is_closed(&self) -> bool {
        matches!(self.phase, ResponsePhase::Closed | ResponsePhase::ClosedAfterStreaming)
    }

    /// Whether the first part of its result was sent to the client.
    pub(super) fn has_streamed(&self) -> bool {
        matches!(self.phase, ResponsePhase::Streaming | ResponsePhase::ClosedAfterStreaming)
    }

    /// Closes it.
    pub(super) fn close(&mut self) {
        self.phase = match self.has_streamed() {
            true => ResponsePhase::ClosedAfterStreaming,
            false => ResponsePhase::Closed,
        };
    }

    /// An attempt by its number.
    pub(super) fn attempt(&self, number: u32) -> Option<&Attempt> {
        self.attempts.get(number as usize)
    }

    /// An attempt by its number.
    pub(super) fn attempt_mut(&mut self, number: u32) -> Option<&mut Attempt> {
        self.attempts.get_mut(number as usize)
    }

    /// The attempts with their numbers.
    pub(super) fn numbered_attempts(&self) -> impl Iterator<Item = (u32, &Attempt)> {
        (0..).zip(&self.attempts)
    }

    /// The attempts in flight with their ids, where the request has this id.
    pub(super) fn attempts_in_flight(
        &self,
        request: RequestId,
    ) -> impl Iterator<Item = (AttemptId, &Attempt)> {
        self.numbered_attempts()
            .filter(|(_, attempt)| attempt.is_in_flight())
            .map(move |(number, attempt)| (AttemptId { request, number }, attempt))
    }

    /// The deadline of an attempt that starts now. A timeout of 0 stands for no timeout of its own.
    pub(super) fn attempt_deadline(
        &self,
        now: Milliseconds,
        timeout: Milliseconds,
        margin: Milliseconds,
    ) -> Milliseconds {
        let latest = self.deadline - margin;
        if timeout > 0.0 {
            latest.min(now + timeout)
        } else {
            latest
        }
    }
}
