//! Ejection of engines that fail, are silent or have collapsed.

use crate::common::{engine, outcome, settings as default_settings};
use crate::harness::TestGateway;
use starlingplank::interface::*;

#[test]
fn an_engine_that_fails_fast_is_ejected() {
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
    assert!(failed <= 5, "{failed} sent to an engine that fails everything");
}

#[test]
fn an_engine_that_returns_nothing_is_ejected() {
    let mut gateway = TestGateway::new(default_settings(), 3);
    gateway.serve(50, 0, 50.0);
    let mut into = 0;
    for i in 0..300 {
        let (id, sent_to) = gateway.receive(0);
        gateway.now += 20.0;
        let Some(sent_to) = sent_to else { continue };
        if sent_to != engine(2) {
            gateway.run_cycle(&[outcome(id, 0, &sent_to, Outcome::Ok, 20.0)]);
        } else if i >= 200 {
            into += 1;
        }
    }
    assert!(into <= 4, "{into} of the last 100 went into a silent engine");
}

#[test]
fn when_all_fail_the_cause_is_shared_and_engines_stay_in_use() {
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
    assert!(sent > 30, "only {sent} of 60 were tried");
}

/// A broken connection ends all attempts on it, and counts as one failure.
#[test]
fn a_connection_that_breaks_is_one_failure_of_its_engine() {
    let mut gateway = TestGateway::new(default_settings(), 1);
    let in_flight: Vec<_> = (0..4).map(|_| gateway.receive(0)).collect();
    let broken: Vec<_> = in_flight
        .iter()
        .map(|(id, sent_to)| outcome(*id, 0, sent_to.as_ref().expect("sent"), Outcome::Reset, 5.0))
        .collect();
    gateway.now += 5.0;
    gateway.run_cycle(&broken);
    gateway.advance(300.0);
    assert!(gateway.receive(0).1.is_some(), "the engine was left out");
}

/// An engine answers nothing and reports idle cores; each gateway sends it a query every few seconds.
#[test]
fn an_engine_that_collapsed_is_left_alone_whatever_it_reports() {
    let mut gateway = TestGateway::new(Settings { gateways: 100, ..default_settings() }, 6);
    gateway.serve(60, 0, 200.0);
    let mut into = 0;
    for round in 0..300 {
        let (id, sent_to) = gateway.receive(0);
        let sent: Vec<_> =
            sent_to.into_iter().map(|sent_to| (id, sent_to)).chain(gateway.advance(200.0)).collect();
        let idle = |sent_to: &EngineId| Event::HealthChecked {
            engine: sent_to.clone(),
            ok: true,
            elapsed: 1.0,
            report: Some(LoadReport { util: Some(0.1), ..LoadReport::default() }),
        };
        for (id, sent_to) in sent {
            into += usize::from(round >= 100 && sent_to == engine(0));
            let end = if sent_to == engine(0) {
                idle(&sent_to)
            } else {
                outcome(id, 0, &sent_to, Outcome::Ok, 200.0)
            };
            gateway.run_cycle(&[end]);
        }
    }
    assert!(into <= 8, "{into} of 200 went into an engine from which nothing comes back");
}
