//! The idempotency log: a file with a header of 16 bytes, followed by records of 40 bytes each, all little-endian.
//!
//! | bytes of the header | contents |
//! | --- | --- |
//! | 0..8 | `SPKEYLG\n` |
//! | 8..12 | version, 1 |
//! | 12..16 | CRC-32 of bytes 0..12 |
//!
//! | bytes of a record | contents |
//! | --- | --- |
//! | 0 | kind: 1 for a send, 2 for a mark |
//! | 1..4 | zero |
//! | 4..8 | CRC-32 of the other 36 bytes |
//! | 8..16 | time, in milliseconds since the machine booted (a 64-bit float) |
//! | 16..24 | send: ms for which engines drop repeats; mark: time before which no keyed request may be sent (as in 8..16), or 0 |
//! | 24..40 | send: hash of the key; mark: identifier of the boot |
//!
//! Each process starts a new file with all keys whose window has not ended, and rewrites the log into another new file
//! when the log has grown long. A new file is written atomically before the old one is removed. Bytes after the last valid
//! record belong to a write that was not completed and whose request was not sent. An invalid record followed by valid
//! ones is damage; such a log is not trusted.

mod contents;
mod error;
mod files;
mod record;
mod recovery;
mod writer;

pub use contents::{read, LogContents, LogFault};
pub use error::LogError;
pub use files::{fault, last, unrecorded_sends_possible, UNRECORDED_SENDS_PREFIX};
pub use record::{header, Mark, Record, HEADER_BYTES, RECORD_BYTES};
pub use recovery::{recover, recover_from_peer, DistrustedLog};
pub use writer::IdempotencyLog;
