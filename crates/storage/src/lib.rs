//! Checksummed files, folders that a single process locks, and a clock that continues across restarts of the process.
//!
//! Records that implement serde's traits are encoded as files with a header, a version and a checksum ([`framed`]). These
//! files are written atomically ([`disk`]) into folders with a lock ([`folder`]). Invariant: **a reader gets exactly the
//! records that were written, or an error**. This crate is independent of the contents of the records.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod boot_time;
pub mod disk;
pub mod folder;
pub mod framed;
