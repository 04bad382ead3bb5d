//! Attempts of requests: transmission, streamed results, outcomes, aborts.

use super::records::PendingRecord;
use super::requests::{Request, RequestKey, Terms};
use super::timers::Due;
use super::{Answer, AttemptEnd, AttemptId, Core, Effect, EngineError, ResultRows, Send};
use crate::interface::{
    EngineId, Event as DecisionEvent, Milliseconds, Outcome, Placement, ProgressUpdate, RequestId,
};
use starlingplank_decision::permission::send::{
    may_repeat, may_send, never_ran, EarlierAttempt, SendFacts, SendPermit,
};
use starlingplank_persistence::deduplication_window::Leave;

/// One attempt to execute a request on an engine.
pub(super) struct Attempt {
    pub(super) engine: EngineId,
    pub(super) sent_at: Milliseconds,
    pub(super) in_flight: bool,
    /// The record that must be durable before it is transmitted.
    pub(super) record: Option<PendingRecord>,
    /// Zone and cell of its engine.
    placement: Placement,
    /// How it ended.
    outcome: Option<Outcome>,
    /// Ends with it: its message is not written afterwards.
    permit: SendPermit,
}

impl Attempt {
    fn new(engine: EngineId, placement: Placement, now: Milliseconds, permit: SendPermit) -> Self {
        Self { engine, sent_at: now, in_flight: true, record: None, placement, outcome: None, permit }
    }

    /// Whether it may have run, or may run still.
    pub(super) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(never_ran)
    }

    /// Whether it was sent as far as anybody knows.
    fn was_sent(&self) -> bool {
        self.outcome != Some(Outcome::NotExecuted)
    }
}

impl Request {
    /// The deadline of an attempt that starts now. A timeout of 0 stands for no timeout of its own.
    fn attempt_deadline(
        &self,
        now: Milliseconds,
        timeout: Milliseconds,
        margin: Milliseconds,
    ) -> Milliseconds {
        let last = self.deadline - margin;
        if timeout > 0.0 {
            last.min(now + timeout)
        } else {
            last
        }
    }

    /// The attempts with their numbers.
    fn numbered(&self) -> impl Iterator<Item = (u32, &Attempt)> {
        (0..).zip(&self.attempts)
    }
}

/// The final answer that follows from the end of an attempt; otherwise the error to keep for a later answer.
fn final_answer(
    outcome: Outcome,
    streaming: bool,
    rows: ResultRows,
    error: Option<EngineError>,
) -> Result<Answer, Option<EngineError>> {
    match (outcome, streaming) {
        (Outcome::Ok, true) => Ok(Answer::Finished),
        (Outcome::Ok, false) => Ok(match error {
            // The engine executed the statement, which is itself at fault.
            Some(error) => Answer::Failed(Some(error)),
            None => Answer::Served(rows),
        }),
        (_, true) => Ok(Answer::Cut),
        (_, false) => Err(error),
    }
}

impl Core {
    /// An attempt by its id.
    pub(super) fn find_attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.requests.get(&id.0).and_then(|r| r.attempts.get(id.1 as usize))
    }

    /// Starts an attempt. It ends at once as not executed if it may not be transmitted.
    pub(super) fn start_attempt(
        &mut self,
        now: Milliseconds,
        id: RequestId,
        engine: EngineId,
        timeout: Milliseconds,
        effects: &mut Vec<Effect>,
    ) {
        let placement = self.placement(&engine);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let attempt = (id, r.attempts.len() as u32);
        r.attempts.push(Attempt::new(engine, placement, now, SendPermit::new(self.list_lease.clone())));
        let deadline = r.attempt_deadline(now, timeout, self.limits.answer_margin);
        let may = self.may_send(now, attempt, deadline, effects);
        let Some(r) = self.requests.get(&id) else { return };
        let leave = match r.key.filter(|_| may) {
            Some(RequestKey { key, window }) => self.deduplication.leave(&key, window, now),
            None if may => Leave::Now,
            None => Leave::No,
        };
        match leave {
            Leave::No => self.end_attempt(now, attempt, AttemptEnd::plain(Outcome::NotExecuted), effects),
            Leave::Now => self.transmit(now, attempt, deadline, effects),
            Leave::AfterRecord(sent) => {
                self.request_record(now, attempt, PendingRecord { sent, deadline }, effects)
            }
        }
    }

    /// Whether an attempt may be sent now. What is refused is counted; what should not have been asked for is logged.
    fn may_send(
        &self,
        now: Milliseconds,
        id: AttemptId,
        deadline: Milliseconds,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(facts) = self.send_facts(now, id, deadline) else { return false };
        let Err(refusal) = may_send(&facts) else { return true };
        self.rules.count(refusal);
        if refusal.is_violation() {
            effects.push(Effect::LogViolation(id, refusal));
        }
        false
    }

    fn send_facts(&self, now: Milliseconds, id: AttemptId, deadline: Milliseconds) -> Option<SendFacts> {
        let r = self.requests.get(&id.0)?;
        let own = r.attempts.get(id.1 as usize)?;
        let others = || r.numbered().filter(|(n, _)| *n != id.1).map(|(_, a)| a);
        let may_have_run = others().filter(|a| a.may_have_run());
        let earlier = may_have_run.map(|a| EarlierAttempt { sent_at: a.sent_at, placement: a.placement });
        let idempotency = self.settings.classes[r.class.0].idempotency;
        Some(SendFacts {
            request_open: !r.closed,
            list_reliable: self.list_lease.holds(now),
            engine_live: self.live_address(&own.engine).is_some(),
            now,
            deadline,
            send_by: r.send_by,
            in_flight: others().filter(|a| a.in_flight).count(),
            may_hedge: self.settings.may_hedge,
            may_repeat: may_repeat(idempotency, earlier, own.placement, now),
            attempts: id.1 as usize,
            max_attempts: self.settings.max_attempts as usize,
        })
    }

    /// Zone and cell of an engine.
    fn placement(&self, engine: &EngineId) -> Placement {
        let unknown = Placement { zone: None, cell: 0 };
        self.engines.get(engine).map_or(unknown, |endpoint| endpoint.member.placement())
    }

    /// Transmits an attempt, if it may still be sent.
    pub(super) fn transmit(
        &mut self,
        now: Milliseconds,
        id: AttemptId,
        deadline: Milliseconds,
        effects: &mut Vec<Effect>,
    ) {
        if !self.may_send(now, id, deadline, effects) {
            return self.end_attempt(now, id, AttemptEnd::plain(Outcome::NotExecuted), effects);
        }
        let Some(r) = self.requests.get(&id.0) else { return };
        let Some(attempt) = r.attempts.get(id.1 as usize) else { return };
        let engine = attempt.engine.clone();
        let Some(address) = self.live_address(&engine) else { return };
        effects.push(Effect::Send(Send {
            id,
            engine,
            address,
            class: r.class,
            statement: r.statement.clone(),
            budget: deadline - now,
            leave_within: Some(r.send_by - now).filter(|t| t.is_finite()),
            memory_mb: r.terms.memory_mb,
            priority: r.terms.priority,
            is_retry: r.numbered().any(|(n, a)| n < id.1 && a.was_sent()),
            permit: attempt.permit.clone(),
            at: now,
        }));
        self.set_timer(deadline, Due::AttemptTimeout(id));
    }

    /// Starts to stream a result to the client.
    pub(super) fn start_streaming(
        &mut self,
        now: Milliseconds,
        id: AttemptId,
        rows: ResultRows,
        effects: &mut Vec<Effect>,
    ) {
        let Some(r) = self.requests.get_mut(&id.0).filter(|r| !r.closed && !r.streaming) else { return };
        if !r.attempts.get(id.1 as usize).is_some_and(|a| a.in_flight) || now >= r.deadline {
            return;
        }
        r.streaming = true;
        self.pending_events.push(DecisionEvent::Streaming { id: id.0 });
        effects.push(Effect::StartResponse(id.0, rows));
    }

    /// Streams a further part of a result.
    pub(super) fn forward_part(&mut self, id: AttemptId, part: Vec<u8>, effects: &mut Vec<Effect>) {
        if self.find_attempt(id).is_some_and(|a| a.in_flight) {
            effects.push(Effect::ResponseChunk(id.0, part));
        }
    }

    /// Ends an attempt. The late end of an attempt that was aborted changes nothing.
    pub(super) fn end_attempt(
        &mut self,
        now: Milliseconds,
        id: AttemptId,
        end: AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(r) = self.requests.get_mut(&id.0) else { return };
        let Some(a) = r.attempts.get_mut(id.1 as usize).filter(|a| a.in_flight) else { return };
        a.in_flight = false;
        a.outcome = Some(end.outcome);
        a.permit.revoke();
        let (engine, took) = (a.engine.clone(), now - a.sent_at);
        let AttemptEnd { outcome, work, report, rows, error } = end;
        self.counts[r.class.0].outcomes[outcome as usize] += 1;
        match final_answer(outcome, r.streaming, rows, error) {
            Ok(answer) => self.answer(id.0, answer, effects),
            Err(error) => r.last_error = error,
        }
        let over = self.requests.get(&id.0).is_none_or(|r| r.closed);
        self.decision_urgent |= !over;
        let (id, attempt) = id;
        self.pending_events.push(DecisionEvent::Outcome {
            id,
            attempt,
            engine,
            outcome,
            took,
            over,
            work,
            report,
        });
        self.remove_if_done(id);
    }

    /// Takes a progress update. It is ignored for attempts that ended and for results that are streamed.
    pub(super) fn progress_update(&mut self, id: AttemptId, note: ProgressUpdate) {
        let running = self.requests.get(&id.0).is_some_and(|r| !r.closed && !r.streaming);
        if running && self.find_attempt(id).is_some_and(|a| a.in_flight) {
            self.pending_events.push(DecisionEvent::ProgressUpdate { id: id.0, attempt: id.1, update: note });
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
        let Some(engine) = self.find_attempt(id).filter(|a| a.in_flight).map(|a| a.engine.clone()) else {
            return;
        };
        effects.push(Effect::AbortAttempt(id, engine, outcome));
        self.end_attempt(now, id, AttemptEnd::plain(outcome), effects);
    }

    /// Aborts all attempts of a request.
    pub(super) fn abort_attempts(
        &mut self,
        now: Milliseconds,
        id: RequestId,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let attempts = self.requests.get(&id).map_or(0, |r| r.attempts.len() as u32);
        (0..attempts).for_each(|n| self.abort_attempt(now, (id, n), outcome, effects));
    }

    /// Aborts an attempt at its deadline. A streamed result has no deadline.
    pub(super) fn attempt_timed_out(&mut self, now: Milliseconds, id: AttemptId, effects: &mut Vec<Effect>) {
        if self.requests.get(&id.0).is_some_and(|r| !r.streaming) {
            self.abort_attempt(now, id, Outcome::Timeout, effects);
        }
    }

    /// Aborts the attempts on an engine that is still removed after the grace period.
    pub(super) fn engine_removed(&mut self, now: Milliseconds, engine: &EngineId, effects: &mut Vec<Effect>) {
        if self.engines.contains_key(engine) {
            return;
        }
        for id in self.in_flight_on(engine) {
            self.abort_attempt(now, id, Outcome::Reset, effects);
        }
    }

    fn in_flight_on(&self, engine: &EngineId) -> Vec<AttemptId> {
        let all = self.requests.iter().flat_map(|(id, r)| r.numbered().map(|(n, a)| ((*id, n), a)));
        all.filter(|(_, a)| a.in_flight && a.engine == *engine).map(|(id, _)| id).collect()
    }

    /// Sets what engines grant the request's attempts, those in flight included.
    pub(super) fn set_terms(&mut self, id: RequestId, terms: Terms, effects: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let changed = r.terms.priority != terms.priority;
        r.terms = terms;
        for (n, a) in r.numbered().filter(|(_, a)| a.in_flight && changed) {
            effects.push(Effect::SetPriority((id, n), a.engine.clone(), terms.priority));
        }
    }
}
