//! The stored form of idempotency keys, and the sends of each key.

use sha2::{Digest, Sha256};
use starlingplank_decision::interface::Milliseconds;

/// Maximum time from the start of a send until it arrives at its engine, in milliseconds: one half for writing the record,
/// one half for the transmission. All windows are extended by this time, as engines start a window when a send arrives.
pub const MAX_ARRIVAL_DELAY: Milliseconds = 500.0;

/// The first 128 bits of a key's SHA-256 hash, so that all records have the same length for keys of any length.
pub type Key = [u8; 16];

/// Converts a client's idempotency key to its stored form.
pub fn key(text: &str) -> Key {
    let mut key = [0; 16];
    key.copy_from_slice(&Sha256::digest(text.as_bytes())[..16]);
    key
}

/// One send of a request under an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KeySend {
    /// Time of the send.
    pub at: Milliseconds,
    /// Time for which an engine drops repeats after the send has arrived.
    pub window: Milliseconds,
}

/// Sends of a key whose windows overlap. Any of them may be the first that an engine received.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KeySends {
    /// Time of the first send.
    pub first: Milliseconds,
    /// Time of the last send.
    pub last: Milliseconds,
    /// Time for which engines drop repeats.
    pub window: Milliseconds,
}

impl KeySends {
    /// Creates the record of a single send.
    pub fn single(send: KeySend) -> Self {
        Self { first: send.at, last: send.at, window: send.window }
    }

    /// Returns the time at which the window ends on an engine that received only the last of the sends.
    pub fn end(&self) -> Milliseconds {
        self.last + self.window + MAX_ARRIVAL_DELAY
    }

    /// Adds a send. A send after the end of the window replaces the earlier sends, as engines have forgotten them.
    #[must_use]
    pub fn with(self, send: KeySend) -> Self {
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
    /// Time before which the process that wrote the log sent no keyed request. `None` if that process was not blocked.
    pub blocked_until: Option<Milliseconds>,
}

/// A mark, which states that the log contained all sends at a given time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LogMark {
    /// Time at which the log was complete.
    pub at: Milliseconds,
    /// Time before which no keyed request may be sent. `None` if keyed requests are not blocked.
    pub blocked_until: Option<Milliseconds>,
}
