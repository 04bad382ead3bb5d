//! State that outlives a gateway process: learned statistics, the idempotency keys of sent requests, and the endpoint list.
//!
//! The crate stores the decision module's records ([`LearnedState`](starlingplank_decision::learned::LearnedState)) and
//! the sends of keyed requests. After a restart it returns the records, weighted down by their age ([`recovery`]), and
//! decides whether a keyed request may be sent now ([`deduplication_window`]). Invariants: **a send that may have reached
//! an engine stays recorded for as long as an engine would execute a repeat of it**, however the program is stopped; and
//! an engine that may have restarted unnoticed is in slow start.
//!
//! [`recovery`] and [`deduplication_window`] perform no I/O and read no clock. [`snapshot`], [`snapshot_records`],
//! [`idempotency_log`] and [`cached_endpoints`] define the stored bytes, [`snapshot_store`] manages the snapshot files,
//! [`writers`] contains the threads that write, and [`inspection`] implements the commands that examine a folder.
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
pub mod sent_requests;
pub mod snapshot;
pub mod snapshot_records;
pub mod snapshot_store;
pub mod writers;
