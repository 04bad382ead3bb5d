//! Transfer of state from a running process to a successor: learned state and membership.

use super::folder::{passed_file_name, LEARNED_PREFIX, MEMBERSHIP_PREFIX};
use super::HotRestart;
use crate::core::Core;
use crate::interface::Milliseconds;
use crate::limits::Limits;
use starlingplank_admin::inherited_membership::{InheritedMembership, MAX_FILE_BYTES};
use starlingplank_persistence::recovery::{RecoverySettings, RejectedSnapshot, RestoredState};
use starlingplank_persistence::snapshot;
use starlingplank_persistence::snapshot_records::Snapshot;
use starlingplank_storage::disk::{self, Disk};
use starlingplank_storage::folder::Files;
use starlingplank_storage::framed::FrameError;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tracing::{info, warn};

/// Interval at which the successor checks for the predecessor's learned state.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Reason why state cannot be passed on or taken over.
#[derive(Debug, Error)]
enum TransferError {
    /// The file cannot be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The bytes cannot be decoded, or the state is too large to be encoded.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The rules for restored state reject the learned state.
    #[error(transparent)]
    Rejected(#[from] RejectedSnapshot),
}

/// State that was received from a predecessor, and the time spent waiting for it.
struct ReceivedState {
    bytes: Vec<u8>,
    waited: Duration,
}

impl HotRestart {
    /// Writes this process's membership and learned state to files for a successor. `gateway` is the gateway's name. Failures
    /// are logged; the successor then starts without that state.
    pub fn pass_state_to(
        &self,
        successor: u64,
        gateway: &str,
        core: &Core,
        now: Milliseconds,
        limits: &Limits,
    ) {
        // The successor waits until the learned state exists, so that is written last.
        if let Some(membership) = core.membership_for_successor() {
            if let Err(reason) = self.pass_membership(successor, &membership) {
                warn!(successor, %reason, "membership cannot be passed to the new process");
            }
        }
        let learned = Snapshot::new(gateway, &core.learned(now), &core.addresses());
        match self.pass_learned(successor, &learned, limits) {
            Ok(()) => info!(successor, "learned state passed to the new process"),
            Err(reason) => warn!(successor, %reason, "learned state cannot be passed to the new process"),
        }
    }

    fn pass_membership(&self, to: u64, membership: &InheritedMembership) -> Result<(), TransferError> {
        let name = passed_file_name(MEMBERSHIP_PREFIX, self.incarnation, to);
        let bytes = membership.encode()?;
        Ok(disk::replace(&mut Files::new(&self.path), &name, &bytes)?)
    }

    fn pass_learned(&self, to: u64, learned: &Snapshot, limits: &Limits) -> Result<(), TransferError> {
        let bytes = snapshot::encode(learned, limits.max_inherited_state_bytes)?;
        let name = passed_file_name(LEARNED_PREFIX, self.incarnation, to);
        Ok(disk::replace(&mut Files::new(&self.path), &name, &bytes)?)
    }

    /// Waits for the learned state of the latest predecessor. `None` if no predecessor runs, or if its state did not arrive in
    /// time or is not accepted.
    pub async fn inherit_learned(
        &mut self,
        now: Milliseconds,
        settings: RecoverySettings,
        limits: &Limits,
    ) -> Option<RestoredState> {
        let (predecessor, _) = self.peers.range(..self.incarnation).next_back()?;
        let name = passed_file_name(LEARNED_PREFIX, *predecessor, self.incarnation);
        let received = match self.receive(&name, limits).await {
            Ok(Some(received)) => received,
            Ok(None) => {
                info!(
                    predecessor,
                    "learned state of the predecessor did not arrive in time: starting without it"
                );
                return None;
            }
            Err(reason) => {
                warn!(predecessor, %reason, "learned state of the predecessor cannot be read");
                return None;
            }
        };
        let _ = std::fs::remove_file(self.path.join(&name));
        let now = now + received.waited.as_secs_f64() * 1000.0;
        match restore(&received.bytes, now, settings) {
            Ok(restored) => {
                let bytes = received.bytes.len();
                info!(predecessor, bytes, "learned state of the predecessor taken over");
                Some(restored)
            }
            Err(reason) => {
                warn!(predecessor, %reason, "learned state of the predecessor cannot be used");
                None
            }
        }
    }

    /// Waits until a file exists, and reads it. `None` if the file does not appear in time.
    async fn receive(&self, name: &str, limits: &Limits) -> io::Result<Option<ReceivedState>> {
        let mut waited = Duration::ZERO;
        loop {
            let read = Files::new(&self.path).read(name, limits.max_inherited_state_bytes as u64)?;
            if let Some(bytes) = read {
                return Ok(Some(ReceivedState { bytes, waited }));
            }
            if waited >= limits.inherited_state_wait {
                return Ok(None);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
        }
    }

    /// Returns the membership that the latest predecessor has passed on. A predecessor that is itself starting has passed on
    /// none; in that case the membership of the predecessor before it is used.
    pub fn inherit_membership(&self) -> Option<InheritedMembership> {
        let predecessors = self.peers.range(..self.incarnation).rev();
        predecessors.into_iter().find_map(|(predecessor, _)| self.inherit_membership_of(*predecessor))
    }

    fn inherit_membership_of(&self, predecessor: u64) -> Option<InheritedMembership> {
        let name = passed_file_name(MEMBERSHIP_PREFIX, predecessor, self.incarnation);
        let bytes = Files::new(&self.path).read(&name, MAX_FILE_BYTES);
        let _ = std::fs::remove_file(self.path.join(&name));
        match decode_membership(bytes) {
            Ok(membership) => membership,
            Err(reason) => {
                warn!(predecessor, %reason, "membership of the predecessor cannot be used");
                None
            }
        }
    }
}

fn decode_membership(
    bytes: io::Result<Option<Vec<u8>>>,
) -> Result<Option<InheritedMembership>, TransferError> {
    let Some(bytes) = bytes? else { return Ok(None) };
    Ok(Some(InheritedMembership::decode(&bytes)?))
}

fn restore(
    bytes: &[u8],
    now: Milliseconds,
    settings: RecoverySettings,
) -> Result<RestoredState, TransferError> {
    Ok(RestoredState::new(&snapshot::decode(bytes)?, now, settings)?)
}
