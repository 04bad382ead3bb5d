//! The concurrency limit.

use crate::common::settings as default_settings;
use crate::harness::TestGateway;

#[test]
fn the_bound_starts_at_one_and_a_half_and_follows_utility() {
    let mut settings = default_settings();
    settings.classes[0].latency_objective_stretch = 0.0;
    settings.gateways = 1;
    let mut gateway = TestGateway::new(settings, 4);
    assert_eq!(gateway.balancer.concurrency_limit(), 1.5);
    // 50 ms is far within the objective of 500 ms at every level, but only low levels have samples: the limit stays.
    gateway.serve(100, 0, 50.0);
    assert_eq!(gateway.balancer.concurrency_limit(), 1.5);
    // Once answers come from busier engines in the same time, the limit follows, up to a level past those with samples.
    gateway.serve_in_rounds(40, 60, 50.0);
    assert!(gateway.balancer.concurrency_limit() > 1.5, "{}", gateway.balancer.concurrency_limit());
    // Where latency exceeds the objective at all levels, the limit falls to one thread a core.
    for took in [200.0, 400.0, 800.0, 1_600.0, 2_500.0] {
        gateway.serve_in_rounds(30, 10, took);
    }
    assert_eq!(gateway.balancer.concurrency_limit(), 1.0);
    // It recovers within a minute of ordinary answers, to a level below its start.
    gateway.serve(1_000, 0, 50.0);
    assert!(gateway.balancer.concurrency_limit() >= 1.25, "{}", gateway.balancer.concurrency_limit());
}
