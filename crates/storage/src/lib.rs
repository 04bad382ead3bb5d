//! Checksummed files, folders that a single process locks, and the clock that survives a restart of the process.
//!
//! Records that serde can write go in; bytes with a header, a version and a checksum come out ([`framed`]). They are
//! written atomically ([`disk`]) into folders with a lock ([`folder`]). Invariant: **a reader gets exactly what was
//! written, or an error**. This crate does not know what the records mean.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod boot_time;
pub mod disk;
pub mod folder;
pub mod framed;
