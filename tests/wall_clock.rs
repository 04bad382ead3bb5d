//! Steps of the wall clock must not change the length of time spans that the gateway measures.

mod stand;

use rstest::rstest;
use stand::faults::Faults;
use stand::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Work that the gateway assumes for a request, in milliseconds: the full latency objective of its class, as no request has ended yet.
const REQUEST_WORK_MS: f64 = 20_000.0;
/// Requests that the settings allow an engine of 32 cores in slow start within one span: multiple x share x cores x span / work of a
/// request.
const BUDGET: f64 = 3.0 * 0.31 * 32.0 * 2_000.0 / REQUEST_WORK_MS;
/// Time span over which the budget is counted.
const SPAN: Duration = Duration::from_millis(2_000);
/// Number of client connections.
const CLIENTS: usize = 4;
/// Number of requests on each client connection.
const REQUESTS_PER_CLIENT: usize = 24;

fn with_slow_start(config: &str, name_service: SocketAddr) -> String {
    let rules =
        r#""answer_slack":20,"cold_from":0.31,"warm_within":15000,"fall_multiple":3,"tip_after":2000"#;
    let config = with_replacement(config, r#""answer_slack":20"#, rules);
    let config = with_replacement(&config, r#""on_time":500"#, r#""on_time":20000"#);
    let config = with_replacement(&config, r#""cpu_of_kind":[8]"#, r#""cpu_of_kind":[32]"#);
    with_replacement(&config, r#""seed":"7""#, &format!(r#""seed":"7","names":"{name_service}""#))
}

/// Serial number and endpoint list of a name service, shared so that a test can change them. An entry has the engine's name, its
/// address, whether it is draining, and its start time in Unix milliseconds.
type EndpointList = Arc<Mutex<(u32, Vec<(&'static str, SocketAddr, bool, u64)>)>>;

fn name_service_with_start_times(
    first: Vec<(&'static str, SocketAddr, bool, u64)>,
) -> (SocketAddr, EndpointList, Log) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("bound");
    let (endpoint_list, log) = (Arc::new(Mutex::new((1, first))), Log::default());
    let (current, seen) = (endpoint_list.clone(), log.clone());
    std::thread::spawn(move || {
        let mut bytes = [0; 512];
        while let Ok((len, from)) = socket.recv_from(&mut bytes) {
            let (serial, list) = current.lock().expect("listing").clone();
            let _ = socket.send_to(&names_answer_with_starts(&bytes[..len], serial, &list), from);
            seen.lock().expect("log").push(vec![serial.to_string()]);
        }
    });
    (address, endpoint_list, log)
}

/// Starts an engine that answers no request. Returns its address and the times at which it received requests.
fn engine_without_answers() -> (SocketAddr, Arc<Mutex<Vec<Instant>>>) {
    let received = Arc::new(Mutex::new(Vec::new()));
    let times = received.clone();
    let (address, _) = resp_engine(move |parts| {
        Some(match parts[0].as_str() {
            "want" => {
                times.lock().expect("times").push(Instant::now());
                String::new()
            }
            "busy" => reply(&[&parts[1], "green", "use=util:0.1", ""]),
            _ => String::new(),
        })
    });
    (address, received)
}

/// Returns the maximum number of requests that were received within any one span.
fn max_received_within_a_span(times: &[Instant]) -> usize {
    let count_from =
        |first: usize| times[first..].iter().take_while(|time| **time - times[first] <= SPAN).count();
    (0..times.len()).map(count_from).max().unwrap_or(0)
}

/// Sends all requests at once. Returns the count of answers, which keeps increasing.
fn send_all(gateway: &Gateway) -> Arc<AtomicUsize> {
    let answered = Arc::new(AtomicUsize::new(0));
    for client_number in 0..CLIENTS {
        let mut client = gateway.thrift_client();
        for seq in 1..=REQUESTS_PER_CLIENT {
            let txn = format!("{:016x}", client_number * REQUESTS_PER_CLIENT + seq);
            let fields = [("verb", "lookup"), ("txn", txn.as_str()), ("limit", "20000")];
            client.write_all(&call(seq as i32, &fields, "select 1")).expect("sent");
        }
        let answered = answered.clone();
        std::thread::spawn(move || {
            // A frame counts once it was read completely; the connection is closed at the end of the test.
            let mut len = [0; 4];
            while client.read_exact(&mut len).is_ok() {
                let mut frame = vec![0; u32::from_be_bytes(len) as usize];
                client.read_exact(&mut frame).expect("a complete frame");
                answered.fetch_add(1, Ordering::SeqCst);
            }
        });
    }
    answered
}

#[rstest]
#[case::no_step(0)]
#[case::an_hour_back(-3_600_000)]
#[case::an_hour_forward(3_600_000)]
#[case::five_seconds_back(-5_000)]
#[case::twenty_seconds_back(-20_000)]
#[case::five_seconds_forward(5_000)]
fn engine_that_joins_after_a_wall_clock_step_is_in_slow_start(#[case] step_ms: i64) {
    let (warm, received_by_warm) = engine_without_answers();
    let (starting, received_by_starting) = engine_without_answers();
    let (name_service, endpoint_list, responses) =
        name_service_with_start_times(vec![("s-0", warm, false, 0)]);
    let faults = Faults::new(&format!("wall_step_ms={step_ms}"));
    let config = with_slow_start(&config(&[warm], "resp", 20_000), name_service);
    let gateway = Gateway::start_with_faults(&config, &faults);
    wait_for_log(&responses, |log| !log.is_empty());
    faults.begin();
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as i64;
    let started = (unix_ms + step_ms) as u64;
    *endpoint_list.lock().expect("listing") =
        (2, vec![("s-0", warm, false, 0), ("s-1", starting, false, started)]);
    wait_for_log(&responses, |log| log.iter().filter(|line| line[0] == "2").count() >= 2);
    let answered = send_all(&gateway);
    let sent =
        || received_by_warm.lock().expect("times").len() + received_by_starting.lock().expect("times").len();
    wait_until(|| sent() + answered.load(Ordering::SeqCst) == CLIENTS * REQUESTS_PER_CLIENT);
    let received = max_received_within_a_span(&received_by_starting.lock().expect("times"));
    let allowed = BUDGET + 3.0 * BUDGET.sqrt() + 3.0;
    assert!(received as f64 <= allowed, "{received} requests within one span, {allowed:.1} are allowed");
}
