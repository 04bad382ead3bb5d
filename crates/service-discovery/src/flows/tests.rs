use super::*;
use std::net::SocketAddr;

struct Harness {
    flows: Flows,
    outstanding: OutstandingPolls,
}

impl Harness {
    fn new() -> Self {
        Self { flows: Flows::new(MAX_FLOWS), outstanding: OutstandingPolls::default() }
    }

    fn poll(&mut self, now: Milliseconds) -> Poll {
        let flow = self.flows.current().expect("a flow");
        let poll = self.outstanding.add(flow, SocketAddr::from(([127, 0, 0, 1], 53)), now, || now as u16);
        self.flows.poll_sent(&poll);
        poll
    }
}

#[test]
fn flow_is_needed_at_first_and_is_not_renewed_while_responses_confirm_the_list() {
    let mut harness = Harness::new();
    assert!(harness.flows.needs_renewal(0.0));
    let flow = harness.flows.open(0.0);
    assert_eq!(harness.flows.current(), Some(flow));
    assert!(!harness.flows.needs_renewal(10_000.0), "no poll was sent from it");
    let poll = harness.poll(0.0);
    assert!(!harness.flows.needs_renewal(RENEW_AFTER - 1.0));
    assert!(harness.flows.needs_renewal(RENEW_AFTER));
    harness.flows.confirm(&poll, &harness.outstanding);
    assert!(!harness.flows.needs_renewal(RENEW_AFTER));
}

#[test]
fn response_does_not_confirm_later_polls() {
    let mut harness = Harness::new();
    harness.flows.open(0.0);
    let first = harness.poll(0.0);
    harness.poll(200.0);
    harness.flows.confirm(&first, &harness.outstanding);
    assert!(!harness.flows.needs_renewal(199.0 + RENEW_AFTER));
    assert!(harness.flows.needs_renewal(200.0 + RENEW_AFTER));
}

#[test]
fn failed_flow_needs_renewal_at_once() {
    let mut harness = Harness::new();
    let flow = harness.flows.open(0.0);
    harness.flows.fail(flow);
    assert!(harness.flows.needs_renewal(0.0));
}

#[test]
fn previous_flow_is_closed_when_its_last_poll_expires() {
    let mut harness = Harness::new();
    let previous = harness.flows.open(0.0);
    harness.poll(100.0);
    harness.flows.open(700.0);
    assert_eq!(harness.flows.close(100.0 + RESPONSE_TIMEOUT), []);
    assert_eq!(harness.flows.close(101.0 + RESPONSE_TIMEOUT), [previous]);
    assert_eq!(harness.flows.close(1e9), [], "the current flow stays");
}

#[test]
fn oldest_flow_is_closed_above_the_maximum_number_of_flows() {
    let mut harness = Harness::new();
    let first = harness.flows.open(0.0);
    for _ in 1..MAX_FLOWS {
        harness.flows.open(0.0);
        assert_eq!(harness.flows.close(0.0), []);
    }
    harness.flows.open(0.0);
    assert_eq!(harness.flows.close(0.0), [first]);
}
