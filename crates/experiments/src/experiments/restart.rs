//! `restart`: the gateway is killed at random times under load. Counts torn files, keyed requests that were executed twice, and lost
//! answers. The baseline runs without the idempotency log. Crashes of the machine are not covered.

use super::seconds;
use crate::harness::clients::{CompletedRequest, ConnectionPool};
use crate::harness::configuration::operator_file;
use crate::harness::engines::Engines;
use crate::harness::gateway::GatewayProcess;
use crate::harness::workload::{arrivals, Job, CLASSES, KEYED_CLASS};
use crate::harness::{knowledge_block, Failure, RunOptions};
use crate::report::ExperimentResult;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use starlingplank_persistence::folder::Files;
use starlingplank_persistence::snapshot_records::Snapshot;
use starlingplank_persistence::snapshot_store;
use starlingplank_test_doubles::capacity_model::EngineSpec;
use starlingplank_test_doubles::thrift::Answer;
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

const ENGINES: usize = 4;
/// Work that arrives, in cores.
const LOAD_CORES: f64 = 44.0;
/// Duration of the arrivals: the part for each kill, and the constant part, in milliseconds.
const ARRIVALS_PER_KILL: f64 = 4_000.0;
const ADDITIONAL_ARRIVALS: f64 = 60_000.0;
/// Interval, in arrivals, at which an arrival is turned into a keyed request, and maximum work of those requests, in milliseconds on one
/// core.
const KEYED_EVERY: usize = 4;
const MAX_KEYED_WORK: f64 = 1_500.0;
/// Maximum size of a snapshot.
const MAX_SNAPSHOT_BYTES: usize = 1 << 24;
/// Maximum number of attempts of a client, and maximum time from its first to its last attempt, in seconds.
const MAX_CLIENT_ATTEMPTS: usize = 6;
const LAST_CLIENT_ATTEMPT: f64 = 11.9;
/// Share of a client's retries that are sent just before the deduplication window of the engines ends.
const WINDOW_END_SHARE: f64 = 0.25;
/// Run time of the first process, which delays keyed requests after its start, and time for in-flight requests to end after the last
/// start, in seconds.
const FIRST_RUN_TIME: f64 = 14.0;
const DRAIN_TIME: f64 = 21.0;
/// Time before a kill within which a request that ended may have been lost by the kill, in seconds.
const KILL_TOLERANCE: f64 = 0.1;
/// Duration up to which a lost request counts as one without a connection, in seconds.
const NO_CONNECTION_TIME: f64 = 0.001;

/// Numbers of starts of the gateway, by the state of the snapshot and the idempotency log that it found.
#[derive(Debug, Default)]
struct StartCounts {
    /// Starts that restored the snapshot in the folder, with all engines.
    complete: u32,
    /// Starts without a snapshot in the folder.
    empty: u32,
    /// Starts that restored another state than the snapshot in the folder, or did not restore that snapshot.
    torn: u32,
    /// Starts after which the gateway rejects keyed requests, as its idempotency log is not reliable.
    without_log: u32,
}

impl StartCounts {
    /// Counts a start, by comparing what the process logs of its restored state with the snapshot that was in the folder before the start.
    fn count(&mut self, gateway: &GatewayProcess, before: Option<&(u64, Snapshot)>) {
        let is_restored = gateway.has_logged("snapshot restored ");
        match (is_restored, before) {
            (true, Some((generation, snapshot))) if has_restored(gateway, *generation, snapshot) => {
                self.complete += 1;
            }
            (false, None) => self.empty += 1,
            // The restored state is not the snapshot in the folder, or that snapshot was not restored.
            _ => self.torn += 1,
        }
        self.without_log += u32::from(gateway.has_logged("idempotency log not trusted"));
    }
}

/// Returns whether the process has restored the given generation, and the snapshot has exactly the engines of this experiment.
fn has_restored(gateway: &GatewayProcess, generation: u64, snapshot: &Snapshot) -> bool {
    let is_restored = gateway.has_logged(&format!("snapshot restored generation={generation} "));
    let engines = &snapshot.engines;
    is_restored && engines.len() == ENGINES && engines.iter().all(|engine| engine.id.starts_with("s-"))
}

/// Sends the request of a job. A keyed request that was lost, rejected or failed may have been executed, so it is retried under the same
/// key.
async fn send_with_retries(pool: ConnectionPool, job: Job, due: Instant, seed: u64) -> Vec<CompletedRequest> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let last = due + seconds(LAST_CLIENT_ATTEMPT);
    let mut attempts = vec![pool.send(job.clone(), due).await];
    while job.key.is_some() && attempts.len() < MAX_CLIENT_ATTEMPTS {
        let wait = match attempts.last().and_then(|attempt| attempt.answer) {
            Some(Answer::Served) => break,
            Some(Answer::Rejected(retry_after)) => retry_after / 1000.0 + 0.05,
            _ => rng.random_range(0.1..6.0),
        };
        let at = if rng.random_bool(WINDOW_END_SHARE) { last } else { Instant::now() + seconds(wait) };
        if at > last {
            break;
        }
        sleep_until(at).await;
        attempts.push(pool.send(job.clone(), at).await);
    }
    attempts
}

/// Returns arrivals with a larger share of keyed requests than the workload has, as the experiment checks these.
fn keyed_arrivals(options: &RunOptions) -> Vec<Job> {
    let span = f64::from(options.kills) * ARRIVALS_PER_KILL + ADDITIONAL_ARRIVALS;
    let mut jobs = arrivals(options.seed, LOAD_CORES, span, CLASSES.len());
    for (number, job) in jobs.iter_mut().enumerate().step_by(KEYED_EVERY) {
        job.class = KEYED_CLASS;
        job.key = Some(format!("{:032x}", (u128::from(options.seed) << 64) + number as u128));
        job.work = job.work.min(MAX_KEYED_WORK);
    }
    jobs
}

/// Sends the requests of the jobs when they are due until `is_stopped` is set, and returns the attempts of each.
async fn send_jobs(
    pool: ConnectionPool,
    jobs: Vec<Job>,
    started_at: Instant,
    is_stopped: Rc<Cell<bool>>,
    seed: u64,
) -> Vec<Vec<CompletedRequest>> {
    let mut tasks = tokio::task::JoinSet::new();
    for (number, job) in jobs.into_iter().enumerate() {
        let due = started_at + seconds(job.at / 1000.0);
        sleep_until(due).await;
        if is_stopped.get() {
            break;
        }
        tasks.spawn_local(send_with_retries(pool.clone(), job, due, seed ^ number as u64));
    }
    tasks.join_all().await
}

/// State of one series of restarts.
struct Restarts<'a> {
    options: &'a RunOptions,
    name: &'a str,
    operator_file: String,
    pool: ConnectionPool,
    rng: Pcg64Mcg,
    kills: Vec<Instant>,
    starts: StartCounts,
}

impl Restarts<'_> {
    /// Starts and kills the gateway `kills` times, then starts it once more and terminates it after [`DRAIN_TIME`].
    async fn run(&mut self, folder: &Path, is_stopped: &Cell<bool>) -> Result<(), Failure> {
        for process in 0..self.options.kills {
            let mut gateway = self.start(folder).await?;
            let run_time = if process == 0 { FIRST_RUN_TIME } else { self.rng.random_range(0.05..3.0) };
            sleep(seconds(run_time)).await;
            self.kills.push(Instant::now());
            gateway.kill();
            self.pool.close();
            sleep(seconds(self.rng.random_range(0.0..0.8))).await;
        }
        let mut gateway = self.start(folder).await?;
        is_stopped.set(true);
        sleep(seconds(DRAIN_TIME)).await;
        gateway.terminate().await
    }

    async fn start(&mut self, folder: &Path) -> Result<GatewayProcess, Failure> {
        // The snapshot is read here independently, before the gateway starts.
        let loaded = snapshot_store::load(&Files::new(folder), MAX_SNAPSHOT_BYTES).ok();
        let before = loaded.and_then(|loaded| loaded.snapshot);
        let gateway = GatewayProcess::start(self.options, self.name, &self.operator_file).await?;
        self.pool.open(gateway.address);
        self.starts.count(&gateway, before.as_ref());
        Ok(gateway)
    }
}

/// Metrics of the attempts of clients.
struct ClientMetrics<'a> {
    attempts: Vec<&'a CompletedRequest>,
    kills: &'a [Instant],
}

impl ClientMetrics<'_> {
    /// Returns whether an attempt may have been lost by a kill of the gateway.
    fn may_be_lost_by_kill(&self, attempt: &CompletedRequest) -> bool {
        let until = attempt.ended + seconds(KILL_TOLERANCE);
        self.kills.iter().any(|kill| *kill >= attempt.sent && *kill <= until)
    }

    /// Returns the number of attempts without an answer, except for those lost by a kill or without a connection.
    fn lost_without_kill(&self) -> usize {
        let is_lost = |attempt: &&&CompletedRequest| match attempt.answer {
            None => true,
            Some(Answer::Lost) => {
                !self.may_be_lost_by_kill(attempt)
                    && attempt.ended - attempt.sent > seconds(NO_CONNECTION_TIME)
            }
            _ => false,
        };
        self.attempts.iter().filter(is_lost).count()
    }

    fn count(&self, is_counted: fn(&Answer) -> bool) -> usize {
        let sent = self.attempts.iter().filter(|attempt| attempt.ended - attempt.sent > Duration::ZERO);
        sent.filter(|attempt| attempt.answer.as_ref().is_some_and(is_counted)).count()
    }
}

async fn run_series(options: &RunOptions, name: &str, has_log: bool) -> Result<Value, Failure> {
    let engines = Engines::start(vec![EngineSpec::default(); ENGINES], options.seed)?;
    let folder = options.subfolder(name);
    let knowledge = knowledge_block(&folder, &format!("  every = \"200ms\"\n  keys = {has_log}"));
    let mut restarts = Restarts {
        options,
        name,
        operator_file: operator_file(&engines, options.seed, Some(&knowledge)),
        pool: ConnectionPool::new(options.seed),
        rng: Pcg64Mcg::seed_from_u64(options.seed),
        kills: Vec::new(),
        starts: StartCounts::default(),
    };
    let started_at = Instant::now();
    let is_stopped = Rc::new(Cell::new(false));
    let jobs = keyed_arrivals(options);
    let sending = send_jobs(restarts.pool.clone(), jobs, started_at, is_stopped.clone(), options.seed);
    let sending = tokio::task::spawn_local(sending);
    restarts.run(&folder, &is_stopped).await?;
    let requests = sending.await?;
    Ok(series_metrics(&engines, &restarts, &requests, started_at.elapsed()))
}

fn series_metrics(
    engines: &Engines,
    restarts: &Restarts<'_>,
    requests: &[Vec<CompletedRequest>],
    elapsed: Duration,
) -> Value {
    let executions = engines.fleet.executions();
    let clients = ClientMetrics { attempts: requests.iter().flatten().collect(), kills: &restarts.kills };
    json!({
        "kills": restarts.kills.len(),
        "starts_whole": restarts.starts.complete,
        "starts_empty": restarts.starts.empty,
        "starts_torn": restarts.starts.torn,
        "starts_without_trusted_log": restarts.starts.without_log,
        "loads_run": executions.len(),
        "loads_run_twice": executions.values().filter(|times| times.len() > 1).count(),
        "loads_repeated_by_clients": requests.iter().filter(|attempts| attempts.len() > 1).count(),
        "attempts": engines.fleet.attempts(),
        "attempts_overlapping": engines.fleet.overlaps(),
        "requests": clients.attempts.len(),
        "served": clients.count(|answer| *answer == Answer::Served),
        "refused": clients.count(|answer| matches!(answer, Answer::Rejected(_))),
        "failed": clients.count(|answer| *answer == Answer::Failed),
        "lost_by_kills": clients.count(|answer| *answer == Answer::Lost),
        "lost_answers_beyond_kill": clients.lost_without_kill(),
        "seconds": elapsed.as_secs_f64(),
    })
}

/// Runs the series with the idempotency log and the baseline without it concurrently.
pub(super) async fn run(options: &RunOptions) -> Result<ExperimentResult, Failure> {
    let (with_log, without_log) =
        tokio::join!(run_series(options, "restart", true), run_series(options, "restart-off", false));
    let (mut json, baseline) = (with_log?, without_log?);
    json["baseline_without_log"] = json!({
        "kills": baseline["kills"],
        "loads_run": baseline["loads_run"],
        "loads_run_twice": baseline["loads_run_twice"],
    });
    Ok(ExperimentResult { json, chart: None })
}
