//! Requests that must not run twice and come again under the same name after their client has left.

mod gateway_processes;
mod stand;
mod unsafe_requests;

use gateway_processes::SharedGateway;
use rstest::rstest;
use stand::{
    answer, cancel, health, http_engine, http_request, resp_engine, wait_for_log, with_non_idempotent_loads,
    Gateway, Log,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use unsafe_requests::*;

const NAME: &str = "abcdef00000000a7";
const STATEMENT: &str = "insert into s_1.t";

/// State of the first attempt when the request comes again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FirstAttempt {
    /// The engine has not answered it, and its client closes the connection.
    InFlight,
    /// The engine has not answered it, and its client cancels it.
    Cancelled,
    /// The engine has answered it.
    Ended,
}

impl FirstAttempt {
    fn engine(self) -> (SocketAddr, Log) {
        match self {
            Self::InFlight | Self::Cancelled => resp_engine(unresponsive_engine),
            Self::Ended => resp_engine(served),
        }
    }
}

fn wait_for_attempt(log: &Log) {
    wait_for_log(log, |entries| entries.iter().any(|parts| parts.iter().any(|part| part.contains(NAME))));
}

/// A client sends a request over Thrift and leaves, then another sends it again under the same name. The second used to be sent to an
/// engine as well, also while the first was in flight.
#[rstest]
#[case::in_flight(FirstAttempt::InFlight)]
#[case::cancelled(FirstAttempt::Cancelled)]
#[case::ended(FirstAttempt::Ended)]
fn request_that_returns_after_its_client_has_left_is_not_sent_again(#[case] first_attempt: FirstAttempt) {
    let (address, log) = first_attempt.engine();
    let gateway = Gateway::start(&settings(&[address], "resp", LATENCY_OBJECTIVE_MS));
    let mut first = gateway.thrift_client();
    first.write_all(&request(1, "load", NAME, 20_000)).expect("sent");
    wait_for_attempt(&log);
    match first_attempt {
        FirstAttempt::InFlight => {}
        FirstAttempt::Cancelled => first.write_all(&cancel(1)).expect("sent"),
        FirstAttempt::Ended => assert_eq!(answer(&mut first).1, "served"),
    }
    drop(first);
    for _ in 0..3 {
        let mut again = gateway.thrift_client();
        again.write_all(&request(1, "load", NAME, 20_000)).expect("sent");
        assert_eq!(answer(&mut again).1, FAILED);
    }
    assert_eq!(attempt_count(&log, NAME), 1);
}

/// A request that certainly did not run, as its engine rejected it, may come again and run.
#[test]
fn request_that_did_not_run_may_return() {
    let (address, log) = resp_engine(|parts| match parts[0].as_str() {
        "want" if parts[1] == NAME => Some(stand::reply(&[&parts[1], "overload", "-", ""])),
        _ => served(parts),
    });
    let gateway = Gateway::start(&settings(&[address], "resp", LATENCY_OBJECTIVE_MS));
    for _ in 0..2 {
        let before = attempt_count(&log, NAME);
        let mut client = gateway.thrift_client();
        client.write_all(&request(1, "load", NAME, 20_000)).expect("sent");
        assert_eq!(answer(&mut client).1, REJECTED);
        assert!(attempt_count(&log, NAME) > before);
    }
}

fn post(target: &str, body: &str) -> String {
    format!("POST {target} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// The same over HTTP, where a query has the id that its client gives. Another statement under the same id is another query.
#[test]
fn query_that_returns_after_its_client_has_left_is_not_sent_again() {
    let (address, log) = http_engine(|target, body| {
        let rows = if body.contains("s_2") { "other" } else { "rows" };
        Some(stand::encode_result(target, rows))
    });
    let gateway = Gateway::start(&settings(&[address], "clickhouse", LATENCY_OBJECTIVE_MS));
    let target = format!("/?query_id={NAME}");
    let (head, _) = http_request(&mut gateway.http_client(), &post(&target, STATEMENT));
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    let mut client = gateway.http_client();
    for _ in 0..2 {
        let (head, body) = http_request(&mut client, &post(&target, STATEMENT));
        assert!(head.starts_with("HTTP/1.1 502"), "{head}");
        assert!(body.contains("may have run"), "{body}");
    }
    let (head, body) = http_request(&mut client, &post(&target, "insert into s_2.t"));
    assert!(head.starts_with("HTTP/1.1 200") && body == "other", "{head} {body}");
    let statements = |log: &[Vec<String>]| log.iter().filter(|parts| parts[1] == STATEMENT).count();
    assert_eq!(statements(&log.lock().expect("log")), 1);
}

/// Two processes of one gateway share its address: a request comes again at the one that did not send it, while that one runs and after
/// it was killed.
#[rstest]
#[case::beside_the_other(false)]
#[case::after_the_other_was_killed(true)]
fn request_that_returns_to_another_process_is_not_sent_again(#[case] is_killed: bool) {
    let (address, log) = resp_engine(unresponsive_engine);
    let mut gateway = SharedGateway::new(&[address]);
    gateway.config = with_non_idempotent_loads(&gateway.config);
    let old = gateway.start();
    let mut idle = old.client();
    idle.write_all(&health(1)).expect("sent");
    assert_eq!(answer(&mut idle).1, "served");
    let mut first = old.client();
    first.write_all(&request(1, "load", NAME, 20_000)).expect("sent");
    wait_for_attempt(&log);
    if is_killed {
        drop(old);
        drop(first);
        assert_refused(&mut gateway.start().client());
    } else {
        let new = gateway.start();
        old.signal("-TERM");
        // The old process closes the connection of an idle client once the new one has taken over.
        assert_eq!(idle.read(&mut [0]).expect("closed"), 0);
        assert_refused(&mut new.client());
    }
    assert_eq!(attempt_count(&log, NAME), 1);
}

fn assert_refused(client: &mut TcpStream) {
    client.write_all(&request(1, "load", NAME, 10_000)).expect("sent");
    assert_eq!(answer(client).1, FAILED);
}
