//! The simulated machine on which the processes run: its boot clock, and the downtime between two processes.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use starlingplank_persistence::clock_offset::ClockOffset;

/// Maximum downtime between two processes if a restart takes long, in ms.
const MAX_LONG_DOWNTIME: f64 = 40_000.0;

/// State of the boot clock at the start of the running process, in ms, and the identifier of the boot.
pub(crate) struct Machine {
    clock: f64,
    boot_id: [u8; 16],
}

impl Machine {
    pub(crate) fn new() -> Self {
        Self { clock: 5_000.0, boot_id: [1; 16] }
    }

    /// Returns the offset between the boot clock and that of a process that starts at `now`.
    pub(crate) fn clock_offset(&self, now: f64) -> ClockOffset {
        ClockOffset { by: self.clock - now, boot_id: self.boot_id }
    }

    /// Advances the boot clock by `elapsed` ms.
    pub(crate) fn advance(&mut self, elapsed: f64) {
        self.clock += elapsed;
    }

    /// Reboots the machine in a random fraction of the calls. Returns whether the machine was rebooted.
    pub(crate) fn may_restart(&mut self, rng: &mut Pcg64Mcg) -> bool {
        let restarts = rng.random_bool(0.1);
        if restarts {
            *self = Self { clock: rng.random_range(0.0..20_000.0), boot_id: [rng.random(); 16] };
        }
        restarts
    }
}

/// Draws the downtime between two processes, in ms, which is usually below `max_short`.
pub(crate) fn downtime(rng: &mut Pcg64Mcg, max_short: f64) -> f64 {
    if rng.random_bool(0.7) {
        rng.random_range(5.0..max_short)
    } else {
        rng.random_range(0.0..MAX_LONG_DOWNTIME)
    }
}
