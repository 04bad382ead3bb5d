//! A folder that another process of this gateway has locked: its idempotency log is read while that process runs, and the
//! folder is taken over after it has exited.

use super::error::PersistenceError;
use super::idempotency_log::{
    self, markers_of_exited_processes, LogCoverage, RecoveredLog, UnrecordedSendsMarker,
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

/// A folder that was taken over, with its idempotency log if keyed requests are recorded.
struct TakenOverFolder {
    folder: Folder,
    log: Option<RecoveredLog>,
}

impl Persistence {
    /// Returns whether this process waits for another one to release the folder.
    pub fn awaits_folder(&self) -> bool {
        self.awaits_folder
    }

    /// Permits keyed requests while another process of this gateway owns the folder: that process's log is recovered, and each
    /// further send of either process is recorded in the shared folder. If the folder is required, keyed requests are rejected
    /// until this process has taken it over.
    pub fn use_owner_log(&mut self, config: &Config, core: &mut Core, now: Milliseconds) {
        let Some(settings) = &config.persistence else { return };
        if !self.awaits_folder || !settings.logs_keys || settings.required {
            return;
        }
        let files = Files::new(&settings.folder);
        if !self.owns_snapshot_in(&files, settings) {
            return error!(
                folder = %settings.folder.display(),
                gateway = config.name,
                "keyed requests are rejected until the folder is released: its latest snapshot is missing or belongs to another gateway"
            );
        }
        // The marker must exist before the first keyed request is sent: a later process that finds it without knowing these
        // sends distrusts the log and waits for one window.
        match UnrecordedSendsMarker::create(&settings.folder) {
            Ok(marker) => self.marker = Some(marker),
            Err(reason) => {
                return error!(
                    folder = %settings.folder.display(),
                    %reason,
                    "keyed requests are rejected until the folder is released: no marker file can be created in it"
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

    /// Returns whether the latest snapshot in the folder belongs to this gateway. Each process writes a snapshot every
    /// second by default, and one when it exits.
    fn owns_snapshot_in(&self, files: &Files, settings: &PersistenceSettings) -> bool {
        let loaded = snapshot_store::load(files, settings.max_snapshot_bytes).ok();
        loaded
            .and_then(|loaded| loaded.snapshot)
            .is_some_and(|(_, snapshot)| snapshot.gateway == self.gateway)
    }

    /// Gives up waiting for the folder. As no other process of this gateway runs, the folder belongs to another gateway, whose
    /// log contains only its own sends. Keyed requests are rejected, and no state is stored.
    ///
    /// # Errors
    /// The folder is required.
    pub fn serve_without_folder(&mut self, config: &Config) -> Result<(), PersistenceError> {
        self.awaits_folder = false;
        let Some(settings) = &config.persistence else { return Ok(()) };
        let reason = FolderError::Locked { path: settings.folder.clone() };
        if settings.required {
            return Err(PersistenceError::Required(reason));
        }
        if settings.logs_keys && longest_window(config) > 0.0 {
            error!(%reason, "serving without persistent state: all keyed requests are rejected");
        } else {
            error!(%reason, "serving without persistent state");
        }
        Ok(())
    }

    /// Takes over the folder if its owner has exited, and returns whether it did. A failure is logged once; the caller retries.
    pub fn take_over(
        &mut self,
        config: &Config,
        core: &mut Core,
        now: Milliseconds,
        events: &Sender<Event>,
    ) -> bool {
        let Some(settings) = &config.persistence else { return false };
        let folder = match Folder::open(&settings.folder) {
            Err(FolderError::Locked { .. }) => return false,
            opened => opened,
        };
        let taken = folder
            .map_err(PersistenceError::Folder)
            .and_then(|folder| self.start_writers(folder, config, settings, now, events));
        let path = settings.folder.display();
        match taken {
            Ok(TakenOverFolder { folder, log }) => {
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
                    error!(folder = %path, %reason, "the folder cannot be taken over; retrying at each poll of the other processes");
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
    ) -> Result<TakenOverFolder, PersistenceError> {
        let disk = folder.disk().closing_written_files();
        let (store, _) = SnapshotStore::open(Box::new(disk), settings.max_snapshot_bytes)?;
        let window = longest_window(config);
        // Without a marker, this process has rejected all keyed requests and does not know of sends that the log does not
        // contain: the log has to contain all sends.
        let coverage = if self.marker.is_some() { LogCoverage::OwnersSends } else { LogCoverage::AllSends };
        let keyed = settings.logs_keys && window > 0.0;
        let log = keyed.then(|| RecoveredLog::read(&folder.disk(), coverage, window, now));
        self.start_state_writers(&folder, store)?;
        if let Some(recovered) = &log {
            let own_marker = self.marker.as_ref().map(|marker| marker.path().to_owned());
            let markers = markers_of_exited_processes(&folder).into_iter().chain(own_marker).collect();
            let writer = idempotency_log::start_writer(
                &folder,
                recovered.offset,
                events,
                &self.writer_state,
                markers,
            )?;
            self.keys = Some(writer);
        }
        Ok(TakenOverFolder { folder, log })
    }
}
