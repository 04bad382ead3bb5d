//! What a gateway knows of the list of engines that service discovery serves.
//!
//! In come the questions that are sent, the answers that are received and changes of the service's address; out comes when
//! and from which flow the next question leaves, what each answer is worth, how old the list is, and until when it may be
//! relied on. The rule that is kept: **what was asked is heard for as long as an answer may come**, whatever happens to the
//! service's address or to other flows meanwhile.
//!
//! The parts: [`questions`] are out, they leave from [`flows`], [`answers`] are sorted by kind and [`versions`], and
//! confirm the list as of an [`age`]; [`discovery`] holds them together. No I/O and no clock: every time is handed in.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod age;
pub mod answers;
pub mod discovery;
pub mod flows;
pub mod questions;
pub mod versions;

/// Milliseconds.
pub type Milliseconds = f64;
