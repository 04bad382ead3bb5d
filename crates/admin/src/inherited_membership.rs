//! The engines that an earlier process of this gateway knew to be draining or removed, as reported by the name service.
//! Until the service has answered this process, these engines get no new work, even if the process's own configuration or
//! cached list contains them. Rule: **a drain or removal that one process has learned of applies to its successor**, also
//! while the name service does not answer. The information only excludes engines: it adds none that only the earlier
//! process knew, and it does not change the state of engines that the earlier process did not know.

use serde::{Deserialize, Serialize};
use starlingplank_storage::framed::{decode, encode, FileFormat, FrameError};
use std::collections::{BTreeMap, BTreeSet};

/// A time in Unix milliseconds.
pub type UnixMilliseconds = f64;

/// Format of the file that stores the membership.
pub const FORMAT: FileFormat = FileFormat { magic: *b"SPKHEARD", version: 1 };
/// Maximum size of the file in bytes, which is enough for 10,000 engines with ids of 100 bytes.
pub const MAX_FILE_BYTES: u64 = 1 << 20;
/// Time after the name service's last answer for which the exclusions apply, in milliseconds. It covers outages of the service,
/// which last up to 23 s. It is limited because an engine that is added again during an outage gets no work.
pub const BINDING_DURATION: UnixMilliseconds = 60_000.0;
/// Maximum number of removed endpoints that are stored. If it is exceeded, those that were removed first are discarded.
pub const MAX_REMOVED: usize = 5_000;

/// Endpoints that were in an earlier endpoint list and have been removed from it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RemovedEndpoints {
    /// Sequence number of each endpoint's removal, by the endpoint's id.
    order: BTreeMap<String, u64>,
    next_number: u64,
}

impl RemovedEndpoints {
    /// Updates the removed endpoints after a new endpoint list has replaced another. Both lists are given by their ids.
    pub fn update<'a>(&mut self, before: impl Iterator<Item = &'a str>, now: &BTreeSet<&str>) {
        for id in before.filter(|id| !now.contains(id)) {
            self.order.insert(id.to_owned(), self.next_number);
            self.next_number += 1;
        }
        self.order.retain(|id, _| !now.contains(id.as_str()));
        self.discard_earliest();
    }

    fn discard_earliest(&mut self) {
        if self.order.len() <= MAX_REMOVED {
            return;
        }
        let mut numbers: Vec<u64> = self.order.values().copied().collect();
        numbers.sort_unstable();
        let first_kept = numbers[numbers.len() - MAX_REMOVED];
        self.order.retain(|_, number| *number >= first_kept);
    }

    /// Returns the ids of the removed endpoints.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.order.keys().map(String::as_str)
    }
}

/// The engines that one process knows to be draining or removed. The order of the fields is part of the stored format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InheritedMembership {
    /// Time of the name service's last answer.
    at: UnixMilliseconds,
    /// Ids of the engines that are draining or were removed.
    excluded: BTreeSet<String>,
}

impl InheritedMembership {
    /// Creates the record of the engines that were draining or removed when the name service answered at `at`.
    pub fn new(at: UnixMilliseconds, excluded: impl IntoIterator<Item = String>) -> Self {
        Self { at, excluded: excluded.into_iter().collect() }
    }

    /// Returns the record as a starting process takes it over from a running one. The wall clock may have been stepped between
    /// the two processes, so the exclusions apply for their full duration from `now`.
    #[must_use]
    pub fn taken_over(self, now: UnixMilliseconds) -> Self {
        Self { at: now, ..self }
    }

    /// Returns the time at which the exclusions end if the name service does not answer before.
    pub fn until(&self) -> UnixMilliseconds {
        self.at + BINDING_DURATION
    }

    /// Returns whether an engine is excluded from new work.
    pub fn excludes(&self, id: &str, now: UnixMilliseconds) -> bool {
        now < self.until() && self.excluded.contains(id)
    }

    /// Encodes the record as the contents of the file.
    ///
    /// # Errors
    /// Returns an error if the file would exceed [`MAX_FILE_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        encode(&FORMAT, self, MAX_FILE_BYTES as usize)
    }

    /// Decodes the contents of the file. Does not panic on arbitrary bytes.
    ///
    /// # Errors
    /// Returns the offset and the reason if the bytes are not a valid file.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let membership: Self = decode(&FORMAT, bytes)?;
        // With an infinite time the exclusions would never end.
        if !membership.at.is_finite() {
            return Err(FrameError::Records("the time is not a finite number".into()));
        }
        Ok(membership)
    }
}

#[cfg(test)]
mod tests;
