//! The clock of a gateway.

use crate::interface::Milliseconds;
use std::time::{SystemTime, UNIX_EPOCH};

/// The system's Unix clock at the start, carried on by a clock that never jumps.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Milliseconds, std::time::Instant);

impl Clock {
    /// Set from the system's clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(unix.as_secs_f64() * 1000.0, std::time::Instant::now())
    }

    /// Unix milliseconds.
    pub fn now(&self) -> Milliseconds {
        self.0 + self.1.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant of a time.
    pub fn instant(&self, at: Milliseconds) -> std::time::Instant {
        self.1 + std::time::Duration::from_secs_f64(((at - self.0) / 1000.0).max(0.0))
    }
}
