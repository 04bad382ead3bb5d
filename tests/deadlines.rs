//! The deadline that is passed to an engine is at most the time that remains until the client's own deadline.

mod stand;

use rstest::rstest;
use stand::faults::Faults;
use stand::requests::*;
use stand::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time for which the client waits for its answer, in milliseconds.
const CLIENT_TIMEOUT_MS: u64 = 8_000;
/// Time by which the passed deadline may exceed the remaining time.
const TOLERANCE: Duration = Duration::from_millis(150);

/// Returns the time budget that a request in the platform's protocol passes to its engine.
fn passed_deadline(parts: &[String]) -> Option<Duration> {
    let budget = parts.get(2)?.split(',').find_map(|field| field.strip_prefix("budget="))?;
    budget.parse().ok().map(Duration::from_millis)
}

/// Arrival of an attempt at its engine.
#[derive(Clone, Copy)]
struct Arrival {
    received_at: Instant,
    /// Time budget that was passed to the engine.
    deadline: Duration,
}

impl Arrival {
    fn now(parts: &[String]) -> Self {
        Self { received_at: Instant::now(), deadline: passed_deadline(parts).expect("a budget") }
    }

    /// Returns the part of the client's time that remained on arrival.
    fn remaining(self, sent: Instant) -> Duration {
        Duration::from_millis(CLIENT_TIMEOUT_MS).saturating_sub(self.received_at - sent)
    }
}

/// Checks that the passed deadline is at most the remaining part of the client's time, within the tolerance.
fn assert_within_remaining_time(sent: Instant, arrival: Arrival) {
    let (deadline, remaining) = (arrival.deadline, arrival.remaining(sent));
    assert!(
        deadline <= remaining + TOLERANCE,
        "a deadline of {deadline:?} was passed with {remaining:?} remaining"
    );
}

/// Starts an engine that serves every request and records the last arrival.
fn recording_engine() -> (SocketAddr, Arc<Mutex<Option<Arrival>>>) {
    let arrived = Arc::new(Mutex::new(None));
    let recorder = arrived.clone();
    let (address, _) = resp_engine(move |parts| {
        if parts[0] == "want" {
            *recorder.lock().expect("seen") = Some(Arrival::now(parts));
        }
        served(parts)
    });
    (address, arrived)
}

/// The connection to the engine is established 1 s after the request was queued for it; the passed deadline must exclude that wait.
#[rstest]
#[case::first_on_its_connection(1)]
#[case::queued_behind_others(3)]
fn deadline_excludes_the_wait_for_the_engine_connection(#[case] requests: usize) {
    let (listener, filling) = full_listener();
    let address = listener.local_addr().expect("bound");
    let text = with_replacement(
        &with_long_latency_objectives(&config(&[address], "resp", 60_000)),
        r#""connect_timeout":250"#,
        r#""connect_timeout":6000"#,
    );
    let gateway = Gateway::start(&text);
    let mut client = gateway.thrift_client();
    let sent = Instant::now();
    for n in 1..=requests {
        let fields = [("verb", "lookup"), ("txn", &*name(n)), ("limit", &*CLIENT_TIMEOUT_MS.to_string())];
        client.write_all(&call(n as i32, &fields, "select 1")).expect("sent");
    }
    wait_until_connecting(address);
    let arrived = Arc::new(Mutex::new(Vec::new()));
    let recorder = arrived.clone();
    drop(filling);
    let _log = resp_engine_at(listener, move |parts| {
        if parts[0] == "want" {
            recorder.lock().expect("seen").push(Arrival::now(parts));
        }
        served(parts)
    });
    for _ in 0..requests {
        assert_eq!(answer(&mut client).1, "served");
    }
    for arrival in arrived.lock().expect("seen").iter() {
        assert_within_remaining_time(sent, *arrival);
    }
}

/// The deadline of a request that arrived while the process was paused counts from its arrival, not from the resumption.
#[rstest]
#[case::on_an_idle_connection(true)]
#[case::on_a_new_connection(false)]
fn deadline_counts_from_the_arrival_of_the_request_and_not_from_its_read(#[case] uses_idle_connection: bool) {
    const PAUSE: Duration = Duration::from_millis(600);
    let (address, arrived) = recording_engine();
    let gateway = Gateway::start(&with_long_latency_objectives(&config(&[address], "resp", 60_000)));
    let mut idle_client = uses_idle_connection.then(|| gateway.thrift_client());
    if let Some(client) = &mut idle_client {
        client.write_all(&health(1)).expect("sent");
        assert_eq!(answer(client).0, 1);
    }
    gateway.stop();
    let mut client = idle_client.unwrap_or_else(|| gateway.thrift_client());
    let seq = if uses_idle_connection { 2 } else { 1 };
    let fields = [("verb", "lookup"), ("txn", &*name(1)), ("limit", &*CLIENT_TIMEOUT_MS.to_string())];
    let sent = Instant::now();
    client.write_all(&call(seq, &fields, "select 1")).expect("sent");
    std::thread::sleep(PAUSE);
    gateway.resume();
    assert_eq!(answer(&mut client).1, "served");
    let arrival = arrived.lock().expect("seen").expect("an arrival");
    assert_within_remaining_time(sent, arrival);
}

/// At the connection limit a new client waits until another one disconnects; its request stays unread meanwhile.
#[test]
fn deadline_counts_from_the_arrival_of_the_request_at_the_connection_limit() {
    const WAIT: Duration = Duration::from_millis(600);
    // 24 of the 64 descriptors are reserved, and clients may use three fifths of the others.
    const CAPACITY: usize = 24;
    let arrived = Arc::new(Mutex::new(None));
    let recorder = arrived.clone();
    let last = name(CAPACITY + 1);
    let served_name = last.clone();
    let (address, log) = resp_engine(move |parts| {
        if parts[0] == "want" && parts[1] != served_name {
            return Some(String::new());
        }
        if parts[0] == "want" {
            *recorder.lock().expect("seen") = Some(Arrival::now(parts));
        }
        served(parts)
    });
    let text = with_replacement(
        &with_long_latency_objectives(&config(&[address], "resp", 60_000)),
        r#""sockets":256"#,
        r#""sockets":64"#,
    );
    let text = with_replacement(&text, r#""cpu_of_kind":[8]"#, r#""cpu_of_kind":[64]"#);
    let gateway = Gateway::start(&text);
    let mut held_clients: Vec<_> = (1..=CAPACITY).map(|_| gateway.thrift_client()).collect();
    for (n, client) in held_clients.iter_mut().enumerate() {
        client.write_all(&lookup(1, n + 1)).expect("sent");
    }
    wait_for_log(&log, |log| log.iter().filter(|parts| parts[0] == "want").count() == CAPACITY);
    let mut client = gateway.thrift_client();
    let fields = [("verb", "lookup"), ("txn", last.as_str()), ("limit", &*CLIENT_TIMEOUT_MS.to_string())];
    let sent = Instant::now();
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    std::thread::sleep(WAIT);
    held_clients.pop();
    assert_eq!(answer(&mut client).1, "served");
    let arrival = arrived.lock().expect("seen").expect("an arrival");
    assert_within_remaining_time(sent, arrival);
}

/// A client connects long before it sends its request: the idle time before it must not shorten the passed deadline.
#[test]
fn idle_time_before_a_request_does_not_shorten_its_deadline() {
    const IDLE: Duration = Duration::from_millis(1_200);
    let (address, arrived) = recording_engine();
    let gateway = Gateway::start(&with_long_latency_objectives(&config(&[address], "resp", 60_000)));
    let mut client = gateway.thrift_client();
    std::thread::sleep(IDLE);
    let fields = [("verb", "lookup"), ("txn", &*name(1)), ("limit", &*CLIENT_TIMEOUT_MS.to_string())];
    let sent = Instant::now();
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    let arrival = arrived.lock().expect("seen").expect("an arrival");
    let (deadline, remaining) = (arrival.deadline, arrival.remaining(sent));
    assert!(
        deadline + TOLERANCE >= remaining,
        "a deadline of {deadline:?} was passed with {remaining:?} remaining"
    );
}

/// Three faults at once: the process is paused, a client connects meanwhile, and after the pause `accept` fails for 120 ms.
#[test]
fn deadline_counts_from_the_arrival_in_a_pause_though_accept_fails_after_it() {
    const PAUSE: Duration = Duration::from_millis(600);
    const FAILING: Duration = Duration::from_millis(120);
    let (address, arrived) = recording_engine();
    let faults = Faults::new("accept=1");
    let config = with_long_latency_objectives(&config(&[address], "resp", 60_000));
    let gateway = Gateway::start_with_faults(&config, &faults);
    gateway.stop();
    faults.begin();
    let mut client = gateway.thrift_client();
    let fields = [("verb", "lookup"), ("txn", &*name(1)), ("limit", &*CLIENT_TIMEOUT_MS.to_string())];
    let sent = Instant::now();
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    std::thread::sleep(PAUSE);
    gateway.resume();
    faults.wait_for_fault("accept");
    std::thread::sleep(FAILING);
    faults.end();
    assert_eq!(answer(&mut client).1, "served");
    let arrival = arrived.lock().expect("seen").expect("an arrival");
    assert_within_remaining_time(sent, arrival);
}

/// A message that is longer than one read from a socket. The wait of its connection to be accepted used to count for the first part
/// alone.
#[rstest]
#[case::thrift(false)]
#[case::http(true)]
fn deadline_counts_from_the_arrival_of_a_message_that_is_read_in_parts(#[case] over_http: bool) {
    const PAUSE: Duration = Duration::from_millis(600);
    const FAILING: Duration = Duration::from_millis(120);
    const STATEMENT_BYTES: usize = 60_000;
    let (address, arrived) = recording_engine();
    let faults = Faults::new("accept=1");
    let config = with_long_latency_objectives(&config(&[address], "resp", 60_000));
    let gateway = Gateway::start_with_faults(&config, &faults);
    gateway.stop();
    faults.begin();
    let statement = format!("select 1 -- {}", "x".repeat(STATEMENT_BYTES));
    let message = if over_http {
        let target = format!("/?max_execution_time={}", CLIENT_TIMEOUT_MS / 1_000);
        format!("POST {target} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{statement}", statement.len()).into()
    } else {
        let fields = [("verb", "lookup"), ("txn", &*name(1)), ("limit", &*CLIENT_TIMEOUT_MS.to_string())];
        call(1, &fields, &statement)
    };
    let mut client = if over_http { gateway.http_client() } else { gateway.thrift_client() };
    let sent = Instant::now();
    client.write_all(&message).expect("sent");
    std::thread::sleep(PAUSE);
    gateway.resume();
    faults.wait_for_fault("accept");
    std::thread::sleep(FAILING);
    faults.end();
    wait_until(|| arrived.lock().expect("seen").is_some());
    let arrival = arrived.lock().expect("seen").expect("an arrival");
    assert_within_remaining_time(sent, arrival);
}

/// Over HTTP the deadline is passed in seconds; rounding must not raise it above the client's limit by more than the tolerance.
#[rstest]
#[case::between_two_seconds("1.3")]
#[case::under_a_second("0.4")]
#[case::whole("2")]
fn http_deadline_is_not_rounded_up_past_the_remaining_time(#[case] limit: &str) {
    let (address, log) = http_engine(|_, _| Some(encode_http("200 OK", "", "a\tb\tc\n")));
    let gateway = Gateway::start(&with_long_latency_objectives(&config(&[address], "clickhouse", 60_000)));
    let head = format!("POST /?max_execution_time={limit} HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1");
    let (status, _) = http_request(&mut gateway.http_client(), &head);
    assert!(status.starts_with("HTTP/1.1 200"), "{status}");
    let log = log.lock().expect("log");
    let target = &log.iter().find(|line| line[0].contains("query_id")).expect("sent")[0];
    let (_, rest) = target.split_once("max_execution_time=").expect("passed");
    let passed: f64 = rest.split('&').next().and_then(|t| t.parse().ok()).expect("a number");
    let limit: f64 = limit.parse().expect("a number");
    assert!(passed > 0.0 && passed <= limit + TOLERANCE.as_secs_f64(), "{passed} s of {limit} s");
}
