//! `cold-return`: half of the engines and the program are lost, and come back together; the engines are cold, and the knowledge
//! says that they are warm. Shows the work that they receive as a share of their budget; the baselines rely on the knowledge
//! for an hour, and have none.

use super::seconds;
use crate::harness::clients::{CompletedRequest, ConnectionPool};
use crate::harness::configuration::operator_file;
use crate::harness::engines::Engines;
use crate::harness::gateway::GatewayProcess;
use crate::harness::workload::{arrivals, Job};
use crate::harness::{knowledge_block, Failure, RunOptions};
use crate::report::Figures;
use serde_json::{json, Value};
use starlingplank_test_doubles::capacity_model::EngineSpec;
use starlingplank_test_doubles::engine::Engine;
use tokio::time::{sleep, Instant};

const ENGINES: usize = 4;
/// The engines that are lost.
const LOST_ENGINES: usize = 2;
/// The classes that arrive: those without keys.
const CLASSES: usize = 2;
/// The work that arrives before and after, in cores, and for how long, in milliseconds.
const CORES_BEFORE: f64 = 18.0;
const SPAN_BEFORE: f64 = 16_000.0;
const CORES_AFTER: f64 = 30.0;
const SPAN_AFTER: f64 = 14_000.0;
/// Arrivals up to this time come after this share of their time, as clients have waited.
const BACKLOG_SPAN: f64 = 4_000.0;
const BACKLOG_SPEEDUP: f64 = 0.1;
/// How much earlier later arrivals come for that.
const BACKLOG_SHIFT: f64 = 3_600.0;
/// The time after which the program is killed, and in which engines are away, in seconds.
const SETTLE_TIME: f64 = 0.5;
const OUTAGE: f64 = 11.0;

/// The figures of one run.
struct Returned {
    /// The most work that a cold engine received as a share of its budget, in its first second and in its first two.
    first_second_ratio: f64,
    two_seconds_ratio: f64,
    collapsed: usize,
    /// When the first of them collapsed, in milliseconds from their return.
    first_collapse_ms: Option<f64>,
    share_in_objective: f64,
}

impl Returned {
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

/// The arrivals after the return: all clients that have waited at once, then the usual ones.
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

async fn run_once(options: &RunOptions, name: &str, knowledge: Option<&str>) -> Result<Returned, Failure> {
    // Engines that do not report their load: that they are cold shows only once they are slow.
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
    let lost = &engines.all[..LOST_ENGINES];
    lost.iter().for_each(Engine::stop);
    sleep(seconds(OUTAGE)).await;
    lost.iter().for_each(Engine::restart);
    let returned_at = engines.fleet.now();
    let gateway = GatewayProcess::start(options, name, &file).await?;
    pool.open(gateway.address);
    let completed = pool.send_all(arrivals_after_outage(options.seed + 1), Instant::now()).await;
    Ok(evaluate(&engines, returned_at, &completed))
}

fn evaluate(engines: &Engines, returned_at: f64, completed: &[CompletedRequest]) -> Returned {
    let ratio = |span: f64| {
        let lost = engines.all[..LOST_ENGINES].iter();
        let ratios = lost.map(|engine| {
            engine
                .with_model(|model| model.work_received(returned_at, span) / model.budget(returned_at, span))
        });
        ratios.fold(0.0, f64::max)
    };
    let collapsed_at = engines.all.iter().filter_map(|engine| engine.with_model(|model| model.collapsed_at));
    let collapses: Vec<f64> = collapsed_at.map(|at| at - returned_at).collect();
    let in_objective = completed.iter().filter(|request| request.meets_objective()).count();
    Returned {
        first_second_ratio: ratio(1_000.0),
        two_seconds_ratio: ratio(2_000.0),
        collapsed: collapses.len(),
        first_collapse_ms: collapses.into_iter().reduce(f64::min),
        share_in_objective: in_objective as f64 / completed.len().max(1) as f64,
    }
}

/// Runs the experiment and its baselines at once.
pub(super) async fn run(options: &RunOptions) -> Result<Figures, Failure> {
    let (aged, believed, none) = tokio::join!(
        run_once(options, "aged", Some("")),
        run_once(options, "believed", Some("  restart_within = \"1h\"")),
        run_once(options, "none", None),
    );
    let (aged, believed, none) = (aged?, believed?, none?);
    let json = json!({
        "worst_cold_ratio": aged.first_second_ratio.max(aged.two_seconds_ratio),
        "fallen": aged.collapsed,
        "aged": aged.json(),
        "baseline_believed": believed.json(),
        "baseline_without_knowledge": none.json(),
    });
    Ok(Figures { json, chart: None })
}
