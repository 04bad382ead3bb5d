//! The files of the log: which is the latest, what is wrong with it, and whether it holds all sends.

use super::contents::{read, LogContents, LogFault};
use super::error::LogError;
use crate::disk::{self, Disk};
use crate::file_fault::FileFault;
use std::io;

pub(super) const PREFIX: &str = "keys";
pub(super) const EXTENSION: &str = "spl";
/// Prefix of the names of marker files. A process that sends keyed requests which it does not record in this log creates
/// such a file before the first of them, and removes it once a log of its own holds all of them.
pub const UNRECORDED_SENDS_PREFIX: &str = "beside-";
/// Bound on a log that is read, in bytes: far more than is ever written before a rewrite.
const MAX_LOG_BYTES: u64 = 1 << 30;
/// How often the folder is listed again if the latest log was replaced between listing and reading.
const MAX_LISTINGS: usize = 8;

/// Whether an earlier process may have sent keyed requests that no log in this folder holds.
///
/// # Errors
/// The folder cannot be read.
pub fn unrecorded_sends_possible(disk: &dyn Disk) -> io::Result<bool> {
    Ok(disk.names()?.iter().any(|name| name.starts_with(UNRECORDED_SENDS_PREFIX)))
}

/// Name and contents of the latest log, if there is any.
///
/// # Errors
/// The folder or the file cannot be read, or the log is replaced faster than it can be read.
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

/// What is wrong with the latest log, if there is one and it is not intact.
///
/// # Errors
/// The folder or the file cannot be read.
pub fn fault(disk: &dyn Disk) -> io::Result<Option<FileFault>> {
    let Some((file, contents)) = last(disk)? else { return Ok(None) };
    Ok(contents.fault.map(|LogFault { offset, reason }| FileFault {
        reason: format!("at byte {offset}: {reason}"),
        offset: Some(offset),
        file,
        is_newer_version: false,
    }))
}
