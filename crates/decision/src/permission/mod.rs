//! Whether something may be done now, one place for each question: may this attempt be sent (`send`), may this connection be
//! closed (`close`), may this process end or hand over (`process`). Every path asks here, the reducer when an attempt starts
//! and the writer again as its first byte leaves.
//!
//! Pure functions of plain facts. [`counters`] counts what was refused, and apart from that what should never be asked for:
//! a violation is a fault of this program that the second question caught.

pub mod close;
pub mod counters;
pub mod list_lease;
pub mod process;
pub mod send;

#[cfg(test)]
mod tests;
