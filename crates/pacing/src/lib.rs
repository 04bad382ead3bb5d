//! When to ask, so that the sum over a fleet holds.
//!
//! In come how many gateways there are, this one's number, and what became of its questions; out comes when the next is
//! due ([`poll_schedule`]), when first probes leave ([`startup`]), and for how long those should keep away that cannot be served yet ([`retry_after`]). Rules: hundreds that start together ask one after another; hundreds that hear nothing ask ever less, and not in
//! step; and a drain is heard in time whatever the size of the fleet. Virtual time only: who asks, and whom, is nobody's
//! business here.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod poll_schedule;
pub mod retry_after;
pub mod startup;
