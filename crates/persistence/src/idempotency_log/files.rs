//! The log files of a folder: finds the latest file, checks it, and determines whether it may lack sends.

use super::contents::{read, LogContents, LogFault};
use super::error::LogError;
use crate::disk::{self, Disk};
use crate::file_fault::FileFault;
use std::io;

pub(super) const PREFIX: &str = "keys";
pub(super) const EXTENSION: &str = "spl";
/// Prefix of the names of marker files. A process that sends keyed requests without recording them in this log creates
/// such a file before the first of them, and removes the file once a log of its own contains all of them.
pub const UNRECORDED_SENDS_PREFIX: &str = "beside-";
/// Maximum size of a log that is read, in bytes: far larger than a log becomes before it is rewritten.
const MAX_LOG_BYTES: u64 = 1 << 30;
/// Maximum number of times that the folder is listed, as the latest log may be replaced between listing and reading.
const MAX_LISTINGS: usize = 8;

/// Returns whether an earlier process may have sent keyed requests that no log in this folder contains.
///
/// # Errors
/// Returns an error if the folder cannot be read.
pub fn unrecorded_sends_possible(disk: &dyn Disk) -> io::Result<bool> {
    Ok(disk.names()?.iter().any(|name| name.starts_with(UNRECORDED_SENDS_PREFIX)))
}

/// Returns the name and the contents of the latest log, or `None` if there is no log.
///
/// # Errors
/// Returns an error if the folder or the file cannot be read, or if the log is replaced faster than it can be read.
pub fn last(disk: &dyn Disk) -> io::Result<Option<(String, LogContents)>> {
    for _ in 0..MAX_LISTINGS {
        let numbers = disk::numbers(disk, PREFIX, EXTENSION)?;
        let Some(number) = numbers.first() else { return Ok(None) };
        let file = disk::numbered_name(PREFIX, *number, EXTENSION);
        if let Some(bytes) = disk.read(&file, MAX_LOG_BYTES)? {
            return Ok(Some((file, read(&bytes))));
        }
    }
    Err(LogError::ReplacedWhileRead.into())
}

/// Returns the fault of the latest log, or `None` if there is no log or the log is intact.
///
/// # Errors
/// Returns an error if the folder or the file cannot be read.
pub fn fault(disk: &dyn Disk) -> io::Result<Option<FileFault>> {
    let Some((file, contents)) = last(disk)? else { return Ok(None) };
    Ok(contents.fault.map(|LogFault { offset, reason }| FileFault {
        reason: format!("at byte {offset}: {reason}"),
        offset: Some(offset),
        file,
        is_newer_version: false,
    }))
}
