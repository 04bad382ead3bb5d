//! State that all components of a run share.

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

/// Interval between two readings of the clock.
const CLOCK_READING_INTERVAL: Duration = Duration::from_millis(2);

/// Number of clock readings that are stored. The runtime polls all sockets between two readings. An event that is handled now was found
/// by the latest poll or the one before it, a reading may have followed that poll, and the event had not happened at the poll before.
/// The third-latest reading is therefore a time before the event.
const CLOCK_READINGS: usize = 3;

/// Shared state of a run, which owns the ledger and the random number generator.
pub(super) struct RunContext {
    /// Path of the gateway program.
    pub(super) program: PathBuf,
    /// Path of the library that injects system-call faults.
    pub(super) faults_library: PathBuf,
    /// Folder that contains a folder for each gateway.
    folder: PathBuf,
    /// Addresses at which the gateways accept client connections, by gateway number.
    pub(super) addresses: Vec<SocketAddr>,
    begun: Instant,
    /// Latest readings of the clock in seconds, the earliest first.
    clock_readings: Cell<[f64; CLOCK_READINGS]>,
    /// Maximum delay, in seconds, with which an event may have been observed.
    pub(super) max_observation_delay: Cell<f64>,
    rng: RefCell<Pcg64Mcg>,
    /// Records of the run so far.
    pub(super) ledger: RefCell<Ledger>,
    /// Whether clients cancel requests and disconnect far more often than usual.
    pub(super) clients_are_impatient: Cell<bool>,
    /// Counters by gateway number. On each change, clients of the gateway with an open request abandon it with some probability.
    pub(super) departures: Vec<watch::Sender<u64>>,
    /// Whether the run is over, so that clients send no more requests.
    pub(super) is_over: Cell<bool>,
    /// First lines that each gateway process wrote to standard error.
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
            clock_readings: Cell::new([0.0; CLOCK_READINGS]),
            max_observation_delay: Cell::new(0.0),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(options.seed)),
            ledger: RefCell::new(Ledger { processes, ..Ledger::default() }),
            clients_are_impatient: Cell::new(false),
            departures: addresses.iter().map(|_| watch::Sender::new(0)).collect(),
            addresses,
            is_over: Cell::new(false),
            errors: RefCell::default(),
        }
    }

    /// Returns the time in seconds since the start of the run.
    pub(super) fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// Reads the clock at a short interval, so that a gap between readings shows for how long the test process got no processor time.
    pub(super) async fn read_clock_repeatedly(&self) {
        loop {
            let [_, before, last] = self.clock_readings.get();
            let now = self.now();
            self.clock_readings.set([before, last, now]);
            self.max_observation_delay.set(self.max_observation_delay.get().max(now - before));
            sleep(CLOCK_READING_INTERVAL).await;
        }
    }

    /// Returns the range of times within which an event that is handled now happened.
    pub(super) fn observe(&self) -> Observation {
        let [earliest, ..] = self.clock_readings.get();
        Observation { earliest, latest: self.now() }
    }

    pub(super) fn draw<T>(&self, draw: impl FnOnce(&mut Pcg64Mcg) -> T) -> T {
        draw(&mut self.rng.borrow_mut())
    }

    /// Returns the folder of a gateway.
    pub(super) fn gateway_folder(&self, gateway: usize) -> PathBuf {
        self.folder.join(format!("g{gateway}"))
    }

    /// Returns the number of the process of a gateway that was started last.
    pub(super) fn incarnation(&self, gateway: usize) -> u32 {
        (self.ledger.borrow().processes[gateway].len() as u32).saturating_sub(1)
    }

    pub(super) fn record_errors(&self, gateway: usize, process: usize, lines: &[String]) {
        let named = lines.iter().map(|line| format!("gateway {gateway} process {process}: {line}"));
        self.errors.borrow_mut().extend(named);
    }
}
