//! A gateway in front of analytic query engines that decides which engine runs each query, and when.
//!
//! [`Balancer`](decide::Balancer) receives [`Event`](interface::Event)s and returns
//! [`Action`](interface::Action)s. It performs no I/O and reads no clock. [`core`] wraps it in a
//! reducer that owns requests and attempts. [`net`] owns the sockets and drives the reducer.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub use starlingplank_decision::{decide, interface};

pub mod config;
pub mod core;
pub mod limits;
pub mod net;
pub mod simulator;
pub mod used_memory;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
