//! The rate of health checks.

use crate::common::{incoming, sends, settings as default_settings};
use crate::harness::{report_busy, TestGateway};
use starlingplank::interface::*;

#[test]
fn gateway_that_sends_nothing_after_an_overload_gets_new_reports_by_health_checks() {
    let mut settings = default_settings();
    settings.may_check_health = true;
    let mut gateway = TestGateway::new(settings, 2);
    for n in 0..2 {
        (0..10).for_each(|_| report_busy(&mut gateway, n, 60.0));
    }
    assert!(gateway.receive(0).1.is_none());
    // Nothing is in flight, so no answer brings a load report. Both engines are checked while requests wait.
    let (mut health_checked, mut placed) = (0, false);
    while gateway.now < 4_000.0 && !placed {
        gateway.now += 50.0;
        gateway.next += 1;
        let request = incoming(gateway.next, 0, gateway.now + 3_000.0);
        let actions = gateway.run_cycle(&[Event::Request(request)]);
        placed = !sends(&actions).is_empty();
        for action in actions {
            let Action::CheckHealth { engine } = action else { continue };
            health_checked += 1;
            let report = Some(LoadReport { util: Some(0.1), inflight: Some(0.0), ..LoadReport::default() });
            let actions =
                gateway.run_cycle(&[Event::HealthChecked { engine, ok: true, elapsed: 1.0, report }]);
            placed |= !sends(&actions).is_empty();
        }
    }
    assert!(placed, "no request was sent within four seconds");
    assert!((1..=12).contains(&health_checked), "{health_checked} health checks");
}

#[test]
fn health_check_rate_follows_the_request_rate_with_hundreds_of_gateways() {
    let mut settings = default_settings();
    (settings.gateways, settings.may_check_health) = (300, true);
    let mut gateway = TestGateway::new(settings, 60);
    let count_checks =
        |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::CheckHealth { .. })).count();
    let mut count = 0;
    for _ in 0..100 {
        gateway.now += 100.0;
        count += count_checks(&gateway.run_cycle(&[Event::Timer(0)]));
    }
    // The gateway starts with credit for sixteen health checks and spent ten of these on the engines in its aperture.
    assert!(count <= 6, "{count} health checks by an idle gateway");
    for id in 0..50 {
        gateway.now += 100.0;
        let deadline = gateway.now + 3_000.0;
        count += count_checks(&gateway.run_cycle(&[Event::Request(incoming(id, 0, deadline))]));
    }
    assert!((25..=56).contains(&count), "{count} health checks for 50 requests");
}

#[test]
fn expensive_health_checks_are_sent_less_often_per_request() {
    let checks_sent = |cost| {
        let settings =
            Settings { gateways: 100, may_check_health: true, health_check_cost: cost, ..default_settings() };
        let mut gateway = TestGateway::new(settings, 30);
        let mut total = 0;
        for _ in 0..200 {
            let id = gateway.next;
            gateway.next += 1;
            let request = Event::Request(incoming(id, 0, gateway.now + 3_000.0));
            let is_check = |a: &&Action| matches!(a, Action::CheckHealth { .. });
            total += gateway.run_cycle(&[request]).iter().filter(is_check).count();
            gateway.advance(250.0);
        }
        total
    };
    assert!(checks_sent(0.01) > 150, "{}", checks_sent(0.01));
    assert!(checks_sent(0.08) <= 27, "{}", checks_sent(0.08));
}
