//! Processes of one gateway that are killed at any moment, under load.

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

/// How long an engine drops repeats of a key, in ms.
const WINDOW: f64 = 700.0;
const CLIENTS: usize = 5;
const ROUNDS: usize = 14;

/// By key, the times at which something happened to it, in ms since the test began.
type KeyTimes = BTreeMap<String, Vec<f64>>;

fn ms_since(begun: Instant) -> f64 {
    begun.elapsed().as_secs_f64() * 1000.0
}

/// What the clients of [`processes_killed_at_any_moment_cost_what_they_had_open_and_nothing_else`] have met so far.
#[derive(Default)]
struct Outcomes {
    answered: AtomicUsize,
    /// Requests that were taken and whose connection ended without an answer.
    lost: AtomicUsize,
    /// Connections refused.
    refused: AtomicUsize,
    stop: AtomicBool,
}

impl Outcomes {
    fn of(count: &AtomicUsize) -> usize {
        count.load(Ordering::SeqCst)
    }

    fn add(count: &AtomicUsize) {
        count.fetch_add(1, Ordering::SeqCst);
    }

    /// Waits until so many more requests were answered: an event, not a time.
    fn wait_for_answers(&self, answers: usize) {
        let from = Self::of(&self.answered);
        for _ in 0..60_000 {
            if Self::of(&self.answered) >= from + answers {
                return;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        panic!("nobody answers any more");
    }
}

/// A connection of a client, and the number of its next call.
struct OpenConnection {
    stream: TcpStream,
    seq: i32,
}

/// A client that sends keyed and plain requests without a pause; one that is lost, or refused, is sent again under its key
/// until it is served.
struct RetryingClient {
    at: SocketAddr,
    number: usize,
    outcomes: Arc<Outcomes>,
    begun: Instant,
    /// When each attempt of each key was begun.
    attempts: KeyTimes,
}

impl RetryingClient {
    /// Sends until it is stopped. Returns when each attempt of each key was begun.
    fn run(mut self) -> KeyTimes {
        let mut open: Option<OpenConnection> = None;
        let (mut request, mut is_retry) = (0_u64, false);
        for step in 0..10_000_000_u64 {
            if self.outcomes.stop.load(Ordering::SeqCst) {
                return self.attempts;
            }
            let Some(mut connection) = open.take().or_else(|| self.connect()) else {
                Outcomes::add(&self.outcomes.refused);
                std::thread::yield_now();
                continue;
            };
            connection.stream.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
            request += u64::from(!is_retry);
            if !self.send(&mut connection, step, request) {
                is_retry = true;
                Outcomes::add(&self.outcomes.lost);
                continue;
            }
            let OpenConnection { mut stream, seq } = connection;
            let (number, kind, _) = answer(&mut stream);
            assert_eq!(number, seq, "one answer each, in its turn");
            is_retry = kind != "served";
            Outcomes::add(&self.outcomes.answered);
            let stays_open = seq < 1 + (step % 7) as i32;
            open = stays_open.then_some(OpenConnection { stream, seq: seq + 1 });
        }
        panic!("it was never told to stop");
    }

    fn connect(&self) -> Option<OpenConnection> {
        Some(OpenConnection { stream: TcpStream::connect(self.at).ok()?, seq: 1 })
    }

    /// Sends an attempt of a request, and waits for the first byte of its answer. Returns whether there is one.
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

/// An engine that drops repeats of a key for a window from its first run: its address, and when each key ran.
fn deduplicating_engine(begun: Instant) -> (SocketAddr, Arc<Mutex<KeyTimes>>) {
    let runs: Arc<Mutex<KeyTimes>> = Arc::default();
    let seen = runs.clone();
    let (at, _) = resp_engine(move |parts| {
        let unique = |field: &str| field.strip_prefix("uniq=").map(str::to_owned);
        let key = (parts[0] == "want").then(|| parts[2].split(',').find_map(unique));
        if let Some(key) = key.flatten() {
            let now = ms_since(begun);
            let mut seen = seen.lock().expect("runs");
            let times = seen.entry(key).or_default();
            if times.last().is_none_or(|at| now >= at + WINDOW) {
                times.push(now);
            }
        }
        served(parts)
    });
    (at, runs)
}

/// A change of the processes of the gateway.
#[derive(Clone, Copy, PartialEq)]
enum Change {
    /// The old process is killed once the new one listens, before it is told anything.
    OldKilledUnnotified,
    /// The old process is killed after it was told to end.
    OldKilledWhileDraining,
    /// The new process is killed at its start; the old one has noticed nothing.
    NewKilledAtStart,
    /// The only process is killed, and started again.
    OnlyOneKilled,
    /// The old process ends by itself.
    Upgrade,
}

const CHANGES: [Change; 5] = [
    Change::OldKilledUnnotified,
    Change::OldKilledWhileDraining,
    Change::NewKilledAtStart,
    Change::OnlyOneKilled,
    Change::Upgrade,
];

/// The processes of a gateway under load, changed round by round.
struct Rounds {
    current: Process,
    site: Site,
    outcomes: Arc<Outcomes>,
    random: Xorshift,
    kills: usize,
}

impl Rounds {
    fn run_round(&mut self, round: usize) {
        let answers = self.random.below(40) + 1;
        self.outcomes.wait_for_answers(answers);
        let lost_before = Outcomes::of(&self.outcomes.lost);
        let refused_before = Outcomes::of(&self.outcomes.refused);
        let kind = self.random.below(CHANGES.len());
        let change = CHANGES[kind];
        self.apply(change);
        self.kills += usize::from(change != Change::Upgrade);
        // Whatever a client had on a process that has ended it has noticed by then.
        self.outcomes.wait_for_answers(CLIENTS * 8);
        let lost = Outcomes::of(&self.outcomes.lost) - lost_before;
        let refused = Outcomes::of(&self.outcomes.refused) - refused_before;
        // Five clients have one request open each, or are about to connect. In an upgrade each crosses the end of a
        // connection at most once on top; that is sent again. Only where none other runs are more turned away.
        assert!(lost <= CLIENTS * 2, "round {round}, kind {kind}: {lost} lost");
        let max_refused = if change == Change::Upgrade { 2 } else { 5 };
        assert!(
            refused <= max_refused || change == Change::OnlyOneKilled,
            "round {round}, kind {kind}: {refused} refused"
        );
        assert_eq!(self.current.request("GET /api/ready HTTP/1.1\r\n\r\n").0, 200, "round {round}");
        assert_eq!(self.current.metric("gateway.cluster_unhealthy"), 1, "round {round}: it is still out");
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::OldKilledUnnotified => {
                let next = self.site.start();
                self.wait_for_answers_below(20);
                self.current.signal("-KILL");
                self.current = next;
            }
            Change::OldKilledWhileDraining => {
                let next = self.site.start();
                self.current.signal("-TERM");
                self.wait_for_answers_below(200);
                self.current.signal("-KILL");
                self.current = next;
            }
            Change::NewKilledAtStart => {
                let mut starting = self.site.spawn();
                self.wait_for_answers_below(300);
                // It may listen by now, and then have requests open.
                starting.kill().expect("it runs");
                starting.wait().expect("it ends");
            }
            Change::OnlyOneKilled => {
                self.current.signal("-KILL");
                self.current = self.site.start();
            }
            Change::Upgrade => {
                let next = self.site.start();
                self.current.signal("-TERM");
                std::mem::replace(&mut self.current, next).ended();
            }
        }
    }

    /// Waits for a random number of answers.
    fn wait_for_answers_below(&mut self, limit: usize) {
        let answers = self.random.below(limit);
        self.outcomes.wait_for_answers(answers);
    }
}

/// Checks that each further run of a key has an attempt that came when the engine had forgotten the key.
fn check_repeated_runs(runs: &KeyTimes, attempts: &[KeyTimes]) {
    for (key, times) in runs.iter().filter(|(_, times)| times.len() > 1) {
        let attempts = attempts.iter().find_map(|client| client.get(key)).expect("a client sent it");
        for pair in times.windows(2) {
            // A repeat that came while the engine knew the key ran after that.
            let last = attempts.iter().copied().filter(|at| *at < pair[1]).fold(0.0, f64::max);
            assert!(last > pair[0] + WINDOW - 50.0, "{key} ran at {times:?}, and came at {attempts:?}");
        }
    }
}

/// Versions follow each other, and processes are killed outright: the old one before or after it was told to end, the
/// new one before it listens, the only one there is. What is lost was open at a process that was killed; a key does
/// not run twice, though clients send it again at once and for as long as it takes; nothing goes to the engine that is
/// out by hand.
#[rstest]
#[case(1)]
#[case(2)]
fn processes_killed_at_any_moment_cost_what_they_had_open_and_nothing_else(#[case] seed: u64) {
    let begun = Instant::now();
    let (first, runs) = deduplicating_engine(begun);
    let (second, log) = resp_engine(served);
    let mut site = Site::new(&[first, second]);
    site.config = site.config.replacen("\"window\":12000", &format!("\"window\":{WINDOW}"), 1);
    let current = site.start();
    assert_eq!(current.put("/api/exclude", "s-1"), 200);
    let outcomes = Arc::new(Outcomes::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (at, outcomes) = (site.at, outcomes.clone());
            let client = RetryingClient { at, number, outcomes, begun, attempts: KeyTimes::new() };
            std::thread::spawn(move || client.run())
        })
        .collect();
    let mut rounds = Rounds { current, site, outcomes, random: Xorshift::new(seed), kills: 0 };
    for round in 0..ROUNDS {
        rounds.run_round(round);
    }
    rounds.outcomes.stop.store(true, Ordering::SeqCst);
    let attempts: Vec<_> =
        clients.into_iter().map(|client| client.join().expect("no answer is missing")).collect();
    let (kills, lost) = (rounds.kills, Outcomes::of(&rounds.outcomes.lost));
    assert!(kills > 5 && lost > 0, "{kills} kills");
    assert_eq!(wants(&log), 0, "nothing went to the engine that is out");
    let runs = runs.lock().expect("runs");
    assert!(runs.len() > 100, "{} keys", runs.len());
    check_repeated_runs(&runs, &attempts);
}

/// A generator of random numbers from a seed.
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
