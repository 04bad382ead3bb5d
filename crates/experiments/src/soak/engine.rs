//! Simulated engine: serves each request after a random time, has faults that can be switched on, and records every attempt.

use super::context::RunContext;
use super::ledger::{AttemptEnd, AttemptOutcome, AttemptRecord};
use rand::Rng;
use rustix::net::sockopt::set_socket_linger;
use starlingplank_test_doubles::resp;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::watch;
use tokio::time::sleep;

/// Service time of a request, in milliseconds.
const SERVICE_TIME_MS: std::ops::Range<u64> = 60..260;
/// Mean service time of a request, in seconds.
pub(super) const MEAN_SERVICE_TIME: f64 = 0.16;
/// Maximum size of a command, in bytes.
const MAX_COMMAND_BYTES: usize = 1 << 16;
/// Time between two attempts to bind the port again after a restart.
const BIND_PAUSE: Duration = Duration::from_millis(5);
/// Interval at which a hanging engine checks whether the fault is over.
const HANG_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which an answer is given to be sent before its connection is reset.
const SEND_TIME: Duration = Duration::from_millis(1);

/// Behaviour of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Behaviour {
    /// The engine serves requests.
    Serve,
    /// The engine answers neither requests nor load polls.
    Hang,
    /// The engine rejects all requests as overloaded.
    Overload,
    /// The engine resets all its connections each time it has answered the last open request on one of them.
    CloseIdle,
}

/// Simulated engine.
pub(super) struct Engine {
    /// Address at which the engine listens.
    pub(super) address: SocketAddr,
    context: Rc<RunContext>,
    /// Number of the engine in the ledger. It changes with each restart.
    pub(super) number: Cell<usize>,
    behaviour: Cell<Behaviour>,
    /// Counter whose changes make all open connections reset.
    resets: watch::Sender<u64>,
    is_up: watch::Sender<bool>,
}

/// Attempt that is in flight at the engine.
struct InFlight {
    txn: String,
    /// Index of the attempt among the attempts of its request.
    index: usize,
}

/// Connection of a gateway: its in-flight attempts by transaction id, and the queue of its answers.
#[derive(Clone)]
struct Connection {
    in_flight: Rc<RefCell<HashMap<String, InFlight>>>,
    answers: UnboundedSender<Vec<u8>>,
}

impl Connection {
    fn answer(&self, parts: &[&str]) {
        let _ = self.answers.send(resp::encode(parts));
    }
}

impl Engine {
    /// Starts an engine on a port that the operating system assigns.
    ///
    /// # Errors
    /// Fails if no port is available.
    pub(super) async fn start(context: Rc<RunContext>, number: usize) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let engine = Rc::new(Self {
            address: listener.local_addr()?,
            context,
            number: Cell::new(number),
            behaviour: Cell::new(Behaviour::Serve),
            resets: watch::Sender::new(0),
            is_up: watch::Sender::new(true),
        });
        tokio::task::spawn_local(engine.clone().accept_connections(listener));
        Ok(engine)
    }

    /// Sets the behaviour of the engine from now on.
    pub(super) fn set_behaviour(&self, behaviour: Behaviour) {
        self.behaviour.set(behaviour);
    }

    /// Resets all connections of the engine.
    pub(super) fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Stops listening and resets all connections, like a process that crashes.
    pub(super) fn crash(&self) {
        self.is_up.send_replace(false);
        self.reset();
    }

    /// Restarts the engine, which gets the given number in the ledger.
    pub(super) fn restart(&self, number: usize) {
        self.number.set(number);
        self.is_up.send_replace(true);
    }

    async fn accept_connections(self: Rc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut is_up = self.is_up.subscribe();
        loop {
            if !*is_up.borrow_and_update() {
                listener = None;
                if is_up.wait_for(|is_up| *is_up).await.is_err() {
                    return;
                }
            }
            let Some(open) = listener.take() else {
                listener = TcpListener::bind(self.address).await.ok();
                sleep(BIND_PAUSE).await;
                continue;
            };
            tokio::select! {
                accepted = open.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::task::spawn_local(self.clone().serve(stream));
                    }
                    listener = Some(open);
                }
                _ = is_up.changed() => {}
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut resets = self.resets.subscribe();
        resets.borrow_and_update();
        let Some((stream, resettable)) = with_duplicate_descriptor(stream) else { return };
        let (reader, mut writer) = stream.into_split();
        let (answers, mut queue) = unbounded_channel::<Vec<u8>>();
        let connection = Connection { in_flight: Rc::default(), answers };
        let in_flight = connection.in_flight.clone();
        let write_answers = async {
            while let Some(bytes) = queue.recv().await {
                if writer.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = write_answers => {}
            () = self.read_commands(reader, connection) => {}
            _ = resets.changed() => {
                let _ = set_socket_linger(&resettable, Some(Duration::ZERO));
            }
        }
        let ended: Vec<InFlight> = in_flight.borrow_mut().drain().map(|(_, attempt)| attempt).collect();
        for attempt in ended {
            self.record_end(&attempt, AttemptOutcome::ConnectionClosed);
        }
    }

    async fn read_commands(self: &Rc<Self>, mut reader: OwnedReadHalf, connection: Connection) {
        let mut received = Vec::new();
        loop {
            loop {
                match resp::parse(&received) {
                    Ok(Some(command)) => {
                        received.drain(..command.length);
                        self.handle(&command.parts, &connection);
                    }
                    Ok(None) => break,
                    Err(_) => return,
                }
            }
            let is_too_long = received.len() > MAX_COMMAND_BYTES;
            if is_too_long || !matches!(reader.read_buf(&mut received).await, Ok(1..)) {
                return;
            }
        }
    }

    fn handle(self: &Rc<Self>, parts: &[String], connection: &Connection) {
        match parts.first().map_or("", String::as_str) {
            "want" if parts.len() > 2 => self.begin(&parts[1], &parts[2], connection),
            "never_mind" if parts.len() > 1 => {
                let cancelled = connection.in_flight.borrow_mut().remove(&parts[1]);
                if let Some(attempt) = cancelled {
                    self.record_end(&attempt, AttemptOutcome::Cancelled);
                }
            }
            "busy" if parts.len() > 1 && self.behaviour.get() != Behaviour::Hang => {
                connection.answer(&[&parts[1], "green", "use=util:0.3", ""]);
            }
            _ => {}
        }
    }

    fn begin(self: &Rc<Self>, txn: &str, fields: &str, connection: &Connection) {
        let attempt = self.record_attempt(txn, fields);
        if self.behaviour.get() == Behaviour::Overload {
            self.record_end(&attempt, AttemptOutcome::NotExecuted);
            return connection.answer(&[txn, "overload", "-", ""]);
        }
        connection.in_flight.borrow_mut().insert(txn.to_owned(), attempt);
        let (engine, connection, txn) = (self.clone(), connection.clone(), txn.to_owned());
        let service_time_ms = self.context.draw(|rng| rng.random_range(SERVICE_TIME_MS));
        tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(service_time_ms)).await;
            engine.finish(&txn, service_time_ms, &connection).await;
        });
    }

    fn record_attempt(&self, txn: &str, fields: &str) -> InFlight {
        let budget_ms =
            fields.split(',').find_map(|field| field.strip_prefix("budget=")?.parse::<f64>().ok());
        let attempt = AttemptRecord {
            engine: self.number.get(),
            arrived: self.context.observe(),
            budget: budget_ms.unwrap_or(f64::INFINITY) / 1000.0,
            end: None,
        };
        let mut ledger = self.context.ledger.borrow_mut();
        let attempts = ledger.attempts.entry(txn.to_owned()).or_default();
        attempts.push(attempt);
        InFlight { txn: txn.to_owned(), index: attempts.len() - 1 }
    }

    async fn finish(&self, txn: &str, service_time_ms: u64, connection: &Connection) {
        // A hanging request is served when the fault is over, unless it was cancelled.
        while self.behaviour.get() == Behaviour::Hang {
            sleep(HANG_CHECK_INTERVAL).await;
        }
        let Some(attempt) = connection.in_flight.borrow_mut().remove(txn) else { return };
        self.record_end(&attempt, AttemptOutcome::Served);
        let fields = format!("pages=1,cost={service_time_ms},need=8");
        connection.answer(&[txn, "served", &fields, "a\tb\tc\n"]);
        if self.behaviour.get() == Behaviour::CloseIdle && connection.in_flight.borrow().is_empty() {
            // The answer is sent before the reset. Requests that gateways are sending at this moment cross it.
            sleep(SEND_TIME).await;
            self.reset();
        }
    }

    /// Records the end of an attempt. If an end is already recorded, it stays.
    fn record_end(&self, attempt: &InFlight, outcome: AttemptOutcome) {
        let at = self.context.observe();
        let mut ledger = self.context.ledger.borrow_mut();
        let attempts = ledger.attempts.get_mut(&attempt.txn);
        if let Some(record) = attempts.and_then(|attempts| attempts.get_mut(attempt.index)) {
            record.end.get_or_insert(AttemptEnd { at, outcome });
        }
    }
}

/// Returns a connection with a duplicate of its descriptor, through which the connection can be reset. A reset discards all unsent bytes.
fn with_duplicate_descriptor(stream: TcpStream) -> Option<(TcpStream, std::net::TcpStream)> {
    let stream = stream.into_std().ok()?;
    let copy = stream.try_clone().ok()?;
    Some((TcpStream::from_std(stream).ok()?, copy))
}
