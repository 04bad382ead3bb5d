//! What staff say to a gateway, and what they see of it.
//!
//! In come their calls ([`calls`]), engines named by hand ([`operator_overrides`]), lists that an earlier process heard ([`inherited_membership`]), counts of what happened ([`metrics`]), and what a
//! process sees of the others of its gateway ([`process_lifecycle`]); out come answers, the engines that get nothing, and who of
//! two processes takes new connections. The rules that are kept: **an engine that is out by hand is out until it is
//! called back**, whatever lists, reloads and restarts come between; and **a process stops listening only once another
//! listens**. No I/O and no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod calls;
pub mod inherited_membership;
pub mod metrics;
pub mod operator_overrides;
pub mod process_lifecycle;
