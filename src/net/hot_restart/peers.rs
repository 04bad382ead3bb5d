//! The other processes of this gateway, as far as their files tell.

use super::folder::{file_name, KEYS_PREFIX, PROCESS_PREFIX};
use super::keys::KeyReader;
use starlingplank_admin::process_lifecycle::Stage;
use starlingplank_persistence::deduplication_window::{Key, KeySend};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom};
use std::path::Path;

/// Bound on what is read of a process's stage, in bytes.
const MAX_STAGE_BYTES: u64 = 64;

/// Another process of this gateway. Owns the descriptors of its files.
#[derive(Debug)]
pub(super) struct Peer {
    /// A file that the process has locked until it ends.
    process_file: File,
    pub(super) stage: Stage,
    /// Its keys; `None` until its file could be opened.
    keys: Option<KeyReader>,
    /// Whether this process's state was passed to it.
    pub(super) state_passed: bool,
}

impl Peer {
    /// # Errors
    /// The process's file cannot be opened.
    pub(super) fn open(folder: &Path, incarnation: u64) -> io::Result<Self> {
        let path = folder.join(file_name(PROCESS_PREFIX, incarnation));
        let process_file = OpenOptions::new().read(true).open(path)?;
        Ok(Self { process_file, stage: Stage::Starting, keys: None, state_passed: false })
    }

    /// Whether the process has ended: then nobody holds its lock. The lock is released at once.
    pub(super) fn has_ended(&self) -> bool {
        let unlocked = self.process_file.try_lock().is_ok();
        if unlocked {
            let _ = self.process_file.unlock();
        }
        unlocked
    }

    /// Reads the process's stage. One that cannot be read counts as starting.
    pub(super) fn update_stage(&mut self) {
        self.stage = self.read_stage_text().map_or(Stage::Starting, |text| Stage::read(&text));
    }

    fn read_stage_text(&mut self) -> io::Result<String> {
        let mut text = String::new();
        self.process_file.seek(SeekFrom::Start(0))?;
        (&mut self.process_file).take(MAX_STAGE_BYTES).read_to_string(&mut text)?;
        Ok(text)
    }

    /// The sends that the process has recorded since the last call.
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
