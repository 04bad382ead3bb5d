//! Engine wires: they turn attempts into what engines read, and what these say into outcomes.
//!
//! An attempt on an engine of the platform passes through `pool` (the choice of a connection) and `resp` (the bytes of
//! the command) to its `connection`. Its `driver` writes and reads them; `replies` says what a reply means, `progress`
//! what a progress update means, and `results` gathers the pages of a result. `clickhouse` is the other wire, complete
//! in itself.

pub mod pool;

mod connection;
mod driver;

pub mod resp;

mod progress;
mod replies;
mod results;

pub mod clickhouse;

use crate::core::{AttemptId, Event, Send};
use crate::interface::EngineId;
use std::net::SocketAddr;

/// What the runtime asks of the engines' side, whatever they speak. News that comes at once is pushed to
/// `events`; all else arrives through the channel.
pub trait Engines {
    /// Sends an attempt.
    fn send(&mut self, send: Send, events: &mut Vec<Event>);
    /// Gives one up, because its time is over or because nobody wants it any more.
    fn give_up(&mut self, id: AttemptId, out_of_time: bool);
    /// Changes the priority of one.
    fn hurry(&mut self, id: AttemptId, priority: u8);
    /// Probes an engine.
    fn probe(&mut self, tag: u64, engine: &EngineId, address: SocketAddr, events: &mut Vec<Event>);
    /// Takes back what has not left for an engine that drains or is gone.
    fn shut(&mut self, engine: &EngineId, events: &mut Vec<Event>);
    /// Closes what has gone idle, and ends what an engine keeps back.
    fn maintain(&mut self, events: &mut Vec<Event>);
}
