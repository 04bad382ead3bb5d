//! The machine's boot clock, which is monotonic, is never stepped, and is comparable between processes of one boot.

use rustix::time::{clock_gettime, ClockId};

/// Milliseconds as a floating-point number.
type Milliseconds = f64;

/// File from which the identifier of the current boot is read.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// A time on the boot clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BootTime {
    /// Milliseconds since the machine booted, suspended time included.
    pub now: Milliseconds,
    /// Identifier of the boot. `None` if it cannot be read; times of different processes then cannot be compared.
    pub boot_id: Option<[u8; 16]>,
}

impl BootTime {
    /// Reads the boot clock and the identifier of the boot.
    pub fn read() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let now = time.tv_sec as f64 * 1000.0 + time.tv_nsec as f64 / 1e6;
        let text = std::fs::read_to_string(BOOT_ID_FILE).ok();
        let boot_id = text.and_then(|text| u128::from_str_radix(&text.trim().replace('-', ""), 16).ok());
        Self { now, boot_id: boot_id.map(u128::to_be_bytes) }
    }
}
