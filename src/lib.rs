//! Workload-management decisions for gateways in front of analytic engines.
//!
//! [`Balancer`](decide::Balancer) is fed [`Event`](interface::Event)s and answers with
//! [`Action`](interface::Action)s. It does no I/O and reads no clock. [`core`] wraps it
//! in a reducer that owns requests and attempts, and [`net`] holds the sockets around that.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub use starlingplank_decision::{decide, interface};

pub mod config;
pub mod core;
pub mod limits;
pub mod net;
pub mod simulator;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
