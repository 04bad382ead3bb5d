//! Exchange of idempotency keys, and of the identities of requests that must not run twice, between processes: each process appends its
//! sends to its own files and reads the files of the other processes.

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

/// Number of records, about 80 KiB, after which the file is rewritten.
const REWRITE_AFTER_RECORDS: usize = 2_048;
/// Number of records for each key in the file after which it is rewritten, if that is more.
const MAX_RECORDS_PER_KEY: usize = 4;
/// Maximum number of bytes of another process's file that are read at a time.
const MAX_READ_BYTES: u64 = 8 << 20;

/// The keys that all processes have sent. Owns the file of this process's keys.
#[derive(Debug)]
pub(super) struct SharedKeys {
    folder: PathBuf,
    /// Name of the file.
    name: String,
    file: File,
    /// Number of records in the file.
    records: usize,
    /// Number of keys in the file when it was last rewritten.
    rewritten_keys: usize,
    /// Whether the file may end with an incomplete record because a write failed.
    may_end_in_partial_record: bool,
    /// Keys whose deduplication window may not have ended, with times of this process's clock.
    tracked: HashMap<Key, KeySends>,
    offset: ClockOffset,
}

impl SharedKeys {
    pub(super) fn new(folder: &Path, name: String, file: File, offset: ClockOffset) -> Self {
        let (folder, tracked) = (folder.to_owned(), HashMap::new());
        Self {
            folder,
            name,
            file,
            records: 0,
            rewritten_keys: 0,
            may_end_in_partial_record: false,
            tracked,
            offset,
        }
    }

    /// Returns the id of the boot from which stored times count.
    pub(super) fn boot_id(&self) -> [u8; 16] {
        self.offset.boot_id
    }

    /// Records that a key is about to be sent.
    ///
    /// # Errors
    /// The record cannot be written; the key must not be sent.
    pub(super) fn record(&mut self, key: Key, send: KeySend) -> io::Result<()> {
        let previous = self.tracked.get(&key).copied();
        self.tracked.insert(key, previous.map_or(KeySends::single(send), |sends| sends.with(send)));
        let written = self.write(key, send);
        if written.is_err() {
            // The key is not sent, so its window does not begin for any process.
            match previous {
                Some(sends) => self.tracked.insert(key, sends),
                None => self.tracked.remove(&key),
            };
        }
        written
    }

    /// Appends a record. Instead, the file is rewritten if it has reached its maximum length or may end with an incomplete
    /// record, at which readers stop.
    fn write(&mut self, key: Key, send: KeySend) -> io::Result<()> {
        let max_records = REWRITE_AFTER_RECORDS.max(MAX_RECORDS_PER_KEY * self.rewritten_keys);
        if self.may_end_in_partial_record || self.records >= max_records {
            return self.rewrite(send.at);
        }
        let record = Record::KeySend(key, self.offset.stored_send(send));
        let written = self.file.write_all(&record.bytes());
        self.may_end_in_partial_record = written.is_err();
        written?;
        self.records += 1;
        Ok(())
    }

    /// Replaces the file with one that contains a mark and all keys whose window has not ended.
    ///
    /// # Errors
    /// The new file cannot be written or opened.
    pub(super) fn rewrite(&mut self, now: Milliseconds) -> io::Result<()> {
        self.tracked.retain(|_, sends| now < sends.end());
        let mark = Mark { at: self.offset.by + now, blocked_until: None, boot_id: self.offset.boot_id };
        let mut bytes = idempotency_log::header().to_vec();
        bytes.extend(Record::Mark(mark).bytes());
        for (key, sends) in &self.tracked {
            let stored = self.offset.stored_sends(*sends);
            bytes.extend(Record::for_sends(*key, &stored).flat_map(|record| record.bytes()));
        }
        disk::replace(&mut Files::new(&self.folder), &self.name, &bytes)?;
        self.file = OpenOptions::new().append(true).open(self.folder.join(&self.name))?;
        self.records = 2 * self.tracked.len();
        self.rewritten_keys = self.tracked.len();
        self.may_end_in_partial_record = false;
        Ok(())
    }

    /// Merges a send of another process with the tracked sends of its key. Returns all sends of the key, or `None` if their
    /// window has ended.
    pub(super) fn merge(&mut self, key: Key, stored: KeySend, now: Milliseconds) -> Option<KeySends> {
        let sends = self.offset.restored_sends(KeySends::single(stored));
        let send = KeySend { at: sends.first, window: sends.window };
        let merged = self.tracked.get(&key).map_or(sends, |tracked| tracked.with(send));
        if now >= merged.end() {
            return None;
        }
        self.tracked.insert(key, merged);
        Some(merged)
    }
}

/// Reads the sends that another process appends to its file. Owns the file's descriptor.
#[derive(Debug)]
pub(super) struct KeyReader {
    file: File,
    /// Offset of the first byte that has not been read.
    position: u64,
    /// Whether the last mark read, and thus the sends that follow it, belong to another boot.
    is_of_other_boot: bool,
}

impl KeyReader {
    pub(super) fn open(path: &Path) -> Option<Self> {
        File::open(path).ok().map(|file| Self { file, position: 0, is_of_other_boot: false })
    }

    /// Returns whether `path` still refers to the open file: a rewrite replaces the file by a new one of the same name. If the
    /// metadata cannot be read, the file is assumed to be the same.
    pub(super) fn is_current(&self, path: &Path) -> bool {
        let Ok(open) = self.file.metadata() else { return true };
        let Ok(named) = std::fs::metadata(path) else { return true };
        open.ino() == named.ino()
    }

    /// Returns the sends that were appended since the last call. Records of another boot are skipped, as their times cannot be
    /// compared with this boot's.
    pub(super) fn read_new_sends(&mut self, boot_id: [u8; 16]) -> Vec<(Key, KeySend)> {
        let mut sends = Vec::new();
        let bytes = self.read_new_bytes().unwrap_or_default();
        let Some(records) = self.skip_header(&bytes) else { return sends };
        // Reading stops at a record that is incomplete or damaged: an incomplete one is read after its writer has completed it,
        // a damaged one never.
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

    /// Returns the records in `bytes`, after the header at the start of the file. `None` if the header is not valid: the file
    /// was just created, or another release wrote it.
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
