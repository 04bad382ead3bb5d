//! Requests that must not run twice, over loopback connections. However an attempt ends, the request is sent again only if
//! the attempt certainly did not run. A request that may have run is answered as failed and never as rejected, because
//! clients retry rejected requests.

mod stand;
mod unsafe_requests;

use rstest::rstest;
use stand::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use unsafe_requests::*;

/// The way in which an engine ends an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    /// The engine rejects the attempt because of overload, without running it.
    Overload,
    /// The engine answers that the attempt has ended and never ran.
    Nobody,
    /// The engine answers with an error.
    Crashed,
    /// The connection is closed without an answer.
    Reset,
    /// The engine reports progress, then the connection is closed.
    ProgressThenReset,
    /// The engine reports that the attempt waits for a load, then the connection is closed.
    WaitsThenReset,
    /// The engine sends half of the result and answers the request for the rest with an error.
    HalfThenCrashed,
    /// The engine sends half of the result, then answers that the attempt never ran.
    HalfThenNobody,
    /// The engine sends half of the result, then answers that it rejected the attempt because of overload.
    HalfThenOverload,
    /// The engine sends half of the result, then the connection is closed.
    HalfThenReset,
    /// The engine sends half of the result, then does not answer.
    HalfThenSilence,
}

impl End {
    /// Returns the reply to a command of the platform's protocol, `None` to close the connection.
    fn resp(self, parts: &[String]) -> Option<String> {
        let half_of_result = || reply(&[&parts[1], "served", "pages=2,cost=5,need=8", "1\t\t\n"]);
        let reply_with = |word| Some(reply(&[&parts[1], word, "-", ""]));
        match (parts[0].as_str(), self) {
            ("want", End::Overload) | ("turn", End::HalfThenOverload) => reply_with("overload"),
            ("want", End::Nobody) | ("turn", End::HalfThenNobody) => reply_with("nobody"),
            ("want", End::Crashed) | ("turn", End::HalfThenCrashed) => reply_with("crashed"),
            ("want", End::Reset) | ("turn", End::HalfThenReset) => None,
            ("want", End::ProgressThenReset | End::WaitsThenReset) => Some(String::new()),
            ("want", _) => Some(half_of_result()),
            ("turn", End::HalfThenSilence) => Some(String::new()),
            _ => served(parts),
        }
    }

    /// Returns the response to a request of the ClickHouse interface, `None` to close the connection.
    fn http(self, target: &str) -> Option<String> {
        if target.starts_with("/ping") {
            return Some(encode_http("200 OK", "", "Ok.\n"));
        }
        match self {
            End::Overload => {
                Some(encode_http("503 Busy", "X-ClickHouse-Exception-Code: 202\r\n", "Code: 202."))
            }
            End::Crashed => {
                Some(encode_http("500 Error", "X-ClickHouse-Exception-Code: 241\r\n", "Code: 241."))
            }
            _ => None,
        }
    }
}

/// Starts an engine that ends attempts in the given way, over the platform's protocol.
fn engine_that_ends(end: End) -> (SocketAddr, Log) {
    let update = match end {
        End::ProgressThenReset => "detail=p,v=0.5",
        End::WaitsThenReset => "detail=w,v=2",
        _ => return resp_engine(move |parts| end.resp(parts)),
    };
    resp_engine_with_handler(move |parts, stream| {
        let runs = parts[0] == "want";
        let reply = if runs { Some(reply(&[&parts[1], "update", update, ""])) } else { served(parts) };
        stream.write_all(reply.unwrap_or_default().as_bytes()).is_ok() && !runs
    })
}

/// Sends one request to a gateway in front of two engines that end attempts in the given way. Returns the kind of the answer
/// and the number of attempts that arrived at the engines.
fn send_to_two_engines(end: End, protocol: &str, class: &str) -> (&'static str, usize) {
    let start = || match protocol {
        "resp" => engine_that_ends(end),
        _ => http_engine(move |target, _| end.http(target)),
    };
    let engines = [start(), start()];
    let at = engines.each_ref().map(|e| e.0);
    let logs = engines.each_ref().map(|e| e.1.clone());
    let gateway = Gateway::start(&settings(&at, protocol, LATENCY_OBJECTIVE_MS));
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, class, LOAD, LONG_TIMEOUT_MS)).expect("sent");
    let (seq, kind, _) = answer(&mut client);
    assert_eq!(seq, 1);
    (kind, total_attempt_count(&logs, LOAD))
}

#[rstest]
#[case::overload(End::Overload, "resp")]
#[case::nobody(End::Nobody, "resp")]
#[case::too_many_queries(End::Overload, "clickhouse")]
fn request_that_certainly_did_not_run_is_sent_again_and_rejected_in_the_end(
    #[case] end: End,
    #[case] protocol: &str,
) {
    let (kind, sent) = send_to_two_engines(end, protocol, "load");
    assert_eq!(kind, REJECTED, "the client may safely retry");
    assert!(sent >= 2, "sent {sent} times");
}

#[rstest]
#[case::crashed(End::Crashed, "resp")]
#[case::reset(End::Reset, "resp")]
#[case::progress_then_reset(End::ProgressThenReset, "resp")]
#[case::waits_then_reset(End::WaitsThenReset, "resp")]
#[case::half_then_crashed(End::HalfThenCrashed, "resp")]
#[case::half_then_nobody(End::HalfThenNobody, "resp")]
#[case::half_then_overload(End::HalfThenOverload, "resp")]
#[case::half_then_reset(End::HalfThenReset, "resp")]
#[case::half_then_silence(End::HalfThenSilence, "resp")]
#[case::error_over_http(End::Crashed, "clickhouse")]
#[case::reset_over_http(End::Reset, "clickhouse")]
fn request_that_may_have_run_is_not_sent_again_and_fails(#[case] end: End, #[case] protocol: &str) {
    assert_eq!(send_to_two_engines(end, protocol, "load"), (FAILED, 1));
    // An idempotent request whose attempt ends in the same way is sent again, so the class is what prevents it above.
    let (_, sent) = send_to_two_engines(end, protocol, "lookup");
    assert!(sent >= 2, "an idempotent request was sent {sent} times");
}

/// The engine's address refuses connections, or the connection is never established. The request certainly did not run, so it
/// is rejected and the client may retry. Its text must not be sent if the connection is established later.
#[rstest]
#[case::refused(false, "resp")]
#[case::never_established(true, "resp")]
#[case::refused_over_http(false, "clickhouse")]
#[case::never_established_over_http(true, "clickhouse")]
fn request_without_an_established_connection_is_rejected_and_never_sent(
    #[case] hangs: bool,
    #[case] protocol: &str,
) {
    let (_held, refusing) = refused_address();
    let (listener, filling) = full_listener();
    let at = if hangs { listener.local_addr().expect("bound") } else { refusing };
    let gateway = Gateway::start(&settings(&[at], protocol, LATENCY_OBJECTIVE_MS));
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, "load", LOAD, LONG_TIMEOUT_MS)).expect("sent");
    assert_eq!(answer(&mut client).1, REJECTED);
    // Connections that are established later must not carry the request.
    drop(filling);
    drop(gateway);
    listener.set_nonblocking(true).expect("set");
    let mut received = String::new();
    while let Ok((mut stream, _)) = listener.accept() {
        stream.set_nonblocking(false).expect("set");
        let _ = stream.read_to_string(&mut received);
    }
    assert!(!received.contains(LOAD), "{received}");
}

/// One engine refuses connections. Each request must run exactly once at the other engine.
#[test]
fn request_with_a_refused_connection_runs_once_at_another_engine() {
    let (_held, refusing) = refused_address();
    let (good, log) = resp_engine(served);
    let gateway = Gateway::start(&settings(&[refusing, good], "resp", LONG_TIMEOUT_MS));
    let mut client = gateway.thrift_client();
    for seq in 1..=20 {
        let txn = format!("{seq:016x}");
        client.write_all(&request(seq, "load", &txn, LONG_TIMEOUT_MS)).expect("sent");
        assert_eq!(answer(&mut client).1, "served");
        assert_eq!(attempt_count(&log, &txn), 1);
    }
}

/// An engine does not answer before the client's deadline. The request may have run, so it must fail and not be sent again.
#[rstest]
#[case::resp("resp")]
#[case::clickhouse("clickhouse")]
fn request_that_times_out_fails_and_is_not_sent_again(#[case] protocol: &str) {
    let start = || match protocol {
        "resp" => resp_engine(unresponsive_engine),
        _ => http_engine(|target, _| {
            let answer = || encode_http("200 OK", "", "Ok.\n");
            Some(if target.starts_with("/ping") { answer() } else { String::new() })
        }),
    };
    let engines = [start(), start()];
    let gateway = Gateway::start(&settings(&[engines[0].0, engines[1].0], protocol, LONG_TIMEOUT_MS));
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, "load", LOAD, 400)).expect("sent");
    assert_eq!(answer(&mut client).1, FAILED);
    assert_eq!(attempt_count(&engines[0].1, LOAD) + attempt_count(&engines[1].1, LOAD), 1);
}

/// The client cancels its request or disconnects while an attempt runs. The attempt is cancelled, and the request must not be
/// sent to another engine.
#[rstest]
#[case::cancel(true)]
#[case::close(false)]
fn request_cancelled_by_its_client_is_not_sent_again(#[case] sends_cancel: bool) {
    let engines = [resp_engine(unresponsive_engine), resp_engine(unresponsive_engine)];
    let logs = engines.each_ref().map(|e| e.1.clone());
    let gateway = Gateway::start(&settings(&[engines[0].0, engines[1].0], "resp", LONG_TIMEOUT_MS));
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, "load", LOAD, LONG_TIMEOUT_MS)).expect("sent");
    wait_for_any_log(&logs, |parts| parts[0] == "want");
    if sends_cancel {
        client.write_all(&cancel(1)).expect("sent");
    } else {
        drop(client);
    }
    wait_for_any_log(&logs, |parts| parts[0] == "never_mind" && parts[1] == LOAD);
    // Once another request has been answered, the gateway has completed its processing of the first one.
    let mut after = gateway.thrift_client();
    after.write_all(&request(1, "lookup", "abcdef00000000b1", 200)).expect("sent");
    answer(&mut after);
    assert_eq!(total_attempt_count(&logs, LOAD), 1);
}

/// An engine answers twice that an attempt never ran, the second time after the next attempt has arrived. The duplicate
/// belongs to the first attempt and must not end the second one, or the request would be sent a third time while it runs.
#[rstest]
#[case::nobody("nobody")]
#[case::overload("overload")]
fn duplicate_answer_does_not_end_the_next_attempt(#[case] word: &'static str) {
    let first: Arc<Mutex<Option<TcpStream>>> = Arc::default();
    let (at, log) = resp_engine_with_handler(move |parts, stream| {
        let never_ran_reply = || reply(&[&parts[1], word, "-", ""]);
        if parts[0] != "want" || parts[1] != LOAD {
            return stream.write_all(served(parts).unwrap_or_default().as_bytes()).is_ok();
        }
        let mut first = first.lock().expect("first");
        // The second attempt keeps running. The duplicate is written to the connection of the first attempt.
        let mut connection = first.take().unwrap_or_else(|| stream.try_clone().expect("cloned"));
        let is_written = connection.write_all(never_ran_reply().as_bytes()).is_ok();
        *first = Some(connection);
        is_written
    });
    let gateway = Gateway::start(&settings(&[at], "resp", LONG_TIMEOUT_MS));
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, "load", LOAD, LONG_TIMEOUT_MS)).expect("sent");
    wait_for_log(&log, |l| l.iter().filter(|p| p[0] == "want" && p[1] == LOAD).count() >= 2);
    // Later answers on the same connection are read after the duplicate.
    for seq in 2..10 {
        client.write_all(&request(seq, "lookup", &format!("{seq:016x}"), LONG_TIMEOUT_MS)).expect("sent");
        answer(&mut client);
    }
    assert_eq!(attempt_count(&log, LOAD), 2, "expected two attempts, the second of which runs");
}
