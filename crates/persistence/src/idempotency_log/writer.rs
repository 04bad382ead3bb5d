//! Writing of log files.

use super::error::LogError;
use super::files::{EXTENSION, PREFIX};
use super::record::{header, Mark, Record};
use crate::disk::{self, Disk};
use crate::idempotency_key::{Key, KeySends};
use std::io;

/// Writer of the idempotency log. After a failed append the end of the file is unknown, so records are accepted again only
/// after the log has been rewritten into a new file.
pub struct IdempotencyLog {
    disk: Box<dyn Disk>,
    /// Name of the file to which records are appended; `None` before the first rewrite and after a failure.
    file: Option<String>,
    next_number: u64,
}

impl IdempotencyLog {
    /// Creates a writer for the log files of a folder. The writer has no file until [`rewrite`](Self::rewrite) creates one.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be read.
    pub fn open(disk: Box<dyn Disk>) -> io::Result<Self> {
        let latest = disk::numbers(&*disk, PREFIX, EXTENSION)?.first().copied();
        let next_number = latest.map_or(1, |number| number.saturating_add(1));
        Ok(Self { disk, file: None, next_number })
    }

    /// Writes a new file with the given keys and the given mark, and removes the old files once the new one is durable.
    /// Returns the size of the new file in bytes.
    ///
    /// # Errors
    /// Returns an error if the file could not be made durable or the folder cannot be listed; the old file still exists.
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
            // A file that cannot be removed is harmless, as only the latest file is read.
            let _ = self.disk.remove(&disk::numbered_name(PREFIX, old, EXTENSION));
        }
        Ok(())
    }

    /// Appends records and makes them durable. Returns the number of bytes written.
    ///
    /// # Errors
    /// Returns an error if the records may not be durable; no more records are then accepted until the next rewrite.
    pub fn append(&mut self, records: &[Record]) -> io::Result<usize> {
        let file = self.file.take().ok_or(LogError::NotRewritten)?;
        let bytes: Vec<u8> = records.iter().flat_map(Record::bytes).collect();
        disk::append_all(&mut *self.disk, &file, &bytes)?;
        self.disk.sync(&file)?;
        self.file = Some(file);
        Ok(bytes.len())
    }
}
