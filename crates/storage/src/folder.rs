//! Folders in the file system, with their lock, permissions and files.

use crate::disk::{Disk, FileTooLarge};
use std::collections::HashMap;
use std::fs::{DirBuilder, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Name of the file that the process using the folder locks.
const LOCK_FILE: &str = "lock";
/// Permission bits of a folder, which give access only to the owner.
const FOLDER_MODE: u32 = 0o700;
/// Permission bits of a file, which give access only to the owner.
const FILE_MODE: u32 = 0o600;
/// Permission bits of the group and of other users, of which none may be set on a folder.
const OTHERS_MODE: u32 = 0o077;

/// Reason for which a folder cannot be used.
#[derive(Debug, Error)]
pub enum FolderError {
    /// Another process has locked the folder.
    #[error("{path}: another process has locked this folder")]
    Locked {
        /// Path of the folder.
        path: PathBuf,
    },
    /// Other users have access to the folder.
    #[error("{path}: other users have access to this folder (mode {mode:o}): run chmod 700 on it")]
    Permissions {
        /// Path of the folder.
        path: PathBuf,
        /// Permission bits of the folder.
        mode: u32,
    },
    /// A system call failed.
    #[error("{path}: {source}")]
    Io {
        /// Path of the folder.
        path: PathBuf,
        /// Error that the system call returned.
        source: io::Error,
    },
}

/// A folder that this process has locked. Owns the descriptor of the lock file, so that dropping the folder releases the lock.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    _lock: File,
}

impl Folder {
    /// Creates the folder if it does not exist, and locks it.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be created, written or locked, or if other users have access to it.
    pub fn open(path: &Path) -> Result<Self, FolderError> {
        let failed = |source| FolderError::Io { path: path.to_owned(), source };
        match DirBuilder::new().mode(FOLDER_MODE).recursive(true).create(path) {
            Err(error) if error.kind() != io::ErrorKind::AlreadyExists => return Err(failed(error)),
            _ => {}
        }
        let metadata = std::fs::metadata(path).map_err(failed)?;
        if !metadata.is_dir() {
            return Err(failed(io::ErrorKind::NotADirectory.into()));
        }
        let mode = metadata.permissions().mode() & 0o7777;
        if mode & OTHERS_MODE != 0 {
            return Err(FolderError::Permissions { path: path.to_owned(), mode });
        }
        let mut options = OpenOptions::new();
        options.create(true).truncate(false).write(true).mode(FILE_MODE);
        let lock = options.open(path.join(LOCK_FILE)).map_err(failed)?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.to_owned(), _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(FolderError::Locked { path: path.to_owned() }),
            Err(TryLockError::Error(error)) => Err(failed(error)),
        }
    }

    /// Returns access to the folder's files.
    pub fn disk(&self) -> Files {
        Files::new(&self.path)
    }

    /// Returns the folder's path.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

/// The files of a folder in the file system. New files are accessible only to their owner. Owns the descriptors of the files
/// that it has created, so that it can append to them.
#[derive(Debug)]
pub struct Files {
    path: PathBuf,
    open: HashMap<String, File>,
    close_on_sync_names: bool,
}

impl Files {
    /// Creates access to the files of a folder without locking it, which suffices for reading.
    pub fn new(path: &Path) -> Self {
        Self { path: path.to_owned(), open: HashMap::new(), close_on_sync_names: false }
    }

    /// Closes all descriptors when [`sync_names`](Disk::sync_names) is called. This is meant for files to which nothing is
    /// appended once they have been written and renamed.
    #[must_use]
    pub fn closing_written_files(mut self) -> Self {
        self.close_on_sync_names = true;
        self
    }

    fn open_file(&mut self, name: &str) -> io::Result<&mut File> {
        self.open.get_mut(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Disk for Files {
    fn names(&self) -> io::Result<Vec<String>> {
        let entries = std::fs::read_dir(&self.path)?;
        entries.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.path.join(name)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            file => file?,
        };
        // The bytes that are read are counted, as the length in the file's metadata may be outdated.
        let mut bytes = Vec::new();
        file.take(max_bytes + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > max_bytes {
            return Err(FileTooLarge { max_bytes }.into());
        }
        Ok(Some(bytes))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let path = self.path.join(name);
        let file = OpenOptions::new().create(true).write(true).truncate(true).mode(FILE_MODE).open(path)?;
        self.open.insert(name.to_owned(), file);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize> {
        self.open_file(name)?.write(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_file(name)?.sync_data()
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
        if self.close_on_sync_names {
            self.open.clear();
        }
        File::open(&self.path)?.sync_all()
    }
}
