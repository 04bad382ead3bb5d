//! `warm-start`: a restart of the gateway while some engines are slow, failing or busy. Measures the share of requests within their
//! latency objective. The baseline restarts without a snapshot.

use super::seconds;
use crate::harness::clients::{CompletedRequest, ConnectionPool};
use crate::harness::configuration::operator_file;
use crate::harness::engines::Engines;
use crate::harness::gateway::GatewayProcess;
use crate::harness::workload::{arrivals, CLASSES};
use crate::harness::{knowledge_block, Failure, RunOptions};
use crate::report::{Chart, ExperimentResult, Series};
use serde_json::{json, Value};
use starlingplank_test_doubles::capacity_model::EngineSpec;
use starlingplank_test_doubles::thrift::Answer;
use std::collections::BTreeMap;
use tokio::time::{sleep, Instant};

/// Number of classes that arrive: those without idempotency keys.
const CLASS_COUNT: usize = 2;
/// Work that arrives, in cores, and duration of the arrivals before and after the restart, in milliseconds.
const CORES: f64 = 38.0;
const SPAN_BEFORE: f64 = 20_000.0;
const SPAN_AFTER: f64 = 60_000.0;
/// Time between the kill and the restart of the gateway, in seconds.
const DOWNTIME: f64 = 0.3;
/// Length of the first span after the restart that is reported, in milliseconds.
const FIRST_SPAN: f64 = 5_000.0;
/// Number of points of the chart, and time between them, in seconds.
const CHART_POINTS: u32 = 30;
const CHART_STEP: f64 = 2.0;

/// Returns the engines: a slow one, two healthy ones, a failing one, one that is busy with other work, and a healthy one.
fn specs() -> Vec<EngineSpec> {
    let healthy = EngineSpec::default();
    vec![
        EngineSpec { slowdown: 6.0, ..healthy.clone() },
        healthy.clone(),
        healthy.clone(),
        EngineSpec { error_share: 0.35, ..healthy.clone() },
        EngineSpec { background_threads: 60.0, ..healthy.clone() },
        healthy,
    ]
}

/// Runs one restart, with snapshots if `is_persistent`, and returns the requests after the restart.
async fn run_once(
    options: &RunOptions,
    name: &str,
    is_persistent: bool,
) -> Result<Vec<CompletedRequest>, Failure> {
    let engines = Engines::start(specs(), options.seed)?;
    let knowledge = is_persistent.then(|| knowledge_block(&options.subfolder(name), "  every = \"500ms\""));
    let file = operator_file(&engines, options.seed, knowledge.as_deref());
    let pool = ConnectionPool::new(options.seed);
    let mut gateway = GatewayProcess::start(options, name, &file).await?;
    pool.open(gateway.address);
    pool.send_all(arrivals(options.seed, CORES, SPAN_BEFORE, CLASS_COUNT), Instant::now()).await;
    gateway.kill();
    pool.close();
    sleep(seconds(DOWNTIME)).await;
    let gateway = GatewayProcess::start(options, name, &file).await?;
    pool.open(gateway.address);
    let jobs = arrivals(options.seed + 1, CORES, SPAN_AFTER, CLASS_COUNT);
    Ok(pool.send_all(jobs, Instant::now()).await)
}

/// Returns the share of the requests due in a span that met their latency objective.
fn share_in_objective<'a>(
    completed: impl IntoIterator<Item = &'a CompletedRequest>,
    from: f64,
    until: f64,
) -> f64 {
    let requests = completed.into_iter().filter(|request| request.job.at >= from && request.job.at < until);
    let requests: Vec<_> = requests.collect();
    let in_objective = requests.iter().filter(|request| request.meets_objective()).count();
    in_objective as f64 / requests.len().max(1) as f64
}

fn share_by_class(completed: &[CompletedRequest], until: f64) -> BTreeMap<&'static str, f64> {
    let classes = CLASSES[..CLASS_COUNT].iter().enumerate();
    let shares = classes.map(|(index, class)| {
        let of_class = completed.iter().filter(|request| request.job.class == index);
        (class.name, share_in_objective(of_class, 0.0, until))
    });
    shares.collect()
}

fn metrics(completed: &[CompletedRequest]) -> Value {
    let count = |is_counted: fn(Answer) -> bool| {
        completed.iter().filter(|request| request.answer.is_some_and(is_counted)).count()
    };
    json!({
        "in_aim_5s": share_in_objective(completed, 0.0, FIRST_SPAN),
        "in_aim_60s": share_in_objective(completed, 0.0, SPAN_AFTER),
        "in_aim_5s_by_class": share_by_class(completed, FIRST_SPAN),
        "refused": count(|answer| matches!(answer, Answer::Rejected(_))),
        "failed": count(|answer| answer == Answer::Failed),
        "requests": completed.len(),
    })
}

fn series(name: &str, completed: &[CompletedRequest]) -> Series {
    let points = (0..CHART_POINTS).map(|point| {
        let from = f64::from(point) * CHART_STEP;
        (from, share_in_objective(completed, from * 1000.0, (from + CHART_STEP) * 1000.0))
    });
    Series { name: name.into(), points: points.collect() }
}

/// Runs the experiment and its baseline concurrently.
pub(super) async fn run(options: &RunOptions) -> Result<ExperimentResult, Failure> {
    let (with, without) = tokio::join!(run_once(options, "with", true), run_once(options, "without", false));
    let (with, without) = (with?, without?);
    let chart = Chart {
        title: "Share of requests within their latency objective after a restart".into(),
        x_label: "seconds since the start".into(),
        y_label: "share in aim".into(),
        series: vec![series("with knowledge", &with), series("without", &without)],
    };
    let json = json!({ "with_knowledge": metrics(&with), "baseline_without": metrics(&without) });
    Ok(ExperimentResult { json, chart: Some(chart) })
}
