//! The idempotency log: recovered at startup or at a takeover of the folder, and written by a thread.

use super::statistics::SharedWriterState;
use crate::core::Event;
use crate::interface::Milliseconds;
use starlingplank_persistence::boot_time::BootTime;
use starlingplank_persistence::clock_offset::ClockOffset;
use starlingplank_persistence::deduplication_window::TrustedLog;
use starlingplank_persistence::disk::Disk;
use starlingplank_persistence::folder::Folder;
use starlingplank_persistence::idempotency_log::{self, DistrustedLog, UNRECORDED_SENDS_PREFIX};
use starlingplank_persistence::writers::{IdempotencyLogEvent, IdempotencyLogWriter, WriteStatistics};
use std::fs::File;
use std::io;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use tokio::sync::mpsc::{unbounded_channel, Sender};
use tracing::{error, info};

/// A file which marks that a process sends keyed requests that the log in the folder does not contain. Owns a lock on the
/// file until the process exits.
pub(super) struct UnrecordedSendsMarker {
    path: PathBuf,
    _lock: File,
}

impl UnrecordedSendsMarker {
    /// Creates the file and makes it durable.
    ///
    /// # Errors
    /// The file cannot be created, locked or made durable.
    pub(super) fn create(folder: &Path) -> io::Result<Self> {
        let path = folder.join(format!("{UNRECORDED_SENDS_PREFIX}{}", std::process::id()));
        let file = File::options().create(true).truncate(true).write(true).mode(0o600).open(&path)?;
        file.try_lock()?;
        file.sync_all()?;
        File::open(folder)?.sync_all()?;
        Ok(Self { path, _lock: file })
    }

    pub(super) fn path(&self) -> &Path {
        &self.path
    }
}

/// Returns the marker files of processes that have exited: these files are not locked.
pub(super) fn markers_of_exited_processes(folder: &Folder) -> Vec<PathBuf> {
    let names = folder.disk().names().unwrap_or_default();
    let markers = names.iter().filter(|name| name.starts_with(UNRECORDED_SENDS_PREFIX));
    let is_unlocked = |path: &PathBuf| File::open(path).is_ok_and(|file| file.try_lock().is_ok());
    markers.map(|name| folder.path().join(name)).filter(is_unlocked).collect()
}

/// The sends that a log has to contain to be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LogCoverage {
    /// All sends: this process starts after the log's owner has exited.
    AllSends,
    /// The sends of the log's owner: this process receives the sends of other processes through the shared folder.
    OwnersSends,
}

/// The idempotency log of an earlier process, with times of this process's clock.
pub(super) struct RecoveredLog {
    pub(super) log: Result<TrustedLog, DistrustedLog>,
    pub(super) offset: ClockOffset,
}

impl RecoveredLog {
    pub(super) fn read(
        disk: &dyn Disk,
        coverage: LogCoverage,
        window: Milliseconds,
        now: Milliseconds,
    ) -> Self {
        let boot = BootTime::read();
        let found = match coverage {
            LogCoverage::AllSends => idempotency_log::recover(disk, &boot, window),
            LogCoverage::OwnersSends => idempotency_log::recover_from_peer(disk, &boot, window),
        };
        let offset = ClockOffset { by: boot.now - now, boot_id: boot.boot_id.unwrap_or_default() };
        Self { log: found.map(|log| offset.restored_log(log)), offset }
    }

    /// Logs whether the log is trusted, and if not, why and for how long keyed requests are rejected.
    pub(super) fn log_outcome(&self, window: Milliseconds) {
        match &self.log {
            Ok(trusted) => info!(keys = trusted.sends.len(), "idempotency log recovered"),
            Err(reason) => info!(
                %reason,
                window_ms = %format_args!("{window:.0}"),
                "idempotency log not trusted: keyed requests are rejected until earlier ones cannot run any more"
            ),
        }
    }
}

/// Starts the thread that writes the log; the outcomes of its writes become events for the reducer. The files `markers` are
/// removed after the first log file of this process is durable, as that file contains the sends that they stand for.
///
/// # Errors
/// The folder cannot be read, or the thread cannot be started.
pub(super) fn start_writer(
    folder: &Folder,
    offset: ClockOffset,
    events: &Sender<Event>,
    state: &SharedWriterState,
    markers: Vec<PathBuf>,
) -> io::Result<IdempotencyLogWriter> {
    // The channel from the writer thread to the reducer's thread is unbounded, but it contains only outcomes of writes that
    // the reducer requested, and the writer limits their number.
    let (sender, mut outcomes) = unbounded_channel();
    let (events, state) = (events.clone(), state.clone());
    tokio::task::spawn_local(async move {
        while let Some((event, statistics)) = outcomes.recv().await {
            if events.send(on_log_event(event, statistics, &state)).await.is_err() {
                return;
            }
        }
    });
    let markers = Mutex::new(markers);
    let notify = move |event: IdempotencyLogEvent, statistics: WriteStatistics| {
        if matches!(event, IdempotencyLogEvent::Rewritten(_)) {
            remove_files(&markers);
        }
        let _ = sender.send((event, statistics));
    };
    IdempotencyLogWriter::start(Box::new(folder.disk()), offset, notify)
}

fn remove_files(files: &Mutex<Vec<PathBuf>>) {
    let files = std::mem::take(&mut *files.lock().unwrap_or_else(PoisonError::into_inner));
    for file in files {
        // If a file cannot be removed, the next process distrusts the log and rejects keyed requests for one window.
        let _ = std::fs::remove_file(file);
    }
}

/// Converts the outcome of a write to an event for the reducer. Failures are logged when they begin and end, not for each
/// record.
fn on_log_event(event: IdempotencyLogEvent, statistics: WriteStatistics, state: &SharedWriterState) -> Event {
    let mut state = state.lock();
    state.keys = statistics;
    match event {
        IdempotencyLogEvent::Recorded(tickets) => Event::RecordsDurable(tickets),
        IdempotencyLogEvent::Rewritten(keys) => {
            if std::mem::replace(&mut state.keys_failing, false) {
                info!("idempotency log is written again");
            }
            Event::LogRewritten(keys)
        }
        IdempotencyLogEvent::Failed(tickets, reason) => {
            if !std::mem::replace(&mut state.keys_failing, true) {
                error!(
                    reason,
                    "idempotency log cannot be written: keyed requests are rejected until it is written again, \
                     or, if it is not required, for the longest deduplication window"
                );
            }
            Event::RecordsFailed(tickets)
        }
    }
}
