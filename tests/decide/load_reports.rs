//! What load reports, health checks and slow queries show of the load.

use crate::common::{engine, outcome, settings as default_settings};
use crate::harness::TestGateway;
use starlingplank::interface::*;

#[test]
fn absurd_reports_and_a_clock_that_stands_still_do_no_harm() {
    let mut gateway = TestGateway::new(default_settings(), 2);
    for x in [f64::NAN, f64::INFINITY, -1.0, 1e300] {
        let report =
            LoadReport { inflight: Some(x), util: Some(x), queue: Some(x), memory: Some(x), disks: Some(x) };
        for n in 0..3 {
            gateway.run_cycle(&[Event::HealthChecked {
                engine: engine(n),
                ok: true,
                elapsed: 1.0,
                report: Some(report),
            }]);
        }
    }
    gateway.now += 60_000.0;
    gateway.serve(50, 0, 0.0);
    gateway.now += 200.0;
    gateway.run_cycle(&[Event::Timer(0)]);
    assert_eq!(gateway.balancer.open_requests(), 0);
    for n in 0..2 {
        let report = LoadReport { util: Some(0.1), inflight: Some(0.0), ..LoadReport::default() };
        (0..60).for_each(|_| {
            drop(gateway.run_cycle(&[Event::HealthChecked {
                engine: engine(n),
                ok: true,
                elapsed: 1.0,
                report: Some(report),
            }]));
        });
    }
    gateway.now += 200.0;
    assert!(gateway.receive(0).1.is_some());
}

/// Where engines report nothing, the duration of a health check shows which ones are crowded.
#[test]
fn a_probe_that_takes_long_shows_a_crowded_engine() {
    let mut settings = default_settings();
    settings.may_check_health = true;
    let mut gateway = TestGateway::new(settings, 6);
    let health_checked =
        |n: usize, elapsed| Event::HealthChecked { engine: engine(n), ok: true, elapsed, report: None };
    // Engines of the other zone are far away: their checks take long though they are idle.
    let mut events: Vec<Event> =
        (0..6).map(|n| health_checked(n, if n % 2 == 1 { 3.0 } else { 0.6 })).collect();
    events.extend([health_checked(0, 3.0), health_checked(2, 0.6), health_checked(4, 3.0)]);
    gateway.now += 5.0;
    gateway.run_cycle(&events);
    let sent_to = gateway.receive(0).1.expect("sent");
    assert!(sent_to != engine(0) && sent_to != engine(4), "sent to a crowded one: {sent_to:?}");
    // Where all checks show a load far past any limit, one of hundreds of gateways sends nothing.
    let mut settings = default_settings();
    (settings.may_check_health, settings.gateways) = (true, 200);
    let mut gateway = TestGateway::new(settings, 6);
    gateway.run_cycle(&(0..6).map(|n| health_checked(n, 0.6)).collect::<Vec<_>>());
    for _ in 0..60 {
        gateway.now += 50.0;
        gateway.run_cycle(&(0..6).map(|n| health_checked(n, 3.0)).collect::<Vec<_>>());
    }
    assert!(gateway.receive(1).1.is_none(), "sent into a jam");
}

/// Cores idle while all queries wait for disks: a low utilization is an overload if queries are slow, and none if they
/// are fast.
#[test]
fn a_low_util_with_crawling_queries_is_a_jam() {
    let sent = |elapsed: Milliseconds| {
        let mut settings = default_settings();
        settings.gateways = 200;
        let mut gateway = TestGateway::new(settings, 6);
        gateway.serve(10, 1, 800.0);
        let in_flight: Vec<_> = (0..6).map(|_| gateway.receive(1)).collect();
        for round in 1..30 {
            gateway.now += 100.0;
            let util = Some(LoadReport { util: Some(0.1), ..LoadReport::default() });
            let health_checked =
                |n| Event::HealthChecked { engine: engine(n), ok: true, elapsed: 1.0, report: util };
            let mut events: Vec<Event> = (0..6).map(health_checked).collect();
            if f64::from(round) * 100.0 == elapsed {
                let sent = in_flight.iter().filter_map(|(id, sent_to)| Some((id, sent_to.as_ref()?)));
                events.extend(sent.map(|(id, sent_to)| outcome(*id, 0, sent_to, Outcome::Ok, elapsed)));
            }
            gateway.run_cycle(&events);
        }
        (0..8).filter(|_| gateway.receive(0).1.is_some()).count()
    };
    let (quick, never) = (sent(800.0), sent(9_999.0));
    assert!(quick > never, "{quick} sent where queries come back, {never} where none does");
}

/// A gateway before 24 idle cores, whose queries spill: each takes `elapsed` for 100 ms of work. Engines report that
/// utilization or nothing, and heed memory grants or not.
fn gateway_whose_queries_spill(elapsed: Milliseconds, in_use: Option<f64>, grants: bool) -> TestGateway {
    let mut settings = default_settings();
    settings.supports_memory_grants = grants;
    settings.gateways = 1;
    settings.classes[0].latency_objective = 2_000.0;
    let mut gateway = TestGateway::new(settings, 4);
    for _ in 0..400 {
        let (id, sent_to) = gateway.receive(0);
        gateway.advance(elapsed);
        if let Some(util) = in_use {
            let report = Some(LoadReport { util: Some(util), ..LoadReport::default() });
            let health_checked =
                |n| Event::HealthChecked { engine: engine(n), ok: true, elapsed: 1.0, report };
            gateway.run_cycle(&(0..4).map(health_checked).collect::<Vec<_>>());
        }
        let ended = Event::Outcome {
            id: RequestId(id),
            attempt: 0,
            engine: sent_to.expect("few threads run"),
            outcome: Outcome::Ok,
            elapsed,
            request_finished: true,
            work: Some(100.0),
            report: None,
        };
        gateway.run_cycle(&[ended]);
    }
    gateway
}

/// Queries that spill take three times their latency alone while few threads run. The fleet is not full.
#[test]
fn what_slows_queries_down_without_load_leaves_a_fleet_its_room() {
    let mut gateway = gateway_whose_queries_spill(300.0, None, false);
    let sent = (0..30).filter(|_| gateway.receive(0).1.is_some()).count();
    assert_eq!(sent, 30, "on 24 cores, at a bound of one and a half threads a core");
}

/// Without load reports the number of running threads is not known: there slowness counts as load.
#[test]
fn slowness_counts_as_load_where_grants_are_heeded_and_no_engine_tells_of_its_load() {
    let mut gateway = gateway_whose_queries_spill(300.0, None, true);
    let sent = (0..30).filter(|_| gateway.receive(0).1.is_some()).count();
    assert!(sent <= 20, "{sent} of 30 sent into a fleet that takes three times as long as alone");
}

/// Recent reports show that few threads run, whether grants are heeded or not.
#[test]
fn fresh_reports_tell_that_slowness_is_no_load() {
    let mut gateway = gateway_whose_queries_spill(300.0, Some(0.0), true);
    let sent = (0..30).filter(|_| gateway.receive(0).1.is_some()).count();
    assert_eq!(sent, 30, "on 24 cores that report to be idle");
}

/// The slowdown that spills cause without load does not multiply the cores in use.
#[test]
fn what_slows_queries_down_without_load_makes_no_crowd_of_cores_in_use() {
    let mut gateway = gateway_whose_queries_spill(200.0, Some(0.0), false);
    // The next report is not averaged with the earlier ones.
    gateway.advance(1_000.0);
    for n in 0..4 {
        let report = LoadReport { util: Some(0.9), ..LoadReport::default() };
        gateway.run_cycle(&[Event::HealthChecked {
            engine: engine(n),
            ok: true,
            elapsed: 1.0,
            report: Some(report),
        }]);
    }
    let sent = (0..8).filter(|_| gateway.receive(0).1.is_some()).count();
    assert_eq!(sent, 8, "nine cores of ten in use, one thread each");
}
