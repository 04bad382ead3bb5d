//! Snapshots of the decision module's learned state: restored at the start and written by a thread.

use super::statistics::SharedWriterState;
use crate::interface::Milliseconds;
use starlingplank_persistence::recovery::{RecoverySettings, RestoredState};
use starlingplank_persistence::snapshot_store::LoadedSnapshot;
use starlingplank_persistence::writers::SnapshotEvent;
use std::path::Path;
use tracing::{info, warn};

/// Restores the latest valid snapshot if the rules accept it. Invalid files and the result are logged.
pub(super) fn restore(
    folder: &Path,
    loaded: LoadedSnapshot,
    settings: RecoverySettings,
    now: Milliseconds,
) -> Option<RestoredState> {
    for fault in &loaded.faults {
        warn!(folder = %folder.display(), file = fault.file, reason = fault.reason, "stored file is invalid and is ignored");
    }
    let restored = restore_snapshot(loaded, settings, now);
    if restored.is_none() {
        info!("starting without a snapshot");
    }
    restored
}

fn restore_snapshot(
    loaded: LoadedSnapshot,
    settings: RecoverySettings,
    now: Milliseconds,
) -> Option<RestoredState> {
    let (generation, snapshot) = loaded.snapshot?;
    match RestoredState::new(&snapshot, now, settings) {
        Ok(restored) => {
            let (engines, age) = (snapshot.engines.len(), now - snapshot.taken_at);
            info!(generation, engines, age_s = %format_args!("{:.1}", age / 1000.0), "snapshot restored");
            Some(restored)
        }
        Err(reason) => {
            warn!(generation, %reason, "snapshot rejected");
            None
        }
    }
}

/// Updates the statistics after a snapshot was written or failed. Failures are logged when they begin and end, not for each
/// snapshot.
pub(super) fn on_snapshot_event(event: &SnapshotEvent, state: &SharedWriterState) {
    let mut state = state.lock();
    match event {
        SnapshotEvent::Saved(statistics) => {
            state.snapshots = *statistics;
            if std::mem::replace(&mut state.snapshots_failing, false) {
                info!("snapshots are written again");
            }
        }
        SnapshotEvent::Failed(reason) => {
            if !std::mem::replace(&mut state.snapshots_failing, true) {
                warn!(reason, "snapshot cannot be written");
            }
        }
    }
}
