//! Clients that send requests to a gateway when they are due.

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

/// The connections of a pool.
const MAX_CONNECTIONS: usize = 24;
/// The requests on one connection before another is opened, and once there are [`MAX_CONNECTIONS`].
const PREFERRED_REQUESTS_PER_CONNECTION: usize = 4;
const MAX_REQUESTS_PER_CONNECTION: usize = 32;
/// The time after the client's timeout after which an answer is not waited for, in seconds.
const OVERTIME: f64 = 2.0;
/// An answer after the client's timeout is late: by the rules 50 ms later on sockets, and here as much again.
const LATE_AFTER_MS: f64 = 100.0;
/// The time in which a request may cross the close of an idle connection.
const CLOSE_CROSSING: Duration = Duration::from_millis(50);

/// The connections of clients to one gateway, whose address changes as the program is restarted. Clones are the same pool.
#[derive(Clone)]
pub struct ConnectionPool(Rc<RefCell<Pool>>);

struct Pool {
    address: Option<SocketAddr>,
    clients: Vec<Client>,
    rng: Pcg64Mcg,
}

impl ConnectionPool {
    /// A pool without an address. The names of requests follow from the seed.
    pub fn new(seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self(Rc::new(RefCell::new(Pool { address: None, clients: Vec::new(), rng })))
    }

    /// Connects to that address from now on. Open connections are closed.
    pub fn open(&self, address: SocketAddr) {
        self.set_address(Some(address));
    }

    /// Closes all connections, and connects no more.
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

    /// Sends a request on a connection with capacity, or on a new one. None: no connection can be had.
    async fn request(&self, fields: &[(&str, &str)], statement: &str) -> Option<oneshot::Receiver<Answer>> {
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
        // The program closes idle connections.
        pool.clients.retain(|client| !client.ended());
        let is_full = pool.clients.len() >= MAX_CONNECTIONS;
        let max_requests =
            if is_full { MAX_REQUESTS_PER_CONNECTION } else { PREFERRED_REQUESTS_PER_CONNECTION };
        let client = pool.clients.iter_mut().min_by_key(|client| client.open())?;
        (client.open() < max_requests).then(|| client.send(fields, statement))
    }

    /// Sends a request until it gets an answer. One that crosses the close of an idle connection is sent once more, on a new
    /// connection. `connected` tells whether there was a connection.
    async fn request_again(
        &self,
        fields: &[(&str, &str)],
        statement: &str,
        connected: &Cell<bool>,
    ) -> Answer {
        let mut answer = Answer::Lost;
        for _ in 0..2 {
            let begun = Instant::now();
            connected.set(false);
            let Some(pending) = self.request(fields, statement).await else { return Answer::Lost };
            connected.set(true);
            answer = pending.await.unwrap_or(Answer::Lost);
            if answer != Answer::Lost || begun.elapsed() > CLOSE_CROSSING {
                break;
            }
        }
        answer
    }

    /// Sends a job once and waits for its end.
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
        let max_wait = Duration::from_secs_f64(class.client_timeout / 1000.0 + OVERTIME);
        let answer = timeout(max_wait, self.request_again(&fields, &statement, &connected)).await.ok();
        let ended = Instant::now();
        let connected = connected.get();
        CompletedRequest { job, answer, name, connected, latency: milliseconds(ended - due), sent, ended }
    }

    /// Sends all jobs when they are due and waits for their ends.
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

/// A request that has ended.
#[derive(Debug, Clone)]
pub struct CompletedRequest {
    /// What was sent.
    pub job: Job,
    /// Its answer; none if there was none in time.
    pub answer: Option<Answer>,
    /// The client's name for the request, another for each attempt of a client.
    pub name: String,
    /// Whether the program accepted the connection.
    pub connected: bool,
    /// The time from when it was due to its end, in milliseconds.
    pub latency: f64,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
}

impl CompletedRequest {
    /// Whether it was answered after the client's timeout.
    pub fn is_late(&self) -> bool {
        milliseconds(self.ended - self.sent) > CLASSES[self.job.class].client_timeout + LATE_AFTER_MS
    }

    /// Whether it was served within its latency objective.
    pub fn meets_objective(&self) -> bool {
        let class = &CLASSES[self.job.class];
        let objective = class.latency_objective + class.objective_stretch * self.job.work / class.threads;
        self.answer == Some(Answer::Served) && self.latency <= objective
    }
}
