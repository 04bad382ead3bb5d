//! Requests from their arrival to their one final answer: taking, refusing, leaving, forgetting.

use super::attempts::Attempt;
use super::timers::Due;
use super::{Answer, Ask, Core, Effect, EngineError, Statement};
use crate::interface::{ClassId, Event as DecisionEvent, Incoming, Ms, Outcome, Repeat, RequestId};
use starlingplank_knowledge::gate::{self, Admission, Key};
use std::rc::Rc;

/// The priority of a request until the decision module sets another.
const DEFAULT_PRIORITY: u8 = 1;

/// An idempotency key, and how long engines remember it.
#[derive(Clone, Copy)]
pub(super) struct RequestKey {
    pub(super) key: Key,
    pub(super) window: Ms,
}

/// What the engine grants an attempt.
#[derive(Clone, Copy)]
pub(super) struct Terms {
    /// 0: the engine's choice.
    pub(super) memory_mb: f64,
    /// 0 to 3.
    pub(super) priority: u8,
}

impl Default for Terms {
    fn default() -> Self {
        Self { memory_mb: 0.0, priority: DEFAULT_PRIORITY }
    }
}

/// What admission says of a request that is taken.
struct Admitted {
    key: Option<RequestKey>,
    /// No attempt may leave later.
    send_by: Ms,
}

/// Why a request is turned away, and when its client may retry.
struct Rejection {
    reason: &'static str,
    retry_after: Ms,
}

/// A request from its arrival until it is answered and no attempt of it is in flight.
pub(super) struct Request {
    pub(super) statement: Rc<Statement>,
    pub(super) class: ClassId,
    pub(super) received_at: Ms,
    pub(super) key: Option<RequestKey>,
    pub(super) deadline: Ms,
    /// A keyed statement may not leave later than this: an engine that saw its key before forgets it then.
    pub(super) send_by: Ms,
    pub(super) attempts: Vec<Attempt>,
    pub(super) streaming: bool,
    pub(super) closed: bool,
    pub(super) terms: Terms,
    pub(super) last_error: Option<EngineError>,
}

impl Core {
    /// Requests that are open.
    pub fn open(&self) -> usize {
        self.open_requests
    }

    /// Takes a request, or turns it away.
    pub(super) fn receive(&mut self, now: Ms, ask: Ask, effects: &mut Vec<Effect>) {
        let (id, class) = (ask.asked.id, ask.asked.class);
        self.counts[class.0].taken += 1;
        match self.admit(now, &ask) {
            Ok(admitted) => self.accept(now, ask, admitted),
            Err(rejection) => self.reject(id, class, rejection, effects),
        }
    }

    fn admit(&mut self, now: Ms, ask: &Ask) -> Result<Admitted, Rejection> {
        self.check_capacity(ask)?;
        self.check_membership(now)?;
        self.check_shutdown(now)?;
        self.check_deduplication(now, ask)
    }

    /// Guards the memory: past these limits a request is turned away before the module hears of it.
    fn check_capacity(&self, ask: &Ask) -> Result<(), Rejection> {
        let crowded = self.open_requests >= self.limits.max_open;
        if crowded || self.held_bytes + ask.statement.bytes() > self.limits.held_bytes {
            return Err(self.rejection("limits"));
        }
        Ok(())
    }

    /// Clients that waited in a queue for the list would all be let in at once: each is told another time to retry.
    fn check_membership(&mut self, now: Ms) -> Result<(), Rejection> {
        let Some(come_back) = &mut self.membership_wait else { return Ok(()) };
        let retry_after = come_back.wait(now, self.settings.max_retry_after);
        Err(Rejection { reason: "no list", retry_after })
    }

    /// Nothing new is begun once whatever is open was answered.
    fn check_shutdown(&self, now: Ms) -> Result<(), Rejection> {
        if now >= self.answer_by {
            return Err(self.rejection("ending"));
        }
        Ok(())
    }

    /// A repeat that came while the engines remember its key must not leave after it: it would run twice.
    fn check_deduplication(&mut self, now: Ms, ask: &Ask) -> Result<Admitted, Rejection> {
        let text = ask.statement.key.as_ref().zip(self.window(ask.asked.class));
        let Some((text, window)) = text else { return Ok(Admitted { key: None, send_by: f64::INFINITY }) };
        let key = RequestKey { key: gate::key(text), window };
        match self.gate.admit(&key.key, window, now, self.limits.answer_margin) {
            Admission::Until(send_by) => Ok(Admitted { key: Some(key), send_by }),
            Admission::Later(wait) => {
                Err(Rejection { reason: "keys", retry_after: wait.min(self.settings.max_retry_after) })
            }
        }
    }

    fn rejection(&self, reason: &'static str) -> Rejection {
        Rejection { reason, retry_after: self.settings.max_retry_after }
    }

    fn accept(&mut self, now: Ms, ask: Ask, admitted: Admitted) {
        let Incoming { id, class, deadline, .. } = ask.asked;
        self.open_requests += 1;
        self.held_bytes += ask.statement.bytes();
        let request = Request {
            statement: ask.statement,
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
        // The module plans by the time that there is: attempts end before the deadline, so that the answer can
        // leave. Given the client's own deadline it would retry in the time between, which its retry budget pays for.
        let deadline = deadline - self.limits.answer_margin;
        self.decision_urgent = true;
        self.pending_events.push(DecisionEvent::Request(Incoming { deadline, ..ask.asked }));
    }

    /// Refuses what was not taken.
    fn reject(&mut self, id: RequestId, class: ClassId, rejection: Rejection, effects: &mut Vec<Effect>) {
        let Rejection { reason, retry_after } = rejection;
        *self.counts[class.0].refusals.entry(reason).or_default() += 1;
        effects.push(Effect::Refused(id, class, reason, 0.0));
        effects.push(Effect::Answer(id, Answer::Refused(retry_after)));
    }

    /// Refuses what was taken.
    pub(super) fn shed(
        &mut self,
        now: Ms,
        id: RequestId,
        wait: Ms,
        why: &'static str,
        effects: &mut Vec<Effect>,
    ) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.closed) else { return };
        let (class, waited, streaming) = (r.class, now - r.received_at, r.streaming);
        self.abort_attempts(now, id, Outcome::Cancelled, effects);
        if !streaming && self.requests.get(&id).is_some_and(|r| !r.closed) {
            *self.counts[class.0].refusals.entry(why).or_default() += 1;
            effects.push(Effect::Refused(id, class, why, waited));
        }
        self.answer(id, Answer::Refused(wait), effects);
    }

    /// Fails a request with what its engine said last.
    pub(super) fn fail(&mut self, now: Ms, id: RequestId, effects: &mut Vec<Effect>) {
        let error = self.requests.get_mut(&id).and_then(|r| r.last_error.take());
        self.abort_attempts(now, id, Outcome::Cancelled, effects);
        self.answer(id, Answer::Failed(error), effects);
    }

    fn window(&self, class: ClassId) -> Option<Ms> {
        match self.settings.classes[class.0].repeat {
            Repeat::Keyed { window, .. } => Some(window),
            _ => None,
        }
    }

    /// The module answers in time by itself. This makes sure of it, whatever it does.
    pub(super) fn deadline_passed(&mut self, now: Ms, id: RequestId, effects: &mut Vec<Effect>) {
        if self.requests.get(&id).is_some_and(|r| !r.closed && !r.streaming) {
            self.abort_attempts(now, id, Outcome::Timeout, effects);
            self.answer(id, Answer::Expired, effects);
            self.pending_events.push(DecisionEvent::Gone(id));
        }
    }

    /// Its attempts end here and now: one that still waits to be sent must not leave after its client has.
    pub(super) fn client_disconnected(&mut self, now: Ms, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.closed) else { return };
        r.closed = true;
        self.open_requests -= 1;
        self.counts[r.class.0].left += 1;
        self.pending_events.push(DecisionEvent::Gone(id));
        self.abort_attempts(now, id, Outcome::Cancelled, effects);
        self.remove_if_done(id);
    }

    /// Drops a request once it is answered and nothing is out for it.
    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id).filter(|r| r.closed && r.attempts.iter().all(|a| !a.in_flight))
        else {
            return;
        };
        self.held_bytes -= r.statement.bytes();
        self.requests.remove(&id);
    }

    /// The one place from which final answers go.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer, effects: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.closed) else { return };
        r.closed = true;
        self.open_requests -= 1;
        let answer = if r.streaming && !matches!(answer, Answer::Finished) { Answer::Cut } else { answer };
        effects.push(Effect::Answer(id, answer));
        self.remove_if_done(id);
    }
}
