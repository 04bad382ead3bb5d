//! Turns of the decision module: when it decides, and what is done for its actions.

use super::requests::Terms;
use super::timers::Due;
use super::{Core, Effect};
use crate::interface::{Action, Ms, Outcome, Why};

impl Core {
    /// Requests by class that could not be sent at once, and why.
    pub fn waits(&self) -> &[[u64; Why::COUNT]] {
        self.module.waits()
    }

    /// So much time was spent on turns.
    pub fn spent(&mut self, time: Ms) {
        self.decision_credit -= time;
    }

    /// Lets the module decide: at once where somebody waits for it and turns have taken little time of late; else once
    /// in a while, with all that has come in.
    pub(super) fn decision_cycle(&mut self, now: Ms, effects: &mut Vec<Effect>) {
        if self.pending_events.is_empty() {
            return;
        }
        self.accrue_credit(now);
        let at_once = self.decision_urgent && self.decision_credit > 0.0;
        if now < self.next_decision_at && !at_once {
            return self.set_decision_timer();
        }
        self.next_decision_at = now + self.limits.turn_gap;
        self.decision_urgent = false;
        self.decide(now, effects);
    }

    fn accrue_credit(&mut self, now: Ms) {
        self.decision_credit += (now - self.credit_updated_at).max(0.0) * self.limits.turn_share;
        self.decision_credit = self.decision_credit.min(self.limits.turn_credit);
        self.credit_updated_at = now;
    }

    fn set_decision_timer(&mut self) {
        if !std::mem::replace(&mut self.decision_timer_set, true) {
            self.set_timer(self.next_decision_at, Due::DecisionCycle);
        }
    }

    /// Lets the module decide, and again while its own actions give it news.
    fn decide(&mut self, now: Ms, effects: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        for _ in 0..=self.settings.send_cap {
            if self.pending_events.is_empty() {
                return;
            }
            let events = std::mem::take(&mut self.pending_events);
            self.module.turn(now, &events, &mut actions);
            for action in actions.drain(..) {
                self.perform(now, action, effects);
            }
        }
    }

    fn perform(&mut self, now: Ms, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::Send { id, engine, timeout } => self.start_attempt(now, id, engine, timeout, effects),
            Action::Refuse { id, retry_after, why } => self.shed(now, id, retry_after, why.name(), effects),
            Action::Fail { id } => self.fail(now, id, effects),
            Action::Cancel { id, attempt } => {
                self.abort_attempt(now, (id, attempt), Outcome::Cancelled, effects)
            }
            Action::Terms { id, memory_mb, priority } => {
                self.set_terms(id, Terms { memory_mb, priority }, effects);
            }
            Action::Timer { after, token } => self.set_timer(now + after, Due::DecisionTimer(token)),
            // The list is polled all the time; there is nothing to subscribe to.
            Action::Watch => {}
            Action::Probe { engine } => self.ask_for_probe(now, engine, effects),
        }
    }
}
