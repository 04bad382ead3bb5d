//! The clock of a gateway: Unix time that never jumps.

use crate::interface::Milliseconds;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time that is read from the system's clock once, at the start, and then advanced by the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Milliseconds,
    started: Instant,
}

impl Clock {
    /// Returns a clock that is set from the system's clock now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: unix.as_secs_f64() * 1000.0, started: Instant::now() }
    }

    /// Returns the current time in Unix milliseconds.
    pub fn now(&self) -> Milliseconds {
        self.started_at + self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Converts an instant to Unix milliseconds; an instant before the clock's start is converted to the start.
    pub fn at(&self, instant: tokio::time::Instant) -> Milliseconds {
        let elapsed = instant.into_std().saturating_duration_since(self.started);
        self.started_at + elapsed.as_secs_f64() * 1000.0
    }

    /// Converts a time in Unix milliseconds to an instant; a time before the clock's start is converted to the start.
    pub fn instant(&self, time: Milliseconds) -> Instant {
        self.started + Duration::from_secs_f64(((time - self.started_at) / 1000.0).max(0.0))
    }
}
