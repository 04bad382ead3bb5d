//! Stand-ins for what the gateway meets: an engine whose capacity is modelled, a list service, clients, a disk that fails.
//!
//! Scripts and seeds go in, faults and counts come out. They bind to loopback alone, and are never linked into the
//! gateway. What they promise to be like is said at each; what they cannot fail like is said too.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod disk;
pub mod engine;
pub mod link;
pub mod list;
pub mod model;
