//! A test double of an engine on loopback. It implements the parts of the platform's RESP commands and of the ClickHouse HTTP
//! interface that the gateway uses.
//!
//! The [`CapacityModel`] determines the duration of statements. A statement specifies its work, for example as
//! `work=250 usual=300 threads=2`, where `usual` is the work that counts against the slow-start budget. Repeats of an
//! idempotency key are not executed within a window, which begins when the key first arrives at any engine of the [`Fleet`].
//! Each execution of a key is recorded. An engine can be stopped, which breaks its connections, and restarted cold. It can
//! refuse connections, or accept them without responding. Everything that arrives is recorded. Wrong answers are not modelled
//! here, but by `tests/stand` of the gateway.

pub(crate) mod command;
mod execution;
mod fleet;

use crate::capacity_model::{CapacityModel, EngineSpec};
use crate::lock;
use crate::resp::MAX_MESSAGE_BYTES;
use command::encode_served;
pub use command::EngineProtocol;
pub use fleet::Fleet;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::time::{interval, MissedTickBehavior};

/// Interval at which executions that have ended are answered.
const TICK: Duration = Duration::from_millis(1);
/// Interval at which the listener and open connections poll the state of the engine.
const STATE_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which connections that are accepted but not served poll the state of the engine.
const UNSERVED_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Uptime of an engine that starts warm, in milliseconds.
const WARM_AGE: f64 = 1e9;
/// Maximum number of arrivals that are recorded. A record of this length may be incomplete, which its reader can detect by the length.
pub const MAX_ARRIVALS: usize = 2_000_000;

/// The way in which an engine handles new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerMode {
    /// New connections are served.
    Serving,
    /// New connections are refused.
    Refusing,
    /// New connections are accepted, but nothing is read from or written to them.
    Unresponsive,
}

/// The record of a connection, health check or attempt that arrived at an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time of the arrival, in milliseconds of the fleet's clock.
    pub at: f64,
    /// Kind of the arrival.
    pub kind: ArrivalKind,
}

/// The kind of an arrival at an engine.
#[derive(Debug, Clone, PartialEq)]
pub enum ArrivalKind {
    /// A client opened a connection.
    Connection,
    /// A health check was received.
    HealthCheck,
    /// An attempt was received.
    Attempt {
        /// Name of the request.
        request: String,
        /// Work that counts against the slow-start budget, in milliseconds on one core.
        usual_work: f64,
    },
}

/// A client connection: its id, and the queue of answers to write to it.
struct Connection {
    id: u64,
    answers: UnboundedSender<Vec<u8>>,
}

/// An execution of a statement that is in flight.
struct Execution {
    request: String,
    work: f64,
    /// Id of the connection on which the statement arrived.
    connection: u64,
    answers: UnboundedSender<Vec<u8>>,
}

struct State {
    model: CapacityModel,
    executions: HashMap<u64, Execution>,
    last_id: u64,
    is_up: bool,
    /// Number of times that the engine has shut down. Connections of an earlier incarnation are closed.
    incarnation: u64,
    listener_mode: ListenerMode,
    arrivals: Vec<Arrival>,
    rng: Pcg64Mcg,
}

impl State {
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// A running engine. Clones refer to the same engine.
#[derive(Clone)]
pub struct Engine {
    /// Address on which the engine listens.
    pub address: SocketAddr,
    protocol: EngineProtocol,
    fleet: Fleet,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// Starts a warm engine on a free port of the loopback address. Its tasks run on the current local set.
    ///
    /// # Errors
    /// No port could be bound.
    pub async fn start(
        protocol: EngineProtocol,
        spec: EngineSpec,
        fleet: Fleet,
        seed: u64,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let now = fleet.now();
        let state = State {
            model: CapacityModel::new(spec, now - WARM_AGE, now),
            executions: HashMap::new(),
            last_id: 0,
            is_up: true,
            incarnation: 0,
            listener_mode: ListenerMode::Serving,
            arrivals: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        let state = Arc::new(Mutex::new(state));
        let engine = Self { address: listener.local_addr()?, protocol, fleet, state };
        tokio::task::spawn_local(engine.clone().accept_connections(listener));
        tokio::task::spawn_local(engine.clone().run());
        Ok(engine)
    }

    /// Stops the engine: open connections break, and new ones are closed immediately.
    pub fn stop(&self) {
        let mut state = lock(&self.state);
        state.model.clear();
        self.shut_down(&mut state);
    }

    /// Restarts the engine cold.
    pub fn restart(&self) {
        let mut state = lock(&self.state);
        let now = self.fleet.now();
        // The maximum covers all incarnations of the engine.
        let max_overload_ratio = state.model.max_overload_ratio;
        state.model = CapacityModel::new(state.model.spec.clone(), now, now);
        state.model.max_overload_ratio = max_overload_ratio;
        state.is_up = true;
    }

    /// Calls a function with the capacity model of the engine, and returns its result.
    pub fn with_model<T>(&self, read: impl FnOnce(&CapacityModel) -> T) -> T {
        read(&lock(&self.state).model)
    }

    /// Sets the way in which new connections are handled from now on.
    pub fn set_listener_mode(&self, mode: ListenerMode) {
        lock(&self.state).listener_mode = mode;
    }

    /// Returns the recorded arrivals, in order of arrival.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.state).arrivals.clone()
    }

    fn record(&self, state: &mut State, kind: ArrivalKind) {
        if state.arrivals.len() < MAX_ARRIVALS {
            state.arrivals.push(Arrival { at: self.fleet.now(), kind });
        }
    }

    fn shut_down(&self, state: &mut State) {
        state.is_up = false;
        state.incarnation += 1;
        self.drop_executions(state, |_| true);
    }

    fn drop_executions(&self, state: &mut State, is_dropped: impl Fn(&Execution) -> bool) {
        for (_, execution) in state.executions.extract_if(|_, execution| is_dropped(execution)) {
            self.fleet.end_attempt(&execution.request, self.fleet.now());
        }
    }

    async fn accept_connections(self, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut state_check = interval(STATE_CHECK_INTERVAL);
        loop {
            let is_refusing = lock(&self.state).listener_mode == ListenerMode::Refusing;
            match (&listener, is_refusing) {
                (Some(_), true) => listener = None,
                // If another process has bound the port in the meantime, which is unlikely, connections remain refused.
                (None, false) => listener = TcpListener::bind(self.address).await.ok(),
                _ => {}
            }
            let Some(bound) = &listener else {
                state_check.tick().await;
                continue;
            };
            tokio::select! {
                accepted = bound.accept() => {
                    if let Ok((stream, _)) = accepted {
                        self.accept(stream);
                    }
                }
                _ = state_check.tick() => {}
            }
        }
    }

    fn accept(&self, stream: TcpStream) {
        let mut state = lock(&self.state);
        self.record(&mut state, ArrivalKind::Connection);
        if !state.is_up || state.model.collapsed_at.is_some() {
            return;
        }
        let _ = stream.set_nodelay(true);
        let incarnation = state.incarnation;
        if state.listener_mode == ListenerMode::Unresponsive {
            tokio::task::spawn_local(self.clone().keep_open_unserved(stream, incarnation));
        } else {
            tokio::task::spawn_local(self.clone().serve(stream, incarnation));
        }
    }

    /// Keeps a connection open without reading from it or writing to it.
    async fn keep_open_unserved(self, stream: TcpStream, incarnation: u64) {
        let mut state_check = interval(UNSERVED_CHECK_INTERVAL);
        while lock(&self.state).incarnation == incarnation {
            state_check.tick().await;
        }
        drop(stream);
    }

    /// Advances the capacity model periodically and answers executions that have ended.
    async fn run(self) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_tick = self.fleet.now();
        loop {
            tick.tick().await;
            let now = self.fleet.now();
            self.fleet.observe_gap(self.address, now - last_tick);
            last_tick = now;
            self.advance(now);
        }
    }

    fn advance(&self, now: f64) {
        let mut state = lock(&self.state);
        for id in state.model.advance(now) {
            let Some(execution) = state.executions.remove(&id) else { continue };
            self.fleet.end_attempt(&execution.request, now);
            let load = state.model.load_report();
            let answer = encode_served(self.protocol, &execution.request, execution.work, &load);
            let _ = execution.answers.send(answer);
        }
        if state.model.collapsed_at.is_some() && state.is_up {
            self.shut_down(&mut state);
        }
    }

    async fn serve(self, mut stream: TcpStream, incarnation: u64) {
        let (answers, mut queue) = unbounded_channel::<Vec<u8>>();
        let connection = Connection { id: lock(&self.state).next_id(), answers };
        let mut received = Vec::new();
        let mut state_check = interval(STATE_CHECK_INTERVAL);
        loop {
            tokio::select! {
                read = stream.read_buf(&mut received) => {
                    let is_open = matches!(read, Ok(length) if length > 0);
                    if !is_open || received.len() > MAX_MESSAGE_BYTES {
                        break;
                    }
                    if self.handle_all(&mut received, &connection).is_err() {
                        break;
                    }
                }
                Some(answer) = queue.recv() => {
                    if stream.write_all(&answer).await.is_err() {
                        break;
                    }
                }
                _ = state_check.tick() => {
                    if lock(&self.state).incarnation != incarnation {
                        break;
                    }
                }
            }
        }
        self.connection_closed(connection.id);
    }

    /// Handles and removes all complete commands in the receive buffer.
    fn handle_all(
        &self,
        received: &mut Vec<u8>,
        connection: &Connection,
    ) -> Result<(), command::InvalidCommand> {
        while let Some(parsed) = command::parse(self.protocol, received)? {
            received.drain(..parsed.length);
            if let Some(answer) = self.handle(&parsed.command, connection) {
                let _ = connection.answers.send(answer);
            }
        }
        Ok(())
    }

    /// Cancels all executions that arrived on a connection, after the connection was closed.
    fn connection_closed(&self, connection: u64) {
        let mut state = lock(&self.state);
        let executions = state.executions.iter().filter(|(_, execution)| execution.connection == connection);
        let ids: Vec<u64> = executions.map(|(id, _)| *id).collect();
        for id in ids {
            state.model.cancel(id);
        }
        self.drop_executions(&mut state, |execution| execution.connection == connection);
    }
}
