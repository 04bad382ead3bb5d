//! Threads that write files, so that the thread that makes decisions never waits for a disk. Each kind of file has its own
//! thread, so that a snapshot write that hangs does not delay the records of idempotency keys. The queues are bounded, and
//! a job that does not fit into its queue is reported as failed at once.

mod endpoint_cache;
mod idempotency_log;
mod snapshots;
mod statistics;

pub use endpoint_cache::{EndpointCacheHealth, EndpointCacheWriter};
pub use idempotency_log::{IdempotencyLogEvent, IdempotencyLogWriter};
pub use snapshots::{SnapshotEvent, SnapshotWriter};
pub use statistics::WriteStatistics;
