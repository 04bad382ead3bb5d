//! All input and output: sockets, wire protocols, files, and the runtime that performs the reducer's effects. Scheduling
//! decisions are made in the reducer, not here.

pub mod admin;
pub mod clock;
pub mod connection;
pub mod discovery;
pub mod engine;
pub mod front;
pub mod hot_restart;
pub mod http;
pub mod log;
pub mod loop_profile;
pub mod pause;
pub mod persistence;
mod recent_names;
pub mod resident_memory;
pub mod runtime;
pub mod sql;
pub mod tasks;
pub mod transient_errors;
pub mod wait_profile;
