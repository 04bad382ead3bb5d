//! Sockets, wires and the runtime that performs the reducer's effects. Nothing here decides.

pub mod admin;
pub mod clock;
pub mod connection;
pub mod discovery;
pub mod engine;
pub mod front;
pub mod hot_restart;
pub mod http;
pub mod log;
pub mod pause;
pub mod persistence;
pub mod runtime;
pub mod sql;
pub mod tasks;
pub mod transient_errors;
