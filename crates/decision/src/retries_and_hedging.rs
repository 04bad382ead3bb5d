//! Retries and hedging: a further attempt for a request that can still meet its objective, beside the first if that is
//! overdue, or in its place if it is stuck.

use crate::balancer::Balancer;
use crate::interface::Action;
use crate::outlier_ejection::is_outlier;
use crate::settings::Idempotency;
use crate::state::{Attempt, Request, RuntimeGroup};
use crate::types::{Milliseconds, RequestId};

/// The least time after which an attempt is overdue: shorter ones are within ordinary scatter.
pub(crate) const MIN_PATIENCE: Milliseconds = 200.0;
/// The share of the latency objective by which a further attempt must be expected to end.
const MAX_OBJECTIVE_SHARE: f64 = 0.7;
/// How many times longer than alone an attempt takes when it is stuck. Up to it, one in three still ends in time.
const STUCK_SLOWDOWN: f64 = 3.0;
/// The slowdown of the fleet up to which stuck attempts are moved. Where all take long, a move is more work for engines
/// that are full, and moves add up to a storm.
const MAX_FLEET_SLOWDOWN: f64 = 1.5;
/// The margin of the retry budget, in cycles: times are not known better.
const BUDGET_MARGIN_CYCLES: f64 = 2.0;

/// How a further attempt is made.
enum FurtherAttempt {
    /// Beside the attempt in flight.
    Hedge,
    /// In place of it: it is cancelled, and the request waits for an engine again.
    Replace,
}

impl Balancer {
    /// Starts a further attempt for a request with one attempt in flight, where that is worth it.
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
        let is_overdue = self.now - attempt.sent_at > attempt.patience;
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
        let longest = (STUCK_SLOWDOWN * self.unloaded_latency(request)).max(MIN_PATIENCE);
        !self.was_paused() && self.now - attempt.sent_at > longest && self.fleet.slowdown < MAX_FLEET_SLOWDOWN
    }

    fn cancel_attempt(&mut self, id: RequestId, number: u32, actions: &mut Vec<Action>) {
        actions.push(Action::Cancel { id, attempt: number });
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts[number as usize].cancelled = true;
        }
    }

    /// Cancels what still runs for a request that is closed: the attempt that lost, or the work of a client that has
    /// disconnected. It serves nobody.
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

    /// Whether the retry budget of this gateway allows a further attempt.
    pub(crate) fn retry_budget_allows(&self) -> bool {
        self.retry_budget.allows(self.now, BUDGET_MARGIN_CYCLES * self.settings.min_decision_interval)
    }
}
