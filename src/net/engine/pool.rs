//! Connections to the platform's engines, in one pool for each engine id. An address does not identify an engine, as a new
//! engine may have the address of one that was removed.

use crate::core::{AttemptEnd, AttemptId, Event, Send};
use crate::interface::{EngineId, Outcome};
use crate::limits::Limits;
use crate::net::connection::{CloseMode, SharedState};
use crate::net::engine::connection::{Connection, InFlight};
use crate::net::engine::{driver, resp, Engines};
use crate::net::log;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::time::Instant;

/// Connection on which an attempt was queued, and the name of the attempt on it.
struct Placement {
    connection: Rc<Connection>,
    name: String,
}

/// Connections to all engines of the platform.
pub struct RespEngines {
    pools: BTreeMap<EngineId, Vec<Rc<Connection>>>,
    placements: HashMap<AttemptId, Placement>,
    limits: Rc<Limits>,
    shared: Rc<SharedState>,
    events: Sender<Event>,
}

impl RespEngines {
    /// Creates empty pools.
    pub fn new(limits: Rc<Limits>, shared: Rc<SharedState>, events: Sender<Event>) -> Self {
        Self { pools: BTreeMap::new(), placements: HashMap::new(), limits, shared, events }
    }

    /// Returns the connection for an attempt with this name: the least loaded one, or a new one if all are busy and the
    /// limits allow it. Returns `None` if no connection accepts the attempt and no connection can be opened.
    fn choose_connection(
        &mut self,
        engine: &EngineId,
        address: SocketAddr,
        name: &str,
    ) -> Option<Rc<Connection>> {
        self.retire_other_addresses(engine, address);
        let available = self.least_loaded(engine, name);
        if available.as_ref().is_some_and(|connection| !self.should_open_another(engine, connection, name)) {
            return available;
        }
        if self.open_connections() >= self.max_connections() {
            return available;
        }
        Some(self.open_connection(engine, address))
    }

    /// Retires connections to previous addresses of an engine. Creates the pool of the engine if it has none, so that the
    /// engine is counted when the connections are divided between engines.
    fn retire_other_addresses(&mut self, engine: &EngineId, address: SocketAddr) {
        let pool = self.pools.entry(engine.clone()).or_default();
        for connection in pool.iter().filter(|connection| connection.address != address) {
            connection.retired.set(true);
        }
    }

    /// Returns the available connection with the fewest attempts in flight. Connections that have not served an attempt with
    /// this name are preferred, then established ones to those that are being opened.
    fn least_loaded(&self, engine: &EngineId, name: &str) -> Option<Rc<Connection>> {
        let pool = self.pools.get(engine)?;
        let available = pool.iter().filter(|connection| connection.accepts(&self.limits, name));
        let load = |connection: &&Rc<Connection>| {
            (
                connection.has_served(name),
                connection.connected_at.get().is_none(),
                connection.in_flight_count(),
            )
        };
        available.min_by_key(load).cloned()
    }

    /// Returns whether another connection should be opened: the least loaded one is busy or has served an attempt with this
    /// name, and the engine has used less than half of its share of the connections.
    fn should_open_another(&self, engine: &EngineId, connection: &Connection, name: &str) -> bool {
        let share = self.max_connections() / self.pools.len().max(1);
        let open = self.pools.get(engine).map_or(0, |pool| count_open(pool));
        let is_busy = connection.in_flight_count() >= self.limits.preferred_attempts_per_connection;
        (is_busy || connection.has_served(name)) && open < share / 2
    }

    /// Returns the maximum number of connections that this process may have open.
    fn max_connections(&self) -> usize {
        self.shared.process_share(self.limits.max_engine_connections)
    }

    fn open_connections(&self) -> usize {
        self.pools.values().map(|pool| count_open(pool)).sum()
    }

    fn open_connection(&mut self, engine: &EngineId, address: SocketAddr) -> Rc<Connection> {
        let connection = Rc::new(Connection::new(address, self.shared.clone()));
        self.pools.entry(engine.clone()).or_default().push(connection.clone());
        let run = driver::run(connection.clone(), self.limits.clone(), self.events.clone());
        tokio::task::spawn_local(connection.share.clone().run(run));
        connection
    }

    /// Closes connections without anything in flight that are retired or have been idle for the idle timeout.
    fn close_unused(&self) {
        let connections = self.pools.values().flatten();
        for connection in connections.filter(|connection| !connection.closed.get() && connection.is_idle()) {
            if connection.retired.get()
                || connection.last_used.get().elapsed() >= self.limits.engine_idle_timeout
            {
                connection.retired.set(true);
                connection.write_queue.close(CloseMode::AfterWrite);
            }
        }
    }

    fn remove_closed(&mut self) {
        for pool in self.pools.values_mut() {
            pool.retain(|connection| !connection.closed.get());
        }
        self.pools.retain(|_, pool| !pool.is_empty());
    }

    fn remove_ended_placements(&mut self) {
        self.placements.retain(|id, placement| placement.connection.has_in_flight(*id, &placement.name));
    }
}

fn count_open(pool: &[Rc<Connection>]) -> usize {
    pool.iter().filter(|connection| !connection.closed.get()).count()
}

impl Engines for RespEngines {
    fn send(&mut self, send: Send, events: &mut Vec<Event>) {
        let name = send.statement.name.clone();
        let Some(connection) = self.choose_connection(&send.engine, send.address, &name) else {
            log::error_rate_limited(
                "connection limit reached; reporting the attempt as not executed, engine",
                &send.engine.0,
            );
            return events.push(Event::AttemptEnded(send.id, AttemptEnd::from_outcome(Outcome::NotExecuted)));
        };
        connection.last_used.set(Instant::now());
        connection.in_flight.borrow_mut().insert(name.clone(), InFlight::new(send.id));
        let id = send.id;
        connection.write_queue.push(resp::attempt_command(send), &self.limits);
        self.placements.insert(id, Placement { connection, name });
    }

    fn abort_attempt(&mut self, id: AttemptId, timed_out: bool) {
        let Some(Placement { connection, name }) = self.placements.remove(&id) else { return };
        if !connection.has_in_flight(id, &name) {
            return;
        }
        let Some(attempt) = connection.end_attempt(&name) else { return };
        if connection.write_queue.withdraw(id) {
            return;
        }
        // Silence during an attempt that timed out retires the connection, even if the timeout was short. For any other
        // attempt the silence must have lasted for the stall timeout, which a working engine does not reach.
        let silence = if timed_out { Duration::ZERO } else { self.limits.engine_stall_timeout };
        connection.retire_if_silent(attempt.sent_at, silence);
        let word = if attempt.result.is_some() { "shut" } else { "never_mind" };
        connection.write_queue.push(resp::command(&[word, &name]), &self.limits);
        connection.retire_name(name, &self.limits);
    }

    fn set_priority(&mut self, id: AttemptId, priority: u8) {
        let Some(Placement { connection, name }) = self.placements.get(&id) else { return };
        let is_running = connection
            .in_flight
            .borrow()
            .get(name)
            .is_some_and(|attempt| attempt.id == id && attempt.result.is_none());
        if is_running {
            connection.write_queue.push(resp::command(&["hurry", name, &priority.to_string()]), &self.limits);
        }
    }

    fn check_health(&mut self, tag: u64, engine: &EngineId, address: SocketAddr, events: &mut Vec<Event>) {
        let Some(connection) = self.choose_connection(engine, address, "") else {
            return events.push(Event::HealthChecked { number: tag, succeeded: false, report: None });
        };
        connection.health_checks.borrow_mut().insert(tag, Instant::now());
        connection.write_queue.push(resp::command(&["busy", &format!("p{tag}")]), &self.limits);
    }

    fn drop_queued(&mut self, engine: &EngineId, events: &mut Vec<Event>) {
        for connection in self.pools.get(engine).into_iter().flatten() {
            connection.retired.set(true);
            // Another process may accept a connection that is being opened.
            if connection.connected_at.get().is_none() {
                connection.write_queue.close(CloseMode::Immediately);
            }
            for id in connection.withdraw_unsent() {
                self.placements.remove(&id);
                events.push(Event::AttemptEnded(id, AttemptEnd::from_outcome(Outcome::NotExecuted)));
            }
        }
    }

    fn maintain(&mut self, events: &mut Vec<Event>) {
        for connection in self.pools.values().flatten() {
            connection.end_stalled_results(&self.limits, events);
            connection.expire_health_checks(&self.limits);
        }
        self.close_unused();
        self.remove_closed();
        self.remove_ended_placements();
    }
}
