//! Engines with the ClickHouse HTTP interface. A connection carries one attempt at a time. It is used again if nothing followed
//! the response; after a response without a query id, preferably once it has settled. An attempt is aborted by closing
//! its connection, which is how such an engine is notified.
//!
//! [`HttpEngines`] chooses a connection, `request` encodes the request of an attempt, `driver` owns the socket, and
//! `response` reads the response, and `response_head` interprets it.

mod connection;
mod driver;
mod request;
mod response;
mod response_head;

use crate::core::{AttemptEnd, AttemptId, Event, Send};
use crate::interface::{EngineId, Outcome};
use crate::limits::Limits;
use crate::net::connection::frame::Frame;
use crate::net::connection::{CloseMode, SharedState};
use crate::net::engine::Engines;
use crate::net::log;
use connection::{AttemptJob, Connection, Job};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::Sender;

/// Number of connections to an engine without query ids up to which another is opened, so that each can settle
/// between two jobs.
const MAX_CONNECTIONS_TO_SETTLE: usize = 2;

/// Connections to all engines with this interface, in pools by engine id. A separate task drives each connection.
pub struct HttpEngines {
    pools: BTreeMap<EngineId, Vec<Rc<Connection>>>,
    limits: Rc<Limits>,
    shared: Rc<SharedState>,
    events: Sender<Event>,
}

impl HttpEngines {
    /// Creates empty pools.
    pub fn new(limits: Rc<Limits>, shared: Rc<SharedState>, events: Sender<Event>) -> Self {
        Self { pools: BTreeMap::new(), limits, shared, events }
    }

    /// Assigns a job to a free or new connection. Returns false if no connection is free and none can be opened.
    fn assign(&mut self, engine: &EngineId, address: SocketAddr, job: Job, frame: Frame) -> bool {
        self.retire_other_addresses(engine, address);
        let connection = match self.free_connection(engine, &job) {
            Some(connection) => connection,
            None if self.open_connections() >= self.max_connections() => return false,
            None => self.open_connection(engine, address),
        };
        connection.assign(job, frame, &self.limits);
        true
    }

    /// Retires connections to previous addresses of an engine. Creates the pool of the engine if it has none.
    fn retire_other_addresses(&mut self, engine: &EngineId, address: SocketAddr) {
        let pool = self.pools.entry(engine.clone()).or_default();
        for connection in pool.iter().filter(|connection| connection.address != address) {
            connection.retired.set(true);
        }
    }

    /// Returns the free connection that was used most recently, of those on which no late copy of an earlier response can be
    /// taken for the response to this job. Any other free connection is used only if no new one may be opened for the job.
    fn free_connection(&self, engine: &EngineId, job: &Job) -> Option<Rc<Connection>> {
        let pool = self.pools.get(engine)?;
        let free = || pool.iter().filter(|connection| connection.is_free());
        let clean = free().filter(|connection| connection.is_settled() && !connection.has_carried(job));
        if let Some(connection) = clean.max_by_key(|connection| connection.last_used.get()) {
            return Some(connection.clone());
        }
        let unused_longest =
            free().min_by_key(|connection| (connection.has_carried(job), connection.last_used.get()))?;
        let may_open = self.may_open_for_cleanliness(pool, unused_longest.has_carried(job));
        Some(unused_longest.clone()).filter(|_| !may_open)
    }

    /// Returns whether a connection may be opened although another is free: a few in place of those that have not settled
    /// yet, and up to half of the engine's share if a client uses a query id again.
    fn may_open_for_cleanliness(&self, pool: &[Rc<Connection>], repeats_query_id: bool) -> bool {
        let open = pool.iter().filter(|connection| !connection.closed.get()).count();
        let share = self.max_connections() / self.pools.len().max(1);
        let max_open = if repeats_query_id { share / 2 } else { MAX_CONNECTIONS_TO_SETTLE };
        open < max_open && self.open_connections() < self.max_connections()
    }

    fn open_connections(&self) -> usize {
        self.pools.values().flatten().filter(|connection| !connection.closed.get()).count()
    }

    /// Returns the maximum number of connections that this process may have open.
    fn max_connections(&self) -> usize {
        self.shared.process_share(self.limits.max_engine_connections)
    }

    fn open_connection(&mut self, engine: &EngineId, address: SocketAddr) -> Rc<Connection> {
        let pool = self.pools.entry(engine.clone()).or_default();
        let names_requests =
            pool.first().map(|connection| connection.names_requests.clone()).unwrap_or_default();
        let connection = Rc::new(Connection::new(address, self.shared.clone(), names_requests));
        pool.push(connection.clone());
        let run = driver::run(connection.clone(), self.limits.clone(), self.events.clone());
        tokio::task::spawn_local(connection.share.clone().run(run));
        connection
    }

    /// Returns the connection that carries an attempt.
    fn connection_of(&self, id: AttemptId) -> Option<&Rc<Connection>> {
        self.pools.values().flatten().find(|connection| connection.carries(id))
    }

    /// Closes connections on which a health check has had no response within the timeout; they would otherwise stay open
    /// indefinitely.
    fn close_silent_health_checks(&self) {
        for connection in self.pools.values().flatten().filter(|connection| connection.carries_health_check())
        {
            if connection.last_used.get().elapsed() >= self.limits.health_check_connection_timeout {
                connection.write_queue.close(CloseMode::Immediately);
            }
        }
    }

    /// Closes connections without a job that are retired or have been idle for the idle timeout.
    fn close_unused(&self) {
        let connections = self.pools.values().flatten();
        for connection in connections.filter(|connection| !connection.closed.get() && connection.has_no_job())
        {
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
}

impl Engines for HttpEngines {
    fn send(&mut self, send: Send, events: &mut Vec<Event>) {
        let job = Job::Attempt(AttemptJob {
            id: send.id,
            query_id: request::query_id(&send).into(),
            flow: send.statement.flow.clone(),
        });
        let (id, engine, address) = (send.id, send.engine.clone(), send.address);
        if !self.assign(&engine, address, job, Frame::for_attempt(send, request::encode)) {
            log::error_rate_limited(
                "connection limit reached; reporting the attempt as not executed, engine",
                &engine.0,
            );
            events.push(Event::AttemptEnded(id, AttemptEnd::from_outcome(Outcome::NotExecuted)));
        }
    }

    fn abort_attempt(&mut self, id: AttemptId, _: bool) {
        let Some(connection) = self.connection_of(id) else { return };
        connection.end_job();
        if !connection.write_queue.withdraw(id) {
            connection.write_queue.close(CloseMode::Immediately);
        }
    }

    // The interface cannot change the priority of a running query.
    fn set_priority(&mut self, _: AttemptId, _: u8) {}

    fn check_health(&mut self, tag: u64, engine: &EngineId, address: SocketAddr, events: &mut Vec<Event>) {
        let frame = Frame::plain(format!("GET /ping HTTP/1.1\r\nHost: {address}\r\n\r\n").into_bytes());
        if !self.assign(engine, address, Job::HealthCheck(tag), frame) {
            events.push(Event::HealthChecked { number: tag, succeeded: false, report: None });
        }
    }

    fn drop_queued(&mut self, engine: &EngineId, events: &mut Vec<Event>) {
        for connection in self.pools.get(engine).into_iter().flatten() {
            connection.retired.set(true);
            for id in connection.write_queue.unsent_attempts() {
                if connection.write_queue.withdraw(id) {
                    connection.end_job();
                    events.push(Event::AttemptEnded(id, AttemptEnd::from_outcome(Outcome::NotExecuted)));
                }
            }
            // Another process may accept a connection that is being opened.
            if connection.has_no_job() || connection.write_queue.awaits_first_byte() {
                connection.write_queue.close(CloseMode::Immediately);
            }
        }
    }

    fn maintain(&mut self, _: &mut Vec<Event>) {
        self.close_silent_health_checks();
        self.close_unused();
        self.remove_closed();
    }
}
