//! What all parts of a run share.

use super::ledger::{Ledger, Observation};
use super::options::SoakOptions;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// The time between two looks at the clock.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);

/// The looks that are remembered. The runtime polls all sockets between two looks. What is handled now was noticed by the last poll or
/// the one before, a look after that poll may have come first, and it had not happened by the poll before that.
const LOOKS: usize = 3;

/// The shared state of a run. It owns the ledger and the random draws.
pub(super) struct RunContext {
    /// The program.
    pub(super) program: PathBuf,
    /// The library of system-call faults.
    pub(super) faults_library: PathBuf,
    /// The folder with a folder for each gateway.
    folder: PathBuf,
    /// Where the gateways listen.
    pub(super) addresses: Vec<SocketAddr>,
    begun: Instant,
    /// The last looks at the clock, the earliest first.
    last_looks: Cell<[f64; LOOKS]>,
    /// The longest time that an observation may have been late, in seconds.
    pub(super) longest_blind_time: Cell<f64>,
    rng: RefCell<Pcg64Mcg>,
    /// What was recorded.
    pub(super) ledger: RefCell<Ledger>,
    /// Whether clients cancel and disconnect far more often.
    pub(super) clients_are_impatient: Cell<bool>,
    /// By gateway: with each change clients with an open request may leave.
    pub(super) departures: Vec<watch::Sender<u64>>,
    /// Whether clients send no more requests.
    pub(super) is_over: Cell<bool>,
    /// Errors that processes logged.
    pub(super) errors: RefCell<Vec<String>>,
}

impl RunContext {
    pub(super) fn new(options: &SoakOptions, addresses: Vec<SocketAddr>) -> Self {
        let processes = vec![Vec::new(); addresses.len()];
        Self {
            program: options.program.clone(),
            faults_library: options.faults_library.clone(),
            folder: options.folder.clone(),
            begun: Instant::now(),
            last_looks: Cell::new([0.0; LOOKS]),
            longest_blind_time: Cell::new(0.0),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(options.seed)),
            ledger: RefCell::new(Ledger { processes, ..Ledger::default() }),
            clients_are_impatient: Cell::new(false),
            departures: addresses.iter().map(|_| watch::Sender::new(0)).collect(),
            addresses,
            is_over: Cell::new(false),
            errors: RefCell::default(),
        }
    }

    /// Seconds since the run began.
    pub(super) fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// Looks at the clock again and again, so that a time without any look is known.
    pub(super) async fn keep_looking(&self) {
        loop {
            let [_, before, last] = self.last_looks.get();
            let now = self.now();
            self.last_looks.set([before, last, now]);
            self.longest_blind_time.set(self.longest_blind_time.get().max(now - before));
            sleep(LOOK_INTERVAL).await;
        }
    }

    /// When something that is noticed now happened.
    pub(super) fn observe(&self) -> Observation {
        let [earliest, ..] = self.last_looks.get();
        Observation { earliest, latest: self.now() }
    }

    pub(super) fn draw<T>(&self, draw: impl FnOnce(&mut Pcg64Mcg) -> T) -> T {
        draw(&mut self.rng.borrow_mut())
    }

    /// The folder of a gateway.
    pub(super) fn gateway_folder(&self, gateway: usize) -> PathBuf {
        self.folder.join(format!("g{gateway}"))
    }

    /// The number of a gateway's last process.
    pub(super) fn incarnation(&self, gateway: usize) -> u32 {
        (self.ledger.borrow().processes[gateway].len() as u32).saturating_sub(1)
    }

    pub(super) fn record_errors(&self, gateway: usize, process: usize, lines: &[String]) {
        let named = lines.iter().map(|line| format!("gateway {gateway} process {process}: {line}"));
        self.errors.borrow_mut().extend(named);
    }
}
