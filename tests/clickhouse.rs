//! The ClickHouse HTTP interface against stand-in engines: the same core, limits and rules as the platform's.

mod stand;

use rstest::rstest;
use stand::*;
use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

fn rows(target: &str, body: &str) -> Option<String> {
    let headers = "X-ClickHouse-Query-Id: engine\r\nX-ClickHouse-Format: TabSeparated\r\nX-Other: no\r\n";
    Some(match (target, body) {
        ("/ping", _) => web_answer("200 OK", "", "Ok.\n"),
        (_, "select bad") => web_answer(
            "400 Bad Request",
            "X-ClickHouse-Exception-Code: 62\r\n",
            "Code: 62. DB::Exception: Syntax error. (SYNTAX_ERROR)\n",
        ),
        _ => web_answer("200 OK", headers, "1\t2\n"),
    })
}

fn post(target: &str, body: &str) -> String {
    format!("POST {target} HTTP/1.1\r\nHost: g\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn query_goes_on_with_its_credentials_and_comes_back_under_its_name() {
    let (at, log) = http_engine(rows);
    let gateway = Gateway::start(&config(&[at], "clickhouse", 5000));
    let mut web = gateway.web();
    let get = "GET /?query=select%201&query_id=q7&database=d&max_execution_time=2 HTTP/1.1\r\nX-ClickHouse-User: u\r\n\r\n";
    let (head, body) = ask(&mut web, get);
    assert!(head.starts_with("HTTP/1.1 200") && head.contains("X-ClickHouse-Query-Id: q7"), "{head}");
    assert!(head.contains("X-ClickHouse-Format: TabSeparated") && !head.contains("X-Other"), "{head}");
    assert_eq!(body, "1\t2\n");
    // The connection is reused; a body may be chunked.
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nselect \r\n1\r\n2\r\n0\r\n\r\n";
    assert_eq!(ask(&mut web, chunked).1, "1\t2\n");
    assert_eq!(ask(&mut web, "GET /ping HTTP/1.1\r\n\r\n").1, "Ok.\n");
    let log = log.lock().expect("log");
    let sent: Vec<_> = log.iter().filter(|line| line[0].starts_with("/?")).collect();
    assert!(
        sent[0][0].contains("query_id=q7&max_execution_time=2&") && sent[0][0].contains("readonly=2"),
        "{sent:?}"
    );
    assert_eq!((sent[0][1].as_str(), sent[1][1].as_str()), ("select 1", "select 2"));
}

#[test]
fn statement_at_fault_is_told_so_in_the_engine_s_words_and_not_tried_again() {
    let (at, log) = http_engine(rows);
    let gateway = Gateway::start(&config(&[at], "clickhouse", 5000));
    let (head, body) = ask(&mut gateway.web(), &post("/", "select bad"));
    assert!(head.starts_with("HTTP/1.1 400") && head.contains("X-ClickHouse-Exception-Code: 62"), "{head}");
    assert!(body.contains("SYNTAX_ERROR"));
    assert_eq!(log.lock().expect("log").iter().filter(|line| line[1] == "select bad").count(), 1);
}

#[test]
fn refusal_is_503_with_a_time_to_come_back() {
    let closed = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let gateway = Gateway::start(&config(&[closed], "clickhouse", 5000));
    let (head, body) = ask(&mut gateway.web(), &post("/", "select 1"));
    assert!(head.starts_with("HTTP/1.1 503") && head.contains("Retry-After: 1"), "{head}");
    assert!(
        head.contains("X-ClickHouse-Exception-Code: 202") && body.contains("TOO_MANY_SIMULTANEOUS_QUERIES")
    );
}

#[test]
fn deadline_is_the_lesser_of_the_client_s_and_the_class_s() {
    let (at, log) =
        http_engine(|target, _| if target == "/ping" { rows(target, "") } else { Some(String::new()) });
    let gateway = Gateway::start(&config(&[at], "clickhouse", 20_000));
    let (head, _) = ask(&mut gateway.web(), &post("/?max_execution_time=0.3", "select 1"));
    assert!(head.starts_with("HTTP/1.1 503") || head.starts_with("HTTP/1.1 408"), "{head}");
    until(&log, |log| log.iter().any(|line| line[0] == "closed"));
}

#[test]
fn load_resent_within_its_window_runs_once() {
    let ran = Arc::new(AtomicUsize::new(0));
    let (seen, count) = (Mutex::new(BTreeSet::new()), ran.clone());
    // The engine drops a block whose token it knows, as ClickHouse does.
    let (at, _) = http_engine(move |target, _| {
        let token =
            target.split('&').find(|pair| pair.starts_with("insert_deduplication_token=")).map(str::to_owned);
        if let Some(token) = token.filter(|token| seen.lock().expect("seen").insert(token.clone())) {
            assert!(token.len() > 30);
            count.fetch_add(1, Ordering::SeqCst);
        }
        rows(target, "")
    });
    let gateway = Gateway::start(&config(&[at], "clickhouse", 5000));
    let load = |data| post("/?query=insert%20into%20s_1.t%20format%20TSV&database=d", data);
    for data in ["1\n", "1\n", "2\n"] {
        assert!(ask(&mut gateway.web(), &load(data)).0.starts_with("HTTP/1.1 200"));
    }
    assert_eq!(ran.load(Ordering::SeqCst), 2);
}

/// The head and the first chunks of a result that never ends.
fn endless() -> String {
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}{chunk}")
}

#[test]
fn client_gone_in_the_middle_of_its_result_cancels_its_attempt_once() {
    let (at, log) =
        http_engine(|target, _| if target == "/ping" { rows(target, "") } else { Some(endless()) });
    let gateway = Gateway::start(&config(&[at], "clickhouse", 20_000));
    let mut web = gateway.web();
    web.write_all(post("/", "select 1").as_bytes()).expect("sent");
    // The client disconnects after the first part of the result.
    assert!(std::io::Read::read(&mut web, &mut [0; 64]).expect("a head") > 0);
    drop(web);
    until(&log, |log| log.iter().any(|line| line[0] == "closed"));
    let counts = gateway.counts();
    assert_eq!(
        counts[0],
        "lookup: 1 received, 1 attempts, outcomes [0, 0, 0, 0, 0, 0, 1, 0], answered [0, 0, 0, 1]"
    );
}

#[test]
fn result_that_ends_early_is_visibly_cut() {
    let (at, _) = http_engine(|target, body| match (target, body) {
        ("/ping", _) => rows(target, body),
        (_, "") => None,
        _ => Some(endless() + "not a chunk\r\n"),
    });
    let gateway = Gateway::start(&config(&[at], "clickhouse", 20_000));
    let (head, body) = ask(&mut gateway.web(), &post("/", "select 1"));
    assert!(head.starts_with("HTTP/1.1 200") && body.ends_with("<cut>"), "{head}");
}

#[rstest]
#[case::both_lengths("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400")]
#[case::too_large("POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "413")]
#[case::no_http("hello\r\n\r\n", "400")]
#[case::path("GET /other HTTP/1.1\r\n\r\n", "404")]
#[case::method("DELETE / HTTP/1.1\r\n\r\n", "501")]
fn what_cannot_be_served_is_said_so(#[case] request: &str, #[case] status: &str) {
    let (at, _) = http_engine(rows);
    let gateway = Gateway::start(&config(&[at], "clickhouse", 5000));
    let (head, _) = ask(&mut gateway.web(), request);
    assert!(head.starts_with(&format!("HTTP/1.1 {status}")), "{head}");
}

/// One mix of requests, sent by Thrift, by HTTP, or by both in turn.
fn counts_of(thrift: bool, http: bool) -> Vec<String> {
    let (at, _) = http_engine(rows);
    let gateway = Gateway::start(&config(&[at], "clickhouse", 5000));
    let (mut client, mut web) = (gateway.client(), gateway.web());
    for (seq, statement) in
        [(1, "select 1"), (2, "insert into s_1.t values (1)"), (3, "select bad"), (4, "select 4")]
    {
        let class = if statement.starts_with("insert") { "load" } else { "lookup" };
        if thrift {
            let txn = format!("{seq:016x}");
            let fields = [("verb", class), ("txn", &txn), ("limit", "4000"), ("unique", &txn)];
            client.write_all(&call(seq, &fields, statement)).expect("sent");
            let (_, kind, _) = answer(&mut client);
            assert_eq!(kind, if statement == "select bad" { "internal" } else { "served" });
        }
        if http {
            let mut reader = BufReader::new(web.try_clone().expect("cloned"));
            web.write_all(post("/", statement).as_bytes()).expect("sent");
            assert!(web_message(&mut reader).is_some());
        }
    }
    gateway.counts()
}

#[test]
fn both_fronts_count_the_same_attempts_and_outcomes() {
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
    assert_eq!(counts_of(true, false), expected(1));
    assert_eq!(counts_of(false, true), expected(1));
    assert_eq!(counts_of(true, true), expected(2));
}
