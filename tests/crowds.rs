//! Hundreds of clients that do not complete their messages, beside usual clients, on one core: the resident memory of the process
//! stays within its limit, and usual clients get their answers in time.

mod stand;

use stand::requests::{name, served};
use stand::*;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Number of file descriptors in the settings of the gateway.
const DESCRIPTORS: usize = 1_024;
/// Length of the long messages that the crowds announce, in bytes.
const LONG_BYTES: usize = 1_040_000;
/// Length of a head that is just accepted, in bytes.
const HEAD_BYTES: usize = 16_000;
/// Time for which usual clients wait for an answer, and the slack of the rule on time limits.
const LIMIT: Duration = Duration::from_millis(1_800);
const SLACK: Duration = Duration::from_millis(50);
/// Time for which a usual client waits beyond its limit, to tell a late answer from a missing one.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(3);
/// Time between two requests of a usual client.
const THINK_TIME: Duration = Duration::from_millis(100);
/// Length of the longer statements of usual clients, in bytes, and the number of requests on a connection from one to the next.
const LONGER_STATEMENT_BYTES: usize = 6_000;
const LONGER_STATEMENT_INTERVAL: usize = 3;
/// Time for which usual clients send requests.
const DURATION: Duration = Duration::from_secs(3);
/// Number of usual clients.
const USUAL_CLIENTS: usize = 24;
/// Form of the message that a crowd does not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Form {
    /// A long call over Thrift.
    Thrift,
    /// A call over Thrift that is a little shorter than one read from a socket.
    ThriftShort,
    /// A long body over HTTP, with its length.
    HttpLength,
    /// A long body over HTTP, in chunks of 1,000 bytes.
    HttpChunks,
    /// A long body over HTTP, in one chunk.
    HttpChunk,
    /// A head over HTTP with as many short headers as fit.
    HttpManyHeaders,
    /// A head over HTTP with as many short parameters as fit.
    HttpManyParameters,
    /// The same number of short headers, and the body that follows.
    HttpManyHeadersAndBody,
}

impl Form {
    fn address(self, gateway: &Gateway) -> SocketAddr {
        match self {
            Self::Thrift | Self::ThriftShort => gateway.thrift,
            _ => http_address(gateway),
        }
    }

    fn message(self) -> Vec<u8> {
        let fields = [("verb", "lookup"), ("txn", "0123456789abcdef"), ("limit", "20000")];
        let short_headers = "a:\n".repeat((HEAD_BYTES - 100) / 3);
        match self {
            Self::Thrift => call(1, &fields, &"x".repeat(LONG_BYTES)),
            Self::ThriftShort => call(1, &fields, &"x".repeat(16_000)),
            Self::HttpLength => {
                let head = format!("POST / HTTP/1.1\r\nContent-Length: {LONG_BYTES}\r\n\r\n");
                [head.into_bytes(), vec![b'x'; LONG_BYTES]].concat()
            }
            Self::HttpChunk => {
                let head = format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{LONG_BYTES:x}\r\n");
                [head.into_bytes(), vec![b'x'; LONG_BYTES]].concat()
            }
            Self::HttpChunks => {
                let chunk = format!("{:x}\r\n{}\r\n", 1_000, "x".repeat(1_000));
                let chunks = chunk.repeat(LONG_BYTES / 1_000);
                format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}").into()
            }
            Self::HttpManyHeaders => format!("GET /ping HTTP/1.1\r\n{short_headers}\r\n").into(),
            Self::HttpManyParameters => {
                format!("GET /?{} HTTP/1.1\r\n\r\n", "a&".repeat(HEAD_BYTES / 2)).into()
            }
            Self::HttpManyHeadersAndBody => {
                let head = format!("POST /?{} HTTP/1.1\r\nContent-Length: 1000\r\n", "a&".repeat(900));
                let headers = "a:\n".repeat((HEAD_BYTES - head.len()) / 3);
                format!("{head}{headers}\r\n{}", "x".repeat(1_000)).into()
            }
        }
    }
}

fn http_address(gateway: &Gateway) -> SocketAddr {
    gateway.http.expect("an HTTP address")
}

/// What the usual clients of one run saw.
#[derive(Debug, Default)]
struct Answers {
    requests: usize,
    served: usize,
    /// Requests that were answered after their limit.
    late: Vec<Duration>,
    /// Requests whose connection ended without an answer, or that got none.
    unanswered: usize,
}

impl Answers {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.served += other.served;
        self.late.extend(other.late);
        self.unanswered += other.unanswered;
    }
}

/// How a usual client sends its requests.
#[derive(Debug, Clone, Copy)]
struct UsualClient {
    number: usize,
    thrift: SocketAddr,
    http: SocketAddr,
}

impl UsualClient {
    /// Returns whether the client sends all requests on one connection, or each on a new one.
    fn keeps_connection(self) -> bool {
        self.number.is_multiple_of(2)
    }

    fn uses_http(self) -> bool {
        self.number % 4 >= 2
    }

    /// Sends requests one after the other.
    fn run(self) -> Answers {
        let mut answers = Answers::default();
        let began = Instant::now();
        let (mut client, mut sequence) = (None, 0);
        while began.elapsed() < DURATION {
            answers.requests += 1;
            sequence += 1;
            let name = name((self.number + 1) * 1_000_000 + answers.requests);
            let sent_at = Instant::now();
            // The gateway may have closed a connection that rested: the request is sent again on a new one.
            let on_open = client.take().map(|stream| self.send(stream, sequence, &name));
            let answer = on_open.and_then(Result::ok).map_or_else(
                || {
                    sequence = 1;
                    self.send(self.connect()?, sequence, &name)
                },
                Ok,
            );
            match answer {
                Ok((is_served, stream)) => {
                    answers.served += usize::from(is_served);
                    if sent_at.elapsed() > LIMIT + SLACK {
                        answers.late.push(sent_at.elapsed());
                    }
                    client = Some(stream).filter(|_| self.keeps_connection());
                }
                Err(_) => answers.unanswered += 1,
            }
            thread::sleep(THINK_TIME);
        }
        answers
    }

    fn connect(self) -> std::io::Result<TcpStream> {
        TcpStream::connect(if self.uses_http() { self.http } else { self.thrift })
    }

    /// Sends a request, and returns whether its answer is that it was served.
    fn send(self, mut stream: TcpStream, sequence: i32, name: &str) -> std::io::Result<(bool, TcpStream)> {
        stream.set_read_timeout(Some(LIMIT + LATE_ANSWER_WAIT))?;
        stream.write_all(&self.request(sequence, name))?;
        let mut next = [0];
        if stream.peek(&mut next)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let is_served = if self.uses_http() {
            let (head, _) = read_http(&mut BufReader::new(&stream)).ok_or(ErrorKind::UnexpectedEof)?;
            head[0].starts_with("HTTP/1.1 200")
        } else {
            answer(&mut stream).1 == "served"
        };
        Ok((is_served, stream))
    }

    fn request(self, sequence: i32, name: &str) -> Vec<u8> {
        let is_longer = (sequence as usize).is_multiple_of(LONGER_STATEMENT_INTERVAL);
        let comment = "x".repeat(if is_longer { LONGER_STATEMENT_BYTES } else { 0 });
        let statement = format!("select 1 -- {comment}");
        if self.uses_http() {
            let target = format!("/?query_id={name}&max_execution_time={}", LIMIT.as_secs_f64());
            let length = statement.len();
            return format!("POST {target} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{statement}").into();
        }
        let limit = LIMIT.as_millis().to_string();
        call(sequence, &[("verb", "lookup"), ("txn", name), ("limit", &*limit)], &statement)
    }
}

/// Starts a gateway with this memory on one core, before an engine that answers with these rows.
fn start_gateway(memory_mb: usize, rows: &'static str) -> Gateway {
    let (engine, _) = resp_engine(move |parts| match parts[0].as_str() {
        "want" => Some(reply(&[&parts[1], "served", "pages=1,cost=5,need=8", rows])),
        _ => served(parts),
    });
    let text = with_long_latency_objectives(&config(&[engine], "resp", 60_000));
    let text = with_replacement(&text, r#""memory_mb":192"#, &format!(r#""memory_mb":{memory_mb}"#));
    let text = with_replacement(&text, r#""sockets":256"#, &format!(r#""sockets":{DESCRIPTORS}"#));
    CoreShare::beside(0).run(|| Gateway::start(&text))
}

/// Runs a crowd beside usual clients, and asserts that the gateway keeps its memory limit and answers the usual clients in time.
fn assert_bounded_beside(form: Form, sending: Sending, clients: usize, memory_mb: usize) {
    let _running = RunningTest::begin();
    let gateway = start_gateway(memory_mb, "a\tb\tc\n");
    let crowd = Crowd::start(form.address(&gateway), form.message(), sending, clients);
    let case = format!("{form:?} {sending:?} {clients} clients");
    let answers = assert_bounded(gateway, crowd, clients, memory_mb, &case);
    assert!(answers.served * 2 >= answers.requests, "{answers:?}");
}

/// Runs usual clients beside a crowd, and asserts that the gateway keeps its memory limit and answers the usual clients in time.
fn assert_bounded(gateway: Gateway, crowd: Crowd, clients: usize, memory_mb: usize, case: &str) -> Answers {
    wait_until(|| crowd.connected() >= clients * 9 / 10);
    let answers = thread::scope(|scope| {
        let usual: Vec<_> = (0..USUAL_CLIENTS)
            .map(|number| UsualClient { number, thrift: gateway.thrift, http: http_address(&gateway) })
            .map(|client| scope.spawn(move || client.run()))
            .collect();
        let mut all = Answers::default();
        usual.into_iter().for_each(|client| all.add(client.join().expect("a usual client")));
        all
    });
    let peak = gateway.peak_memory();
    drop(crowd);
    println!("{:?}", gateway.log_lines("memory: "));
    println!("{case}, {memory_mb} MiB: peak {} KiB, {answers:?}", peak >> 10);
    assert!(peak <= memory_mb << 20, "{} KiB of {memory_mb} MiB", peak >> 10);
    assert!(answers.late.is_empty() && answers.unanswered == 0, "{answers:?}");
    answers
}

/// A crowd: the form of its message, how it sends it, the number of clients, and the memory of the gateway in MiB.
type Case = (Form, Sending, usize, usize);

/// Runs several cases at a time, and asserts that none of them fails.
fn assert_all_bounded(cases: Vec<Case>) {
    let number = cases.len();
    let (remaining, failed) = (Mutex::new(cases), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..CONCURRENT_TESTS {
            scope.spawn(|| loop {
                let Some(case) = remaining.lock().expect("cases").pop() else { break };
                let (form, sending, clients, memory_mb) = case;
                let run = scope.spawn(move || assert_bounded_beside(form, sending, clients, memory_mb));
                if run.join().is_err() {
                    failed.lock().expect("failed").push(case);
                }
            });
        }
    });
    let failed = failed.into_inner().expect("failed");
    assert!(failed.is_empty(), "{} of {number} cases failed: {failed:?}", failed.len());
}

const THRIFT_AND_HTTP: [Form; 8] = [
    Form::Thrift,
    Form::ThriftShort,
    Form::HttpLength,
    Form::HttpChunk,
    Form::HttpChunks,
    Form::HttpManyHeaders,
    Form::HttpManyParameters,
    Form::HttpManyHeadersAndBody,
];

/// Each client used to get a reservation for a short message, which then served for the rest of a long one.
#[test]
fn clients_that_stop_in_a_message_do_not_exceed_the_memory() {
    let sizes = [(500, 48), (600, 16), (300, 24)];
    let case = |form, (clients, memory_mb), share| (form, Sending::StopAt(share), clients, memory_mb);
    let cases = THRIFT_AND_HTTP
        .into_iter()
        .flat_map(|form| sizes.map(|size| [0.6, 0.999].map(|share| case(form, size, share))));
    assert_all_bounded(cases.flatten().collect());
}

/// Usual clients used to wait for memory that was held by clients whose bytes were not read.
#[test]
fn clients_that_drip_do_not_delay_usual_clients() {
    let sending = Sending::Drip(1_024, Duration::from_millis(50));
    let forms = [Form::Thrift, Form::HttpLength, Form::HttpChunks];
    let cases = forms.map(|form| [(500, 48), (600, 16)].map(|(clients, mb)| (form, sending, clients, mb)));
    assert_all_bounded(cases.concat());
}

/// Usual clients used to wait behind clients that had left, in every queue of the gateway.
#[test]
fn clients_that_stop_anywhere_and_close_do_not_delay_usual_clients() {
    let sending = Sending::StopAnywhereAndClose(Duration::from_millis(500));
    let forms = [Form::Thrift, Form::HttpLength, Form::HttpManyHeaders];
    let in_little_memory = forms[1..].iter().map(|form| (*form, sending, 500, 16));
    assert_all_bounded(
        forms.map(|form| (form, sending, 500, 96)).into_iter().chain(in_little_memory).collect(),
    );
}

/// A crowd that takes all slots of clients, or nearly all in little memory, and connects again as soon as it has left.
#[test]
fn clients_that_take_all_slots_again_and_again_do_not_delay_usual_clients() {
    let sending = Sending::StopAnywhereAndClose(Duration::from_millis(500));
    let forms = [Form::Thrift, Form::HttpLength, Form::HttpManyHeaders];
    let in_little_memory = [(Form::Thrift, sending, 500, 16)];
    assert_all_bounded(
        forms.map(|form| (form, sending, 600, 16)).into_iter().chain(in_little_memory).collect(),
    );
}

/// Messages whose length is not known used to hold all of the memory for short ones, and their slots, while they waited for each other.
#[test]
fn clients_that_stop_in_chunks_and_close_do_not_delay_usual_clients() {
    let stop_within = |time, clients| (Form::HttpChunks, Sending::StopAnywhereAndClose(time), clients, 32);
    assert_all_bounded(vec![
        stop_within(Duration::from_millis(100), 500),
        stop_within(Duration::from_millis(500), 600),
    ]);
}

/// Results used to be read from engines however much memory answers took, and open requests to count by their statements alone.
#[test]
fn clients_that_do_not_read_do_not_exceed_the_memory() {
    const CALLS: usize = 30;
    let rows: &'static str = "a\tb\tc\n".repeat(10_000).leak();
    for (clients, memory_mb) in [(500, 48), (300, 24), (500, 16)] {
        let _running = RunningTest::begin();
        let gateway = start_gateway(memory_mb, rows);
        let calls = |client: usize| {
            let call_of = |number: usize| {
                let name = name((client + 1_000) * 1_000_000 + number);
                let fields = [("verb", "lookup"), ("txn", &*name), ("limit", "20000")];
                call(number as i32, &fields, "select 1")
            };
            (1..=CALLS).flat_map(call_of).collect()
        };
        let crowd = Crowd::start_each(gateway.thrift, calls, Sending::NeverRead, clients);
        assert_bounded(gateway, crowd, clients, memory_mb, &format!("NeverRead {clients} clients"));
    }
}

/// Requests that clients send ahead of their reading used to hold the memory for the messages of all others.
#[test]
fn clients_that_send_ahead_and_do_not_read_do_not_delay_usual_clients() {
    const QUERIES: usize = 400;
    let rows: &'static str = "a\tb\tc\n".repeat(10_000).leak();
    let query = "POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1";
    for (clients, memory_mb) in [(500, 48), (300, 24), (500, 16)] {
        let _running = RunningTest::begin();
        let gateway = start_gateway(memory_mb, rows);
        let queries = query.repeat(QUERIES).into_bytes();
        let crowd = Crowd::start(http_address(&gateway), queries, Sending::NeverRead, clients);
        assert_bounded(gateway, crowd, clients, memory_mb, &format!("SendAhead {clients} clients"));
    }
}
