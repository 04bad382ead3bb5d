//! Helpers for requests that must not run more than once: configurations, and engines that answer or withhold their answers.
#![allow(dead_code)]

use crate::stand::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub(crate) const LOAD: &str = "abcdef00000000a1";
pub(crate) const REJECTED: &str = "overloaded";
pub(crate) const FAILED: &str = "internal";
/// A timeout that is longer than any test takes, in milliseconds.
pub(crate) const LONG_TIMEOUT_MS: u32 = 60_000;
/// Latency objective of the classes, in milliseconds. A request that waits for an engine is rejected after a quarter of this time.
pub(crate) const LATENCY_OBJECTIVE_MS: u32 = 4_000;

/// Encodes a named request of a configured class, with an idempotency key.
pub(crate) fn request(seq: i32, class: &str, txn: &str, limit: u32) -> Vec<u8> {
    let limit = limit.to_string();
    let fields = [("verb", class), ("txn", txn), ("limit", limit.as_str()), ("unique", "k1")];
    call(seq, &fields, "insert into s_1.t")
}

pub(crate) fn served(parts: &[String]) -> Option<String> {
    Some(match parts[0].as_str() {
        "want" => reply(&[&parts[1], "served", "pages=1,cost=5,need=8", "a\tb\tc\n"]),
        "busy" => reply(&[&parts[1], "green", "use=util:0.1", ""]),
        _ => String::new(),
    })
}

/// Response of an engine that doesn't answer statements, and answers all other commands.
pub(crate) fn unresponsive_engine(parts: &[String]) -> Option<String> {
    if parts[0] == "want" {
        Some(String::new())
    } else {
        served(parts)
    }
}

/// Returns the number of attempts of a request that arrived at an engine, over either protocol.
pub(crate) fn attempt_count(log: &Log, txn: &str) -> usize {
    let is_attempt = |parts: &&Vec<String>| match parts[0].as_str() {
        "want" => parts[1] == txn,
        target => target.contains(&format!("query_id={txn}")),
    };
    log.lock().expect("log").iter().filter(is_attempt).count()
}

pub(crate) fn total_attempt_count(logs: &[Log], txn: &str) -> usize {
    logs.iter().map(|log| attempt_count(log, txn)).sum()
}

/// Returns a configuration in which requests of the class `load` may run at most once, there is no retry budget, and the latency
/// objective of both classes is `objective`, in milliseconds.
pub(crate) fn settings(engines: &[SocketAddr], engine_protocol: &str, objective: u32) -> String {
    let text = without_retry_budget(
        &with_non_idempotent_loads(&config(engines, engine_protocol, LONG_TIMEOUT_MS)),
        5,
    );
    let objective = format!(r#""on_time":{objective}"#);
    with_replacement(&with_replacement(&text, r#""on_time":900"#, &objective), r#""on_time":500"#, &objective)
}

pub(crate) fn wait_for_any_log(logs: &[Log], matches: impl Fn(&[String]) -> bool) {
    for _ in 0..30_000 {
        if logs.iter().any(|log| log.lock().expect("log").iter().any(|parts| matches(parts))) {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("no log ever matched: {logs:?}");
}

/// Starts an engine that withholds the answer to the request [`LOAD`] until the returned flag is set, and answers all other
/// commands immediately.
pub(crate) fn withholding_engine() -> (SocketAddr, Log, Arc<AtomicBool>) {
    let released = Arc::new(AtomicBool::new(false));
    let is_released = released.clone();
    let (at, log) = resp_engine(move |parts| {
        while parts[0] == "want" && parts[1] == LOAD && !is_released.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        served(parts)
    });
    (at, log, released)
}

/// Sends lookups to a gateway until one of them arrives at the given engine.
pub(crate) fn send_until_used(gateway: &Gateway, log: &Log) {
    let mut client = gateway.thrift_client();
    for seq in 1..=100_000 {
        let txn = format!("{seq:016x}");
        client.write_all(&request(seq, "lookup", &txn, 1_000)).expect("sent");
        answer(&mut client);
        if attempt_count(log, &txn) > 0 {
            return;
        }
    }
    panic!("no lookup arrived at the engine");
}
