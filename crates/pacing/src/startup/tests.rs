use super::*;

/// Each of a fleet that starts at once meets ten of its engines; the most that one is asked in a tenth of a second.
fn worst(gateways: usize, ranked: bool) -> usize {
    let engines = gateways / 12;
    let mut dice = fastrand::Rng::with_seed(5);
    let mut asked = vec![std::collections::BTreeMap::<u64, usize>::new(); engines];
    for g in 0..gateways {
        let mut first = InitialHealthChecks::new(gateways, ranked.then_some(g as u64), g as u64, 0.0);
        let engine = |n: usize| (g * 7 + n) % engines;
        let mut at_once = (0..10).filter_map(|n| first.request(engine(n), 0.0)).collect::<Vec<_>>();
        assert!(first.release(first.release_at - 0.1).is_empty() || first.release_at == 0.0);
        at_once.extend(first.release(first.release_at));
        assert_eq!(at_once.len(), 10, "none is lost");
        for e in at_once {
            *asked[e].entry((first.release_at + dice.f64()) as u64 / 100).or_default() += 1;
        }
    }
    asked.iter().flat_map(|a| a.values().copied()).max().unwrap_or(0)
}

#[test]
fn engine_is_met_by_hundreds_one_after_another() {
    for ranked in [true, false] {
        // 300 gateways of which 120 meet an engine, over 300 ms.
        assert!(worst(300, ranked) < 60, "{}", worst(300, ranked));
        assert!(worst(1_000, ranked) < 30, "{}", worst(1_000, ranked));
    }
}

#[test]
fn gateway_alone_waits_for_nothing_and_a_fleet_of_three_hardly() {
    let mut alone = InitialHealthChecks::new(1, Some(0), 1, 5.0);
    assert_eq!(alone.request("a", 5.0), Some("a"));
    for gateway_index in 0..3 {
        assert!(InitialHealthChecks::<u8>::new(3, Some(gateway_index), 1, 0.0).release_at <= 3.0);
    }
    assert!(InitialHealthChecks::<u8>::new(100_000, None, 1, 0.0).release_at <= 2_000.0);
}

#[test]
fn engine_that_is_wanted_twice_is_probed_once() {
    let mut first = InitialHealthChecks::new(300, Some(299), 1, 0.0);
    assert!(
        first.request("a", 0.0).is_none()
            && first.request("a", 1.0).is_none()
            && first.request("b", 1.0).is_none()
    );
    assert_eq!(first.release(300.0), ["a", "b"]);
    assert_eq!(first.request("c", 300.0), Some("c"));
}
