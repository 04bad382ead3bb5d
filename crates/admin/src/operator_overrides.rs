//! Engines that operators have excluded. Calls and lists go in; for an engine that a list names, whether it is excluded
//! (it then counts as draining) and when it started (an engine that was included again counts as just started) come out.

use serde::{Deserialize, Serialize};
use starlingplank_storage::framed::{decode, encode, FileFormat, FrameError};
use std::collections::BTreeMap;
use thiserror::Error;

/// Unix milliseconds.
pub type UnixMilliseconds = f64;

/// The file format.
pub const FORMAT: FileFormat = FileFormat { magic: *b"SPKHAND\n", version: 1 };
/// How many engines can be excluded at a time; a list is far shorter.
pub const MAX_EXCLUDED: usize = 10_000;
/// Bound on the length of an engine's id in bytes.
pub const MAX_ID_BYTES: usize = 256;
/// Bound on the file's size in bytes.
pub const MAX_FILE_BYTES: u64 = 4 << 20;

/// Why a call is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OverrideError {
    /// Neither the list nor an earlier call names the engine.
    #[error("no engine of that id is in the list or out by hand")]
    Unknown,
    /// No more engines can be excluded.
    #[error("{MAX_EXCLUDED} engines are out by hand already")]
    TooMany,
}

/// An exclusion that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct EndedExclusion {
    excluded_at: UnixMilliseconds,
    included_at: UnixMilliseconds,
}

/// Which engines are excluded, and which were included again recently. The order of the fields is the stored format.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorOverrides {
    /// When each excluded engine was excluded.
    excluded: BTreeMap<String, UnixMilliseconds>,
    included: BTreeMap<String, EndedExclusion>,
}

impl OperatorOverrides {
    /// Excludes an engine. Returns whether that changed something.
    ///
    /// # Errors
    /// The engine is unknown, or too many are excluded.
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

    /// Includes an engine again, however often it was excluded. Returns whether that changed something.
    ///
    /// # Errors
    /// The engine is unknown.
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

    /// The same, with no time later than this. Another process of the gateway may have recorded the times, by a clock that
    /// differs by a step of the wall clock.
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

    /// Whether an engine is excluded.
    pub fn is_excluded(&self, id: &str) -> bool {
        self.excluded.contains_key(id)
    }

    /// Ids of the excluded engines.
    pub fn excluded(&self) -> impl Iterator<Item = &str> {
        self.excluded.keys().map(String::as_str)
    }

    /// When an engine counts as started, given the start that the list tells. If that lies after the exclusion it holds. For
    /// any other engine that was excluded it is unknown what was done to it meanwhile: it starts when it is included.
    pub fn start_time(&self, id: &str, reported: Option<UnixMilliseconds>) -> Option<UnixMilliseconds> {
        match self.included.get(id) {
            Some(ended) => reported.filter(|at| *at > ended.excluded_at).or(Some(ended.included_at)),
            None => reported,
        }
    }

    /// Forgets engines that were included longer ago than a slow start takes.
    pub fn remove_expired_inclusions(
        &mut self,
        now: UnixMilliseconds,
        slow_start_duration: UnixMilliseconds,
    ) {
        self.included.retain(|_, ended| now - ended.included_at < slow_start_duration);
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
