//! What a gateway knows of the list of engines that service discovery serves.
//!
//! In come the questions that are sent, the answers that are received and changes of the service's address; out comes how
//! old the list is ([`age`]) and what became of the answers ([`answers`]). No I/O and no clock: every time is handed in.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod age;
pub mod answers;

/// Milliseconds.
pub type Ms = f64;
