//! Engine-facing side of the gateway: encodes attempts for engines, and converts the replies of engines to outcomes.
//!
//! For an attempt on an engine of the platform, [`pool`] chooses a `connection`, [`resp`] encodes the command, and `driver`
//! writes it to the socket. [`resp`] parses the replies, `replies` interprets them (`partial_result` collects the pages of
//! a result) and passes events to the reducer. [`clickhouse`] implements the other engine protocol.

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

/// Connections to all engines of one protocol. Events that occur during a call are pushed to `events`; all others are sent
/// through the event channel.
pub trait Engines {
    /// Sends an attempt to its engine.
    fn send(&mut self, send: Send, events: &mut Vec<Event>);
    /// Cancels an attempt, because it timed out (`timed_out`) or because its result is no longer needed.
    fn abort_attempt(&mut self, id: AttemptId, timed_out: bool);
    /// Changes the priority of an attempt in flight, if the protocol supports this.
    fn set_priority(&mut self, id: AttemptId, priority: u8);
    /// Sends a health check to an engine; its result is reported under `tag`.
    fn check_health(&mut self, tag: u64, engine: &EngineId, address: SocketAddr, events: &mut Vec<Event>);
    /// Withdraws the unsent attempts on an engine that drains or was removed. Attempts that were written, even in part, stay.
    fn drop_queued(&mut self, engine: &EngineId, events: &mut Vec<Event>);
    /// Closes idle connections, and ends attempts and health checks whose engine has stopped responding.
    fn maintain(&mut self, events: &mut Vec<Event>);
}
