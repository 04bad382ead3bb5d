//! Whether something may be done now, with one module for each question: may this attempt be sent ([`send`]), may this
//! connection be closed ([`close`]), may this process exit ([`process`]). Every code path calls these functions: the
//! reducer when an attempt starts, and the writer again when its first byte leaves.
//!
//! All are pure functions of plain facts. [`counters`] counts refusals, and among them violations: attempts that the
//! reducer should not have started, and that the second check caught.

pub mod close;
pub mod counters;
pub mod list_lease;
pub mod process;
pub mod send;

#[cfg(test)]
mod tests;
