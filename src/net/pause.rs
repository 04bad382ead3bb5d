//! Pauses of the process: it was stopped, or its machine gave it no time. What is read right after one may have arrived at
//! any moment of it, and is taken to be as old as it can be: its client counts from when it was sent.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The process runs at least this often when nothing happens (the decision module's period is 100 ms): a longer gap is a pause.
const LONGEST_GAP: Duration = Duration::from_millis(140);
/// What arrived in a pause is read within this after its end.
const BACKLOG: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
struct Pause {
    from: Instant,
    until: Instant,
}

/// Notices pauses from when the process is known to have run.
#[derive(Debug)]
pub struct PauseDetector {
    last_alive: Cell<Instant>,
    last_pause: Cell<Option<Pause>>,
}

impl PauseDetector {
    /// The process runs since now.
    pub fn new(now: Instant) -> Self {
        Self { last_alive: Cell::new(now), last_pause: Cell::new(None) }
    }

    /// The process runs now.
    pub fn alive(&self, now: Instant) {
        let from = self.last_alive.replace(now);
        if now.saturating_duration_since(from) > LONGEST_GAP {
            self.last_pause.set(Some(Pause { from, until: now }));
        }
    }

    /// The earliest time at which something may have arrived that is read now.
    pub fn arrived(&self, now: Instant) -> Instant {
        self.recent(now).map_or(now, |pause| pause.from)
    }

    /// Whether what arrived in a pause may still lie unread.
    pub fn has_backlog(&self, now: Instant) -> bool {
        self.recent(now).is_some()
    }

    /// The pause that has just ended.
    fn recent(&self, now: Instant) -> Option<Pause> {
        self.alive(now);
        let is_recent = |pause: &Pause| now.saturating_duration_since(pause.until) <= BACKLOG;
        self.last_pause.get().filter(is_recent)
    }
}

#[cfg(test)]
mod tests;
