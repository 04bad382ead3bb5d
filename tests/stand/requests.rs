//! Requests of the two classes of the configuration, and their outcomes.

use super::{answer, call, reply, Gateway, Log};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;

/// Response of a platform engine that executes every statement and passes every health check.
pub(crate) fn served(parts: &[String]) -> Option<String> {
    Some(match parts[0].as_str() {
        "want" => reply(&[&parts[1], "served", "pages=1,cost=5,need=8", "a\tb\tc\n"]),
        "busy" => reply(&[&parts[1], "green", "use=util:0.1", ""]),
        _ => String::new(),
    })
}

/// Returns the name of the request with the given number.
pub(crate) fn name(n: usize) -> String {
    format!("{n:016x}")
}

/// Encodes a request of the idempotent class `lookup`.
pub(crate) fn lookup(seq: i32, n: usize) -> Vec<u8> {
    call(seq, &[("verb", "lookup"), ("txn", &name(n)), ("limit", "20000")], "select 1")
}

/// Encodes a request of the class `load`, with an idempotency key.
pub(crate) fn load(seq: i32, n: usize, key: &str) -> Vec<u8> {
    let fields = [("verb", "load"), ("txn", &name(n)), ("limit", "20000"), ("unique", key)];
    call(seq, &fields, "insert into s_1.t")
}

/// Encodes a request of the idempotent class `lookup` with the given name and client timeout, in milliseconds.
pub(crate) fn lookup_within(txn: &str, limit: u32) -> Vec<u8> {
    call(1, &[("verb", "lookup"), ("txn", txn), ("limit", &limit.to_string())], "select 1")
}

/// Returns the number of attempts of the named request that arrived at the engine.
pub(crate) fn attempts_of(log: &Log, txn: &str) -> usize {
    log.lock().expect("log").iter().filter(|p| p[0] == "want" && p[1] == txn).count()
}

/// Returns the number of attempts that arrived at the engine, by request.
pub(crate) fn attempts(log: &Log) -> BTreeMap<String, usize> {
    let mut attempts = BTreeMap::new();
    for parts in log.lock().expect("log").iter().filter(|parts| parts[0] == "want") {
        *attempts.entry(parts[1].clone()).or_default() += 1;
    }
    attempts
}

/// Sends one request on a connection and asserts that it is served.
pub(crate) fn assert_served(mut client: TcpStream, n: usize) {
    client.write_all(&lookup(1, n)).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
}

/// Terminates the process with SIGTERM and asserts that it exits with code 0.
pub(crate) fn terminate_and_expect_success(gateway: &mut Gateway) {
    gateway.terminate();
    assert!(gateway.child.wait().expect("the process exits").success());
}
