//! The other processes of this gateway, observed through their files in the shared folder.

use super::folder::{file_name, KEYS_PREFIX, PROCESS_PREFIX};
use super::keys::KeyReader;
use starlingplank_admin::process_lifecycle::Stage;
use starlingplank_persistence::deduplication_window::{Key, KeySend};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom};
use std::path::Path;

/// Maximum number of bytes that are read of a process's stage.
const MAX_STAGE_BYTES: u64 = 64;

/// Another process of this gateway. Owns the descriptors of its files.
#[derive(Debug)]
pub(super) struct Peer {
    /// File that the process keeps locked until it exits.
    process_file: File,
    pub(super) stage: Stage,
    /// Reader of the process's keys; `None` until the file of keys could be opened.
    keys: Option<KeyReader>,
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
        Ok(Self { process_file, stage: Stage::Starting, keys: None, state_passed: false })
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

    /// Returns the sends that the process has recorded since the last call.
    pub(super) fn read_new_sends(
        &mut self,
        folder: &Path,
        incarnation: u64,
        boot_id: [u8; 16],
    ) -> Vec<(Key, KeySend)> {
        let path = folder.join(file_name(KEYS_PREFIX, incarnation));
        if !self.keys.as_ref().is_some_and(|keys| keys.is_current(&path)) {
            self.keys = KeyReader::open(&path);
        }
        self.keys.as_mut().map_or_else(Vec::new, |keys| keys.read_new_sends(boot_id))
    }
}
