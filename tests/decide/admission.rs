//! Rejection, load shedding and this gateway's share of the fleet.

use crate::common::{engine, outcome, settings as default_settings};
use crate::harness::{report_busy, run_timers, TestGateway};
use starlingplank::interface::*;

#[test]
fn what_the_deadline_overtakes_is_answered() {
    let mut gateway = TestGateway::new(default_settings(), 1);
    let (id, sent_to) = gateway.receive(0);
    let sent_to = sent_to.expect("sent");
    gateway.now += 3_000.0;
    let actions = gateway.run_cycle(&[outcome(id, 0, &sent_to, Outcome::Timeout, 3_000.0)]);
    assert!(actions.iter().any(|a| matches!(a, Action::Reject { id: r, .. } if r.0 == id)));
    assert_eq!(gateway.balancer.open_requests(), 0);
}

#[test]
fn what_is_late_and_earns_nothing_is_given_up_and_answered_at_once() {
    for (late_weight_share, given_up) in [(0.0, true), (0.5, false)] {
        let mut settings = default_settings();
        settings.may_cancel = true;
        settings.classes[0].late_weight_share = late_weight_share;
        let mut gateway = TestGateway::new(settings, 2);
        gateway.serve(30, 0, 400.0);
        let (id, sent_to) = gateway.receive(0);
        assert!(sent_to.is_some());
        let mut actions = Vec::new();
        let until = gateway.now + 1_300.0;
        run_timers(&mut gateway, until, &mut actions);
        let rejected =
            |a: &Action| matches!(a, Action::Reject { id: r, reason: BlockReason::Late, .. } if r.0 == id);
        assert_eq!(actions.iter().any(|(_, a)| rejected(a)), given_up, "late worth {late_weight_share}");
    }
}

#[test]
fn an_engine_that_shows_room_is_not_flooded_while_the_fleet_is_over_its_bound() {
    let mut sent = 0;
    for seed in 0..100 {
        let mut settings = default_settings();
        (settings.gateways, settings.seed) = (300, seed);
        let mut gateway = TestGateway::new(settings, 20);
        for n in (1..20).cycle().take(100) {
            report_busy(&mut gateway, n, 10.0);
        }
        gateway.run_cycle(&[Event::Timer(0)]);
        report_busy(&mut gateway, 0, 0.0);
        sent += (0..5).filter(|_| gateway.receive(0).1.is_some()).count();
    }
    assert!(sent < 100, "{sent} of 500 queries went to the one engine with room");
}

#[test]
fn jammed_engines_do_not_shut_out_those_that_can_serve() {
    let mut settings = default_settings();
    settings.gateways = 20;
    let mut gateway = TestGateway::new(settings, 8);
    for n in (0..8).cycle().take(80) {
        report_busy(&mut gateway, n, if n < 4 { 80.0 } else { 2.0 });
    }
    gateway.run_cycle(&[Event::Timer(0)]);
    let placed = (0..3).filter_map(|_| gateway.receive(0).1).collect::<Vec<_>>();
    assert!(!placed.is_empty());
    assert!(placed.iter().all(|e| (4..8).any(|n| *e == engine(n))), "{placed:?}");
}

/// The last reports of an overload lose weight once this gateway sends nothing and receives none.
#[test]
fn a_gateway_that_sends_nothing_does_not_stay_shut_out() {
    let mut settings = default_settings();
    settings.gateways = 200;
    let mut gateway = TestGateway::new(settings, 6);
    for _ in 0..60 {
        gateway.now += 50.0;
        (0..6).for_each(|n| report_busy(&mut gateway, n, 60.0));
    }
    assert!(gateway.receive(1).1.is_none(), "sent into a jam");
    gateway.advance(60_000.0);
    assert!((0..10).any(|_| gateway.receive(1).1.is_some()), "still shut out");
}

/// A hundred gateways that start at once, each with a query or two in flight, before engines whose reports still show
/// no load. If each took itself for most of the traffic, their limits would add up to an overload.
#[test]
fn the_shares_of_gateways_that_start_together_add_up_to_one_fleet() {
    let mut gateways: Vec<_> = (0..100)
        .map(|seed| TestGateway::new(Settings { gateways: 100, seed, ..default_settings() }, 10))
        .collect();
    for second in 1..=5 {
        let mut sum = 0.0;
        for gateway in &mut gateways {
            let (id, sent_to) = gateway.receive(0);
            gateway.advance(1_000.0);
            sent_to.into_iter().for_each(|sent_to| {
                drop(gateway.run_cycle(&[outcome(id, 0, &sent_to, Outcome::Ok, 1_000.0)]));
            });
            let report = Some(LoadReport { util: Some(0.15 * f64::from(second)), ..LoadReport::default() });
            let reports = |n| Event::HealthChecked { engine: engine(n), ok: true, elapsed: 1.0, report };
            gateway.run_cycle(&(0..10).map(reports).collect::<Vec<_>>());
            let fleet = gateway.balancer.learned().fleet;
            sum += fleet.own_threads / fleet.all_threads;
        }
        assert!((0.3..2.0).contains(&sum), "after {second} s the shares of all add up to {sum:.2}");
    }
}
