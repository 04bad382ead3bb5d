//! Clients that send at full speed beside usual clients, while the gateway has a part of a core: usual clients get their answers in
//! time, and the memory of the process stays within its limit.

mod stand;

use rstest::rstest;
use stand::requests::{name, served};
use stand::*;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Number of threads that compete with the gateway for its core, if it has a part of it.
const BUSY_THREADS: usize = 3;
/// Time for which the busy clients send.
const BUSY_TIME: Duration = Duration::from_secs(2);
/// Time for which usual clients wait for an answer, and the slack of the rule on time limits.
const LIMIT: Duration = Duration::from_millis(1_500);
const SLACK: Duration = Duration::from_millis(50);
/// Time for which a usual client waits beyond its limit, to tell a late answer from a missing one.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(5);
/// Time between two requests of a usual client.
const THINK_TIME: Duration = Duration::from_millis(20);
/// Number of usual clients of each kind.
const USUAL_CLIENTS: usize = 2;
/// Memory of the gateway, in MiB.
const MEMORY_MB: usize = 48;
/// Minimum size of the batches in which busy clients write, in bytes.
const BATCH_BYTES: usize = 32 << 10;
/// Size of the receive buffer of a busy client, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// What the busy clients send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Message {
    /// Health checks over Thrift.
    Health,
    /// Calls of a method that does not exist.
    UnknownMethod,
    /// Calls without a class.
    UnsoundCall,
    /// Requests of an idempotent class under ever new names.
    Lookups,
    /// Requests of a class that must not run twice, under ever new names.
    UnsafeLoads,
    /// Cancellations of calls that are not open.
    Cancels,
    /// Calls with as many fields as are decoded.
    ManyFields,
    /// Long calls whose fields cannot be decoded.
    LongUnsoundCall,
    /// Calls with numbers out of sequence, each of which ends its connection.
    OutOfSequence,
    /// Frames that are no messages, each of which ends its connection.
    Garbage,
    /// Health checks over HTTP.
    Ping,
    /// Requests for a path that does not exist.
    UnknownPath,
    /// Queries over HTTP under ever new ids.
    Queries,
    /// Queries over HTTP with as many parameters as are decoded.
    ManyParameters,
    /// Requests that are no HTTP, each of which ends its connection.
    HttpGarbage,
}

impl Message {
    fn address(self, gateway: &Gateway) -> SocketAddr {
        match self {
            Self::Ping | Self::UnknownPath | Self::Queries | Self::ManyParameters | Self::HttpGarbage => {
                gateway.http.expect("an HTTP address")
            }
            _ => gateway.thrift,
        }
    }

    fn is_sound_request(self) -> bool {
        matches!(self, Self::Lookups | Self::UnsafeLoads | Self::Queries)
    }

    /// Encodes the messages that a connection sends at once. The first one has the number `sent` + 1 on its connection; names differ
    /// between clients.
    fn batch(self, client: usize, sent: &mut usize) -> Vec<u8> {
        let mut batch = Vec::new();
        while batch.len() < BATCH_BYTES {
            *sent += 1;
            batch.extend(self.encode(*sent, client * 10_000_000 + *sent));
        }
        batch
    }

    fn encode(self, number: usize, unique: usize) -> Vec<u8> {
        let sequence = number as i32;
        let name = name(unique);
        match self {
            Self::Health => health(sequence),
            Self::UnknownMethod => {
                [&[0, 0, 0, 18, 0x80, 1, 0, 1, 0, 0, 0, 5][..], b"stats", &[0, 0, 0, 1, 0]].concat()
            }
            Self::UnsoundCall => call(sequence, &[("txn", &name), ("limit", "x")], "select 1"),
            Self::Lookups => {
                call(sequence, &[("verb", "lookup"), ("txn", &name), ("limit", "1500")], "select 1")
            }
            Self::UnsafeLoads => {
                call(sequence, &[("verb", "load"), ("txn", &name), ("limit", "1500")], "insert into s_1.t")
            }
            Self::Cancels => cancel(sequence),
            Self::ManyFields => call(sequence, &[("a", "b"); 990], "select 1"),
            Self::LongUnsoundCall => call(sequence, &[("a", "b"); 5_000], "select 1"),
            Self::OutOfSequence => call(sequence + 7, &[("verb", "lookup")], "select 1"),
            Self::Garbage => vec![0, 0, 0, 8, 1, 2, 3, 4, 5, 6, 7, 8],
            Self::Ping => b"GET /ping HTTP/1.1\r\n\r\n".to_vec(),
            Self::UnknownPath => b"GET /x HTTP/1.1\r\na:b\r\n\r\n".to_vec(),
            Self::Queries => {
                format!("POST /?query_id={name} HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1").into_bytes()
            }
            Self::ManyParameters => {
                let parameters = "a=b&".repeat(990);
                format!("GET /x?{parameters} HTTP/1.1\r\n\r\n").into_bytes()
            }
            Self::HttpGarbage => b"\r\n\r\n".to_vec(),
        }
    }
}

/// What the busy clients do with the answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reading {
    /// They read all answers, and send without end.
    All,
    /// They read nothing, and send without end.
    Nothing,
    /// They read nothing, and stop sending after this number of bytes.
    NothingAfterBurst(usize),
}

impl Reading {
    fn max_bytes(self) -> usize {
        match self {
            Self::NothingAfterBurst(bytes) => bytes,
            Self::All | Self::Nothing => usize::MAX,
        }
    }
}

/// Connects with a small receive buffer, so that answers that are not read stay in the gateway.
fn connect_busy(address: SocketAddr) -> Option<TcpStream> {
    let socket = rustix::net::socket(rustix::net::AddressFamily::INET, rustix::net::SocketType::STREAM, None);
    let socket = socket.expect("a socket");
    rustix::net::sockopt::set_socket_recv_buffer_size(&socket, RECEIVE_BUFFER_BYTES).expect("set");
    rustix::net::connect(&socket, &address).ok()?;
    let client = TcpStream::from(socket);
    client.set_write_timeout(Some(Duration::from_millis(100))).expect("set");
    client.set_read_timeout(Some(Duration::from_millis(100))).expect("set");
    Some(client)
}

/// Sends at full speed until `stop`, and connects again when the connection ends.
fn send_at_full_speed(
    address: SocketAddr,
    message: Message,
    reading: Reading,
    client: usize,
    stop: &AtomicBool,
) {
    let mut connections = 0;
    while !stop.load(Ordering::SeqCst) {
        let Some(stream) = connect_busy(address) else { continue };
        connections += 1;
        thread::scope(|scope| {
            if reading == Reading::All {
                let reader = stream.try_clone().expect("cloned");
                scope.spawn(|| discard_answers(reader));
            }
            write_at_full_speed(&stream, message, reading, client * 1_000 + connections, stop);
            let _ = stream.shutdown(Shutdown::Both);
        });
    }
}

/// Writes until `stop` or the end of the connection.
fn write_at_full_speed(
    mut stream: &TcpStream,
    message: Message,
    reading: Reading,
    client: usize,
    stop: &AtomicBool,
) {
    let (mut numbers, mut written_bytes) = (0, 0);
    let mut batch = Vec::new();
    let mut position = 0;
    while !stop.load(Ordering::SeqCst) {
        if written_bytes >= reading.max_bytes() {
            thread::sleep(THINK_TIME);
            continue;
        }
        if position == batch.len() {
            batch = message.batch(client, &mut numbers);
            position = 0;
        }
        match stream.write(&batch[position..]) {
            Ok(written) => {
                position += written;
                written_bytes += written;
            }
            Err(error) if is_timeout(&error) => {}
            Err(_) => return,
        }
    }
}

/// Reads until the connection ends.
fn discard_answers(mut client: TcpStream) {
    let mut bytes = vec![0; 64 << 10];
    loop {
        match client.read(&mut bytes) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if is_timeout(&error) => {}
            Err(_) => return,
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}

/// How long the answers of usual clients took.
#[derive(Debug, Default)]
struct UsualAnswers {
    /// Times from requests to their answers, with the kinds of the clients.
    times: Mutex<Vec<(Duration, &'static str)>>,
    missing: AtomicUsize,
}

impl UsualAnswers {
    fn record(&self, sent_at: Instant, kind: &'static str, is_answered: bool) {
        if is_answered {
            self.times.lock().expect("times").push((sent_at.elapsed(), kind));
        } else {
            self.missing.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Asserts that every request got its answer within its time.
    fn assert_in_time(&self) {
        let mut times = self.times.lock().expect("times").clone();
        times.sort();
        let late = times.iter().filter(|(time, _)| *time > LIMIT + SLACK).count();
        let (missing, count) = (self.missing.load(Ordering::SeqCst), times.len());
        let (median, worst) = (times.get(count / 2).copied(), times.last().copied());
        eprintln!("{count} answers, median {median:?}, worst {worst:?}; {late} late, {missing} missing");
        assert!(late == 0 && missing == 0, "{late} late, {missing} missing of {count}, worst {worst:?}");
    }
}

/// Reads one answer to a call, and returns whether it is complete.
fn reads_answer(client: &mut TcpStream) -> bool {
    let mut length = [0; 4];
    client.read_exact(&mut length).is_ok()
        && client.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize]).is_ok()
}

fn connect_usual(address: SocketAddr) -> TcpStream {
    let client = TcpStream::connect(address).expect("connected");
    client.set_read_timeout(Some(LIMIT + LATE_ANSWER_WAIT)).expect("set");
    client
}

/// Sends lookups over Thrift one after another, each on a new connection or all on one.
fn send_usual_calls(
    address: SocketAddr,
    first: usize,
    renew: bool,
    stop: &AtomicBool,
    answers: &UsualAnswers,
) {
    let mut client = connect_usual(address);
    let mut sequence = 0;
    for number in first.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        if renew {
            client = connect_usual(address);
            sequence = 0;
        }
        sequence += 1;
        let (txn, limit) = (name(number), LIMIT.as_millis().to_string());
        let fields = [("verb", "lookup"), ("txn", &*txn), ("limit", &*limit)];
        let sent_at = Instant::now();
        let is_answered =
            client.write_all(&call(sequence, &fields, "select 1")).is_ok() && reads_answer(&mut client);
        let kind = if renew { "thrift, new connection" } else { "thrift" };
        answers.record(sent_at, kind, is_answered);
        if !is_answered {
            client = connect_usual(address);
            sequence = 0;
        }
        thread::sleep(THINK_TIME);
    }
}

/// Sends queries over HTTP one after another.
fn send_usual_queries(address: SocketAddr, stop: &AtomicBool, answers: &UsualAnswers) {
    let mut client = connect_usual(address);
    let target = format!("/?max_execution_time={}", LIMIT.as_secs_f64());
    let request = format!("POST {target} HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1");
    while !stop.load(Ordering::SeqCst) {
        let sent_at = Instant::now();
        let is_answered = client.write_all(request.as_bytes()).is_ok()
            && read_http(&mut BufReader::new(&mut client)).is_some();
        answers.record(sent_at, "http", is_answered);
        if !is_answered {
            client = connect_usual(address);
        }
        thread::sleep(THINK_TIME);
    }
}

/// Runs busy clients beside usual ones, and asserts that the rules hold for the usual ones and for the memory.
fn assert_rules_hold_beside(message: Message, reading: Reading, busy_clients: usize, busy_threads: usize) {
    let _running = RunningTest::begin();
    let (engine, _) = resp_engine(served);
    let text = with_non_idempotent_loads(&config(&[engine], "resp", 60_000));
    // Sound requests at full speed overload the engine: the gateway rejects requests that would be late.
    let text = if message.is_sound_request() { text } else { with_long_latency_objectives(&text) };
    let text = with_replacement(&text, r#""memory_mb":192"#, &format!(r#""memory_mb":{MEMORY_MB}"#));
    let core = CoreShare::beside(busy_threads);
    let gateway = core.run(|| Gateway::start(&text));
    let (stop_busy, stop_usual) = (AtomicBool::new(false), AtomicBool::new(false));
    let answers = UsualAnswers::default();
    thread::scope(|scope| {
        for client in 0..USUAL_CLIENTS {
            let (thrift, http) = (gateway.thrift, gateway.http.expect("an HTTP address"));
            let (stop, answers) = (&stop_usual, &answers);
            let first = (client + 1) * 1_000_000_000;
            scope.spawn(move || send_usual_calls(thrift, first, false, stop, answers));
            scope.spawn(move || send_usual_calls(thrift, first + 500_000_000, true, stop, answers));
            scope.spawn(move || send_usual_queries(http, stop, answers));
        }
        // The first answers show that the gateway serves.
        wait_until(|| answers.times.lock().expect("times").len() >= 10);
        for client in 0..busy_clients {
            let (address, stop) = (message.address(&gateway), &stop_busy);
            scope.spawn(move || send_at_full_speed(address, message, reading, client, stop));
        }
        thread::sleep(BUSY_TIME);
        stop_busy.store(true, Ordering::SeqCst);
        stop_usual.store(true, Ordering::SeqCst);
    });
    let peak = gateway.peak_memory();
    eprintln!("peak memory {} KiB", peak >> 10);
    answers.assert_in_time();
    assert!(peak < MEMORY_MB << 20, "{} MiB of {MEMORY_MB}", peak >> 20);
}

/// The task of a connection never returned to the event loop while the client sent faster than it was read: other clients, timers
/// and engines waited.
#[rstest]
#[case::one(1)]
#[case::six(6)]
fn usual_clients_are_answered_beside_health_checks_at_full_speed(#[case] busy_clients: usize) {
    assert_rules_hold_beside(Message::Health, Reading::All, busy_clients, BUSY_THREADS);
}

/// Answers that clients do not read filled the memory: small frames were counted by their bytes alone.
#[test]
fn memory_is_bounded_beside_clients_that_do_not_read() {
    assert_rules_hold_beside(Message::Health, Reading::NothingAfterBurst(4 << 20), 100, 0);
}

/// Small, unsound, rejected and costly messages over both fronts, from one and from many clients that read or do not.
#[rstest]
fn usual_clients_are_answered_beside_any_messages_at_full_speed(
    #[values(
        Message::Health,
        Message::UnknownMethod,
        Message::UnsoundCall,
        Message::Lookups,
        Message::UnsafeLoads,
        Message::Cancels,
        Message::ManyFields,
        Message::LongUnsoundCall,
        Message::OutOfSequence,
        Message::Garbage,
        Message::Ping,
        Message::UnknownPath,
        Message::Queries,
        Message::ManyParameters,
        Message::HttpGarbage
    )]
    message: Message,
    #[values(Reading::All, Reading::Nothing)] reading: Reading,
    #[values(1, 20)] busy_clients: usize,
) {
    assert_rules_hold_beside(message, reading, busy_clients, BUSY_THREADS);
}
