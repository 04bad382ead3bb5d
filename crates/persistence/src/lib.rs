//! State that outlives a gateway process: what it has learned, the idempotency keys it has sent, and the endpoint list.
//!
//! The decision module's records ([`LearnedState`](starlingplank_decision::learned::LearnedState)) and keyed sends go in. Out come
//! records, aged by the time that has passed ([`recovery`]), and whether a keyed request may be sent now
//! ([`deduplication_window`]). Invariants: **what may have been sent under a key is never forgotten while an engine
//! would run it again**, whatever stops the program; and an engine that may have restarted unseen is in slow start.
//!
//! [`recovery`] and [`deduplication_window`] are pure. [`snapshot`], [`snapshot_records`], [`idempotency_log`] and
//! [`cached_endpoints`] define the stored bytes, [`snapshot_store`] the files of snapshots, [`writers`] the threads that
//! write them, and [`inspection`] what operators can see of a folder.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub use starlingplank_storage::{boot_time, disk, folder};

pub mod cached_endpoints;
pub mod clock_offset;
pub mod deduplication_window;
pub mod file_fault;
pub mod idempotency_key;
pub mod idempotency_log;
pub mod inspection;
pub mod recovery;
pub mod snapshot;
pub mod snapshot_records;
pub mod snapshot_store;
pub mod writers;
