//! The pace of health checks.

use crate::common::{incoming, sends, settings as default_settings};
use crate::harness::{report_busy, TestGateway};
use starlingplank::interface::*;

#[test]
fn a_gateway_shut_out_by_an_old_load_hears_again() {
    let mut settings = default_settings();
    settings.may_check_health = true;
    let mut gateway = TestGateway::new(settings, 2);
    for n in 0..2 {
        (0..10).for_each(|_| report_busy(&mut gateway, n, 60.0));
    }
    assert!(gateway.receive(0).1.is_none());
    // Nothing is in flight, so no answer brings a report: both engines are checked while a request waits.
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
    assert!(placed, "shut out for four seconds");
    assert!((1..=12).contains(&health_checked), "{health_checked} probes");
}

#[test]
fn probes_follow_own_traffic_in_a_fleet_of_hundreds() {
    let mut settings = default_settings();
    (settings.gateways, settings.may_check_health) = (300, true);
    let mut gateway = TestGateway::new(settings, 60);
    let probes =
        |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::CheckHealth { .. })).count();
    let mut count = 0;
    for _ in 0..100 {
        gateway.now += 100.0;
        count += probes(&gateway.run_cycle(&[Event::Timer(0)]));
    }
    // It begins with credit for sixteen, and the ten engines in the aperture were checked at the start.
    assert!(count <= 6, "{count} probes by an idle gateway");
    for id in 0..50 {
        gateway.now += 100.0;
        let deadline = gateway.now + 3_000.0;
        count += probes(&gateway.run_cycle(&[Event::Request(incoming(id, 0, deadline))]));
    }
    assert!((25..=56).contains(&count), "{count} probes for 50 requests");
}

#[test]
fn a_probe_that_costs_much_is_paid_for_by_many_requests() {
    let probes = |price| {
        let settings = Settings {
            gateways: 100,
            may_check_health: true,
            health_check_cost: price,
            ..default_settings()
        };
        let mut gateway = TestGateway::new(settings, 30);
        let mut all = 0;
        for _ in 0..200 {
            let id = gateway.next;
            gateway.next += 1;
            let request = Event::Request(incoming(id, 0, gateway.now + 3_000.0));
            let probe = |a: &&Action| matches!(a, Action::CheckHealth { .. });
            all += gateway.run_cycle(&[request]).iter().filter(probe).count();
            gateway.advance(250.0);
        }
        all
    };
    assert!(probes(0.01) > 150, "{}", probes(0.01));
    assert!(probes(0.08) <= 27, "{}", probes(0.08));
}
