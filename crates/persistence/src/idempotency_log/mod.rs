//! The idempotency log: a header of 16 bytes, then records of 40 bytes each, all little-endian.
//!
//! | bytes of the header | what |
//! | --- | --- |
//! | 0..8 | `SPKEYLG\n` |
//! | 8..12 | version, 1 |
//! | 12..16 | CRC-32 of bytes 0..12 |
//!
//! | bytes of a record | what |
//! | --- | --- |
//! | 0 | kind: 1 a send, 2 a mark |
//! | 1..4 | zero |
//! | 4..8 | CRC-32 of the other 36 bytes |
//! | 8..16 | time, in milliseconds since the machine booted (a 64-bit float) |
//! | 16..24 | of a send: how long engines drop repeats, in milliseconds; of a mark: until when no keyed request may be sent, as a time like 8..16, or zero |
//! | 24..40 | of a send: the key's hash; of a mark: the boot's identifier |
//!
//! Each process, and each rewrite of a log that has grown long, begins a new file with all keys whose window has not
//! ended, written atomically before the old file is removed. Bytes after the last valid record are the end of a write
//! that was not completed, and whose request was not sent; an invalid record followed by valid ones is damage, and
//! the log is not trusted.

mod contents;
mod record;
mod recovery;

pub use contents::{read, LogContents, LogFault};
pub use record::{header, Mark, Record, HEADER_BYTES, RECORD_BYTES};
pub use recovery::{recover, recover_from_peer, DistrustedLog};

use crate::disk::{self, Disk};
use crate::file_fault::FileFault;
use crate::idempotency_key::{Key, KeySends};
use std::io;
use thiserror::Error;

const PREFIX: &str = "keys";
const EXTENSION: &str = "spl";
/// Prefix of the names of marker files. A process that sends keyed requests which it does not record in this log creates
/// such a file before the first of them, and removes it once a log of its own holds all of them.
pub const UNRECORDED_SENDS_PREFIX: &str = "beside-";
/// Bound on a log that is read, in bytes: far more than is ever written before a rewrite.
const MAX_LOG_BYTES: u64 = 1 << 30;
/// How often the folder is listed again if the latest log was replaced between listing and reading.
const MAX_LISTINGS: usize = 8;

/// Why the log cannot be read or written, where the disk itself did not fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LogError {
    /// The log was replaced each time between listing and reading.
    #[error("the log is begun anew as often as it is looked for")]
    ReplacedWhileRead,
    /// An earlier write failed, and the log was not rewritten since.
    #[error("the log has failed before and was not begun anew")]
    NotRewritten,
}

impl From<LogError> for io::Error {
    fn from(error: LogError) -> Self {
        io::Error::other(error)
    }
}

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
    Ok(contents.fault.map(|LogFault { offset, why }| FileFault {
        why: format!("at byte {offset}: {why}"),
        offset: Some(offset),
        file,
        newer: false,
    }))
}

/// Writes the log. After a failed call the end of the file is unknown, so that only a new file can be written.
pub struct IdempotencyLog {
    disk: Box<dyn Disk>,
    /// The file that records are appended to; `None` before the first rewrite and after a failure.
    file: Option<String>,
    next_number: u64,
}

impl IdempotencyLog {
    /// Opens the folder. There is no file yet: [`rewrite`](Self::rewrite) creates one.
    ///
    /// # Errors
    /// The folder cannot be read.
    pub fn open(disk: Box<dyn Disk>) -> io::Result<Self> {
        let latest = disk::numbers(&*disk, PREFIX, EXTENSION)?.first().copied();
        let next_number = latest.map_or(1, |number| number.saturating_add(1));
        Ok(Self { disk, file: None, next_number })
    }

    /// Writes a new file with these keys, and a mark if the log is complete, and removes the old files once it is durable.
    /// Returns its size in bytes.
    ///
    /// # Errors
    /// The file was not written; the old one still exists.
    pub fn rewrite(&mut self, keys: &[(Key, KeySends)], mark: Option<Mark>) -> io::Result<usize> {
        self.file = None;
        let number = self.next_number;
        self.next_number = self.next_number.saturating_add(1);
        let mut bytes = header().to_vec();
        for (key, sends) in keys {
            bytes.extend(Record::of_sends(*key, sends).flat_map(|record| record.bytes()));
        }
        if let Some(mark) = mark {
            bytes.extend(Record::Mark(mark).bytes());
        }
        let file = disk::numbered_name(PREFIX, number, EXTENSION);
        disk::replace(&mut *self.disk, &file, &bytes)?;
        self.remove_older_than(number)?;
        self.file = Some(file);
        Ok(bytes.len())
    }

    fn remove_older_than(&mut self, number: u64) -> io::Result<()> {
        let numbers = disk::numbers(&*self.disk, PREFIX, EXTENSION)?;
        for old in numbers.into_iter().filter(|other| *other < number) {
            // A file that cannot be removed is never read again: only the latest is.
            let _ = self.disk.remove(&disk::numbered_name(PREFIX, old, EXTENSION));
        }
        Ok(())
    }

    /// Appends records and makes them durable. Returns how many bytes were written.
    ///
    /// # Errors
    /// The records may not be durable; the file takes no more records.
    pub fn append(&mut self, records: &[Record]) -> io::Result<usize> {
        let file = self.file.take().ok_or(LogError::NotRewritten)?;
        let bytes: Vec<u8> = records.iter().flat_map(Record::bytes).collect();
        disk::append_all(&mut *self.disk, &file, &bytes)?;
        self.disk.sync(&file)?;
        self.file = Some(file);
        Ok(bytes.len())
    }
}
