//! Retries and hedging: starts a further attempt for a request that can still meet its objective, in parallel with
//! the first attempt if that is overdue, or in place of it if it is stuck.

use crate::balancer::Balancer;
use crate::interface::Action;
use crate::outlier_ejection::is_outlier;
use crate::settings::Idempotency;
use crate::state::{Attempt, Request, RuntimeGroup};
use crate::types::{Milliseconds, RequestId};

/// Minimum time after which an attempt is overdue: shorter times are within the ordinary variation.
pub(crate) const MIN_OVERDUE_AFTER: Milliseconds = 200.0;
/// Share of the latency objective within which a further attempt must be expected to end.
const MAX_OBJECTIVE_SHARE: f64 = 0.7;
/// Slowdown above which an attempt is considered stuck. Up to this slowdown, one in three attempts still ends in
/// time.
const STUCK_SLOWDOWN: f64 = 3.0;
/// Slowdown of the fleet up to which stuck attempts are replaced. If all engines are slow, a replacement adds work to
/// engines that are full, and replacements amplify the overload.
const MAX_FLEET_SLOWDOWN: f64 = 1.5;
/// Margin of the retry budget's window, in cycles: times are known only to the cycle.
const BUDGET_MARGIN_CYCLES: f64 = 2.0;

/// Kind of further attempt.
enum FurtherAttempt {
    /// Sent in parallel with the attempt in flight.
    Hedge,
    /// Replaces the attempt in flight, which is cancelled; the request then waits for an engine again.
    Replace,
}

impl Balancer {
    /// Starts a further attempt for a request with one attempt in flight, if the conditions for it are met.
    pub(crate) fn hedge_or_replace(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let mut attempts = (0..).zip(&request.attempts);
        let Some((number, attempt)) = attempts.find(|(_, attempt)| attempt.in_flight) else { return };
        match self.further_attempt(request, attempt) {
            Some(FurtherAttempt::Hedge) => {
                if let Ok(engine) = self.select_engine(request) {
                    self.send(id, &engine, actions);
                }
            }
            Some(FurtherAttempt::Replace) => self.cancel_attempt(id, number, actions),
            None => {}
        }
    }

    fn further_attempt(&self, request: &Request, attempt: &Attempt) -> Option<FurtherAttempt> {
        if !self.may_attempt_again(request, attempt) || !self.can_still_meet_objective(request) {
            return None;
        }
        let on_outlier = self.engines.get(&attempt.engine).is_none_or(is_outlier);
        let is_overdue = self.now - attempt.sent_at > attempt.overdue_after;
        let is_short = self.class_state_of(request).group == RuntimeGroup::Short;
        if self.settings.may_hedge && (on_outlier || is_overdue && is_short) {
            return Some(FurtherAttempt::Hedge);
        }
        let is_replaceable = on_outlier && is_overdue || self.is_stuck(request, attempt);
        (self.settings.may_cancel && is_replaceable).then_some(FurtherAttempt::Replace)
    }

    fn may_attempt_again(&self, request: &Request, attempt: &Attempt) -> bool {
        let is_idempotent = self.class_of(request).idempotency == Idempotency::Idempotent;
        request.in_flight() <= 1
            && !attempt.cancelled
            && (is_idempotent || self.settings.may_hedge)
            && request.attempts.len() < self.settings.max_attempts as usize
            && self.retry_budget_allows()
    }

    fn can_still_meet_objective(&self, request: &Request) -> bool {
        let expected_end = self.now - request.received_at + self.unloaded_latency(request);
        let objective = self.latency_objective(request.details.class, request.relative_size);
        expected_end < objective * MAX_OBJECTIVE_SHARE
    }

    fn is_stuck(&self, request: &Request, attempt: &Attempt) -> bool {
        let longest = (STUCK_SLOWDOWN * self.unloaded_latency(request)).max(MIN_OVERDUE_AFTER);
        !self.was_paused() && self.now - attempt.sent_at > longest && self.fleet.slowdown < MAX_FLEET_SLOWDOWN
    }

    fn cancel_attempt(&mut self, id: RequestId, number: u32, actions: &mut Vec<Action>) {
        actions.push(Action::Cancel { id, attempt: number });
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts[number as usize].cancelled = true;
        }
    }

    /// Cancels the attempts that still run for a closed request: the slower of two hedged attempts, or the work for a
    /// client that has disconnected. Their results are not needed.
    pub(crate) fn cancel_attempts_of_closed(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if !self.settings.may_cancel {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        for (number, attempt) in (0..).zip(&mut request.attempts) {
            if attempt.in_flight && !attempt.cancelled {
                attempt.cancelled = true;
                actions.push(Action::Cancel { id, attempt: number });
            }
        }
    }

    /// Returns whether the retry budget of this gateway allows a further attempt.
    pub(crate) fn retry_budget_allows(&self) -> bool {
        self.retry_budget.allows(self.now, BUDGET_MARGIN_CYCLES * self.settings.min_decision_interval)
    }
}
