//! Pauses of this process: stalls, suspended machines and clock jumps.
//!
//! Time in which the process did not run gives no information about engines. It does not count as silence of an
//! engine or towards the time after which an attempt is overdue, and elapsed times read directly after a pause are
//! not used as latencies.

use crate::balancer::Balancer;
use crate::types::Milliseconds;

/// Minimum gap between cycles, in milliseconds, that counts as a pause: timers make normal gaps far shorter.
const PAUSE_THRESHOLD: Milliseconds = 250.0;
/// Time constant with which the longest recent pause decays: pauses often recur within a minute.
const PAUSE_TIME_CONSTANT: Milliseconds = 60_000.0;

impl Balancer {
    /// Sets the time of the cycle, and measures the time for which the process did not run before it.
    pub(crate) fn measure_pause(&mut self, now: Milliseconds) {
        let gap = now - self.now;
        self.now = now;
        self.paused_for = if gap > PAUSE_THRESHOLD { gap } else { 0.0 };
        let decay = (-gap.max(0.0) / PAUSE_TIME_CONSTANT).exp();
        self.longest_recent_pause = self.paused_for.max(self.longest_recent_pause * decay);
        if self.was_paused() {
            for attempt in self.requests.values_mut().flat_map(|request| &mut request.attempts) {
                attempt.overdue_after += gap;
            }
        }
    }

    /// Returns whether the process did not run just before the current cycle.
    pub(crate) fn was_paused(&self) -> bool {
        self.paused_for > 0.0
    }
}
