//! Engine wires: they turn attempts into the bytes that engines read, and replies of engines into outcomes.
//!
//! An attempt on an engine of the platform goes through [`pool`] (choice of a connection) and [`resp`] (bytes of the
//! command) to its `connection`, which a `driver` writes and reads. A reply goes through [`resp`] and `replies` (its
//! meaning; `partial_result` collects pages) back to the reducer. [`clickhouse`] is the other wire.

pub mod clickhouse;
mod connect;
mod connection;
mod driver;
mod partial_result;
pub mod pool;
mod replies;
pub mod resp;

use crate::core::{AttemptId, Event, Send};
use crate::interface::EngineId;
use std::net::SocketAddr;

/// Connections to all engines, whatever they speak. Events that arise during a call are pushed to `events`; all others
/// arrive through the channel of events.
pub trait Engines {
    /// Sends an attempt.
    fn send(&mut self, send: Send, events: &mut Vec<Event>);
    /// Cancels an attempt, because its time is over or because its result is no longer needed.
    fn abort_attempt(&mut self, id: AttemptId, timed_out: bool);
    /// Changes the priority of an attempt.
    fn set_priority(&mut self, id: AttemptId, priority: u8);
    /// Checks the health of an engine; the result is reported under `tag`.
    fn check_health(&mut self, tag: u64, engine: &EngineId, address: SocketAddr, events: &mut Vec<Event>);
    /// Withdraws the attempts on an engine that drains or has been removed, as far as none of their bytes has left.
    fn drop_queued(&mut self, engine: &EngineId, events: &mut Vec<Event>);
    /// Closes idle connections, and ends attempts and health checks whose engine has stopped answering.
    fn maintain(&mut self, events: &mut Vec<Event>);
}
