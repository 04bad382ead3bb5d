//! What operators tell a gateway, and what they see of it.
//!
//! Operators' calls ([`calls`]), their exclusions of engines ([`operator_overrides`]), what an earlier process learned from
//! the list service ([`inherited_membership`]), counts of what happened ([`metrics`]) and the stages of the gateway's other
//! processes ([`process_lifecycle`]) go in. Out come answers, the engines that get no new work, and which of two
//! processes accepts new connections. Invariants: **an engine that an operator has excluded stays excluded until an operator
//! includes it**, whatever lists, reloads and restarts come between; and **a process stops listening only once another
//! listens**. No I/O and no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod calls;
pub mod inherited_membership;
pub mod metrics;
pub mod operator_overrides;
pub mod process_lifecycle;
