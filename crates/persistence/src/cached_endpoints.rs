//! The last list of engines that was heard, kept for a life that starts while the list service is away.
//!
//! Two uses. Where the configuration names no engine it is what there is to start with: engines of an old list are
//! perhaps gone, and, once they may have started anew unseen, perhaps cold. Where it names some, drains and stops that
//! the former life heard still bind. Its bytes: a [head](starlingplank_storage::framed) of 20 bytes, `SPKLIST\n` and
//! version 1, then the records in postcard's form.

use serde::{Deserialize, Serialize};
use starlingplank_decision::interface::Milliseconds;
use starlingplank_storage::disk::{self, Disk};
use starlingplank_storage::framed::{decode, encode, FileFormat, FrameError};
use std::io;
use thiserror::Error;

/// What the file begins with.
pub const FORM: FileFormat = FileFormat { magic: *b"SPKLIST\n", version: 1 };
/// Its name.
pub const FILE: &str = "list.spk";
/// Bytes of it at most: some 10,000 engines.
pub const BYTES: usize = 2 << 20;

/// An engine as the list named it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Its id.
    pub id: String,
    /// Address and port.
    pub address: String,
    /// Zone; may be empty.
    pub zone: String,
    /// Kind; may be empty.
    pub kind: String,
    /// Cell.
    pub cell: u64,
    /// It took work.
    pub live: bool,
    /// Unix milliseconds of a late start, or 0.
    pub started: Milliseconds,
}

/// A list and when the service last stood by it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CachedEndpoints {
    /// Unix milliseconds.
    pub heard: Milliseconds,
    /// All engines.
    pub engines: Vec<Engine>,
    /// Ids of engines that were in it, and have gone.
    pub gone: Vec<String>,
}

/// Why there is no list to be read where there is a file.
#[derive(Debug, Error)]
pub enum ListError {
    /// The disk failed, or the file is too large.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The bytes are none.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

impl CachedEndpoints {
    /// The bytes of the file.
    ///
    /// # Errors
    /// They would be too many.
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        encode(&FORM, self, BYTES)
    }

    /// Reads the file; never panics, whatever the bytes are.
    ///
    /// # Errors
    /// Says where and why they are none.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let list: Self = decode(&FORM, bytes)?;
        if list.heard.is_finite() && list.engines.iter().all(|e| e.started.is_finite()) {
            Ok(list)
        } else {
            Err(FrameError::Records("a time is none".into()))
        }
    }

    /// The list as it counts now: none once it is older than `keep_for` or from the future. Where engines may have
    /// started anew since it was heard, they are taken to start now, and are cold.
    pub fn now(
        self,
        now: Milliseconds,
        restart_within: Milliseconds,
        keep_for: Milliseconds,
    ) -> Option<Self> {
        let age = now - self.heard;
        // Clocks differ by little over a restart; one that was put back makes all ages unknown.
        if !(-1_000.0..=keep_for).contains(&age) {
            return None;
        }
        let mut list = self;
        if age > restart_within {
            list.engines.iter_mut().for_each(|e| e.started = now);
        }
        Some(list)
    }
}

/// Writes it, whole or not at all.
///
/// # Errors
/// It was not written; what was there before is still there.
pub fn save(disk: &mut dyn Disk, list: &CachedEndpoints) -> io::Result<()> {
    disk::replace(disk, FILE, &list.encode().map_err(io::Error::other)?)
}

/// Reads it; none: there is none.
///
/// # Errors
/// It cannot be read, or is no such file.
pub fn load(disk: &dyn Disk) -> Result<Option<CachedEndpoints>, ListError> {
    let bytes = disk.read(FILE, BYTES as u64)?;
    Ok(bytes.map(|b| CachedEndpoints::decode(&b)).transpose()?)
}

#[cfg(test)]
mod tests;
