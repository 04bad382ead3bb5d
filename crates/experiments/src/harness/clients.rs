//! Clients that send each request to a gateway when it is due, on a pool of connections.

use super::workload::{Job, CLASSES};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use starlingplank_test_doubles::client::Client;
use starlingplank_test_doubles::thrift::Answer;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout, Instant};

/// Number of connections from which a pool opens another one only if all have [`MAX_REQUESTS_PER_CONNECTION`].
const MAX_CONNECTIONS: usize = 24;
/// Maximum numbers of in-flight requests on one connection: while the pool has fewer than [`MAX_CONNECTIONS`], and from then on.
const PREFERRED_REQUESTS_PER_CONNECTION: usize = 4;
const MAX_REQUESTS_PER_CONNECTION: usize = 32;
/// Time for which a client waits for an answer after its timeout, so that late answers are recorded, in seconds.
const WAIT_AFTER_TIMEOUT: f64 = 2.0;
/// Tolerance after the client's timeout above which an answer is late, in milliseconds: the 50 ms for sockets that the rules allow,
/// and another 50 ms for the machine that the experiments run on.
const LATE_AFTER_MS: f64 = 100.0;
/// Time within which a lost request counts as sent while the gateway was closing its idle connection.
const IDLE_CLOSE_TIME: Duration = Duration::from_millis(50);

/// Connections of clients to one gateway, whose address changes when the program is restarted. Clones share one pool.
#[derive(Clone)]
pub struct ConnectionPool(Rc<RefCell<Pool>>);

struct Pool {
    address: Option<SocketAddr>,
    clients: Vec<Client>,
    rng: Pcg64Mcg,
}

impl ConnectionPool {
    /// Creates a pool without an address. The names of its requests are drawn from the seed.
    pub fn new(seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self(Rc::new(RefCell::new(Pool { address: None, clients: Vec::new(), rng })))
    }

    /// Closes the open connections, and opens new ones to the given address from now on.
    pub fn open(&self, address: SocketAddr) {
        self.set_address(Some(address));
    }

    /// Closes all connections, and opens no new ones.
    pub fn close(&self) {
        self.set_address(None);
    }

    fn set_address(&self, address: Option<SocketAddr>) {
        let mut pool = self.0.borrow_mut();
        pool.address = address;
        pool.clients.clear();
    }

    fn draw_request_name(&self) -> String {
        format!("{:016x}", self.0.borrow_mut().rng.random::<u64>())
    }

    /// Sends a request on a connection with capacity, or else on a new one. Returns `None` if no connection can be established.
    async fn send_request(
        &self,
        fields: &[(&str, &str)],
        statement: &str,
    ) -> Option<oneshot::Receiver<Answer>> {
        if let Some(answer) = self.request_on_open(fields, statement) {
            return Some(answer);
        }
        let address = self.0.borrow().address?;
        let mut client = Client::connect(address).await.ok()?;
        let answer = client.send(fields, statement);
        let mut pool = self.0.borrow_mut();
        if pool.address == Some(address) {
            pool.clients.push(client);
        }
        Some(answer)
    }

    fn request_on_open(&self, fields: &[(&str, &str)], statement: &str) -> Option<oneshot::Receiver<Answer>> {
        let mut pool = self.0.borrow_mut();
        // The gateway closes idle connections.
        pool.clients.retain(|client| !client.has_ended());
        let is_full = pool.clients.len() >= MAX_CONNECTIONS;
        let max_requests =
            if is_full { MAX_REQUESTS_PER_CONNECTION } else { PREFERRED_REQUESTS_PER_CONNECTION };
        let client = pool.clients.iter_mut().min_by_key(|client| client.pending_count())?;
        (client.pending_count() < max_requests).then(|| client.send(fields, statement))
    }

    /// Sends a request and waits for its answer. A request that is lost because the gateway closes the idle connection meanwhile is sent
    /// once more, on a new connection. `connected` is set to whether the last attempt had a connection.
    async fn request_with_retry(
        &self,
        fields: &[(&str, &str)],
        statement: &str,
        connected: &Cell<bool>,
    ) -> Answer {
        let mut answer = Answer::Lost;
        for _ in 0..2 {
            let sent = Instant::now();
            connected.set(false);
            let Some(pending) = self.send_request(fields, statement).await else { return Answer::Lost };
            connected.set(true);
            answer = pending.await.unwrap_or(Answer::Lost);
            if answer != Answer::Lost || sent.elapsed() > IDLE_CLOSE_TIME {
                break;
            }
        }
        answer
    }

    /// Sends the request of a job and waits until it is answered, lost, or no longer waited for.
    pub async fn send(&self, job: Job, due: Instant) -> CompletedRequest {
        let class = &CLASSES[job.class];
        let sent = Instant::now();
        let name = self.draw_request_name();
        let (limit, cpu) = (format!("{:.0}", class.client_timeout), format!("{:.1}", job.work));
        let mut fields = vec![
            ("verb", class.name),
            ("txn", name.as_str()),
            ("limit", limit.as_str()),
            ("cpu", cpu.as_str()),
            ("mem", "64"),
        ];
        fields.extend(job.key.as_deref().map(|key| ("unique", key)));
        let (work, usual, threads) = (job.work, class.mean_work, class.threads);
        let statement = format!("select 1 /* work={work:.1} usual={usual:.1} threads={threads} */");
        let connected = Cell::new(false);
        let max_wait = Duration::from_secs_f64(class.client_timeout / 1000.0 + WAIT_AFTER_TIMEOUT);
        let answer = timeout(max_wait, self.request_with_retry(&fields, &statement, &connected)).await.ok();
        let ended = Instant::now();
        let connected = connected.get();
        CompletedRequest { job, answer, name, connected, latency: milliseconds(ended - due), sent, ended }
    }

    /// Sends the requests of all jobs when they are due, and waits until all have ended.
    pub async fn send_all(&self, jobs: Vec<Job>, from: Instant) -> Vec<CompletedRequest> {
        let mut tasks = tokio::task::JoinSet::new();
        for job in jobs {
            let due = from + Duration::from_secs_f64(job.at / 1000.0);
            sleep_until(due).await;
            let pool = self.clone();
            tasks.spawn_local(async move { pool.send(job, due).await });
        }
        tasks.join_all().await
    }
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// A request that has been answered, was lost, or timed out.
#[derive(Debug, Clone)]
pub struct CompletedRequest {
    /// Job whose request was sent.
    pub job: Job,
    /// Answer from the gateway; `None` if the client stopped waiting before an answer arrived.
    pub answer: Option<Answer>,
    /// Client's name for the request. Each attempt of a client has a new name.
    pub name: String,
    /// Whether the gateway accepted the connection.
    pub connected: bool,
    /// Time from when the request was due to its end, in milliseconds.
    pub latency: f64,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Time at which the request was answered, was lost, or timed out.
    pub ended: Instant,
}

impl CompletedRequest {
    /// Returns whether the request ended after the client's timeout and the tolerance for late answers.
    pub fn is_late(&self) -> bool {
        milliseconds(self.ended - self.sent) > CLASSES[self.job.class].client_timeout + LATE_AFTER_MS
    }

    /// Returns whether the request was served within the latency objective of its class.
    pub fn meets_objective(&self) -> bool {
        let class = &CLASSES[self.job.class];
        let objective = class.latency_objective + class.objective_stretch * self.job.work / class.threads;
        self.answer == Some(Answer::Served) && self.latency <= objective
    }
}
