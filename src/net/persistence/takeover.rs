//! A folder that another process of this gateway has locked: it is followed while that process runs, and taken over once
//! it has ended.

use super::error::PersistenceError;
use super::idempotency_log::{
    self, markers_of_ended_processes, LogCoverage, RecoveredLog, UnrecordedSendsMarker,
};
use super::{longest_window, Persistence};
use crate::config::{Config, PersistenceSettings};
use crate::core::{Core, Event};
use crate::interface::Milliseconds;
use starlingplank_persistence::deduplication_window::{DeduplicationWindow, LogState};
use starlingplank_persistence::folder::{Files, Folder, FolderError};
use starlingplank_persistence::snapshot_store::{self, SnapshotStore};
use tokio::sync::mpsc::Sender;
use tracing::{error, info};

/// A folder that was taken over, with its idempotency log if requests are keyed.
struct TakenOver {
    folder: Folder,
    log: Option<RecoveredLog>,
}

impl Persistence {
    /// Whether this process waits for another one to release the folder.
    pub fn awaits_folder(&self) -> bool {
        self.awaits_folder
    }

    /// Sends keyed requests while another process of this gateway has the folder: as that process's log allows, each
    /// recorded where both look. Where the folder is required they wait for it.
    pub fn use_owner_log(&mut self, config: &Config, core: &mut Core, now: Milliseconds) {
        let Some(settings) = &config.knowledge else { return };
        if !self.awaits_folder || !settings.logs_keys || settings.required {
            return;
        }
        let files = Files::new(&settings.folder);
        if !self.owns_snapshot_in(&files, settings) {
            return error!(
                folder = %settings.folder.display(),
                gateway = config.name,
                "keyed requests are rejected until the folder is free: no snapshot in it is of this gateway"
            );
        }
        // Before the first keyed request: a later process that finds this file, but not what was sent, waits.
        match UnrecordedSendsMarker::create(&settings.folder) {
            Ok(marker) => self.marker = Some(marker),
            Err(reason) => {
                return error!(
                    folder = %settings.folder.display(),
                    %reason,
                    "keyed requests are rejected until the folder is free: it cannot be written"
                )
            }
        }
        let window = longest_window(config);
        let recovered = RecoveredLog::read(&files, LogCoverage::OwnersSends, window, now);
        recovered.log_outcome(window);
        let state = if recovered.log.is_ok() { LogState::Off } else { LogState::Missing };
        let mut deduplication = DeduplicationWindow::new(state, window, settings.max_keys, now);
        if let Ok(trusted) = recovered.log {
            deduplication.restore(trusted, now);
        }
        core.resume(deduplication, None);
    }

    /// Whether the latest snapshot in the folder is of this gateway. Each process writes one every second and one as it
    /// ends.
    fn owns_snapshot_in(&self, files: &Files, settings: &PersistenceSettings) -> bool {
        let loaded = snapshot_store::load(files, settings.max_snapshot_bytes).ok();
        loaded
            .and_then(|loaded| loaded.snapshot)
            .is_some_and(|(_, snapshot)| snapshot.gateway == self.gateway)
    }

    /// No other process of this gateway runs: the folder belongs to another gateway, whose log holds only its own sends. No
    /// keyed request is sent, and no state is stored.
    ///
    /// # Errors
    /// The folder is required.
    pub fn serve_without_folder(&mut self, config: &Config) -> Result<(), PersistenceError> {
        self.awaits_folder = false;
        let Some(settings) = &config.knowledge else { return Ok(()) };
        let reason = FolderError::Locked { path: settings.folder.clone() };
        if settings.required {
            return Err(PersistenceError::Required(reason));
        }
        if settings.logs_keys && longest_window(config) > 0.0 {
            error!(%reason, "serving without persistent state and rejecting all keyed requests");
        } else {
            error!(%reason, "serving without persistent state");
        }
        Ok(())
    }

    /// Takes the folder over once the process that had it has ended. Returns whether it was taken over. A failure is logged
    /// once; the caller tries again.
    pub fn take_over(
        &mut self,
        config: &Config,
        core: &mut Core,
        now: Milliseconds,
        events: &Sender<Event>,
    ) -> bool {
        let Some(settings) = &config.knowledge else { return false };
        let folder = match Folder::open(&settings.folder) {
            Err(FolderError::Locked { .. }) => return false,
            opened => opened,
        };
        let taken = folder
            .map_err(PersistenceError::Folder)
            .and_then(|folder| self.start_writers(folder, config, settings, now, events));
        let path = settings.folder.display();
        match taken {
            Ok(TakenOver { folder, log }) => {
                info!(folder = %path, "the previous process has ended: its folder is taken over");
                if let Some(recovered) = log {
                    recovered.log_outcome(longest_window(config));
                    core.adopt_log(settings.required, recovered.log.ok(), now);
                }
                self.folder = Some(folder);
                self.awaits_folder = false;
                true
            }
            Err(reason) => {
                self.snapshots = None;
                self.endpoints = None;
                self.keys = None;
                if !std::mem::replace(&mut self.takeover_failing, true) {
                    error!(folder = %path, %reason, "the folder cannot be taken over yet");
                }
                false
            }
        }
    }

    fn start_writers(
        &mut self,
        folder: Folder,
        config: &Config,
        settings: &PersistenceSettings,
        now: Milliseconds,
        events: &Sender<Event>,
    ) -> Result<TakenOver, PersistenceError> {
        let disk = folder.disk().closing_written_files();
        let (store, _) = SnapshotStore::open(Box::new(disk), settings.max_snapshot_bytes)?;
        let window = longest_window(config);
        // A process that rejected all keyed requests knows of none that were sent without a record.
        let coverage = if self.marker.is_some() { LogCoverage::OwnersSends } else { LogCoverage::AllSends };
        let keyed = settings.logs_keys && window > 0.0;
        let log = keyed.then(|| RecoveredLog::read(&folder.disk(), coverage, window, now));
        self.start_state_writers(&folder, store)?;
        if let Some(recovered) = &log {
            let own_marker = self.marker.as_ref().map(|marker| marker.path().to_owned());
            let markers = markers_of_ended_processes(&folder).into_iter().chain(own_marker).collect();
            let writer = idempotency_log::start_writer(
                &folder,
                recovered.offset,
                events,
                &self.writer_state,
                markers,
            )?;
            self.keys = Some(writer);
        }
        Ok(TakenOver { folder, log })
    }
}
