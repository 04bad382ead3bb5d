//! Attempts of requests: transmission, streaming of results, outcomes and aborts.

use super::messages::{Effect, Send};
use super::request_state::{Attempt, PendingRecord, RequestKey, ResponsePhase, Terms};
use super::timers::TimerKind;
use super::types::{Answer, AttemptEnd, AttemptId, EngineError, ResultRows};
use super::Core;
use crate::interface::{
    EngineId, Event as DecisionEvent, Milliseconds, Outcome, Placement, ProgressUpdate, RequestId,
};
use starlingplank_decision::permission::send::{
    may_repeat, may_send, EarlierAttempt, SendConditions, SendPermit,
};
use starlingplank_persistence::deduplication_window::SendPermission;

/// Returns the final answer that follows from the end of an attempt, or else the error to store for a later answer.
fn final_answer(
    outcome: Outcome,
    streaming: bool,
    rows: ResultRows,
    error: Option<EngineError>,
) -> Result<Answer, Option<EngineError>> {
    match (outcome, streaming) {
        (Outcome::Ok, true) => Ok(Answer::Streamed),
        (Outcome::Ok, false) => Ok(match error {
            // The engine executed the statement, and the error lies in the statement itself.
            Some(error) => Answer::Failed(Some(error)),
            None => Answer::Served(rows),
        }),
        (_, true) => Ok(Answer::Aborted),
        (_, false) => Err(error),
    }
}

impl Core {
    /// Returns the attempt with this id.
    pub(super) fn find_attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.requests.get(&id.request)?.attempt(id.number)
    }

    fn is_in_flight(&self, id: AttemptId) -> bool {
        self.find_attempt(id).is_some_and(Attempt::is_in_flight)
    }

    /// Starts an attempt. An attempt that may not be transmitted ends at once as not executed.
    pub(super) fn start_attempt(
        &mut self,
        now: Milliseconds,
        id: RequestId,
        engine: EngineId,
        timeout: Milliseconds,
        effects: &mut Vec<Effect>,
    ) {
        let placement = self.placement(&engine);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = AttemptId { request: id, number: request.attempts.len() as u32 };
        request.attempts.push(Attempt::new(engine, placement, now, SendPermit::new(self.list_lease.clone())));
        let deadline = request.attempt_deadline(now, timeout, self.limits.answer_margin);
        match self.send_permission(now, attempt, deadline, effects) {
            SendPermission::Denied => {
                self.end_attempt(now, attempt, AttemptEnd::from_outcome(Outcome::NotExecuted), effects);
            }
            SendPermission::Now => self.transmit(now, attempt, deadline, effects),
            SendPermission::AfterRecord(sent) => {
                self.request_record(now, attempt, PendingRecord { sent, deadline }, effects);
            }
        }
    }

    /// Returns whether a new attempt may be transmitted: now, once its key is recorded, or not at all.
    fn send_permission(
        &mut self,
        now: Milliseconds,
        id: AttemptId,
        deadline: Milliseconds,
        effects: &mut Vec<Effect>,
    ) -> SendPermission {
        if !self.may_send(now, id, deadline, effects) {
            return SendPermission::Denied;
        }
        match self.requests.get(&id.request).and_then(|request| request.key) {
            Some(RequestKey { key, window }) => self.deduplication.permit_send(&key, window, now),
            None => SendPermission::Now,
        }
    }

    /// Returns whether an attempt may be sent now. Refusals are counted, and those that are violations of a rule are logged.
    fn may_send(
        &self,
        now: Milliseconds,
        id: AttemptId,
        deadline: Milliseconds,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(conditions) = self.send_conditions(now, id, deadline) else { return false };
        let Err(refusal) = may_send(&conditions) else { return true };
        self.rules.count(refusal);
        if refusal.is_violation() {
            effects.push(Effect::LogViolation { attempt: id, refusal });
        }
        false
    }

    fn send_conditions(
        &self,
        now: Milliseconds,
        id: AttemptId,
        deadline: Milliseconds,
    ) -> Option<SendConditions> {
        let request = self.requests.get(&id.request)?;
        let this = request.attempt(id.number)?;
        let others = || {
            let numbered = request.numbered_attempts().filter(|(number, _)| *number != id.number);
            numbered.map(|(_, attempt)| attempt)
        };
        let earlier = others()
            .filter(|other| other.may_have_run())
            .map(|other| EarlierAttempt { sent_at: other.sent_at, placement: other.placement });
        let idempotency = self.settings.classes[request.class.0].idempotency;
        Some(SendConditions {
            request_open: !request.is_closed(),
            list_reliable: self.list_lease.is_valid(now),
            engine_live: self.live_address(&this.engine).is_some(),
            now,
            deadline,
            send_by: request.send_by,
            in_flight: others().filter(|other| other.is_in_flight()).count(),
            may_hedge: self.settings.may_hedge,
            may_repeat: may_repeat(idempotency, earlier, this.placement, now),
            attempts: id.number as usize,
            max_attempts: self.settings.max_attempts as usize,
        })
    }

    /// Returns the zone and cell of an engine.
    fn placement(&self, engine: &EngineId) -> Placement {
        let unknown = Placement { zone: None, cell: 0 };
        self.engines.get(engine).map_or(unknown, |endpoint| endpoint.member.placement())
    }

    /// Transmits an attempt if it may still be sent; otherwise ends it as not executed.
    pub(super) fn transmit(
        &mut self,
        now: Milliseconds,
        id: AttemptId,
        deadline: Milliseconds,
        effects: &mut Vec<Effect>,
    ) {
        if !self.may_send(now, id, deadline, effects) || !self.remember(now, id.request) {
            return self.end_attempt(now, id, AttemptEnd::from_outcome(Outcome::NotExecuted), effects);
        }
        let Some(send) = self.send_message(now, id, deadline) else { return };
        effects.push(Effect::Send(send));
        self.set_timer(deadline, TimerKind::AttemptTimeout(id));
    }

    /// Remembers a request that must not run twice as sent. Returns whether it may be sent.
    fn remember(&mut self, now: Milliseconds, id: RequestId) -> bool {
        let identity = self.requests.get(&id).and_then(|request| request.statement.identity);
        identity.is_none_or(|identity| self.sent_requests.record(identity, now))
    }

    fn send_message(&self, now: Milliseconds, id: AttemptId, deadline: Milliseconds) -> Option<Send> {
        let request = self.requests.get(&id.request)?;
        let attempt = request.attempt(id.number)?;
        let is_earlier_send =
            |(number, attempt): (u32, &Attempt)| number < id.number && attempt.was_transmitted();
        Some(Send {
            id,
            engine: attempt.engine.clone(),
            address: self.live_address(&attempt.engine)?,
            class: request.class,
            statement: request.statement.clone(),
            time_left: deadline - now,
            transmit_within: Some(request.send_by - now).filter(|time| time.is_finite()),
            memory_mb: request.terms.memory_mb,
            priority: request.terms.priority,
            is_retry: request.numbered_attempts().any(is_earlier_send),
            permit: attempt.permit.clone(),
            at: now,
        })
    }

    /// Starts to stream a result to the client, unless the response has already begun or the deadline has passed.
    pub(super) fn start_streaming(
        &mut self,
        now: Milliseconds,
        id: AttemptId,
        rows: ResultRows,
        effects: &mut Vec<Effect>,
    ) {
        if !self.is_in_flight(id) {
            return;
        }
        let Some(request) = self.requests.get_mut(&id.request) else { return };
        if request.phase != ResponsePhase::Pending || now >= request.deadline {
            return;
        }
        request.phase = ResponsePhase::Streaming;
        self.pending_events.push(DecisionEvent::Streaming { id: id.request });
        effects.push(Effect::StartResponse(id.request, rows));
    }

    /// Forwards a further part of a streamed result to the client.
    pub(super) fn forward_chunk(&mut self, id: AttemptId, chunk: Vec<u8>, effects: &mut Vec<Effect>) {
        if self.is_in_flight(id) {
            effects.push(Effect::ResponseChunk(id.request, chunk));
        }
    }

    /// Ends an attempt. A late end of an attempt that was aborted before is ignored.
    pub(super) fn end_attempt(
        &mut self,
        now: Milliseconds,
        id: AttemptId,
        end: AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id.request) else { return };
        let Some(attempt) = request.attempt_mut(id.number).filter(|attempt| attempt.is_in_flight()) else {
            return;
        };
        let AttemptEnd { outcome, work, report, rows, error } = end;
        attempt.end(outcome);
        let (engine, elapsed) = (attempt.engine.clone(), now - attempt.sent_at);
        self.counts[request.class.0].outcomes[outcome as usize] += 1;
        match final_answer(outcome, request.has_streamed(), rows, error) {
            Ok(answer) => self.answer(id.request, answer, effects),
            Err(error) => request.last_error = error,
        }
        let request_finished = !self.is_open(id.request);
        self.decision_urgent |= !request_finished;
        self.pending_events.push(DecisionEvent::Outcome {
            id: id.request,
            attempt: id.number,
            engine,
            outcome,
            elapsed,
            request_finished,
            work,
            report,
        });
        self.remove_if_done(id.request);
    }

    /// Forwards a progress update to the decision module. Updates for attempts that have ended, and for requests whose result is
    /// being streamed, are ignored.
    pub(super) fn progress_update(&mut self, id: AttemptId, update: ProgressUpdate) {
        let request = self.requests.get(&id.request);
        let is_pending = request.is_some_and(|request| request.phase == ResponsePhase::Pending);
        if is_pending && self.is_in_flight(id) {
            self.pending_events.push(DecisionEvent::ProgressUpdate {
                id: id.request,
                attempt: id.number,
                update,
            });
        }
    }

    /// Aborts an attempt in flight.
    pub(super) fn abort_attempt(
        &mut self,
        now: Milliseconds,
        id: AttemptId,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(attempt) = self.find_attempt(id).filter(|attempt| attempt.is_in_flight()) else { return };
        effects.push(Effect::AbortAttempt { attempt: id, engine: attempt.engine.clone(), outcome });
        self.end_attempt(now, id, AttemptEnd::from_outcome(outcome), effects);
    }

    /// Aborts all attempts of a request.
    pub(super) fn abort_attempts(
        &mut self,
        now: Milliseconds,
        request: RequestId,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let attempts = self.requests.get(&request).map_or(0, |request| request.attempts.len() as u32);
        for number in 0..attempts {
            self.abort_attempt(now, AttemptId { request, number }, outcome, effects);
        }
    }

    /// Aborts an attempt at its deadline. The deadline does not apply once the result is being streamed.
    pub(super) fn attempt_timed_out(&mut self, now: Milliseconds, id: AttemptId, effects: &mut Vec<Effect>) {
        if self.requests.get(&id.request).is_some_and(|request| !request.has_streamed()) {
            self.abort_attempt(now, id, Outcome::Timeout, effects);
        }
    }

    /// Aborts the attempts in flight on a removed engine after the grace period, unless the engine is a member again.
    pub(super) fn engine_removed(&mut self, now: Milliseconds, engine: &EngineId, effects: &mut Vec<Effect>) {
        if self.engines.contains_key(engine) {
            return;
        }
        for id in self.in_flight_on(engine) {
            self.abort_attempt(now, id, Outcome::Reset, effects);
        }
    }

    fn in_flight_on(&self, engine: &EngineId) -> Vec<AttemptId> {
        let in_flight = self.requests.iter().flat_map(|(id, request)| request.attempts_in_flight(*id));
        in_flight.filter(|(_, attempt)| attempt.engine == *engine).map(|(id, _)| id).collect()
    }

    /// Sets the execution terms of a request. A changed priority is also sent to the engines of the attempts in flight.
    pub(super) fn set_terms(&mut self, id: RequestId, terms: Terms, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let changed = request.terms.priority != terms.priority;
        request.terms = terms;
        if !changed {
            return;
        }
        for (attempt, state) in request.attempts_in_flight(id) {
            effects.push(Effect::SetPriority {
                attempt,
                engine: state.engine.clone(),
                priority: terms.priority,
            });
        }
    }
}
