//! Engine wires: they turn attempts into the bytes that engines read, and replies of engines into outcomes.
//!
//! The parts stand in the order in which data passes. An attempt on an engine of the platform goes through [`pool`]
//! (choice of a connection) and [`resp`] (bytes of the command) to its `connection`, which a `driver` writes and reads.
//! A reply goes through `replies` (its meaning), `progress` (progress updates) and `results` (pages of a result) back to
//! the reducer. [`clickhouse`] is the other wire, complete in itself.

pub mod pool;

mod connect;
mod connection;
mod driver;

pub mod resp;

mod replies;

mod progress;
mod results;

pub mod clickhouse;

use crate::core::{AttemptId, Event, Send};
use crate::interface::EngineId;
use std::net::SocketAddr;

/// Connections to all engines, whatever they speak. Events that arise during a call are pushed to `events`; all others
/// arrive through the channel of events.
pub trait Engines {
    /// Sends an attempt.
    fn send(&mut self, send: Send, events: &mut Vec<Event>);
    /// Cancels an attempt, because its time is over or because its result is no longer needed.
    fn abort_attempt(&mut self, id: AttemptId, out_of_time: bool);
    /// Changes the priority of an attempt.
    fn hurry(&mut self, id: AttemptId, priority: u8);
    /// Probes an engine.
    fn probe(&mut self, tag: u64, engine: &EngineId, address: SocketAddr, events: &mut Vec<Event>);
    /// Withdraws the attempts on an engine that drains or has been removed, as far as none of their bytes has left.
    fn shut(&mut self, engine: &EngineId, events: &mut Vec<Event>);
    /// Closes idle connections, and ends attempts and probes whose engine has stopped answering.
    fn maintain(&mut self, events: &mut Vec<Event>);
}
