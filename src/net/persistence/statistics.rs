//! Statistics of the writer threads: amounts written and current failures.

use starlingplank_persistence::writers::WriteStatistics;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Amounts written, and whether writes are currently failing, by kind of file.
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
        // The state consists of counters and flags, which stay valid if a thread panics while it holds the lock.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
