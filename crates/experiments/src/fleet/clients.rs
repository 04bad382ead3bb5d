//! The clients of a fleet: each sends a request again where its gateway rejected it or was not there, for as long as it waits.

use super::run::FleetRun;
use crate::harness::clients::{CompletedRequest, ConnectionPool};
use crate::harness::workload::{arrivals, Job, CLASSES};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use starlingplank_test_doubles::thrift::Answer;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

/// The attempts that are recorded. A run that has more is cut short, and reports so.
pub(super) const MAX_ATTEMPTS: usize = 2_000_000;
/// What the seed of the clients' gateways is combined with, so that it differs from that of the arrivals.
const GATEWAY_SEED: u64 = 0x0c11;
/// The pauses of clients.
const IMPATIENT_PAUSE: Duration = Duration::from_millis(10);
const LOST_PAUSE: Duration = Duration::from_millis(100);
/// The bounds of a pause that the gateway asked for, in milliseconds.
const MIN_PAUSE_MS: f64 = 1.0;
const MAX_PAUSE_MS: f64 = 60_000.0;

/// One attempt of a client.
pub(super) struct AttemptRecord {
    pub(super) gateway: usize,
    pub(super) request: CompletedRequest,
}

type Records = Rc<RefCell<Vec<AttemptRecord>>>;

/// A client with one job.
struct PersistentClient {
    pool: ConnectionPool,
    gateway: usize,
    ignores_retry_after: bool,
    records: Records,
}

impl PersistentClient {
    async fn run(self, job: Job, due: Instant) {
        sleep_until(due).await;
        let patience = Duration::from_secs_f64(CLASSES[job.class].client_timeout / 1000.0);
        loop {
            let request = self.pool.send(job.clone(), Instant::now()).await;
            let pause = self.pause_after(request.answer);
            self.records.borrow_mut().push(AttemptRecord { gateway: self.gateway, request });
            if self.records.borrow().len() >= MAX_ATTEMPTS {
                return;
            }
            let Some(pause) = pause.filter(|pause| due.elapsed() + *pause <= patience) else { return };
            sleep(pause).await;
        }
    }

    /// The pause before the next attempt; none where there is no further one.
    fn pause_after(&self, answer: Option<Answer>) -> Option<Duration> {
        match answer? {
            Answer::Refused(_) if self.ignores_retry_after => Some(IMPATIENT_PAUSE),
            Answer::Refused(retry_after) => {
                let pause = retry_after.clamp(MIN_PAUSE_MS, MAX_PAUSE_MS);
                Some(Duration::from_secs_f64(pause / 1000.0))
            }
            Answer::Lost => Some(LOST_PAUSE),
            Answer::Served | Answer::Failed => None,
        }
    }
}

/// Starts the clients of a run, each at a gateway that is drawn.
pub(super) fn start(run: &FleetRun<'_>, records: &Records) -> JoinSet<()> {
    let scenario = run.scenario;
    let seed = run.options.seed;
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ GATEWAY_SEED);
    let mut clients = JoinSet::new();
    let cores = run.offered_cores();
    if cores <= 0.0 {
        return clients;
    }
    for job in arrivals(seed, cores, scenario.seconds * 1000.0, CLASSES.len()) {
        let gateway = rng.random_range(0..run.options.gateways);
        let client = PersistentClient {
            pool: run.gateways.borrow()[gateway].pool.clone(),
            gateway,
            ignores_retry_after: scenario.clients.ignores_retry_after,
            records: records.clone(),
        };
        let due = run.instant(job.at / 1000.0);
        clients.spawn_local(client.run(job, due));
    }
    clients
}

impl FleetRun<'_> {
    /// The work that clients send, in cores.
    fn offered_cores(&self) -> f64 {
        self.scenario.clients.load * self.scenario.engines.cores * self.engines.all.len() as f64
    }
}
