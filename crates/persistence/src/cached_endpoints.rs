//! The last endpoint list that the list service confirmed, cached for a process that starts while the service does not
//! answer.
//!
//! It has two uses. Where the configuration names no engine, it is the list to start with: engines of an old list may have
//! been removed, and those that may have restarted unseen may be in slow start. Where the configuration names some,
//! drains and removals that the previous process knew of still bind. The file: a
//! [header](starlingplank_storage::framed) of 20 bytes, `SPKLIST\n` and version 1, then the records in postcard's
//! encoding, whose order of fields must not change.

use serde::{Deserialize, Serialize};
use starlingplank_decision::interface::Milliseconds;
use starlingplank_storage::disk::{self, Disk};
use starlingplank_storage::framed::{decode, encode, FileFormat, FrameError};
use std::io;
use thiserror::Error;

/// The file format.
pub const FORMAT: FileFormat = FileFormat { magic: *b"SPKLIST\n", version: 1 };
/// Name of the file.
pub const FILE: &str = "list.spk";
/// Bound on the file's size in bytes: some 10,000 endpoints.
pub const MAX_BYTES: usize = 2 << 20;
/// How far in the future a list may lie: clocks differ by little over a restart, and one that was set back makes all ages
/// unknown.
const CLOCK_TOLERANCE: Milliseconds = 1_000.0;

/// An endpoint as the list named it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CachedEndpoint {
    /// The engine's id.
    pub id: String,
    /// Address and port.
    pub address: String,
    /// Zone; may be empty.
    pub zone: String,
    /// Machine type; may be empty.
    pub machine_type: String,
    /// Cell.
    pub cell: u64,
    /// Whether it accepted work.
    pub live: bool,
    /// When it started, in Unix milliseconds, if the list told; else 0.
    pub started: Milliseconds,
}

/// An endpoint list and when the list service last confirmed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CachedEndpoints {
    /// Time of the confirmation in Unix milliseconds.
    pub confirmed_at: Milliseconds,
    /// All endpoints of the list.
    pub endpoints: Vec<CachedEndpoint>,
    /// Ids of endpoints that were removed from the list.
    pub removed: Vec<String>,
}

/// Why the cached list cannot be read or written.
#[derive(Debug, Error)]
pub enum CacheError {
    /// The disk failed, or the file is too large.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The bytes are no cached list, or the list is too large.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

impl CachedEndpoints {
    /// The file's bytes.
    ///
    /// # Errors
    /// The file would exceed [`MAX_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        encode(&FORMAT, self, MAX_BYTES)
    }

    /// Decodes the file. Never panics, whatever the bytes are.
    ///
    /// # Errors
    /// Tells where and why the bytes are no cached list.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let list: Self = decode(&FORMAT, bytes)?;
        let times_are_finite = list.endpoints.iter().all(|endpoint| endpoint.started.is_finite());
        if !list.confirmed_at.is_finite() || !times_are_finite {
            return Err(FrameError::Records("a time is none".into()));
        }
        Ok(list)
    }

    /// The list as it holds now: `None` once it is older than `max_snapshot_age`, or if it lies in the future. If engines may have
    /// restarted since it was confirmed (after `min_restart_time`), all are taken to start now, and are in slow start.
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
/// The file was not written; the old one, if any, still exists.
pub fn save(disk: &mut dyn Disk, list: &CachedEndpoints) -> Result<(), CacheError> {
    let bytes = list.encode()?;
    Ok(disk::replace(disk, FILE, &bytes)?)
}

/// Reads the file; `None` if there is none.
///
/// # Errors
/// The file cannot be read, or is no cached list.
pub fn load(disk: &dyn Disk) -> Result<Option<CachedEndpoints>, CacheError> {
    let bytes = disk.read(FILE, MAX_BYTES as u64)?;
    Ok(bytes.map(|bytes| CachedEndpoints::decode(&bytes)).transpose()?)
}

#[cfg(test)]
mod tests;
