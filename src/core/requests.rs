//! Requests from their arrival to their one final answer: taking, refusing, leaving, forgetting.

use super::attempts::Attempt;
use super::timers::Due;
use super::{Answer, Ask, Core, Effect, EngineError, Statement};
use crate::interface::Event as DecisionEvent;
use crate::interface::{ClassId, Incoming, Ms, Outcome, Repeat, RequestId};
use starlingplank_knowledge::gate::{self, Admission, Key};
use std::rc::Rc;

pub(super) struct Request {
    pub(super) statement: Rc<Statement>,
    pub(super) class: ClassId,
    pub(super) taken: Ms,
    pub(super) key: Option<(Key, Ms)>,
    pub(super) deadline: Ms,
    /// A keyed statement may not leave later than this: an engine that saw its key before forgets it then.
    pub(super) send_by: Ms,
    pub(super) attempts: Vec<Attempt>,
    pub(super) begun: bool,
    pub(super) over: bool,
    pub(super) terms: (f64, u8),
    pub(super) error: Option<EngineError>,
}

impl Core {
    /// Requests that are open.
    pub fn open(&self) -> usize {
        self.open
    }

    pub(super) fn take(&mut self, now: Ms, ask: Ask, effects: &mut Vec<Effect>) {
        let (id, class, deadline) = (ask.asked.id, ask.asked.class, ask.asked.deadline);
        self.counts[class.0].taken += 1;
        // Guards the memory: past these limits a request is turned away before the module hears of it.
        if self.open >= self.limits.max_open || self.held + ask.statement.bytes() > self.limits.held_bytes {
            return self.turn_away(id, class, self.settings.max_retry_after, "limits", effects);
        }
        // Waiting for the list in a queue would end as the herd that it lets in: clients wait, each for another time.
        if let Some(line) = &mut self.unlisted {
            let wait = line.wait(now, self.settings.max_retry_after);
            return self.turn_away(id, class, wait, "no list", effects);
        }
        // Nothing new is begun once whatever is open was answered.
        if now >= self.answer_by {
            return self.turn_away(id, class, self.settings.max_retry_after, "ending", effects);
        }
        // A repeat that came while the engines remember its key must not leave after it: it would run twice.
        let key =
            ask.statement.key.as_ref().zip(self.window(class)).map(|(k, window)| (gate::key(k), window));
        let admitted = key.map(|(k, window)| self.gate.admit(&k, window, now, self.limits.answer_margin));
        let send_by = match admitted {
            None => f64::INFINITY,
            Some(Admission::Until(by)) => by,
            Some(Admission::Later(wait)) => {
                return self.turn_away(id, class, wait.min(self.settings.max_retry_after), "keys", effects);
            }
        };
        self.open += 1;
        self.held += ask.statement.bytes();
        let request = Request {
            statement: ask.statement,
            class,
            taken: now,
            key,
            deadline,
            send_by,
            attempts: Vec::new(),
            begun: false,
            over: false,
            terms: (0.0, 1),
            error: None,
        };
        self.requests.insert(id, request);
        self.timer(deadline - self.limits.answer_margin / 2.0, Due::Deadline(id));
        // The module plans by the time that there is: attempts end before the deadline, so that the answer can
        // leave. With the client's own deadline it sent again in the time between, which went against its ration.
        let deadline = deadline - self.limits.answer_margin;
        self.urgent = true;
        self.pending.push(DecisionEvent::Request(Incoming { deadline, ..ask.asked }));
    }

    /// Refuses what was not taken.
    pub(super) fn turn_away(
        &mut self,
        id: RequestId,
        class: ClassId,
        wait: Ms,
        why: &'static str,
        effects: &mut Vec<Effect>,
    ) {
        *self.counts[class.0].refusals.entry(why).or_default() += 1;
        effects.push(Effect::Refused(id, class, why, 0.0));
        effects.push(Effect::Answer(id, Answer::Refused(wait)));
    }

    /// Refuses what was taken.
    pub(super) fn refuse(
        &mut self,
        now: Ms,
        id: RequestId,
        wait: Ms,
        why: &'static str,
        effects: &mut Vec<Effect>,
    ) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.over) else { return };
        let (class, waited, begun) = (r.class, now - r.taken, r.begun);
        self.stop(now, id, Outcome::Cancelled, effects);
        if !begun && self.requests.get(&id).is_some_and(|r| !r.over) {
            *self.counts[class.0].refusals.entry(why).or_default() += 1;
            effects.push(Effect::Refused(id, class, why, waited));
        }
        self.answer(id, Answer::Refused(wait), effects);
    }

    pub(super) fn window(&self, class: ClassId) -> Option<Ms> {
        match self.settings.classes[class.0].repeat {
            Repeat::Keyed { window, .. } => Some(window),
            _ => None,
        }
    }

    /// Its attempts end here and now: one that still waits to be sent must not leave after its client has.
    pub(super) fn leave(&mut self, now: Ms, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.over) else { return };
        r.over = true;
        self.open -= 1;
        self.counts[r.class.0].left += 1;
        self.pending.push(DecisionEvent::Gone(id));
        self.stop(now, id, Outcome::Cancelled, effects);
        self.forget(id);
    }

    /// Drops a request once it is answered and nothing is out for it.
    pub(super) fn forget(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id).filter(|r| r.over && r.attempts.iter().all(|a| !a.out)) else {
            return;
        };
        self.held -= r.statement.bytes();
        self.requests.remove(&id);
    }

    /// The one place from which final answers go.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer, effects: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.over) else { return };
        r.over = true;
        self.open -= 1;
        let answer = if r.begun && !matches!(answer, Answer::Finished) { Answer::Cut } else { answer };
        effects.push(Effect::Answer(id, answer));
        self.forget(id);
    }
}
