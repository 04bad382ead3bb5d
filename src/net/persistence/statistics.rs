//! What the writer threads have written, and whether they can.

use starlingplank_persistence::writers::WriteStatistics;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What has been written, and which writes are failing.
#[derive(Debug, Default)]
pub(super) struct WriterState {
    pub(super) snapshots: WriteStatistics,
    pub(super) keys: WriteStatistics,
    pub(super) snapshots_failing: bool,
    pub(super) keys_failing: bool,
}

/// The state that the writer threads update and the gateway's thread reads.
#[derive(Debug, Clone, Default)]
pub(super) struct SharedWriterState(Arc<Mutex<WriterState>>);

impl SharedWriterState {
    pub(super) fn lock(&self) -> MutexGuard<'_, WriterState> {
        // It holds counters and flags only, which are valid whatever a thread that panicked has left.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
