//! What an earlier process of this gateway learned from the list service. The engines that drain or were removed go in; for
//! an engine that this process's own start names, whether it gets no new work until the service has answered here comes
//! out. Rule: **a drain or removal that one process has learned of binds its successor**, also while the service does not
//! answer. It works in one direction: engines that only the earlier process knew are not used because of it, and an
//! engine that it never heard of is as this process's own start says.

use serde::{Deserialize, Serialize};
use starlingplank_storage::framed::{decode, encode, FileFormat, FrameError};
use std::collections::{BTreeMap, BTreeSet};

/// Unix milliseconds.
pub type UnixMilliseconds = f64;

/// The file format.
pub const FORMAT: FileFormat = FileFormat { magic: *b"SPKHEARD", version: 1 };
/// Bound on the file's size in bytes: 10,000 engines with ids of 100 bytes.
pub const MAX_FILE_BYTES: u64 = 1 << 20;
/// How long it binds after the service's last answer, in milliseconds. Services are silent for up to 23 s; an id that comes
/// back meanwhile gets no work, which must end.
pub const BINDING_DURATION: UnixMilliseconds = 60_000.0;
/// How many removed endpoints are remembered; the earliest are forgotten first.
pub const MAX_REMOVED: usize = 5_000;

/// Endpoints that were in a list and were removed from it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RemovedEndpoints {
    /// By id, in the order of their removal.
    order: BTreeMap<String, u64>,
    next: u64,
}

impl RemovedEndpoints {
    /// A list has replaced another; each is given by its ids.
    pub fn update<'a>(&mut self, before: impl Iterator<Item = &'a str>, now: &BTreeSet<&str>) {
        for id in before.filter(|id| !now.contains(id)) {
            self.order.insert(id.to_owned(), self.next);
            self.next += 1;
        }
        self.order.retain(|id, _| !now.contains(id.as_str()));
        self.forget_earliest();
    }

    fn forget_earliest(&mut self) {
        if self.order.len() <= MAX_REMOVED {
            return;
        }
        let mut numbers: Vec<u64> = self.order.values().copied().collect();
        numbers.sort_unstable();
        let first_kept = numbers[numbers.len() - MAX_REMOVED];
        self.order.retain(|_, number| *number >= first_kept);
    }

    /// Ids of the removed endpoints.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.order.keys().map(String::as_str)
    }
}

/// What one process has learned from the list service. The order of the fields is the stored format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InheritedMembership {
    /// When the service last answered.
    at: UnixMilliseconds,
    /// Ids of the engines that drain or were removed.
    excluded: BTreeSet<String>,
}

impl InheritedMembership {
    /// The engines that drain or were removed, as the service answered at that time.
    pub fn new(at: UnixMilliseconds, excluded: impl IntoIterator<Item = String>) -> Self {
        Self { at, excluded: excluded.into_iter().collect() }
    }

    /// As a starting process takes it over from a running one. Their clocks may differ by any step of the wall clock, so that
    /// it binds from now.
    #[must_use]
    pub fn taken_over(self, now: UnixMilliseconds) -> Self {
        Self { at: now, ..self }
    }

    /// Until when it binds, unless the service answers before.
    pub fn until(&self) -> UnixMilliseconds {
        self.at + BINDING_DURATION
    }

    /// Whether an engine gets no new work.
    pub fn excludes(&self, id: &str, now: UnixMilliseconds) -> bool {
        now < self.until() && self.excluded.contains(id)
    }

    /// The file's bytes.
    ///
    /// # Errors
    /// The file would exceed [`MAX_FILE_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        encode(&FORMAT, self, MAX_FILE_BYTES as usize)
    }

    /// Decodes the file. Never panics, whatever the bytes are.
    ///
    /// # Errors
    /// Tells where and why the bytes are no such file.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let membership: Self = decode(&FORMAT, bytes)?;
        // A time that is not finite would bind for ever.
        if !membership.at.is_finite() {
            return Err(FrameError::Records("the time is none".into()));
        }
        Ok(membership)
    }
}

#[cfg(test)]
mod tests;
