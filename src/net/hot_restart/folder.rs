//! The folder that the processes of one gateway share: its path, its lock, and the names of its files.

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

/// Prefix of the files that running processes keep locked; such a file contains the process's stage as text.
pub(super) const PROCESS_PREFIX: &str = "life";
/// Prefix of the files in which processes record the idempotency keys that they send.
pub(super) const KEYS_PREFIX: &str = "keys";
/// Prefix of the files in which processes record the requests that they send and that must not run twice.
pub(super) const REQUESTS_PREFIX: &str = "sent";
/// Prefix of the files in which learned state is passed to a successor.
pub(super) const LEARNED_PREFIX: &str = "learned";
/// Prefix of the files in which membership is passed to a successor.
pub(super) const MEMBERSHIP_PREFIX: &str = "heard";
/// Name of the file that stores operator overrides.
pub(super) const OVERRIDES_FILE: &str = "hand";
/// Name of the file whose lock serializes changes to the folder.
const LOCK_FILE: &str = "lock";
/// Number of hexadecimal digits of an incarnation in a file name.
const INCARNATION_DIGITS: usize = 16;
/// Maximum length of the folder's name, in characters.
const MAX_FOLDER_NAME_CHARS: usize = 200;
/// Maximum number of attempts to obtain a lock, which other processes hold for microseconds.
const MAX_LOCK_ATTEMPTS: usize = 50;
/// Time between two attempts to obtain a lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Reason, other than a failed system call, why the shared folder cannot be used.
#[derive(Debug, Error)]
pub enum SharedFolderError {
    /// The path is not a folder, or users other than its owner have access to it.
    #[error("not a folder, or other users have access to it: set its mode with chmod 700")]
    NotPrivate {
        /// The path of the folder.
        path: PathBuf,
    },
    /// Another process did not release a lock in time.
    #[error("another process did not release the lock in time")]
    LockTimeout,
}

impl From<SharedFolderError> for io::Error {
    fn from(error: SharedFolderError) -> Self {
        io::Error::other(error)
    }
}

/// Returns the path, below `parent`, of the folder that all processes with this gateway name and listening address share.
pub fn folder(parent: &Path, gateway: &str, listen: SocketAddr) -> PathBuf {
    let sanitize = |character: char| match character {
        _ if character.is_ascii_alphanumeric() || character == '-' => character,
        _ => '_',
    };
    let name = format!("starlingplank-{gateway}-{listen}");
    parent.join(name.chars().map(sanitize).take(MAX_FOLDER_NAME_CHARS).collect::<String>())
}

/// Creates the folder if it does not exist.
///
/// # Errors
/// The folder cannot be created, or users other than its owner have access to it.
pub(super) fn create_private(path: &Path) -> io::Result<()> {
    DirBuilder::new().mode(0o700).recursive(true).create(path)?;
    let metadata = std::fs::metadata(path)?;
    if !metadata.is_dir() || metadata.permissions().mode() & 0o077 != 0 {
        return Err(SharedFolderError::NotPrivate { path: path.to_owned() }.into());
    }
    Ok(())
}

/// Returns the name of a file that belongs to one process.
pub(super) fn file_name(prefix: &str, incarnation: u64) -> String {
    format!("{prefix}-{incarnation:016x}")
}

/// Returns the name of a file that the process `from` writes for the process `to`.
pub(super) fn passed_file_name(prefix: &str, from: u64, to: u64) -> String {
    format!("{}{}", file_name(prefix, from), passed_suffix(to))
}

/// Returns the end of the names of the files that are written for the process `to`.
pub(super) fn passed_suffix(to: u64) -> String {
    format!("-for-{to:016x}")
}

fn incarnation_of(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(PROCESS_PREFIX)?.strip_prefix('-')?;
    (digits.len() == INCARNATION_DIGITS).then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

/// Returns the incarnations of all processes that have a file in the folder, in ascending order.
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
/// The file exists or cannot be created.
pub(super) fn create_new(path: &Path) -> io::Result<File> {
    OpenOptions::new().create_new(true).read(true).write(true).mode(0o600).open(path)
}

/// Locks the folder until the returned file is dropped.
///
/// # Errors
/// The lock file cannot be opened, or another process did not release the lock in time.
pub(super) fn lock(path: &Path) -> io::Result<File> {
    let mut options = OpenOptions::new();
    options.create(true).truncate(false).write(true).mode(0o600);
    let file = options.open(path.join(LOCK_FILE))?;
    lock_file(&file)?;
    Ok(file)
}

/// Locks a file; retries about 50 ms while another process holds the lock.
///
/// # Errors
/// Another process did not release the lock in time, or the system call failed.
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
