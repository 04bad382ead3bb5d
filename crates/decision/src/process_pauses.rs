//! Pauses of this process: stalls, suspended machines, jumping clocks.
//!
//! Time in which the process did not run says nothing about engines. It counts neither as their silence nor against
//! the patience with attempts, and what is read on resuming is no measure of latency.

use crate::balancer::Balancer;
use crate::types::Milliseconds;

/// A gap between cycles longer than this, in milliseconds, is a pause: timers make cycles far more frequent.
const PAUSE_THRESHOLD: Milliseconds = 250.0;
/// The time constant with which the longest recent pause decays: pauses tend to come again within a minute.
const PAUSE_MEMORY: Milliseconds = 60_000.0;

impl Balancer {
    /// Starts a cycle at `now`, and measures for how long the process did not run before it.
    pub(crate) fn measure_pause(&mut self, now: Milliseconds) {
        let gap = now - self.now;
        self.now = now;
        self.paused_for = if gap > PAUSE_THRESHOLD { gap } else { 0.0 };
        let decay = (-gap.max(0.0) / PAUSE_MEMORY).exp();
        self.longest_recent_pause = self.paused_for.max(self.longest_recent_pause * decay);
        if self.was_paused() {
            for attempt in self.requests.values_mut().flat_map(|request| &mut request.attempts) {
                attempt.patience += gap;
            }
        }
    }

    /// Whether the process did not run just before the current cycle.
    pub(crate) fn was_paused(&self) -> bool {
        self.paused_for > 0.0
    }
}
