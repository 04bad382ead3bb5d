//! The idempotency log: a header of 16 bytes, then records of 40 bytes each, all little-endian.
//!
//! | bytes of the header | what |
//! | --- | --- |
//! | 0..8 | `SPKEYLG\n` |
//! | 8..12 | version, 1 |
//! | 12..16 | CRC-32 of bytes 0..12 |
//!
//! | bytes of a record | what |
//! | --- | --- |
//! | 0 | kind: 1 a send, 2 a mark |
//! | 1..4 | zero |
//! | 4..8 | CRC-32 of the other 36 bytes |
//! | 8..16 | time, in milliseconds since the machine booted (a 64-bit float) |
//! | 16..24 | of a send: how long engines drop repeats, in milliseconds; of a mark: until when no keyed request may be sent, as a time like 8..16, or zero |
//! | 24..40 | of a send: the key's hash; of a mark: the boot's identifier |
//!
//! Each process, and each rewrite of a log that has grown long, begins a new file with all keys whose window has not
//! ended, written atomically before the old file is removed. Bytes after the last valid record are the end of a write
//! that was not completed, and whose request was not sent; an invalid record followed by valid ones is damage, and
//! the log is not trusted.

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
