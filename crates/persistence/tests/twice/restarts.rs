//! Simulation of successive processes of a gateway, each stopped at a random time.

use crate::engines::Engines;
use crate::incarnation::{Incarnation, WaitingRequest, MARGIN};
use crate::machine::{downtime, Machine};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use starlingplank_persistence::deduplication_window::LogState;
use starlingplank_test_doubles::disk::{Fault, FaultyDisk};

const BEGIN: f64 = 1_000_000.0;
const END: f64 = 1_600_000.0;
const MAINTENANCE_INTERVAL: f64 = 1_000.0;

/// Faults that the simulated disk may have.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Disk {
    /// The disk works, and stops only together with the program.
    Good,
    /// Writes fail, the disk runs full, and the log cannot be opened by some processes.
    Bad,
}

/// Simulation of ten minutes of successive processes.
pub(crate) struct Restarts {
    rng: Pcg64Mcg,
    disk: FaultyDisk,
    disk_is: Disk,
    /// Whether keyed requests may be sent only while the log is healthy.
    log_required: bool,
    /// Whether the processes write a log.
    has_log: bool,
    machine: Machine,
    now: f64,
    pub engines: Engines,
    /// Number of processes that were started.
    pub incarnations: u32,
}

impl Restarts {
    pub(crate) fn simulate(seed: u64, log_required: bool, disk_is: Disk, has_log: bool) -> Self {
        let mut simulation = Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            disk: FaultyDisk::new(seed),
            disk_is,
            log_required,
            has_log,
            machine: Machine::new(),
            now: BEGIN,
            engines: Engines::default(),
            incarnations: 0,
        };
        while simulation.now < END {
            simulation.incarnations += 1;
            simulation.run_incarnation();
        }
        simulation
    }

    /// Runs one process until it is stopped, then advances the time to the start of the next.
    fn run_incarnation(&mut self) {
        let started = self.now;
        let mode = self.log_state();
        let mut incarnation =
            Incarnation::start(&self.disk, mode, started, self.machine.clock_offset(started));
        let end = self.draw_end();
        self.may_stop_within_a_write();
        let mut waiting = Vec::new();
        let mut maintained_at = started;
        while self.now < end && !self.disk.has_stopped() {
            self.now += self.rng.random_range(1.0..120.0);
            if self.now >= maintained_at + MAINTENANCE_INTERVAL {
                maintained_at = self.now;
                incarnation.maintain(self.now);
                self.may_fail_a_write();
            }
            if self.rng.random_bool(0.5) {
                waiting.extend(incarnation.receive_request(&mut self.rng, self.now));
            }
            self.send_due(&mut incarnation, &mut waiting);
        }
        self.disk.restart();
        let down = downtime(&mut self.rng, 3_000.0);
        self.machine.advance(self.now - started + down);
        self.now += down;
        self.machine.may_restart(&mut self.rng);
    }

    fn log_state(&mut self) -> LogState {
        let is_missing = self.disk_is == Disk::Bad && !self.log_required && self.rng.random_bool(0.15);
        match (self.has_log, is_missing) {
            (false, _) => LogState::Off,
            (true, true) => LogState::Missing,
            (true, false) => LogState::Open { required: self.log_required },
        }
    }

    fn draw_end(&mut self) -> f64 {
        let max_duration = if self.rng.random_bool(0.3) { 60_000.0 } else { 9_000.0 };
        self.now + self.rng.random_range(50.0..max_duration)
    }

    fn may_stop_within_a_write(&mut self) {
        if self.rng.random_bool(0.3) {
            let call = self.rng.random_range(0..30);
            let fault = if self.rng.random() { Fault::StopBefore } else { Fault::StopAfter };
            self.disk.inject_fault(call, fault);
        }
    }

    fn may_fail_a_write(&mut self) {
        if self.disk_is == Disk::Bad && self.rng.random_bool(0.05) {
            let faults = [Fault::Fail, Fault::FailAfter, Fault::Full];
            let call = self.rng.random_range(0..4);
            self.disk.inject_fault(call, faults[self.rng.random_range(0..3)]);
        }
    }

    fn send_due(&mut self, incarnation: &mut Incarnation, waiting: &mut Vec<WaitingRequest>) {
        let now = self.now;
        let due: Vec<_> = waiting.extract_if(.., |request| request.send_at <= now).collect();
        for request in due {
            if incarnation.may_send(&request, now) {
                let arrives = now + self.rng.random_range(0.0..MARGIN / 2.0);
                self.engines.execute(request.key, request.received, arrives);
            }
        }
    }
}
