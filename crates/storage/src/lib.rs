//! Files that tell whether they are whole, and folders that one process holds.
//!
//! In come records that serde knows; out come bytes with a head, a version and a checksum ([`framed`]), written whole
//! or not at all ([`disk`]), in folders with a lock ([`folder`]). The rule that is kept: **what is read back is what
//! was written, or nothing**. What the records mean is their owners' business.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod disk;
pub mod folder;
pub mod framed;
