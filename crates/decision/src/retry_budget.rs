//! The retry budget of a gateway: how many further attempts the requests of late allow.

use crate::interface::{Milliseconds, RetryBudgetSettings};
use std::collections::VecDeque;

/// Requests and further attempts that are remembered at most. Past it the oldest requests no longer count, which only makes
/// the budget smaller.
const REMEMBERED: usize = 1 << 17;

/// Requests received and further attempts sent, by time.
#[derive(Debug, Default)]
pub struct RetryBudget {
    retry_budget: Option<RetryBudgetSettings>,
    received: VecDeque<Milliseconds>,
    retries: VecDeque<Milliseconds>,
}

impl RetryBudget {
    /// The budget that the settings give; none: further attempts are not bounded.
    pub fn new(retry_budget: Option<RetryBudgetSettings>) -> Self {
        Self { retry_budget, ..Self::default() }
    }

    /// A request was received at that time.
    pub fn receive(&mut self, at: Milliseconds) {
        if self.retry_budget.is_some() {
            self.received.push_back(at);
            if self.received.len() > REMEMBERED {
                self.received.pop_front();
            }
        }
    }

    /// A further attempt was sent at that time.
    pub fn retry(&mut self, at: Milliseconds) {
        if self.retry_budget.is_some() {
            self.retries.push_back(at);
        }
    }

    /// Whether one more further attempt fits. The span is taken longer by a margin for what was spent, and shorter for what
    /// was earned: times are not known better than that.
    pub fn allows(&self, now: Milliseconds, margin: Milliseconds) -> bool {
        let Some(retry_budget) = self.retry_budget else { return true };
        let spent = count_since(&self.retries, now - retry_budget.span - margin);
        let earned = count_since(&self.received, now - retry_budget.span + margin);
        spent + 1.0 <= retry_budget.free + retry_budget.per_request * earned
    }

    /// Forgets what no span with that margin reaches back to.
    pub fn forget(&mut self, now: Milliseconds, margin: Milliseconds) {
        let from = now - margin - self.retry_budget.map_or(0.0, |retry_budget| retry_budget.span);
        for times in [&mut self.received, &mut self.retries] {
            while times.front().is_some_and(|at| *at < from) {
                times.pop_front();
            }
        }
    }
}

/// Both lie in order of time. Every attempt asks this, so counting them all would cost more with traffic.
fn count_since(times: &VecDeque<Milliseconds>, since: Milliseconds) -> f64 {
    (times.len() - times.partition_point(|at| *at <= since)) as f64
}

#[cfg(test)]
mod tests;
