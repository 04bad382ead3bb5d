//! The retry budget of a gateway: how many retries, attempts beyond the first, the recent requests allow.

use crate::settings::RetryBudgetSettings;
use crate::types::Milliseconds;
use std::collections::VecDeque;

/// The most requests that are remembered. Past it the oldest no longer count, which only makes the budget smaller.
const MAX_REMEMBERED: usize = 1 << 17;

/// Requests received and retries sent, by time.
#[derive(Debug, Default)]
pub struct RetryBudget {
    settings: Option<RetryBudgetSettings>,
    received: VecDeque<Milliseconds>,
    retries: VecDeque<Milliseconds>,
}

impl RetryBudget {
    /// The budget that the settings give; `None`: retries are not limited.
    pub fn new(settings: Option<RetryBudgetSettings>) -> Self {
        Self { settings, ..Self::default() }
    }

    /// A request was received at that time.
    pub fn receive(&mut self, at: Milliseconds) {
        if self.settings.is_some() {
            self.received.push_back(at);
            if self.received.len() > MAX_REMEMBERED {
                self.received.pop_front();
            }
        }
    }

    /// A retry was sent at that time.
    pub fn retry(&mut self, at: Milliseconds) {
        if self.settings.is_some() {
            self.retries.push_back(at);
        }
    }

    /// Whether the budget allows one more retry. The window is longer by a margin for retries that were sent, and shorter
    /// by it for requests that earned them: times are not known more exactly.
    pub fn allows(&self, now: Milliseconds, margin: Milliseconds) -> bool {
        let Some(settings) = self.settings else { return true };
        let spent = count_since(&self.retries, now - settings.window - margin);
        let earned = count_since(&self.received, now - settings.window + margin);
        spent + 1.0 <= settings.min_retries + settings.retry_ratio * earned
    }

    /// Forgets what lies before the window with that margin.
    pub fn forget(&mut self, now: Milliseconds, margin: Milliseconds) {
        let from = now - margin - self.settings.map_or(0.0, |settings| settings.window);
        for times in [&mut self.received, &mut self.retries] {
            while times.front().is_some_and(|at| *at < from) {
                times.pop_front();
            }
        }
    }
}

/// The number of times after `since`. The times are in order, and each attempt needs the number, so a binary search
/// keeps the cost from growing with traffic.
fn count_since(times: &VecDeque<Milliseconds>, since: Milliseconds) -> f64 {
    (times.len() - times.partition_point(|at| *at <= since)) as f64
}

#[cfg(test)]
mod tests;
