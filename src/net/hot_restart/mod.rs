//! Hot restart: the folder that the processes of one gateway share. It shows which processes run and at which stage each one
//! is, and stores operator overrides, the idempotency keys that were sent, and state that is passed to a successor. Each call
//! here takes microseconds, as `$TMPDIR` is in memory. A file that cannot be read is logged and its contents are ignored; it
//! never prevents the start.

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
    create_new, create_private, file_name, incarnations, lock, lock_file, passed_suffix, KEYS_PREFIX,
    LEARNED_PREFIX, MEMBERSHIP_PREFIX, PROCESS_PREFIX, REQUESTS_PREFIX,
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

/// Maximum number of other processes that are observed at once; far more than ever run.
const MAX_PEERS: usize = 64;

/// Sends of other processes, by key or identity.
type PeerSends = Vec<(Key, KeySends)>;

/// Changes observed since the last poll of the other processes.
#[derive(Debug, Default)]
pub struct Observation {
    /// The operator overrides, if they have changed.
    pub overrides: Option<OperatorOverrides>,
    /// Idempotency keys that other processes have sent.
    pub keys: Vec<(Key, KeySends)>,
    /// Identities of requests that other processes have sent and that must not run twice.
    pub requests: Vec<(Key, KeySends)>,
    /// Incarnations of later processes that wait for this process's state.
    pub waiting_successors: Vec<u64>,
}

/// This process's access to the shared folder. Owns the lock on this process's file, which shows other processes that it
/// runs, and the descriptors of its peers' files.
#[derive(Debug)]
pub struct HotRestart {
    path: PathBuf,
    incarnation: u64,
    process_file: File,
    keys: SharedKeys,
    /// Requests that must not run twice, by their identities.
    requests: SharedKeys,
    peers: BTreeMap<u64, Peer>,
    overrides: SharedOverrides,
}

impl HotRestart {
    /// Opens the folder, and registers this process in it with the highest incarnation.
    ///
    /// # Errors
    /// The folder cannot be created, locked or written, or users other than its owner have access to it.
    pub fn open(path: &Path, now: Milliseconds) -> io::Result<Self> {
        create_private(path)?;
        let _lock = lock(path)?;
        let earlier = incarnations(path)?;
        let incarnation = earlier.last().map_or(1, |latest| latest.saturating_add(1));
        let process_file = create_new(&path.join(file_name(PROCESS_PREFIX, incarnation)))?;
        lock_file(&process_file)?;
        let boot = BootTime::read();
        let offset = ClockOffset { by: boot.now - now, boot_id: boot.boot_id.unwrap_or_default() };
        let shared_keys = |prefix| -> io::Result<SharedKeys> {
            let name = file_name(prefix, incarnation);
            let file = create_new(&path.join(&name))?;
            Ok(SharedKeys::new(path, name, file, offset))
        };
        let mut hot_restart = Self {
            path: path.to_owned(),
            incarnation,
            process_file,
            keys: shared_keys(KEYS_PREFIX)?,
            requests: shared_keys(REQUESTS_PREFIX)?,
            peers: BTreeMap::new(),
            overrides: SharedOverrides::new(path),
        };
        hot_restart.publish_stage(Stage::Starting)?;
        hot_restart.keys.rewrite(now)?;
        hot_restart.requests.rewrite(now)?;
        hot_restart.add_peers(earlier);
        hot_restart.overrides.refresh();
        Ok(hot_restart)
    }

    /// The number of this process: a process that started later has a higher number.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The other running processes of this gateway.
    pub fn peers(&self) -> Vec<PeerProcess> {
        let process =
            |(incarnation, peer): (&u64, &Peer)| PeerProcess { incarnation: *incarnation, stage: peer.stage };
        self.peers.iter().map(process).collect()
    }

    /// The operator overrides in force.
    pub fn overrides(&self) -> &OperatorOverrides {
        self.overrides.current()
    }

    /// Publishes this process's stage to the other processes.
    ///
    /// # Errors
    /// The stage cannot be written.
    pub fn publish_stage(&self, stage: Stage) -> io::Result<()> {
        self.process_file.write_all_at(stage.file_text().as_bytes(), 0)
    }

    /// Opens the files of processes that are not known yet. Above [`MAX_PEERS`] the oldest are ignored: they exited long ago, or
    /// their files belong to another program.
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
                    log::error_rate_limited(
                        "a file of another process cannot be opened; retrying at the next poll",
                        error,
                    );
                }
            }
        }
    }

    /// Polls the other processes: opens files of new ones, and takes over from those that have exited.
    pub fn observe(&mut self, now: Milliseconds) -> Observation {
        match incarnations(&self.path) {
            Ok(incarnations) => self.add_peers(incarnations),
            Err(error) => {
                log::error_rate_limited(
                    "the folder shared with other processes cannot be read; retrying at the next poll",
                    error,
                );
            }
        }
        // Keys are read before checking which processes have exited, so that a process's last keys are not missed.
        let mut keys = self.peer_keys(now);
        let mut requests = self.peer_requests(now);
        let mut waiting_successors = Vec::new();
        let mut exited = Vec::new();
        for (incarnation, peer) in &mut self.peers {
            peer.update_stage();
            if peer.has_exited() {
                exited.push(*incarnation);
            } else if *incarnation > self.incarnation && peer.stage == Stage::Starting && !peer.state_passed {
                peer.state_passed = true;
                waiting_successors.push(*incarnation);
            }
        }
        if !exited.is_empty() {
            let (last_keys, last_requests) = self.take_over_exited(exited, now);
            keys.extend(last_keys);
            requests.extend(last_requests);
        }
        self.overrides.refresh();
        Observation { overrides: self.overrides.take_unreported(), keys, requests, waiting_successors }
    }

    /// Takes over the keys and requests of processes that have exited, and returns those that were not read before. A process that has just
    /// created its file holds the folder's lock until it has locked that file, so the check is repeated under the folder's lock.
    fn take_over_exited(&mut self, mut exited: Vec<u64>, now: Milliseconds) -> (PeerSends, PeerSends) {
        let Ok(_lock) = lock(&self.path) else { return (Vec::new(), Vec::new()) };
        exited.retain(|incarnation| self.peers.get(incarnation).is_some_and(Peer::has_exited));
        let (keys, requests) = (self.peer_keys(now), self.peer_requests(now));
        for incarnation in exited {
            self.remove_exited(incarnation, now);
        }
        (keys, requests)
    }

    /// Removes a process that has exited and its files, after its keys are written to this process's file.
    fn remove_exited(&mut self, incarnation: u64, now: Milliseconds) {
        self.peers.remove(&incarnation);
        let rewritten = self.keys.rewrite(now).and_then(|()| self.requests.rewrite(now));
        if let Err(error) = rewritten {
            return log::error_rate_limited(
                "the keys of a process that has exited cannot be taken over; retrying at the next poll",
                error,
            );
        }
        // The names are matched as prefixes, so that temporary files and files for successors are removed as well. Files for this
        // process are removed, as the next process may have its number.
        let passed = passed_suffix(incarnation);
        let prefixes = [KEYS_PREFIX, REQUESTS_PREFIX, LEARNED_PREFIX, MEMBERSHIP_PREFIX, PROCESS_PREFIX]
            .map(|prefix| file_name(prefix, incarnation));
        for name in Files::new(&self.path).names().unwrap_or_default() {
            if prefixes.iter().any(|prefix| name.starts_with(prefix)) || name.ends_with(&passed) {
                let _ = std::fs::remove_file(self.path.join(name));
            }
        }
    }

    /// Returns the keys that other processes have sent since the last call.
    pub fn peer_keys(&mut self, now: Milliseconds) -> PeerSends {
        let boot_id = self.keys.boot_id();
        let sends = self.peers.values_mut().flat_map(|peer| peer.read_new_keys(boot_id));
        sends.filter_map(|(key, send)| Some((key, self.keys.merge(key, send, now)?))).collect()
    }

    /// Returns the requests that other processes have sent since the last call and that must not run twice.
    pub fn peer_requests(&mut self, now: Milliseconds) -> PeerSends {
        let boot_id = self.requests.boot_id();
        let sends = self.peers.values_mut().flat_map(|peer| peer.read_new_requests(boot_id));
        sends.filter_map(|(key, send)| Some((key, self.requests.merge(key, send, now)?))).collect()
    }

    /// Records that a request is about to be sent that must not run twice.
    ///
    /// # Errors
    /// The record cannot be written; the request must not be sent.
    pub fn record_request(&mut self, identity: Key, send: KeySend) -> io::Result<()> {
        self.requests.record(identity, send)
    }

    /// Records that a key is about to be sent.
    ///
    /// # Errors
    /// The record cannot be written; the key must not be sent.
    pub fn record(&mut self, key: Key, send: KeySend) -> io::Result<()> {
        self.keys.record(key, send)
    }

    /// Changes the operator overrides for this process and its successors. Returns the overrides if they differ from those that
    /// were returned before, by this function or by [`observe`](Self::observe).
    ///
    /// # Errors
    /// The change is not valid or cannot be stored.
    pub fn change_overrides(
        &mut self,
        change: impl FnOnce(&mut OperatorOverrides) -> Result<bool, OverrideError>,
    ) -> Result<Option<OperatorOverrides>, ChangeError> {
        self.overrides.change(change)?;
        Ok(self.overrides.take_unreported())
    }

    /// Logs this process's incarnation, the other processes and the excluded engines found in the folder.
    pub fn log_opened(&self) {
        let peers: Vec<_> = self.peers.keys().collect();
        let excluded: Vec<_> = self.overrides().excluded().collect();
        info!(incarnation = self.incarnation, ?peers, ?excluded, "shared folder opened");
    }
}
