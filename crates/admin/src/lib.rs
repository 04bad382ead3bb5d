//! Administration of a gateway: operators' calls and overrides, metrics, and the lifecycle of the gateway's processes.
//!
//! The crate parses operators' calls ([`calls`]), stores which engines operators have excluded ([`operator_overrides`]) and
//! which engines an earlier process knew to be draining or removed ([`inherited_membership`]), counts events ([`metrics`]),
//! and decides which of the gateway's processes accepts new connections ([`process_lifecycle`]). Invariants: **an engine
//! that an operator has excluded stays excluded until an operator includes it**, regardless of changes of the endpoint list,
//! reloads and restarts; and **a process stops listening only once another one listens**. The crate performs no I/O and reads
//! no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod calls;
pub mod inherited_membership;
pub mod metrics;
pub mod operator_overrides;
pub mod process_lifecycle;
