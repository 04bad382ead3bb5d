//! Engines that operators have excluded from new work. An excluded engine is treated as draining. An engine that was included
//! again is treated as just started, unless the endpoint list shows a later start.

use serde::{Deserialize, Serialize};
use starlingplank_storage::framed::{decode, encode, FileFormat, FrameError};
use std::collections::BTreeMap;
use thiserror::Error;

/// A time in Unix milliseconds.
pub type UnixMilliseconds = f64;

/// Format of the file that stores the overrides.
pub const FORMAT: FileFormat = FileFormat { magic: *b"SPKHAND\n", version: 1 };
/// Maximum number of engines that are excluded at the same time. An endpoint list is far shorter.
pub const MAX_EXCLUDED: usize = 10_000;
/// Maximum length of an engine's id in bytes.
pub const MAX_ID_BYTES: usize = 256;
/// Maximum size of the file in bytes.
pub const MAX_FILE_BYTES: u64 = 4 << 20;

/// Reason for which a call is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OverrideError {
    /// The engine is neither in the endpoint list nor excluded, or its id is too long.
    #[error("no engine of that id is in the list or out by hand")]
    Unknown,
    /// The maximum number of engines is excluded already.
    #[error("{MAX_EXCLUDED} engines are out by hand already")]
    TooMany,
}

/// An exclusion that has ended, with the times of its start and end.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct EndedExclusion {
    excluded_at: UnixMilliseconds,
    included_at: UnixMilliseconds,
}

/// The engines that are excluded, and those that were recently included again. The order of the fields is part of the stored
/// format.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorOverrides {
    /// Excluded engines by id, with the time of their exclusion.
    excluded: BTreeMap<String, UnixMilliseconds>,
    /// Engines that were recently included again, by id.
    included: BTreeMap<String, EndedExclusion>,
}

impl OperatorOverrides {
    /// Excludes an engine. `is_member` states whether the endpoint list contains the engine. Returns `false` if the engine was
    /// already excluded.
    ///
    /// # Errors
    /// Returns an error if the engine is unknown or too many engines are excluded.
    pub fn exclude(
        &mut self,
        id: &str,
        is_member: bool,
        now: UnixMilliseconds,
    ) -> Result<bool, OverrideError> {
        if self.is_excluded(id) {
            return Ok(false);
        }
        if !is_member || id.len() > MAX_ID_BYTES {
            return Err(OverrideError::Unknown);
        }
        if self.excluded.len() >= MAX_EXCLUDED {
            return Err(OverrideError::TooMany);
        }
        self.included.remove(id);
        Ok(self.excluded.insert(id.to_owned(), now).is_none())
    }

    /// Includes an engine again; one call suffices even if the engine was excluded several times. Returns `false` if the engine
    /// was not excluded.
    ///
    /// # Errors
    /// Returns an error if the engine is unknown.
    pub fn include(
        &mut self,
        id: &str,
        is_member: bool,
        now: UnixMilliseconds,
    ) -> Result<bool, OverrideError> {
        if let Some(excluded_at) = self.excluded.remove(id) {
            self.included.insert(id.to_owned(), EndedExclusion { excluded_at, included_at: now });
            return Ok(true);
        }
        if !is_member {
            return Err(OverrideError::Unknown);
        }
        Ok(false)
    }

    /// Returns the overrides with all times limited to `now`. The times may have been recorded by another process of the gateway
    /// before the wall clock was set back.
    #[must_use]
    pub fn not_after(mut self, now: UnixMilliseconds) -> Self {
        for excluded_at in self.excluded.values_mut() {
            *excluded_at = excluded_at.min(now);
        }
        for ended in self.included.values_mut() {
            ended.excluded_at = ended.excluded_at.min(now);
            ended.included_at = ended.included_at.min(now);
        }
        self
    }

    /// Returns whether an engine is excluded.
    pub fn is_excluded(&self, id: &str) -> bool {
        self.excluded.contains_key(id)
    }

    /// Returns the ids of the excluded engines.
    pub fn excluded(&self) -> impl Iterator<Item = &str> {
        self.excluded.keys().map(String::as_str)
    }

    /// Returns the time at which an engine is assumed to have started; `reported` is the start time in the endpoint list. A start
    /// after the exclusion is used as it is. Otherwise an engine that was excluded is assumed to have started when it was included
    /// again, as it may have been changed in the meantime.
    pub fn start_time(&self, id: &str, reported: Option<UnixMilliseconds>) -> Option<UnixMilliseconds> {
        match self.included.get(id) {
            Some(ended) => reported.filter(|at| *at > ended.excluded_at).or(Some(ended.included_at)),
            None => reported,
        }
    }

    /// Discards the records of engines that were included again at least `slow_start_duration` ago, as their slow start has ended.
    pub fn remove_expired_inclusions(
        &mut self,
        now: UnixMilliseconds,
        slow_start_duration: UnixMilliseconds,
    ) {
        self.included.retain(|_, ended| now - ended.included_at < slow_start_duration);
    }

    /// Encodes the overrides as the contents of the file.
    ///
    /// # Errors
    /// Returns an error if the file would exceed [`MAX_FILE_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        encode(&FORMAT, self, MAX_FILE_BYTES as usize)
    }

    /// Decodes the contents of the file. Does not panic on arbitrary bytes.
    ///
    /// # Errors
    /// Returns the offset and the reason if the bytes are not a valid file, or an error if a limit on engines or ids is exceeded.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let overrides: Self = decode(&FORMAT, bytes)?;
        let mut ids = overrides.excluded.keys().chain(overrides.included.keys());
        if overrides.excluded.len() > MAX_EXCLUDED || ids.any(|id| id.len() > MAX_ID_BYTES) {
            let bytes = overrides.excluded.len();
            return Err(FrameError::TooLarge { bytes, max_bytes: MAX_EXCLUDED });
        }
        Ok(overrides)
    }
}

#[cfg(test)]
mod tests;
