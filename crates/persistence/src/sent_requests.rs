//! Requests that must not run twice and that may have run: what is known of them once their clients have left.
//!
//! A request of a class that does not allow repetition may come again under its name, after its client has left or in another process of
//! the gateway. It is remembered from its first transmission on, for [`RETENTION`], so that it is not sent again. It is forgotten at once
//! if it turns out that no attempt has run. The memory is bounded: at the limit the oldest request is forgotten if it was sent at least
//! [`MIN_RETENTION`] ago, and otherwise new requests are rejected.
//!
//! A crashed process forgets its requests unless the processes of its gateway share a folder.

pub use crate::idempotency_key::Key;
use sha2::{Digest, Sha256};
use starlingplank_decision::interface::Milliseconds;
use std::collections::{BTreeSet, HashMap};

/// Time for which a request is remembered after its last transmission, in milliseconds.
pub const RETENTION: Milliseconds = 600_000.0;
/// Minimum time for which a request is remembered, in milliseconds. Longer than the deadlines of requests and the retries of clients.
pub const MIN_RETENTION: Milliseconds = 30_000.0;
/// Text that precedes the hashed parts of an identity, so that it differs from all hashed idempotency keys.
const DOMAIN: &[u8] = b"starlingplank request identity";

/// Returns the identity of a request: a hash of the parts that distinguish it from others.
pub fn identity(parts: &[&[u8]]) -> Key {
    let mut hash = Sha256::new();
    for part in [DOMAIN].iter().chain(parts) {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let mut identity = Key::default();
    identity.copy_from_slice(&hash.finalize()[..size_of::<Key>()]);
    identity
}

/// Result of the check whether a request may be accepted that must not run twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repetition {
    /// No earlier request of this identity is known.
    None,
    /// An earlier request of this identity may have run.
    MayHaveRun,
    /// Nothing can be remembered of a further request.
    Full,
}

/// The requests that are remembered. Performs no I/O; the caller passes in the time.
#[derive(Debug)]
pub struct SentRequests {
    max_requests: usize,
    /// Times of the last transmissions.
    sent_at: HashMap<Key, Milliseconds>,
    /// Identities by the times of their last transmissions, so that expiry visits only expired ones.
    by_time: BTreeSet<(u64, Key)>,
}

impl SentRequests {
    /// Creates an empty memory of at most `max_requests` requests.
    pub fn new(max_requests: usize) -> Self {
        Self { max_requests, sent_at: HashMap::new(), by_time: BTreeSet::new() }
    }

    /// Returns whether a request of this identity may have been sent before.
    pub fn check(&mut self, identity: &Key, now: Milliseconds) -> Repetition {
        self.expire(now - RETENTION);
        if self.sent_at.contains_key(identity) {
            return Repetition::MayHaveRun;
        }
        if self.sent_at.len() >= self.max_requests {
            self.expire_one(now - MIN_RETENTION);
        }
        if self.sent_at.len() >= self.max_requests {
            return Repetition::Full;
        }
        Repetition::None
    }

    /// Records that an attempt of the request is transmitted now. Returns whether it may be: not if nothing further can be remembered.
    pub fn record(&mut self, identity: Key, now: Milliseconds) -> bool {
        if !self.sent_at.contains_key(&identity) && self.sent_at.len() >= self.max_requests {
            self.expire_one(now - MIN_RETENTION);
            if self.sent_at.len() >= self.max_requests {
                return false;
            }
        }
        self.insert(identity, now);
        true
    }

    /// Adds a request that another process of this gateway has sent.
    pub fn merge_peer(&mut self, identity: Key, sent_at: Milliseconds) {
        let known = self.sent_at.get(&identity).copied().unwrap_or(f64::NEG_INFINITY);
        if sent_at > known && self.sent_at.len() < self.max_requests {
            self.insert(identity, sent_at);
        }
    }

    /// Forgets a request of which no attempt has run.
    pub fn forget(&mut self, identity: &Key) {
        if let Some(sent_at) = self.sent_at.remove(identity) {
            self.by_time.remove(&(order(sent_at), *identity));
        }
    }

    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.sent_at.len()
    }

    /// Returns whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.sent_at.is_empty()
    }

    fn insert(&mut self, identity: Key, sent_at: Milliseconds) {
        self.forget(&identity);
        self.sent_at.insert(identity, sent_at);
        self.by_time.insert((order(sent_at), identity));
    }

    fn expire(&mut self, until: Milliseconds) {
        while self.expire_one(until) {}
    }

    /// Forgets the oldest request if it was sent by this time.
    fn expire_one(&mut self, until: Milliseconds) -> bool {
        let Some(&(sent_at, identity)) = self.by_time.first() else { return false };
        let is_expired = sent_at <= order(until);
        if is_expired {
            self.by_time.pop_first();
            self.sent_at.remove(&identity);
        }
        is_expired
    }
}

/// Maps a time to an integer that has the same order. Negative times are treated as zero.
fn order(at: Milliseconds) -> u64 {
    at.max(0.0).to_bits()
}

#[cfg(test)]
mod tests;
