//! A double of the name service: DNS over UDP, as the platform's protocol has it, with a capacity and a bounded queue. It
//! records the queries that it received and what it answered.
//!
//! It can start late, be silent for a time, answer late from its queue, answer no more than so many queries a second, collapse
//! for as long as it receives more than that, and answer for a time with an older list than before. Wrong and truncated answers
//! are not modelled: the tests of the gateway's parser do that.

use crate::lock;
use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The queries that are recorded. Further ones are not answered, so that a reader sees that the record has ended.
const MAX_RECORDED_QUERIES: usize = 2_000_000;
/// The bytes of a query, and of its header.
const MAX_QUERY_BYTES: usize = 512;
const HEADER_BYTES: usize = 12;
/// The queries that always fit into the queue, in times of the time that one takes.
const MIN_QUEUE: f64 = 8.0;
/// The bounds of the wait for the next datagram, in seconds.
const MIN_WAIT: f64 = 0.0005;
const MAX_WAIT: f64 = 0.05;

/// How the service behaves. Times are in seconds from its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceScript {
    /// It answers nothing before.
    pub up_from: f64,
    /// It answers nothing from this time ...
    pub silent_from: f64,
    /// ... to this one.
    pub silent_to: f64,
    /// The queries that it can answer in a second.
    pub capacity: f64,
    /// The longest time in the queue, unless there are only seven other queries; further queries are lost.
    pub max_queueing: f64,
    /// Whether it answers nothing while it received more than it can answer within the last second.
    pub collapses: bool,
    /// It answers with a list older than its first version before.
    pub stale_until: f64,
}

impl ServiceScript {
    /// A healthy service.
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

/// An engine as the service lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it drains.
    pub is_draining: bool,
    /// When it started, in Unix milliseconds; 0 if it started long ago.
    pub started: f64,
}

/// A version of the list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListVersion {
    /// Since when it is served, in seconds from the start.
    pub from: f64,
    /// The number of the last event, from 1: an outdated list is served as number 0.
    pub serial: u32,
    /// The engines.
    pub engines: Vec<EndpointEntry>,
}

/// The answer to a query.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SentAnswer {
    /// The version that it holds.
    pub serial: u32,
    /// When it was sent, in seconds from the start.
    pub at: f64,
}

/// A query that was received.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReceivedQuery {
    /// When, in seconds from the start.
    pub at: f64,
    /// Its id.
    pub id: u16,
    /// Its sender.
    pub from: SocketAddr,
    /// Its answer; none if it was lost.
    pub answer: Option<SentAnswer>,
}

/// A running service. It ends with the process, or when it is dropped.
pub struct NameService {
    /// Where it listens.
    pub address: SocketAddr,
    /// When it started.
    pub started_at: Instant,
    shared: Arc<Shared>,
}

/// What the service shares with its thread.
#[derive(Default)]
struct Shared {
    queries: Mutex<Vec<ReceivedQuery>>,
    versions: Mutex<Vec<ListVersion>>,
    has_ended: Mutex<bool>,
}

impl NameService {
    /// Starts it on a thread of its own, with versions in the order of their times.
    ///
    /// # Errors
    /// No port is available.
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

    /// All queries so far, in their order.
    pub fn queries(&self) -> Vec<ReceivedQuery> {
        lock(&self.shared.queries).clone()
    }

    /// Serves that version from now on.
    pub fn publish(&self, serial: u32, engines: Vec<EndpointEntry>) {
        let from = self.started_at.elapsed().as_secs_f64();
        lock(&self.shared.versions).push(ListVersion { from, serial, engines });
    }
}

impl Drop for NameService {
    fn drop(&mut self) {
        *lock(&self.shared.has_ended) = true;
    }
}

/// A query that waits for its answer.
struct QueuedQuery {
    due: f64,
    /// Its index in the record.
    index: usize,
    bytes: Vec<u8>,
}

/// The thread of the service.
struct Server {
    socket: UdpSocket,
    started_at: Instant,
    script: ServiceScript,
    shared: Arc<Shared>,
    /// Until when it is busy with the queries that it accepted.
    busy_until: f64,
    queue: VecDeque<QueuedQuery>,
}

impl Server {
    fn run(mut self) {
        let mut bytes = [0; MAX_QUERY_BYTES];
        while !*lock(&self.shared.has_ended) {
            let now = self.now();
            self.answer_due(now);
            let wait =
                self.queue.front().map_or(MAX_WAIT, |query| (query.due - now).clamp(MIN_WAIT, MAX_WAIT));
            if self.socket.set_read_timeout(Some(Duration::from_secs_f64(wait))).is_err() {
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
            let outdated = ListVersion { from: 0.0, serial: 0, engines: Vec::new() };
            let newest = versions.iter().rev().find(|version| version.from <= now);
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
        let has_room = due - at <= self.script.max_queueing.max(MIN_QUEUE / self.script.capacity);
        if self.script.is_up(at) && !has_collapsed && bytes.len() >= HEADER_BYTES && has_room {
            self.busy_until = due;
            self.queue.push_back(QueuedQuery { due, index: queries.len(), bytes: bytes.to_vec() });
        }
        queries.push(ReceivedQuery { at, id, from, answer: None });
    }
}

/// DNS record types (RFC 1035, RFC 2782), and the priority of an engine that drains.
const TYPE_A: u8 = 1;
const TYPE_SOA: u8 = 6;
const TYPE_TXT: u8 = 16;
const TYPE_SRV: u8 = 33;
/// A compression pointer to the name in the query.
const QUERY_NAME: [u8; 2] = [0xc0, 12];

fn put_record(message: &mut Vec<u8>, owner: &[u8], kind: u8, data: &[u8]) {
    message.extend(owner);
    message.extend([0, kind, 0, 1, 0, 0, 0, 0]);
    message.extend((data.len() as u16).to_be_bytes());
    message.extend(data);
}

/// The answer to a query: the list of these engines with that number, as SRV, SOA, A and TXT records.
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
