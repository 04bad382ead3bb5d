use super::*;
use crate::types::EngineId;

fn engines(count: usize) -> Vec<u64> {
    (0..count).map(|i| EngineId(format!("s-{i:05}").as_str().into()).stable_hash()).collect()
}

fn weights(data_set: u64, engines: &[u64], is_load: bool) -> Vec<f64> {
    engines.iter().map(|engine| preference(DataSet(data_set), *engine, is_load)).collect()
}

/// Returns the percentage of pairs of a reader and a load, distributed by these weights, that are sent to the same
/// engine.
fn shared_engine_percentage(readers: &[f64], loads: &[f64]) -> f64 {
    let (all_readers, all_loads): (f64, f64) = (readers.iter().sum(), loads.iter().sum());
    readers.iter().zip(loads).map(|(r, l)| 100.0 * r / all_readers * l / all_loads).sum()
}

#[test]
fn readers_and_loads_of_a_data_set_rarely_share_an_engine() {
    let engines = engines(8);
    let even = vec![1.0; 8];
    let mean = |loads: &dyn Fn(u64) -> Vec<f64>| {
        (0..200)
            .map(|data_set| shared_engine_percentage(&weights(data_set, &engines, false), &loads(data_set)))
            .sum::<f64>()
            / 200.0
    };
    let (apart, unordered) = (mean(&|data_set| weights(data_set, &engines, true)), mean(&|_| even.clone()));
    assert!(
        apart < unordered / 2.0,
        "{apart:.1} in a hundred meet, {unordered:.1} without an order of the loads"
    );
}

#[test]
fn over_all_data_sets_every_engine_has_an_even_share() {
    let engines = engines(8);
    for is_load in [false, true] {
        let mut shares = vec![0.0; engines.len()];
        for data_set in 0..2_000 {
            let weights = weights(data_set, &engines, is_load);
            let all: f64 = weights.iter().sum();
            shares.iter_mut().zip(&weights).for_each(|(share, weight)| *share += weight / all / 2_000.0);
        }
        assert!(shares.iter().all(|share| (0.1..0.15).contains(share)), "{shares:?}");
    }
}

#[test]
fn every_engine_has_at_least_the_minimum_weight() {
    let engines = engines(500);
    for is_load in [false, true] {
        let weights = weights(7, &engines, is_load);
        assert!(weights.iter().all(|weight| (MIN_WEIGHT..=1.0).contains(weight)));
    }
}
