//! Ejection of engines that return errors, do not answer, or have collapsed under load.

use crate::common::{engine, outcome, settings as default_settings};
use crate::harness::TestGateway;
use starlingplank::interface::*;

#[test]
fn engine_that_returns_errors_quickly_is_ejected() {
    let mut gateway = TestGateway::new(default_settings(), 3);
    let mut failed = 0;
    for _ in 0..60 {
        let (id, sent_to) = gateway.receive(0);
        gateway.now += 10.0;
        let Some(sent_to) = sent_to else { continue };
        let fails = sent_to == engine(1);
        failed += usize::from(fails);
        let result = if fails { Outcome::Error } else { Outcome::Ok };
        gateway.run_cycle(&[outcome(id, 0, &sent_to, result, 1.0)]);
    }
    assert!(failed <= 5, "{failed} requests sent to an engine that fails all of them");
}

#[test]
fn engine_that_does_not_answer_is_ejected() {
    let mut gateway = TestGateway::new(default_settings(), 3);
    gateway.serve(50, 0, 50.0);
    let mut sent_to_unresponsive = 0;
    for i in 0..300 {
        let (id, sent_to) = gateway.receive(0);
        gateway.now += 20.0;
        let Some(sent_to) = sent_to else { continue };
        if sent_to != engine(2) {
            gateway.run_cycle(&[outcome(id, 0, &sent_to, Outcome::Ok, 20.0)]);
        } else if i >= 200 {
            sent_to_unresponsive += 1;
        }
    }
    assert!(
        sent_to_unresponsive <= 4,
        "{sent_to_unresponsive} of the last 100 requests were sent to an engine that does not answer"
    );
}

#[test]
fn engines_are_not_ejected_if_all_of_them_fail() {
    let mut settings = default_settings();
    settings.max_attempts = 1;
    let mut gateway = TestGateway::new(settings, 3);
    let mut sent = 0;
    for _ in 0..60 {
        let (id, sent_to) = gateway.receive(0);
        gateway.now += 10.0;
        let Some(sent_to) = sent_to else { continue };
        sent += 1;
        gateway.run_cycle(&[outcome(id, 0, &sent_to, Outcome::Error, 1.0)]);
    }
    assert!(sent > 30, "only {sent} of 60 requests were sent");
}

/// A broken connection ends all attempts on it. They must count as one failure: as four, they would eject the engine.
#[test]
fn broken_connection_counts_as_one_failure_of_its_engine() {
    let mut gateway = TestGateway::new(default_settings(), 1);
    let in_flight: Vec<_> = (0..4).map(|_| gateway.receive(0)).collect();
    let broken: Vec<_> = in_flight
        .iter()
        .map(|(id, sent_to)| outcome(*id, 0, sent_to.as_ref().expect("sent"), Outcome::Reset, 5.0))
        .collect();
    gateway.now += 5.0;
    gateway.run_cycle(&broken);
    gateway.advance(300.0);
    assert!(gateway.receive(0).1.is_some(), "the engine was ejected");
}

/// A collapsed engine answers no query but reports idle cores. Each of a hundred gateways sends it a query only every few
/// seconds, so each has few timeouts to learn from.
#[test]
fn collapsed_engine_is_ejected_although_it_reports_low_utilization() {
    let mut gateway = TestGateway::new(Settings { gateways: 100, ..default_settings() }, 6);
    gateway.serve(60, 0, 200.0);
    let mut sent_to_collapsed = 0;
    for round in 0..300 {
        let (id, sent_to) = gateway.receive(0);
        let sent: Vec<_> =
            sent_to.into_iter().map(|sent_to| (id, sent_to)).chain(gateway.advance(200.0)).collect();
        let report_idle = |sent_to: &EngineId| Event::HealthChecked {
            engine: sent_to.clone(),
            ok: true,
            elapsed: 1.0,
            report: Some(LoadReport { util: Some(0.1), ..LoadReport::default() }),
        };
        for (id, sent_to) in sent {
            sent_to_collapsed += usize::from(round >= 100 && sent_to == engine(0));
            let end = if sent_to == engine(0) {
                report_idle(&sent_to)
            } else {
                outcome(id, 0, &sent_to, Outcome::Ok, 200.0)
            };
            gateway.run_cycle(&[end]);
        }
    }
    assert!(
        sent_to_collapsed <= 8,
        "{sent_to_collapsed} of 200 requests were sent to an engine that answers none"
    );
}
