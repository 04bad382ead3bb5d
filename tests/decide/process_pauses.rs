//! Pauses of the gateway's process, during which it handles no events.

use crate::common::{engine, incoming, outcome, sends, settings as default_settings};
use crate::harness::{report_busy, TestGateway};
use starlingplank::interface::*;

#[test]
fn process_pause_ejects_no_engine_and_does_not_count_as_latency() {
    let settings = default_settings();
    let mut gateway = TestGateway::new(settings, 2);
    gateway.serve(60, 0, 50.0);
    let limit = gateway.balancer.concurrency_limit();
    let sent: Vec<_> = (0..12).map(|_| gateway.receive(0)).collect();
    gateway.now += 1_900.0;
    let late = sent
        .iter()
        .map(|(id, sent_to)| outcome(*id, 0, sent_to.as_ref().expect("sent"), Outcome::Ok, 1_900.0));
    let late: Vec<Event> = late.collect();
    gateway.run_cycle(&late[..6]);
    gateway.now += 150.0;
    gateway.run_cycle(&late[6..]);
    assert_eq!(gateway.balancer.concurrency_limit(), limit);
    let used: std::collections::BTreeSet<_> = (0..12).filter_map(|_| gateway.receive(0).1).collect();
    assert_eq!(used.len(), 2, "both engines are still used");
}

#[test]
fn requests_with_enough_time_left_are_sent_first_after_a_process_pause() {
    let mut gateway = TestGateway::new(default_settings(), 1);
    gateway.serve(20, 0, 50.0);
    for _ in 0..10 {
        report_busy(&mut gateway, 0, 60.0);
    }
    gateway.now += 2_000.0;
    // Both requests arrived during the pause. The first waited for nearly all of it.
    let old = Event::Request(incoming(800, 0, gateway.now + 1_100.0));
    let new = Event::Request(incoming(801, 0, gateway.now + 2_950.0));
    assert!(sends(&gateway.run_cycle(&[old, new])).is_empty());
    let report = LoadReport { util: Some(0.2), inflight: Some(0.0), ..LoadReport::default() };
    let idle = Event::HealthChecked { engine: engine(0), ok: true, elapsed: 1.0, report: Some(report) };
    let order: Vec<u64> = sends(&gateway.run_cycle(&vec![idle; 120])).into_iter().map(|(id, _)| id).collect();
    assert_eq!(order.first(), Some(&801));
}
