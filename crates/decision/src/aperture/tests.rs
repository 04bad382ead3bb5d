use super::*;

fn ids(n: usize) -> Vec<EngineId> {
    (0..n).map(|i| EngineId(format!("s-{i:05}").as_str().into())).collect()
}

fn sums(gateways: usize, engines: usize) -> (Vec<f64>, Vec<f64>) {
    let ids = ids(engines);
    let ids: Vec<&EngineId> = ids.iter().collect();
    let (mut by_engine, mut by_gateway) = (vec![0.0; engines], Vec::new());
    for gateway_index in 0..gateways {
        let a = Aperture::new(Some(gateway_index as u64), gateways, 0);
        let shares = a.shares(&ids, a.base_width(engines));
        by_gateway.push(shares.iter().sum());
        by_engine.iter_mut().zip(&shares).for_each(|(sum, s)| *sum += s);
    }
    (by_engine, by_gateway)
}

#[test]
fn engines_and_gateways_have_even_shares() {
    for (gateways, engines) in [(100, 30), (100, 60), (7, 60), (300, 11), (3, 1_000), (1, 40), (97, 10)] {
        let (by_engine, by_gateway) = sums(gateways, engines);
        let even = by_engine.iter().sum::<f64>() / engines as f64;
        assert!(
            by_engine.iter().all(|s| (s - even).abs() < 1.0 + 1e-6),
            "{gateways}x{engines}: {by_engine:?}"
        );
        let covered = by_gateway[0];
        assert!(
            by_gateway.iter().all(|s| (s - covered).abs() < 1e-6),
            "{gateways}x{engines}: {by_gateway:?}"
        );
        assert!(covered + 1e-6 >= ENGINES_PER_GATEWAY.min(engines as f64), "{gateways}x{engines}: {covered}");
    }
}

#[test]
fn every_gateway_covers_a_small_fleet_completely() {
    for engines in 1..=10 {
        assert!(sums(100, engines).0.iter().all(|s| (s - 100.0).abs() < 1e-6));
    }
}

#[test]
fn removal_of_an_engine_changes_few_other_shares() {
    let ids = ids(60);
    let all: Vec<&EngineId> = ids.iter().collect();
    let less: Vec<&EngineId> = ids.iter().skip(1).collect();
    let mut lost = 0;
    for gateway_index in 0..100 {
        let a = Aperture::new(Some(gateway_index), 100, 0);
        let before = a.shares(&all, a.base_width(60));
        let after = a.shares(&less, a.base_width(59));
        lost += before[1..].iter().zip(&after).filter(|(b, a)| **b > 0.0 && **a == 0.0).count();
    }
    assert!(lost <= 100, "{lost} of some 1,000 engines met were dropped");
}

#[test]
fn without_an_index_the_start_is_random() {
    let starts: Vec<f64> = (0..50).map(|seed| Aperture::new(None, 50, seed).start).collect();
    assert!(starts.iter().all(|start| (0.0..1.0).contains(start)));
    assert!(starts.iter().filter(|start| **start < 0.5).count().abs_diff(25) < 15, "{starts:?}");
}
