//! Creates snapshots for tests.
#![allow(dead_code)]

use starlingplank_persistence::snapshot_records::{
    Snapshot, StoredBand, StoredClass, StoredEngine, StoredFleet,
};

fn band(level: f64, samples: f64, mean: f64, variance: f64) -> StoredBand {
    StoredBand { level, samples, mean, variance }
}

/// Creates a snapshot that was taken at `taken`, with this number of engines.
pub(crate) fn snapshot(taken: f64, engines: usize) -> Snapshot {
    Snapshot {
        taken_at: taken,
        gateway: "n0".into(),
        concurrency_limit: 1.75,
        fleet: StoredFleet {
            own_threads: 3.0,
            all_threads: 9.0,
            threads_per_query: 1.25,
            median_slowdown: 1.0,
            speed: 0.9,
            ..StoredFleet::default()
        },
        classes: vec![StoredClass {
            name: "lookup".into(),
            threads: 1.0,
            confirmed_at: Some(taken - 40.0),
            bands: vec![band(0.25, 31.0, 210.0, 900.0), band(1.0, 4.5, 260.0, 2_500.0)],
            best_latency: 200.0,
            unloaded_latency: 190.0,
            control_steps: 40.0,
            time_left: 5_980.0,
            mean_work_estimate: 250.0,
            arrivals: 120.0,
            runtime: 30_000.0,
            grant_factor: 1.6,
        }],
        engines: (0..engines)
            .map(|n| StoredEngine {
                id: format!("s-{n}"),
                address: format!("127.0.0.1:{}", 9000 + n),
                confirmed_at: Some(taken - 100.0),
                reported_at: Some(taken - 100.0),
                slowdown: 1.0 + n as f64,
                error_rate: 0.1,
                other_threads: 4.0,
                ..StoredEngine::default()
            })
            .collect(),
    }
}
