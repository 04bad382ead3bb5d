//! New processes at the addresses of others: work for an engine is not sent to the process that has its former address.

mod stand;
mod unsafe_requests;

use rstest::rstest;
use stand::requests::{lookup_within, name};
use stand::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use unsafe_requests::{attempt_count, request, served};

const NAME: &str = "abcdef00000000a9";

/// What the second list of engines says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    /// The engine has another address.
    Moved,
    /// The engine has gone, and another one has its address.
    Replaced,
}

fn with_name_service(config: &str, names: SocketAddr) -> String {
    let config = with_replacement(config, r#""seed":"7""#, &format!(r#""seed":"7","names":"{names}""#));
    with_replacement(&config, r#""connect_timeout":250"#, r#""connect_timeout":8000"#)
}

fn is_query(parts: &[String]) -> bool {
    parts[0] == "want" || parts[0].contains("query_id")
}

fn served_over_http(target: &str, _: &str) -> Option<String> {
    Some(encode_result(target, "a\tb\tc\n"))
}

/// Accepts all connections, and collects the bytes that arrive on them.
fn accept_all(listener: TcpListener) -> Arc<Mutex<Vec<u8>>> {
    let received = Arc::<Mutex<Vec<u8>>>::default();
    let collected = received.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let collected = collected.clone();
            thread::spawn(move || {
                let mut bytes = [0; 1_024];
                while let Ok(count @ 1..) = stream.read(&mut bytes) {
                    collected.lock().expect("bytes").extend(&bytes[..count]);
                }
            });
        }
    });
    received
}

/// An attempt waits for a connection that is being opened when a list says that the engine is no longer at that address. It used to be
/// sent to whatever process accepted the connection later.
#[rstest]
#[case::moved(Change::Moved, "resp")]
#[case::replaced(Change::Replaced, "resp")]
#[case::moved_http(Change::Moved, "clickhouse")]
#[case::replaced_http(Change::Replaced, "clickhouse")]
fn attempt_that_waits_for_a_connection_is_not_sent_to_a_former_address(
    #[case] change: Change,
    #[case] protocol: &str,
) {
    let (listener, filling) = full_listener();
    let former = listener.local_addr().expect("bound");
    let (current, current_log) = match protocol {
        "resp" => resp_engine(served),
        _ => http_engine(served_over_http),
    };
    let (names, list) = list_service();
    let text = with_long_latency_objectives(&config(&[former], protocol, 60_000));
    let gateway = Gateway::start(&with_name_service(&text, names));
    *list.lock().expect("list") = Some((1, vec![("s-0", former, false)]));
    let mut client = gateway.thrift_client();
    client.write_all(&request(1, "load", NAME, 20_000)).expect("sent");
    wait_until_connecting(former);
    let engines = match change {
        Change::Moved => vec![("s-0", current, false)],
        Change::Replaced => vec![("s-1", current, false)],
    };
    *list.lock().expect("list") = Some((2, engines));
    // The list is in use once a further request has arrived at the current address.
    for number in 1.. {
        let mut other = gateway.thrift_client();
        other.write_all(&lookup_within(&name(number), 100)).expect("sent");
        answer(&mut other);
        if current_log.lock().expect("log").iter().any(|parts| is_query(parts)) {
            break;
        }
    }
    drop(filling);
    // The kernel repeats the SYN after 1 s, 3 s and 7 s, and the connection is established then.
    let former_log = accept_all(listener);
    assert_eq!(answer(&mut client).1, "served");
    assert_eq!(*former_log.lock().expect("log"), Vec::<u8>::new());
    assert_eq!(attempt_count(&current_log, NAME), 1);
}
