//! The retry budget counts the requests that clients wait for: requests that are withdrawn at once do not raise it.

mod stand;

use rstest::rstest;
use stand::requests::{attempts, lookup, name, served};
use stand::*;
use std::io::Write;

/// Number of requests that the first client sends and withdraws.
const WITHDRAWN: usize = 200;
/// Number of requests that the second client waits for. Each of their attempts fails.
const FAILING: usize = 20;
/// Number of retries that the configuration allows for `FAILING` requests: two, and one for each five requests.
const ALLOWED_RETRIES: usize = 2 + FAILING / 5;
/// Statement to which the engine sends no answer.
const HELD_STATEMENT: &str = "select held";

/// Way in which the first client withdraws its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Withdrawal {
    /// Each call is followed by its cancellation, in the same bytes.
    CancelAtOnce,
    /// The client cancels calls that an engine runs.
    CancelRunning,
    /// The client disconnects while an engine runs its request.
    Disconnect,
    /// The same over HTTP.
    DisconnectHttp,
}

fn held_call(seq: usize, number: usize) -> Vec<u8> {
    let name = name(1_000 + number);
    call(seq as i32, &[("verb", "lookup"), ("txn", &name), ("limit", "60000")], HELD_STATEMENT)
}

/// Sends requests and withdraws them, and returns once the gateway has handled each withdrawal.
fn send_and_withdraw(gateway: &Gateway, log: &Log, withdrawal: Withdrawal) {
    let count = |command: &'static str| {
        move |log: &[Vec<String>]| log.iter().filter(|parts| parts[0] == command).count()
    };
    let (begun, cancelled) = (count("want"), count("never_mind"));
    match withdrawal {
        Withdrawal::CancelAtOnce => {
            let mut client = gateway.thrift_client();
            let calls = (1..=WITHDRAWN).flat_map(|seq| [held_call(seq, seq), cancel(seq as i32)]);
            client.write_all(&calls.collect::<Vec<_>>().concat()).expect("sent");
            // The answer to a later message shows that the earlier ones were handled.
            client.write_all(&health(WITHDRAWN as i32 + 1)).expect("sent");
            assert_eq!(answer(&mut client).1, "served");
        }
        Withdrawal::CancelRunning => {
            let mut client = gateway.thrift_client();
            for seq in 1..=WITHDRAWN {
                client.write_all(&held_call(seq, seq)).expect("sent");
                wait_for_log(log, |log| begun(log) == seq);
                client.write_all(&cancel(seq as i32)).expect("sent");
                wait_for_log(log, |log| cancelled(log) == seq);
            }
        }
        Withdrawal::Disconnect | Withdrawal::DisconnectHttp => {
            for number in 1..=WITHDRAWN {
                let mut client = if withdrawal == Withdrawal::Disconnect {
                    gateway.thrift_client()
                } else {
                    gateway.http_client()
                };
                let length = HELD_STATEMENT.len();
                let bytes = match withdrawal {
                    Withdrawal::DisconnectHttp => {
                        format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{HELD_STATEMENT}")
                            .into_bytes()
                    }
                    _ => held_call(1, number),
                };
                client.write_all(&bytes).expect("sent");
                wait_for_log(log, |log| begun(log) == number);
                drop(client);
                wait_for_log(log, |log| cancelled(log) == number);
            }
        }
    }
}

/// A client that sends requests and withdraws them used to raise the budget, so that the requests of others were retried beyond the
/// share that the settings allow.
#[rstest]
#[case::cancel_at_once(Withdrawal::CancelAtOnce)]
#[case::cancel_running(Withdrawal::CancelRunning)]
#[case::disconnect(Withdrawal::Disconnect)]
#[case::disconnect_http(Withdrawal::DisconnectHttp)]
fn withdrawn_requests_do_not_raise_the_retry_budget(#[case] withdrawal: Withdrawal) {
    let (address, log) = resp_engine(|parts| match (parts[0].as_str(), parts.get(3).map(String::as_str)) {
        ("want", Some(HELD_STATEMENT)) => Some(String::new()),
        ("want", _) => Some(reply(&[&parts[1], "crashed", "-", ""])),
        _ => served(parts),
    });
    let gateway = Gateway::start(&with_long_latency_objectives(&config(&[address], "resp", 60_000)));
    send_and_withdraw(&gateway, &log, withdrawal);
    for n in 0..FAILING {
        let mut client = gateway.thrift_client();
        client.write_all(&lookup(1, n)).expect("sent");
        assert_ne!(answer(&mut client).1, "served");
    }
    let failing: Vec<_> = (0..FAILING).map(name).collect();
    let attempts = attempts(&log);
    let retries: usize = failing.iter().filter_map(|name| attempts.get(name)).map(|count| count - 1).sum();
    assert!(retries > 0, "{attempts:?}");
    assert!(retries <= ALLOWED_RETRIES, "{retries} retries, allowed are {ALLOWED_RETRIES}");
}
