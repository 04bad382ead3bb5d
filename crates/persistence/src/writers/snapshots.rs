//! The thread that writes snapshots.

use super::statistics::WriteStatistics;
use crate::snapshot_records::Snapshot;
use crate::snapshot_store::SnapshotStore;
use std::io;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread::{self, JoinHandle};

/// Maximum number of snapshots that wait while one is being written.
const MAX_QUEUED_SNAPSHOTS: usize = 1;

/// Outcome of writing a snapshot.
#[derive(Debug)]
pub enum SnapshotEvent {
    /// The snapshot is durable.
    Saved(WriteStatistics),
    /// The snapshot was not written; contains the error.
    Failed(String),
}

/// Handle of the thread that writes snapshots one at a time. One snapshot may wait while another is being written; further
/// ones are rejected. The thread ends once the handle was dropped or [finished](Self::finished) and all queued snapshots
/// are written.
pub struct SnapshotWriter {
    /// Sender of the queue; `None` once no more snapshots are accepted.
    queue: Option<SyncSender<Snapshot>>,
    thread: Option<JoinHandle<()>>,
}

impl SnapshotWriter {
    /// Starts the thread. The thread calls `notify` with the outcome of each write.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start(store: SnapshotStore, notify: impl Fn(SnapshotEvent) + Send + 'static) -> io::Result<Self> {
        let (queue, queued) = sync_channel(MAX_QUEUED_SNAPSHOTS);
        let write = move || write_snapshots(store, &queued, &notify);
        let thread = thread::Builder::new().name("snapshots".into()).spawn(write)?;
        Ok(Self { queue: Some(queue), thread: Some(thread) })
    }

    /// Queues a snapshot. Returns `false` if another one is already waiting; the snapshot is then not written.
    pub fn save(&self, snapshot: Snapshot) -> bool {
        self.queue.as_ref().is_some_and(|queue| queue.try_send(snapshot).is_ok())
    }

    /// Closes the queue and returns whether the thread has ended, which means that all queued snapshots are written. If the
    /// disk hangs, the thread runs until the process exits.
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
