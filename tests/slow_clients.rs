//! Clients that write slowly: the gateway waits for a message as long as further parts of it arrive, and answers it.

mod gateway_processes;
mod stand;

use gateway_processes::{shared_port, SharedGateway};
use rstest::rstest;
use stand::requests::*;
use stand::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Barrier};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time without a received byte after which the gateway closes a client connection.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);

/// The first half of the message arrives within the silence limit of a new connection, the second half after it.
#[test]
fn message_that_begins_late_on_a_new_connection_is_answered() {
    let (address, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[address], "resp", 20_000));
    let mut client = gateway.thrift_client();
    let message = lookup(1, 1);
    let (first_half, second_half) = message.split_at(message.len() / 2);
    sleep(MAX_SILENCE * 4 / 5);
    client.write_all(first_half).expect("sent");
    sleep(MAX_SILENCE * 2 / 5);
    client.write_all(second_half).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
}

/// Each pause between two parts of the message is below the silence limit, all of them together are above it.
#[test]
fn message_that_arrives_in_parts_is_answered() {
    const PARTS: usize = 4;
    let (address, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[address], "resp", 20_000));
    let mut client = gateway.thrift_client();
    let message = lookup(1, 1);
    for part in message.chunks(message.len().div_ceil(PARTS)) {
        client.write_all(part).expect("sent");
        sleep(MAX_SILENCE * 2 / 5);
    }
    assert_eq!(answer(&mut client).1, "served");
}

/// At the connection limit the longest idle connection holds half a message: the gateway closes another one.
#[test]
fn connection_limit_closes_no_connection_with_an_incomplete_message() {
    // A configured limit of 20 descriptors leaves the minimum of 16 for connections, and clients may use three fifths of them.
    const CAPACITY: usize = 9;
    let (address, _) = resp_engine(served);
    let text = with_replacement(&config(&[address], "resp", 20_000), r#""sockets":256"#, r#""sockets":20"#);
    let gateway = Gateway::start(&text);
    let mut incomplete = gateway.thrift_client();
    incomplete.write_all(&health(1)).expect("sent");
    assert_eq!(answer(&mut incomplete).0, 1);
    let message = lookup(2, 1);
    let (first_half, second_half) = message.split_at(message.len() / 2);
    incomplete.write_all(first_half).expect("sent");
    let clients: Vec<_> = (0..CAPACITY + 4)
        .map(|n| {
            let mut client = gateway.thrift_client();
            client.write_all(&lookup(1, 100 + n)).expect("sent");
            assert_eq!(answer(&mut client).1, "served", "client {n}");
            client
        })
        .collect();
    incomplete.write_all(second_half).expect("sent");
    assert_eq!(answer(&mut incomplete).1, "served");
    drop(clients);
}

/// Form in which a body is sent over HTTP.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyForm {
    Length,
    Chunked,
    Continue,
}

/// Returns the head of a request and its body in parts, which together take the connection's first message.
fn slow_request(form: BodyForm, parts: usize) -> (String, Vec<String>) {
    let statement = format!("select 1 -- {}", "x".repeat(4_000));
    let pieces: Vec<_> = statement.as_bytes().chunks(statement.len().div_ceil(parts)).map(text_of).collect();
    let head = match form {
        BodyForm::Length => format!("Content-Length: {}", statement.len()),
        BodyForm::Continue => format!("Content-Length: {}\r\nExpect: 100-continue", statement.len()),
        BodyForm::Chunked => "Transfer-Encoding: chunked".to_owned(),
    };
    let body = match form {
        BodyForm::Chunked => {
            let chunk = |piece: &String| format!("{:x}\r\n{piece}\r\n", piece.len());
            pieces.iter().map(chunk).chain(["0\r\n\r\n".to_owned()]).collect()
        }
        _ => pieces,
    };
    (format!("POST / HTTP/1.1\r\n{head}\r\n\r\n"), body)
}

fn text_of(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

/// Sends the head of a request, and awaits the interim response to `Expect: 100-continue`.
fn send_head(client: &mut TcpStream, form: BodyForm, head: &str) {
    client.write_all(head.as_bytes()).expect("sent");
    if form == BodyForm::Continue {
        let (interim, _) = read_http(&mut BufReader::new(client)).expect("an interim response");
        assert!(interim[0].starts_with("HTTP/1.1 100"), "{interim:?}");
    }
}

fn assert_answered(client: &mut TcpStream) {
    let (head, _) = read_http(&mut BufReader::new(client)).expect("an answer");
    assert!(head[0].starts_with("HTTP/1.1 200"), "{head:?}");
}

/// A body over HTTP that takes longer than the silence limit, on a new connection: the connection used to be closed in the
/// middle of the body, as the parts that had arrived were no longer counted as an incomplete message.
#[rstest]
#[case::length(BodyForm::Length)]
#[case::chunked(BodyForm::Chunked)]
#[case::expecting_continue(BodyForm::Continue)]
fn http_body_that_arrives_in_parts_on_a_new_connection_is_answered(#[case] form: BodyForm) {
    let (address, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[address], "resp", 20_000));
    let mut client = gateway.http_client();
    let (head, parts) = slow_request(form, 5);
    send_head(&mut client, form, &head);
    for part in parts {
        sleep(MAX_SILENCE * 2 / 5);
        client.write_all(part.as_bytes()).expect("sent");
    }
    assert_answered(&mut client);
}

/// The process is asked to end, or another process takes over, while a body arrives in parts.
#[rstest]
#[case::length(BodyForm::Length)]
#[case::chunked(BodyForm::Chunked)]
#[case::expecting_continue(BodyForm::Continue)]
fn http_body_that_arrives_during_the_shutdown_is_answered(#[case] form: BodyForm) {
    let (address, _) = resp_engine(served);
    let mut gateway = Gateway::start(&config(&[address], "resp", 20_000));
    let mut client = gateway.http_client();
    let (head, parts) = slow_request(form, 3);
    send_head(&mut client, form, &head);
    let mut idle = gateway.thrift_client();
    idle.write_all(&health(1)).expect("sent");
    assert_eq!(answer(&mut idle).0, 1);
    gateway.terminate();
    // The end of an idle connection shows that the process closes connections that it takes for idle.
    assert_eq!(idle.read(&mut [0; 1]).expect("closed"), 0);
    for part in parts {
        client.write_all(part.as_bytes()).expect("sent");
    }
    assert_answered(&mut client);
    drop((idle, client));
    assert!(gateway.child.wait().expect("the process exits").success());
}

/// Another process takes over while pipelined requests over HTTP wait for their turn and a body arrives in parts: connections are
/// closed after their next answer, but not if a further request has already arrived.
#[test]
fn http_requests_that_have_begun_are_answered_during_a_hot_restart() {
    let held = Arc::new(Barrier::new(2));
    let engine_held = held.clone();
    let (address, log) = resp_engine(move |parts| {
        if parts[0] == "want" && parts[3] == "select 1" {
            engine_held.wait();
        }
        served(parts)
    });
    let (_http_port, http_address) = shared_port();
    let mut gateway = SharedGateway::new(&[address]);
    let listener = format!(r#""clickhouse":{{"listen":"{http_address}","#);
    gateway.config = with_long_latency_objectives(
        &with_replacement(&gateway.config, r#""web":{"#, &listener)
            .replace(r#""give_up":20000"#, r#""give_up":60000"#),
    );
    let old = gateway.start();
    let connect = || TcpStream::connect(http_address).expect("connected");
    wait_until(|| TcpStream::connect(http_address).is_ok());
    let (mut pipelining, mut slow, mut idle) = (connect(), connect(), old.client());
    let request = |statement: &str| format!("POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\n{statement}");
    let requests = request("select 1") + &request("select 2") + &request("select 3");
    pipelining.write_all(requests.as_bytes()).expect("sent");
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "want"));
    let (head, parts) = slow_request(BodyForm::Length, 3);
    send_head(&mut slow, BodyForm::Length, &head);
    idle.write_all(&health(1)).expect("sent");
    assert_eq!(answer(&mut idle).0, 1);
    let new = gateway.start();
    old.signal("-TERM");
    // The end of an idle connection shows that the other process has taken over.
    assert_eq!(idle.read(&mut [0; 1]).expect("closed"), 0);
    held.wait();
    for part in parts {
        slow.write_all(part.as_bytes()).expect("sent");
    }
    assert_answered(&mut slow);
    let mut reader = BufReader::new(&mut pipelining);
    for number in 1..=3 {
        let (head, _) = read_http(&mut reader).unwrap_or_else(|| panic!("no answer to request {number}"));
        assert!(head[0].starts_with("HTTP/1.1 200"), "request {number}: {head:?}");
    }
    drop((pipelining, slow, idle));
    old.wait_for_exit();
    drop(new);
}

/// At the connection limit, a connection on which a body over HTTP has begun is not closed for another.
#[rstest]
#[case::length(BodyForm::Length)]
#[case::chunked(BodyForm::Chunked)]
#[case::expecting_continue(BodyForm::Continue)]
fn connection_limit_closes_no_connection_with_an_incomplete_http_body(#[case] form: BodyForm) {
    const CAPACITY: usize = 9;
    let (address, _) = resp_engine(served);
    let text = with_replacement(&config(&[address], "resp", 20_000), r#""sockets":256"#, r#""sockets":20"#);
    let gateway = Gateway::start(&text);
    let mut incomplete = gateway.http_client();
    let (head, parts) = slow_request(form, 2);
    send_head(&mut incomplete, form, &head);
    let clients: Vec<_> = (0..CAPACITY + 4)
        .map(|n| {
            let mut client = gateway.thrift_client();
            client.write_all(&lookup(1, 100 + n)).expect("sent");
            assert_eq!(answer(&mut client).1, "served", "client {n}");
            client
        })
        .collect();
    for part in parts {
        incomplete.write_all(part.as_bytes()).expect("sent");
    }
    assert_answered(&mut incomplete);
    drop(clients);
}

/// Nearly all connections hold half a message, and one is idle: a new client gets its slot. It used to wait for one check of each
/// of the others first, for longer than it is waited for a slot.
#[rstest]
#[case::thrift(true)]
#[case::http(false)]
fn idle_connection_is_closed_although_others_hold_incomplete_messages(#[case] is_thrift: bool) {
    // 256 descriptors, less 24 reserved ones: clients may use three fifths of the rest.
    const CAPACITY: usize = 139;
    let (address, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[address], "resp", 20_000));
    let half_message = if is_thrift {
        lookup(1, 1)[..20].to_vec()
    } else {
        b"POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\nsel".to_vec()
    };
    let connect = || if is_thrift { gateway.thrift_client() } else { gateway.http_client() };
    let mut incomplete: Vec<_> = (0..CAPACITY - 1).map(|_| connect()).collect();
    let mut idle = gateway.thrift_client();
    idle.write_all(&health(1)).expect("sent");
    assert_eq!(answer(&mut idle).0, 1);
    for client in &mut incomplete {
        client.write_all(&half_message).expect("sent");
    }
    let mut new = gateway.thrift_client();
    new.write_all(&lookup(1, 100)).expect("sent");
    assert_eq!(answer(&mut new).1, "served");
    assert_eq!(idle.read(&mut [0; 1]).expect("closed"), 0);
    drop(incomplete);
}

/// A client that stops inside a message is disconnected after the silence limit, also if a complete message preceded it in the
/// same bytes, and over HTTP after its head alone.
#[rstest]
#[case::thrift_first(true, vec![lookup(1, 1)[..20].to_vec()])]
#[case::thrift_after_a_message(true, vec![health(1), lookup(2, 1)[..20].to_vec()])]
#[case::http_head_alone(false, vec![b"POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\n".to_vec()])]
#[case::http_body(false, vec![b"POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\nsel".to_vec()])]
#[case::http_chunked(false, vec![b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nselect 1\r\n".to_vec()])]
#[case::http_after_a_message(false, vec![b"GET /ping HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 8\r\n\r\nsel".to_vec()])]
fn client_that_stops_inside_a_message_is_disconnected(
    #[case] is_thrift: bool,
    #[case] messages: Vec<Vec<u8>>,
) {
    let (address, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[address], "resp", 20_000));
    let mut client = if is_thrift { gateway.thrift_client() } else { gateway.http_client() };
    let began = Instant::now();
    client.write_all(&messages.concat()).expect("sent");
    let mut received = Vec::new();
    client.read_to_end(&mut received).expect("closed, not reset");
    assert!(began.elapsed() >= MAX_SILENCE, "{:?}", began.elapsed());
    assert!(began.elapsed() < MAX_SILENCE * 3, "{:?}", began.elapsed());
}

/// A client that sends a byte of a body now and then is disconnected once the time for a message is over.
#[rstest]
#[case::length("Content-Length: 100")]
#[case::chunked("Transfer-Encoding: chunked")]
fn http_body_that_arrives_too_slowly_is_cut(#[case] header: &str) {
    const MAX_MESSAGE_TIME: Duration = Duration::from_secs(6);
    let (address, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[address], "resp", 20_000));
    let mut client = gateway.http_client();
    client.set_read_timeout(Some(MAX_SILENCE / 3)).expect("set");
    let began = Instant::now();
    client.write_all(format!("POST / HTTP/1.1\r\n{header}\r\n\r\n").as_bytes()).expect("sent");
    // The first chunk is as long as all bytes that follow.
    client.write_all(if header.starts_with("Transfer") { b"64\r\n" } else { b"" }).expect("sent");
    while matches!(client.read(&mut [0; 1]), Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
    {
        let _ = client.write_all(b"x");
        assert!(began.elapsed() < MAX_MESSAGE_TIME * 2, "the connection stays open");
    }
    assert!(began.elapsed() >= MAX_MESSAGE_TIME, "{:?}", began.elapsed());
}

/// A request that is cancelled before the first answer: its connection used to be closed at once, as the silence limit counted
/// from the start of the connection.
#[test]
fn connection_stays_open_after_a_late_cancellation() {
    let (address, log) = resp_engine(|parts| {
        if parts[0] == "want" && parts[1] == name(1) {
            Some(String::new())
        } else {
            served(parts)
        }
    });
    let gateway = Gateway::start(&with_long_latency_objectives(&config(&[address], "resp", 60_000)));
    let mut client = gateway.thrift_client();
    client.write_all(&lookup(1, 1)).expect("sent");
    sleep(MAX_SILENCE * 6 / 5);
    client.write_all(&cancel(1)).expect("sent");
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "never_mind"));
    client.write_all(&lookup(2, 2)).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
}
