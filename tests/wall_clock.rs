//! Steps of the wall clock: spans of real time keep their length.

mod stand;

use rstest::rstest;
use stand::faults::Faults;
use stand::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// No request has ended yet, so that each counts as its class's full latency objective of work, in milliseconds.
const WORK_MS: f64 = 20_000.0;
/// What the settings allow an engine of 32 cores in slow start: multiple x share x cores x span over the work of a request.
const BUDGET: f64 = 3.0 * 0.31 * 32.0 * 2_000.0 / WORK_MS;
/// The span over which the budget is counted.
const SPAN: Duration = Duration::from_millis(2_000);
/// Client connections, and requests on each.
const CLIENTS: usize = 4;
const REQUESTS: usize = 24;

fn with_slow_start(config: &str, names: SocketAddr) -> String {
    let rules =
        r#""answer_slack":20,"cold_from":0.31,"warm_within":15000,"fall_multiple":3,"tip_after":2000"#;
    let config = changed(config, r#""answer_slack":20"#, rules);
    let config = changed(&config, r#""on_time":500"#, r#""on_time":20000"#);
    let config = changed(&config, r#""cpu_of_kind":[8]"#, r#""cpu_of_kind":[32]"#);
    changed(&config, r#""seed":"7""#, &format!(r#""seed":"7","names":"{names}""#))
}

/// A list service whose list, with starts, can be changed.
type Listing = Arc<Mutex<(u32, Vec<(&'static str, SocketAddr, bool, u64)>)>>;

fn list_service_with_starts(first: Vec<(&'static str, SocketAddr, bool, u64)>) -> (SocketAddr, Listing, Log) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let at = socket.local_addr().expect("bound");
    let (listing, log) = (Arc::new(Mutex::new((1, first))), Log::default());
    let (current, seen) = (listing.clone(), log.clone());
    std::thread::spawn(move || {
        let mut bytes = [0; 512];
        while let Ok((len, from)) = socket.recv_from(&mut bytes) {
            let (serial, list) = current.lock().expect("listing").clone();
            let _ = socket.send_to(&names_answer_with_starts(&bytes[..len], serial, &list), from);
            seen.lock().expect("log").push(vec![serial.to_string()]);
        }
    });
    (at, listing, log)
}

/// An engine that answers no request: its address, and when it received each.
fn holding_engine() -> (SocketAddr, Arc<Mutex<Vec<Instant>>>) {
    let received = Arc::new(Mutex::new(Vec::new()));
    let times = received.clone();
    let (at, _) = resp_engine(move |parts| {
        Some(match parts[0].as_str() {
            "want" => {
                times.lock().expect("times").push(Instant::now());
                String::new()
            }
            "busy" => reply(&[&parts[1], "green", "use=util:0.1", ""]),
            _ => String::new(),
        })
    });
    (at, received)
}

/// The most requests that were received within any span.
fn most_within_a_span(times: &[Instant]) -> usize {
    let count_from =
        |first: usize| times[first..].iter().take_while(|time| **time - times[first] <= SPAN).count();
    (0..times.len()).map(count_from).max().unwrap_or(0)
}

/// Sends all requests at once. Returns the running count of answers.
fn send_all(gateway: &Gateway) -> Arc<AtomicUsize> {
    let answered = Arc::new(AtomicUsize::new(0));
    for client_number in 0..CLIENTS {
        let mut client = gateway.client();
        for seq in 1..=REQUESTS {
            let txn = format!("{:016x}", client_number * REQUESTS + seq);
            let fields = [("verb", "lookup"), ("txn", txn.as_str()), ("limit", "20000")];
            client.write_all(&call(seq as i32, &fields, "select 1")).expect("sent");
        }
        let answered = answered.clone();
        std::thread::spawn(move || {
            // A frame counts once all of it was read; the end of the test ends the connection.
            let mut len = [0; 4];
            while client.read_exact(&mut len).is_ok() {
                let mut frame = vec![0; u32::from_be_bytes(len) as usize];
                client.read_exact(&mut frame).expect("all of it");
                answered.fetch_add(1, Ordering::SeqCst);
            }
        });
    }
    answered
}

#[rstest]
#[case::no_step(0)]
#[case::an_hour_back(-3_600_000)]
#[case::an_hour_on(3_600_000)]
#[case::five_seconds_back(-5_000)]
#[case::twenty_seconds_back(-20_000)]
#[case::five_seconds_on(5_000)]
fn engine_that_joins_after_a_step_of_the_wall_clock_is_in_slow_start(#[case] step_ms: i64) {
    let (warm, received_by_warm) = holding_engine();
    let (starting, received_by_starting) = holding_engine();
    let (names, listing, list_log) = list_service_with_starts(vec![("s-0", warm, false, 0)]);
    let faults = Faults::new(&format!("wall_step_ms={step_ms}"));
    let config = with_slow_start(&config(&[warm], "resp", 20_000), names);
    let gateway = Gateway::start_with_faults(&config, &faults);
    until(&list_log, |log| !log.is_empty());
    faults.begin();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as i64;
    let started = (unix + step_ms) as u64;
    *listing.lock().expect("listing") = (2, vec![("s-0", warm, false, 0), ("s-1", starting, false, started)]);
    until(&list_log, |log| log.iter().filter(|line| line[0] == "2").count() >= 2);
    let answered = send_all(&gateway);
    let sent =
        || received_by_warm.lock().expect("times").len() + received_by_starting.lock().expect("times").len();
    until_true(|| sent() + answered.load(Ordering::SeqCst) == CLIENTS * REQUESTS);
    let most = most_within_a_span(&received_by_starting.lock().expect("times"));
    let allowed = BUDGET + 3.0 * BUDGET.sqrt() + 3.0;
    assert!(most as f64 <= allowed, "{most} in a span, {allowed:.1} are allowed");
}
