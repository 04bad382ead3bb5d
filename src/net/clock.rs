//! The clock of a gateway: Unix time that is never stepped.

use crate::interface::Milliseconds;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time as the system's clock had it at the start, advanced by the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Milliseconds,
    started: Instant,
}

impl Clock {
    /// A clock that is set from the system's clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: unix.as_secs_f64() * 1000.0, started: Instant::now() }
    }

    /// The current time in Unix milliseconds.
    pub fn now(&self) -> Milliseconds {
        self.started_at + self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// The time of an instant, which is not before the start, in Unix milliseconds.
    pub fn at(&self, instant: tokio::time::Instant) -> Milliseconds {
        let elapsed = instant.into_std().saturating_duration_since(self.started);
        self.started_at + elapsed.as_secs_f64() * 1000.0
    }

    /// The instant of a time in Unix milliseconds; the start for times before it.
    pub fn instant(&self, time: Milliseconds) -> Instant {
        self.started + Duration::from_secs_f64(((time - self.started_at) / 1000.0).max(0.0))
    }
}
