//! Selection of the engine that an attempt is sent to.

use crate::common::{engine, member, outcome, sends, settings as default_settings};
use crate::harness::{report_busy, TestGateway};
use starlingplank::interface::*;

#[test]
fn request_is_sent_to_an_idle_engine_instead_of_being_rejected() {
    let mut gateway = TestGateway::new(default_settings(), 2);
    for _ in 0..10 {
        report_busy(&mut gateway, 0, 16.0);
        report_busy(&mut gateway, 1, 0.0);
    }
    assert_eq!(gateway.receive(0).1, Some(engine(1)));
}

#[test]
fn query_is_retried_on_another_engine_and_a_full_engine_is_not_used_for_a_while() {
    let mut gateway = TestGateway::new(default_settings(), 2);
    let (id, sent_to) = gateway.receive(0);
    let sent_to = sent_to.expect("sent");
    let actions = gateway.run_cycle(&[outcome(id, 0, &sent_to, Outcome::Full, 0.5)]);
    let again = sends(&actions);
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].1, sent_to);
    for _ in 0..4 {
        assert_ne!(gateway.receive(0).1, Some(sent_to.clone()));
    }
}

/// The aperture, the subset of engines that the gateway uses, holds about ten of sixty engines. The other engines must be
/// used when none in the aperture is available: they drain, or all connections to them fail.
#[test]
fn gateway_uses_engines_outside_its_aperture_only_when_those_inside_are_unavailable() {
    let mut gateway =
        TestGateway::new(Settings { gateways: 300, gateway_index: Some(7), ..default_settings() }, 60);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..300 {
        let (id, sent_to) = gateway.receive(0);
        let sent_to = sent_to.expect("sent");
        gateway.advance(50.0);
        gateway.run_cycle(&[outcome(id, 0, &sent_to, Outcome::Ok, 50.0)]);
        used.insert(sent_to);
    }
    assert!((8..=11).contains(&used.len()), "{} engines were used", used.len());
    let members = (0..60).map(member).map(|member_entry| {
        let drains = used.contains(&member_entry.engine);
        Member {
            availability: if drains { Availability::Draining } else { Availability::Live },
            ..member_entry
        }
    });
    gateway.run_cycle(&[Event::EndpointListReceived { complete: true, members: members.collect() }]);
    let (_, sent_to) = gateway.receive(0);
    assert!(
        sent_to.is_some_and(|sent_to| !used.contains(&sent_to)),
        "a request was not sent although engines outside the aperture are available, or went to a draining one"
    );
    // Connections to all engines of the new aperture now fail, as in the outage of a zone.
    let mut newly_tried = 0;
    for _ in 0..60 {
        let (id, sent_to) = gateway.receive(0);
        let Some(sent_to) = sent_to else { continue };
        newly_tried += usize::from(used.insert(sent_to.clone()));
        gateway.run_cycle(&[
            outcome(id, 0, &sent_to, Outcome::ConnectFailed, 1.0),
            Event::ClientDisconnected(RequestId(id)),
        ]);
    }
    assert!(newly_tried >= 20, "only {newly_tried} further engines were tried");
}

/// Sends one query through each of a hundred gateways that hold the same load reports, one second old. `loads` are the
/// reported utilizations. Returns the number of queries that each engine received.
fn sends_of_a_hundred_gateways(loads: &[f64]) -> Vec<usize> {
    let mut sent = vec![0; loads.len()];
    for seed in 0..100 {
        let mut gateway =
            TestGateway::new(Settings { gateways: 100, seed, ..default_settings() }, loads.len());
        let util = |util| Some(LoadReport { util: Some(util), ..LoadReport::default() });
        let health_checked = |(n, u): (usize, &f64)| Event::HealthChecked {
            engine: engine(n),
            ok: true,
            elapsed: 1.0,
            report: util(*u),
        };
        let reports: Vec<_> = loads.iter().enumerate().map(health_checked).collect();
        gateway.run_cycle(&reports);
        gateway.advance(1_000.0);
        let sent_to = gateway.receive(0).1.expect("an engine has free capacity");
        sent[(0..loads.len()).find(|n| engine(*n) == sent_to).expect("the engine is in the list")] += 1;
    }
    sent
}

#[test]
fn gateways_with_the_same_old_reports_do_not_all_choose_the_least_loaded_engine() {
    let loads = [0.1, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.9];
    let sent = sends_of_a_hundred_gateways(&loads);
    assert!(sent[0] <= 25, "the only idle engine of ten received {} of a hundred queries", sent[0]);
    assert!(sent[1..9].iter().all(|n| *n > 0), "{sent:?}");
}
