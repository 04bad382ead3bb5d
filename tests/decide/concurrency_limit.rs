//! The concurrency limit of an engine, in threads per core.

use crate::common::settings as default_settings;
use crate::harness::TestGateway;

#[test]
fn limit_starts_at_one_and_a_half_and_follows_measured_latency() {
    let mut settings = default_settings();
    settings.classes[0].latency_objective_stretch = 0.0;
    settings.gateways = 1;
    let mut gateway = TestGateway::new(settings, 4);
    assert_eq!(gateway.balancer.concurrency_limit(), 1.5);
    // 50 ms is far below the latency objective of 500 ms, but only low load levels have samples: the limit stays.
    gateway.serve(100, 0, 50.0);
    assert_eq!(gateway.balancer.concurrency_limit(), 1.5);
    // Once busier engines answer within the same time, the limit rises, up to one level above those with samples.
    gateway.serve_in_rounds(40, 60, 50.0);
    assert!(gateway.balancer.concurrency_limit() > 1.5, "{}", gateway.balancer.concurrency_limit());
    // If the latency exceeds the objective at all load levels, the limit falls to one thread per core.
    for duration in [200.0, 400.0, 800.0, 1_600.0, 2_500.0] {
        gateway.serve_in_rounds(30, 10, duration);
    }
    assert_eq!(gateway.balancer.concurrency_limit(), 1.0);
    // Within a minute of ordinary answers the limit recovers to a level below its initial value.
    gateway.serve(1_000, 0, 50.0);
    assert!(gateway.balancer.concurrency_limit() >= 1.25, "{}", gateway.balancer.concurrency_limit());
}
