//! Simulated client: sends one request at a time, on connections that it reuses, leaves idle, or closes, and records every request.

use super::context::RunContext;
use super::ledger::{Answer, Class, RequestEnd, RequestRecord};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use starlingplank_test_doubles::thrift::{self, Answer as ThriftAnswer};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{error::Elapsed, sleep, timeout};

/// Time between two requests of an intermittent client, in milliseconds.
const THINK_TIME_MS: Range<u64> = 5..80;
/// Time in milliseconds for which an intermittent client is idle in some of its pauses, instead of the usual time.
const IDLE_TIME_MS: Range<u64> = 500..3_500;
/// Mean number of pauses of a client for each one in which it is idle.
const IDLE_EVERY: u32 = 25;
/// Mean number of pauses of a client for each one in which it closes its connection.
const CLOSE_EVERY: u32 = 6;
/// Additional time in milliseconds that an intermittent client waits after a request that was not served.
const BACKOFF_MS: u64 = 200;
/// Share of requests that clients abandon.
const ABANDONED_SHARE: f64 = 0.05;
/// Share of requests that clients abandon while the fault `ImpatientClients` lasts.
const IMPATIENT_ABANDONED_SHARE: f64 = 0.3;
/// Time in milliseconds from sending a request until the client abandons it.
const ABANDON_AFTER_MS: Range<u64> = 0..200;
/// Time for which a client waits beyond its timeout, to distinguish a late answer from a missing one.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(4);
/// Time for which a client waits for a second answer, which would violate a rule.
const SECOND_ANSWER_WAIT: Duration = Duration::from_millis(2);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a client waits after a failed connection attempt.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Time that a client waits before it repeats a request of the recovery check.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(100);
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Time that a persistent client waits after a request that was not served.
const PERSISTENT_BACKOFF: Duration = Duration::from_millis(60);
/// Probability that a client abandons its open request when the fault `DeparturesInPauses` makes clients of its gateway leave.
const DEPARTURE_PROBABILITY: f64 = 0.7;

/// Kind of a client, by its behaviour between two requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClientKind {
    /// The client waits, is idle, or closes its connection between requests. It cancels some requests and disconnects during others.
    Intermittent,
    /// The client sends the next request immediately, and closes its connection only when `DeparturesInPauses` makes it leave.
    Persistent,
}

/// Connection to a gateway, with the sequence number of the last call on it.
struct Connection {
    stream: TcpStream,
    last_sequence: i32,
    incarnation: u32,
}

/// Client of one gateway, which owns its connection.
pub(super) struct Client {
    context: Rc<RunContext>,
    gateway: usize,
    kind: ClientKind,
    connection: Option<Connection>,
}

/// Behaviour of a client after it has sent a request.
enum Behaviour {
    Wait,
    CancelAfter(Duration),
    DisconnectAfter(Duration),
}

/// Pause of an intermittent client between two requests.
struct Pause {
    think_ms: u64,
    idle_ms: Option<u64>,
    closes_connection: bool,
}

impl Client {
    /// Returns a client of a gateway that has no connection yet.
    pub(super) fn new(context: Rc<RunContext>, gateway: usize, kind: ClientKind) -> Self {
        Self { context, gateway, kind, connection: None }
    }

    /// Sends one request after another until the run is over.
    pub(super) async fn run(mut self) {
        while !self.context.is_over.get() {
            let behaviour = match self.kind {
                ClientKind::Intermittent => self.draw_behaviour(),
                ClientKind::Persistent => Behaviour::Wait,
            };
            let end = self.request(behaviour).await;
            let is_satisfied =
                matches!(end, Some(RequestEnd::Answered(_, Answer::Served) | RequestEnd::Abandoned(_)));
            match self.kind {
                ClientKind::Intermittent => self.pause(is_satisfied).await,
                ClientKind::Persistent if is_satisfied => {}
                ClientKind::Persistent => sleep(PERSISTENT_BACKOFF).await,
            }
        }
    }

    /// Sends up to `attempts` requests until one is served. Returns whether one was served.
    pub(super) async fn is_served_within(&mut self, attempts: usize) -> bool {
        for _ in 0..attempts {
            let end = self.request(Behaviour::Wait).await;
            if matches!(end, Some(RequestEnd::Answered(_, Answer::Served))) {
                return true;
            }
            sleep(ATTEMPT_PAUSE).await;
        }
        false
    }

    fn draw_behaviour(&self) -> Behaviour {
        let is_impatient = self.context.clients_are_impatient.get();
        let share = if is_impatient { IMPATIENT_ABANDONED_SHARE } else { ABANDONED_SHARE };
        self.context.draw(|rng| {
            let after = Duration::from_millis(rng.random_range(ABANDON_AFTER_MS));
            match rng.random_range(0.0..1.0) {
                draw if draw < share / 2.0 => Behaviour::CancelAfter(after),
                draw if draw < share => Behaviour::DisconnectAfter(after),
                _ => Behaviour::Wait,
            }
        })
    }

    async fn pause(&mut self, is_satisfied: bool) {
        let pause = self.context.draw(draw_pause);
        if pause.closes_connection {
            self.connection = None;
        }
        let backoff_ms = if is_satisfied { 0 } else { BACKOFF_MS };
        sleep(Duration::from_millis(pause.idle_ms.unwrap_or(pause.think_ms) + backoff_ms)).await;
    }

    /// Sends one request and records it. Returns `None` if no connection could be opened.
    async fn request(&mut self, behaviour: Behaviour) -> Option<RequestEnd> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        connection.last_sequence += 1;
        let (class, timeout) = self.context.draw(draw_request);
        let txn = format!("{:016x}", self.context.draw(Rng::random::<u64>));
        let message = encode_request(connection.last_sequence, class, &txn, timeout);
        let written = connection.stream.write_all(&message).await;
        let sent = self.context.now();
        let end = match written {
            Ok(()) => self.wait(&mut connection, timeout, behaviour).await,
            // The gateway may have read the part that was written.
            Err(_) => RequestEnd::WriteFailed(sent),
        };
        let ended_after = self.context.observe().earliest;
        let further_answers = u32::from(receives_second_answer(&mut connection, end).await);
        let record = RequestRecord {
            gateway: self.gateway,
            incarnation: connection.incarnation,
            class,
            sent,
            timeout,
            end,
            ended_after,
            further_answers,
            on_used_connection: connection.last_sequence > 1,
        };
        self.context.ledger.borrow_mut().requests.insert(txn, record);
        let is_reusable = matches!(end, RequestEnd::Answered(..)) && further_answers == 0;
        self.connection = is_reusable.then_some(connection);
        Some(end)
    }

    async fn connect(&self) -> Option<Connection> {
        let incarnation = self.context.incarnation(self.gateway);
        let connecting = TcpStream::connect(self.context.addresses[self.gateway]);
        let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, connecting).await else {
            sleep(CONNECT_PAUSE).await;
            return None;
        };
        let _ = stream.set_nodelay(true);
        Some(Connection { stream, last_sequence: 0, incarnation })
    }

    async fn wait(&self, connection: &mut Connection, limit: f64, behaviour: Behaviour) -> RequestEnd {
        let departure = self.departure();
        let cancel = encode_cancel(connection.last_sequence);
        let (mut reader, mut writer) = connection.stream.split();
        let answer = timeout(Duration::from_secs_f64(limit) + LATE_ANSWER_WAIT, receive_answer(&mut reader));
        match behaviour {
            Behaviour::Wait => tokio::select! {
                answer = answer => self.ended(answer),
                is_cancelled = departure => {
                    if is_cancelled {
                        let _ = writer.write_all(&cancel).await;
                    }
                    RequestEnd::Abandoned(self.context.now())
                }
            },
            Behaviour::CancelAfter(after) => tokio::select! {
                answer = answer => self.ended(answer),
                () = sleep(after) => {
                    let _ = writer.write_all(&cancel).await;
                    RequestEnd::Abandoned(self.context.now())
                }
            },
            Behaviour::DisconnectAfter(after) => tokio::select! {
                answer = answer => self.ended(answer),
                () = sleep(after) => RequestEnd::Abandoned(self.context.now()),
            },
        }
    }

    /// Waits until the fault `DeparturesInPauses` makes this client abandon its request. Returns whether the client cancels the request
    /// before it disconnects.
    async fn departure(&self) -> bool {
        let mut departures = self.context.departures[self.gateway].subscribe();
        loop {
            if departures.changed().await.is_err() {
                return std::future::pending().await;
            }
            if self.context.draw(|rng| rng.random_bool(DEPARTURE_PROBABILITY)) {
                return self.context.draw(|rng| rng.random_bool(0.5));
            }
        }
    }

    fn ended(&self, answer: Result<Option<Answer>, Elapsed>) -> RequestEnd {
        let now = self.context.now();
        match answer {
            Ok(Some(answer)) => RequestEnd::Answered(now, answer),
            Ok(None) => RequestEnd::ConnectionLost(now),
            Err(_) => RequestEnd::NoAnswer(now),
        }
    }
}

fn draw_pause(rng: &mut Pcg64Mcg) -> Pause {
    let idle_ms = (rng.random_range(0..IDLE_EVERY) == 0).then(|| rng.random_range(IDLE_TIME_MS));
    let think_ms = rng.random_range(THINK_TIME_MS);
    Pause { think_ms, idle_ms, closes_connection: rng.random_range(0..CLOSE_EVERY) == 0 }
}

/// Draws the class of a request, and its timeout in seconds.
fn draw_request(rng: &mut Pcg64Mcg) -> (Class, f64) {
    let class = match rng.random_range(0..10) {
        0..5 => Class::Idempotent,
        5..8 => Class::NotIdempotent,
        _ => Class::Keyed,
    };
    let timeout = match rng.random_range(0..12) {
        0 => rng.random_range(0.03..0.2),
        _ => rng.random_range(0.8..3.5),
    };
    (class, timeout)
}

fn encode_request(sequence: i32, class: Class, txn: &str, timeout: f64) -> Vec<u8> {
    let (key, limit) = (format!("k{txn}"), format!("{:.0}", timeout * 1000.0));
    let mut fields = vec![("verb", class.name()), ("txn", txn), ("limit", limit.as_str())];
    if class == Class::Keyed {
        fields.push(("unique", key.as_str()));
    }
    thrift::encode_call(sequence, &fields, "select 1")
}

/// Encodes the Thrift oneway message `cancel` for the call with this sequence number.
fn encode_cancel(sequence: i32) -> Vec<u8> {
    let mut message = vec![0x80, 1, 0, 4, 0, 0, 0, 6];
    message.extend(b"cancel");
    message.extend(0_i32.to_be_bytes());
    message.extend([8, 0, 1]);
    message.extend(sequence.to_be_bytes());
    message.push(0);
    [&(message.len() as u32).to_be_bytes()[..], &message].concat()
}

/// Returns whether a second answer follows the first one.
async fn receives_second_answer(connection: &mut Connection, end: RequestEnd) -> bool {
    matches!(end, RequestEnd::Answered(..))
        && matches!(timeout(SECOND_ANSWER_WAIT, receive_answer(&mut connection.stream)).await, Ok(Some(_)))
}

/// Receives the next answer. Returns `None` if the connection ends first, or if the answer cannot be decoded.
async fn receive_answer(stream: &mut (impl AsyncRead + Unpin)) -> Option<Answer> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.ok()?;
    let length = u32::from_be_bytes(length) as usize;
    let mut frame = vec![0; length.min(MAX_ANSWER_BYTES)];
    stream.read_exact(&mut frame).await.ok()?;
    match thrift::parse_reply(&frame)?.answer {
        ThriftAnswer::Served => Some(Answer::Served),
        ThriftAnswer::Rejected(_) => Some(Answer::Rejected),
        ThriftAnswer::Failed => Some(Answer::Failed),
        ThriftAnswer::Lost => None,
    }
}
