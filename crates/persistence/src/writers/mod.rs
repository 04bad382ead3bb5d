//! The threads that write, so that the thread that decides never waits for a disk. Each kind of file has its own, so that
//! a snapshot that hangs delays no idempotency key. Queues are bounded; what does not fit is reported as failed at once.

mod endpoint_cache;
mod idempotency_log;
mod snapshots;
mod statistics;

pub use endpoint_cache::{EndpointCacheHealth, EndpointCacheWriter};
pub use idempotency_log::{IdempotencyLogEvent, IdempotencyLogWriter};
pub use snapshots::{SnapshotEvent, SnapshotWriter};
pub use statistics::WriteStatistics;
