//! Decision cycles: scheduling of the decision module, and execution of its actions.

use super::request_state::Terms;
use super::timers::TimerKind;
use super::{AttemptId, Core, Effect};
use crate::interface::{Action, BlockReason, Milliseconds, Outcome};

impl Core {
    /// Returns the number of requests that could not be transmitted at once, by class and reason.
    pub fn blocked_counts(&self) -> &[[u64; BlockReason::COUNT]] {
        self.balancer.blocked_counts()
    }

    /// Deducts the processing time of decision cycles from the credit for urgent ones.
    pub fn deduct_decision_time(&mut self, time: Milliseconds) {
        self.decision_credit -= time;
    }

    /// Runs a decision cycle if one is due. A cycle is due at once if a request waits for it and recent cycles have taken little
    /// time; otherwise cycles are paced, and each handles all events since the last one.
    pub(super) fn decision_cycle(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        if self.pending_events.is_empty() {
            return;
        }
        self.accrue_credit(now);
        let runs_now = self.decision_urgent && self.decision_credit > 0.0;
        if now < self.next_decision_at && !runs_now {
            return self.set_decision_timer();
        }
        self.next_decision_at = now + self.limits.decision_interval;
        self.decision_urgent = false;
        self.decide(now, effects);
    }

    fn accrue_credit(&mut self, now: Milliseconds) {
        self.decision_credit += (now - self.credit_updated_at).max(0.0) * self.limits.decision_time_share;
        self.decision_credit = self.decision_credit.min(self.limits.max_decision_credit);
        self.credit_updated_at = now;
    }

    fn set_decision_timer(&mut self) {
        if !std::mem::replace(&mut self.decision_timer_set, true) {
            self.set_timer(self.next_decision_at, TimerKind::DecisionCycle);
        }
    }

    /// Runs the decision module, and repeats this while its own actions cause further events, up to a maximum number of rounds.
    fn decide(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        for _ in 0..=self.settings.max_attempts {
            if self.pending_events.is_empty() {
                return;
            }
            let events = std::mem::take(&mut self.pending_events);
            self.balancer.run_cycle(now, &events, &mut actions);
            for action in actions.drain(..) {
                self.perform(now, action, effects);
            }
        }
    }

    fn perform(&mut self, now: Milliseconds, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::Send { id, engine, timeout } => self.start_attempt(now, id, engine, timeout, effects),
            Action::Reject { id, retry_after, reason } => {
                self.shed(now, id, retry_after, reason.name(), effects);
            }
            Action::Fail { id } => self.fail(now, id, effects),
            Action::Cancel { id, attempt } => {
                let attempt = AttemptId { request: id, number: attempt };
                self.abort_attempt(now, attempt, Outcome::Cancelled, effects);
            }
            Action::SetTerms { id, memory_mb, priority } => {
                self.set_terms(id, Terms { memory_mb, priority }, effects);
            }
            Action::Timer { after, token } => self.set_timer(now + after, TimerKind::DecisionTimer(token)),
            // The name service is polled continuously, so there is nothing to subscribe to.
            Action::SubscribeToEndpoints => {}
            Action::CheckHealth { engine } => self.request_health_check(now, engine, effects),
        }
    }
}
