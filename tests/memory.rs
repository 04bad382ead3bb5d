//! Memory under clients that do not complete their messages or do not read their answers: such clients are disconnected, and
//! all others get their answers.

mod stand;

use rstest::rstest;
use stand::requests::{name, served};
use stand::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Length of the messages that the crowd announces, and the part of it that it sends.
const ANNOUNCED_BYTES: usize = 1_048_000;
const SENT_BYTES: usize = 1_040_000;
/// Length of the statements of usual clients that are longer than one read from a socket.
const LONG_STATEMENT_BYTES: usize = 100_000;
/// Length of a head that is just accepted, in bytes.
const HEAD_BYTES: usize = 16_000;
/// Number of bytes that one read from a socket requests.
const READ_BYTES: usize = 16 << 10;
/// Number of requests that each usual client sends after the crowd was first disconnected.
const REQUESTS: usize = 20;

/// Form in which a client sends its messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Form {
    Thrift,
    HttpLength,
    HttpChunked,
    HttpContinue,
    /// Over Thrift, behind a complete message of which the reservation must not serve for this one.
    ThriftPipelined,
    /// Over Thrift, with a part that is shorter than one read from a socket.
    ThriftShort,
    /// Over HTTP, with as many short parameters as fit into a head, and the beginning of a short body.
    HttpManyParameters,
    /// Over HTTP, with as many short headers as fit into a head, and the beginning of a short body.
    HttpManyHeaders,
}

impl Form {
    fn address(self, gateway: &Gateway) -> SocketAddr {
        match self {
            Self::Thrift | Self::ThriftPipelined | Self::ThriftShort => gateway.thrift,
            _ => gateway.http.expect("an HTTP address"),
        }
    }

    /// Returns a message that announces `ANNOUNCED_BYTES`, of which only `SENT_BYTES` follow.
    fn incomplete_message(self) -> Vec<u8> {
        let head = match self {
            Self::Thrift | Self::ThriftPipelined | Self::ThriftShort => {
                [&(ANNOUNCED_BYTES as u32).to_be_bytes()[..], &[0x80, 1, 0, 1]].concat()
            }
            Self::HttpChunked => {
                format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{ANNOUNCED_BYTES:x}\r\n").into()
            }
            Self::HttpLength | Self::HttpContinue => {
                format!("POST / HTTP/1.1\r\nContent-Length: {ANNOUNCED_BYTES}\r\n\r\n").into()
            }
            Self::HttpManyParameters => {
                let parameters = "a&".repeat(HEAD_BYTES / 2);
                format!("POST /?{parameters} HTTP/1.1\r\nContent-Length: 100\r\n\r\n").into()
            }
            Self::HttpManyHeaders => {
                let headers = "a:\n".repeat(HEAD_BYTES / 3);
                format!("POST / HTTP/1.1\r\nContent-Length: 100\r\n{headers}\r\n").into()
            }
        };
        let preceding = match self {
            Self::ThriftPipelined => {
                // A message without an answer that is a little longer than one read from a socket, and begins inside one.
                let cancel = cancel(1);
                let padding = cancel.repeat(READ_BYTES / 2 / cancel.len());
                [padding, cancel_of_length(READ_BYTES + 1_000)].concat()
            }
            _ => Vec::new(),
        };
        let sent_bytes = match self {
            Self::ThriftShort => READ_BYTES - 1_000,
            Self::HttpManyParameters | Self::HttpManyHeaders => 10,
            _ => SENT_BYTES,
        };
        [preceding, head, vec![b'x'; sent_bytes]].concat()
    }

    /// Sends a request whose statement has the given length, and asserts that it is served.
    fn assert_served(self, client: &mut TcpStream, seq: usize, number: usize, statement_bytes: usize) {
        let statement = format!("select 1 -- {}", "y".repeat(statement_bytes));
        if self == Self::Thrift {
            let name = name(number);
            let fields = [("verb", "lookup"), ("txn", &*name), ("limit", "20000")];
            client.write_all(&call(seq as i32, &fields, &statement)).expect("sent");
            assert_eq!(answer(client).1, "served", "request {number}");
            return;
        }
        let length = statement.len();
        let (head, body) = match self {
            Self::HttpChunked => {
                ("Transfer-Encoding: chunked".to_owned(), format!("{length:x}\r\n{statement}\r\n0\r\n\r\n"))
            }
            Self::HttpContinue => {
                (format!("Content-Length: {length}\r\nExpect: 100-continue"), statement.clone())
            }
            _ => (format!("Content-Length: {length}"), statement.clone()),
        };
        client.write_all(format!("POST / HTTP/1.1\r\n{head}\r\n\r\n").as_bytes()).expect("sent");
        let mut reader = BufReader::new(client.try_clone().expect("cloned"));
        if self == Self::HttpContinue {
            let (interim, _) = read_http(&mut reader).expect("an interim response");
            assert!(interim[0].starts_with("HTTP/1.1 100"), "{interim:?}");
        }
        client.write_all(body.as_bytes()).expect("sent");
        let (head, _) = read_http(&mut reader).expect("an answer");
        assert!(head[0].starts_with("HTTP/1.1 200"), "request {number}: {head:?}");
    }
}

/// Connects, sends an incomplete message, and waits to be disconnected, again and again until `stop`.
fn send_incomplete_messages(
    address: SocketAddr,
    message: &[u8],
    stop: &AtomicBool,
    disconnects: &AtomicUsize,
) {
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut client) = TcpStream::connect(address) else { continue };
        client.set_read_timeout(Some(Duration::from_millis(100))).expect("set");
        let _ = client.write_all(message);
        let is_waiting = |read: std::io::Result<usize>| match read {
            Ok(count) => count > 0,
            Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        };
        while is_waiting(client.read(&mut [0; 4096])) && !stop.load(Ordering::SeqCst) {}
        disconnects.fetch_add(1, Ordering::SeqCst);
    }
}

/// Encodes a `cancel` with an unknown field of zeros, so that the message has about this length.
fn cancel_of_length(bytes: usize) -> Vec<u8> {
    let mut message = cancel(1);
    let zeros = vec![0; bytes];
    // The message ends with the byte that ends its fields.
    message.pop();
    message.extend([11, 0, 9]);
    message.extend((zeros.len() as u32).to_be_bytes());
    message.extend(zeros);
    message.push(0);
    let length = (message.len() - 4) as u32;
    message[..4].copy_from_slice(&length.to_be_bytes());
    message
}

fn with_memory(config: &str, memory_mb: usize) -> String {
    with_replacement(config, r#""memory_mb":192"#, &format!(r#""memory_mb":{memory_mb}"#))
}

/// Runs a crowd with incomplete messages beside clients whose requests must be served, and returns the peak memory.
fn peak_memory_beside_crowd(crowd: Form, usual: Form, memory_mb: usize, crowd_size: usize) -> usize {
    const USUAL_CLIENTS: usize = 4;
    let (address, _) = resp_engine(served);
    let text = with_long_latency_objectives(&config(&[address], "resp", 60_000));
    let gateway = Gateway::start(&with_memory(&text, memory_mb));
    let (stop, disconnects) = (AtomicBool::new(false), AtomicUsize::new(0));
    let (crowd_address, usual_address) = (crowd.address(&gateway), usual.address(&gateway));
    let message = crowd.incomplete_message();
    thread::scope(|scope| {
        for _ in 0..crowd_size {
            scope.spawn(|| send_incomplete_messages(crowd_address, &message, &stop, &disconnects));
        }
        let usual_clients: Vec<_> = (0..USUAL_CLIENTS)
            .map(|client| {
                let disconnects = &disconnects;
                scope.spawn(move || {
                    let mut stream = TcpStream::connect(usual_address).expect("connected");
                    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
                    let (mut sent, mut sent_after_disconnect) = (0, 0);
                    while sent_after_disconnect < REQUESTS {
                        sent += 1;
                        // Every fourth statement is longer than one read from a socket.
                        let statement_bytes = if sent % 4 == 0 { LONG_STATEMENT_BYTES } else { 1 };
                        let number = client * 1_000_000 + sent;
                        usual.assert_served(&mut stream, sent, number, statement_bytes);
                        sent_after_disconnect +=
                            usize::from(disconnects.load(Ordering::SeqCst) >= crowd_size);
                    }
                })
            })
            .collect();
        let results: Vec<_> = usual_clients.into_iter().map(thread::ScopedJoinHandle::join).collect();
        stop.store(true, Ordering::SeqCst);
        assert!(results.iter().all(Result::is_ok), "a request of a usual client was not served");
    });
    gateway.peak_memory()
}

/// The memory for incomplete messages is exhausted by clients that stopped sending. Requests of other clients used to be
/// dropped in their place, as the memory for the answers was the same.
#[rstest]
#[case::thrift(Form::Thrift, Form::Thrift)]
#[case::http_beside_thrift(Form::Thrift, Form::HttpLength)]
#[case::http_with_length(Form::HttpLength, Form::HttpLength)]
#[case::http_chunked(Form::HttpChunked, Form::HttpChunked)]
#[case::http_expecting_continue(Form::HttpLength, Form::HttpContinue)]
#[case::thrift_beside_http(Form::HttpChunked, Form::Thrift)]
fn requests_are_served_beside_a_crowd_that_stops_inside_its_messages(
    #[case] crowd: Form,
    #[case] usual: Form,
) {
    peak_memory_beside_crowd(crowd, usual, 16, 24);
}

/// Many clients that stop inside short messages, or inside the first part of long ones, take the memory together.
#[test]
fn requests_are_served_beside_a_crowd_that_stops_inside_short_messages() {
    peak_memory_beside_crowd(Form::ThriftShort, Form::Thrift, 4, 120);
}

/// Bodies over HTTP used not to be counted: 120 clients that stop inside a body of 1 MB took over 120 MB.
#[rstest]
#[case::http_with_length(Form::HttpLength)]
#[case::http_chunked(Form::HttpChunked)]
#[case::thrift(Form::Thrift)]
#[case::thrift_pipelined(Form::ThriftPipelined)]
#[case::many_parameters(Form::HttpManyParameters)]
#[case::many_headers(Form::HttpManyHeaders)]
fn incomplete_messages_stay_within_the_memory_limit(#[case] crowd: Form) {
    const MEMORY_MB: usize = 64;
    let peak = peak_memory_beside_crowd(crowd, Form::HttpLength, MEMORY_MB, 100);
    assert!(peak < MEMORY_MB << 20, "{} MiB of {MEMORY_MB}", peak >> 20);
}

/// Clients that send requests and read no answer: they are disconnected before their answers fill the memory, and no other
/// client is.
#[test]
fn slow_readers_are_disconnected_in_place_of_others() {
    const MEMORY_MB: usize = 64;
    const SLOW_READERS: usize = 16;
    // Answers of each slow reader amount to more than the buffers of the sockets and the write queue hold.
    const REQUESTS_PER_SLOW_READER: usize = 400;
    let rows = "a\tb\tc\n".repeat(10_000);
    let (address, _) = resp_engine(move |parts| match parts[0].as_str() {
        "want" => Some(reply(&[&parts[1], "served", "pages=1,cost=5,need=8", &rows])),
        _ => served(parts),
    });
    let text = with_long_latency_objectives(&config(&[address], "resp", 60_000));
    let gateway = Gateway::start(&with_memory(&text, MEMORY_MB));
    let disconnected = AtomicUsize::new(0);
    thread::scope(|scope| {
        for reader in 0..SLOW_READERS {
            let (gateway, disconnected) = (&gateway, &disconnected);
            scope.spawn(move || {
                let mut client = gateway.thrift_client();
                for seq in 1..=REQUESTS_PER_SLOW_READER {
                    let name = name((reader + 1) * 1_000_000 + seq);
                    let fields = [("verb", "lookup"), ("txn", &*name), ("limit", "20000")];
                    if client.write_all(&call(seq as i32, &fields, "select 1")).is_err() {
                        break;
                    }
                    thread::sleep(Duration::from_millis(2));
                }
                let _ = client.shutdown(Shutdown::Write);
                disconnected.fetch_add(1, Ordering::SeqCst);
            });
        }
        let mut client = gateway.thrift_client();
        let mut seq = 0;
        while disconnected.load(Ordering::SeqCst) < SLOW_READERS {
            seq += 1;
            Form::Thrift.assert_served(&mut client, seq, seq, 1);
        }
    });
    let peak = gateway.peak_memory();
    assert!(peak < MEMORY_MB << 20, "{} MiB of {MEMORY_MB}", peak >> 20);
}
