//! The threads that write: a disk that hangs delays nobody, failures are reported, records that wait are written together.

mod common;

use common::snapshot;
use starlingplank_persistence::clock_offset::ClockOffset;
use starlingplank_persistence::deduplication_window::{key, KeySend, LogMark, Rewrite};
use starlingplank_persistence::disk::Disk;
use starlingplank_persistence::folder::{Files, Folder, FolderError};
use starlingplank_persistence::inspection;
use starlingplank_persistence::snapshot_store::SnapshotStore;
use starlingplank_persistence::writers::{
    EndpointCacheHealth, IdempotencyLogEvent, IdempotencyLogWriter, SnapshotEvent, SnapshotWriter,
    WriteStatistics,
};
use starlingplank_test_doubles::disk::{Fault, FaultyDisk};
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Condvar, Mutex};

const MOST: usize = 1 << 20;
const OFFSET: ClockOffset = ClockOffset { by: 0.0, boot_id: [1; 16] };

/// A disk whose syncs hang until it is let go.
struct Hanging(FaultyDisk, Arc<(Mutex<bool>, Condvar)>);

impl Disk for Hanging {
    fn names(&self) -> io::Result<Vec<String>> {
        self.0.names()
    }
    fn read(&self, name: &str, most: u64) -> io::Result<Option<Vec<u8>>> {
        self.0.read(name, most)
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.0.create(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize> {
        self.0.append(name, bytes)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        let (open, changed) = &*self.1;
        let mut open = open.lock().expect("lock");
        while !*open {
            open = changed.wait(open).expect("wait");
        }
        self.0.sync(name)
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }
    fn sync_names(&mut self) -> io::Result<()> {
        self.0.sync_names()
    }
}

fn hanging() -> (Hanging, impl Fn()) {
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let opener = gate.clone();
    let open = move || {
        *opener.0.lock().expect("lock") = true;
        opener.1.notify_all();
    };
    (Hanging(FaultyDisk::new(1), gate), open)
}

fn keys(disk: Box<dyn Disk>) -> (IdempotencyLogWriter, Receiver<(IdempotencyLogEvent, WriteStatistics)>) {
    let (sender, outcomes) = channel();
    let writer =
        IdempotencyLogWriter::start(disk, OFFSET, move |n, w| drop(sender.send((n, w)))).expect("it starts");
    (writer, outcomes)
}

fn begin() -> Rewrite {
    Rewrite { keys: Vec::new(), mark: Some(LogMark { at: 1.0, blocked_until: None }) }
}

#[test]
fn snapshot_that_hangs_holds_up_no_caller_and_the_ones_behind_it_are_left_out() {
    let (disk, open) = hanging();
    let (sender, outcomes) = channel();
    let (store, _) = SnapshotStore::open(Box::new(disk), MOST).expect("empty");
    let mut writer = SnapshotWriter::start(store, move |n| drop(sender.send(n))).expect("it starts");
    let taken = (0..50).filter(|n| writer.save(snapshot(f64::from(*n), 1))).count();
    // One is being written and one waits, or the first was not picked up yet.
    assert!((1..=2).contains(&taken), "{taken}");
    assert!(!writer.finished() && outcomes.try_recv().is_err());
    open();
    assert!(matches!(outcomes.recv(), Ok(SnapshotEvent::Saved(_))));
    while !writer.finished() {
        std::thread::yield_now();
    }
}

#[test]
fn records_that_wait_together_are_durable_by_one_sync_and_each_is_told_of() {
    let (disk, open) = hanging();
    let (writer, outcomes) = keys(Box::new(disk));
    assert!(writer.rewrite(begin()));
    let sent = KeySend { at: 5.0, window: 12_000.0 };
    assert!((0..100).all(|n| writer.record(n, key(&n.to_string()), sent)));
    assert!(outcomes.try_recv().is_err(), "none is durable yet");
    open();
    let mut reported = Vec::new();
    while reported.len() < 100 {
        match outcomes.recv().expect("an outcome") {
            (IdempotencyLogEvent::Recorded(tickets), _) => reported.extend(tickets),
            (IdempotencyLogEvent::Rewritten(_), _) => {}
            (outcome, _) => panic!("{outcome:?}"),
        }
    }
    assert_eq!(reported, (0..100).collect::<Vec<_>>());
}

#[test]
fn log_that_failed_takes_nothing_until_it_is_begun_anew() {
    let disk = FaultyDisk::new(1);
    let (writer, outcomes) = keys(Box::new(disk.clone()));
    assert!(writer.rewrite(begin()));
    assert!(matches!(outcomes.recv(), Ok((IdempotencyLogEvent::Rewritten(_), _))));
    let sent = KeySend { at: 5.0, window: 12_000.0 };
    disk.fault(0, Fault::Full);
    for ticket in 0..2 {
        assert!(writer.record(ticket, key("a"), sent));
        assert!(matches!(outcomes.recv(), Ok((IdempotencyLogEvent::Failed(t, _), _)) if t == [ticket]));
    }
    disk.restart();
    assert!(writer.record(2, key("a"), sent));
    assert!(
        matches!(outcomes.recv(), Ok((IdempotencyLogEvent::Failed(..), _))),
        "there is space, but how the file ends is unknown"
    );
    assert!(writer.rewrite(begin()) && writer.record(3, key("a"), sent));
    assert!(matches!(outcomes.recv(), Ok((IdempotencyLogEvent::Rewritten(_), _))));
    assert!(matches!(outcomes.recv(), Ok((IdempotencyLogEvent::Recorded(t), _)) if t == [3]));
}

#[test]
fn more_than_may_wait_are_turned_away_at_once() {
    let (disk, open) = hanging();
    let (writer, _outcomes) = keys(Box::new(disk));
    writer.rewrite(begin());
    let sent = KeySend { at: 5.0, window: 12_000.0 };
    let taken = (0..10_000).filter(|n| writer.record(*n, key("a"), sent)).count();
    assert!(taken < 5_000, "{taken}");
    open();
}

#[test]
fn folder_is_the_owner_s_alone_and_one_process_s() {
    let parent = tempfile::tempdir().expect("a folder");
    let path = parent.path().join("a/b");
    let folder = Folder::open(&path).expect("it is made");
    let mode = |p: &std::path::Path| std::fs::metadata(p).expect("there").permissions().mode() & 0o777;
    assert_eq!((mode(&path), mode(&path.join("lock"))), (0o700, 0o600));
    assert!(matches!(Folder::open(&path), Err(FolderError::Locked { .. })));
    let (mut store, _) =
        SnapshotStore::open(Box::new(folder.disk().closing_written_files()), MOST).expect("empty");
    store.save(&snapshot(1.0, 1)).expect("saved");
    assert_eq!(mode(&path.join("snapshot-0000000000000001.spk")), 0o600);
    drop(folder);
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).expect("set");
    let refused = Folder::open(&path).expect_err("others may read it").to_string();
    assert!(refused.contains("chmod 700"), "{refused}");
    let file = parent.path().join("file");
    std::fs::write(&file, "x").expect("a file");
    assert!(matches!(Folder::open(&file), Err(FolderError::Io { .. })));
    assert!(matches!(Folder::open(&file.join("under")), Err(FolderError::Io { .. })));
}

#[test]
fn verify_tells_whole_from_faulty_from_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let code = || inspection::verify(folder.path()).expect("read");
    assert_eq!(code().code(), 2);
    assert_eq!(inspection::verify(&folder.path().join("none")).expect("read").code(), 2);
    let (mut store, _) =
        SnapshotStore::open(Box::new(Files::new(folder.path()).closing_written_files()), MOST)
            .expect("empty");
    store.save(&snapshot(1.0, 1)).expect("saved");
    let (writer, outcomes) = keys(Box::new(Files::new(folder.path())));
    writer.rewrite(begin());
    assert!(matches!(outcomes.recv(), Ok((IdempotencyLogEvent::Rewritten(_), _))));
    assert_eq!(code().code(), 0);
    let log = folder.path().join("keys-0000000000000001.spl");
    let mut bytes = std::fs::read(&log).expect("there");
    bytes.extend([1, 2, 3]);
    std::fs::write(&log, &bytes).expect("written");
    assert_eq!((code().code(), code().torn_bytes), (0, 3), "a torn end is no fault");
    bytes[3] ^= 1;
    std::fs::write(&log, &bytes).expect("written");
    let verdict = code();
    assert_eq!((verdict.code(), verdict.faults[0].offset), (1, Some(3)));
    assert!(verdict.faults[0].to_string().starts_with("keys-0000000000000001.spl: at byte 3"), "{verdict:?}");
    let shown = inspection::show(folder.path(), 61.0, &RULES).expect("read").expect("a snapshot");
    let text = inspection::text(&shown);
    assert!(text.contains("engines[s-0].slowness = 1\n") && text.contains("age_ms = 60\n"), "{text}");
}

const RULES: starlingplank_persistence::recovery::RecoverySettings =
    starlingplank_persistence::recovery::DEFAULT;

/// A disk on which nothing can be made while it is said to be full.
#[derive(Clone)]
struct Full(FaultyDisk, Arc<std::sync::atomic::AtomicBool>);

impl Disk for Full {
    fn names(&self) -> io::Result<Vec<String>> {
        self.0.names()
    }
    fn read(&self, name: &str, most: u64) -> io::Result<Option<Vec<u8>>> {
        self.0.read(name, most)
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        match self.1.load(std::sync::atomic::Ordering::SeqCst) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => self.0.create(name),
        }
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize> {
        self.0.append(name, bytes)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.0.sync(name)
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }
    fn sync_names(&mut self) -> io::Result<()> {
        self.0.sync_names()
    }
}

/// Lists come every second: a full disk is told of once, and once when it takes lists again.
#[test]
fn list_that_cannot_be_written_is_told_of_when_that_begins_and_ends() {
    use starlingplank_persistence::cached_endpoints::{self, CachedEndpoints};
    use starlingplank_persistence::writers::EndpointCacheWriter;
    let disk = Full(FaultyDisk::new(3), Arc::default());
    let (sender, reported) = channel();
    let notify = move |health: EndpointCacheHealth| {
        let _ = sender.send(matches!(health, EndpointCacheHealth::Failing(_)));
    };
    let writer = EndpointCacheWriter::start(Box::new(disk.clone()), notify).expect("a thread");
    let list =
        |confirmed_at: f64| CachedEndpoints { confirmed_at, endpoints: Vec::new(), removed: Vec::new() };
    // Tries until so many were taken by the thread that writes.
    let save = |times: usize| {
        let taken = (0..300_000_000_u64).filter(|_| {
            let taken = writer.save(list(1.0));
            if !taken {
                std::thread::yield_now();
            }
            taken
        });
        assert_eq!(taken.take(times).count(), times);
    };
    for _ in 0..3 {
        disk.1.store(true, std::sync::atomic::Ordering::SeqCst);
        save(5);
        assert_eq!(reported.recv(), Ok(true));
        disk.1.store(false, std::sync::atomic::Ordering::SeqCst);
        save(5);
        assert_eq!(reported.recv(), Ok(false), "said once");
    }
    assert!(matches!(cached_endpoints::load(&disk), Ok(Some(l)) if l.confirmed_at == 1.0));
}
