//! Requests from their arrival to their one final answer: admission, rejection, client disconnects, removal.

use super::attempts::Attempt;
use super::timers::Due;
use super::{Answer, ClientRequest, Core, Effect, EngineError, Statement};
use crate::interface::{
    ClassId, Event as DecisionEvent, Idempotency, Milliseconds, Outcome, RequestDetails, RequestId,
};
use starlingplank_persistence::deduplication_window::{self, Admission, Key};
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
    /// 0 leaves it to the engine.
    pub(super) memory_mb: f64,
    /// 0 to 3.
    pub(super) priority: u8,
}

impl Default for Terms {
    fn default() -> Self {
        Self { memory_mb: 0.0, priority: DEFAULT_PRIORITY }
    }
}

/// The result of admission.
struct Admitted {
    key: Option<RequestKey>,
    /// No attempt may be transmitted later.
    send_by: Milliseconds,
}

/// Why a request is rejected, and when its client should retry.
struct Rejection {
    reason: &'static str,
    retry_after: Milliseconds,
}

/// A request that is open, or that is closed and has attempts in flight.
pub(super) struct Request {
    pub(super) statement: Rc<Statement>,
    pub(super) class: ClassId,
    pub(super) received_at: Milliseconds,
    pub(super) key: Option<RequestKey>,
    pub(super) deadline: Milliseconds,
    /// A keyed statement is not transmitted later than this, as an engine that saw its key before forgets it then.
    pub(super) send_by: Milliseconds,
    pub(super) attempts: Vec<Attempt>,
    /// The first part of its answer was sent to the client.
    pub(super) streaming: bool,
    /// It is answered, or its client disconnected.
    pub(super) closed: bool,
    pub(super) terms: Terms,
    /// The engine's error of its last attempt.
    pub(super) last_error: Option<EngineError>,
}

impl Core {
    /// The number of open requests.
    pub fn open(&self) -> usize {
        self.open_requests
    }

    /// Accepts or rejects a request.
    pub(super) fn receive(&mut self, now: Milliseconds, request: ClientRequest, effects: &mut Vec<Effect>) {
        let (id, class) = (request.details.id, request.details.class);
        self.counts[class.0].taken += 1;
        match self.admit(now, &request) {
            Ok(admitted) => self.accept(now, request, admitted),
            Err(rejection) => self.reject(id, class, rejection, effects),
        }
    }

    fn admit(&mut self, now: Milliseconds, request: &ClientRequest) -> Result<Admitted, Rejection> {
        self.check_capacity(request)?;
        self.check_membership(now)?;
        self.check_shutdown(now)?;
        self.check_deduplication(now, request)
    }

    /// Bounds memory: past these limits a request is rejected without a decision.
    fn check_capacity(&self, request: &ClientRequest) -> Result<(), Rejection> {
        let crowded = self.open_requests >= self.limits.max_open_requests;
        if crowded || self.held_bytes + request.statement.bytes() > self.limits.max_buffered_bytes {
            return Err(self.rejection("limits"));
        }
        Ok(())
    }

    /// Requests queued until a membership is known would all be released at once. Each is rejected with another time to
    /// retry.
    fn check_membership(&mut self, now: Milliseconds) -> Result<(), Rejection> {
        let Some(retry_after_schedule) = &mut self.membership_wait else { return Ok(()) };
        let retry_after = retry_after_schedule.wait(now, self.settings.max_retry_after);
        Err(Rejection { reason: "no list", retry_after })
    }

    /// No request is accepted once the open ones were answered for the shutdown.
    fn check_shutdown(&self, now: Milliseconds) -> Result<(), Rejection> {
        if now >= self.answer_by {
            return Err(self.rejection("ending"));
        }
        Ok(())
    }

    /// A repeat that arrives while engines remember its key must not be transmitted after they forget it: it would be
    /// executed twice.
    fn check_deduplication(
        &mut self,
        now: Milliseconds,
        request: &ClientRequest,
    ) -> Result<Admitted, Rejection> {
        let text = request.statement.key.as_ref().zip(self.window(request.details.class));
        let Some((text, window)) = text else { return Ok(Admitted { key: None, send_by: f64::INFINITY }) };
        let key = RequestKey { key: deduplication_window::key(text), window };
        match self.deduplication.admit(&key.key, window, now, self.limits.answer_margin) {
            Admission::Until(send_by) => Ok(Admitted { key: Some(key), send_by }),
            Admission::Later(wait) => {
                Err(Rejection { reason: "keys", retry_after: wait.min(self.settings.max_retry_after) })
            }
        }
    }

    fn rejection(&self, reason: &'static str) -> Rejection {
        Rejection { reason, retry_after: self.settings.max_retry_after }
    }

    fn accept(&mut self, now: Milliseconds, request: ClientRequest, admitted: Admitted) {
        let ClientRequest { details, statement } = request;
        let RequestDetails { id, class, deadline, .. } = details;
        self.open_requests += 1;
        self.held_bytes += statement.bytes();
        let request = Request {
            statement,
            class,
            received_at: now,
            key: admitted.key,
            deadline,
            send_by: admitted.send_by,
            attempts: Vec::new(),
            streaming: false,
            closed: false,
            terms: Terms::default(),
            last_error: None,
        };
        self.requests.insert(id, request);
        self.set_timer(deadline - self.limits.answer_margin / 2.0, Due::RequestDeadline(id));
        // Attempts end before the client's deadline, so that the answer can be sent in time. The decision module plans
        // with that earlier deadline: with the client's it would spend its retry budget on retries in between.
        let deadline = deadline - self.limits.answer_margin;
        self.decision_urgent = true;
        self.pending_events.push(DecisionEvent::Request(RequestDetails { deadline, ..details }));
    }

    /// Rejects a request that was not accepted.
    fn reject(&mut self, id: RequestId, class: ClassId, rejection: Rejection, effects: &mut Vec<Effect>) {
        let Rejection { reason, retry_after } = rejection;
        *self.counts[class.0].refusals.entry(reason).or_default() += 1;
        effects.push(Effect::LogRejection(id, class, reason, 0.0));
        effects.push(Effect::Answer(id, Answer::Rejected(retry_after)));
    }

    /// Rejects a request that was accepted.
    pub(super) fn shed(
        &mut self,
        now: Milliseconds,
        id: RequestId,
        wait: Milliseconds,
        why: &'static str,
        effects: &mut Vec<Effect>,
    ) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.closed) else { return };
        let (class, waited, streaming) = (r.class, now - r.received_at, r.streaming);
        self.abort_attempts(now, id, Outcome::Cancelled, effects);
        if !streaming && self.requests.get(&id).is_some_and(|r| !r.closed) {
            *self.counts[class.0].refusals.entry(why).or_default() += 1;
            effects.push(Effect::LogRejection(id, class, why, waited));
        }
        self.answer(id, Answer::Rejected(wait), effects);
    }

    /// Fails a request with the engine's last error.
    pub(super) fn fail(&mut self, now: Milliseconds, id: RequestId, effects: &mut Vec<Effect>) {
        let error = self.requests.get_mut(&id).and_then(|r| r.last_error.take());
        self.abort_attempts(now, id, Outcome::Cancelled, effects);
        self.answer(id, Answer::Failed(error), effects);
    }

    /// How long engines remember the keys of a class; none for classes without keys.
    fn window(&self, class: ClassId) -> Option<Milliseconds> {
        match self.settings.classes[class.0].idempotency {
            Idempotency::Keyed { window, .. } => Some(window),
            _ => None,
        }
    }

    /// Answers a request whose deadline is close. The decision module answers earlier; this holds whatever it does.
    pub(super) fn deadline_passed(&mut self, now: Milliseconds, id: RequestId, effects: &mut Vec<Effect>) {
        if self.requests.get(&id).is_some_and(|r| !r.closed && !r.streaming) {
            self.abort_attempts(now, id, Outcome::Timeout, effects);
            self.answer(id, Answer::Expired, effects);
            self.pending_events.push(DecisionEvent::ClientDisconnected(id));
        }
    }

    /// Closes a request whose client disconnected. Its attempts end at once, so that none is transmitted afterwards.
    pub(super) fn client_disconnected(
        &mut self,
        now: Milliseconds,
        id: RequestId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.closed) else { return };
        r.closed = true;
        self.open_requests -= 1;
        self.counts[r.class.0].left += 1;
        self.pending_events.push(DecisionEvent::ClientDisconnected(id));
        self.abort_attempts(now, id, Outcome::Cancelled, effects);
        self.remove_if_done(id);
    }

    /// Removes a request that is closed and has no attempt in flight.
    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id).filter(|r| r.closed && r.attempts.iter().all(|a| !a.in_flight))
        else {
            return;
        };
        self.held_bytes -= r.statement.bytes();
        self.requests.remove(&id);
    }

    /// Sends the final answer. Every final answer to an accepted request is sent from here.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer, effects: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.closed) else { return };
        r.closed = true;
        self.open_requests -= 1;
        let answer = if r.streaming && !matches!(answer, Answer::Finished) { Answer::Cut } else { answer };
        effects.push(Effect::Answer(id, answer));
        self.remove_if_done(id);
    }
}
