//! Pauses of the process: it was stopped, or got no time from the system. What is read right after a pause may have arrived
//! at any time in it, and counts as arrived at its beginning: a client's deadline counts from when the request was sent.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The loop runs at least this often when nothing happens (the decision module's period is 100 ms): a longer gap is a pause.
const MAX_GAP: Duration = Duration::from_millis(140);
/// What arrived in a pause is read within this time after its end.
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
    /// The process has run until now.
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

    /// The earliest time at which something that is read now may have arrived.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        self.recent(now).map_or(now, |pause| pause.from)
    }

    /// Whether something that arrived in a pause may still be unread.
    pub fn has_backlog(&self, now: Instant) -> bool {
        self.recent(now).is_some()
    }

    /// The pause that has just ended.
    fn recent(&self, now: Instant) -> Option<Pause> {
        self.record_alive(now);
        let is_recent = |pause: &Pause| now.saturating_duration_since(pause.until) <= BACKLOG_DURATION;
        self.last_pause.get().filter(is_recent)
    }
}

#[cfg(test)]
mod tests;
