//! Rejection of requests, load shedding, and the gateway's estimate of its share of the fleet's load.

use crate::common::{engine, outcome, settings as default_settings};
use crate::harness::{report_busy, run_timers, TestGateway};
use starlingplank::interface::*;

#[test]
fn request_whose_attempt_times_out_at_its_deadline_is_rejected() {
    let mut gateway = TestGateway::new(default_settings(), 1);
    let (id, sent_to) = gateway.receive(0);
    let sent_to = sent_to.expect("sent");
    gateway.now += 3_000.0;
    let actions = gateway.run_cycle(&[outcome(id, 0, &sent_to, Outcome::Timeout, 3_000.0)]);
    assert!(actions.iter().any(|a| matches!(a, Action::Reject { id: r, .. } if r.0 == id)));
    assert_eq!(gateway.balancer.open_requests(), 0);
}

#[test]
fn late_request_is_rejected_before_its_deadline_if_late_answers_have_no_weight() {
    for (late_weight_share, rejects) in [(0.0, true), (0.5, false)] {
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
        assert_eq!(
            actions.iter().any(|(_, a)| rejected(a)),
            rejects,
            "late_weight_share is {late_weight_share}"
        );
    }
}

#[test]
fn free_engine_is_not_flooded_while_the_fleet_is_over_its_concurrency_limit() {
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
    assert!(sent < 100, "{sent} of 500 queries were sent to the only engine with free capacity");
}

#[test]
fn overloaded_engines_do_not_block_sends_to_engines_with_capacity() {
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

/// Guards against a gateway that rejects requests forever: it sends nothing, so no answer brings a newer load report than
/// the last one, which showed an overload. Old reports must lose weight with time.
#[test]
fn gateway_without_traffic_sends_again_once_overload_reports_are_old() {
    let mut settings = default_settings();
    settings.gateways = 200;
    let mut gateway = TestGateway::new(settings, 6);
    for _ in 0..60 {
        gateway.now += 50.0;
        (0..6).for_each(|n| report_busy(&mut gateway, n, 60.0));
    }
    assert!(gateway.receive(1).1.is_none(), "sent to overloaded engines");
    gateway.advance(60_000.0);
    assert!(
        (0..10).any(|_| gateway.receive(1).1.is_some()),
        "still sends nothing 60 s after the last overload report"
    );
}

/// A hundred gateways start at the same time, each with one or two queries in flight, while the engines' load reports do
/// not show these yet. If each gateway estimated that it sends most of the traffic, their limits would add up to an
/// overload.
#[test]
fn estimated_shares_of_gateways_that_start_together_add_up_to_one() {
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
        assert!((0.3..2.0).contains(&sum), "after {second} s the shares of all gateways add up to {sum:.2}");
    }
}
