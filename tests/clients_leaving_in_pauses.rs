//! Clients that leave while the process is paused: nothing is sent for them once it goes on, wherever their requests wait.
//!
//! The process is stopped while requests wait for their turn, for a connection and for their answers. All clients leave in the
//! pause. An attempt of theirs that arrives at an engine after the pause began after its client had gone.

mod stand;

use rstest::rstest;
use stand::requests::*;
use stand::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep, JoinHandle};
use std::time::Duration;

const ENGINES: usize = 3;
/// More than the engines serve at once.
const CLIENTS: usize = 60;
const PAUSES: usize = 10;
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// The process runs for so long between two pauses.
const RUN_TIME: Duration = Duration::from_millis(400);
/// A pause lasts for so long before the clients leave, and after it.
const PAUSE_BEFORE: Duration = Duration::from_millis(50);
const PAUSE_AFTER: Duration = Duration::from_millis(250);

/// An engine that has read an attempt records it within this time.
const RECORD_TIME: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Wire {
    Thrift,
    Http,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Departure {
    Close,
    Cancel,
}

/// The number of pauses that are over.
type PausesOver = Arc<AtomicUsize>;
/// The attempts that arrived at engines: the request's name, and how many pauses were over.
type Arrivals = Arc<Mutex<Vec<(String, usize)>>>;

/// A request without an answer.
struct OpenRequest {
    name: String,
    sequence: i32,
    stream: TcpStream,
}

/// The open request of a client, which the test takes away as the client leaves.
type Slot = Arc<Mutex<Option<OpenRequest>>>;

struct EngineRecorder {
    arrivals: Arrivals,
    pauses_over: PausesOver,
}

impl EngineRecorder {
    fn record(&self, name: &str) {
        let pauses_over = self.pauses_over.load(Ordering::SeqCst);
        self.arrivals.lock().expect("arrivals").push((name.to_owned(), pauses_over));
    }
}

fn start_engine(wire: Wire, recorder: EngineRecorder) -> SocketAddr {
    match wire {
        Wire::Thrift => start_resp_engine(recorder),
        Wire::Http => start_http_engine(recorder),
    }
}

/// Serves each attempt after [`SERVICE_TIME`], whatever else is open on its connection.
fn start_resp_engine(recorder: EngineRecorder) -> SocketAddr {
    let (address, _) = resp_engine_that(move |parts, stream| {
        let answer = served(parts).unwrap_or_default();
        if parts[0] != "want" {
            return stream.write_all(answer.as_bytes()).is_ok();
        }
        recorder.record(&parts[1]);
        let mut stream = stream.try_clone().expect("cloned");
        thread::spawn(move || {
            sleep(SERVICE_TIME);
            let _ = stream.write_all(answer.as_bytes());
        });
        true
    });
    address
}

fn start_http_engine(recorder: EngineRecorder) -> SocketAddr {
    let (address, _) = http_engine(move |target, _| {
        if let Some((_, id)) = target.split_once("query_id=") {
            let name = id.split(['&', '-']).next().expect("a name");
            recorder.record(name);
            sleep(SERVICE_TIME);
        }
        Some(web_answer("200 OK", "", "a\tb\tc\n"))
    });
    address
}

struct Client {
    wire: Wire,
    gateway: SocketAddr,
    slot: Slot,
    names: Arc<AtomicUsize>,
    is_over: Arc<AtomicBool>,
}

impl Client {
    /// Sends one request after the other, on a new connection once it has left.
    fn run(self) {
        while !self.is_over.load(Ordering::SeqCst) {
            let Ok(stream) = TcpStream::connect(self.gateway) else { continue };
            let mut sequence = 1;
            while self.request(&stream, sequence) && !self.is_over.load(Ordering::SeqCst) {
                sequence += 1;
            }
        }
    }

    /// Sends a request and waits for its answer. False: the client has left, or the connection is over.
    fn request(&self, stream: &TcpStream, sequence: i32) -> bool {
        let name = name(self.names.fetch_add(1, Ordering::SeqCst));
        let open = OpenRequest { name, sequence, stream: stream.try_clone().expect("cloned") };
        let mut slot = self.slot.lock().expect("slot");
        let is_sent = (&open.stream).write_all(&self.message(&open)).is_ok();
        *slot = Some(open);
        drop(slot);
        let is_answered = is_sent && self.receive(stream);
        let has_stayed = self.slot.lock().expect("slot").take().is_some();
        is_answered && has_stayed
    }

    fn message(&self, open: &OpenRequest) -> Vec<u8> {
        match self.wire {
            Wire::Thrift => {
                let fields = [("verb", "lookup"), ("txn", open.name.as_str()), ("limit", "20000")];
                call(open.sequence, &fields, "select 1")
            }
            Wire::Http => {
                format!("POST /?query_id={} HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1", open.name)
                    .into_bytes()
            }
        }
    }

    fn receive(&self, mut stream: &TcpStream) -> bool {
        match self.wire {
            Wire::Thrift => receive_frame(&mut stream).is_ok(),
            Wire::Http => web_message(&mut BufReader::new(stream)).is_some(),
        }
    }
}

fn receive_frame(stream: &mut impl std::io::Read) -> std::io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize])
}

struct Bed {
    gateway: Gateway,
    engines: Vec<SocketAddr>,
    arrivals: Arrivals,
    pauses_over: PausesOver,
    slots: Vec<Slot>,
    is_over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    /// Requests whose clients have left, and how many pauses were over then.
    abandoned: BTreeMap<String, usize>,
}

impl Bed {
    fn start(wire: Wire) -> Self {
        let (arrivals, pauses_over) = (Arrivals::default(), PausesOver::default());
        let recorder = || EngineRecorder { arrivals: arrivals.clone(), pauses_over: pauses_over.clone() };
        let engines: Vec<_> = (0..ENGINES).map(|_| start_engine(wire, recorder())).collect();
        let wire_name = if wire == Wire::Thrift { "resp" } else { "clickhouse" };
        let gateway = Gateway::start(&config(&engines, wire_name, 20_000));
        let address = if wire == Wire::Thrift { gateway.thrift } else { gateway.http.expect("set up") };
        let slots: Vec<Slot> = (0..CLIENTS).map(|_| Slot::default()).collect();
        let (names, is_over) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
        let start_client = |slot: &Slot| {
            let (names, is_over) = (names.clone(), is_over.clone());
            let client = Client { wire, gateway: address, slot: slot.clone(), names, is_over };
            thread::spawn(move || client.run())
        };
        let clients = slots.iter().map(start_client).collect();
        Self { gateway, engines, arrivals, pauses_over, slots, is_over, clients, abandoned: BTreeMap::new() }
    }

    /// Pauses the process for a while, in which all clients leave.
    fn pause(&mut self, departure: Departure) {
        self.gateway.stop();
        sleep(PAUSE_BEFORE);
        let left = self.leave(departure);
        // The lengths of the pauses are what is tested.
        sleep(PAUSE_AFTER);
        // What was sent before the pause is no attempt after it, however late an engine gets to read it.
        self.engines.iter().copied().for_each(until_read);
        sleep(RECORD_TIME);
        self.pauses_over.fetch_add(1, Ordering::SeqCst);
        self.gateway.resume();
        sleep(RUN_TIME);
        for stream in left {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// All clients with an open request leave. Returns the connections of those that have cancelled it.
    fn leave(&mut self, departure: Departure) -> Vec<TcpStream> {
        let pauses_over = self.pauses_over.load(Ordering::SeqCst);
        let open: Vec<_> = self.slots.iter().filter_map(|slot| slot.lock().expect("slot").take()).collect();
        let mut cancelled = Vec::new();
        for mut request in open {
            match departure {
                Departure::Close => drop(request.stream.shutdown(Shutdown::Both)),
                Departure::Cancel => {
                    let _ = request.stream.write_all(&cancel(request.sequence));
                    cancelled.push(request.stream);
                }
            }
            self.abandoned.insert(request.name, pauses_over);
        }
        cancelled
    }

    fn end(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.leave(Departure::Close);
        ends_well(&mut self.gateway);
        for client in self.clients.drain(..) {
            client.join().expect("it ends");
        }
    }

    /// The requests that had not arrived at an engine as their clients left.
    fn waiting(&self) -> usize {
        let arrivals = self.arrivals.lock().expect("arrivals");
        let has_arrived =
            |name: &String, pause: usize| arrivals.iter().any(|(n, at)| n == name && *at <= pause);
        self.abandoned.iter().filter(|(name, pause)| !has_arrived(name, **pause)).count()
    }

    /// The requests with an attempt that arrived after the pause in which their clients left.
    fn sent_for_nobody(&self) -> Vec<String> {
        let arrivals = self.arrivals.lock().expect("arrivals");
        let late =
            arrivals.iter().filter(|(name, at)| self.abandoned.get(name).is_some_and(|pause| at > pause));
        late.map(|(name, _)| name.clone()).collect()
    }
}

#[rstest]
#[case::close(Wire::Thrift, Departure::Close)]
#[case::cancel(Wire::Thrift, Departure::Cancel)]
#[case::close_http(Wire::Http, Departure::Close)]
fn nothing_is_sent_for_clients_that_left_in_a_pause(#[case] wire: Wire, #[case] departure: Departure) {
    let mut bed = Bed::start(wire);
    sleep(RUN_TIME);
    for _ in 0..PAUSES {
        bed.pause(departure);
    }
    let (waiting, sent) = (bed.waiting(), bed.sent_for_nobody());
    bed.end();
    assert!(waiting > PAUSES, "{waiting} requests waited in the gateway");
    assert!(sent.is_empty(), "{} of {waiting} were sent after their clients had left: {sent:?}", sent.len());
}
