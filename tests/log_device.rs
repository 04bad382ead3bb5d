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
    faults.until_happened("log");
    is_served(gateway.client(), 1);
    ends_well(&mut gateway);
}

/// Guards against a task that stops accepting connections when `accept` fails and the line about this failure cannot be written.
#[test]
fn process_goes_on_accepting_when_neither_accept_nor_the_log_works() {
    let (at, _) = resp_engine(served);
    let faults = Faults::new("log=1,accept=1");
    let mut gateway = Gateway::start_with_faults(&config(&[at], "resp", 20_000), &faults);
    faults.begin();
    let waiting_client = gateway.client();
    faults.until_happened("accept");
    faults.until_happened("log");
    faults.end();
    is_served(waiting_client, 1);
    is_served(gateway.client(), 2);
    ends_well(&mut gateway);
}
