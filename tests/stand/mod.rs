//! Helpers that run the gateway as a process on loopback, with test doubles of its engines, name service and clients.
// No test file uses all of these helpers.
#![allow(dead_code, unused_imports)]

mod concurrency;
mod config;
mod core_share;
mod crowd;
pub(crate) mod discovery;
mod engines;
pub(crate) mod faults;
mod gateway;
mod http;
mod names;
mod network;
pub(crate) mod requests;
mod thrift;
mod waits;

pub(crate) use concurrency::*;
pub(crate) use config::*;
pub(crate) use core_share::*;
pub(crate) use crowd::*;
pub(crate) use engines::*;
pub(crate) use gateway::{peak_memory, Gateway};
pub(crate) use http::*;
pub(crate) use names::*;
pub(crate) use network::*;
pub(crate) use thrift::*;
pub(crate) use waits::*;
