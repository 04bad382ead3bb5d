//! Nothing keyed runs twice. Successive processes of a gateway in virtual time, on a disk that fails, each stopped at any
//! moment; clients that repeat their loads; engines that drop repeats of a key for a window and no longer.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use starlingplank_persistence::boot_time::BootTime;
use starlingplank_persistence::clock_offset::ClockOffset;
use starlingplank_persistence::deduplication_window::{
    key, Admission, DeduplicationWindow, Key, KeySend, KeySends, LogState, SendPermission,
};
use starlingplank_persistence::disk::Disk as _;
use starlingplank_persistence::idempotency_log::{self, IdempotencyLog, Record};
use starlingplank_test_doubles::disk::{Fault, FaultyDisk};
use std::collections::HashMap;

const WINDOW: f64 = 12_000.0;
const MARGIN: f64 = 20.0;
const KEYS: u64 = 12;

/// All engines as one: repeats are dropped by any of them.
#[derive(Default)]
struct Engines {
    first: HashMap<Key, f64>,
    /// When each run of a key began, and when its request was received.
    runs: HashMap<Key, Vec<(f64, f64)>>,
}

impl Engines {
    fn take(&mut self, key: Key, received: f64, now: f64) {
        if self.first.get(&key).is_some_and(|at| now < at + WINDOW) {
            return;
        }
        self.first.insert(key, now);
        self.runs.entry(key).or_default().push((now, received));
    }

    /// Runs of a request that was received within the window of an earlier run, or before it.
    fn twice(&self) -> usize {
        let again = |runs: &Vec<(f64, f64)>| runs.windows(2).filter(|w| w[1].1 < w[0].0 + WINDOW).count();
        self.runs.values().map(again).sum()
    }

    fn all(&self) -> usize {
        self.runs.values().map(Vec::len).sum()
    }
}

/// A process of the gateway.
struct Incarnation {
    deduplication: DeduplicationWindow,
    log: Option<IdempotencyLog>,
    /// Between the boot clock and this process's.
    offset: ClockOffset,
}

impl Incarnation {
    fn start(disk: &FaultyDisk, mode: LogState, now: f64, offset: ClockOffset) -> Self {
        let mut deduplication = DeduplicationWindow::new(mode, WINDOW, 1_000, now);
        let log = matches!(mode, LogState::Open { .. }).then(|| {
            let boot = BootTime { now: now + offset.by, boot_id: Some(offset.boot_id) };
            if let Ok(trusted) = idempotency_log::recover(disk, &boot, WINDOW) {
                deduplication.restore(offset.restored_log(trusted), now);
            }
            IdempotencyLog::open(Box::new(disk.clone()))
        });
        let mut incarnation = Self { deduplication, log: log.and_then(Result::ok), offset };
        incarnation.maintain(now);
        incarnation
    }

    /// Once a second.
    fn maintain(&mut self, now: f64) {
        if let Some(rewrite) = self.deduplication.rewrite(now) {
            let stored = |(key, sends): &(Key, KeySends)| (*key, self.offset.stored_sends(*sends));
            let keys: Vec<_> = rewrite.keys.iter().map(stored).collect();
            let mark = rewrite.mark.map(|mark| self.offset.stored_mark(mark));
            match self.log.as_mut().map(|log| log.rewrite(&keys, mark)) {
                Some(Ok(_)) => drop(self.deduplication.rewritten(&rewrite.keys)),
                _ => drop(self.deduplication.failed()),
            }
        }
        if let Some(mark) = self.deduplication.mark(now) {
            let mark = self.offset.stored_mark(mark);
            let wrote = self.log.as_mut().map(|log| log.append(&[Record::Mark(mark)]));
            if !matches!(wrote, Some(Ok(_))) {
                self.deduplication.failed();
            }
        }
    }

    fn leave(&mut self, key: Key, now: f64) -> bool {
        match self.deduplication.permit_send(&key, WINDOW, now) {
            SendPermission::Denied => false,
            SendPermission::Now => true,
            SendPermission::AfterRecord(sent) => {
                let there = self.offset.stored_send(sent);
                if let Some(Ok(_)) = self.log.as_mut().map(|log| log.append(&[Record::KeySend(key, there)])) {
                    self.deduplication.recorded(&key, sent, now)
                } else {
                    self.deduplication.failed();
                    false
                }
            }
        }
    }
}

/// What the disk may do.
#[derive(Clone, Copy, PartialEq)]
enum Disk {
    /// It only stops with the program.
    Good,
    /// It fails, runs full, and is missing for whole processes.
    Bad,
}

/// Ten minutes of successive processes: what the engines received, and the number of processes.
fn simulate(seed: u64, required: bool, disk_is: Disk, log: bool) -> (Engines, u32) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let disk = FaultyDisk::new(seed);
    let mut engines = Engines::default();
    let mut now = 1_000_000.0;
    let (mut machine, mut boot) = (5_000.0, [1; 16]);
    let mut incarnations = 0;
    while now < 1_600_000.0 {
        incarnations += 1;
        let log_missing = disk_is == Disk::Bad && !required && rng.random_bool(0.15);
        let mode = match (log, log_missing) {
            (false, _) => LogState::Off,
            (true, true) => LogState::Missing,
            (true, false) => LogState::Open { required },
        };
        let mut incarnation =
            Incarnation::start(&disk, mode, now, ClockOffset { by: machine - now, boot_id: boot });
        let born = now;
        let max_duration = if rng.random_bool(0.3) { 60_000.0 } else { 9_000.0 };
        let end = now + rng.random_range(50.0..max_duration);
        let mut waiting: Vec<(f64, Key, f64, f64)> = Vec::new();
        let mut second = now;
        if rng.random_bool(0.3) {
            disk.fault(
                rng.random_range(0..30),
                if rng.random() { Fault::StopBefore } else { Fault::StopAfter },
            );
        }
        while now < end && !disk.stopped() {
            now += rng.random_range(1.0..120.0);
            if now >= second + 1_000.0 {
                second = now;
                incarnation.maintain(now);
                if disk_is == Disk::Bad && rng.random_bool(0.05) {
                    let all = [Fault::Fail, Fault::FailAfter, Fault::Full];
                    disk.fault(rng.random_range(0..4), all[rng.random_range(0..3)]);
                }
            }
            if rng.random_bool(0.5) {
                let key = key(&rng.random_range(0..KEYS).to_string());
                if let Admission::Until(by) = incarnation.deduplication.admit(&key, WINDOW, now, MARGIN) {
                    // Some wait long: it is what makes repeats dangerous.
                    let wait = if rng.random_bool(0.2) { 25_000.0 } else { 700.0 };
                    waiting.push((now + rng.random_range(0.0..wait), key, by, now));
                }
            }
            let due: Vec<_> = waiting.extract_if(.., |w| w.0 <= now).collect();
            for (_, key, by, received) in due {
                if now < by && incarnation.leave(key, now) {
                    engines.take(key, received, now + rng.random_range(0.0..MARGIN / 2.0));
                }
            }
        }
        disk.restart();
        let down = if rng.random_bool(0.7) {
            rng.random_range(5.0..3_000.0)
        } else {
            rng.random_range(0.0..40_000.0)
        };
        machine += now - born + down;
        now += down;
        if rng.random_bool(0.1) {
            (machine, boot) = (rng.random_range(0.0..20_000.0), [rng.random(); 16]);
        }
    }
    (engines, incarnations)
}

#[test]
fn nothing_keyed_runs_twice_through_stops_at_any_point() {
    let (mut runs, mut incarnations) = (0, 0);
    for seed in 0..300 {
        let (engines, n) = simulate(seed, seed % 2 == 0, Disk::Good, true);
        assert_eq!(engines.twice(), 0, "seed {seed}");
        (runs, incarnations) = (runs + engines.all(), incarnations + n);
    }
    assert!(runs > 10_000 && incarnations > 5_000, "loads do run: {runs} in {incarnations} lives");
}

#[test]
fn nothing_keyed_runs_twice_on_a_disk_that_fails_or_is_gone() {
    let mut runs = 0;
    for seed in 1_000..1_300 {
        let (engines, _) = simulate(seed, seed % 2 == 0, Disk::Bad, true);
        assert_eq!(engines.twice(), 0, "seed {seed}");
        runs += engines.all();
    }
    assert!(runs > 5_000, "loads do run: {runs}");
}

/// The same processes without a log: shows that the test can fail.
#[test]
fn without_a_log_loads_do_run_twice() {
    let twice: usize = (0..40).map(|seed| simulate(seed, false, Disk::Good, false).0.twice()).sum();
    assert!(twice > 20, "{twice}");
}

/// One of two processes of a gateway, in an upgrade: what it sends is in a folder that both read, and that a start of the
/// machine, or who tidies up, empties.
struct Process {
    incarnation: Incarnation,
    /// How many of the shared sends it has merged.
    merged: usize,
    waiting: Vec<(f64, Key, f64, f64)>,
}

impl Process {
    fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, merged: 0, waiting: Vec::new() }
    }

    fn merge_shared(&mut self, shared: &[(Key, KeySend)], now: f64) {
        for (key, sent) in shared.iter().skip(self.merged) {
            self.incarnation.deduplication.merge_peer_sends(*key, KeySends::one(*sent), now);
        }
        self.merged = shared.len();
    }

    fn step(
        &mut self,
        rng: &mut Pcg64Mcg,
        shared: &mut Vec<(Key, KeySend)>,
        engines: &mut Engines,
        now: f64,
    ) {
        if rng.random_bool(0.5) {
            // What the other has just sent counts before a keyed request is taken.
            self.merge_shared(shared, now);
            let key = key(&rng.random_range(0..KEYS).to_string());
            if let Admission::Until(by) = self.incarnation.deduplication.admit(&key, WINDOW, now, MARGIN) {
                let wait = if rng.random_bool(0.2) { 25_000.0 } else { 700.0 };
                self.waiting.push((now + rng.random_range(0.0..wait), key, by, now));
            }
        }
        let due: Vec<_> = self.waiting.extract_if(.., |w| w.0 <= now).collect();
        for (_, key, by, received) in due {
            if now < by && self.incarnation.leave(key, now) {
                shared.push((key, KeySend { at: now, window: WINDOW }));
                engines.take(key, received, now + rng.random_range(0.0..MARGIN / 2.0));
            }
        }
    }
}

/// Ten minutes of upgrades: versions follow each other, either of two processes or both are killed at any moment, the
/// shared folder is sometimes emptied before the next start, the machine sometimes started anew. `creates_marker`:
/// a process that follows another creates the marker of unrecorded sends.
fn upgrades(seed: u64, creates_marker: bool) -> (Engines, u32) {
    const MARKER: &str = "beside-1";
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let disk = FaultyDisk::new(seed);
    let mut engines = Engines::default();
    let mut shared: Vec<(Key, KeySend)> = Vec::new();
    let (mut now, mut machine, mut boot, mut taken) = (1_000_000.0, 5_000.0, [1; 16], 0);
    let remove_marker = |disk: &FaultyDisk| {
        let mut disk = disk.clone();
        let _ = disk.remove(MARKER).and_then(|()| disk.sync_names());
    };
    while now < 1_600_000.0 {
        let born = now;
        let mut old = Process::new(Incarnation::start(
            &disk,
            LogState::Open { required: false },
            now,
            ClockOffset { by: machine - now, boot_id: boot },
        ));
        if old.incarnation.deduplication.healthy() {
            remove_marker(&disk);
        }
        let mut new: Option<Process> = None;
        let end = now + rng.random_range(500.0..60_000.0);
        let mut second = now;
        let mut upgrade = now + rng.random_range(100.0..8_000.0);
        while now < end {
            now += rng.random_range(1.0..60.0);
            if now >= second + 1_000.0 {
                second = now;
                old.incarnation.maintain(now);
            }
            old.step(&mut rng, &mut shared, &mut engines, now);
            if let Some(new) = &mut new {
                new.step(&mut rng, &mut shared, &mut engines, now);
            }
            if now < upgrade {
                continue;
            }
            let offset = ClockOffset { by: machine - born, boot_id: boot };
            let recover = |now: f64| {
                let boot = BootTime { now: now + offset.by, boot_id: Some(boot) };
                let found = idempotency_log::recover_from_peer(&disk, &boot, WINDOW);
                found.ok().map(|trusted| offset.restored_log(trusted))
            };
            match new.take() {
                // A new one starts, and follows.
                None => {
                    let found = recover(now);
                    let kind = if found.is_some() { LogState::Off } else { LogState::Missing };
                    let mut deduplication = DeduplicationWindow::new(kind, WINDOW, 1_000, now);
                    if let Some(trusted) = found {
                        deduplication.restore(trusted, now);
                    }
                    if creates_marker {
                        let mut disk = disk.clone();
                        disk.create(MARKER).and_then(|()| disk.sync_names()).expect("a good disk");
                    }
                    new = Some(Process::new(Incarnation { deduplication, log: None, offset }));
                    upgrade = now + rng.random_range(50.0..5_000.0);
                }
                // The old one ends, and the new one sees it a little later: until then it goes on.
                Some(mut next) if rng.random_bool(0.6) => {
                    let seen = now + rng.random_range(0.0..150.0);
                    while now < seen {
                        now += rng.random_range(1.0..30.0);
                        next.step(&mut rng, &mut shared, &mut engines, now);
                    }
                    next.merge_shared(&shared, now);
                    next.incarnation.deduplication.take_log(false, recover(now), now);
                    next.incarnation.log = IdempotencyLog::open(Box::new(disk.clone())).ok();
                    // It may be killed before its first file is there.
                    if rng.random_bool(0.2) {
                        break;
                    }
                    next.incarnation.maintain(now);
                    assert!(next.incarnation.deduplication.healthy(), "a good disk");
                    remove_marker(&disk);
                    (old, taken) = (next, taken + 1);
                    upgrade = now + rng.random_range(100.0..8_000.0);
                }
                // The new one is killed; the old one has what it sent.
                Some(_) if rng.random_bool(0.5) => upgrade = now + rng.random_range(100.0..8_000.0),
                // Both are.
                Some(_) => break,
            }
        }
        disk.restart();
        let down = if rng.random_bool(0.7) {
            rng.random_range(5.0..1_500.0)
        } else {
            rng.random_range(0.0..40_000.0)
        };
        machine += now - born + down;
        now += down;
        if rng.random_bool(0.1) {
            (machine, boot) = (rng.random_range(0.0..20_000.0), [rng.random(); 16]);
            shared.clear();
        }
        if rng.random_bool(0.5) {
            shared.clear();
        }
    }
    (engines, taken)
}

#[test]
fn nothing_keyed_runs_twice_while_versions_take_over_from_each_other() {
    let (mut runs, mut taken) = (0, 0);
    for seed in 0..300 {
        let (engines, n) = upgrades(seed, true);
        assert_eq!(engines.twice(), 0, "seed {seed}");
        (runs, taken) = (runs + engines.all(), taken + n);
    }
    assert!(runs > 10_000 && taken > 5_000, "{runs} runs, {taken} versions took over");
}

/// The same without a word beside the log: the test sees what that is for.
#[test]
fn upgrade_cut_short_that_nobody_knows_of_runs_loads_twice() {
    let twice: usize = (0..100).map(|seed| upgrades(seed, false).0.twice()).sum();
    assert!(twice > 0, "{twice}");
}
