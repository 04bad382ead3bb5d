//! Operators' requests to the running program: readiness, metrics, and excluding and including engines.

mod gateway_processes;
mod stand;

use gateway_processes::*;
use rstest::rstest;
use stand::faults::Faults;
use stand::*;
use starlingplank_admin::metrics::MetricDescription;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Guards against a successor that reads the list of excluded engines but sends to them nevertheless.
#[test]
fn engine_excluded_by_an_operator_stays_unused_through_an_upgrade_until_it_is_included() {
    let (first, _) = resp_engine(served);
    let (second, log) = resp_engine(served);
    let shared_gateway = SharedGateway::new(&[first, second]);
    let old = shared_gateway.start();
    assert!(served_lookups(&old, 0, 40) == 40 && attempt_count(&log) > 0, "both engines are in use");
    assert_eq!((old.put("/api/exclude", "s-1"), old.put("/api/exclude", "s-1")), (200, 200));
    assert_eq!((old.put("/api/exclude", "s-9"), old.put("/api/include", "s-9")), (404, 404));
    assert_eq!((old.metric("gateway.cluster_size"), old.metric("gateway.cluster_unhealthy")), (2, 1));
    let before = attempt_count(&log);
    assert_eq!(served_lookups(&old, 100, 40), 40);
    let new = shared_gateway.start();
    old.signal("-TERM");
    old.wait_for_exit();
    assert_eq!(new.metric("gateway.cluster_unhealthy"), 1);
    assert_eq!(served_lookups(&new, 200, 40), 40);
    assert_eq!(attempt_count(&log), before, "nothing was sent to the excluded engine");
    assert_eq!(new.put("/api/include", "s-1"), 200);
    assert_eq!(new.metric("gateway.cluster_unhealthy"), 0);
    assert_eq!(served_lookups(&new, 300, 40), 40);
    assert!(attempt_count(&log) > before, "the included engine is in use again");
}

/// Guards against overrides that only the process applies that received them: both processes are one gateway.
#[test]
fn override_sent_to_either_of_two_processes_applies_to_both() {
    let (first, _) = resp_engine(served);
    let (second, _) = resp_engine(served);
    let shared_gateway = SharedGateway::new(&[first, second]);
    let (old, new) = (shared_gateway.start(), shared_gateway.start());
    assert_eq!(old.put("/api/exclude", "s-1"), 200);
    for _ in 0..10_000 {
        if new.metric("gateway.cluster_unhealthy") == 1 {
            assert_eq!(new.put("/api/include", "s-1"), 200);
            break;
        }
    }
    let is_included = (0..10_000).any(|_| old.metric("gateway.cluster_unhealthy") == 0);
    assert!(is_included, "the other process applies the inclusion");
}

/// An operator excludes an engine at both processes of an upgrade, as the call may arrive twice. The second process used to answer
/// with success and to go on using the engine.
#[test]
fn engine_excluded_at_both_processes_stays_unused_at_both() {
    let (first, _) = resp_engine(served);
    let (second, _) = resp_engine(served);
    let shared_gateway = SharedGateway::new(&[first, second]);
    let processes = [shared_gateway.start(), shared_gateway.start()];
    // In some rounds a process reads the change in its regular poll before its own call.
    for round in 0..6 {
        for (path, excluded) in [("/api/exclude", 1), ("/api/include", 0)] {
            let (earlier, later) = (&processes[round % 2], &processes[(round + 1) % 2]);
            assert_eq!((earlier.put(path, "s-1"), later.put(path, "s-1")), (200, 200));
            for process in [earlier, later] {
                let is_applied = (0..3_000).any(|_| process.metric("gateway.cluster_unhealthy") == excluded);
                assert!(is_applied, "round {round}, {path}");
            }
        }
    }
}

#[test]
fn metrics_match_what_clients_and_engines_observed() {
    let (at, log) = resp_engine(|parts| match (parts[0].as_str(), parts.get(3).map(String::as_str)) {
        ("want", Some("fail")) => Some(reply(&[&parts[1], "crashed", "-", ""])),
        _ => served(parts),
    });
    let shared_gateway = SharedGateway::new(&[at]);
    let process = shared_gateway.start();
    let mut seen = [0_u64; 3];
    for n in 0..60 {
        let mut client = process.client();
        let (body, verb) = if n % 10 == 9 { ("fail", "lookup") } else { ("select 1", "lookup") };
        let txn = format!("{n:016x}");
        // The frontend itself rejects a time limit that is not a number.
        let limit = if n % 20 == 5 { "none" } else { "15000" };
        client.write_all(&call(1, &[("verb", verb), ("txn", &txn), ("limit", limit)], body)).expect("sent");
        match answer(&mut client).1 {
            "served" => seen[0] += 1,
            "overloaded" => seen[1] += 1,
            _ => seen[2] += 1,
        }
    }
    let reported =
        ["answered", "deferred", "errored"].map(|f| process.metric(&format!("gateway.{f}.lookup")));
    assert_eq!(reported, seen);
    assert!(seen.iter().sum::<u64>() == 60 && seen[0] > 0 && seen[2] >= 3, "{seen:?}");
    assert_eq!(process.metric("gateway.sends"), attempt_count(&log) as u64);
    assert_eq!((process.metric("gateway.current"), process.metric("gateway.cluster_size")), (0, 1));
    process.signal("-TERM");
    let output = process.wait_for_exit();
    let line =
        output.iter().find(|l| l.contains("lookup: 57 received")).unwrap_or_else(|| panic!("{output:?}"));
    let last = format!("answered [{}, {}, {}, 0]", seen[0], seen[1], seen[2]);
    assert!(line.ends_with(&last) && line.contains(&format!(" {} attempts", attempt_count(&log))), "{line}");
}

/// The operators' documentation has a row for each metric, equal to the program's table of metrics.
#[test]
fn operators_documentation_describes_every_metric_with_its_unit() {
    let page = include_str!("../docs/operate/day-to-day.md");
    for MetricDescription { name, unit, description } in starlingplank_admin::metrics::TABLE {
        let row = format!("| `{name}` | {unit} | {description} |");
        assert!(page.contains(&row), "{row}");
    }
}

#[rstest]
#[case::unknown_path("GET /api/readiness HTTP/1.1\r\n\r\n", 404)]
#[case::wrong_method("POST /api/exclude HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-0", 405)]
#[case::no_body("PUT /api/exclude HTTP/1.1\r\n\r\n", 400)]
#[case::body_too_long("PUT /api/exclude HTTP/1.1\r\nContent-Length: 99999999\r\n\r\ns-0", 413)]
#[case::negative_length("PUT /api/exclude HTTP/1.1\r\nContent-Length: -1\r\n\r\ns-0", 400)]
#[case::two_lengths("PUT /api/exclude HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\ns-0", 400)]
#[case::chunked_body(
    "PUT /api/exclude HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ns-0\r\n0\r\n\r\n",
    411
)]
#[case::not_http("hello there\r\n\r\n", 400)]
#[case::http_0_9("GET /api/ready HTTP/0.9\r\n\r\n", 400)]
fn invalid_request_is_answered_with_a_status_and_a_line_of_text(#[case] request: &str, #[case] status: u16) {
    let (at, _) = resp_engine(served);
    let shared_gateway = SharedGateway::new(&[at]);
    let process = shared_gateway.start();
    let (got, body) = process.request(request);
    assert_eq!(got, status, "{body}");
    assert!(body.ends_with('\n') && body.len() > 10, "{body:?}");
    assert_eq!(process.request("GET /api/ready HTTP/1.1\r\n\r\n"), (200, "ready\n".into()));
}

#[test]
fn request_head_of_a_mebibyte_is_rejected() {
    let (at, _) = resp_engine(served);
    let shared_gateway = SharedGateway::new(&[at]);
    let process = shared_gateway.start();
    let (status, _) =
        process.request(&format!("GET /api/ready HTTP/1.1\r\nX: {}\r\n\r\n", "a".repeat(1 << 20)));
    assert_eq!(status, 431);
}

/// Guards against connections with incomplete requests that lock out other operators: the oldest such connection is closed.
#[test]
fn incomplete_requests_do_not_lock_out_other_operators() {
    let (at, _) = resp_engine(served);
    let shared_gateway = SharedGateway::new(&[at]);
    let process = shared_gateway.start();
    let incomplete: Vec<TcpStream> = (0..100)
        .map(|_| {
            let mut stream = TcpStream::connect(process.operators).expect("it listens");
            stream.write_all(b"PUT /api/exclude HTTP/1.1\r\nContent-Length: 30\r\n\r\ns-").expect("sent");
            stream
        })
        .collect();
    assert_eq!(process.request("GET /api/ready HTTP/1.1\r\n\r\n").0, 200);
    // The first connection was closed to make room, and the last one is still open.
    let mut byte = [0];
    assert_eq!((&incomplete[0]).read(&mut byte).unwrap_or(0), 0);
    incomplete[99].set_nonblocking(true).expect("set");
    assert!((&incomplete[99]).read(&mut byte).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock));
}

/// A gateway without known engines rejects requests immediately and reports that it is not ready; it serves once it has received
/// the endpoint list.
#[test]
fn gateway_without_known_engines_is_not_ready_before_it_receives_the_list() {
    let (at, _) = resp_engine(served);
    let (names, list) = list_service();
    let mut shared_gateway = SharedGateway::new(&[]);
    shared_gateway.config =
        shared_gateway.config.replacen("\"known\"", &format!("\"names\":\"{names}\",\"known\""), 1);
    let process = shared_gateway.start();
    let (status, why) = process.request("GET /api/ready HTTP/1.1\r\n\r\n");
    assert_eq!((status, &*why), (503, "starting: the list of engines is awaited\n"));
    // Returns the complete answer to a client's health check.
    let health_of = |client: &mut TcpStream| {
        client.write_all(&health(1)).expect("sent");
        let mut len = [0; 4];
        client.read_exact(&mut len).expect("an answer");
        let mut frame = vec![0; u32::from_be_bytes(len) as usize];
        client.read_exact(&mut frame).expect("the complete answer");
        frame
    };
    let starting = health_of(&mut process.client());
    let mut client = process.client();
    client.write_all(&lookup(1)).expect("sent");
    assert_eq!(answer(&mut client).1, "overloaded");
    *list.lock().expect("list") = Some((2, vec![("s-0", at, false)]));
    assert!(
        (0..100_000).any(|_| process.request("GET /api/ready HTTP/1.1\r\n\r\n").0 == 200),
        "the gateway is ready"
    );
    assert_ne!(health_of(&mut process.client()), starting, "clients' health checks show the change as well");
    assert_eq!(served_lookups(&process, 10, 5), 5);
}

/// Guards against closing a connection whose request has arrived but is not answered yet when descriptors run out: a connection on
/// which nothing has arrived is closed instead.
#[test]
fn received_operator_request_is_answered_although_descriptors_run_out() {
    let (at, _) = resp_engine(served);
    let faults = Faults::new("seed=11,accept=1");
    let text = with_replacement(
        &config(&[at], "resp", 20_000),
        r#""listen""#,
        r#""operator":"127.0.0.1:0","listen""#,
    );
    let gateway = Gateway::start_with_faults(&text, &faults);
    let operators = gateway.operator.expect("the gateway listens to operators");
    let connect = || TcpStream::connect(operators).expect("it listens");
    let mut callers: Vec<_> = (0..4).map(|_| connect()).collect();
    // Connections are accepted in order, so the answer on the last one shows that all are accepted.
    let mut last = connect();
    last.write_all(b"GET /api/ready HTTP/1.1\r\n\r\n").expect("sent");
    assert!(read_http(&mut BufReader::new(last)).is_some());
    gateway.stop();
    faults.begin();
    for caller in &mut callers {
        caller.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
        caller.write_all(b"GET /api/ready HTTP/1.1\r\n\r\n").expect("sent");
    }
    let _waiting = connect();
    gateway.resume();
    faults.wait_for_fault("accept");
    for caller in callers {
        let (head, _) = read_http(&mut BufReader::new(caller)).expect("an answer");
        assert!(head[0].starts_with("HTTP/1.1 200"), "{head:?}");
    }
    faults.end();
}
