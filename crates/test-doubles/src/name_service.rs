//! A test double of the name service: the platform's DNS over UDP, with a limited capacity and a bounded queue. It records the
//! queries that it receives and the answers that it sends.
//!
//! The service can start late, be silent for an interval, delay answers in its queue, limit the number of queries that it
//! answers per second, answer nothing while it is overloaded, and serve an outdated endpoint list for an interval. Wrong and
//! truncated answers are not modelled here, but by the tests of the gateway's parser.

use crate::lock;
use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Maximum number of queries that are recorded. Further queries are not answered, so that a full record doesn't go unnoticed.
const MAX_RECORDED_QUERIES: usize = 2_000_000;
/// Maximum number of bytes of a query, and the number of bytes of its header.
const MAX_QUERY_BYTES: usize = 512;
const HEADER_BYTES: usize = 12;
/// Queueing time that is always accepted, as a multiple of the service time of one query: the query itself and seven others.
const MIN_QUEUED_SERVICE_TIMES: f64 = 8.0;
/// Bounds of the time to wait for the next datagram, in seconds.
const MIN_WAIT: f64 = 0.0005;
const MAX_WAIT: f64 = 0.05;

/// The scripted behaviour of the service. Times are in seconds since its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceScript {
    /// Time before which the service doesn't answer.
    pub up_from: f64,
    /// Start of an interval in which the service doesn't answer.
    pub silent_from: f64,
    /// End of the interval in which the service doesn't answer.
    pub silent_to: f64,
    /// Number of queries that the service can answer per second.
    pub capacity: f64,
    /// Maximum time until a query is answered, in seconds. Queries that would take longer are lost, unless no more than seven
    /// others are queued.
    pub max_queueing: f64,
    /// Whether the service accepts no queries while it has received more than its capacity within the last second.
    pub collapses: bool,
    /// Time before which the service answers with an outdated, empty list, older than its first version.
    pub stale_until: f64,
}

impl ServiceScript {
    /// A service without faults.
    pub const HEALTHY: Self = Self {
        up_from: 0.0,
        silent_from: 0.0,
        silent_to: 0.0,
        capacity: 1e6,
        max_queueing: 0.1,
        collapses: false,
        stale_until: 0.0,
    };

    fn is_up(&self, at: f64) -> bool {
        at >= self.up_from && !(self.silent_from..self.silent_to).contains(&at)
    }
}

/// An engine in the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// Id of the engine.
    pub id: String,
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// Whether the engine is draining.
    pub is_draining: bool,
    /// Start time of the engine, in Unix milliseconds; 0 if it started long ago.
    pub started: f64,
}

/// A version of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListVersion {
    /// Time from which this version is served, in seconds since the start of the service.
    pub served_from: f64,
    /// Serial number of the version, from 1. The outdated list has the number 0.
    pub serial: u32,
    /// Engines of this version.
    pub engines: Vec<EndpointEntry>,
}

/// The answer that was sent to a query.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SentAnswer {
    /// Serial number of the version that the answer holds.
    pub serial: u32,
    /// Time at which the answer was sent, in seconds since the start of the service.
    pub at: f64,
}

/// A query that was received.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReceivedQuery {
    /// Time at which the query was received, in seconds since the start of the service.
    pub at: f64,
    /// DNS message id of the query.
    pub id: u16,
    /// Address of the sender.
    pub from: SocketAddr,
    /// The answer that was sent, or `None` if none was sent yet or the query was lost.
    pub answer: Option<SentAnswer>,
}

/// A running name service. It stops when it is dropped or the process exits.
pub struct NameService {
    /// Address on which the service listens.
    pub address: SocketAddr,
    /// Time at which the service started.
    pub started_at: Instant,
    shared: Arc<Shared>,
}

/// State that a [`NameService`] shares with its server thread.
#[derive(Default)]
struct Shared {
    queries: Mutex<Vec<ReceivedQuery>>,
    versions: Mutex<Vec<ListVersion>>,
    has_ended: Mutex<bool>,
}

impl NameService {
    /// Starts the service on its own thread. The versions must be in the order of their times.
    ///
    /// # Errors
    /// No port could be bound.
    pub fn start(script: ServiceScript, versions: Vec<ListVersion>) -> io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let (address, started_at) = (socket.local_addr()?, Instant::now());
        let shared = Arc::new(Shared { versions: Mutex::new(versions), ..Shared::default() });
        let server = Server {
            socket,
            started_at,
            script,
            shared: shared.clone(),
            busy_until: 0.0,
            queue: VecDeque::new(),
        };
        std::thread::spawn(move || server.run());
        Ok(Self { address, started_at, shared })
    }

    /// Returns all queries that were received, in order of arrival.
    pub fn queries(&self) -> Vec<ReceivedQuery> {
        lock(&self.shared.queries).clone()
    }

    /// Publishes a version of the list, which is served from now on.
    pub fn publish(&self, serial: u32, engines: Vec<EndpointEntry>) {
        let served_from = self.started_at.elapsed().as_secs_f64();
        lock(&self.shared.versions).push(ListVersion { served_from, serial, engines });
    }
}

impl Drop for NameService {
    fn drop(&mut self) {
        *lock(&self.shared.has_ended) = true;
    }
}

/// A query that was accepted and awaits its answer.
struct QueuedQuery {
    due: f64,
    /// Index of the query in the record of received queries.
    index: usize,
    bytes: Vec<u8>,
}

/// State of the server thread.
struct Server {
    socket: UdpSocket,
    started_at: Instant,
    script: ServiceScript,
    shared: Arc<Shared>,
    /// Time until which the accepted queries occupy the server, in seconds since the start of the service.
    busy_until: f64,
    queue: VecDeque<QueuedQuery>,
}

impl Server {
    fn run(mut self) {
        let mut bytes = [0; MAX_QUERY_BYTES];
        while !*lock(&self.shared.has_ended) {
            let now = self.now();
            self.answer_due(now);
            let timeout =
                self.queue.front().map_or(MAX_WAIT, |query| (query.due - now).clamp(MIN_WAIT, MAX_WAIT));
            if self.socket.set_read_timeout(Some(Duration::from_secs_f64(timeout))).is_err() {
                return;
            }
            if let Ok((length, from)) = self.socket.recv_from(&mut bytes) {
                self.receive(&bytes[..length], from, u16::from_be_bytes([bytes[0], bytes[1]]));
            }
        }
    }

    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    fn answer_due(&mut self, now: f64) {
        while self.queue.front().is_some_and(|query| query.due <= now) {
            let Some(query) = self.queue.pop_front() else { return };
            let versions = lock(&self.shared.versions);
            let outdated = ListVersion { served_from: 0.0, serial: 0, engines: Vec::new() };
            let newest = versions.iter().rev().find(|version| version.served_from <= now);
            let version = newest.filter(|_| now >= self.script.stale_until).unwrap_or(&outdated);
            let mut queries = lock(&self.shared.queries);
            let received = &mut queries[query.index];
            let message = encode_answer(&query.bytes, version.serial, &version.engines);
            if self.socket.send_to(&message, received.from).is_ok() {
                received.answer = Some(SentAnswer { serial: version.serial, at: now });
            }
        }
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr, id: u16) {
        let at = self.now();
        let mut queries = lock(&self.shared.queries);
        if queries.len() >= MAX_RECORDED_QUERIES {
            return;
        }
        let recent = queries.iter().rev().take_while(|query| at - query.at < 1.0).count();
        let has_collapsed = self.script.collapses && recent as f64 > self.script.capacity;
        let due = self.busy_until.max(at) + 1.0 / self.script.capacity;
        let has_room =
            due - at <= self.script.max_queueing.max(MIN_QUEUED_SERVICE_TIMES / self.script.capacity);
        if self.script.is_up(at) && !has_collapsed && bytes.len() >= HEADER_BYTES && has_room {
            self.busy_until = due;
            self.queue.push_back(QueuedQuery { due, index: queries.len(), bytes: bytes.to_vec() });
        }
        queries.push(ReceivedQuery { at, id, from, answer: None });
    }
}

/// DNS record types (RFC 1035, RFC 2782).
const TYPE_A: u8 = 1;
const TYPE_SOA: u8 = 6;
const TYPE_TXT: u8 = 16;
const TYPE_SRV: u8 = 33;
/// Compression pointer to the name in the query.
const QUERY_NAME: [u8; 2] = [0xc0, 12];

fn put_record(message: &mut Vec<u8>, owner: &[u8], kind: u8, data: &[u8]) {
    message.extend(owner);
    message.extend([0, kind, 0, 1, 0, 0, 0, 0]);
    message.extend((data.len() as u16).to_be_bytes());
    message.extend(data);
}

/// Encodes the answer to a query: an endpoint list with the given serial number, as SRV, SOA, A and TXT records. A draining
/// engine has the SRV priority 1, and any other 0.
pub fn encode_answer(query: &[u8], serial: u32, engines: &[EndpointEntry]) -> Vec<u8> {
    let answers = (engines.len() as u16).to_be_bytes();
    let additional = (2 * engines.len() as u16).to_be_bytes();
    let header = [&query[..2], &[0x84, 0, 0, 1], &answers, &[0, 1], &additional, &query[HEADER_BYTES..]];
    let mut message = header.concat();
    let name_of = |id: &str| [&[id.len() as u8], id.as_bytes(), b"\x01a\x05hosts\0"].concat();
    for engine in engines {
        let priority_and_weight = [0, u8::from(engine.is_draining), 0, 40];
        let port = engine.address.port().to_be_bytes();
        let data = [&priority_and_weight[..], &port, &name_of(&engine.id)].concat();
        put_record(&mut message, &QUERY_NAME, TYPE_SRV, &data);
    }
    put_record(&mut message, &[0], TYPE_SOA, &[&[0, 0][..], &serial.to_be_bytes(), &[0; 16]].concat());
    for engine in engines {
        let address = match engine.address.ip() {
            IpAddr::V4(address) => address.octets(),
            IpAddr::V6(_) => [0; 4],
        };
        put_record(&mut message, &name_of(&engine.id), TYPE_A, &address);
        let text = |text: String| [&[text.len() as u8], text.as_bytes()].concat();
        let texts = [text("kind=std".into()), text(format!("started={:.0}", engine.started))].concat();
        put_record(&mut message, &name_of(&engine.id), TYPE_TXT, &texts);
    }
    message
}
