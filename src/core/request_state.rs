//! The state of a request and of its attempts, shared by the modules of the reducer.

use super::types::{AttemptId, EngineError, Statement};
use crate::interface::{ClassId, EngineId, Milliseconds, Outcome, Placement, RequestId};
use starlingplank_decision::permission::send::{never_ran, SendPermit};
use starlingplank_persistence::deduplication_window::{Key, KeySend};
use std::rc::Rc;

/// The priority of a request until the decision module sets a different one.
const DEFAULT_PRIORITY: u8 = 1;

/// An idempotency key, and the time for which engines remember it.
#[derive(Clone, Copy)]
pub(super) struct RequestKey {
    pub(super) key: Key,
    pub(super) window: Milliseconds,
}

/// The execution terms of a request: the resources that engines grant to its attempts.
#[derive(Clone, Copy)]
pub(super) struct Terms {
    /// Memory grant in MB; 0 for the engine's default.
    pub(super) memory_mb: f64,
    /// Priority on the engine, 0 to 3.
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
    /// The deadline of the attempt that waits for the record.
    pub(super) deadline: Milliseconds,
}

/// One attempt to execute a request on an engine.
pub(super) struct Attempt {
    pub(super) engine: EngineId,
    pub(super) sent_at: Milliseconds,
    /// The record that must be durable before the attempt is transmitted.
    pub(super) pending_record: Option<PendingRecord>,
    /// Zone and cell of the engine.
    pub(super) placement: Placement,
    /// The permission to transmit the attempt. Revoked when the attempt ends, so that its message is not written afterwards.
    pub(super) permit: SendPermit,
    /// The outcome; `None` while the attempt is in flight.
    outcome: Option<Outcome>,
}

impl Attempt {
    /// Creates an attempt that is in flight from `now` on.
    pub(super) fn new(engine: EngineId, placement: Placement, now: Milliseconds, permit: SendPermit) -> Self {
        Self { engine, sent_at: now, pending_record: None, placement, permit, outcome: None }
    }

    /// Returns whether the attempt has not ended yet.
    pub(super) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Ends the attempt, and revokes the permission to transmit it.
    pub(super) fn end(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
        self.permit.revoke();
    }

    /// Returns whether an engine may have executed the attempt, or may still do so.
    pub(super) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(never_ran)
    }

    /// Returns whether the attempt was transmitted, as far as the gateway knows.
    pub(super) fn was_transmitted(&self) -> bool {
        self.outcome != Some(Outcome::NotExecuted)
    }
}

/// The progress of the response to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum ResponsePhase {
    /// Nothing has been sent to the client yet.
    Pending,
    /// The first part of the result has been sent to the client, and more may follow.
    Streaming,
    /// The final answer was sent, or the client disconnected, without any part of the result being streamed.
    Closed,
    /// The streamed result has ended, or the client disconnected while it was streamed.
    ClosedAfterStreaming,
}

/// A request that is open, or that is closed and still has attempts in flight.
pub(super) struct Request {
    pub(super) statement: Rc<Statement>,
    pub(super) class: ClassId,
    pub(super) received_at: Milliseconds,
    pub(super) key: Option<RequestKey>,
    pub(super) deadline: Milliseconds,
    /// The time after which a keyed statement is not transmitted any more, as an engine that has received its key before may
    /// have forgotten it.
    pub(super) send_by: Milliseconds,
    pub(super) attempts: Vec<Attempt>,
    pub(super) terms: Terms,
    /// The engine's error from the last attempt that ended.
    pub(super) last_error: Option<EngineError>,
    pub(super) phase: ResponsePhase,
}

impl Request {
    /// Returns whether the request has its final answer, or its client has disconnected.
    pub(super) fn is_closed(&self) -> bool {
        matches!(self.phase, ResponsePhase::Closed | ResponsePhase::ClosedAfterStreaming)
    }

    /// Returns whether the first part of the result has been sent to the client.
    pub(super) fn has_streamed(&self) -> bool {
        matches!(self.phase, ResponsePhase::Streaming | ResponsePhase::ClosedAfterStreaming)
    }

    /// Marks the request as closed.
    pub(super) fn close(&mut self) {
        self.phase = match self.has_streamed() {
            true => ResponsePhase::ClosedAfterStreaming,
            false => ResponsePhase::Closed,
        };
    }

    /// Returns the attempt with this number.
    pub(super) fn attempt(&self, number: u32) -> Option<&Attempt> {
        self.attempts.get(number as usize)
    }

    /// Returns the attempt with this number, mutably.
    pub(super) fn attempt_mut(&mut self, number: u32) -> Option<&mut Attempt> {
        self.attempts.get_mut(number as usize)
    }

    /// Returns the attempts with their numbers.
    pub(super) fn numbered_attempts(&self) -> impl Iterator<Item = (u32, &Attempt)> {
        (0..).zip(&self.attempts)
    }

    /// Returns the attempts in flight with their ids. `request` is the id of this request.
    pub(super) fn attempts_in_flight(
        &self,
        request: RequestId,
    ) -> impl Iterator<Item = (AttemptId, &Attempt)> {
        self.numbered_attempts()
            .filter(|(_, attempt)| attempt.is_in_flight())
            .map(move |(number, attempt)| (AttemptId { request, number }, attempt))
    }

    /// Returns the deadline of an attempt that starts now, no later than `margin` before the request's deadline. A `timeout` of 0
    /// means that the attempt has no timeout of its own.
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
