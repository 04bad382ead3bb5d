//! The threads that write, so that the thread that decides never waits for a disk. Each kind of file has its own, so that
//! a snapshot that hangs delays no idempotency key. Queues are bounded; what does not fit is reported as failed at once.

mod endpoint_cache;
mod idempotency_log;
mod snapshots;

pub use endpoint_cache::{EndpointCacheHealth, EndpointCacheWriter};
pub use idempotency_log::{IdempotencyLogEvent, IdempotencyLogWriter};
pub use snapshots::{SnapshotEvent, SnapshotWriter};

/// What a thread has written since it was started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WriteStatistics {
    /// Bytes passed to the disk.
    pub bytes: u64,
    /// Writes that were made durable.
    pub writes: u64,
}

impl WriteStatistics {
    fn count(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
        self.writes += 1;
    }
}
