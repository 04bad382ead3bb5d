//! Persistent state: opens the folder, recovers its contents, and queues writes to the writer threads. Disabled unless the
//! operator's configuration file enables it.
//!
//! `snapshots`, `idempotency_log` and `endpoint_cache` each handle one kind of file; `takeover` handles a folder that another
//! process of this gateway has locked.

mod endpoint_cache;
mod error;
mod idempotency_log;
mod snapshots;
mod statistics;
mod takeover;

pub use endpoint_cache::endpoints_from_cache;
pub use error::PersistenceError;

use crate::config::{Config, PersistenceSettings};
use crate::core::{Core, Event};
use crate::interface::{Class, Idempotency, Milliseconds, Settings};
use idempotency_log::{markers_of_exited_processes, LogCoverage, RecoveredLog, UnrecordedSendsMarker};
use starlingplank_persistence::cached_endpoints::CachedEndpoints;
use starlingplank_persistence::deduplication_window::{
    DeduplicationWindow, Key, KeySend, LogMark, LogState, Rewrite,
};
use starlingplank_persistence::folder::{Folder, FolderError};
use starlingplank_persistence::recovery::RecoverySettings;
use starlingplank_persistence::snapshot_records::Snapshot;
use starlingplank_persistence::snapshot_store::{LoadedSnapshot, SnapshotStore};
use starlingplank_persistence::writers::{EndpointCacheWriter, IdempotencyLogWriter, SnapshotWriter};
use statistics::SharedWriterState;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tracing::{error, info, warn};

/// Number of consecutive skipped snapshots after which the disk is reported as not responding.
const SKIPPED_SNAPSHOTS_BEFORE_WARNING: u32 = 3;
/// Interval at which the shutdown checks whether the last snapshot is written.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Stores the gateway's state. Owns the lock on the folder and the writer threads.
pub struct Persistence {
    gateway: String,
    snapshots: Option<SnapshotWriter>,
    keys: Option<IdempotencyLogWriter>,
    endpoints: Option<EndpointCacheWriter>,
    /// The endpoint list that the previous process cached, as far as it was still valid at the start.
    cached: Option<CachedEndpoints>,
    /// Number of consecutive snapshots that were skipped because earlier ones are still being written.
    skipped_snapshots: Cell<u32>,
    writer_state: SharedWriterState,
    folder: Option<Folder>,
    /// Whether another process has locked the folder, and this process takes it over after that process exits.
    awaits_folder: bool,
    /// Marker file, present once this process may send keyed requests that the log of the folder's owner does not contain.
    marker: Option<UnrecordedSendsMarker>,
    /// Whether a failure to take over the folder has been logged.
    takeover_failing: bool,
}

/// Returns the rules by which stored state is aged and accepted at the start.
pub fn recovery_settings(
    settings: &PersistenceSettings,
    overload_collapse_after: Milliseconds,
) -> RecoverySettings {
    RecoverySettings {
        min_restart_time: settings.min_restart_time,
        max_snapshot_age: settings.max_snapshot_age,
        unlisted_retention: settings.unlisted_retention,
        overload_collapse_after,
    }
}

/// Returns the longest deduplication window of all classes; 0 if no class is keyed.
fn longest_window(config: &Config) -> Milliseconds {
    let window = |class: &Class| match class.idempotency {
        Idempotency::Keyed { window, .. } => Some(window),
        _ => None,
    };
    config.settings.classes.iter().filter_map(window).fold(0.0, f64::max)
}

/// The settings with which a starting process opens its folder.
struct FolderOpening<'a> {
    config: &'a Config,
    settings: &'a PersistenceSettings,
    window: Milliseconds,
    /// Whether keyed requests are recorded in the idempotency log.
    keyed: bool,
    now: Milliseconds,
}

impl FolderOpening<'_> {
    fn open_folder(&self) -> Result<(Folder, SnapshotStore, LoadedSnapshot), FolderError> {
        let folder = Folder::open(&self.settings.folder)?;
        let disk = folder.disk().closing_written_files();
        let opened = SnapshotStore::open(Box::new(disk), self.settings.max_snapshot_bytes);
        let (store, loaded) =
            opened.map_err(|source| FolderError::Io { path: self.settings.folder.clone(), source })?;
        Ok((folder, store, loaded))
    }

    fn deduplication(&self, log: LogState) -> DeduplicationWindow {
        DeduplicationWindow::new(log, self.window, self.settings.max_keys, self.now)
    }

    /// Starts without the folder, which cannot be used. A locked folder may belong to another process of this gateway and is
    /// taken over later if hot restart is possible; otherwise nothing is stored.
    ///
    /// # Errors
    /// The folder is required.
    fn without_folder(&self, core: &mut Core, reason: FolderError) -> Result<Persistence, PersistenceError> {
        let locked = matches!(reason, FolderError::Locked { .. });
        if locked && self.config.operator.is_some() {
            info!(%reason, "the folder is locked by another process: it is taken over after that process has exited");
            core.resume(self.deduplication(if self.keyed { LogState::Locked } else { LogState::Off }), None);
            let gateway = self.config.name.clone();
            return Ok(Persistence { gateway, awaits_folder: true, ..Persistence::disabled() });
        }
        if self.settings.required {
            return Err(PersistenceError::Required(reason));
        }
        let log = match (self.keyed, locked) {
            (false, _) => {
                error!(%reason, "serving without persistent state");
                LogState::Off
            }
            (true, true) => {
                error!(%reason, "serving without persistent state: all keyed requests are rejected");
                LogState::Locked
            }
            (true, false) => {
                error!(
                    %reason,
                    window_ms = %format_args!("{:.0}", self.window),
                    "serving without persistent state: keyed requests are rejected for the longest deduplication window from now"
                );
                LogState::Missing
            }
        };
        core.resume(self.deduplication(log), None);
        Ok(Persistence::disabled())
    }

    /// Recovers the idempotency log of the previous process, and starts the thread that writes this process's log.
    fn recover_log(
        &self,
        persistence: &mut Persistence,
        folder: &Folder,
        events: &Sender<Event>,
    ) -> Result<DeduplicationWindow, PersistenceError> {
        if !self.keyed {
            return Ok(DeduplicationWindow::in_memory());
        }
        let mut deduplication = self.deduplication(LogState::Open { required: self.settings.required });
        let recovered = RecoveredLog::read(&folder.disk(), LogCoverage::AllSends, self.window, self.now);
        recovered.log_outcome(self.window);
        if let Ok(trusted) = recovered.log {
            deduplication.restore(trusted, self.now);
        }
        // The markers of processes that have exited are not needed after this process's own log exists.
        let markers = markers_of_exited_processes(folder);
        let state = &persistence.writer_state;
        let writer = idempotency_log::start_writer(folder, recovered.offset, events, state, markers)?;
        persistence.keys = Some(writer);
        Ok(deduplication)
    }
}

impl Persistence {
    /// Returns a state in which nothing is stored.
    pub fn disabled() -> Self {
        Self {
            gateway: String::new(),
            snapshots: None,
            keys: None,
            endpoints: None,
            cached: None,
            skipped_snapshots: Cell::new(0),
            writer_state: SharedWriterState::default(),
            folder: None,
            awaits_folder: false,
            marker: None,
            takeover_failing: false,
        }
    }

    /// Opens the folder, and passes its contents to the reducer. If the folder cannot be used, this is logged once, and the
    /// gateway serves without it.
    ///
    /// # Errors
    /// The folder cannot be used and is required, or a writer thread cannot be started.
    pub fn open(
        config: &Config,
        core: &mut Core,
        now: Milliseconds,
        events: &Sender<Event>,
    ) -> Result<Self, PersistenceError> {
        let Some(settings) = &config.persistence else { return Ok(Self::disabled()) };
        let window = longest_window(config);
        let keyed = settings.logs_keys && window > 0.0;
        let opening = FolderOpening { config, settings, window, keyed, now };
        let (folder, store, loaded) = match opening.open_folder() {
            Ok(opened) => opened,
            Err(reason) => return opening.without_folder(core, reason),
        };
        let rules = recovery_settings(settings, config.settings.overload_collapse_after);
        let restored = snapshots::restore(&settings.folder, loaded, rules, now);
        let mut persistence = Self { gateway: config.name.clone(), ..Self::disabled() };
        let deduplication = opening.recover_log(&mut persistence, &folder, events)?;
        core.resume(deduplication, restored);
        persistence.cached = endpoint_cache::load(&folder.disk(), settings, now);
        persistence.start_state_writers(&folder, store)?;
        persistence.folder = Some(folder);
        Ok(persistence)
    }

    /// Starts the threads that write snapshots and the endpoint list.
    fn start_state_writers(&mut self, folder: &Folder, store: SnapshotStore) -> Result<(), PersistenceError> {
        let endpoints = EndpointCacheWriter::start(Box::new(folder.disk()), endpoint_cache::log_health)?;
        self.endpoints = Some(endpoints);
        let state = self.writer_state.clone();
        let notify = move |event| snapshots::on_snapshot_event(&event, &state);
        self.snapshots = Some(SnapshotWriter::start(store, notify)?);
        Ok(())
    }

    /// Queues a snapshot of the learned state, unless one is being written and another one is queued.
    pub fn save_snapshot(&self, core: &Core, now: Milliseconds) {
        let Some(writer) = &self.snapshots else { return };
        if writer.save(Snapshot::new(&self.gateway, &core.learned(now), &core.addresses())) {
            self.skipped_snapshots.set(0);
            return;
        }
        self.skipped_snapshots.set(self.skipped_snapshots.get().saturating_add(1));
        if self.skipped_snapshots.get() == SKIPPED_SNAPSHOTS_BEFORE_WARNING {
            let skipped = SKIPPED_SNAPSHOTS_BEFORE_WARNING;
            warn!(skipped, "the disk does not respond: snapshots are skipped until it does");
        }
    }

    /// The endpoint list that the previous process cached, if it was still valid at the start.
    pub fn cached_endpoints(&self) -> Option<&CachedEndpoints> {
        self.cached.as_ref()
    }

    /// Queues the endpoint list that the name service last confirmed to be cached. The caller repeats this with each snapshot,
    /// so that a list for which the queue had no space is queued again.
    pub fn cache_endpoints(&self, core: &Core, settings: &Settings) {
        let Some(writer) = &self.endpoints else { return };
        let Some(membership) = core.service_membership() else { return };
        let removed = membership.removed.ids().map(str::to_owned).collect();
        let cached = |endpoint| endpoint_cache::cached_endpoint(endpoint, settings);
        let endpoints = membership.members.iter().map(cached).collect();
        writer.save(CachedEndpoints { confirmed_at: membership.confirmed_at, endpoints, removed });
    }

    /// Queues the record of a send. Returns whether the record was queued.
    pub fn record(&self, number: u64, key: Key, send: KeySend) -> bool {
        self.keys.as_ref().is_some_and(|keys| keys.record(number, key, send))
    }

    /// Queues a mark. Returns whether the mark was queued.
    pub fn mark(&self, mark: LogMark) -> bool {
        self.keys.as_ref().is_some_and(|keys| keys.mark(mark))
    }

    /// Queues a rewrite of the idempotency log. Returns whether the rewrite was queued.
    pub fn rewrite(&self, rewrite: Rewrite) -> bool {
        self.keys.as_ref().is_some_and(|keys| keys.rewrite(rewrite))
    }

    /// Returns whether state is stored.
    pub fn is_enabled(&self) -> bool {
        self.snapshots.is_some()
    }

    /// Waits until all queued snapshots are written; the caller limits the time.
    pub async fn finish(&mut self) {
        while self.snapshots.as_mut().is_some_and(|writer| !writer.finished()) {
            tokio::time::sleep(FINISH_POLL_INTERVAL).await;
        }
    }

    /// Logs the numbers of writes and of bytes written. `rejected` is the number of keyed requests that the deduplication window
    /// has rejected.
    pub fn log_totals(&self, rejected: u64) {
        let state = self.writer_state.lock();
        info!(
            snapshots = state.snapshots.writes,
            snapshot_bytes = state.snapshots.bytes,
            key_syncs = state.keys.writes,
            key_bytes = state.keys.bytes,
            rejected,
            "persistent state written"
        );
    }
}
