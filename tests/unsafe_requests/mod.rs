//! Requests that must not run twice: their settings, and engines that answer them or hold them back.
#![allow(dead_code)]

use crate::stand::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub(crate) const LOAD: &str = "abcdef00000000a1";
pub(crate) const TURNED_AWAY: &str = "overloaded";
pub(crate) const FAILED: &str = "internal";
/// Longer than any test takes.
pub(crate) const LONG: u32 = 60_000;
/// A request that waits for an engine is turned away after a quarter of this.
pub(crate) const AIM: u32 = 4_000;

/// A request of a class of the settings, under its name.
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

/// Says nothing to a request, and answers all else.
pub(crate) fn silent(parts: &[String]) -> Option<String> {
    if parts[0] == "want" {
        Some(String::new())
    } else {
        served(parts)
    }
}

/// How often a request arrived at an engine, over either interface.
pub(crate) fn runs(log: &Log, txn: &str) -> usize {
    let of = |parts: &&Vec<String>| match parts[0].as_str() {
        "want" => parts[1] == txn,
        target => target.contains(&format!("query_id={txn}")),
    };
    log.lock().expect("log").iter().filter(of).count()
}

pub(crate) fn all_runs(logs: &[Log], txn: &str) -> usize {
    logs.iter().map(|log| runs(log, txn)).sum()
}

/// Settings in which `load` must not run twice, no retry budget binds, and requests are late after that time.
pub(crate) fn settings(engines: &[SocketAddr], wire: &str, aim: u32) -> String {
    let text = without_retry_budget(&at_most_once(&config(engines, wire, LONG)), 5);
    let aim = format!(r#""on_time":{aim}"#);
    changed(&changed(&text, r#""on_time":900"#, &aim), r#""on_time":500"#, &aim)
}

pub(crate) fn until_either(logs: &[Log], found: impl Fn(&[String]) -> bool) {
    for _ in 0..30_000 {
        if logs.iter().any(|log| log.lock().expect("log").iter().any(|parts| found(parts))) {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("never came: {logs:?}");
}

/// An engine that holds the request back until it is released, and serves all others.
pub(crate) fn holding() -> (SocketAddr, Log, Arc<AtomicBool>) {
    let released = Arc::new(AtomicBool::new(false));
    let goes_on = released.clone();
    let (at, log) = resp_engine(move |parts| {
        while parts[0] == "want" && parts[1] == LOAD && !goes_on.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        served(parts)
    });
    (at, log, released)
}

/// Asks for lookups until one of them runs at that engine.
pub(crate) fn until_used(gateway: &Gateway, log: &Log) {
    let mut client = gateway.client();
    for seq in 1..=100_000 {
        let txn = format!("{seq:016x}");
        client.write_all(&request(seq, "lookup", &txn, 1_000)).expect("sent");
        answer(&mut client);
        if runs(log, &txn) > 0 {
            return;
        }
    }
    panic!("the engine is never used");
}
