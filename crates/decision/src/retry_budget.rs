//! The retry budget of a gateway: limits retries, that is attempts after the first, in proportion to recent requests.

use crate::settings::RetryBudgetSettings;
use crate::types::Milliseconds;
use std::collections::VecDeque;

/// Maximum number of requests that are recorded. Beyond it the oldest no longer count, which can only make the
/// budget smaller.
const MAX_RECORDED_REQUESTS: usize = 1 << 17;

/// Times of received requests and sent retries.
#[derive(Debug, Default)]
pub struct RetryBudget {
    settings: Option<RetryBudgetSettings>,
    received: VecDeque<Milliseconds>,
    retries: VecDeque<Milliseconds>,
}

impl RetryBudget {
    /// Creates a budget with these settings; `None`: retries are not limited.
    pub fn new(settings: Option<RetryBudgetSettings>) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records a request received at `at`.
    pub fn record_request(&mut self, at: Milliseconds) {
        if self.settings.is_some() {
            self.received.push_back(at);
            if self.received.len() > MAX_RECORDED_REQUESTS {
                self.received.pop_front();
            }
        }
    }

    /// Removes a request that was recorded at `at`: its client withdrew it before the final answer. Otherwise a client could
    /// raise the budget with requests that it cancels at once.
    pub fn remove_request(&mut self, at: Milliseconds) {
        let index = self.received.partition_point(|recorded| *recorded < at);
        if self.received.get(index) == Some(&at) {
            self.received.remove(index);
        }
    }

    /// Records a retry sent at `at`.
    pub fn record_retry(&mut self, at: Milliseconds) {
        if self.settings.is_some() {
            self.retries.push_back(at);
        }
    }

    /// Returns whether the budget allows one more retry. Because times are known only to within `margin`, the window
    /// is longer by the margin for counting retries, and shorter by it for counting requests.
    pub fn allows(&self, now: Milliseconds, margin: Milliseconds) -> bool {
        let Some(settings) = self.settings else { return true };
        let sent = count_since(&self.retries, now - settings.window - margin);
        let received = count_since(&self.received, now - settings.window + margin);
        sent + 1.0 <= settings.min_retries + settings.retry_ratio * received
    }

    /// Discards times before the start of the window minus the margin.
    pub fn discard_before_window(&mut self, now: Milliseconds, margin: Milliseconds) {
        let from = now - margin - self.settings.map_or(0.0, |settings| settings.window);
        for times in [&mut self.received, &mut self.retries] {
            while times.front().is_some_and(|at| *at < from) {
                times.pop_front();
            }
        }
    }
}

/// Returns the number of times after `since`. The times are in order; a binary search is used because the count is
/// needed for each attempt, and its cost must not grow with traffic.
fn count_since(times: &VecDeque<Milliseconds>, since: Milliseconds) -> f64 {
    (times.len() - times.partition_point(|at| *at <= since)) as f64
}

#[cfg(test)]
mod tests;
