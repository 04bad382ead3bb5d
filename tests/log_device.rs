//! A log that cannot be written: its lines are lost, and nothing else.

mod stand;

use stand::faults::Faults;
use stand::requests::*;
use stand::*;

/// A log line that cannot be written is lost, and nothing else.
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

/// The task that accepts connections has something to log.
#[test]
fn process_goes_on_listening_when_it_cannot_log_why_it_could_not_accept() {
    let (at, _) = resp_engine(served);
    let faults = Faults::new("log=1,accept=1");
    let mut gateway = Gateway::start_with_faults(&config(&[at], "resp", 20_000), &faults);
    faults.begin();
    let waits = gateway.client();
    faults.until_happened("accept");
    faults.until_happened("log");
    faults.end();
    is_served(waits, 1);
    is_served(gateway.client(), 2);
    ends_well(&mut gateway);
}
