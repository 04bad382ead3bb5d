//! Requests that must not run twice, over loopback connections: they are not sent again when their engine leaves the endpoint
//! list, the gateway reloads its configuration, or its process ends.

mod stand;
mod unsafe_requests;

use rstest::rstest;
use stand::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use unsafe_requests::*;

/// The way in which an engine leaves the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Departure {
    Draining,
    Removed,
}

impl Departure {
    /// Returns a list, with its version, in which the engine `old` drains or is missing and the engine `new` is live.
    fn list(self, old: SocketAddr, new: SocketAddr) -> (u32, Vec<(&'static str, SocketAddr, bool)>) {
        let without_old = vec![("s-1", new, false)];
        let with_old_draining = vec![("s-0", old, true), ("s-1", new, false)];
        (2, if self == Departure::Draining { with_old_draining } else { without_old })
    }
}

/// A request waits for a connection to be established when its engine leaves the list. It has not been sent, so it must run at
/// another engine, and the connection is given up, as another process may accept it later.
#[rstest]
#[case::draining(Departure::Draining)]
#[case::removed(Departure::Removed)]
fn request_that_waits_for_a_connection_runs_elsewhere_if_its_engine_leaves(#[case] departure: Departure) {
    let (listener, filling) = full_listener();
    let old = listener.local_addr().expect("bound");
    let (new, log) = resp_engine(served);
    let (name_service, list_answer) = list_service();
    let text = with_replacement(
        &settings(&[old], "resp", LONG_TIMEOUT_MS),
        r#""connect_timeout":250"#,
        &format!(r#""connect_timeout":{LONG_TIMEOUT_MS}"#),
    );
    let gateway = Gateway::start(&text.replacen('{', &format!(r#"{{"names":"{name_service}","#), 1));
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, "load", LOAD, LONG_TIMEOUT_MS)).expect("sent");
    wait_until_connecting(old);
    *list_answer.lock().expect("not poisoned") = Some(departure.list(old, new));
    assert_eq!(answer(&mut client).1, "served");
    let late = resp_engine_at(listener, served);
    drop(filling);
    // The connection that filled the queue is closed. The gateway's is not opened any more, so that it cannot carry the request.
    wait_for_log(&late, |l| l.iter().any(|p| p[0] == "closed"));
    wait_until(|| gateway.connecting_count(old) == 0);
    assert_eq!((attempt_count(&log, LOAD), attempt_count(&late, LOAD)), (1, 0));
}

/// A request runs on an engine that leaves the list. A draining engine finishes it. On a removed engine the request may have
/// run, so it must fail. It is not sent again in either case.
#[rstest]
#[case::draining(Departure::Draining, "served")]
#[case::removed(Departure::Removed, FAILED)]
fn request_that_runs_while_its_engine_leaves_is_not_sent_again(
    #[case] departure: Departure,
    #[case] expected_answer: &str,
) {
    let (old, old_log, released) = withholding_engine();
    let (new, new_log) = resp_engine(served);
    let (name_service, list_answer) = list_service();
    let text = settings(&[old], "resp", LONG_TIMEOUT_MS);
    let gateway = Gateway::start(&text.replacen('{', &format!(r#"{{"names":"{name_service}","#), 1));
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, "load", LOAD, LONG_TIMEOUT_MS)).expect("sent");
    wait_for_log(&old_log, |l| l.iter().any(|p| p[0] == "want"));
    *list_answer.lock().expect("not poisoned") = Some(departure.list(old, new));
    send_until_used(&gateway, &new_log);
    released.store(departure == Departure::Draining, Ordering::SeqCst);
    assert_eq!(answer(&mut client).1, expected_answer);
    assert_eq!((attempt_count(&old_log, LOAD), attempt_count(&new_log, LOAD)), (1, 0));
}

/// A reload of the configuration, which adds an engine, must not move a request that runs.
#[test]
fn request_that_runs_through_a_reload_is_not_sent_again() {
    let (old, old_log, released) = withholding_engine();
    let (new, new_log) = resp_engine(served);
    let (name_service, list_answer) = list_service();
    let text = settings(&[old], "resp", LONG_TIMEOUT_MS);
    let gateway = Gateway::start(&text);
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, "load", LOAD, LONG_TIMEOUT_MS)).expect("sent");
    wait_for_log(&old_log, |l| l.iter().any(|p| p[0] == "want"));
    *list_answer.lock().expect("not poisoned") = Some((2, vec![("s-0", old, false), ("s-1", new, false)]));
    gateway.reload(&text.replacen('{', &format!(r#"{{"names":"{name_service}","#), 1));
    send_until_used(&gateway, &new_log);
    released.store(true, Ordering::SeqCst);
    assert_eq!(answer(&mut client).1, "served");
    assert_eq!((attempt_count(&old_log, LOAD), attempt_count(&new_log, LOAD)), (1, 0));
}

/// The process receives SIGTERM while an attempt is in flight that its engine never answers. A request that may have run must
/// fail; an idempotent one is rejected, so that its client retries it.
#[rstest]
#[case::must_not_run_twice("load", FAILED)]
#[case::idempotent("lookup", REJECTED)]
fn request_in_flight_when_the_process_ends_is_not_sent_again(
    #[case] class: &str,
    #[case] expected_answer: &str,
) {
    let engines = [resp_engine(unresponsive_engine), resp_engine(unresponsive_engine)];
    let logs = engines.each_ref().map(|e| e.1.clone());
    // Requests that are open at SIGTERM are answered within the longest client timeout of the settings; the client's own limit
    // is longer.
    let text = without_retry_budget(
        &with_non_idempotent_loads(&config(&[engines[0].0, engines[1].0], "resp", 900)),
        5,
    );
    // Without cancelling, only the end of the process ends an attempt early.
    let text = with_replacement(&text, r#""cancelling":true"#, r#""cancelling":false"#);
    let mut gateway = Gateway::start(&text);
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, class, LOAD, 9_000)).expect("sent");
    wait_for_any_log(&logs, |parts| parts[0] == "want");
    gateway.terminate();
    assert_eq!(answer(&mut client).1, expected_answer);
    drop(client);
    assert!(gateway.child.wait().expect("the process exits").success());
    assert_eq!(total_attempt_count(&logs, LOAD), 1);
}

/// Configuration, port and folder that two processes of one gateway share.
struct SharedState {
    config: String,
    folder: tempfile::TempDir,
    _port: tokio::net::TcpSocket,
}

impl SharedState {
    fn new(engines: &[SocketAddr]) -> Self {
        let port = tokio::net::TcpSocket::new_v4().expect("a socket");
        port.set_reuseport(true).expect("set");
        port.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let at = port.local_addr().expect("bound");
        let text = settings(engines, "resp", LONG_TIMEOUT_MS);
        let listens = format!(r#""listen":"{at}","operator":"127.0.0.1:0""#);
        let config = with_replacement(&text, r#""listen":"127.0.0.1:0""#, &listens);
        Self { config, folder: tempfile::tempdir().expect("a folder"), _port: port }
    }

    fn start(&self) -> Gateway {
        Gateway::start_in(&self.config, self.folder.path())
    }
}

/// Returns the number of sockets of all processes of this machine that listen at an address.
fn listeners(at: SocketAddr) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    let (own, listens) = (format!("0100007F:{:04X}", at.port()), "0A");
    let of = |line: &&str| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        columns.get(1) == Some(&own.as_str()) && columns.get(3) == Some(&listens)
    };
    table.lines().filter(of).count()
}

/// A new process takes over in a hot restart while a request runs. The old process must answer it, and the new one must not
/// send it again.
#[test]
fn request_that_runs_through_a_hot_restart_is_answered_by_the_old_process_and_not_sent_again() {
    let (at, log, released) = withholding_engine();
    let shared = SharedState::new(&[at]);
    let mut old = shared.start();
    let mut client = old.thrift_client();
    client.write_all(&request(1, "load", LOAD, LONG_TIMEOUT_MS)).expect("sent");
    wait_for_log(&log, |l| l.iter().any(|p| p[0] == "want"));
    let new = shared.start();
    assert_eq!(listeners(old.thrift), 2);
    old.terminate();
    assert!((0..1_000_000).any(|_| listeners(old.thrift) == 1), "the old process still listens");
    send_until_used(&new, &log);
    released.store(true, Ordering::SeqCst);
    assert_eq!(answer(&mut client).1, "served");
    drop(client);
    assert!(old.child.wait().expect("the process exits").success());
    assert_eq!(attempt_count(&log, LOAD), 1);
}

/// The process is killed while a request runs. Its client must not receive an answer that invites a retry, and the next
/// process of this gateway must not send the request.
#[test]
fn request_that_runs_when_the_process_is_killed_is_not_sent_by_the_next_process() {
    let (at, log, _released) = withholding_engine();
    let shared = SharedState::new(&[at]);
    let mut old = shared.start();
    let mut client = old.thrift_client();
    client.write_all(&request(1, "load", LOAD, LONG_TIMEOUT_MS)).expect("sent");
    wait_for_log(&log, |l| l.iter().any(|p| p[0] == "want"));
    old.signal("-KILL");
    old.child.wait().expect("the process exits");
    let mut received = Vec::new();
    let _ = client.read_to_end(&mut received);
    assert!(received.is_empty(), "{received:?}");
    send_until_used(&shared.start(), &log);
    assert_eq!(attempt_count(&log, LOAD), 1);
}
