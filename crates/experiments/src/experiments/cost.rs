//! `cost`: measures the cost of snapshots and of the idempotency log under load, and the time to restore a snapshot of many engines. The
//! baseline runs without snapshots and log. Slow disks are not covered.

use super::seconds;
use crate::harness::clients::ConnectionPool;
use crate::harness::configuration::operator_file;
use crate::harness::engines::Engines;
use crate::harness::gateway::GatewayProcess;
use crate::harness::workload::{arrivals, CLASSES};
use crate::harness::{knowledge_block, Failure, RunOptions};
use crate::report::ExperimentResult;
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use starlingplank_persistence::recovery::{self, EndpointIdentity, RestoredState};
use starlingplank_persistence::snapshot;
use starlingplank_persistence::snapshot_records::{Snapshot, StoredBand, StoredClass, StoredEngine};
use starlingplank_test_doubles::capacity_model::EngineSpec;
use starlingplank_test_doubles::thrift::Answer;
use tokio::time::{sleep, Instant};

const ENGINES: usize = 60;
const REQUESTS_PER_SECOND: f64 = 200.0;
/// Duration of the measured arrivals, and time from the start of the gateway until they begin, in seconds. A newly started gateway
/// delays keyed requests in that time.
const MEASURED_TIME: f64 = 60.0;
const WARM_UP_TIME: f64 = 13.0;
/// Maximum latency of the histogram, in microseconds, and its number of significant digits.
const MAX_LATENCY_US: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Number of engines in the snapshot that is restored, and its maximum size.
const RESTORED_ENGINES: usize = 1_000;
const MAX_SNAPSHOT_BYTES: usize = 1 << 24;
/// Time at which that snapshot was taken, and time from then until it is restored, in milliseconds.
const TAKEN_AT: f64 = 1e12;
const DOWNTIME: f64 = 100.0;

/// Metrics of one run.
struct Cost {
    /// Latencies of the served requests, in microseconds.
    latencies: Histogram<u64>,
    longest_cycle_ms: f64,
    greatest_delay_ms: f64,
    snapshot_bytes: f64,
    key_bytes: f64,
    served: usize,
    requests: usize,
}

impl Cost {
    fn json(&self) -> Value {
        let latency_ms = |quantile: f64| self.latencies.value_at_quantile(quantile) as f64 / 1000.0;
        json!({
            "longest_turn_ms": self.longest_cycle_ms,
            "latest_ms": self.greatest_delay_ms,
            "p50_ms": latency_ms(0.5),
            "p99_ms": latency_ms(0.99),
            "served": self.served,
            "requests": self.requests,
        })
    }
}

async fn run_once(options: &RunOptions, name: &str, is_persistent: bool) -> Result<Cost, Failure> {
    let engines = Engines::start(vec![EngineSpec::default(); ENGINES], options.seed)?;
    let knowledge = is_persistent.then(|| knowledge_block(&options.subfolder(name), "  every = \"1s\""));
    let file = operator_file(&engines, options.seed, knowledge.as_deref());
    let pool = ConnectionPool::new(options.seed);
    let mut gateway = GatewayProcess::start(options, name, &file).await?;
    pool.open(gateway.address);
    sleep(seconds(WARM_UP_TIME)).await;
    let mean_work: f64 = CLASSES.iter().map(|class| class.arrival_share * class.mean_work).sum::<f64>();
    let cores = REQUESTS_PER_SECOND * (mean_work / 1000.0);
    let jobs = arrivals(options.seed, cores, MEASURED_TIME * 1000.0, CLASSES.len());
    let completed = pool.send_all(jobs, Instant::now()).await;
    gateway.terminate().await?;
    let mut latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)?;
    let served = completed.iter().filter(|request| request.answer == Some(Answer::Served));
    for request in served.clone() {
        // The execution time of the requests is part of the latency, and equal in both runs.
        latencies.record((request.latency * 1000.0) as u64)?;
    }
    let number_if_persistent = |text: &str| if is_persistent { gateway.number_after(text) } else { Ok(0.0) };
    Ok(Cost {
        longest_cycle_ms: gateway.number_after("loop: longest cycle ")?,
        greatest_delay_ms: gateway.number_after(" ms, largest timer delay ")?,
        snapshot_bytes: number_if_persistent(" snapshot_bytes=")?,
        key_bytes: number_if_persistent(" key_bytes=")?,
        served: served.count(),
        requests: completed.len(),
        latencies,
    })
}

/// Returns a snapshot with the given number of engines and with three classes.
fn large_snapshot(engines: usize) -> Snapshot {
    let class = |number: u32| StoredClass {
        name: format!("class-{number}"),
        bands: (1..=12)
            .map(|band| StoredBand {
                level: f64::from(band) * 0.25,
                samples: 9.0,
                mean: 200.0,
                variance: 900.0,
            })
            .collect(),
        ..StoredClass::default()
    };
    let engine = |number: usize| StoredEngine {
        id: engine_id(number),
        address: format!("10.0.{}.{}:9000", number / 250, number % 250),
        confirmed_at: Some(TAKEN_AT - 50.0),
        reported_at: Some(TAKEN_AT - 50.0),
        slowdown: 1.1,
        other_threads: 3.0,
        ..StoredEngine::default()
    };
    Snapshot {
        taken_at: TAKEN_AT,
        gateway: "lab".into(),
        concurrency_limit: 1.5,
        classes: (0..3).map(class).collect(),
        engines: (0..engines).map(engine).collect(),
        ..Snapshot::default()
    }
}

fn engine_id(number: usize) -> String {
    format!("engine-{number:05}")
}

/// Time to restore a snapshot, and the size of the snapshot.
struct RestoreTime {
    milliseconds: f64,
    bytes: usize,
}

/// Restores a snapshot with the given number of engines, all of which are in the endpoint list, and measures the time.
fn restore(engines: usize) -> Result<RestoreTime, Failure> {
    let bytes = snapshot::encode(&large_snapshot(engines), MAX_SNAPSHOT_BYTES)?;
    let member = |number: usize| EndpointIdentity { id: engine_id(number), ..EndpointIdentity::default() };
    let members: Vec<_> = (0..engines).map(member).collect();
    let now = TAKEN_AT + DOWNTIME;
    let started_at = std::time::Instant::now();
    let snapshot = snapshot::decode(&bytes)?;
    let mut restored =
        RestoredState::new(&snapshot, now, recovery::DEFAULT_SETTINGS).map_err(|error| error.to_string())?;
    let learned = restored.restore(&members, now).ok_or("the snapshot was not restored")?;
    let milliseconds = started_at.elapsed().as_secs_f64() * 1000.0;
    if learned.engines.len() != engines {
        return Err("the number of restored engines differs from that of the snapshot".into());
    }
    Ok(RestoreTime { milliseconds, bytes: bytes.len() })
}

/// Runs the experiment and its baseline concurrently, then restores a large snapshot.
pub(super) async fn run(options: &RunOptions) -> Result<ExperimentResult, Failure> {
    let (on, off) = tokio::join!(run_once(options, "on", true), run_once(options, "off", false));
    let (on, off) = (on?, off?);
    let restored = restore(RESTORED_ENGINES)?;
    let minutes = (MEASURED_TIME + WARM_UP_TIME) / 60.0;
    let json = json!({
        "on": on.json(),
        "baseline_off": off.json(),
        "snapshot_bytes_per_minute": on.snapshot_bytes / minutes,
        "key_bytes_per_minute": on.key_bytes / minutes,
        "read_1000_engines_ms": restored.milliseconds,
        "read_1000_engines_bytes": restored.bytes,
    });
    Ok(ExperimentResult { json, chart: None })
}
