//! Writes the log.

use super::error::LogError;
use super::files::{EXTENSION, PREFIX};
use super::record::{header, Mark, Record};
use crate::disk::{self, Disk};
use crate::idempotency_key::{Key, KeySends};
use std::io;

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
            bytes.extend(Record::for_sends(*key, sends).flat_map(|record| record.bytes()));
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
