//! The choice of an engine.

use crate::common::{engine, member, outcome, sends, settings as default_settings};
use crate::harness::{report_busy, TestGateway};
use starlingplank::interface::*;

#[test]
fn another_ready_engine_comes_before_a_refusal() {
    let mut gateway = TestGateway::new(default_settings(), 2);
    for _ in 0..10 {
        report_busy(&mut gateway, 0, 16.0);
        report_busy(&mut gateway, 1, 0.0);
    }
    assert_eq!(gateway.receive(0).1, Some(engine(1)));
}

#[test]
fn a_full_engine_rests_and_the_query_goes_elsewhere() {
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

/// Ten engines of sixty lie in the aperture; when none of them is available, the others are used.
#[test]
fn a_gateway_meets_a_part_of_a_large_fleet_and_goes_beyond_it_where_that_part_is_away() {
    let mut gateway =
        TestGateway::new(Settings { gateways: 300, gateway_index: Some(7), ..default_settings() }, 60);
    let mut met = std::collections::BTreeSet::new();
    for _ in 0..300 {
        let (id, sent_to) = gateway.receive(0);
        let sent_to = sent_to.expect("sent");
        gateway.advance(50.0);
        gateway.run_cycle(&[outcome(id, 0, &sent_to, Outcome::Ok, 50.0)]);
        met.insert(sent_to);
    }
    assert!((8..=11).contains(&met.len()), "{} engines were met", met.len());
    let members = (0..60).map(member).map(|member_entry| {
        let away = met.contains(&member_entry.engine);
        Member {
            availability: if away { Availability::Draining } else { Availability::Live },
            ..member_entry
        }
    });
    gateway.run_cycle(&[Event::EndpointListReceived { complete: true, members: members.collect() }]);
    let (_, sent_to) = gateway.receive(0);
    assert!(
        sent_to.is_some_and(|sent_to| !met.contains(&sent_to)),
        "the list has changed, and so has the part"
    );
    // Connections to all engines in the aperture now fail, as to those of a lost zone.
    let mut beyond = 0;
    for _ in 0..60 {
        let (id, sent_to) = gateway.receive(0);
        let Some(sent_to) = sent_to else { continue };
        beyond += usize::from(met.insert(sent_to.clone()));
        gateway.run_cycle(&[
            outcome(id, 0, &sent_to, Outcome::ConnectFailed, 1.0),
            Event::ClientDisconnected(RequestId(id)),
        ]);
    }
    assert!(beyond >= 20, "only {beyond} engines were tried");
}

/// A hundred gateways with the same old load reports of ten engines receive one query each; returns how many queries
/// each engine got.
fn choices_of_a_hundred_gateways(loads: &[f64]) -> Vec<usize> {
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
        let sent_to = gateway.receive(0).1.expect("an engine has room");
        sent[(0..loads.len()).find(|n| engine(*n) == sent_to).expect("it is in the list")] += 1;
    }
    sent
}

#[test]
fn gateways_with_one_old_view_do_not_all_send_to_the_engine_that_showed_most_room() {
    let loads = [0.1, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.9];
    let sent = choices_of_a_hundred_gateways(&loads);
    assert!(sent[0] <= 25, "one idle engine of ten got {} of a hundred queries", sent[0]);
    assert!(sent[1..9].iter().all(|n| *n > 0), "{sent:?}");
}
