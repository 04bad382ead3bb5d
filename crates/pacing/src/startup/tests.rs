use super::*;

/// Simulates a fleet that starts at once and in which each gateway checks the health of ten engines. Returns the greatest number
/// of checks of one engine within 100 ms.
fn max_checks_in_100_ms(gateways: usize, indexed: bool) -> usize {
    let engines = gateways / 12;
    let mut rng = fastrand::Rng::with_seed(5);
    let mut checks = vec![std::collections::BTreeMap::<u64, usize>::new(); engines];
    for g in 0..gateways {
        let mut initial = InitialHealthChecks::new(gateways, indexed.then_some(g as u64), g as u64, 0.0);
        let engine = |n: usize| (g * 7 + n) % engines;
        let mut engines_to_check =
            (0..10).filter_map(|n| initial.request(engine(n), 0.0)).collect::<Vec<_>>();
        assert!(initial.release(initial.release_at - 0.1).is_empty() || initial.release_at == 0.0);
        engines_to_check.extend(initial.release(initial.release_at));
        assert_eq!(engines_to_check.len(), 10, "no check is lost");
        for e in engines_to_check {
            *checks[e].entry((initial.release_at + rng.f64()) as u64 / 100).or_default() += 1;
        }
    }
    checks.iter().flat_map(|a| a.values().copied()).max().unwrap_or(0)
}

#[test]
fn health_checks_of_hundreds_of_gateways_are_spread_over_time() {
    for indexed in [true, false] {
        // With 300 gateways, 120 of them check the same engine within 300 ms.
        assert!(max_checks_in_100_ms(300, indexed) < 60, "{}", max_checks_in_100_ms(300, indexed));
        assert!(max_checks_in_100_ms(1_000, indexed) < 30, "{}", max_checks_in_100_ms(1_000, indexed));
    }
}

#[test]
fn single_gateway_defers_no_check_and_delay_is_bounded_by_the_fleet_size() {
    let mut single = InitialHealthChecks::new(1, Some(0), 1, 5.0);
    assert_eq!(single.request("a", 5.0), Some("a"));
    for gateway_index in 0..3 {
        assert!(InitialHealthChecks::<u8>::new(3, Some(gateway_index), 1, 0.0).release_at <= 3.0);
    }
    assert!(InitialHealthChecks::<u8>::new(100_000, None, 1, 0.0).release_at <= 2_000.0);
}

#[test]
fn engine_requested_twice_is_checked_once() {
    let mut initial = InitialHealthChecks::new(300, Some(299), 1, 0.0);
    assert!(
        initial.request("a", 0.0).is_none()
            && initial.request("a", 1.0).is_none()
            && initial.request("b", 1.0).is_none()
    );
    assert_eq!(initial.release(300.0), ["a", "b"]);
    assert_eq!(initial.request("c", 300.0), Some("c"));
}
