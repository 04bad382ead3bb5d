//! Requests that must not run twice, on loopback: whatever ends an attempt, another goes out only where the one before
//! surely never ran. What may have run is answered as failed, never as refused: a refusal invites a retry.

mod stand;
mod unsafe_requests;

use rstest::rstest;
use stand::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use unsafe_requests::*;

/// How an engine ends an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    /// Turned away unseen.
    Overload,
    /// Over already, never run.
    Nobody,
    /// An error.
    Crashed,
    /// The connection ends under it.
    Reset,
    /// Progress, then the connection ends.
    ProgressThenReset,
    /// It waits for a load, then the connection ends.
    WaitsThenReset,
    /// Half of its result, of the rest nothing is known.
    HalfThenCrashed,
    /// Half of its result, then it is said never to have run.
    HalfThenNobody,
    /// Half of its result, then it is said to have been turned away.
    HalfThenOverload,
    /// Half of its result, then the connection ends.
    HalfThenReset,
    /// Half of its result, and no more.
    HalfThenSilence,
}

impl End {
    /// What the platform's engines say to a command.
    fn resp(self, parts: &[String]) -> Option<String> {
        let half = || reply(&[&parts[1], "served", "pages=2,cost=5,need=8", "1\t\t\n"]);
        let says = |word| Some(reply(&[&parts[1], word, "-", ""]));
        match (parts[0].as_str(), self) {
            ("want", End::Overload) | ("turn", End::HalfThenOverload) => says("overload"),
            ("want", End::Nobody) | ("turn", End::HalfThenNobody) => says("nobody"),
            ("want", End::Crashed) | ("turn", End::HalfThenCrashed) => says("crashed"),
            ("want", End::Reset) | ("turn", End::HalfThenReset) => None,
            ("want", End::ProgressThenReset | End::WaitsThenReset) => Some(String::new()),
            ("want", _) => Some(half()),
            ("turn", End::HalfThenSilence) => Some(String::new()),
            _ => served(parts),
        }
    }

    /// What an engine of the ClickHouse interface says to a request.
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

/// An engine that ends attempts so, over the platform's interface.
fn ending(end: End) -> (SocketAddr, Log) {
    let update = match end {
        End::ProgressThenReset => "detail=p,v=0.5",
        End::WaitsThenReset => "detail=w,v=2",
        _ => return resp_engine(move |parts| end.resp(parts)),
    };
    resp_engine_with_handler(move |parts, stream| {
        let runs = parts[0] == "want";
        let said = if runs { Some(reply(&[&parts[1], "update", update, ""])) } else { served(parts) };
        stream.write_all(said.unwrap_or_default().as_bytes()).is_ok() && !runs
    })
}

/// Sends one request to a gateway before two engines that end attempts alike; its answer, and how often it ran.
fn sent_to_two(end: End, wire: &str, class: &str) -> (&'static str, usize) {
    let start = || match wire {
        "resp" => ending(end),
        _ => http_engine(move |target, _| end.http(target)),
    };
    let engines = [start(), start()];
    let at = engines.each_ref().map(|e| e.0);
    let logs = engines.each_ref().map(|e| e.1.clone());
    let gateway = Gateway::start(&settings(&at, wire, LATENCY_OBJECTIVE_MS));
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
fn what_surely_never_ran_is_sent_again_and_refused_at_last(#[case] end: End, #[case] wire: &str) {
    let (kind, sent) = sent_to_two(end, wire, "load");
    assert_eq!(kind, REJECTED, "trying again is harmless");
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
#[case::error_of_the_engine(End::Crashed, "clickhouse")]
#[case::reset_over_http(End::Reset, "clickhouse")]
fn what_may_have_run_is_never_sent_again_and_fails(#[case] end: End, #[case] wire: &str) {
    assert_eq!(sent_to_two(end, wire, "load"), (FAILED, 1));
    // The same end of a safe request is followed by another attempt: it is the class that forbids it.
    let (_, sent) = sent_to_two(end, wire, "lookup");
    assert!(sent >= 2, "a safe request was sent {sent} times");
}

/// Nobody listens, or the connection never comes up: nothing ran, and the client may try again.
#[rstest]
#[case::refused(false, "resp")]
#[case::never_up(true, "resp")]
#[case::refused_over_http(false, "clickhouse")]
#[case::never_up_over_http(true, "clickhouse")]
fn request_whose_connection_never_comes_up_is_refused_and_never_leaves(
    #[case] hangs: bool,
    #[case] wire: &str,
) {
    let (_held, refusing) = refused_address();
    let (listener, filling) = full_listener();
    let at = if hangs { listener.local_addr().expect("bound") } else { refusing };
    let gateway = Gateway::start(&settings(&[at], wire, LATENCY_OBJECTIVE_MS));
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, "load", LOAD, LONG_TIMEOUT_MS)).expect("sent");
    assert_eq!(answer(&mut client).1, REJECTED);
    // Whatever did come up later has nothing to say.
    drop(filling);
    drop(gateway);
    listener.set_nonblocking(true).expect("set");
    let mut said = String::new();
    while let Ok((mut stream, _)) = listener.accept() {
        stream.set_nonblocking(false).expect("set");
        let _ = stream.read_to_string(&mut said);
    }
    assert!(!said.contains(LOAD), "{said}");
}

/// One engine takes no connection; the attempt moves on to the one that does, and runs there once.
#[test]
fn request_that_met_a_refused_connection_runs_at_another_engine() {
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

/// An engine says nothing until the client's time is over.
#[rstest]
#[case::resp("resp")]
#[case::clickhouse("clickhouse")]
fn request_that_times_out_fails_and_is_not_sent_again(#[case] wire: &str) {
    let start = || match wire {
        "resp" => resp_engine(unresponsive_engine),
        _ => http_engine(|target, _| {
            let answer = || encode_http("200 OK", "", "Ok.\n");
            Some(if target.starts_with("/ping") { answer() } else { String::new() })
        }),
    };
    let engines = [start(), start()];
    let gateway = Gateway::start(&settings(&[engines[0].0, engines[1].0], wire, LONG_TIMEOUT_MS));
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, "load", LOAD, 400)).expect("sent");
    assert_eq!(answer(&mut client).1, FAILED);
    assert_eq!(attempt_count(&engines[0].1, LOAD) + attempt_count(&engines[1].1, LOAD), 1);
}

/// The client withdraws what runs: it is given up there, and goes nowhere else.
#[rstest]
#[case::cancel(true)]
#[case::close(false)]
fn request_that_its_client_gave_up_is_not_sent_again(#[case] says_so: bool) {
    let engines = [resp_engine(unresponsive_engine), resp_engine(unresponsive_engine)];
    let logs = engines.each_ref().map(|e| e.1.clone());
    let gateway = Gateway::start(&settings(&[engines[0].0, engines[1].0], "resp", LONG_TIMEOUT_MS));
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, "load", LOAD, LONG_TIMEOUT_MS)).expect("sent");
    wait_for_any_log(&logs, |parts| parts[0] == "want");
    if says_so {
        client.write_all(&cancel(1)).expect("sent");
    } else {
        drop(client);
    }
    wait_for_any_log(&logs, |parts| parts[0] == "never_mind" && parts[1] == LOAD);
    // Another request has passed since: whatever the first had left to do is done.
    let mut after = gateway.thrift_client();
    after.write_all(&request(1, "lookup", "abcdef00000000b1", 200)).expect("sent");
    answer(&mut after);
    assert_eq!(total_attempt_count(&logs, LOAD), 1);
}

/// An engine says twice that an attempt never ran, the second time after the next attempt has reached it: the copy answers
/// the first, not the one that runs.
#[rstest]
#[case::nobody("nobody")]
#[case::overload("overload")]
fn copy_of_an_answer_does_not_end_the_next_attempt(#[case] word: &'static str) {
    let first: Arc<Mutex<Option<TcpStream>>> = Arc::default();
    let (at, log) = resp_engine_with_handler(move |parts, stream| {
        let never_ran = || reply(&[&parts[1], word, "-", ""]);
        if parts[0] != "want" || parts[1] != LOAD {
            return stream.write_all(served(parts).unwrap_or_default().as_bytes()).is_ok();
        }
        let mut first = first.lock().expect("first");
        // The second attempt runs on; what is said again is said where it was said before.
        let mut says = first.take().unwrap_or_else(|| stream.try_clone().expect("cloned"));
        let said = says.write_all(never_ran().as_bytes()).is_ok();
        *first = Some(says);
        said
    });
    let gateway = Gateway::start(&settings(&[at], "resp", LONG_TIMEOUT_MS));
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, "load", LOAD, LONG_TIMEOUT_MS)).expect("sent");
    wait_for_log(&log, |l| l.iter().filter(|p| p[0] == "want" && p[1] == LOAD).count() >= 2);
    // What follows on the same connection is read after the copy.
    for seq in 2..10 {
        client.write_all(&request(seq, "lookup", &format!("{seq:016x}"), LONG_TIMEOUT_MS)).expect("sent");
        answer(&mut client);
    }
    assert_eq!(attempt_count(&log, LOAD), 2, "the second attempt runs, and a third was sent");
}
