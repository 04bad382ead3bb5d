//! Processes of one gateway that are killed at random moments under load.

mod gateway_processes;
mod stand;

use gateway_processes::*;
use rstest::rstest;
use stand::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Deduplication window in ms: time for which an engine discards repeats of a key.
const WINDOW: f64 = 700.0;
const CLIENTS: usize = 5;
const ROUNDS: usize = 14;

/// Times of the attempts or runs of each key, in ms since the start of the test.
type KeyTimes = BTreeMap<String, Vec<f64>>;

fn ms_since(begun: Instant) -> f64 {
    begun.elapsed().as_secs_f64() * 1000.0
}

/// Outcomes of the clients' requests in [`killed_processes_lose_only_their_open_requests`] so far.
#[derive(Default)]
struct Outcomes {
    answered: AtomicUsize,
    /// Lost requests: their connection was established, but ended without an answer.
    lost: AtomicUsize,
    /// Connections that were refused.
    refused: AtomicUsize,
    stop: AtomicBool,
}

impl Outcomes {
    fn get(count: &AtomicUsize) -> usize {
        count.load(Ordering::SeqCst)
    }

    fn increment(count: &AtomicUsize) {
        count.fetch_add(1, Ordering::SeqCst);
    }

    /// Waits until a number of further requests have been answered, rather than for a fixed time.
    fn wait_for_answers(&self, answers: usize) {
        let from = Self::get(&self.answered);
        for _ in 0..60_000 {
            if Self::get(&self.answered) >= from + answers {
                return;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        panic!("{answers} further requests were not answered");
    }
}

/// A client's connection, and the sequence number of its next request.
struct OpenConnection {
    stream: TcpStream,
    seq: i32,
}

/// A client that sends requests with and without keys without a pause. A request that is lost or refused is sent again under its
/// key until it is served.
struct RetryingClient {
    at: SocketAddr,
    number: usize,
    outcomes: Arc<Outcomes>,
    begun: Instant,
    /// Time at which each attempt of each key was started.
    attempts: KeyTimes,
}

impl RetryingClient {
    /// Sends requests until the test ends. Returns the time at which each attempt of each key was started.
    fn run(mut self) -> KeyTimes {
        let mut open: Option<OpenConnection> = None;
        let (mut request, mut is_retry) = (0_u64, false);
        for step in 0..10_000_000_u64 {
            if self.outcomes.stop.load(Ordering::SeqCst) {
                return self.attempts;
            }
            let Some(mut connection) = open.take().or_else(|| self.connect()) else {
                Outcomes::increment(&self.outcomes.refused);
                std::thread::yield_now();
                continue;
            };
            connection.stream.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
            request += u64::from(!is_retry);
            if !self.send(&mut connection, step, request) {
                is_retry = true;
                Outcomes::increment(&self.outcomes.lost);
                continue;
            }
            let OpenConnection { mut stream, seq } = connection;
            let (number, kind, _) = answer(&mut stream);
            assert_eq!(number, seq, "each request gets one answer, in order");
            is_retry = kind != "served";
            Outcomes::increment(&self.outcomes.answered);
            let stays_open = seq < 1 + (step % 7) as i32;
            open = stays_open.then_some(OpenConnection { stream, seq: seq + 1 });
        }
        panic!("the client was not stopped within 10,000,000 steps");
    }

    fn connect(&self) -> Option<OpenConnection> {
        Some(OpenConnection { stream: TcpStream::connect(self.at).ok()?, seq: 1 })
    }

    /// Sends an attempt of a request, and waits for the first byte of its answer. Returns whether an answer arrived.
    fn send(&mut self, connection: &mut OpenConnection, step: u64, request: u64) -> bool {
        let (txn, key) = (format!("{:08x}{step:08x}", self.number), format!("{}k{request}", self.number));
        let verb = if request % 4 == 1 { "load" } else { "lookup" };
        let mut fields = vec![("verb", verb), ("txn", &*txn), ("limit", "15000")];
        if verb == "load" {
            fields.push(("unique", &*key));
            self.attempts.entry(key.clone()).or_default().push(ms_since(self.begun));
        }
        let sent = connection.stream.write_all(&call(connection.seq, &fields, "select 1"));
        sent.is_ok() && matches!(connection.stream.peek(&mut [0]), Ok(1))
    }
}

/// Starts an engine that discards repeats of a key within a window from its first run. Returns its address, and the times at
/// which each key ran.
fn deduplicating_engine(begun: Instant) -> (SocketAddr, Arc<Mutex<KeyTimes>>) {
    let runs: Arc<Mutex<KeyTimes>> = Arc::default();
    let recorded = runs.clone();
    let (at, _) = resp_engine(move |parts| {
        let unique = |field: &str| field.strip_prefix("uniq=").map(str::to_owned);
        let key = (parts[0] == "want").then(|| parts[2].split(',').find_map(unique));
        if let Some(key) = key.flatten() {
            let now = ms_since(begun);
            let mut recorded = recorded.lock().expect("runs");
            let times = recorded.entry(key).or_default();
            if times.last().is_none_or(|at| now >= at + WINDOW) {
                times.push(now);
            }
        }
        served(parts)
    });
    (at, runs)
}

/// A change to the running processes of the gateway.
#[derive(Clone, Copy, PartialEq)]
enum Change {
    /// The old process is killed once the new one listens, before it receives SIGTERM.
    OldKilledUnnotified,
    /// The old process is killed after SIGTERM, possibly before it has drained.
    OldKilledWhileDraining,
    /// The new process is killed during its start, and the old one goes on serving.
    NewKilledAtStart,
    /// The only process is killed and restarted.
    OnlyOneKilled,
    /// The old process receives SIGTERM, drains and exits.
    Upgrade,
}

const CHANGES: [Change; 5] = [
    Change::OldKilledUnnotified,
    Change::OldKilledWhileDraining,
    Change::NewKilledAtStart,
    Change::OnlyOneKilled,
    Change::Upgrade,
];

/// The processes of a gateway under load, which are changed once in each round.
struct Rounds {
    current: Process,
    shared_gateway: SharedGateway,
    outcomes: Arc<Outcomes>,
    random: Xorshift,
    kills: usize,
}

impl Rounds {
    fn run_round(&mut self, round: usize) {
        let answers = self.random.below(40) + 1;
        self.outcomes.wait_for_answers(answers);
        let lost_before = Outcomes::get(&self.outcomes.lost);
        let refused_before = Outcomes::get(&self.outcomes.refused);
        let kind = self.random.below(CHANGES.len());
        let change = CHANGES[kind];
        self.apply(change);
        self.kills += usize::from(change != Change::Upgrade);
        // After this many answers each client has detected the end of its connection to a process that has ended.
        self.outcomes.wait_for_answers(CLIENTS * 8);
        let lost = Outcomes::get(&self.outcomes.lost) - lost_before;
        let refused = Outcomes::get(&self.outcomes.refused) - refused_before;
        // Each of the five clients has one open request or is about to connect. In an upgrade each client may also send one
        // request while its connection is being closed, which it sends again. More connections are refused only while no
        // process runs.
        assert!(lost <= CLIENTS * 2, "round {round}, kind {kind}: {lost} lost");
        let max_refused = if change == Change::Upgrade { 2 } else { 5 };
        assert!(
            refused <= max_refused || change == Change::OnlyOneKilled,
            "round {round}, kind {kind}: {refused} refused"
        );
        assert_eq!(self.current.request("GET /api/ready HTTP/1.1\r\n\r\n").0, 200, "round {round}");
        assert_eq!(
            self.current.metric("gateway.cluster_unhealthy"),
            1,
            "round {round}: the engine is still excluded"
        );
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::OldKilledUnnotified => {
                let next = self.shared_gateway.start();
                self.wait_for_answers_below(20);
                self.current.signal("-KILL");
                self.current = next;
            }
            Change::OldKilledWhileDraining => {
                let next = self.shared_gateway.start();
                self.current.signal("-TERM");
                self.wait_for_answers_below(200);
                self.current.signal("-KILL");
                self.current = next;
            }
            Change::NewKilledAtStart => {
                let mut starting = self.shared_gateway.spawn();
                self.wait_for_answers_below(300);
                // The process may listen already, and may then have open requests.
                starting.kill().expect("it runs");
                starting.wait().expect("it ends");
            }
            Change::OnlyOneKilled => {
                self.current.signal("-KILL");
                self.current = self.shared_gateway.start();
            }
            Change::Upgrade => {
                let next = self.shared_gateway.start();
                self.current.signal("-TERM");
                std::mem::replace(&mut self.current, next).wait_for_exit();
            }
        }
    }

    /// Waits for a random number of answers below the limit.
    fn wait_for_answers_below(&mut self, limit: usize) {
        let answers = self.random.below(limit);
        self.outcomes.wait_for_answers(answers);
    }
}

/// Checks that each repeated run of a key follows an attempt that was started after the engine's window for the key had expired.
fn check_repeated_runs(runs: &KeyTimes, attempts: &[KeyTimes]) {
    for (key, times) in runs.iter().filter(|(_, times)| times.len() > 1) {
        let attempts = attempts.iter().find_map(|client| client.get(key)).expect("a client sent it");
        for pair in times.windows(2) {
            // The engine must not run an attempt that the client started within the window.
            let last = attempts.iter().copied().filter(|at| *at < pair[1]).fold(0.0, f64::max);
            assert!(
                last > pair[0] + WINDOW - 50.0,
                "{key} ran at {times:?}, its attempts were started at {attempts:?}"
            );
        }
    }
}

/// Guards against lost requests, repeated keys and lost operator overrides when processes are killed during and between upgrades.
/// Only requests open at a killed process may be lost, no key runs twice although clients retry without a pause, and nothing is
/// sent to the excluded engine.
#[rstest]
#[case(1)]
#[case(2)]
fn killed_processes_lose_only_their_open_requests(#[case] seed: u64) {
    let begun = Instant::now();
    let (first, runs) = deduplicating_engine(begun);
    let (second, log) = resp_engine(served);
    let mut shared_gateway = SharedGateway::new(&[first, second]);
    shared_gateway.config =
        shared_gateway.config.replacen("\"window\":12000", &format!("\"window\":{WINDOW}"), 1);
    let current = shared_gateway.start();
    assert_eq!(current.put("/api/exclude", "s-1"), 200);
    let outcomes = Arc::new(Outcomes::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (at, outcomes) = (shared_gateway.at, outcomes.clone());
            let client = RetryingClient { at, number, outcomes, begun, attempts: KeyTimes::new() };
            std::thread::spawn(move || client.run())
        })
        .collect();
    let mut rounds = Rounds { current, shared_gateway, outcomes, random: Xorshift::new(seed), kills: 0 };
    for round in 0..ROUNDS {
        rounds.run_round(round);
    }
    rounds.outcomes.stop.store(true, Ordering::SeqCst);
    let attempts: Vec<_> =
        clients.into_iter().map(|client| client.join().expect("the client received all answers")).collect();
    let (kills, lost) = (rounds.kills, Outcomes::get(&rounds.outcomes.lost));
    assert!(kills > 5 && lost > 0, "{kills} kills");
    assert_eq!(attempt_count(&log), 0, "nothing was sent to the excluded engine");
    let runs = runs.lock().expect("runs");
    assert!(runs.len() > 100, "{} keys", runs.len());
    check_repeated_runs(&runs, &attempts);
}

/// A seeded generator of random numbers.
struct Xorshift {
    state: u64,
}

impl Xorshift {
    fn new(seed: u64) -> Self {
        Self { state: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1 }
    }

    fn below(&mut self, limit: usize) -> usize {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        (self.state % limit as u64) as usize
    }
}
