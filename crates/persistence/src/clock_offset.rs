//! Conversion of times between this process's clock and the boot clock, which stored files use.

use crate::idempotency_key::{KeySend, KeySends, LogMark, TrustedLog};
use crate::idempotency_log::Mark;
use starlingplank_decision::interface::Milliseconds;

/// Difference between the boot clock and this process's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClockOffset {
    /// Time of the boot clock minus time of this process's clock.
    pub by: Milliseconds,
    /// Identifier of the current boot.
    pub boot_id: [u8; 16],
}

impl ClockOffset {
    /// Converts a send to the boot clock for storage.
    pub fn stored_send(&self, send: KeySend) -> KeySend {
        KeySend { at: self.stored_time(send.at), ..send }
    }

    /// Converts the sends of a key to the boot clock for storage.
    pub fn stored_sends(&self, sends: KeySends) -> KeySends {
        KeySends { first: self.stored_time(sends.first), last: self.stored_time(sends.last), ..sends }
    }

    /// Converts a mark to the boot clock for storage.
    pub fn stored_mark(&self, mark: LogMark) -> Mark {
        let blocked_until = mark.blocked_until.map(|until| until + self.by);
        Mark { at: self.stored_time(mark.at), blocked_until, boot_id: self.boot_id }
    }

    /// Converts the stored sends of a key to this process's clock.
    pub fn restored_sends(&self, sends: KeySends) -> KeySends {
        KeySends { first: sends.first - self.by, last: sends.last - self.by, ..sends }
    }

    /// Converts the contents of a stored log to this process's clock.
    pub fn restored_log(&self, log: TrustedLog) -> TrustedLog {
        let sends = log.sends.into_iter().map(|(key, sends)| (key, self.restored_sends(sends))).collect();
        TrustedLog { sends, blocked_until: log.blocked_until.map(|until| until - self.by) }
    }

    fn stored_time(&self, at: Milliseconds) -> Milliseconds {
        (at + self.by).max(0.0)
    }
}
