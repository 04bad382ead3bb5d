//! The other processes of this gateway, observed through their files in the shared folder.

use super::folder::{file_name, KEYS_PREFIX, PROCESS_PREFIX, REQUESTS_PREFIX};
use super::keys::KeyReader;
use starlingplank_admin::process_lifecycle::Stage;
use starlingplank_persistence::deduplication_window::{Key, KeySend};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

/// Maximum number of bytes that are read of a process's stage.
const MAX_STAGE_BYTES: u64 = 64;

/// Another process of this gateway. Owns the descriptors of its files.
#[derive(Debug)]
pub(super) struct Peer {
    /// File that the process keeps locked until it exits.
    process_file: File,
    pub(super) stage: Stage,
    /// Reader of the process's keys.
    keys: PeerSends,
    /// Reader of the process's requests that must not run twice.
    requests: PeerSends,
    /// Whether the observing process has passed its state to this peer.
    pub(super) state_passed: bool,
}

impl Peer {
    /// Opens the file of a process. Its stage counts as starting until it is first read.
    ///
    /// # Errors
    /// The process's file cannot be opened.
    pub(super) fn open(folder: &Path, incarnation: u64) -> io::Result<Self> {
        let path = folder.join(file_name(PROCESS_PREFIX, incarnation));
        let process_file = OpenOptions::new().read(true).open(path)?;
        let sends = |prefix| PeerSends { path: folder.join(file_name(prefix, incarnation)), reader: None };
        let (keys, requests) = (sends(KEYS_PREFIX), sends(REQUESTS_PREFIX));
        Ok(Self { process_file, stage: Stage::Starting, keys, requests, state_passed: false })
    }

    /// Returns whether the process has exited: its file is then not locked. If this check obtains the lock, it is released
    /// immediately.
    pub(super) fn has_exited(&self) -> bool {
        let unlocked = self.process_file.try_lock().is_ok();
        if unlocked {
            let _ = self.process_file.unlock();
        }
        unlocked
    }

    /// Reads the process's stage. A stage that cannot be read counts as starting.
    pub(super) fn update_stage(&mut self) {
        self.stage = self.read_stage_text().map_or(Stage::Starting, |text| Stage::read(&text));
    }

    fn read_stage_text(&mut self) -> io::Result<String> {
        let mut text = String::new();
        self.process_file.seek(SeekFrom::Start(0))?;
        (&mut self.process_file).take(MAX_STAGE_BYTES).read_to_string(&mut text)?;
        Ok(text)
    }

    /// Returns the sends of keys that the process has recorded since the last call.
    pub(super) fn read_new_keys(&mut self, boot_id: [u8; 16]) -> Vec<(Key, KeySend)> {
        self.keys.read_new(boot_id)
    }

    /// Returns the sends of requests that must not run twice which the process has recorded since the last call.
    pub(super) fn read_new_requests(&mut self, boot_id: [u8; 16]) -> Vec<(Key, KeySend)> {
        self.requests.read_new(boot_id)
    }
}

/// A file in which another process records its sends.
#[derive(Debug)]
struct PeerSends {
    path: PathBuf,
    /// `None` until the file could be opened.
    reader: Option<KeyReader>,
}

impl PeerSends {
    fn read_new(&mut self, boot_id: [u8; 16]) -> Vec<(Key, KeySend)> {
        if !self.reader.as_ref().is_some_and(|reader| reader.is_current(&self.path)) {
            self.reader = KeyReader::open(&self.path);
        }
        self.reader.as_mut().map_or_else(Vec::new, |reader| reader.read_new_sends(boot_id))
    }
}
