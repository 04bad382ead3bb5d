//! When a gateway polls, connects and sends health checks, so that the sum over a fleet stays within bounds.
//!
//! The input: how many gateways there are, this one's index, and what became of its polls. The output: when the next poll is
//! due ([`poll_schedule`]), when the initial health checks are sent ([`startup`]), and when rejected clients should retry
//! ([`retry_after`]). The invariants: gateways that start together poll one after another; gateways that get no responses poll
//! ever less, and not in step; and a drain is known in time whatever the size of the fleet. All times are virtual: callers
//! pass them in.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fleet;
pub mod poll_schedule;
pub mod retry_after;
pub mod startup;

/// Milliseconds.
pub type Milliseconds = f64;
