//! Detects pauses of the process, in which it was stopped or got no CPU time. Input that is read right after a pause may have
//! arrived at any time during the pause, and counts as having arrived at its beginning, because a client's deadline counts from
//! the time at which the client sent the request.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Longest interval between two runs of the event loop that does not count as a pause. Without input, the loop runs once in the
/// decision module's period of 100 ms.
const MAX_GAP: Duration = Duration::from_millis(140);
/// Time after a pause within which all input that arrived during the pause is read.
const BACKLOG_DURATION: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
struct Pause {
    from: Instant,
    until: Instant,
}

/// Detects pauses from the times at which the process is known to have run.
#[derive(Debug)]
pub struct PauseDetector {
    last_alive: Cell<Instant>,
    last_pause: Cell<Option<Pause>>,
}

impl PauseDetector {
    /// Returns a detector that assumes that the process has run until now.
    pub fn new(now: Instant) -> Self {
        Self { last_alive: Cell::new(now), last_pause: Cell::new(None) }
    }

    /// Records that the process runs now.
    pub fn record_alive(&self, now: Instant) {
        let from = self.last_alive.replace(now);
        if now.saturating_duration_since(from) > MAX_GAP {
            self.last_pause.set(Some(Pause { from, until: now }));
        }
    }

    /// Returns the earliest time at which input that is read now may have arrived.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        self.recent_pause(now).map_or(now, |pause| pause.from)
    }

    /// Returns whether input that arrived during a pause may still be unread.
    pub fn has_backlog(&self, now: Instant) -> bool {
        self.recent_pause(now).is_some()
    }

    /// Returns the last pause if its backlog may still be unread.
    fn recent_pause(&self, now: Instant) -> Option<Pause> {
        self.record_alive(now);
        let is_recent = |pause: &Pause| now.saturating_duration_since(pause.until) <= BACKLOG_DURATION;
        self.last_pause.get().filter(is_recent)
    }
}

#[cfg(test)]
mod tests;
