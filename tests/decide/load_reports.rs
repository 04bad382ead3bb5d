//! The estimate of engine load from load reports, health check durations and query latencies.

use crate::common::{engine, outcome, settings as default_settings};
use crate::harness::TestGateway;
use starlingplank::interface::*;

#[test]
fn invalid_load_reports_and_a_stopped_clock_leave_the_gateway_usable() {
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

/// Where engines send no load reports, the duration of health checks shows which engines are overloaded.
#[test]
fn slow_health_check_marks_an_engine_as_overloaded() {
    let mut settings = default_settings();
    settings.may_check_health = true;
    let mut gateway = TestGateway::new(settings, 6);
    let health_checked =
        |n: usize, elapsed| Event::HealthChecked { engine: engine(n), ok: true, elapsed, report: None };
    // Engines of the other zone have a long round trip, so their health checks take long although they are idle.
    let mut events: Vec<Event> =
        (0..6).map(|n| health_checked(n, if n % 2 == 1 { 3.0 } else { 0.6 })).collect();
    events.extend([health_checked(0, 3.0), health_checked(2, 0.6), health_checked(4, 3.0)]);
    gateway.now += 5.0;
    gateway.run_cycle(&events);
    let sent_to = gateway.receive(0).1.expect("sent");
    assert!(sent_to != engine(0) && sent_to != engine(4), "sent to an overloaded engine: {sent_to:?}");
    // If the health checks of all engines show a load far above any limit, one of hundreds of gateways sends nothing.
    let mut settings = default_settings();
    (settings.may_check_health, settings.gateways) = (true, 200);
    let mut gateway = TestGateway::new(settings, 6);
    gateway.run_cycle(&(0..6).map(|n| health_checked(n, 0.6)).collect::<Vec<_>>());
    for _ in 0..60 {
        gateway.now += 50.0;
        gateway.run_cycle(&(0..6).map(|n| health_checked(n, 3.0)).collect::<Vec<_>>());
    }
    assert!(gateway.receive(1).1.is_none(), "sent to overloaded engines");
}

/// Cores are idle while all queries wait for disks. A low reported utilization must therefore not hide an overload: fewer
/// requests are sent where queries do not end than where they end fast.
#[test]
fn low_utilization_with_stuck_queries_counts_as_overload() {
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
    let (fast, stuck) = (sent(800.0), sent(9_999.0));
    assert!(fast > stuck, "{fast} sent where queries end, {stuck} where none ends");
}

/// Returns a gateway in front of 24 idle cores whose queries spill to disk: each takes `elapsed` for 100 ms of work.
/// `utilization` is the utilization that engines report, `None` if they send no load reports. `grants` is whether they support
/// memory grants.
fn gateway_whose_queries_spill(elapsed: Milliseconds, utilization: Option<f64>, grants: bool) -> TestGateway {
    let mut settings = default_settings();
    settings.supports_memory_grants = grants;
    settings.gateways = 1;
    settings.classes[0].latency_objective = 2_000.0;
    let mut gateway = TestGateway::new(settings, 4);
    for _ in 0..400 {
        let (id, sent_to) = gateway.receive(0);
        gateway.advance(elapsed);
        if let Some(util) = utilization {
            let report = Some(LoadReport { util: Some(util), ..LoadReport::default() });
            let health_checked =
                |n| Event::HealthChecked { engine: engine(n), ok: true, elapsed: 1.0, report };
            gateway.run_cycle(&(0..4).map(health_checked).collect::<Vec<_>>());
        }
        let ended = Event::Outcome {
            id: RequestId(id),
            attempt: 0,
            engine: sent_to.expect("sent, as few threads run"),
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

/// Queries that spill take three times their unloaded latency although few threads run. The fleet has free capacity, and
/// the gateway must not mistake the slowdown for load.
#[test]
fn slowdown_by_spills_does_not_reduce_the_capacity_of_the_fleet() {
    let mut gateway = gateway_whose_queries_spill(300.0, None, false);
    let sent = (0..30).filter(|_| gateway.receive(0).1.is_some()).count();
    assert_eq!(sent, 30, "on 24 cores, with a limit of one and a half threads per core");
}

/// Without load reports the number of running threads is unknown. Where engines support memory grants, a slowdown then
/// counts as load.
#[test]
fn slowdown_counts_as_load_if_engines_support_grants_and_send_no_load_reports() {
    let mut gateway = gateway_whose_queries_spill(300.0, None, true);
    let sent = (0..30).filter(|_| gateway.receive(0).1.is_some()).count();
    assert!(sent <= 20, "{sent} of 30 sent to a fleet that takes three times its unloaded latency");
}

/// Recent load reports show that few threads run, so a slowdown does not count as load even if engines support memory
/// grants.
#[test]
fn slowdown_does_not_count_as_load_if_recent_reports_show_idle_engines() {
    let mut gateway = gateway_whose_queries_spill(300.0, Some(0.0), true);
    let sent = (0..30).filter(|_| gateway.receive(0).1.is_some()).count();
    assert_eq!(sent, 30, "on 24 cores that report no load");
}

/// The slowdown that spills cause must not multiply the estimated number of cores in use.
#[test]
fn slowdown_by_spills_does_not_multiply_the_reported_utilization() {
    let mut gateway = gateway_whose_queries_spill(200.0, Some(0.0), false);
    // The earlier reports expire, so that the next one is not averaged with them.
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
    assert_eq!(sent, 8, "nine of ten cores are in use, with one thread each");
}
