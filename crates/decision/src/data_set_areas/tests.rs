use super::*;
use crate::types::EngineId;

fn engines(count: usize) -> Vec<u64> {
    (0..count).map(|i| EngineId(format!("s-{i:05}").as_str().into()).stable_hash()).collect()
}

fn weights(area: u64, engines: &[u64], is_load: bool) -> Vec<f64> {
    engines.iter().map(|engine| preference(DataSet(area), *engine, is_load)).collect()
}

/// Of the queries that are spread by the weights, how many in a hundred meet on one engine.
fn meetings(readers: &[f64], loads: &[f64]) -> f64 {
    let (all_readers, all_loads): (f64, f64) = (readers.iter().sum(), loads.iter().sum());
    readers.iter().zip(loads).map(|(r, l)| 100.0 * r / all_readers * l / all_loads).sum()
}

#[test]
fn readers_of_an_area_and_its_loads_seldom_meet() {
    let engines = engines(8);
    let even = vec![1.0; 8];
    let mean = |loads: &dyn Fn(u64) -> Vec<f64>| {
        (0..200).map(|area| meetings(&weights(area, &engines, false), &loads(area))).sum::<f64>() / 200.0
    };
    let (apart, unordered) = (mean(&|area| weights(area, &engines, true)), mean(&|_| even.clone()));
    assert!(
        apart < unordered / 2.0,
        "{apart:.1} in a hundred meet, {unordered:.1} without an order of the loads"
    );
}

#[test]
fn over_all_areas_every_engine_has_its_even_part() {
    let engines = engines(8);
    for is_load in [false, true] {
        let mut parts = vec![0.0; engines.len()];
        for area in 0..2_000 {
            let weights = weights(area, &engines, is_load);
            let all: f64 = weights.iter().sum();
            parts.iter_mut().zip(&weights).for_each(|(part, weight)| *part += weight / all / 2_000.0);
        }
        assert!(parts.iter().all(|part| (0.1..0.15).contains(part)), "{parts:?}");
    }
}

#[test]
fn no_engine_is_out_of_reach() {
    let engines = engines(500);
    for is_load in [false, true] {
        let weights = weights(7, &engines, is_load);
        assert!(weights.iter().all(|weight| (MIN_WEIGHT..=1.0).contains(weight)));
    }
}
