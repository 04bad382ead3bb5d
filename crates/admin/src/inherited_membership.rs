//! What an earlier process of this gateway heard of the list service. In come the engines that it was told drain or have
//! gone; out comes, for an engine that this process's own start names, whether it gets nothing new until the service has
//! been heard here. Rule: **a drain or a stop that one process heard binds its successor**, also while the service is
//! silent. It works in one direction: what only the earlier process knew is not used for it, and an engine of which it
//! never heard is as this process's own start says.

use serde::{Deserialize, Serialize};
use starlingplank_storage::framed::{decode, encode, FileFormat, FrameError};
use std::collections::{BTreeMap, BTreeSet};

/// Unix milliseconds.
pub type UnixMilliseconds = f64;

/// What the file begins with.
pub const FORM: FileFormat = FileFormat { magic: *b"SPKHEARD", version: 1 };
/// Bytes of the file at most: 10,000 engines with ids of 100 bytes.
pub const BYTES: u64 = 1 << 20;
/// It binds so long after the service last spoke, in ms: services are silent for up to 23 s, and an id that comes back
/// meanwhile gets nothing, which must end.
pub const BINDS: UnixMilliseconds = 60_000.0;
/// Engines that have gone, remembered at most; the earliest are forgotten first.
pub const GONE: usize = 5_000;

/// Engines that were in a list and have gone from it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RemovedEndpoints {
    /// By id, in which order they went.
    order: BTreeMap<String, u64>,
    next: u64,
}

impl RemovedEndpoints {
    /// One list gave way to the next, by their ids.
    pub fn follow<'a>(&mut self, before: impl Iterator<Item = &'a str>, now: &BTreeSet<&str>) {
        for id in before.filter(|id| !now.contains(id)) {
            self.order.insert(id.to_owned(), self.next);
            self.next += 1;
        }
        self.order.retain(|id, _| !now.contains(id.as_str()));
        if self.order.len() > GONE {
            let mut all: Vec<u64> = self.order.values().copied().collect();
            all.sort_unstable();
            let first = all[all.len() - GONE];
            self.order.retain(|_, n| *n >= first);
        }
    }

    /// Which have gone.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.order.keys().map(String::as_str)
    }
}

/// What one process heard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InheritedMembership {
    at: UnixMilliseconds,
    out: BTreeSet<String>,
}

impl InheritedMembership {
    /// The engines that drain or have gone, by the service's word at that time.
    pub fn new(at: UnixMilliseconds, out: impl IntoIterator<Item = String>) -> Self {
        Self { at, out: out.into_iter().collect() }
    }

    /// As a process that starts now takes it over from one that still runs. Their clocks may differ by any step of the wall
    /// clock, so that it binds from now.
    pub fn taken_over(self, now: UnixMilliseconds) -> Self {
        Self { at: now, ..self }
    }

    /// Until when it binds, unless the service is heard before.
    pub fn until(&self) -> UnixMilliseconds {
        self.at + BINDS
    }

    /// Whether that engine gets nothing new.
    pub fn keeps_out(&self, id: &str, now: UnixMilliseconds) -> bool {
        now < self.until() && self.out.contains(id)
    }

    /// The bytes of the file.
    ///
    /// # Errors
    /// They would be too many.
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        encode(&FORM, self, BYTES as usize)
    }

    /// Reads the file; never panics, whatever the bytes are.
    ///
    /// # Errors
    /// Says where and why they are none.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let heard: Self = decode(&FORM, bytes)?;
        // A time that is none would bind for ever.
        if heard.at.is_finite() {
            Ok(heard)
        } else {
            Err(FrameError::Records("the time is none".into()))
        }
    }
}

#[cfg(test)]
mod tests;
