//! The shared folder: its path, its lock, and the names of its files.

use starlingplank_storage::disk::Disk;
use starlingplank_storage::folder::Files;
use std::fs::{DirBuilder, File, OpenOptions, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;
use thiserror::Error;

/// Prefix of the files that running processes lock; their text is the process's stage.
pub(super) const PROCESS_PREFIX: &str = "life";
/// Prefix of the files of idempotency keys.
pub(super) const KEYS_PREFIX: &str = "keys";
/// Prefix of the files in which learned state is passed on.
pub(super) const LEARNED_PREFIX: &str = "learned";
/// Prefix of the files in which membership is passed on.
pub(super) const MEMBERSHIP_PREFIX: &str = "heard";
/// Name of the file of operator overrides.
pub(super) const OVERRIDES_FILE: &str = "hand";
/// Name of the file whose lock serializes changes to the folder.
const LOCK_FILE: &str = "lock";
/// Hexadecimal digits of a process's number in a file name.
const NUMBER_DIGITS: usize = 16;
/// Bound on the length of the folder's name.
const MAX_FOLDER_NAME_CHARS: usize = 200;
/// How often a lock is tried: others hold it for microseconds.
const MAX_LOCK_ATTEMPTS: usize = 50;
/// Time between two attempts to lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Why the shared folder cannot be used, where no system call failed.
#[derive(Debug, Error)]
pub enum SharedFolderError {
    /// It is not a folder of which only this user has permissions.
    #[error("it is no folder, or others may use it: chmod 700 it")]
    NotPrivate {
        /// The folder.
        path: PathBuf,
    },
    /// Another process has not released a lock in time.
    #[error("another process has held the lock too long")]
    LockTimeout,
}

impl From<SharedFolderError> for io::Error {
    fn from(error: SharedFolderError) -> Self {
        io::Error::other(error)
    }
}

/// Path of the folder, below `parent`, of the gateway with that name and listening address.
pub fn folder(parent: &Path, gateway: &str, listen: SocketAddr) -> PathBuf {
    let plain = |character: char| match character {
        _ if character.is_ascii_alphanumeric() || character == '-' => character,
        _ => '_',
    };
    let name = format!("starlingplank-{gateway}-{listen}");
    parent.join(name.chars().map(plain).take(MAX_FOLDER_NAME_CHARS).collect::<String>())
}

/// Creates the folder if it does not exist.
///
/// # Errors
/// It cannot be created, or is not private.
pub(super) fn create_private(path: &Path) -> io::Result<()> {
    DirBuilder::new().mode(0o700).recursive(true).create(path)?;
    let metadata = std::fs::metadata(path)?;
    if !metadata.is_dir() || metadata.permissions().mode() & 0o077 != 0 {
        return Err(SharedFolderError::NotPrivate { path: path.to_owned() }.into());
    }
    Ok(())
}

/// Name of a process's file.
pub(super) fn file_name(prefix: &str, incarnation: u64) -> String {
    format!("{prefix}-{incarnation:016x}")
}

/// Name of a file that one process writes for another.
pub(super) fn passed_file_name(prefix: &str, from: u64, to: u64) -> String {
    format!("{}-for-{to:016x}", file_name(prefix, from))
}

fn incarnation_of(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(PROCESS_PREFIX)?.strip_prefix('-')?;
    (digits.len() == NUMBER_DIGITS).then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

/// The numbers of all processes that have a file, in ascending order.
///
/// # Errors
/// The folder cannot be read.
pub(super) fn incarnations(path: &Path) -> io::Result<Vec<u64>> {
    let names = Files::new(path).names()?;
    let mut incarnations: Vec<u64> = names.iter().filter_map(|name| incarnation_of(name)).collect();
    incarnations.sort_unstable();
    Ok(incarnations)
}

/// Creates a file that must not exist yet.
///
/// # Errors
/// It cannot be created.
pub(super) fn create_new(path: &Path) -> io::Result<File> {
    OpenOptions::new().create_new(true).read(true).write(true).mode(0o600).open(path)
}

/// Locks the folder until the returned file is dropped.
///
/// # Errors
/// The lock cannot be opened, or another process has held it too long.
pub(super) fn lock(path: &Path) -> io::Result<File> {
    let mut options = OpenOptions::new();
    options.create(true).truncate(false).write(true).mode(0o600);
    let file = options.open(path.join(LOCK_FILE))?;
    lock_file(&file)?;
    Ok(file)
}

/// Locks a file, waiting a short while for its owner.
///
/// # Errors
/// Another process has held the lock too long.
pub(super) fn lock_file(file: &File) -> io::Result<()> {
    for _ in 0..MAX_LOCK_ATTEMPTS {
        match file.try_lock() {
            Ok(()) => return Ok(()),
            Err(TryLockError::WouldBlock) => thread::sleep(LOCK_RETRY_INTERVAL),
            Err(TryLockError::Error(error)) => return Err(error),
        }
    }
    Err(SharedFolderError::LockTimeout.into())
}
