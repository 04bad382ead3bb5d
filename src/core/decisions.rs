//! Turns of the decision module: when it decides, and what is done for its actions.

use super::timers::Due;
use super::{Answer, Core, Effect};
use crate::interface::{Action, Ms, Outcome, Why};

impl Core {
    /// Requests by class that could not be sent at once, and why.
    pub fn waits(&self) -> &[[u64; Why::COUNT]] {
        self.module.waits()
    }

    /// So much time was spent on turns.
    pub fn spent(&mut self, time: Ms) {
        self.credit -= time;
    }

    /// Lets the module decide, and again while its own actions give it news. At once where somebody waits for it and
    /// turns have taken little time of late; else once in a while, with all that has come in.
    pub(super) fn turn(&mut self, now: Ms, effects: &mut Vec<Effect>) {
        if self.pending.is_empty() {
            return;
        }
        self.credit += (now - self.earned).max(0.0) * self.limits.turn_share;
        (self.credit, self.earned) = (self.credit.min(self.limits.turn_credit), now);
        if now < self.next_turn && !(self.urgent && self.credit > 0.0) {
            if !std::mem::replace(&mut self.turn_set, true) {
                self.timer(self.next_turn, Due::Turn);
            }
            return;
        }
        self.next_turn = now + self.limits.turn_gap;
        self.urgent = false;
        let mut actions = Vec::new();
        for _ in 0..=self.settings.send_cap {
            if self.pending.is_empty() {
                return;
            }
            let events = std::mem::take(&mut self.pending);
            self.module.turn(now, &events, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, effects);
            }
        }
    }

    pub(super) fn act(&mut self, now: Ms, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::Send { id, engine, timeout } => self.send(now, id, engine, timeout, effects),
            Action::Refuse { id, retry_after, why } => self.refuse(now, id, retry_after, why.name(), effects),
            Action::Fail { id } => {
                let error = self.requests.get_mut(&id).and_then(|r| r.error.take());
                self.stop(now, id, Outcome::Cancelled, effects);
                self.answer(id, Answer::Failed(error), effects);
            }
            Action::Cancel { id, attempt } => self.give_up(now, (id, attempt), Outcome::Cancelled, effects),
            Action::Terms { id, memory_mb, priority } => {
                let Some(r) = self.requests.get_mut(&id) else { return };
                let changed = r.terms.1 != priority;
                r.terms = (memory_mb, priority);
                for (a, n) in r.attempts.iter().zip(0..).filter(|(a, _)| a.out && changed) {
                    effects.push(Effect::Hurry((id, n), a.engine.clone(), priority));
                }
            }
            Action::Timer { after, token } => self.timer(now + after, Due::Module(token)),
            // The list is polled all the time; there is nothing to subscribe to.
            Action::Watch => {}
            Action::Probe { engine } => match self.first_probes.ask(engine, now) {
                Some(engine) => self.probe(now, engine, effects),
                None => self.timer(self.first_probes.until, Due::FirstProbes),
            },
        }
    }
}
