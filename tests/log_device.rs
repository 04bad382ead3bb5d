//! Log lines that cannot be written are lost, and the process goes on serving.

mod stand;

use stand::faults::Faults;
use stand::requests::*;
use stand::*;

/// Guards against failed writes of the log that cost more than the lost lines: requests and reloads must still work.
#[test]
fn process_serves_and_reloads_while_its_log_cannot_be_written() {
    let (at, _) = resp_engine(served);
    let faults = Faults::new("log=1");
    let mut gateway = Gateway::start_with_faults(&config(&[at], "resp", 20_000), &faults);
    faults.begin();
    gateway.signal("-HUP");
    faults.wait_for_fault("log");
    assert_served(gateway.thrift_client(), 1);
    terminate_and_expect_success(&mut gateway);
}

/// Guards against a task that stops accepting connections when `accept` fails and the line about this failure cannot be written.
#[test]
fn process_goes_on_accepting_when_neither_accept_nor_the_log_works() {
    let (at, _) = resp_engine(served);
    let faults = Faults::new("log=1,accept=1");
    let mut gateway = Gateway::start_with_faults(&config(&[at], "resp", 20_000), &faults);
    faults.begin();
    let waiting_client = gateway.thrift_client();
    faults.wait_for_fault("accept");
    faults.wait_for_fault("log");
    faults.end();
    assert_served(waiting_client, 1);
    assert_served(gateway.thrift_client(), 2);
    terminate_and_expect_success(&mut gateway);
}
