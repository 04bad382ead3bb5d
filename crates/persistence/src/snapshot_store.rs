//! Snapshots in a folder, by generation. A new one is written whole under its own name; the one before is kept until
//! the next, so that a file that rots still leaves one to read.

use crate::disk::{self, Disk};
use crate::snapshot::{self, SnapshotError};
use crate::snapshot_records::Snapshot;
use std::io;
use thiserror::Error;

const PREFIX: &str = "snapshot";
const EXTENSION: &str = "spk";
/// Generations kept: the last, and the one before.
const KEPT: usize = 2;

/// Why a snapshot was not written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The disk failed.
    #[error("the snapshot was not written: {0}")]
    Disk(#[from] io::Error),
    /// It cannot be encoded.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
}

/// A file that is no whole snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Its name.
    pub file: String,
    /// Where in it, in bytes; none: the file itself cannot be read.
    pub offset: Option<usize>,
    /// What is wrong.
    pub why: String,
    /// A later release wrote it: it is no damage, but not to be read here either.
    pub newer: bool,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.file, self.why)
    }
}

/// What a folder holds.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The last whole snapshot with its generation, if there is any.
    pub snapshot: Option<(u64, Snapshot)>,
    /// Files that are no whole snapshots, the latest first.
    pub faults: Vec<Fault>,
}

/// Writes snapshots.
pub struct Store {
    disk: Box<dyn Disk>,
    next: u64,
    /// Generations of later releases: never removed.
    untouched: Vec<u64>,
    most: usize,
}

impl Store {
    /// Opens the snapshots of a folder, and reads the last whole one.
    ///
    /// # Errors
    /// The folder cannot be read.
    pub fn open(mut disk: Box<dyn Disk>, most: usize) -> io::Result<(Self, Loaded)> {
        let loaded = load(&*disk, most)?;
        disk::remove_temporary_files(&mut *disk);
        let all = disk::numbers(&*disk, PREFIX, EXTENSION)?;
        let newer = |n: &u64| {
            let name = disk::numbered_name(PREFIX, *n, EXTENSION);
            loaded.faults.iter().any(|f| f.newer && f.file == name)
        };
        let untouched = all.iter().copied().filter(newer).collect();
        let next = all.first().map_or(1, |n| n.saturating_add(1));
        Ok((Self { disk, next, untouched, most }, loaded))
    }

    /// Writes one, whole or not at all, then removes all but the one before. Its bytes.
    ///
    /// # Errors
    /// It was not written; what was there before is still there.
    pub fn save(&mut self, snapshot: &Snapshot) -> Result<usize, StoreError> {
        let bytes = snapshot::encode(snapshot, self.most)?;
        let generation = self.next;
        // A generation is tried once: a rename that failed may still have happened.
        self.next = self.next.saturating_add(1);
        disk::replace(&mut *self.disk, &disk::numbered_name(PREFIX, generation, EXTENSION), &bytes)?;
        let all = disk::numbers(&*self.disk, PREFIX, EXTENSION)?;
        for old in all.into_iter().filter(|n| !self.untouched.contains(n)).skip(KEPT) {
            // One that stays costs room alone; the next save tries again.
            let _ = self.disk.remove(&disk::numbered_name(PREFIX, old, EXTENSION));
        }
        Ok(bytes.len())
    }
}

/// Reads the last whole snapshot, and tells of those that are none.
///
/// # Errors
/// The folder cannot be read.
pub fn load(disk: &dyn Disk, most: usize) -> io::Result<Loaded> {
    let mut loaded = Loaded::default();
    for generation in disk::numbers(disk, PREFIX, EXTENSION)? {
        let file = disk::numbered_name(PREFIX, generation, EXTENSION);
        let bytes = match disk.read(&file, most as u64) {
            Ok(Some(bytes)) => bytes,
            Ok(None) => continue,
            Err(e) => {
                loaded.faults.push(Fault { file, offset: None, why: e.to_string(), newer: false });
                continue;
            }
        };
        match snapshot::decode(&bytes) {
            Ok(found) if loaded.snapshot.is_none() => loaded.snapshot = Some((generation, found)),
            Ok(_) => {}
            Err(e) => {
                let (offset, newer) = (e.offset(), e.is_newer_version());
                loaded.faults.push(Fault { file, offset: Some(offset), why: e.to_string(), newer });
            }
        }
    }
    Ok(loaded)
}
