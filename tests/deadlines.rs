//! The deadline that is passed to an engine is at most the time that the client has left.

mod stand;

use rstest::rstest;
use stand::faults::Faults;
use stand::requests::*;
use stand::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long the client waits, in milliseconds.
const LIMIT: u64 = 8_000;
/// By how much the passed deadline may exceed the time that is left.
const SLACK: Duration = Duration::from_millis(150);

/// The deadline that a request on the platform's wire passes to its engine.
fn passed_deadline(parts: &[String]) -> Option<Duration> {
    let budget = parts.get(2)?.split(',').find_map(|field| field.strip_prefix("budget="))?;
    budget.parse().ok().map(Duration::from_millis)
}

/// The arrival of a request at its engine.
#[derive(Clone, Copy)]
struct Arrival {
    at: Instant,
    /// The time that the engine was given.
    deadline: Duration,
}

impl Arrival {
    fn now(parts: &[String]) -> Self {
        Self { at: Instant::now(), deadline: passed_deadline(parts).expect("a budget") }
    }

    /// Returns what was left of the client's time.
    fn left(self, sent: Instant) -> Duration {
        Duration::from_millis(LIMIT).saturating_sub(self.at - sent)
    }
}

/// Checks that the passed deadline is at most what was left of the client's time.
fn assert_not_over(sent: Instant, arrival: Arrival) {
    let (deadline, left) = (arrival.deadline, arrival.left(sent));
    assert!(deadline <= left + SLACK, "{deadline:?} was told, {left:?} were left");
}

/// An engine that serves everything and records the last arrival.
fn recording_engine() -> (SocketAddr, Arc<Mutex<Option<Arrival>>>) {
    let arrived = Arc::new(Mutex::new(None));
    let seen = arrived.clone();
    let (at, _) = resp_engine(move |parts| {
        if parts[0] == "want" {
            *seen.lock().expect("seen") = Some(Arrival::now(parts));
        }
        served(parts)
    });
    (at, arrived)
}

/// The connection is established a second after the request was queued for it.
#[rstest]
#[case::first_on_its_connection(1)]
#[case::behind_others(3)]
fn deadline_counts_from_when_the_request_leaves(#[case] requests: usize) {
    let (listener, filling) = full_listener();
    let at = listener.local_addr().expect("bound");
    let text = changed(
        &never_late(&config(&[at], "resp", 60_000)),
        r#""connect_timeout":250"#,
        r#""connect_timeout":6000"#,
    );
    let gateway = Gateway::start(&text);
    let mut client = gateway.client();
    let sent = Instant::now();
    for n in 1..=requests {
        let fields = [("verb", "lookup"), ("txn", &*name(n)), ("limit", &*LIMIT.to_string())];
        client.write_all(&call(n as i32, &fields, "select 1")).expect("sent");
    }
    until_coming_up(at);
    let arrived = Arc::new(Mutex::new(Vec::new()));
    let seen = arrived.clone();
    drop(filling);
    let _log = resp_engine_at(listener, move |parts| {
        if parts[0] == "want" {
            seen.lock().expect("seen").push(Arrival::now(parts));
        }
        served(parts)
    });
    for _ in 0..requests {
        assert_eq!(answer(&mut client).1, "served");
    }
    for arrival in arrived.lock().expect("seen").iter() {
        assert_not_over(sent, *arrival);
    }
}

/// A request that arrived while the process was paused counts from its arrival.
#[rstest]
#[case::on_a_connection_that_rests(true)]
#[case::on_a_new_connection(false)]
fn deadline_counts_from_when_the_request_arrived_and_not_from_when_it_was_read(#[case] rests: bool) {
    const PAUSE: Duration = Duration::from_millis(600);
    let (at, arrived) = recording_engine();
    let gateway = Gateway::start(&never_late(&config(&[at], "resp", 60_000)));
    let mut resting = rests.then(|| gateway.client());
    if let Some(client) = &mut resting {
        client.write_all(&health(1)).expect("sent");
        assert_eq!(answer(client).0, 1);
    }
    gateway.stop();
    let mut client = resting.unwrap_or_else(|| gateway.client());
    let seq = if rests { 2 } else { 1 };
    let fields = [("verb", "lookup"), ("txn", &*name(1)), ("limit", &*LIMIT.to_string())];
    let sent = Instant::now();
    client.write_all(&call(seq, &fields, "select 1")).expect("sent");
    std::thread::sleep(PAUSE);
    gateway.resume();
    assert_eq!(answer(&mut client).1, "served");
    let arrival = arrived.lock().expect("seen").expect("it arrived");
    assert_not_over(sent, arrival);
}

/// A new client waits until there is capacity for its connection; its request is unread meanwhile.
#[test]
fn deadline_counts_from_when_the_request_arrived_though_there_was_no_room() {
    const WAIT: Duration = Duration::from_millis(600);
    // Of 64 descriptors 24 are reserved, and clients have three fifths of the rest.
    const CAPACITY: usize = 24;
    let arrived = Arc::new(Mutex::new(None));
    let seen = arrived.clone();
    let last = name(CAPACITY + 1);
    let awaited = last.clone();
    let (at, log) = resp_engine(move |parts| {
        if parts[0] == "want" && parts[1] != awaited {
            return Some(String::new());
        }
        if parts[0] == "want" {
            *seen.lock().expect("seen") = Some(Arrival::now(parts));
        }
        served(parts)
    });
    let text = changed(&never_late(&config(&[at], "resp", 60_000)), r#""sockets":256"#, r#""sockets":64"#);
    let text = changed(&text, r#""cpu_of_kind":[8]"#, r#""cpu_of_kind":[64]"#);
    let gateway = Gateway::start(&text);
    let mut crowd: Vec<_> = (1..=CAPACITY).map(|_| gateway.client()).collect();
    for (n, client) in crowd.iter_mut().enumerate() {
        client.write_all(&lookup(1, n + 1)).expect("sent");
    }
    until(&log, |log| log.iter().filter(|parts| parts[0] == "want").count() == CAPACITY);
    let mut client = gateway.client();
    let fields = [("verb", "lookup"), ("txn", last.as_str()), ("limit", &*LIMIT.to_string())];
    let sent = Instant::now();
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    std::thread::sleep(WAIT);
    crowd.pop();
    assert_eq!(answer(&mut client).1, "served");
    let arrival = arrived.lock().expect("seen").expect("it arrived");
    assert_not_over(sent, arrival);
}

/// A client connects long before it sends: its request has not waited.
#[test]
fn deadline_counts_from_when_the_request_arrived_and_not_from_when_its_connection_was_made() {
    const IDLE: Duration = Duration::from_millis(1_200);
    let (at, arrived) = recording_engine();
    let gateway = Gateway::start(&never_late(&config(&[at], "resp", 60_000)));
    let mut client = gateway.client();
    std::thread::sleep(IDLE);
    let fields = [("verb", "lookup"), ("txn", &*name(1)), ("limit", &*LIMIT.to_string())];
    let sent = Instant::now();
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    let arrival = arrived.lock().expect("seen").expect("it arrived");
    let (deadline, left) = (arrival.deadline, arrival.left(sent));
    assert!(deadline + SLACK >= left, "{deadline:?} was told, {left:?} were left");
}

/// Three faults at once: the process is paused, a client connects meanwhile, and after the pause `accept` fails for a while.
#[test]
fn deadline_counts_from_the_pause_though_the_connection_is_accepted_long_after_it() {
    const PAUSE: Duration = Duration::from_millis(600);
    const FAILING: Duration = Duration::from_millis(120);
    let (at, arrived) = recording_engine();
    let faults = Faults::new("accept=1");
    let config = never_late(&config(&[at], "resp", 60_000));
    let gateway = Gateway::start_with_faults(&config, &faults);
    gateway.stop();
    faults.begin();
    let mut client = gateway.client();
    let fields = [("verb", "lookup"), ("txn", &*name(1)), ("limit", &*LIMIT.to_string())];
    let sent = Instant::now();
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    std::thread::sleep(PAUSE);
    gateway.resume();
    faults.until_happened("accept");
    std::thread::sleep(FAILING);
    faults.end();
    assert_eq!(answer(&mut client).1, "served");
    let arrival = arrived.lock().expect("seen").expect("it arrived");
    assert_not_over(sent, arrival);
}

/// Over HTTP the deadline is passed in seconds, and not rounded up past the slack.
#[rstest]
#[case::between_two_seconds("1.3")]
#[case::under_a_second("0.4")]
#[case::whole("2")]
fn deadline_over_http_is_not_rounded_up_past_what_is_left(#[case] limit: &str) {
    let (at, log) = http_engine(|_, _| Some(web_answer("200 OK", "", "a\tb\tc\n")));
    let gateway = Gateway::start(&never_late(&config(&[at], "clickhouse", 60_000)));
    let head = format!("POST /?max_execution_time={limit} HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1");
    let (status, _) = ask(&mut gateway.web(), &head);
    assert!(status.starts_with("HTTP/1.1 200"), "{status}");
    let log = log.lock().expect("log");
    let target = &log.iter().find(|line| line[0].contains("query_id")).expect("sent")[0];
    let (_, rest) = target.split_once("max_execution_time=").expect("passed");
    let passed: f64 = rest.split('&').next().and_then(|t| t.parse().ok()).expect("a number");
    let limit: f64 = limit.parse().expect("a number");
    assert!(passed > 0.0 && passed <= limit + SLACK.as_secs_f64(), "{passed} s of {limit} s");
}
