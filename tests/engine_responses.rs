//! Responses of engines that belong to another request: copies of earlier responses, right behind them or behind the next
//! request, and responses under an unknown id. Each client gets the rows of its own statement.

mod stand;

use rstest::rstest;
use stand::requests::{name, served};
use stand::*;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Number of requests that each client sends one after another.
const REQUESTS: usize = 30;
/// Time between a copy and the response to the request before which it arrives.
const RUN_TIME: Duration = Duration::from_millis(3);

/// Position of a response that belongs to no open request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disruption {
    /// A second copy of each response, right behind it.
    CopyBehind,
    /// A second copy of the previous response, some time before the response to the next request.
    CopyBeforeNext,
    /// A response under an unknown id, before the response.
    UnknownId,
    None,
}

/// Statements that an engine has executed.
type Executed = Arc<Mutex<BTreeSet<String>>>;

fn rows_of(statement: &str) -> String {
    format!("row\tof\t{statement}\n")
}

/// Starts an engine that answers each statement with its own rows, and the set of the peers that sent statements.
fn disrupting_http_engine(
    disruption: Disruption,
) -> (SocketAddr, Executed, Arc<Mutex<BTreeSet<SocketAddr>>>) {
    let (executed, peers) = (Executed::default(), Arc::new(Mutex::new(BTreeSet::new())));
    let (executed_by_engine, engine_peers) = (executed.clone(), peers.clone());
    let (address, _) = http_engine_with_handler(move |target, statement, previous, stream| {
        if target == "/ping" {
            return send(stream, &encode_http("200 OK", "", "Ok.\n"));
        }
        executed_by_engine.lock().expect("set").insert(statement.to_owned());
        engine_peers.lock().expect("set").insert(stream.peer_addr().expect("connected"));
        let response = encode_result(target, &rows_of(statement));
        let earlier = previous.replace(response.clone());
        match disruption {
            Disruption::None => send(stream, &response),
            Disruption::CopyBehind => send(stream, &(response.clone() + &response)),
            Disruption::CopyBeforeNext => {
                let is_sent = send(stream, &earlier.unwrap_or_default());
                thread::sleep(RUN_TIME);
                is_sent && send(stream, &response)
            }
            Disruption::UnknownId => {
                let unknown = encode_result("/?query_id=unknown", &rows_of("unknown"));
                send(stream, &(unknown + &response))
            }
        }
    });
    (address, executed, peers)
}

fn send(stream: &mut TcpStream, bytes: &str) -> bool {
    std::io::Write::write_all(stream, bytes.as_bytes()).is_ok()
}

fn post(stream: &mut TcpStream, target: &str, statement: &str) -> (String, String) {
    let length = statement.len();
    http_request(stream, &format!("POST {target} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{statement}"))
}

/// Sends statements one after another and asserts that each is answered with its own rows.
fn assert_own_rows(gateway: &Gateway, is_http: bool, client: usize, verb: &str) {
    let mut stream = if is_http { gateway.http_client() } else { gateway.thrift_client() };
    for number in 1..=REQUESTS {
        let statement = format!("{verb} s_1.t {client}x{number}");
        let rows = if is_http {
            let (head, rows) = post(&mut stream, "/", &statement);
            assert!(head.starts_with("HTTP/1.1 200"), "{statement}: {head}");
            rows
        } else {
            let name = name(client * 1_000 + number);
            let class = if verb.starts_with("insert") { "load" } else { "lookup" };
            let fields = [("verb", class), ("txn", &*name), ("limit", "20000"), ("unique", &*name)];
            std::io::Write::write_all(&mut stream, &call(number as i32, &fields, &statement)).expect("sent");
            let (_, kind, rows) = answer(&mut stream);
            assert_eq!(kind, "served", "{statement}");
            rows
        };
        assert_eq!(rows, rows_of(&statement));
    }
}

/// A second copy of a response used to be taken for the response to the next request on the connection: clients got the rows
/// of other clients, and loads were answered as served that no engine had executed.
#[rstest]
#[case::copy_behind_http(Disruption::CopyBehind, true)]
#[case::copy_behind_thrift(Disruption::CopyBehind, false)]
#[case::copy_before_next_http(Disruption::CopyBeforeNext, true)]
#[case::copy_before_next_thrift(Disruption::CopyBeforeNext, false)]
#[case::unknown_id_http(Disruption::UnknownId, true)]
#[case::unknown_id_thrift(Disruption::UnknownId, false)]
#[case::sound(Disruption::None, true)]
fn each_request_is_answered_with_its_own_rows(#[case] disruption: Disruption, #[case] is_http: bool) {
    const CLIENTS: usize = 4;
    let (address, executed, _) = disrupting_http_engine(disruption);
    let text = with_long_latency_objectives(&config(&[address], "clickhouse", 60_000));
    let gateway = Gateway::start(&text);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let verb = if client % 2 == 0 { "select 1 from" } else { "insert into" };
            let gateway = &gateway;
            scope.spawn(move || assert_own_rows(gateway, is_http, client, verb));
        }
    });
    assert_eq!(executed.lock().expect("set").len(), CLIENTS * REQUESTS, "each statement was executed");
}

/// Connections to engines without such faults stay in use.
#[test]
fn connections_of_sound_engines_are_used_again() {
    let (address, _, peers) = disrupting_http_engine(Disruption::None);
    let gateway = Gateway::start(&with_long_latency_objectives(&config(&[address], "clickhouse", 60_000)));
    assert_own_rows(&gateway, true, 0, "select 1 from");
    assert_eq!(peers.lock().expect("set").len(), 1, "one connection carried all statements");
}

/// A client that uses a query id again must not get a late copy of the response to its earlier query, which has the same id.
#[rstest]
#[case::http_engine("clickhouse")]
#[case::resp_engine("resp")]
fn query_id_that_is_used_again_gets_no_earlier_response(#[case] engine_protocol: &str) {
    let address = match engine_protocol {
        "clickhouse" => disrupting_http_engine(Disruption::CopyBeforeNext).0,
        _ => resp_engine_with_late_copies(),
    };
    let text = with_long_latency_objectives(&config(&[address], engine_protocol, 60_000));
    let gateway = Gateway::start(&text);
    let mut client = gateway.http_client();
    for number in 0..REQUESTS {
        let statement = format!("select {number}");
        let (head, rows) = post(&mut client, "/?query_id=q7", &statement);
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        // The client gets its own query id, whatever the gateway sent to the engine.
        assert!(head.lines().any(|line| line == "X-ClickHouse-Query-Id: q7"), "{head}");
        assert_eq!(rows, rows_of(&statement));
    }
}

/// A request with a name like the tag of a health check: the reply to it used to be taken for that of a health check and dropped.
#[test]
fn request_named_like_a_health_check_is_answered() {
    let (address, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[address], "resp", 2_000));
    let (head, _) = post(&mut gateway.http_client(), "/?query_id=p5", "select 1");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    let mut client = gateway.thrift_client();
    let fields = [("verb", "lookup"), ("txn", "p6"), ("limit", "2000")];
    std::io::Write::write_all(&mut client, &call(1, &fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
}

/// A request over Thrift with the name of one that was served is not sent on the connection on which a copy of the earlier reply
/// may still arrive.
#[test]
fn name_that_is_used_again_over_thrift_gets_no_earlier_reply() {
    let gateway = Gateway::start(&with_long_latency_objectives(&config(
        &[resp_engine_with_late_copies()],
        "resp",
        60_000,
    )));
    for number in 0..3 {
        let statement = format!("select {number}");
        let mut client = gateway.thrift_client();
        let fields = [("verb", "lookup"), ("txn", "00000000000000a7"), ("limit", "20000")];
        std::io::Write::write_all(&mut client, &call(1, &fields, &statement)).expect("sent");
        let (_, kind, rows) = answer(&mut client);
        assert_eq!((kind, rows), ("served", rows_of(&statement)));
    }
}

/// Starts a platform engine that sends a copy of the previous reply on a connection before each reply.
fn resp_engine_with_late_copies() -> SocketAddr {
    let previous: Mutex<std::collections::BTreeMap<SocketAddr, String>> = Mutex::default();
    let (address, _) = resp_engine_with_handler(move |parts, stream| {
        if parts[0] != "want" {
            return send(stream, &served(parts).unwrap_or_default());
        }
        let own = reply(&[&parts[1], "served", "pages=1,cost=5,need=8", &rows_of(&parts[3])]);
        let peer = stream.peer_addr().expect("connected");
        let earlier = previous.lock().expect("map").insert(peer, own.clone());
        send(stream, &(earlier.unwrap_or_default() + &own))
    });
    address
}
