//! Requests that must not run twice, on loopback, while their engine leaves the list, the gateway reloads its configuration, or
//! its process ends: they are not sent again.

mod stand;
mod unsafe_requests;

use rstest::rstest;
use stand::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use unsafe_requests::*;

/// What the list says of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Leaves {
    Drains,
    IsGone,
}

impl Leaves {
    /// A list in which that engine leaves and another is there.
    fn list(self, old: SocketAddr, new: SocketAddr) -> (u32, Vec<(&'static str, SocketAddr, bool)>) {
        let others = vec![("s-1", new, false)];
        let drained = vec![("s-0", old, true), ("s-1", new, false)];
        (2, if self == Leaves::Drains { drained } else { others })
    }
}

/// A request waits for a connection that is not up when its engine leaves the list: it never left, runs at another engine,
/// and the connection that comes up at last brings nothing.
#[rstest]
#[case::drains(Leaves::Drains)]
#[case::is_gone(Leaves::IsGone)]
fn request_that_waits_for_a_connection_moves_when_its_engine_leaves(#[case] how: Leaves) {
    let (listener, filling) = full_listener();
    let old = listener.local_addr().expect("bound");
    let (new, log) = resp_engine(served);
    let (names, said) = list_service();
    let text = with_replacement(
        &settings(&[old], "resp", LONG_TIMEOUT_MS),
        r#""connect_timeout":250"#,
        &format!(r#""connect_timeout":{LONG_TIMEOUT_MS}"#),
    );
    let gateway = Gateway::start(&text.replacen('{', &format!(r#"{{"names":"{names}","#), 1));
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, "load", LOAD, LONG_TIMEOUT_MS)).expect("sent");
    wait_until_connecting(old);
    *said.lock().expect("said") = Some(how.list(old, new));
    assert_eq!(answer(&mut client).1, "served");
    let late = resp_engine_at(listener, served);
    drop(filling);
    // What filled the queue ends, and so does the gateway's connection: it is up by then, and had nothing to say.
    wait_for_log(&late, |l| l.iter().filter(|p| p[0] == "closed").count() == 2);
    assert_eq!((attempt_count(&log, LOAD), attempt_count(&late, LOAD)), (1, 0));
}

/// A request runs on an engine that leaves the list. One that drains ends what it has; what was out on one that has gone
/// may have run, and fails.
#[rstest]
#[case::drains(Leaves::Drains, "served")]
#[case::is_gone(Leaves::IsGone, FAILED)]
fn request_that_runs_where_its_engine_leaves_is_not_sent_again(#[case] how: Leaves, #[case] ends: &str) {
    let (old, old_log, released) = withholding_engine();
    let (new, new_log) = resp_engine(served);
    let (names, said) = list_service();
    let text = settings(&[old], "resp", LONG_TIMEOUT_MS);
    let gateway = Gateway::start(&text.replacen('{', &format!(r#"{{"names":"{names}","#), 1));
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, "load", LOAD, LONG_TIMEOUT_MS)).expect("sent");
    wait_for_log(&old_log, |l| l.iter().any(|p| p[0] == "want"));
    *said.lock().expect("said") = Some(how.list(old, new));
    send_until_used(&gateway, &new_log);
    released.store(how == Leaves::Drains, Ordering::SeqCst);
    assert_eq!(answer(&mut client).1, ends);
    assert_eq!((attempt_count(&old_log, LOAD), attempt_count(&new_log, LOAD)), (1, 0));
}

/// A new configuration is read while a request runs: it stays where it is.
#[test]
fn request_that_runs_through_a_reload_is_not_sent_again() {
    let (old, old_log, released) = withholding_engine();
    let (new, new_log) = resp_engine(served);
    let (names, said) = list_service();
    let text = settings(&[old], "resp", LONG_TIMEOUT_MS);
    let gateway = Gateway::start(&text);
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, "load", LOAD, LONG_TIMEOUT_MS)).expect("sent");
    wait_for_log(&old_log, |l| l.iter().any(|p| p[0] == "want"));
    *said.lock().expect("said") = Some((2, vec![("s-0", old, false), ("s-1", new, false)]));
    gateway.reload(&text.replacen('{', &format!(r#"{{"names":"{names}","#), 1));
    send_until_used(&gateway, &new_log);
    released.store(true, Ordering::SeqCst);
    assert_eq!(answer(&mut client).1, "served");
    assert_eq!((attempt_count(&old_log, LOAD), attempt_count(&new_log, LOAD)), (1, 0));
}

/// The process is told to end while a request is out that its engine never answers. What may have run fails; what is safe
/// to repeat is refused.
#[rstest]
#[case::must_not_run_twice("load", FAILED)]
#[case::safe("lookup", REJECTED)]
fn request_that_is_out_as_the_process_ends_fails_and_is_not_sent_again(
    #[case] class: &str,
    #[case] ends: &str,
) {
    let engines = [resp_engine(unresponsive_engine), resp_engine(unresponsive_engine)];
    let logs = engines.each_ref().map(|e| e.1.clone());
    // What is open at SIGTERM is answered by the longest deadline; the client waits longer than that.
    let text = without_retry_budget(
        &with_non_idempotent_loads(&config(&[engines[0].0, engines[1].0], "resp", 900)),
        5,
    );
    // Nothing but the end gives an attempt up.
    let text = with_replacement(&text, r#""cancelling":true"#, r#""cancelling":false"#);
    let mut gateway = Gateway::start(&text);
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, class, LOAD, 9_000)).expect("sent");
    wait_for_any_log(&logs, |parts| parts[0] == "want");
    gateway.terminate();
    assert_eq!(answer(&mut client).1, ends);
    drop(client);
    assert!(gateway.child.wait().expect("it ends").success());
    assert_eq!(total_attempt_count(&logs, LOAD), 1);
}

/// Two processes of one gateway, with what they share.
struct Pair {
    config: String,
    folder: tempfile::TempDir,
    _port: tokio::net::TcpSocket,
}

impl Pair {
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

/// Sockets that listen at an address, of all processes of this machine.
fn listeners(at: SocketAddr) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    let (own, listens) = (format!("0100007F:{:04X}", at.port()), "0A");
    let of = |line: &&str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words.get(1) == Some(&own.as_str()) && words.get(3) == Some(&listens)
    };
    table.lines().filter(of).count()
}

/// Another process takes over while a request runs: the old one answers it, and the new one does not send it.
#[test]
fn request_that_runs_through_a_handover_is_answered_by_the_old_process_and_not_sent_again() {
    let (at, log, released) = withholding_engine();
    let pair = Pair::new(&[at]);
    let mut old = pair.start();
    let mut client = old.thrift_client();
    client.write_all(&request(1, "load", LOAD, LONG_TIMEOUT_MS)).expect("sent");
    wait_for_log(&log, |l| l.iter().any(|p| p[0] == "want"));
    let new = pair.start();
    assert_eq!(listeners(old.thrift), 2);
    old.terminate();
    assert!((0..1_000_000).any(|_| listeners(old.thrift) == 1), "the old one has left");
    send_until_used(&new, &log);
    released.store(true, Ordering::SeqCst);
    assert_eq!(answer(&mut client).1, "served");
    drop(client);
    assert!(old.child.wait().expect("it ends").success());
    assert_eq!(attempt_count(&log, LOAD), 1);
}

/// The process is killed while a request runs. Its client hears nothing that invites a retry, and the next process of this
/// gateway does not send it.
#[test]
fn request_that_runs_as_the_process_is_killed_is_not_sent_by_the_next() {
    let (at, log, _released) = withholding_engine();
    let pair = Pair::new(&[at]);
    let mut old = pair.start();
    let mut client = old.thrift_client();
    client.write_all(&request(1, "load", LOAD, LONG_TIMEOUT_MS)).expect("sent");
    wait_for_log(&log, |l| l.iter().any(|p| p[0] == "want"));
    old.signal("-KILL");
    old.child.wait().expect("it ends");
    let mut said = Vec::new();
    let _ = client.read_to_end(&mut said);
    assert!(said.is_empty(), "{said:?}");
    send_until_used(&pair.start(), &log);
    assert_eq!(attempt_count(&log, LOAD), 1);
}
