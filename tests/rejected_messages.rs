//! Messages that are rejected while they arrive, as others need their memory: their clients get an answer, and keep their connection
//! where the end of the message is known.

mod stand;

use rstest::rstest;
use stand::requests::{name, served};
use stand::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;

/// Length of the statements, in bytes. The gateway has memory for one of them at a time.
const STATEMENT_BYTES: usize = 1_000_000;
/// Memory of the gateway, in MiB.
const MEMORY_MB: usize = 16;

fn start_gateway() -> Gateway {
    let (engine, _) = resp_engine(served);
    let text = with_long_latency_objectives(&config(&[engine], "resp", 60_000));
    Gateway::start(&with_replacement(&text, r#""memory_mb":192"#, &format!(r#""memory_mb":{MEMORY_MB}"#)))
}

fn long_call(sequence: i32, number: usize) -> Vec<u8> {
    let fields = [("verb", "lookup"), ("txn", &*name(number)), ("limit", "20000")];
    call(sequence, &fields, &"x".repeat(STATEMENT_BYTES))
}

/// Sends a long call on another connection, which needs the memory of the one that has stopped, and asserts that it is served.
fn assert_other_call_served(gateway: &Gateway) {
    let mut other = gateway.thrift_client();
    other.write_all(&long_call(1, 1)).expect("sent");
    assert_eq!(answer(&mut other).1, "served");
}

/// Sends a head whose end is `framing`, and half of the body, and waits until they are read.
fn send_half_of_body(gateway: &Gateway, framing: &str) -> TcpStream {
    let mut client = gateway.http_client();
    client.write_all(format!("POST / HTTP/1.1\r\n{framing}").as_bytes()).expect("sent");
    client.write_all(&vec![b'x'; STATEMENT_BYTES / 2]).expect("sent");
    wait_until_read(gateway.http.expect("an HTTP address"));
    client
}

fn read_status(client: &mut TcpStream) -> String {
    let (head, _) = read_http(&mut BufReader::new(client)).expect("an answer");
    head[0].clone()
}

#[test]
fn call_that_was_rejected_while_it_arrived_is_answered_once_it_is_complete() {
    let gateway = start_gateway();
    let mut slow = gateway.thrift_client();
    let message = long_call(1, 2);
    let (first_half, second_half) = message.split_at(message.len() / 2);
    slow.write_all(first_half).expect("sent");
    wait_until_read(gateway.thrift);
    assert_other_call_served(&gateway);
    slow.write_all(second_half).expect("sent");
    let (sequence, kind, _) = answer(&mut slow);
    assert_eq!((sequence, kind), (1, "overloaded"));
    slow.write_all(&requests::lookup(2, 3)).expect("sent");
    assert_eq!(answer(&mut slow).1, "served");
}

#[test]
fn body_that_was_rejected_while_it_arrived_is_answered_once_it_is_complete() {
    let gateway = start_gateway();
    let mut slow = send_half_of_body(&gateway, &format!("Content-Length: {STATEMENT_BYTES}\r\n\r\n"));
    assert_other_call_served(&gateway);
    slow.write_all(&vec![b'x'; STATEMENT_BYTES / 2]).expect("sent");
    assert!(read_status(&mut slow).starts_with("HTTP/1.1 503"));
    slow.write_all(b"GET /ping HTTP/1.1\r\n\r\n").expect("sent");
    assert!(read_status(&mut slow).starts_with("HTTP/1.1 200"));
}

/// The end of a chunked body is not known before it has arrived: it is answered at once.
#[test]
fn chunked_body_is_answered_as_it_is_rejected() {
    let gateway = start_gateway();
    let chunked = format!("Transfer-Encoding: chunked\r\n\r\n{STATEMENT_BYTES:x}\r\n");
    let mut slow = send_half_of_body(&gateway, &chunked);
    assert_other_call_served(&gateway);
    assert!(read_status(&mut slow).starts_with("HTTP/1.1 503"));
}

/// All slots used to be held by clients that stopped inside messages, as none of them was idle.
#[rstest]
#[case::thrift(&[0, 0, 1, 0, 0x80])]
#[case::http(b"POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\nx")]
fn slots_of_clients_that_stopped_inside_messages_are_given_to_others(#[case] beginning: &[u8]) {
    // A configured limit of 20 descriptors leaves the minimum of 16 for connections, and clients may use three fifths of them.
    const SLOTS: usize = 9;
    let (engine, _) = resp_engine(served);
    let text = config(&[engine], "resp", 20_000);
    let gateway = Gateway::start(&with_replacement(&text, r#""sockets":256"#, r#""sockets":20"#));
    let is_http = beginning.starts_with(b"POST");
    let stopped: Vec<_> = (0..SLOTS)
        .map(|_| {
            let mut client = if is_http { gateway.http_client() } else { gateway.thrift_client() };
            client.write_all(beginning).expect("sent");
            client
        })
        .collect();
    requests::assert_served(gateway.thrift_client(), 1);
    drop(stopped);
}
