//! `cold-return`: half of the engines and the gateway stop and restart together. The engines are cold, and the gateway's snapshot
//! records them as warm. Measures the work that the cold engines receive as a share of their budget. One baseline trusts the snapshot
//! for an hour, the other has no snapshot.

use super::seconds;
use crate::harness::clients::{CompletedRequest, ConnectionPool};
use crate::harness::configuration::operator_file;
use crate::harness::engines::Engines;
use crate::harness::gateway::GatewayProcess;
use crate::harness::workload::{arrivals, Job};
use crate::harness::{knowledge_block, Failure, RunOptions};
use crate::report::ExperimentResult;
use serde_json::{json, Value};
use starlingplank_test_doubles::capacity_model::EngineSpec;
use starlingplank_test_doubles::engine::Engine;
use tokio::time::{sleep, Instant};

const ENGINES: usize = 4;
/// Number of engines that are stopped and restarted.
const RESTARTED_ENGINES: usize = 2;
/// Number of classes that arrive: those without idempotency keys.
const CLASSES: usize = 2;
/// Work that arrives before and after the outage, in cores, and the duration of the arrivals, in milliseconds.
const CORES_BEFORE: f64 = 18.0;
const SPAN_BEFORE: f64 = 16_000.0;
const CORES_AFTER: f64 = 30.0;
const SPAN_AFTER: f64 = 14_000.0;
/// Arrivals due within this span after the outage, in milliseconds, are compressed to a tenth of it, as clients that waited during the
/// outage send their requests at once.
const BACKLOG_SPAN: f64 = 4_000.0;
const BACKLOG_SPEEDUP: f64 = 0.1;
/// Time by which later arrivals are moved forward, in milliseconds, so that they follow the compressed ones directly.
const BACKLOG_SHIFT: f64 = 3_600.0;
/// Time between the last answer and the kill of the gateway, and time for which the engines are stopped, in seconds.
const SETTLE_TIME: f64 = 0.5;
const OUTAGE: f64 = 11.0;

/// Metrics of one run.
struct ColdReturnResult {
    /// Maximum work that a restarted engine received as a share of its budget, in its first second and in its first two seconds.
    first_second_ratio: f64,
    two_seconds_ratio: f64,
    /// Number of engines that collapsed.
    collapsed: usize,
    /// Time of the first collapse, in milliseconds after the restart of the engines.
    first_collapse_ms: Option<f64>,
    /// Share of the requests after the restart that met their latency objective.
    share_in_objective: f64,
}

impl ColdReturnResult {
    fn json(&self) -> Value {
        json!({
            "ratio_first_second": self.first_second_ratio,
            "ratio_first_two_seconds": self.two_seconds_ratio,
            "fallen": self.collapsed,
            "fell_at_ms": self.first_collapse_ms,
            "share_in_aim": self.share_in_objective,
        })
    }
}

/// Returns the arrivals after the outage: a burst of clients that waited, followed by arrivals at the regular rate.
fn arrivals_after_outage(seed: u64) -> Vec<Job> {
    let mut jobs = arrivals(seed, CORES_AFTER, SPAN_AFTER, CLASSES);
    for job in &mut jobs {
        if job.at < BACKLOG_SPAN {
            job.at *= BACKLOG_SPEEDUP;
        } else {
            job.at -= BACKLOG_SHIFT;
        }
    }
    jobs
}

async fn run_once(
    options: &RunOptions,
    name: &str,
    knowledge: Option<&str>,
) -> Result<ColdReturnResult, Failure> {
    // Engines do not report their load, so that the gateway detects that they are cold only from slow answers.
    let spec = EngineSpec { reports_load: false, ..EngineSpec::default() };
    let engines = Engines::start(vec![spec; ENGINES], options.seed)?;
    let knowledge = knowledge.map(|lines| knowledge_block(&options.subfolder(name), lines));
    let file = operator_file(&engines, options.seed, knowledge.as_deref())
        .replace("probes = true", "probes = false")
        .replace("reports = \"answers\"", "reports = \"none\"");
    let pool = ConnectionPool::new(options.seed);
    let mut gateway = GatewayProcess::start(options, name, &file).await?;
    pool.open(gateway.address);
    pool.send_all(arrivals(options.seed, CORES_BEFORE, SPAN_BEFORE, CLASSES), Instant::now()).await;
    sleep(seconds(SETTLE_TIME)).await;
    gateway.kill();
    pool.close();
    let restarted = &engines.all[..RESTARTED_ENGINES];
    restarted.iter().for_each(Engine::stop);
    sleep(seconds(OUTAGE)).await;
    restarted.iter().for_each(Engine::restart);
    let restarted_at = engines.fleet.now();
    let gateway = GatewayProcess::start(options, name, &file).await?;
    pool.open(gateway.address);
    let completed = pool.send_all(arrivals_after_outage(options.seed + 1), Instant::now()).await;
    Ok(evaluate(&engines, restarted_at, &completed))
}

fn evaluate(engines: &Engines, restarted_at: f64, completed: &[CompletedRequest]) -> ColdReturnResult {
    let ratio = |span: f64| {
        let restarted = engines.all[..RESTARTED_ENGINES].iter();
        let ratios = restarted.map(|engine| {
            engine.with_model(|model| {
                model.work_received(restarted_at, span) / model.budget(restarted_at, span)
            })
        });
        ratios.fold(0.0, f64::max)
    };
    let collapsed_at = engines.all.iter().filter_map(|engine| engine.with_model(|model| model.collapsed_at));
    let collapses: Vec<f64> = collapsed_at.map(|at| at - restarted_at).collect();
    let in_objective = completed.iter().filter(|request| request.meets_objective()).count();
    ColdReturnResult {
        first_second_ratio: ratio(1_000.0),
        two_seconds_ratio: ratio(2_000.0),
        collapsed: collapses.len(),
        first_collapse_ms: collapses.into_iter().reduce(f64::min),
        share_in_objective: in_objective as f64 / completed.len().max(1) as f64,
    }
}

/// Runs the experiment and its baselines concurrently.
pub(super) async fn run(options: &RunOptions) -> Result<ExperimentResult, Failure> {
    let (with_aging, trusted, without_snapshot) = tokio::join!(
        run_once(options, "aged", Some("")),
        run_once(options, "believed", Some("  restart_within = \"1h\"")),
        run_once(options, "none", None),
    );
    let (with_aging, trusted, without_snapshot) = (with_aging?, trusted?, without_snapshot?);
    let json = json!({
        "worst_cold_ratio": with_aging.first_second_ratio.max(with_aging.two_seconds_ratio),
        "fallen": with_aging.collapsed,
        "aged": with_aging.json(),
        "baseline_believed": trusted.json(),
        "baseline_without_knowledge": without_snapshot.json(),
    });
    Ok(ExperimentResult { json, chart: None })
}
