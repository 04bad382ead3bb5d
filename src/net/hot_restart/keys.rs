//! The exchange of idempotency keys: each process appends its sends to a file of its own, and reads those of the others.

use super::folder::{file_name, KEYS_PREFIX};
use crate::interface::Milliseconds;
use starlingplank_persistence::clock_offset::ClockOffset;
use starlingplank_persistence::deduplication_window::{Key, KeySend, KeySends};
use starlingplank_persistence::idempotency_log::{self, Mark, Record, RECORD_BYTES};
use starlingplank_storage::disk;
use starlingplank_storage::folder::Files;
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// Records after which the file is rewritten: 80 KiB.
const REWRITE_AFTER_RECORDS: usize = 2_048;
/// Bound on what is read of another process's file at a time, in bytes.
const MAX_READ_BYTES: u64 = 8 << 20;

/// The keys of all processes. Owns the file of this process's keys.
#[derive(Debug)]
pub(super) struct SharedKeys {
    folder: PathBuf,
    incarnation: u64,
    file: File,
    /// Records in the file.
    records: usize,
    /// Whether the file may end inside a record, as a write failed.
    torn: bool,
    /// All keys whose window may not have ended, by this process's clock.
    tracked: HashMap<Key, KeySends>,
    offset: ClockOffset,
}

impl SharedKeys {
    pub(super) fn new(folder: &Path, incarnation: u64, file: File, offset: ClockOffset) -> Self {
        let (folder, tracked) = (folder.to_owned(), HashMap::new());
        Self { folder, incarnation, file, records: 0, torn: false, tracked, offset }
    }

    /// The boot that stored times count from.
    pub(super) fn boot_id(&self) -> [u8; 16] {
        self.offset.boot_id
    }

    /// Records that a key is about to be sent.
    ///
    /// # Errors
    /// The send is not recorded; it must not take place.
    pub(super) fn record(&mut self, key: Key, send: KeySend) -> io::Result<()> {
        let before = self.tracked.get(&key).copied();
        self.tracked.insert(key, before.map_or(KeySends::single(send), |sends| sends.and(send)));
        let written = self.write(key, send);
        if written.is_err() {
            // Nothing is sent, so nothing binds other processes.
            match before {
                Some(sends) => self.tracked.insert(key, sends),
                None => self.tracked.remove(&key),
            };
        }
        written
    }

    /// Appends a record. A file that has grown long, or may end inside a record, where its readers stop, is rewritten
    /// instead.
    fn write(&mut self, key: Key, send: KeySend) -> io::Result<()> {
        if self.torn || self.records >= REWRITE_AFTER_RECORDS {
            return self.rewrite(send.at);
        }
        let record = Record::KeySend(key, self.offset.stored_send(send));
        let written = self.file.write_all(&record.bytes());
        self.torn = written.is_err();
        written?;
        self.records += 1;
        Ok(())
    }

    /// Replaces the file by one with a mark and all keys whose window has not ended.
    ///
    /// # Errors
    /// The file cannot be written; the old one still exists.
    pub(super) fn rewrite(&mut self, now: Milliseconds) -> io::Result<()> {
        self.tracked.retain(|_, sends| now < sends.end());
        let mark = Mark { at: self.offset.by + now, blocked_until: None, boot_id: self.offset.boot_id };
        let mut bytes = idempotency_log::header().to_vec();
        bytes.extend(Record::Mark(mark).bytes());
        for (key, sends) in &self.tracked {
            let stored = self.offset.stored_sends(*sends);
            bytes.extend(Record::for_sends(*key, &stored).flat_map(|record| record.bytes()));
        }
        let name = file_name(KEYS_PREFIX, self.incarnation);
        disk::replace(&mut Files::new(&self.folder), &name, &bytes)?;
        self.file = OpenOptions::new().append(true).open(self.folder.join(name))?;
        self.records = 2 * self.tracked.len();
        self.torn = false;
        Ok(())
    }

    /// Adds a send of another process. Returns all sends of the key; `None` if their window has ended.
    pub(super) fn merge(&mut self, key: Key, stored: KeySend, now: Milliseconds) -> Option<KeySends> {
        let sends = self.offset.restored_sends(KeySends::single(stored));
        let send = KeySend { at: sends.first, window: sends.window };
        let merged = self.tracked.get(&key).map_or(sends, |tracked| tracked.and(send));
        if now >= merged.end() {
            return None;
        }
        self.tracked.insert(key, merged);
        Some(merged)
    }
}

/// Reads another process's file as it grows. Owns the descriptor.
#[derive(Debug)]
pub(super) struct KeyReader {
    file: File,
    /// Offset of the first byte that was not read.
    position: u64,
    /// Whether the last mark that was read is of another boot, and with it the sends that follow it.
    is_of_other_boot: bool,
}

impl KeyReader {
    pub(super) fn open(path: &Path) -> Option<Self> {
        File::open(path).ok().map(|file| Self { file, position: 0, is_of_other_boot: false })
    }

    /// Whether the path still names the file that is open: a rewritten file is another one of the same name. If that cannot
    /// be told it is taken to be so.
    pub(super) fn is_current(&self, path: &Path) -> bool {
        let Ok(open) = self.file.metadata() else { return true };
        let Ok(named) = std::fs::metadata(path) else { return true };
        open.ino() == named.ino()
    }

    /// The sends that were appended since the last call. Records of another boot are left out, as their times cannot be
    /// compared.
    pub(super) fn read_new_sends(&mut self, boot_id: [u8; 16]) -> Vec<(Key, KeySend)> {
        let mut sends = Vec::new();
        let bytes = self.read_new_bytes().unwrap_or_default();
        let Some(records) = self.skip_header(&bytes) else { return sends };
        // A record that is being written is read once it is complete; one that was damaged is never read.
        for record in records.chunks_exact(RECORD_BYTES).map_while(Record::read) {
            self.position += RECORD_BYTES as u64;
            match record {
                Record::KeySend(key, send) if !self.is_of_other_boot => sends.push((key, send)),
                Record::KeySend(..) => {}
                Record::Mark(mark) => self.is_of_other_boot = mark.boot_id != boot_id,
            }
        }
        sends
    }

    fn read_new_bytes(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.file.seek(SeekFrom::Start(self.position))?;
        (&mut self.file).take(MAX_READ_BYTES).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    /// The records in bytes that were read; `None` if the file has no valid header: it was just created, or another release
    /// wrote it.
    fn skip_header<'a>(&mut self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        if self.position > 0 || bytes.is_empty() {
            return Some(bytes);
        }
        let header = idempotency_log::header();
        let records = bytes.strip_prefix(header.as_slice())?;
        self.position += header.len() as u64;
        Some(records)
    }
}

#[cfg(test)]
mod tests;
