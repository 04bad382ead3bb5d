//! The ClickHouse HTTP interface with stub engines: it has the same core, limits and rules as the platform's interface.

mod stand;

use rstest::rstest;
use stand::requests::served;
use stand::*;
use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

fn answer_query(target: &str, body: &str) -> Option<String> {
    let query_id = query_id_of(target);
    let headers =
        format!("X-ClickHouse-Query-Id: {query_id}\r\nX-ClickHouse-Format: TabSeparated\r\nX-Other: no\r\n");
    Some(match (target, body) {
        ("/ping", _) => encode_http("200 OK", "", "Ok.\n"),
        (_, "select bad") => encode_http(
            "400 Bad Request",
            "X-ClickHouse-Exception-Code: 62\r\n",
            "Code: 62. DB::Exception: Syntax error. (SYNTAX_ERROR)\n",
        ),
        _ => encode_http("200 OK", &headers, "1\t2\n"),
    })
}

fn post(target: &str, body: &str) -> String {
    format!("POST {target} HTTP/1.1\r\nHost: g\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn query_is_forwarded_with_its_parameters_and_answered_under_its_query_id() {
    let (address, log) = http_engine(answer_query);
    let gateway = Gateway::start(&config(&[address], "clickhouse", 5000));
    let mut http_client = gateway.http_client();
    let get_request = "GET /?query=select%201&query_id=q7&database=d&max_execution_time=2 HTTP/1.1\r\nX-ClickHouse-User: u\r\n\r\n";
    let (head, body) = http_request(&mut http_client, get_request);
    assert!(head.starts_with("HTTP/1.1 200") && head.contains("X-ClickHouse-Query-Id: q7"), "{head}");
    assert!(head.contains("X-ClickHouse-Format: TabSeparated") && !head.contains("X-Other"), "{head}");
    assert_eq!(body, "1\t2\n");
    // The same connection serves further requests, and their bodies may be chunked.
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nselect \r\n1\r\n2\r\n0\r\n\r\n";
    assert_eq!(http_request(&mut http_client, chunked).1, "1\t2\n");
    assert_eq!(http_request(&mut http_client, "GET /ping HTTP/1.1\r\n\r\n").1, "Ok.\n");
    let log = log.lock().expect("log");
    let sent: Vec<_> = log.iter().filter(|line| line[0].starts_with("/?")).collect();
    assert!(
        sent[0][0].contains("query_id=q7&max_execution_time=2&") && sent[0][0].contains("readonly=2"),
        "{sent:?}"
    );
    assert_eq!((sent[0][1].as_str(), sent[1][1].as_str()), ("select 1", "select 2"));
}

#[test]
fn statement_error_of_the_engine_is_passed_on_and_not_retried() {
    let (address, log) = http_engine(answer_query);
    let gateway = Gateway::start(&config(&[address], "clickhouse", 5000));
    let (head, body) = http_request(&mut gateway.http_client(), &post("/", "select bad"));
    assert!(head.starts_with("HTTP/1.1 400") && head.contains("X-ClickHouse-Exception-Code: 62"), "{head}");
    assert!(body.contains("SYNTAX_ERROR"));
    assert_eq!(log.lock().expect("log").iter().filter(|line| line[1] == "select bad").count(), 1);
}

#[test]
fn rejection_is_503_with_a_retry_after() {
    let refusing_address = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let gateway = Gateway::start(&config(&[refusing_address], "clickhouse", 5000));
    let (head, body) = http_request(&mut gateway.http_client(), &post("/", "select 1"));
    assert!(head.starts_with("HTTP/1.1 503") && head.contains("Retry-After: 1"), "{head}");
    assert!(
        head.contains("X-ClickHouse-Exception-Code: 202") && body.contains("TOO_MANY_SIMULTANEOUS_QUERIES")
    );
}

#[test]
fn deadline_is_the_shorter_of_the_client_and_class_deadlines() {
    let (address, log) =
        http_engine(
            |target, _| if target == "/ping" { answer_query(target, "") } else { Some(String::new()) },
        );
    let gateway = Gateway::start(&config(&[address], "clickhouse", 20_000));
    let (head, _) = http_request(&mut gateway.http_client(), &post("/?max_execution_time=0.3", "select 1"));
    assert!(head.starts_with("HTTP/1.1 503") || head.starts_with("HTTP/1.1 408"), "{head}");
    wait_for_log(&log, |log| log.iter().any(|line| line[0] == "closed"));
}

#[test]
fn load_repeated_within_its_deduplication_window_runs_once() {
    let runs = Arc::new(AtomicUsize::new(0));
    let (known_tokens, run_count) = (Mutex::new(BTreeSet::new()), runs.clone());
    // Like ClickHouse, the engine discards an insert whose deduplication token it has already received.
    let (address, _) = http_engine(move |target, _| {
        let token =
            target.split('&').find(|pair| pair.starts_with("insert_deduplication_token=")).map(str::to_owned);
        if let Some(token) = token.filter(|token| known_tokens.lock().expect("seen").insert(token.clone())) {
            assert!(token.len() > 30);
            run_count.fetch_add(1, Ordering::SeqCst);
        }
        answer_query(target, "")
    });
    let gateway = Gateway::start(&config(&[address], "clickhouse", 5000));
    let load = |data| post("/?query=insert%20into%20s_1.t%20format%20TSV&database=d", data);
    for data in ["1\n", "1\n", "2\n"] {
        assert!(http_request(&mut gateway.http_client(), &load(data)).0.starts_with("HTTP/1.1 200"));
    }
    assert_eq!(runs.load(Ordering::SeqCst), 2);
}

/// Loads that differ only in the value of a query parameter used to have one idempotency key, so that engines dropped the second.
#[test]
fn loads_with_different_query_parameters_have_different_keys() {
    let (address, log) = http_engine(answer_query);
    let gateway = Gateway::start(&config(&[address], "clickhouse", 5000));
    for target in ["/?param_x=1", "/?param_x=2", "/?param_x=2", "/?param_y=2", "/"] {
        let load = post(target, "insert into s_1.t values ({x:String})");
        assert!(http_request(&mut gateway.http_client(), &load).0.starts_with("HTTP/1.1 200"));
    }
    let log = log.lock().expect("log");
    let key = |parts: &Vec<String>| {
        parts[0]
            .split('&')
            .find_map(|pair| pair.strip_prefix("insert_deduplication_token="))
            .map(str::to_owned)
    };
    let keys: Vec<_> = log.iter().filter_map(key).collect();
    assert_eq!(keys.len(), 5);
    assert_eq!(keys[1], keys[2], "a repeat has the same key");
    assert_eq!(keys.iter().collect::<BTreeSet<_>>().len(), 4, "{keys:?}");
}

/// A deduplication token with the separators of an engine's command used to become further fields of the command, and tokens that
/// differ behind a separator were one key.
#[test]
fn deduplication_token_with_separators_stays_one_field() {
    let (address, log) = resp_engine(served);
    let gateway = Gateway::start(&config(&[address], "resp", 5000));
    let tokens = ["a%2Cprio%3D3", "a%2Cprio%3D2", "a%252Cprio%253D3", "plain-1"];
    for token in tokens {
        let load = post(&format!("/?insert_deduplication_token={token}"), "insert into s_1.t values (1)");
        assert!(http_request(&mut gateway.http_client(), &load).0.starts_with("HTTP/1.1 200"));
    }
    let log = log.lock().expect("log");
    let attempts: Vec<_> = log.iter().filter(|parts| parts[0] == "want").collect();
    let fields = |name: &str| -> Vec<_> {
        attempts
            .iter()
            .flat_map(|parts| parts[2].split(','))
            .filter_map(|field| field.strip_prefix(name))
            .collect()
    };
    assert_eq!(fields("prio=").len(), tokens.len(), "{attempts:?}");
    let keys = fields("uniq=");
    assert_eq!(keys.iter().collect::<BTreeSet<_>>().len(), tokens.len(), "{keys:?}");
    assert_eq!(keys[3], "plain-1");
}

/// Returns the head and the first two chunks of a result without the final chunk.
fn result_without_end() -> String {
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}{chunk}")
}

#[test]
fn client_disconnecting_in_the_middle_of_its_result_cancels_its_attempt_once() {
    let (address, log) =
        http_engine(
            |target, _| if target == "/ping" { answer_query(target, "") } else { Some(result_without_end()) },
        );
    let gateway = Gateway::start(&config(&[address], "clickhouse", 20_000));
    let mut http_client = gateway.http_client();
    http_client.write_all(post("/", "select 1").as_bytes()).expect("sent");
    // The client disconnects after the first part of the result.
    assert!(std::io::Read::read(&mut http_client, &mut [0; 64]).expect("a head") > 0);
    drop(http_client);
    wait_for_log(&log, |log| log.iter().any(|line| line[0] == "closed"));
    let counts = gateway.request_counts();
    assert_eq!(
        counts[0],
        "lookup: 1 received, 1 attempts, outcomes [0, 0, 0, 0, 0, 0, 1, 0], answered [0, 0, 0, 1]"
    );
}

#[test]
fn result_truncated_by_the_engine_is_visibly_truncated_for_the_client() {
    let (address, _) = http_engine(|target, body| match (target, body) {
        ("/ping", _) => answer_query(target, body),
        (_, "") => None,
        _ => Some(result_without_end() + "not a chunk\r\n"),
    });
    let gateway = Gateway::start(&config(&[address], "clickhouse", 20_000));
    let (head, body) = http_request(&mut gateway.http_client(), &post("/", "select 1"));
    assert!(head.starts_with("HTTP/1.1 200") && body.ends_with("<cut>"), "{head}");
}

/// A result of which the parts arrive slowly used to be cut by the gateway, as an attempt that takes several times as long as usual
/// is replaced. One that stops for good is ended.
#[rstest]
#[case::slow(true)]
#[case::stopped(false)]
fn streamed_result_is_passed_on_as_long_as_parts_of_it_arrive(#[case] continues: bool) {
    const PARTS: usize = 12;
    let (address, _) = http_engine_with_handler(move |target, statement, _, stream| {
        let send = |stream: &mut TcpStream, text: &str| stream.write_all(text.as_bytes()).is_ok();
        if statement != "select slow" {
            return send(stream, &encode_result(target, "1\t2\n"));
        }
        let part = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
        send(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for number in 0..PARTS {
            // The gateway begins to pass a result on once it has 64 kB of it.
            if number >= PARTS / 2 {
                thread::sleep(Duration::from_millis(400));
            }
            send(stream, &part);
        }
        if !continues {
            thread::sleep(Duration::from_secs(20));
        }
        send(stream, "0\r\n\r\n")
    });
    let gateway = Gateway::start(&config(&[address], "clickhouse", 2_000));
    let mut client = gateway.http_client();
    for _ in 0..50 {
        assert!(http_request(&mut client, &post("/", "select 1")).0.starts_with("HTTP/1.1 200"));
    }
    let (_, body) = http_request(&mut client, &post("/", "select slow"));
    assert_eq!(
        (body.len() >= PARTS * 0x4000, body.ends_with("<cut>")),
        (true, !continues),
        "{} bytes",
        body.len()
    );
}

#[rstest]
#[case::length_and_chunked(
    "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "400"
)]
#[case::too_large("POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "413")]
#[case::not_http("hello\r\n\r\n", "400")]
#[case::unknown_path("GET /other HTTP/1.1\r\n\r\n", "404")]
#[case::unsupported_method("DELETE / HTTP/1.1\r\n\r\n", "501")]
fn invalid_request_is_answered_with_its_http_status(#[case] request: &str, #[case] status: &str) {
    let (address, _) = http_engine(answer_query);
    let gateway = Gateway::start(&config(&[address], "clickhouse", 5000));
    let (head, _) = http_request(&mut gateway.http_client(), request);
    assert!(head.starts_with(&format!("HTTP/1.1 {status}")), "{head}");
}

/// Sends one mix of requests over Thrift, over HTTP or over both alternately, and returns the gateway's request counts.
fn request_counts_of_mix(thrift: bool, http: bool) -> Vec<String> {
    let (address, _) = http_engine(answer_query);
    let gateway = Gateway::start(&config(&[address], "clickhouse", 5000));
    let (mut thrift_client, mut http_client) = (gateway.thrift_client(), gateway.http_client());
    for (seq, statement) in
        [(1, "select 1"), (2, "insert into s_1.t values (1)"), (3, "select bad"), (4, "select 4")]
    {
        let class = if statement.starts_with("insert") { "load" } else { "lookup" };
        if thrift {
            let txn = format!("{seq:016x}");
            let fields = [("verb", class), ("txn", &txn), ("limit", "4000"), ("unique", &txn)];
            thrift_client.write_all(&call(seq, &fields, statement)).expect("sent");
            let (_, kind, _) = answer(&mut thrift_client);
            assert_eq!(kind, if statement == "select bad" { "internal" } else { "served" });
        }
        if http {
            let mut reader = BufReader::new(http_client.try_clone().expect("cloned"));
            http_client.write_all(post("/", statement).as_bytes()).expect("sent");
            assert!(read_http(&mut reader).is_some());
        }
    }
    gateway.request_counts()
}

#[test]
fn both_frontends_count_the_same_attempts_and_outcomes() {
    let expected = |n: u32| {
        [
            format!(
                "lookup: {} received, {} attempts, outcomes [{}, 0, 0, 0, 0, 0, 0, 0], answered [{}, 0, {n}, 0]",
                3 * n,
                3 * n,
                3 * n,
                2 * n
            ),
            format!(
                "load: {n} received, {n} attempts, outcomes [{n}, 0, 0, 0, 0, 0, 0, 0], answered [{n}, 0, 0, 0]"
            ),
        ]
    };
    assert_eq!(request_counts_of_mix(true, false), expected(1));
    assert_eq!(request_counts_of_mix(false, true), expected(1));
    assert_eq!(request_counts_of_mix(true, true), expected(2));
}
