//! Checks that guard irreversible operations, one module each: sending an attempt ([`send`]), closing a connection
//! ([`close`]) and exiting the process ([`process`]). Every code path uses these functions: the reducer when an
//! attempt starts, and the writer again before it writes the first byte.
//!
//! All checks are pure functions of their arguments. [`counters`] counts refusals, and among them violations:
//! attempts that the reducer should not have started and that the writer's check stopped.

pub mod close;
pub mod counters;
pub mod list_lease;
pub mod process;
pub mod send;

#[cfg(test)]
mod tests;
