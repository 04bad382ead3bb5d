//! `restart`: the program is killed at random moments under load. Shows torn files, keyed requests that were executed twice, and
//! lost answers; the baseline runs without the idempotency log. Crashes of the machine are not covered.

use super::seconds;
use crate::harness::clients::{CompletedRequest, ConnectionPool};
use crate::harness::configuration::operator_file;
use crate::harness::engines::Engines;
use crate::harness::gateway::GatewayProcess;
use crate::harness::workload::{arrivals, Job, CLASSES, KEYED_CLASS};
use crate::harness::{knowledge_block, Failure, RunOptions};
use crate::report::Figures;
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
/// The work that arrives, in cores.
const LOAD_CORES: f64 = 44.0;
/// The time of the arrivals for each kill and besides, in milliseconds.
const ARRIVALS_PER_KILL: f64 = 4_000.0;
const FURTHER_ARRIVALS: f64 = 60_000.0;
/// One arrival of so many becomes a keyed request, of at most so much work.
const KEYED_EVERY: usize = 4;
const MAX_KEYED_WORK: f64 = 1_500.0;
/// The bytes of a snapshot.
const MAX_SNAPSHOT_BYTES: usize = 1 << 24;
/// The attempts of a client, and the time from the first to the last, in seconds.
const MAX_CLIENT_ATTEMPTS: usize = 6;
const LAST_CLIENT_ATTEMPT: f64 = 11.9;
/// The share of a client's attempts that come at the last moment of the deduplication window.
const LAST_MOMENT_SHARE: f64 = 0.25;
/// The time in which the keyed requests of the first process wait, and in which open requests end, in seconds.
const FIRST_RUN_TIME: f64 = 14.0;
const DRAIN_TIME: f64 = 21.0;
/// A request that ends within this time of a kill may be lost by it, in seconds.
const KILL_SLACK: f64 = 0.1;
/// A request that ends sooner had no connection, in seconds.
const NO_CONNECTION_TIME: f64 = 0.001;

/// What a process found of its predecessors' knowledge.
#[derive(Debug, Default)]
struct StartCounts {
    complete: u32,
    empty: u32,
    torn: u32,
    /// Processes that reject keyed requests, as they have no reliable log of keys.
    without_log: u32,
}

impl StartCounts {
    /// Compares what a process logs of its start with the snapshot that was there before.
    fn count(&mut self, gateway: &GatewayProcess, before: Option<&(u64, Snapshot)>) {
        let is_restored = gateway.has_logged("snapshot restored ");
        match (is_restored, before) {
            (true, Some((generation, snapshot))) if is_named(gateway, *generation, snapshot) => {
                self.complete += 1;
            }
            (false, None) => self.empty += 1,
            // What was restored is not what was there, or a complete snapshot was not restored.
            _ => self.torn += 1,
        }
        self.without_log += u32::from(gateway.has_logged("idempotency log not trusted"));
    }
}

/// Whether the process has restored that generation, and it holds the engines and no others.
fn is_named(gateway: &GatewayProcess, generation: u64, snapshot: &Snapshot) -> bool {
    let is_restored = gateway.has_logged(&format!("snapshot restored generation={generation} "));
    let engines = &snapshot.engines;
    is_restored && engines.len() == ENGINES && engines.iter().all(|engine| engine.id.starts_with("s-"))
}

/// Sends a job, and sends a keyed one again under its key where it was lost, rejected or failed: it may have been executed.
async fn send_with_retries(pool: ConnectionPool, job: Job, due: Instant, seed: u64) -> Vec<CompletedRequest> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let last = due + seconds(LAST_CLIENT_ATTEMPT);
    let mut attempts = vec![pool.send(job.clone(), due).await];
    while job.key.is_some() && attempts.len() < MAX_CLIENT_ATTEMPTS {
        let wait = match attempts.last().and_then(|attempt| attempt.answer) {
            Some(Answer::Served) => break,
            Some(Answer::Refused(retry_after)) => retry_after / 1000.0 + 0.05,
            _ => rng.random_range(0.1..6.0),
        };
        let at = if rng.random_bool(LAST_MOMENT_SHARE) { last } else { Instant::now() + seconds(wait) };
        if at > last {
            break;
        }
        sleep_until(at).await;
        attempts.push(pool.send(job.clone(), at).await);
    }
    attempts
}

/// Arrivals with more keyed requests than usual, as they are what the experiment is about.
fn keyed_arrivals(options: &RunOptions) -> Vec<Job> {
    let span = f64::from(options.kills) * ARRIVALS_PER_KILL + FURTHER_ARRIVALS;
    let mut jobs = arrivals(options.seed, LOAD_CORES, span, CLASSES.len());
    for (number, job) in jobs.iter_mut().enumerate().step_by(KEYED_EVERY) {
        job.class = KEYED_CLASS;
        job.key = Some(format!("{:032x}", (u128::from(options.seed) << 64) + number as u128));
        job.work = job.work.min(MAX_KEYED_WORK);
    }
    jobs
}

/// Sends the jobs when they are due until it is stopped, and returns the attempts of each.
async fn send_jobs(
    pool: ConnectionPool,
    jobs: Vec<Job>,
    begun: Instant,
    is_stopped: Rc<Cell<bool>>,
    seed: u64,
) -> Vec<Vec<CompletedRequest>> {
    let mut tasks = tokio::task::JoinSet::new();
    for (number, job) in jobs.into_iter().enumerate() {
        let due = begun + seconds(job.at / 1000.0);
        sleep_until(due).await;
        if is_stopped.get() {
            break;
        }
        tasks.spawn_local(send_with_retries(pool.clone(), job, due, seed ^ number as u64));
    }
    tasks.join_all().await
}

/// One series of restarts.
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
    /// Starts the program as often as it is killed, and once more; the last process ends by itself.
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
        // Read without the program, before it starts.
        let loaded = snapshot_store::load(&Files::new(folder), MAX_SNAPSHOT_BYTES).ok();
        let before = loaded.and_then(|loaded| loaded.snapshot);
        let gateway = GatewayProcess::start(self.options, self.name, &self.operator_file).await?;
        self.pool.open(gateway.address);
        self.starts.count(&gateway, before.as_ref());
        Ok(gateway)
    }
}

/// Figures over the attempts of clients.
struct ClientFigures<'a> {
    attempts: Vec<&'a CompletedRequest>,
    kills: &'a [Instant],
}

impl ClientFigures<'_> {
    fn is_killed(&self, attempt: &CompletedRequest) -> bool {
        let until = attempt.ended + seconds(KILL_SLACK);
        self.kills.iter().any(|kill| *kill >= attempt.sent && *kill <= until)
    }

    /// Attempts without an answer, but for those of clients whose process was killed or not there.
    fn lost_beyond_kills(&self) -> usize {
        let is_lost = |attempt: &&&CompletedRequest| match attempt.answer {
            None => true,
            Some(Answer::Lost) => {
                !self.is_killed(attempt) && attempt.ended - attempt.sent > seconds(NO_CONNECTION_TIME)
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
    let begun = Instant::now();
    let is_stopped = Rc::new(Cell::new(false));
    let jobs = keyed_arrivals(options);
    let sending = send_jobs(restarts.pool.clone(), jobs, begun, is_stopped.clone(), options.seed);
    let sending = tokio::task::spawn_local(sending);
    restarts.run(&folder, &is_stopped).await?;
    let requests = sending.await?;
    Ok(series_figures(&engines, &restarts, &requests, begun.elapsed()))
}

fn series_figures(
    engines: &Engines,
    restarts: &Restarts<'_>,
    requests: &[Vec<CompletedRequest>],
    elapsed: Duration,
) -> Value {
    let executions = engines.fleet.executions();
    let clients = ClientFigures { attempts: requests.iter().flatten().collect(), kills: &restarts.kills };
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
        "refused": clients.count(|answer| matches!(answer, Answer::Refused(_))),
        "failed": clients.count(|answer| *answer == Answer::Failed),
        "lost_by_kills": clients.count(|answer| *answer == Answer::Lost),
        "lost_answers_beyond_kill": clients.lost_beyond_kills(),
        "seconds": elapsed.as_secs_f64(),
    })
}

/// Runs both series at once.
pub(super) async fn run(options: &RunOptions) -> Result<Figures, Failure> {
    let (with_log, without_log) =
        tokio::join!(run_series(options, "restart", true), run_series(options, "restart-off", false));
    let (mut json, baseline) = (with_log?, without_log?);
    json["baseline_without_log"] = json!({
        "kills": baseline["kills"],
        "loads_run": baseline["loads_run"],
        "loads_run_twice": baseline["loads_run_twice"],
    });
    Ok(Figures { json, chart: None })
}
