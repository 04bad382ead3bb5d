//! The program on loopback, and stand-ins for what it communicates with.
// Each file of tests uses a part of it.
#![allow(dead_code, unused_imports)]

mod config;
pub mod discovery;
mod engines;
pub mod faults;
mod gateway;
mod http;
mod names;
mod network;
pub mod requests;
mod thrift;
mod waits;

pub use config::*;
pub use engines::*;
pub use gateway::Gateway;
pub use http::*;
pub use names::*;
pub use network::*;
pub use thrift::*;
pub use waits::*;
