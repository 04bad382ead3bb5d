//! Clients of a fleet of gateways. Each client sends one request to one gateway, and retries it until its timeout if the gateway rejects
//! it or the connection is lost.

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

/// Maximum number of attempts that are recorded. Once it is reached clients stop, and the run reports a violation.
pub(super) const MAX_ATTEMPTS: usize = 2_000_000;
/// Value that is combined with the seed of the run for drawing the gateways of clients, so that the draws differ from those of the
/// arrivals.
const GATEWAY_SEED: u64 = 0x0c11;
/// Pauses of a client before it retries: after a rejection if it ignores the retry-after time, and after a lost connection.
const PAUSE_WITHOUT_RETRY_AFTER: Duration = Duration::from_millis(10);
const LOST_PAUSE: Duration = Duration::from_millis(100);
/// Bounds of a retry-after time that a client observes, in milliseconds.
const MIN_PAUSE_MS: f64 = 1.0;
const MAX_PAUSE_MS: f64 = 60_000.0;

/// Record of one attempt of a client, and the index of the gateway to which it was sent.
pub(super) struct AttemptRecord {
    pub(super) gateway: usize,
    pub(super) request: CompletedRequest,
}

type Records = Rc<RefCell<Vec<AttemptRecord>>>;

/// A client that sends the request of one job, and retries it.
struct RetryingClient {
    pool: ConnectionPool,
    gateway: usize,
    ignores_retry_after: bool,
    records: Records,
}

impl RetryingClient {
    async fn run(self, job: Job, due: Instant) {
        sleep_until(due).await;
        let client_timeout = Duration::from_secs_f64(CLASSES[job.class].client_timeout / 1000.0);
        loop {
            let request = self.pool.send(job.clone(), Instant::now()).await;
            let pause = self.pause_after(request.answer);
            self.records.borrow_mut().push(AttemptRecord { gateway: self.gateway, request });
            if self.records.borrow().len() >= MAX_ATTEMPTS {
                return;
            }
            let Some(pause) = pause.filter(|pause| due.elapsed() + *pause <= client_timeout) else { return };
            sleep(pause).await;
        }
    }

    /// Returns the pause before the next attempt, or `None` if the answer is final or did not arrive in time.
    fn pause_after(&self, answer: Option<Answer>) -> Option<Duration> {
        match answer? {
            Answer::Rejected(_) if self.ignores_retry_after => Some(PAUSE_WITHOUT_RETRY_AFTER),
            Answer::Rejected(retry_after) => {
                let pause = retry_after.clamp(MIN_PAUSE_MS, MAX_PAUSE_MS);
                Some(Duration::from_secs_f64(pause / 1000.0))
            }
            Answer::Lost => Some(LOST_PAUSE),
            Answer::Served | Answer::Failed => None,
        }
    }
}

/// Starts the clients of a run. The gateway of each is drawn at random.
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
        let client = RetryingClient {
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
    /// Returns the number of cores that the work sent by clients occupies.
    fn offered_cores(&self) -> f64 {
        self.scenario.clients.load * self.scenario.engines.cores * self.engines.all.len() as f64
    }
}
