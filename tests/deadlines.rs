//! The deadline that is told to an engine is at most what the client has left.

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
/// What the deadline told may lie over what is left.
const SLACK: Duration = Duration::from_millis(150);

/// The budget of a request of the platform, or of one over HTTP, whose deadline is told in whole seconds.
fn told(parts: &[String]) -> Option<Duration> {
    let budget = parts.get(2)?.split(',').find_map(|field| field.strip_prefix("budget="))?;
    budget.parse().ok().map(Duration::from_millis)
}

/// When a request arrived at its engine, and what that was told.
type Arrival = (Instant, Duration);

/// What was told is at most what was left of the client's time.
fn assert_not_over(sent: Instant, (at, told): Arrival) {
    let left = Duration::from_millis(LIMIT).saturating_sub(at - sent);
    assert!(told <= left + SLACK, "{told:?} was told, {left:?} were left");
}

/// An engine that serves everything and notes the last arrival.
fn engine_that_notes() -> (SocketAddr, Arc<Mutex<Option<Arrival>>>) {
    let arrived = Arc::new(Mutex::new(None));
    let seen = arrived.clone();
    let (at, _) = resp_engine(move |parts| {
        if parts[0] == "want" {
            *seen.lock().expect("seen") = Some((Instant::now(), told(parts).expect("a budget")));
        }
        served(parts)
    });
    (at, arrived)
}

/// The connection comes up a second after the request was handed to it.
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
            seen.lock().expect("seen").push((Instant::now(), told(parts).expect("a budget")));
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

/// What arrived while the process stood still is as old as that.
#[rstest]
#[case::on_a_connection_that_rests(true)]
#[case::on_a_new_connection(false)]
fn deadline_counts_from_when_the_request_arrived_and_not_from_when_it_was_read(#[case] rests: bool) {
    const PAUSE: Duration = Duration::from_millis(600);
    let (at, arrived) = engine_that_notes();
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

/// A new client waits until there is room for its connection; its request lies there meanwhile.
#[test]
fn deadline_counts_from_when_the_request_arrived_though_there_was_no_room() {
    const WAIT: Duration = Duration::from_millis(600);
    // Of 64 descriptors 24 are kept back, and clients have three fifths of the rest.
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
            *seen.lock().expect("seen") = Some((Instant::now(), told(parts).expect("a budget")));
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
    until(&log, |log| log.iter().filter(|p| p[0] == "want").count() == CAPACITY);
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

/// A client connects long before it asks: its request has not waited.
#[test]
fn deadline_counts_from_when_the_request_arrived_and_not_from_when_its_connection_was_made() {
    const RESTS: Duration = Duration::from_millis(1_200);
    let (at, arrived) = engine_that_notes();
    let gateway = Gateway::start(&never_late(&config(&[at], "resp", 60_000)));
    let mut client = gateway.client();
    std::thread::sleep(RESTS);
    let fields = [("verb", "lookup"), ("txn", &*name(1)), ("limit", &*LIMIT.to_string())];
    let sent = Instant::now();
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    let (at, told) = arrived.lock().expect("seen").expect("it arrived");
    let left = Duration::from_millis(LIMIT).saturating_sub(at - sent);
    assert!(told + SLACK >= left, "{told:?} was told, {left:?} were left");
}

/// Three at once: the process stands still, a connection comes, and as it goes on `accept` fails for a while.
#[test]
fn deadline_counts_from_the_pause_though_the_connection_is_accepted_long_after_it() {
    const PAUSE: Duration = Duration::from_millis(600);
    const FAILING: Duration = Duration::from_millis(120);
    let (at, arrived) = engine_that_notes();
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

/// Over HTTP the time is told in seconds, and not rounded up past the slack.
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
    let target = &log.iter().find(|l| l[0].contains("query_id")).expect("sent")[0];
    let (_, rest) = target.split_once("max_execution_time=").expect("told");
    let told: f64 = rest.split('&').next().and_then(|t| t.parse().ok()).expect("a number");
    let limit: f64 = limit.parse().expect("a number");
    assert!(told > 0.0 && told <= limit + SLACK.as_secs_f64(), "{told} s of {limit} s");
}
