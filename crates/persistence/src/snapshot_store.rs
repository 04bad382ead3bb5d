//! Snapshot files in a folder, numbered by generation. Each snapshot is written atomically under its own name. The latest
//! two are retained, so that the older one can be read if the latest is damaged.

use crate::disk::{self, Disk};
use crate::file_fault::FileFault;
use crate::snapshot::{self, SnapshotError};
use crate::snapshot_records::Snapshot;
use std::io;
use thiserror::Error;

const PREFIX: &str = "snapshot";
const EXTENSION: &str = "spk";
/// Number of generations that are retained: the latest and the previous one.
const KEPT_GENERATIONS: usize = 2;

/// Reason for which a snapshot was not written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A file operation failed.
    #[error("the snapshot was not written: {0}")]
    Disk(#[from] io::Error),
    /// The snapshot cannot be encoded.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
}

/// Result of loading the snapshots of a folder.
#[derive(Debug, Default)]
pub struct LoadedSnapshot {
    /// Generation and records of the latest valid snapshot, if there is any.
    pub snapshot: Option<(u64, Snapshot)>,
    /// Faults of the files that are not valid snapshots, the latest generation first.
    pub faults: Vec<FileFault>,
}

/// Writer of the snapshots in a folder.
pub struct SnapshotStore {
    disk: Box<dyn Disk>,
    next_generation: u64,
    /// Generations that newer releases wrote, which are never removed.
    newer_releases: Vec<u64>,
    max_bytes: usize,
}

impl SnapshotStore {
    /// Opens a folder and loads its latest valid snapshot. Snapshots are written once and never appended to, so `disk` may
    /// close their descriptors
    /// ([`closing_written_files`](crate::folder::Files::closing_written_files)).
    ///
    /// # Errors
    /// Returns an error if the folder cannot be read.
    pub fn open(mut disk: Box<dyn Disk>, max_bytes: usize) -> io::Result<(Self, LoadedSnapshot)> {
        let loaded = load(&*disk, max_bytes)?;
        disk::remove_temporary_files(&mut *disk);
        let generations = disk::numbers(&*disk, PREFIX, EXTENSION)?;
        let is_of_newer_release = |generation: &u64| {
            let name = disk::numbered_name(PREFIX, *generation, EXTENSION);
            loaded.faults.iter().any(|fault| fault.is_newer_version && fault.file == name)
        };
        let newer_releases = generations.iter().copied().filter(is_of_newer_release).collect();
        let next_generation = generations.first().map_or(1, |latest| latest.saturating_add(1));
        Ok((Self { disk, next_generation, newer_releases, max_bytes }, loaded))
    }

    /// Writes a snapshot atomically, then removes all older ones but the previous one. Returns the size of the snapshot in
    /// bytes.
    ///
    /// # Errors
    /// Returns an error if the snapshot may not be durable or the folder cannot be listed; earlier snapshots still exist.
    pub fn save(&mut self, snapshot: &Snapshot) -> Result<usize, StoreError> {
        let bytes = snapshot::encode(snapshot, self.max_bytes)?;
        let generation = self.next_generation;
        // Each generation is used once, as a rename that returned an error may still have taken effect.
        self.next_generation = self.next_generation.saturating_add(1);
        disk::replace(&mut *self.disk, &disk::numbered_name(PREFIX, generation, EXTENSION), &bytes)?;
        self.remove_old_generations()?;
        Ok(bytes.len())
    }

    fn remove_old_generations(&mut self) -> io::Result<()> {
        let generations = disk::numbers(&*self.disk, PREFIX, EXTENSION)?;
        let own = generations.into_iter().filter(|generation| !self.newer_releases.contains(generation));
        for old in own.skip(KEPT_GENERATIONS) {
            // A file that cannot be removed only occupies space; the next save tries to remove it again.
            let _ = self.disk.remove(&disk::numbered_name(PREFIX, old, EXTENSION));
        }
        Ok(())
    }
}

/// Loads the latest valid snapshot of a folder, and lists the files that are not valid snapshots.
///
/// # Errors
/// Returns an error if the folder cannot be read.
pub fn load(disk: &dyn Disk, max_bytes: usize) -> io::Result<LoadedSnapshot> {
    let mut loaded = LoadedSnapshot::default();
    for generation in disk::numbers(disk, PREFIX, EXTENSION)? {
        let file = disk::numbered_name(PREFIX, generation, EXTENSION);
        let bytes = match disk.read(&file, max_bytes as u64) {
            Ok(Some(bytes)) => bytes,
            Ok(None) => continue,
            Err(error) => {
                loaded.faults.push(FileFault::unreadable(file, error));
                continue;
            }
        };
        match snapshot::decode(&bytes) {
            Ok(snapshot) if loaded.snapshot.is_none() => loaded.snapshot = Some((generation, snapshot)),
            Ok(_) => {}
            Err(error) => loaded.faults.push(FileFault::invalid(file, &error)),
        }
    }
    Ok(loaded)
}
