//! What a gateway has learned, and the idempotency keys it has sent, kept through restarts.
//!
//! In come the module's records ([`Learned`](starlingplank_decision::learned::Learned)) and keyed sends; out come
//! records that are still worth something after so long ([`recall`]), and the word whether a keyed request may
//! leave now ([`gate`]). The rule that is kept: **what may have been sent under a key is never forgotten while an
//! engine would run it again**, whatever stops the program; and an engine that may have started anew unseen is cold.
//!
//! The last [`list`] of engines is kept beside them. [`snapshot`], [`records`] and [`keylog`] hold the bytes, [`store`]
//! their files on a [`disk`]; [`recall`] and [`gate`] are pure. The I/O is in [`folder`] and [`keeper`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub use starlingplank_storage::{boot_time, disk, folder};

pub mod cached_endpoints;
pub mod deduplication_window;
pub mod idempotency_log;
pub mod inspection;
pub mod recovery;
pub mod snapshot;
pub mod snapshot_records;
pub mod snapshot_store;
pub mod writers;
