//! Pacing of a gateway's polls, initial health checks and client retries, so that the total load of a fleet stays bounded.
//!
//! The input: the number of gateways, the index of this one, and the results of its polls. The output: the time of the next
//! poll ([`poll_schedule`]), the time of the initial health checks ([`startup`]), and the time after which rejected clients
//! should retry ([`retry_after`]). The invariants: gateways that start together poll one after another; gateways that receive
//! no responses poll less and less often, and not in step; and every gateway receives the notification of a drain in time,
//! whatever the size of the fleet. The crate reads no clock: callers pass in the current time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fleet;
pub mod poll_schedule;
pub mod retry_after;
pub mod startup;

/// A time or duration in milliseconds.
pub type Milliseconds = f64;
