//! Requests from their arrival to their one final answer: admission, rejection, client disconnects, removal.

use super::request_state::{Attempt, Request, RequestKey, ResponsePhase, Terms};
use super::timers::TimerKind;
use super::{Answer, ClientRequest, Core, Effect};
use crate::interface::{
    ClassId, Event as DecisionEvent, Idempotency, Milliseconds, Outcome, RequestDetails, RequestId,
};
use starlingplank_persistence::deduplication_window::{self, Admission, Key, KeySends};
use starlingplank_persistence::sent_requests::Repetition;

/// The idempotency key of an admitted request, and the time limit on its transmission.
struct Admitted {
    key: Option<RequestKey>,
    /// The time after which no attempt of the request may be transmitted.
    send_by: Milliseconds,
}

/// The reason for which a request is not admitted.
enum Refusal {
    /// The request is rejected, and its client may retry.
    Rejected(Rejection),
    /// An earlier request of the same identity may have run, and must not run twice.
    MayHaveRun,
}

impl From<Rejection> for Refusal {
    fn from(rejection: Rejection) -> Self {
        Self::Rejected(rejection)
    }
}

/// The reason for which a request is rejected, and the time after which its client should retry.
struct Rejection {
    reason: &'static str,
    retry_after: Milliseconds,
}

impl Core {
    /// Returns whether a request still waits for its final answer.
    pub(super) fn is_open(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| !request.is_closed())
    }

    fn open_request(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id).filter(|request| !request.is_closed())
    }

    /// Accepts or rejects a request.
    pub(super) fn receive(&mut self, now: Milliseconds, request: ClientRequest, effects: &mut Vec<Effect>) {
        let (id, class) = (request.details.id, request.details.class);
        self.counts[class.0].received += 1;
        match self.admit(now, &request) {
            Ok(admitted) => self.accept(now, request, admitted),
            Err(Refusal::Rejected(rejection)) => self.reject(id, class, rejection, effects),
            // Only a failure tells the client that the request may have run.
            Err(Refusal::MayHaveRun) => effects.push(Effect::Answer(id, Answer::Failed(None))),
        }
    }

    fn admit(&mut self, now: Milliseconds, request: &ClientRequest) -> Result<Admitted, Refusal> {
        self.check_repetition(now, request)?;
        self.check_capacity(request)?;
        self.check_membership(now)?;
        self.check_shutdown(now)?;
        Ok(self.check_deduplication(now, request)?)
    }

    /// Refuses a request that must not run twice if an earlier one of the same identity may have run.
    fn check_repetition(&mut self, now: Milliseconds, request: &ClientRequest) -> Result<(), Refusal> {
        let Some(identity) = &request.statement.identity else { return Ok(()) };
        match self.sent_requests.check(identity, now) {
            Repetition::None => Ok(()),
            Repetition::MayHaveRun => Err(Refusal::MayHaveRun),
            Repetition::Full => Err(self.rejection("limits").into()),
        }
    }

    /// Adds requests that another process of this gateway has sent and that must not run twice.
    pub(super) fn add_peer_requests(&mut self, requests: &[(Key, KeySends)]) {
        for (identity, sends) in requests {
            self.sent_requests.merge_peer(*identity, sends.last);
        }
    }

    /// Rejects a request that would exceed the limits on open requests or buffered bytes, without a decision. This bounds memory.
    fn check_capacity(&self, request: &ClientRequest) -> Result<(), Rejection> {
        let is_full = self.open_requests >= self.limits.max_open_requests;
        if is_full
            || self.statement_memory.bytes() + request.statement.bytes() > self.limits.memory.statement_bytes
        {
            return Err(self.rejection("limits"));
        }
        Ok(())
    }

    /// Rejects requests while no membership is known: if they were queued, they would all be sent at once when the first list
    /// arrives. Each is rejected with a different retry-after time.
    fn check_membership(&mut self, now: Milliseconds) -> Result<(), Rejection> {
        let Some(generator) = &mut self.membership_wait else { return Ok(()) };
        let retry_after = generator.draw(now, self.settings.max_retry_after);
        Err(Rejection { reason: "no list", retry_after })
    }

    /// Rejects requests once the open ones have been answered because of the shutdown.
    fn check_shutdown(&self, now: Milliseconds) -> Result<(), Rejection> {
        if now >= self.answer_by {
            return Err(self.rejection("ending"));
        }
        Ok(())
    }

    /// Determines until when a keyed request may be transmitted. A repeat that arrives while engines remember its key must not
    /// be transmitted after they have forgotten the key, as it would be executed twice.
    fn check_deduplication(
        &mut self,
        now: Milliseconds,
        request: &ClientRequest,
    ) -> Result<Admitted, Rejection> {
        let keyed = request.statement.key.as_ref().zip(self.deduplication_time(request.details.class));
        let Some((key_text, window)) = keyed else {
            return Ok(Admitted { key: None, send_by: f64::INFINITY });
        };
        let key = RequestKey { key: deduplication_window::key(key_text), window };
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
        self.statement_memory.update(statement.bytes(), 0);
        let request = Request {
            statement,
            class,
            received_at: now,
            key: admitted.key,
            deadline,
            send_by: admitted.send_by,
            attempts: Vec::new(),
            terms: Terms::default(),
            last_error: None,
            phase: ResponsePhase::Pending,
        };
        self.requests.insert(id, request);
        self.set_timer(deadline - self.limits.answer_margin / 2.0, TimerKind::RequestDeadline(id));
        // Attempts end before the client's deadline, so that the answer can be sent in time. The decision module is given
        // that earlier deadline: with the client's it would spend its retry budget on retries between the two.
        let deadline = deadline - self.limits.answer_margin;
        self.decision_urgent = true;
        self.pending_events.push(DecisionEvent::Request(RequestDetails { deadline, ..details }));
    }

    /// Rejects a request that was not admitted.
    fn reject(&mut self, id: RequestId, class: ClassId, rejection: Rejection, effects: &mut Vec<Effect>) {
        let Rejection { reason, retry_after } = rejection;
        *self.counts[class.0].rejections.entry(reason).or_default() += 1;
        effects.push(Effect::LogRejection { request: id, class, reason, waited: 0.0 });
        effects.push(Effect::Answer(id, Answer::Rejected(retry_after)));
    }

    /// Rejects a request that was already admitted, and aborts its attempts.
    pub(super) fn shed(
        &mut self,
        now: Milliseconds,
        id: RequestId,
        retry_after: Milliseconds,
        reason: &'static str,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.is_closed()) else { return };
        let (class, waited) = (request.class, now - request.received_at);
        let has_streamed = request.has_streamed();
        self.abort_attempts(now, id, Outcome::Cancelled, effects);
        if !has_streamed && self.is_open(id) {
            *self.counts[class.0].rejections.entry(reason).or_default() += 1;
            effects.push(Effect::LogRejection { request: id, class, reason, waited });
        }
        self.answer(id, Answer::Rejected(retry_after), effects);
    }

    /// Fails a request with the engine's error from the last attempt, and aborts its attempts in flight.
    pub(super) fn fail(&mut self, now: Milliseconds, id: RequestId, effects: &mut Vec<Effect>) {
        let error = self.requests.get_mut(&id).and_then(|request| request.last_error.take());
        self.abort_attempts(now, id, Outcome::Cancelled, effects);
        self.answer(id, Answer::Failed(error), effects);
    }

    /// Returns the time for which engines remember the keys of a class; `None` for classes without keys.
    fn deduplication_time(&self, class: ClassId) -> Option<Milliseconds> {
        match self.settings.classes[class.0].idempotency {
            Idempotency::Keyed { window, .. } => Some(window),
            _ => None,
        }
    }

    /// Answers a request whose deadline is close. The decision module normally answers earlier; this guarantees an answer in
    /// time regardless of what it does.
    pub(super) fn deadline_passed(&mut self, now: Milliseconds, id: RequestId, effects: &mut Vec<Effect>) {
        let request = self.requests.get(&id);
        if request.is_some_and(|request| request.phase == ResponsePhase::Pending) {
            self.abort_attempts(now, id, Outcome::Timeout, effects);
            self.answer(id, Answer::Expired, effects);
            self.pending_events.push(DecisionEvent::ClientDisconnected(id));
        }
    }

    /// Closes a request whose client disconnected. Its attempts are aborted at once, so that none is transmitted afterwards.
    pub(super) fn client_disconnected(
        &mut self,
        now: Milliseconds,
        id: RequestId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.open_request(id) else { return };
        let class = request.class;
        request.close();
        self.open_requests -= 1;
        self.counts[class.0].disconnected += 1;
        self.pending_events.push(DecisionEvent::ClientDisconnected(id));
        self.abort_attempts(now, id, Outcome::Cancelled, effects);
        self.remove_if_done(id);
    }

    /// Removes a request that is closed and has no attempt in flight.
    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if !request.is_closed() || request.attempts.iter().any(Attempt::is_in_flight) {
            return;
        }
        self.statement_memory.update(0, request.statement.bytes());
        let may_have_run = request.attempts.iter().any(Attempt::may_have_run);
        if let Some(identity) = request.statement.identity.filter(|_| !may_have_run) {
            self.sent_requests.forget(&identity);
        }
        self.requests.remove(&id);
    }

    /// Sends the final answer to a request. Every final answer to an admitted request is sent from here. After a part of the
    /// result was streamed, the answer is either `Streamed` or `Aborted`.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer, effects: &mut Vec<Effect>) {
        let Some(request) = self.open_request(id) else { return };
        let has_streamed = request.has_streamed();
        request.close();
        self.open_requests -= 1;
        let answer =
            if has_streamed && !matches!(answer, Answer::Streamed) { Answer::Aborted } else { answer };
        effects.push(Effect::Answer(id, answer));
        self.remove_if_done(id);
    }
}
