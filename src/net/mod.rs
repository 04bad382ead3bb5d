//! Sockets, wires and the runtime that performs the reducer's effects. Nothing here decides.

pub mod clock;
pub mod conn;
pub mod discovery;
pub mod engine;
pub mod frame;
pub mod front;
pub mod handover;
pub mod http;
pub mod keep;
pub mod log;
pub mod momentary;
pub mod operate;
pub mod pause;
pub mod runtime;
pub mod sql;
pub mod tasks;
