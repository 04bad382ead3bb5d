//! Idempotency keys as the gateway stores them, and the sends that were made under each.

use sha2::{Digest, Sha256};
use starlingplank_decision::interface::Milliseconds;

/// Longest time from the record of a send until the send has arrived at its engine: half for the record, half for the
/// transmission. All windows are extended by it, as engines count theirs from the arrival.
pub const MAX_ARRIVAL_DELAY: Milliseconds = 500.0;

/// 128 bits of a key's SHA-256, so that all records have the same length whatever clients send.
pub type Key = [u8; 16];

/// The stored form of a client's idempotency key.
pub fn key(text: &str) -> Key {
    let mut key = [0; 16];
    key.copy_from_slice(&Sha256::digest(text.as_bytes())[..16]);
    key
}

/// One send of a key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KeySend {
    /// When it was sent.
    pub at: Milliseconds,
    /// How long engines drop repeats once it has arrived.
    pub window: Milliseconds,
}

/// Sends of a key whose windows overlap: any of them may be the first that an engine received.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KeySends {
    /// Time of the first send.
    pub first: Milliseconds,
    /// Time of the last send.
    pub last: Milliseconds,
    /// How long engines drop repeats.
    pub window: Milliseconds,
}

impl KeySends {
    /// A single send.
    pub fn single(send: KeySend) -> Self {
        Self { first: send.at, last: send.at, window: send.window }
    }

    /// When the window ends on an engine that received only the last of them.
    pub fn end(&self) -> Milliseconds {
        self.last + self.window + MAX_ARRIVAL_DELAY
    }

    /// Adds a send. One after the end starts anew, as engines have forgotten the earlier ones.
    #[must_use]
    pub fn and(self, send: KeySend) -> Self {
        if send.at >= self.end() {
            return Self::single(send);
        }
        let window = self.window.max(send.window);
        Self { first: self.first.min(send.at), last: self.last.max(send.at), window }
    }
}

/// The sends of an idempotency log that is known to be complete.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TrustedLog {
    /// Sends by key.
    pub sends: Vec<(Key, KeySends)>,
    /// Until then the process that wrote the log sent no keyed request. `None` if it was not blocked.
    pub blocked_until: Option<Milliseconds>,
}

/// A mark: states that the log was complete at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LogMark {
    /// When the log was complete.
    pub at: Milliseconds,
    /// Until then no keyed request may be sent. `None` if nothing blocks them.
    pub blocked_until: Option<Milliseconds>,
}
