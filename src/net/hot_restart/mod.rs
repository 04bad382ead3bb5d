//! Hot restart: the folder that the processes of one gateway share. It tells which of them run and how far each is, and
//! holds operator overrides, the idempotency keys that were sent, and state that is passed to a successor. Each call here
//! takes microseconds, as `$TMPDIR` is in memory. What cannot be read costs its contents and a line in the log, never the
//! start.

mod folder;
mod keys;
mod overrides;
mod peers;
mod state_transfer;

pub use folder::{folder, SharedFolderError};
pub use overrides::{ChangeError, StoreOverridesError};

use crate::interface::Milliseconds;
use crate::net::log;
use folder::{
    create_new, create_private, file_name, incarnations, lock, lock_file, KEYS_PREFIX, LEARNED_PREFIX,
    MEMBERSHIP_PREFIX, PROCESS_PREFIX,
};
use keys::SharedKeys;
use overrides::SharedOverrides;
use peers::Peer;
use starlingplank_admin::operator_overrides::{OperatorOverrides, OverrideError};
use starlingplank_admin::process_lifecycle::{PeerProcess, Stage};
use starlingplank_persistence::boot_time::BootTime;
use starlingplank_persistence::clock_offset::ClockOffset;
use starlingplank_persistence::deduplication_window::{Key, KeySend, KeySends};
use starlingplank_storage::disk::Disk;
use starlingplank_storage::folder::Files;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use tracing::info;

/// How many processes of one gateway are observed; far more than ever run.
const MAX_PEERS: usize = 64;

/// What was observed of the other processes.
#[derive(Debug, Default)]
pub struct Observation {
    /// Operator overrides, if they have changed.
    pub overrides: Option<OperatorOverrides>,
    /// Keys that other processes have sent.
    pub keys: Vec<(Key, KeySends)>,
    /// Later processes that wait for this one's state.
    pub waiting_successors: Vec<u64>,
}

/// This process's side of the shared folder. Owns the lock on this process's file, which tells others that it runs, and the
/// descriptors of its peers' files.
#[derive(Debug)]
pub struct HotRestart {
    path: PathBuf,
    incarnation: u64,
    process_file: File,
    keys: SharedKeys,
    peers: BTreeMap<u64, Peer>,
    overrides: SharedOverrides,
}

impl HotRestart {
    /// Opens the folder as the latest process of the gateway.
    ///
    /// # Errors
    /// The folder cannot be created, locked or written, or is not private.
    pub fn open(path: &Path, now: Milliseconds) -> io::Result<Self> {
        create_private(path)?;
        let _lock = lock(path)?;
        let earlier = incarnations(path)?;
        let incarnation = earlier.last().map_or(1, |latest| latest.saturating_add(1));
        let process_file = create_new(&path.join(file_name(PROCESS_PREFIX, incarnation)))?;
        lock_file(&process_file)?;
        let boot = BootTime::read();
        let offset = ClockOffset { by: boot.now - now, boot_id: boot.boot_id.unwrap_or_default() };
        let keys_file = create_new(&path.join(file_name(KEYS_PREFIX, incarnation)))?;
        let mut hot_restart = Self {
            path: path.to_owned(),
            incarnation,
            process_file,
            keys: SharedKeys::new(path, incarnation, keys_file, offset),
            peers: BTreeMap::new(),
            overrides: SharedOverrides::new(path),
        };
        hot_restart.publish_stage(Stage::Starting)?;
        hot_restart.keys.rewrite(now)?;
        hot_restart.add_peers(earlier);
        hot_restart.overrides.refresh();
        Ok(hot_restart)
    }

    /// This process's number: the later of two processes has the higher one.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The other running processes.
    pub fn peers(&self) -> Vec<PeerProcess> {
        let process =
            |(incarnation, peer): (&u64, &Peer)| PeerProcess { incarnation: *incarnation, stage: peer.stage };
        self.peers.iter().map(process).collect()
    }

    /// The operator overrides in force.
    pub fn overrides(&self) -> &OperatorOverrides {
        self.overrides.current()
    }

    /// Tells other processes how far this one is.
    ///
    /// # Errors
    /// The stage cannot be written.
    pub fn publish_stage(&self, stage: Stage) -> io::Result<()> {
        self.process_file.write_all_at(stage.file_text().as_bytes(), 0)
    }

    /// Adds the processes that are not known yet. Past the bound the oldest are left out: they ended long ago, or their files
    /// are not of this program.
    fn add_peers(&mut self, incarnations: Vec<u64>) {
        for incarnation in incarnations.into_iter().rev().take(MAX_PEERS) {
            if incarnation == self.incarnation || self.peers.contains_key(&incarnation) {
                continue;
            }
            match Peer::open(&self.path, incarnation) {
                Ok(peer) => {
                    self.peers.insert(incarnation, peer);
                }
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                Err(error) => {
                    log::error_rate_limited("another process of this gateway cannot be observed", error);
                }
            }
        }
    }

    /// Observes the other processes.
    pub fn observe(&mut self, now: Milliseconds) -> Observation {
        match incarnations(&self.path) {
            Ok(incarnations) => self.add_peers(incarnations),
            Err(error) => {
                log::error_rate_limited("the folder shared with other processes cannot be read", error);
            }
        }
        // Keys are read before it is checked which processes have ended, so that the last ones are not missed.
        let mut keys = self.peer_keys(now);
        let mut waiting_successors = Vec::new();
        let mut ended = Vec::new();
        for (incarnation, peer) in &mut self.peers {
            peer.update_stage();
            if peer.has_ended() {
                ended.push(*incarnation);
            } else if *incarnation > self.incarnation && peer.stage == Stage::Starting && !peer.state_passed {
                peer.state_passed = true;
                waiting_successors.push(*incarnation);
            }
        }
        if !ended.is_empty() {
            keys.extend(self.take_over_ended(ended, now));
        }
        let overrides = self.overrides.refresh().then(|| self.overrides.current().clone());
        Observation { overrides, keys, waiting_successors }
    }

    /// Takes over from processes that have ended. A process that has just created its file holds the folder's lock until it
    /// has locked the file, so that it is checked again under that lock.
    fn take_over_ended(&mut self, mut ended: Vec<u64>, now: Milliseconds) -> Vec<(Key, KeySends)> {
        let Ok(_lock) = lock(&self.path) else { return Vec::new() };
        ended.retain(|incarnation| self.peers.get(incarnation).is_some_and(Peer::has_ended));
        let keys = self.peer_keys(now);
        for incarnation in ended {
            self.remove_ended(incarnation, now);
        }
        keys
    }

    /// Forgets a process that has ended, and removes its files. Its keys are written to this process's file before.
    fn remove_ended(&mut self, incarnation: u64, now: Milliseconds) {
        self.peers.remove(&incarnation);
        if let Err(error) = self.keys.rewrite(now) {
            return log::error_rate_limited("the keys of an ended process cannot be taken over yet", error);
        }
        // Prefixes, so that half-written files and those for successors are removed as well.
        let prefixes = [KEYS_PREFIX, LEARNED_PREFIX, MEMBERSHIP_PREFIX, PROCESS_PREFIX]
            .map(|prefix| file_name(prefix, incarnation));
        for name in Files::new(&self.path).names().unwrap_or_default() {
            if prefixes.iter().any(|prefix| name.starts_with(prefix)) {
                let _ = std::fs::remove_file(self.path.join(name));
            }
        }
    }

    /// Keys that other processes have sent since the last call.
    pub fn peer_keys(&mut self, now: Milliseconds) -> Vec<(Key, KeySends)> {
        let mut keys = Vec::new();
        for (incarnation, peer) in &mut self.peers {
            for (key, send) in peer.read_new_sends(&self.path, *incarnation, self.keys.boot_id()) {
                if let Some(sends) = self.keys.merge(key, send, now) {
                    keys.push((key, sends));
                }
            }
        }
        keys
    }

    /// Records that a key is about to be sent.
    ///
    /// # Errors
    /// The send is not recorded; it must not take place.
    pub fn record(&mut self, key: Key, send: KeySend) -> io::Result<()> {
        self.keys.record(key, send)
    }

    /// Changes the operator overrides for this process and its successors. Returns them if the call changed something.
    ///
    /// # Errors
    /// The call is not valid, or the change cannot be stored.
    pub fn change_overrides(
        &mut self,
        change: impl FnOnce(&mut OperatorOverrides) -> Result<bool, OverrideError>,
    ) -> Result<Option<OperatorOverrides>, ChangeError> {
        self.overrides.change(change)
    }

    /// Logs what was found in the folder.
    pub fn log_opened(&self) {
        let peers: Vec<_> = self.peers.keys().collect();
        let excluded: Vec<_> = self.overrides().excluded().collect();
        info!(incarnation = self.incarnation, ?peers, ?excluded, "shared folder opened");
    }
}
