//! Snapshots for tests.
#![allow(dead_code)]

use starlingplank_persistence::snapshot_records::{Class, Engine, Fleet, Snapshot};

pub(crate) fn snapshot(taken: f64, engines: usize) -> Snapshot {
    Snapshot {
        taken,
        gateway: "n0".into(),
        bound: 1.75,
        fleet: Fleet {
            own_seen: 3.0,
            all_seen: 9.0,
            width: 1.25,
            usual_slow: 1.0,
            speed: 0.9,
            ..Fleet::default()
        },
        classes: vec![Class {
            name: "lookup".into(),
            threads: 1.0,
            confirmed: Some(taken - 40.0),
            bands: vec![(0.25, 31.0, 210.0, 900.0), (1.0, 4.5, 260.0, 2_500.0)],
            best: 200.0,
            usual: 190.0,
            steps: 40.0,
            time_left: 5_980.0,
            size: 250.0,
            arrivals: 120.0,
            runtime: 30_000.0,
            grant: 1.6,
        }],
        engines: (0..engines)
            .map(|n| Engine {
                id: format!("s-{n}"),
                address: format!("127.0.0.1:{}", 9000 + n),
                confirmed: Some(taken - 100.0),
                heard: Some(taken - 100.0),
                slow: 1.0 + n as f64,
                errors: 0.1,
                others: 4.0,
                ..Engine::default()
            })
            .collect(),
    }
}
