//! The thread that writes snapshots.

use super::statistics::WriteStatistics;
use crate::snapshot_records::Snapshot;
use crate::snapshot_store::SnapshotStore;
use std::io;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread::{self, JoinHandle};

/// Snapshots that wait while one is written.
const MAX_QUEUED_SNAPSHOTS: usize = 1;

/// The outcome of writing a snapshot.
#[derive(Debug)]
pub enum SnapshotEvent {
    /// The snapshot is durable.
    Saved(WriteStatistics),
    /// The snapshot was not written; tells why.
    Failed(String),
}

/// Writes snapshots one at a time. One snapshot may wait while another is written; more are left out. Owns the thread,
/// which ends once this has been dropped or [finished](Self::finished) and all queued snapshots are written.
pub struct SnapshotWriter {
    /// `None` once no more snapshots are accepted.
    queue: Option<SyncSender<Snapshot>>,
    thread: Option<JoinHandle<()>>,
}

impl SnapshotWriter {
    /// Starts the thread. It calls `notify` with the outcome of each write.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(store: SnapshotStore, notify: impl Fn(SnapshotEvent) + Send + 'static) -> io::Result<Self> {
        let (queue, queued) = sync_channel(MAX_QUEUED_SNAPSHOTS);
        let write = move || write_snapshots(store, &queued, &notify);
        let thread = thread::Builder::new().name("snapshots".into()).spawn(write)?;
        Ok(Self { queue: Some(queue), thread: Some(thread) })
    }

    /// Queues a snapshot. Returns `false` if another one waits already, so that this one is left out.
    pub fn save(&self, snapshot: Snapshot) -> bool {
        self.queue.as_ref().is_some_and(|queue| queue.try_send(snapshot).is_ok())
    }

    /// Accepts no more snapshots, and returns whether all queued ones are written. While the disk hangs the thread remains;
    /// it then ends with the program.
    pub fn finished(&mut self) -> bool {
        self.queue = None;
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

fn write_snapshots(mut store: SnapshotStore, queued: &Receiver<Snapshot>, notify: &impl Fn(SnapshotEvent)) {
    let mut statistics = WriteStatistics::default();
    while let Ok(snapshot) = queued.recv() {
        notify(match store.save(&snapshot) {
            Ok(bytes) => {
                statistics.count(bytes);
                SnapshotEvent::Saved(statistics)
            }
            Err(error) => SnapshotEvent::Failed(error.to_string()),
        });
    }
}
