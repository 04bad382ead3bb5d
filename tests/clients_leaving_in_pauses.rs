//! Clients that disconnect or cancel while the process is paused: once it resumes, nothing is sent for them, wherever their
//! requests wait.
//!
//! The process is paused while requests wait in the queue, for a connection and for their answers. All clients leave during the
//! pause. An attempt of theirs that arrives at an engine after the pause was sent although its client had left.

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
/// More clients than the engines serve concurrently.
const CLIENTS: usize = 60;
const PAUSES: usize = 10;
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Time for which the process runs between two pauses.
const RUN_TIME: Duration = Duration::from_millis(400);
/// Length of a pause before the clients leave.
const PAUSE_BEFORE: Duration = Duration::from_millis(50);
/// Length of a pause after the clients have left.
const PAUSE_AFTER: Duration = Duration::from_millis(250);

/// Time within which an engine that has read an attempt records it.
const RECORD_TIME: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Protocol {
    Thrift,
    Http,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Departure {
    Close,
    Cancel,
}

/// Number of pauses that have ended.
type PausesEnded = Arc<AtomicUsize>;
/// Attempts that arrived at engines: the name of the request and the number of pauses that had ended.
type Arrivals = Arc<Mutex<Vec<(String, usize)>>>;

/// Request that was sent and not yet answered.
struct OpenRequest {
    name: String,
    sequence: i32,
    stream: TcpStream,
}

/// Open request of a client. The test takes it out when the client leaves.
type Slot = Arc<Mutex<Option<OpenRequest>>>;

struct EngineRecorder {
    arrivals: Arrivals,
    pauses_ended: PausesEnded,
}

impl EngineRecorder {
    fn record(&self, name: &str) {
        let pauses_ended = self.pauses_ended.load(Ordering::SeqCst);
        self.arrivals.lock().expect("arrivals").push((name.to_owned(), pauses_ended));
    }
}

fn start_engine(protocol: Protocol, recorder: EngineRecorder) -> SocketAddr {
    match protocol {
        Protocol::Thrift => start_resp_engine(recorder),
        Protocol::Http => start_http_engine(recorder),
    }
}

/// Starts an engine that serves each attempt after [`SERVICE_TIME`], concurrently with the others on its connection.
fn start_resp_engine(recorder: EngineRecorder) -> SocketAddr {
    let (address, _) = resp_engine_with_handler(move |parts, stream| {
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
        Some(encode_http("200 OK", "", "a\tb\tc\n"))
    });
    address
}

struct Client {
    protocol: Protocol,
    gateway: SocketAddr,
    slot: Slot,
    names: Arc<AtomicUsize>,
    has_test_ended: Arc<AtomicBool>,
}

impl Client {
    /// Sends one request after another, on a new connection each time the client has left.
    fn run(self) {
        while !self.has_test_ended.load(Ordering::SeqCst) {
            let Ok(stream) = TcpStream::connect(self.gateway) else { continue };
            let mut sequence = 1;
            while self.request(&stream, sequence) && !self.has_test_ended.load(Ordering::SeqCst) {
                sequence += 1;
            }
        }
    }

    /// Sends a request and waits for its answer. Returns false if the client has left or the connection has ended.
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
        match self.protocol {
            Protocol::Thrift => {
                let fields = [("verb", "lookup"), ("txn", open.name.as_str()), ("limit", "20000")];
                call(open.sequence, &fields, "select 1")
            }
            Protocol::Http => {
                format!("POST /?query_id={} HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1", open.name)
                    .into_bytes()
            }
        }
    }

    fn receive(&self, mut stream: &TcpStream) -> bool {
        match self.protocol {
            Protocol::Thrift => receive_frame(&mut stream).is_ok(),
            Protocol::Http => read_http(&mut BufReader::new(stream)).is_some(),
        }
    }
}

fn receive_frame(stream: &mut impl std::io::Read) -> std::io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize])
}

struct TestSetup {
    gateway: Gateway,
    engines: Vec<SocketAddr>,
    arrivals: Arrivals,
    pauses_ended: PausesEnded,
    slots: Vec<Slot>,
    has_test_ended: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    /// Requests whose clients have left, with the number of pauses that had ended at that time.
    abandoned: BTreeMap<String, usize>,
}

impl TestSetup {
    fn start(protocol: Protocol) -> Self {
        let (arrivals, pauses_ended) = (Arrivals::default(), PausesEnded::default());
        let recorder = || EngineRecorder { arrivals: arrivals.clone(), pauses_ended: pauses_ended.clone() };
        let engines: Vec<_> = (0..ENGINES).map(|_| start_engine(protocol, recorder())).collect();
        let protocol_name = if protocol == Protocol::Thrift { "resp" } else { "clickhouse" };
        let gateway = Gateway::start(&config(&engines, protocol_name, 20_000));
        let address =
            if protocol == Protocol::Thrift { gateway.thrift } else { gateway.http.expect("set up") };
        let slots: Vec<Slot> = (0..CLIENTS).map(|_| Slot::default()).collect();
        let (names, has_test_ended) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
        let start_client = |slot: &Slot| {
            let (names, has_test_ended) = (names.clone(), has_test_ended.clone());
            let client = Client { protocol, gateway: address, slot: slot.clone(), names, has_test_ended };
            thread::spawn(move || client.run())
        };
        let clients = slots.iter().map(start_client).collect();
        Self {
            gateway,
            engines,
            arrivals,
            pauses_ended,
            slots,
            has_test_ended,
            clients,
            abandoned: BTreeMap::new(),
        }
    }

    /// Pauses the process; all clients with an open request leave during the pause.
    fn pause(&mut self, departure: Departure) {
        self.gateway.stop();
        sleep(PAUSE_BEFORE);
        let left = self.leave(departure);
        // The length of the pause is part of the test, so that there is no event to wait for.
        sleep(PAUSE_AFTER);
        // An attempt that was sent before the pause must not count as one after it, however late an engine reads it.
        self.engines.iter().copied().for_each(wait_until_read);
        sleep(RECORD_TIME);
        self.pauses_ended.fetch_add(1, Ordering::SeqCst);
        self.gateway.resume();
        sleep(RUN_TIME);
        for stream in left {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Makes all clients with an open request leave. Returns the connections of those that have cancelled it.
    fn leave(&mut self, departure: Departure) -> Vec<TcpStream> {
        let pauses_ended = self.pauses_ended.load(Ordering::SeqCst);
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
            self.abandoned.insert(request.name, pauses_ended);
        }
        cancelled
    }

    fn end(&mut self) {
        self.has_test_ended.store(true, Ordering::SeqCst);
        self.leave(Departure::Close);
        terminate_and_expect_success(&mut self.gateway);
        for client in self.clients.drain(..) {
            client.join().expect("the client thread ends");
        }
    }

    /// Returns the number of requests that had not arrived at an engine when their clients left.
    fn waiting_requests(&self) -> usize {
        let arrivals = self.arrivals.lock().expect("arrivals");
        let has_arrived = |name: &String, pause: usize| {
            arrivals.iter().any(|(arrived_name, pauses_ended)| arrived_name == name && *pauses_ended <= pause)
        };
        self.abandoned.iter().filter(|(name, pause)| !has_arrived(name, **pause)).count()
    }

    /// Returns the names of requests with an attempt that arrived after the pause in which their clients left.
    fn sent_after_client_left(&self) -> Vec<String> {
        let arrivals = self.arrivals.lock().expect("arrivals");
        let sent_after_pause = arrivals.iter().filter(|(name, pauses_ended)| {
            self.abandoned.get(name).is_some_and(|pause| pauses_ended > pause)
        });
        sent_after_pause.map(|(name, _)| name.clone()).collect()
    }
}

#[rstest]
#[case::close(Protocol::Thrift, Departure::Close)]
#[case::cancel(Protocol::Thrift, Departure::Cancel)]
#[case::close_http(Protocol::Http, Departure::Close)]
fn no_attempt_is_sent_for_clients_that_left_during_a_pause(
    #[case] protocol: Protocol,
    #[case] departure: Departure,
) {
    let mut setup = TestSetup::start(protocol);
    sleep(RUN_TIME);
    for _ in 0..PAUSES {
        setup.pause(departure);
    }
    let (waiting_requests, sent) = (setup.waiting_requests(), setup.sent_after_client_left());
    setup.end();
    assert!(
        waiting_requests > PAUSES,
        "only {waiting_requests} requests were waiting in the gateway when their clients left"
    );
    assert!(
        sent.is_empty(),
        "{} of {waiting_requests} were sent after their clients had left: {sent:?}",
        sent.len()
    );
}
