//! Simulation of hot restarts, in which processes of a gateway take over from each other.

use crate::engines::{Engines, WINDOW};
use crate::incarnation::{Incarnation, WaitingRequest, MARGIN, MAX_KEYS};
use crate::machine::{downtime, Machine};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use starlingplank_persistence::boot_time::BootTime;
use starlingplank_persistence::clock_offset::ClockOffset;
use starlingplank_persistence::deduplication_window::{
    DeduplicationWindow, Key, KeySend, KeySends, LogState, TrustedLog,
};
use starlingplank_persistence::disk::Disk as _;
use starlingplank_persistence::idempotency_log::{self, IdempotencyLog};
use starlingplank_test_doubles::disk::FaultyDisk;

const BEGIN: f64 = 1_000_000.0;
const END: f64 = 1_600_000.0;
const MAINTENANCE_INTERVAL: f64 = 1_000.0;
/// Name of the file that marks unrecorded sends.
const MARKER: &str = "beside-1";

/// One of the two processes of a gateway during an upgrade. Both publish their sends in a shared folder, which is emptied by a
/// reboot of the machine or by a clean-up of temporary files.
struct Process {
    incarnation: Incarnation,
    /// Number of shared sends that the process has merged.
    merged: usize,
    waiting: Vec<WaitingRequest>,
}

impl Process {
    fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, merged: 0, waiting: Vec::new() }
    }

    fn merge_shared(&mut self, shared: &[(Key, KeySend)], now: f64) {
        for (key, send) in shared.iter().skip(self.merged) {
            self.incarnation.deduplication.merge_peer_sends(*key, KeySends::single(*send), now);
        }
        self.merged = shared.len();
    }
}

/// Simulation of ten minutes of upgrades. Processes take over from each other; one or both are killed at random times; the
/// shared folder is sometimes emptied before the next start, and the machine is sometimes rebooted.
pub(crate) struct Upgrades {
    rng: Pcg64Mcg,
    disk: FaultyDisk,
    machine: Machine,
    now: f64,
    /// Whether a process that takes over from another creates the file that marks unrecorded sends.
    creates_marker: bool,
    /// Sends in the folder that the two processes share.
    shared: Vec<(Key, KeySend)>,
    pub engines: Engines,
    /// Number of processes that took over from another.
    pub takeovers: u32,
}

impl Upgrades {
    pub(crate) fn simulate(seed: u64, creates_marker: bool) -> Self {
        let mut simulation = Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            disk: FaultyDisk::new(seed),
            machine: Machine::new(),
            now: BEGIN,
            creates_marker,
            shared: Vec::new(),
            engines: Engines::default(),
            takeovers: 0,
        };
        while simulation.now < END {
            simulation.run_until_all_end();
        }
        simulation
    }

    /// Starts a process and upgrades it until no process is left, then advances the time to the next start.
    fn run_until_all_end(&mut self) {
        let started = self.now;
        let offset = self.machine.clock_offset(started);
        self.run_upgrades(offset);
        let down = downtime(&mut self.rng, 1_500.0);
        self.machine.advance(self.now - started + down);
        self.now += down;
        if self.machine.may_restart(&mut self.rng) {
            self.shared.clear();
        }
        if self.rng.random_bool(0.5) {
            self.shared.clear();
        }
    }

    fn run_upgrades(&mut self, offset: ClockOffset) {
        let mut old = self.start_first(offset);
        let mut new: Option<Process> = None;
        let end = self.now + self.rng.random_range(500.0..60_000.0);
        let mut maintained_at = self.now;
        let mut next_change = self.draw_next_upgrade();
        while self.now < end {
            self.now += self.rng.random_range(1.0..60.0);
            if self.now >= maintained_at + MAINTENANCE_INTERVAL {
                maintained_at = self.now;
                old.incarnation.maintain(self.now);
            }
            self.step(&mut old);
            if let Some(new) = &mut new {
                self.step(new);
            }
            if self.now < next_change {
                continue;
            }
            match new.take() {
                None => {
                    new = Some(self.start_successor(offset));
                    next_change = self.now + self.rng.random_range(50.0..5_000.0);
                }
                Some(mut successor) if self.rng.random_bool(0.6) => {
                    if !self.take_over(&mut successor, offset) {
                        break;
                    }
                    old = successor;
                    next_change = self.draw_next_upgrade();
                }
                // The new process is killed. The old one reads the sends of the new one in the shared folder.
                Some(_) if self.rng.random_bool(0.5) => next_change = self.draw_next_upgrade(),
                // Both processes are killed.
                Some(_) => break,
            }
        }
        self.disk.restart();
    }

    fn draw_next_upgrade(&mut self) -> f64 {
        self.now + self.rng.random_range(100.0..8_000.0)
    }

    fn start_first(&mut self, offset: ClockOffset) -> Process {
        let mode = LogState::Open { required: false };
        let process = Process::new(Incarnation::start(&self.disk, mode, self.now, offset));
        if process.incarnation.deduplication.healthy() {
            self.remove_marker();
        }
        process
    }

    /// Starts a process that takes over from the running one.
    fn start_successor(&mut self, offset: ClockOffset) -> Process {
        let recovered = self.recover_from_peer(offset);
        let mode = if recovered.is_some() { LogState::Off } else { LogState::Missing };
        let mut deduplication = DeduplicationWindow::new(mode, WINDOW, MAX_KEYS, self.now);
        if let Some(trusted) = recovered {
            deduplication.restore(trusted, self.now);
        }
        if self.creates_marker {
            let mut disk = self.disk.clone();
            disk.create(MARKER).and_then(|()| disk.sync_names()).expect("the disk works");
        }
        Process::new(Incarnation { deduplication, log: None, offset })
    }

    /// Ends the old process. The successor notices the end after a short delay, continues to run until then, and then takes over
    /// the log. Returns whether the successor survives, as it may be killed before its first log file is written.
    fn take_over(&mut self, successor: &mut Process, offset: ClockOffset) -> bool {
        let noticed_at = self.now + self.rng.random_range(0.0..150.0);
        while self.now < noticed_at {
            self.now += self.rng.random_range(1.0..30.0);
            self.step(successor);
        }
        successor.merge_shared(&self.shared, self.now);
        let recovered = self.recover_from_peer(offset);
        let incarnation = &mut successor.incarnation;
        incarnation.deduplication.take_log(false, recovered, self.now);
        incarnation.log = IdempotencyLog::open(Box::new(self.disk.clone())).ok();
        if self.rng.random_bool(0.2) {
            return false;
        }
        incarnation.maintain(self.now);
        assert!(incarnation.deduplication.healthy(), "the disk works");
        self.remove_marker();
        self.takeovers += 1;
        true
    }

    /// Receives a request in a random fraction of the calls, and sends the requests that are due.
    fn step(&mut self, process: &mut Process) {
        let now = self.now;
        if self.rng.random_bool(0.5) {
            // A process merges the other's latest sends before it accepts a keyed request.
            process.merge_shared(&self.shared, now);
            process.waiting.extend(process.incarnation.receive_request(&mut self.rng, now));
        }
        let due: Vec<_> = process.waiting.extract_if(.., |request| request.send_at <= now).collect();
        for request in due {
            if process.incarnation.may_send(&request, now) {
                self.shared.push((request.key, KeySend { at: now, window: WINDOW }));
                let arrives = now + self.rng.random_range(0.0..MARGIN / 2.0);
                self.engines.execute(request.key, request.received, arrives);
            }
        }
    }

    fn recover_from_peer(&self, offset: ClockOffset) -> Option<TrustedLog> {
        let boot = BootTime { now: self.now + offset.by, boot_id: Some(offset.boot_id) };
        let recovered = idempotency_log::recover_from_peer(&self.disk, &boot, WINDOW);
        recovered.ok().map(|trusted| offset.restored_log(trusted))
    }

    fn remove_marker(&self) {
        let mut disk = self.disk.clone();
        let _ = disk.remove(MARKER).and_then(|()| disk.sync_names());
    }
}
