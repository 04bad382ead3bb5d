//! Tests of the threads that write: a disk that hangs does not delay the caller, failures are reported, and records that wait
//! are written together. Also tests of a folder's permissions and lock, and of the commands that examine a folder.

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

const MAX_BYTES: usize = 1 << 20;
const OFFSET: ClockOffset = ClockOffset { by: 0.0, boot_id: [1; 16] };

/// A disk whose syncs hang until the gate is opened.
struct HangingDisk(FaultyDisk, Arc<(Mutex<bool>, Condvar)>);

impl Disk for HangingDisk {
    fn names(&self) -> io::Result<Vec<String>> {
        self.0.names()
    }
    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>> {
        self.0.read(name, max_bytes)
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.0.create(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize> {
        self.0.append(name, bytes)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        let (open, changed) = &*self.1;
        let mut open = open.lock().expect("the lock is not poisoned");
        while !*open {
            open = changed.wait(open).expect("the lock is not poisoned");
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

/// Returns a disk whose syncs hang, and a function that ends this.
fn hanging_disk() -> (HangingDisk, impl Fn()) {
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let opener = gate.clone();
    let open = move || {
        *opener.0.lock().expect("the lock is not poisoned") = true;
        opener.1.notify_all();
    };
    (HangingDisk(FaultyDisk::new(1), gate), open)
}

fn start_log_writer(
    disk: Box<dyn Disk>,
) -> (IdempotencyLogWriter, Receiver<(IdempotencyLogEvent, WriteStatistics)>) {
    let (sender, outcomes) = channel();
    let writer = IdempotencyLogWriter::start(disk, OFFSET, move |n, w| drop(sender.send((n, w))))
        .expect("the thread starts");
    (writer, outcomes)
}

fn first_file() -> Rewrite {
    Rewrite { keys: Vec::new(), mark: Some(LogMark { at: 1.0, blocked_until: None }) }
}

#[test]
fn hanging_snapshot_write_does_not_block_the_caller_and_excess_snapshots_are_rejected() {
    let (disk, open) = hanging_disk();
    let (sender, outcomes) = channel();
    let (store, _) = SnapshotStore::open(Box::new(disk), MAX_BYTES).expect("the folder can be read");
    let mut writer = SnapshotWriter::start(store, move |n| drop(sender.send(n))).expect("the thread starts");
    let queued = (0..50).filter(|n| writer.save(snapshot(f64::from(*n), 1))).count();
    // One snapshot is being written and one waits, or the thread has not yet taken the first one from the queue.
    assert!((1..=2).contains(&queued), "{queued}");
    assert!(!writer.finished() && outcomes.try_recv().is_err());
    open();
    assert!(matches!(outcomes.recv(), Ok(SnapshotEvent::Saved(_))));
    while !writer.finished() {
        std::thread::yield_now();
    }
}

#[test]
fn records_that_wait_together_are_written_together_and_each_is_reported() {
    let (disk, open) = hanging_disk();
    let (writer, outcomes) = start_log_writer(Box::new(disk));
    assert!(writer.rewrite(first_file()));
    let send = KeySend { at: 5.0, window: 12_000.0 };
    assert!((0..100).all(|n| writer.record(n, key(&n.to_string()), send)));
    assert!(outcomes.try_recv().is_err(), "no record is durable yet");
    open();
    let mut reported = Vec::new();
    while reported.len() < 100 {
        match outcomes.recv().expect("an outcome is reported") {
            (IdempotencyLogEvent::Recorded(tickets), _) => reported.extend(tickets),
            (IdempotencyLogEvent::Rewritten(_), _) => {}
            (outcome, _) => panic!("{outcome:?}"),
        }
    }
    assert_eq!(reported, (0..100).collect::<Vec<_>>());
}

#[test]
fn failed_log_accepts_no_records_until_it_is_rewritten() {
    let disk = FaultyDisk::new(1);
    let (writer, outcomes) = start_log_writer(Box::new(disk.clone()));
    assert!(writer.rewrite(first_file()));
    assert!(matches!(outcomes.recv(), Ok((IdempotencyLogEvent::Rewritten(_), _))));
    let send = KeySend { at: 5.0, window: 12_000.0 };
    disk.inject_fault(0, Fault::Full);
    for ticket in 0..2 {
        assert!(writer.record(ticket, key("a"), send));
        assert!(matches!(outcomes.recv(), Ok((IdempotencyLogEvent::Failed(t, _), _)) if t == [ticket]));
    }
    disk.restart();
    assert!(writer.record(2, key("a"), send));
    assert!(
        matches!(outcomes.recv(), Ok((IdempotencyLogEvent::Failed(..), _))),
        "there is space again, but the end of the file is unknown"
    );
    assert!(writer.rewrite(first_file()) && writer.record(3, key("a"), send));
    assert!(matches!(outcomes.recv(), Ok((IdempotencyLogEvent::Rewritten(_), _))));
    assert!(matches!(outcomes.recv(), Ok((IdempotencyLogEvent::Recorded(t), _)) if t == [3]));
}

#[test]
fn records_beyond_the_queue_s_capacity_are_rejected_at_once() {
    let (disk, open) = hanging_disk();
    let (writer, _outcomes) = start_log_writer(Box::new(disk));
    writer.rewrite(first_file());
    let send = KeySend { at: 5.0, window: 12_000.0 };
    let queued = (0..10_000).filter(|n| writer.record(*n, key("a"), send)).count();
    assert!(queued < 5_000, "{queued}");
    open();
}

#[test]
fn folder_is_accessible_only_to_its_owner_and_locked_by_one_process() {
    let parent = tempfile::tempdir().expect("a temporary folder is created");
    let path = parent.path().join("a/b");
    let folder = Folder::open(&path).expect("the folder is created");
    let mode =
        |p: &std::path::Path| std::fs::metadata(p).expect("the file exists").permissions().mode() & 0o777;
    assert_eq!((mode(&path), mode(&path.join("lock"))), (0o700, 0o600));
    assert!(matches!(Folder::open(&path), Err(FolderError::Locked { .. })));
    let (mut store, _) = SnapshotStore::open(Box::new(folder.disk().closing_written_files()), MAX_BYTES)
        .expect("the folder can be read");
    store.save(&snapshot(1.0, 1)).expect("the snapshot is saved");
    assert_eq!(mode(&path.join("snapshot-0000000000000001.spk")), 0o600);
    drop(folder);
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).expect("the permissions are set");
    let error = Folder::open(&path).expect_err("other users have access").to_string();
    assert!(error.contains("chmod 700"), "{error}");
    let file = parent.path().join("file");
    std::fs::write(&file, "x").expect("the file is written");
    assert!(matches!(Folder::open(&file), Err(FolderError::Io { .. })));
    assert!(matches!(Folder::open(&file.join("under")), Err(FolderError::Io { .. })));
}

#[test]
fn verify_distinguishes_intact_damaged_and_empty_folders() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let verify = || inspection::verify(folder.path()).expect("the folder can be read");
    assert_eq!(verify().code(), 2);
    assert_eq!(inspection::verify(&folder.path().join("none")).expect("a missing folder is empty").code(), 2);
    let (mut store, _) =
        SnapshotStore::open(Box::new(Files::new(folder.path()).closing_written_files()), MAX_BYTES)
            .expect("the folder can be read");
    store.save(&snapshot(1.0, 1)).expect("the snapshot is saved");
    let (writer, outcomes) = start_log_writer(Box::new(Files::new(folder.path())));
    writer.rewrite(first_file());
    assert!(matches!(outcomes.recv(), Ok((IdempotencyLogEvent::Rewritten(_), _))));
    assert_eq!(verify().code(), 0);
    let log = folder.path().join("keys-0000000000000001.spl");
    let mut bytes = std::fs::read(&log).expect("the file exists");
    bytes.extend([1, 2, 3]);
    std::fs::write(&log, &bytes).expect("the file is written");
    assert_eq!((verify().code(), verify().torn_bytes), (0, 3), "an incomplete write is not a fault");
    bytes[3] ^= 1;
    std::fs::write(&log, &bytes).expect("the file is written");
    let result = verify();
    assert_eq!((result.code(), result.faults[0].offset), (1, Some(3)));
    assert!(result.faults[0].to_string().starts_with("keys-0000000000000001.spl: at byte 3"), "{result:?}");
    let shown = inspection::show(folder.path(), 61.0, &SETTINGS)
        .expect("the folder can be read")
        .expect("there is a snapshot");
    let text = inspection::text(&shown);
    assert!(text.contains("engines[s-0].slowness = 1\n") && text.contains("age_ms = 60\n"), "{text}");
}

const SETTINGS: starlingplank_persistence::recovery::RecoverySettings =
    starlingplank_persistence::recovery::DEFAULT_SETTINGS;

/// A disk on which no file can be created while the flag is set.
#[derive(Clone)]
struct FullDisk(FaultyDisk, Arc<std::sync::atomic::AtomicBool>);

impl Disk for FullDisk {
    fn names(&self) -> io::Result<Vec<String>> {
        self.0.names()
    }
    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>> {
        self.0.read(name, max_bytes)
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

/// Lists arrive every second. If each failed write were reported, a full disk would flood the log: only the first failure and
/// the first success after it are reported.
#[test]
fn failing_list_writes_are_reported_once_when_they_begin_and_once_when_they_end() {
    use starlingplank_persistence::cached_endpoints::{self, CachedEndpoints};
    use starlingplank_persistence::writers::EndpointCacheWriter;
    let disk = FullDisk(FaultyDisk::new(3), Arc::default());
    let (sender, reported) = channel();
    let notify = move |health: EndpointCacheHealth| {
        let _ = sender.send(matches!(health, EndpointCacheHealth::Failing(_)));
    };
    let writer = EndpointCacheWriter::start(Box::new(disk.clone()), notify).expect("the thread starts");
    let list =
        |confirmed_at: f64| CachedEndpoints { confirmed_at, endpoints: Vec::new(), removed: Vec::new() };
    // Retries until this number of lists was queued. As one list may wait, the thread has written all but the last two.
    let save = |times: usize| {
        let queued = (0..300_000_000_u64).filter(|_| {
            let queued = writer.save(list(1.0));
            if !queued {
                std::thread::yield_now();
            }
            queued
        });
        assert_eq!(queued.take(times).count(), times);
    };
    for _ in 0..3 {
        disk.1.store(true, std::sync::atomic::Ordering::SeqCst);
        save(5);
        assert_eq!(reported.recv(), Ok(true));
        disk.1.store(false, std::sync::atomic::Ordering::SeqCst);
        save(5);
        assert_eq!(reported.recv(), Ok(false), "one report for the failures and one for the recovery");
    }
    assert!(matches!(cached_endpoints::load(&disk), Ok(Some(l)) if l.confirmed_at == 1.0));
}
