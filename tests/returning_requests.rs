//! Requests that must not run twice and come again under the same name after their client has left.

mod stand;
mod unsafe_requests;

use stand::{answer, resp_engine, wait_for_log, Gateway, Log};
use std::io::Write;
use unsafe_requests::*;

const NAME: &str = "abcdef00000000a7";

/// A client sends a request over Thrift and leaves, then another sends it again under the same name. The second used to be sent to an
/// engine as well, also while the first was in flight.
#[test]
fn request_that_returns_after_its_client_has_left_is_not_sent_again() {
    let (address, log) = resp_engine(unresponsive_engine);
    let gateway = Gateway::start(&settings(&[address], "resp", LATENCY_OBJECTIVE_MS));
    let mut first = gateway.thrift_client();
    first.write_all(&request(1, "load", NAME, 20_000)).expect("sent");
    wait_for_attempt(&log);
    drop(first);
    for _ in 0..3 {
        let mut again = gateway.thrift_client();
        again.write_all(&request(1, "load", NAME, 20_000)).expect("sent");
        assert_eq!(answer(&mut again).1, FAILED);
    }
    assert_eq!(attempt_count(&log, NAME), 1);
}

fn wait_for_attempt(log: &Log) {
    wait_for_log(log, |entries| entries.iter().any(|parts| parts.iter().any(|part| part.contains(NAME))));
}
