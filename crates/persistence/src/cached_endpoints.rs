//! The last endpoint list that the name service confirmed, cached for a process that starts while the service does not
//! answer.
//!
//! The cached list has two uses. If the configuration names no engines, the process starts with the cached list: engines of
//! an old list may have been removed, and engines that may have restarted unnoticed are treated as in slow start. If the
//! configuration names engines, the drains and removals that the previous process knew of still apply.
//!
//! The file consists of a [header](starlingplank_storage::framed) of 20 bytes with the magic bytes `SPKLIST\n` and version
//! 1, followed by the records in postcard's encoding, which depends on the order of the fields.

use serde::{Deserialize, Serialize};
use starlingplank_decision::interface::Milliseconds;
use starlingplank_storage::disk::{self, Disk};
use starlingplank_storage::framed::{decode, encode, FileFormat, FrameError};
use std::io;
use thiserror::Error;

/// File format of the cached endpoint list.
pub const FORMAT: FileFormat = FileFormat { magic: *b"SPKLIST\n", version: 1 };
/// Name of the file that contains the cached endpoint list.
pub const FILE: &str = "list.spk";
/// Maximum size of the file in bytes, which is enough for about 10,000 endpoints.
pub const MAX_BYTES: usize = 2 << 20;
/// Maximum time by which the confirmation of a list may lie in the future, in milliseconds. A restart changes the clock only
/// slightly; if the clock was set back by more, the age of the list is unknown.
const CLOCK_TOLERANCE: Milliseconds = 1_000.0;

/// An endpoint as it was in the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CachedEndpoint {
    /// Id of the engine.
    pub id: String,
    /// Address and port of the engine.
    pub address: String,
    /// Zone of the engine; may be empty.
    pub zone: String,
    /// Machine type of the engine; may be empty.
    pub machine_type: String,
    /// Cell of the engine.
    pub cell: u64,
    /// Whether the engine accepted new work.
    pub live: bool,
    /// Time at which the engine started, in Unix milliseconds; 0 if the list did not contain it.
    pub started: Milliseconds,
}

/// An endpoint list and the time at which the name service last confirmed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CachedEndpoints {
    /// Time of the last confirmation in Unix milliseconds.
    pub confirmed_at: Milliseconds,
    /// All endpoints of the list.
    pub endpoints: Vec<CachedEndpoint>,
    /// Ids of endpoints that were removed from the list.
    pub removed: Vec<String>,
}

/// Error of reading or writing the cached endpoint list.
#[derive(Debug, Error)]
pub enum CacheError {
    /// A file operation failed, or the file is too large.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The bytes are not a valid cached list, or the list is too large.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

impl CachedEndpoints {
    /// Encodes the list as the contents of the file.
    ///
    /// # Errors
    /// Returns an error if the file would exceed [`MAX_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        encode(&FORMAT, self, MAX_BYTES)
    }

    /// Decodes the contents of the file. Does not panic on arbitrary bytes.
    ///
    /// # Errors
    /// Returns the offset and the reason if the bytes are not a valid cached list.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let list: Self = decode(&FORMAT, bytes)?;
        let times_are_finite = list.endpoints.iter().all(|endpoint| endpoint.started.is_finite());
        if !list.confirmed_at.is_finite() || !times_are_finite {
            return Err(FrameError::Records("a time is not a finite number".into()));
        }
        Ok(list)
    }

    /// Returns the list as it applies at `now`, or `None` if it is older than `max_snapshot_age` or lies in the future. If it
    /// is older than `min_restart_time`, engines may have restarted since; the start time of all engines is then set to `now`,
    /// so that they are treated as in slow start.
    pub fn as_of(
        self,
        now: Milliseconds,
        min_restart_time: Milliseconds,
        max_snapshot_age: Milliseconds,
    ) -> Option<Self> {
        let age = now - self.confirmed_at;
        if !(-CLOCK_TOLERANCE..=max_snapshot_age).contains(&age) {
            return None;
        }
        let mut list = self;
        if age > min_restart_time {
            for endpoint in &mut list.endpoints {
                endpoint.started = now;
            }
        }
        Some(list)
    }
}

/// Writes the file atomically.
///
/// # Errors
/// Returns an error if the file could not be written durably. It then holds either its old contents or all of the new.
pub fn save(disk: &mut dyn Disk, list: &CachedEndpoints) -> Result<(), CacheError> {
    let bytes = list.encode()?;
    Ok(disk::replace(disk, FILE, &bytes)?)
}

/// Reads the file. Returns `None` if there is no file.
///
/// # Errors
/// Returns an error if the file cannot be read or is not a valid cached list.
pub fn load(disk: &dyn Disk) -> Result<Option<CachedEndpoints>, CacheError> {
    let bytes = disk.read(FILE, MAX_BYTES as u64)?;
    Ok(bytes.map(|bytes| CachedEndpoints::decode(&bytes)).transpose()?)
}

#[cfg(test)]
mod tests;
