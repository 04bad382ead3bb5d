//! The folder itself: its lock, its permissions, its files, and the clock that nobody sets.

use crate::disk::Disk;
use rustix::time::{clock_gettime, ClockId};
use std::collections::HashMap;
use std::fs::{DirBuilder, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Milliseconds.
type Milliseconds = f64;

/// Why a folder cannot be used.
#[derive(Debug, Error)]
pub enum FolderError {
    /// Another process holds it.
    #[error("{0}: another process uses this folder")]
    Held(PathBuf),
    /// Others may read or write it.
    #[error("{0}: others may use this folder (mode {1:o}): chmod 700 it")]
    Open(PathBuf, u32),
    /// The system says no.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
}

/// A folder that this process alone uses, until this is dropped.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    _lock: File,
}

impl Folder {
    /// Makes the folder where it isn't there, and locks it.
    ///
    /// # Errors
    /// It cannot be made, written or locked, or others may use it.
    pub fn open(path: &Path) -> Result<Self, FolderError> {
        let bad = |e| FolderError::Io(path.to_owned(), e);
        match DirBuilder::new().mode(0o700).recursive(true).create(path) {
            Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(bad(e)),
            _ => {}
        }
        let meta = std::fs::metadata(path).map_err(bad)?;
        if !meta.is_dir() {
            return Err(bad(io::ErrorKind::NotADirectory.into()));
        }
        let mode = meta.permissions().mode() & 0o7777;
        if mode & 0o077 != 0 {
            return Err(FolderError::Open(path.to_owned(), mode));
        }
        let lock =
            OpenOptions::new().create(true).truncate(false).write(true).mode(0o600).open(path.join("lock"));
        let lock = lock.map_err(bad)?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.to_owned(), _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(FolderError::Held(path.to_owned())),
            Err(TryLockError::Error(e)) => Err(bad(e)),
        }
    }

    /// Its files.
    pub fn disk(&self) -> Files {
        Files::new(&self.path)
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

/// The files of a folder on a real disk. Made for the owner alone.
#[derive(Debug)]
pub struct Files {
    path: PathBuf,
    open: HashMap<String, File>,
}

impl Files {
    /// Without a lock: to look alone.
    pub fn new(path: &Path) -> Self {
        Self { path: path.to_owned(), open: HashMap::new() }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        self.open.get_mut(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Disk for Files {
    fn names(&self) -> io::Result<Vec<String>> {
        let entries = std::fs::read_dir(&self.path)?;
        entries.map(|e| Ok(e?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn read(&self, name: &str, most: u64) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.path.join(name)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            file => file?,
        };
        // Bounded by what is read, not by what the file says of itself.
        let mut bytes = Vec::new();
        file.take(most + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > most {
            return Err(io::Error::other(format!("it has more than {most} bytes")));
        }
        Ok(Some(bytes))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let path = self.path.join(name);
        let file = OpenOptions::new().create(true).write(true).truncate(true).mode(0o600).open(path)?;
        self.open.insert(name.to_owned(), file);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize> {
        self.file(name)?.write(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))?;
        if let Some(file) = self.open.remove(from) {
            self.open.insert(to.to_owned(), file);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        // Snapshots rename each time, and the file that was kept open then is not written any more.
        self.open.retain(|name, _| !name.starts_with("snapshot"));
        File::open(&self.path)?.sync_all()
    }
}

/// The clock that nobody sets: milliseconds since the machine started, sleep counted, and which start that is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Boot {
    /// Milliseconds since then.
    pub now: Milliseconds,
    /// Which start; none: the system does not tell, and times of another life cannot be compared.
    pub id: Option<[u8; 16]>,
}

impl Boot {
    /// Now.
    pub fn read() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let now = time.tv_sec as f64 * 1000.0 + time.tv_nsec as f64 / 1e6;
        let id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").ok();
        let id = id.and_then(|text| u128::from_str_radix(&text.trim().replace('-', ""), 16).ok());
        Self { now, id: id.map(u128::to_be_bytes) }
    }
}
