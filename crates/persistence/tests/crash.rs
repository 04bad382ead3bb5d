//! Snapshots and the idempotency log when the program is stopped before or after any disk call, once or twice in a row, and
//! when disk calls fail.

mod common;

use common::snapshot;
use rstest::rstest;
use starlingplank_persistence::boot_time::BootTime;
use starlingplank_persistence::deduplication_window::{key, KeySend, KeySends, TrustedLog};
use starlingplank_persistence::idempotency_log::{self, DistrustedLog, IdempotencyLog, Mark, Record};
use starlingplank_persistence::snapshot as encoding;
use starlingplank_persistence::snapshot_store::{load, SnapshotStore};
use starlingplank_test_doubles::disk::{Fault, FaultyDisk};

const MAX_BYTES: usize = 1 << 20;
const BOOT: [u8; 16] = [7; 16];

/// Saves `count` snapshots, numbered after `from`, or fewer if the disk stops. Returns the number of the last snapshot that was
/// reported as durable.
fn save(disk: &FaultyDisk, from: u64, count: u64) -> u64 {
    let Ok((mut store, _)) = SnapshotStore::open(Box::new(disk.clone()), MAX_BYTES) else { return from };
    let mut last_durable = from;
    for n in from + 1..=from + count {
        if store.save(&snapshot(n as f64, 2)).is_ok() {
            last_durable = n;
        }
    }
    last_durable
}

/// Returns the number of the latest valid snapshot, 0 if there is none, and the number of faulty files.
fn latest(disk: &FaultyDisk) -> (u64, usize) {
    let loaded = load(disk, MAX_BYTES).expect("the folder can be read");
    (loaded.snapshot.map_or(0, |(_, s)| s.taken_at as u64), loaded.faults.len())
}

#[rstest]
fn latest_durable_snapshot_is_loaded_after_a_stop_at_any_disk_call(
    #[values(Fault::StopBefore, Fault::StopAfter)] fault: Fault,
) {
    for seed in 0..20 {
        let calls = {
            let disk = FaultyDisk::new(seed);
            save(&disk, 0, 4);
            disk.calls()
        };
        for at in 0..calls {
            let disk = FaultyDisk::new(seed * 1_000 + at as u64);
            disk.inject_fault(at, fault);
            let durable = save(&disk, 0, 4);
            assert!(disk.has_stopped());
            disk.restart();
            let (taken, faults) = latest(&disk);
            // The snapshot that was being saved at the stop may be complete, although it was not reported as durable.
            assert!(taken == durable || taken == durable + 1, "call {at}: {taken} loaded, {durable} durable");
            assert_eq!(faults, 0, "call {at}: a file under its final name is faulty");
        }
    }
}

#[test]
fn second_stop_during_recovery_from_the_first_loses_no_durable_snapshot() {
    for first in 0..12 {
        for second in 0..12 {
            let disk = FaultyDisk::new(first * 100 + second);
            disk.inject_fault(6 + first as usize, Fault::StopAfter);
            let durable = save(&disk, 0, 4);
            disk.restart();
            let (before, _) = latest(&disk);
            disk.inject_fault(second as usize, Fault::StopBefore);
            let durable_after_restart = save(&disk, before, 2);
            disk.restart();
            let (after, faults) = latest(&disk);
            assert!(
                after >= durable.max(durable_after_restart) && faults == 0,
                "{first}, {second}: {after} of {durable}, {durable_after_restart}"
            );
        }
    }
}

#[rstest]
#[case(Fault::Fail)]
#[case(Fault::FailAfter)]
#[case(Fault::Full)]
fn failed_save_preserves_the_previous_snapshot_and_later_saves_succeed(#[case] fault: Fault) {
    for at in 0..10 {
        let disk = FaultyDisk::new(at as u64);
        let (mut store, _) =
            SnapshotStore::open(Box::new(disk.clone()), MAX_BYTES).expect("the folder can be read");
        store.save(&snapshot(1.0, 2)).expect("the disk works");
        disk.inject_fault(at, fault);
        let second = store.save(&snapshot(2.0, 2));
        let (taken, faults) = latest(&disk);
        assert!(
            faults == 0 && (taken == 2 || second.is_err() && taken == 1),
            "call {at}: {taken}, {second:?}"
        );
        disk.restart();
        let (taken, faults) = latest(&disk);
        assert!(
            faults == 0 && taken >= 1 && (second.is_err() || taken == 2),
            "call {at}: {taken}, {second:?}"
        );
        store.save(&snapshot(3.0, 2)).expect("the disk works again");
        assert_eq!(latest(&disk), (3, 0));
    }
}

#[test]
fn short_writes_are_continued_until_all_bytes_are_written() {
    let disk = FaultyDisk::new(1);
    disk.limit_appends(7);
    assert_eq!((save(&disk, 0, 2), latest(&disk)), (2, (2, 0)));
}

#[test]
fn previous_generation_is_loaded_if_the_latest_is_damaged_and_a_newer_version_is_never_removed() {
    let disk = FaultyDisk::new(1);
    save(&disk, 0, 3);
    let name = "snapshot-0000000000000003.spk";
    let mut damaged = disk.bytes(name).expect("the third generation exists");
    damaged[30] ^= 1;
    disk.put(name, damaged);
    assert_eq!(latest(&disk), (2, 1));

    let name = "snapshot-00000000000000ff.spk";
    let mut newer = encoding::encode(&snapshot(9.0, 1), MAX_BYTES).expect("the snapshot fits");
    newer[8] = 9;
    disk.put(name, newer.clone());
    let (mut store, loaded) =
        SnapshotStore::open(Box::new(disk.clone()), MAX_BYTES).expect("the folder can be read");
    assert!(loaded.faults[0].is_newer_version && loaded.faults[0].reason.contains("version 9 is newer"));
    for n in 10..15 {
        store.save(&snapshot(f64::from(n), 1)).expect("the disk works");
    }
    assert_eq!(disk.bytes(name), Some(newer), "the newer version is unchanged");
    assert_eq!(latest(&disk).0, 14);
}

fn recover(disk: &FaultyDisk, now: f64, boot_id: Option<[u8; 16]>) -> Result<TrustedLog, DistrustedLog> {
    idempotency_log::recover(disk, &BootTime { now, boot_id }, 12_000.0)
}

fn mark(at: f64) -> Mark {
    Mark { at, blocked_until: None, boot_id: BOOT }
}

/// Writes two log files with records in both, or less if the disk stops. Returns the keys whose records were reported as
/// durable.
fn write_log(disk: &FaultyDisk) -> Vec<u32> {
    let send = |n: u32| KeySend { at: f64::from(n), window: 12_000.0 };
    let mut durable = Vec::new();
    let Ok(mut log) = IdempotencyLog::open(Box::new(disk.clone())) else { return durable };
    for file in 0..2_u32 {
        let keys: Vec<_> =
            durable.iter().map(|n| (key(&n.to_string()), KeySends::single(send(*n)))).collect();
        if log.rewrite(&keys, Some(mark(f64::from(file * 10)))).is_err() {
            return durable;
        }
        for n in file * 10..file * 10 + 3 {
            let batch = [Record::KeySend(key(&n.to_string()), send(n)), Record::Mark(mark(f64::from(n)))];
            if log.append(&batch).is_err() {
                return durable;
            }
            durable.push(n);
        }
    }
    durable
}

#[rstest]
fn durable_key_is_recovered_or_the_log_is_not_trusted_after_a_fault_at_any_disk_call(
    #[values(Fault::StopBefore, Fault::StopAfter, Fault::Fail, Fault::FailAfter, Fault::Full)] fault: Fault,
) {
    let mut trusted = 0;
    for seed in 0..20 {
        let calls = {
            let disk = FaultyDisk::new(seed);
            assert_eq!(write_log(&disk).len(), 6);
            disk.calls()
        };
        for at in 0..calls {
            let disk = FaultyDisk::new(seed * 1_000 + at as u64);
            disk.inject_fault(at, fault);
            let durable = write_log(&disk);
            disk.restart();
            let recovered = recover(&disk, 30.0, Some(BOOT));
            let Ok(TrustedLog { sends, .. }) = recovered else { continue };
            trusted += 1;
            for n in durable {
                let is_recovered =
                    sends.iter().any(|(k, f)| *k == key(&n.to_string()) && f.first == f64::from(n));
                assert!(is_recovered, "{fault:?} at call {at}: key {n} was durable and is lost");
            }
        }
    }
    assert!(trusted > 100, "the log was trusted in only {trusted} runs");
}

#[test]
fn log_is_trusted_only_if_intact_recently_marked_and_of_the_current_boot() {
    let disk = FaultyDisk::new(1);
    assert!(recover(&disk, 5.0, Some(BOOT)).is_err(), "there is no log");
    write_log(&disk);
    let at = |now: f64, boot| recover(&disk, now, boot);
    assert!(at(100.0, Some(BOOT)).is_ok_and(|log| log.sends.len() == 6));
    assert!(at(12_011.0, Some(BOOT)).is_ok());
    assert!(at(12_012.0, Some(BOOT)).is_err(), "the mark is too old");
    assert!(at(3.0, Some(BOOT)).is_err(), "the mark is from the future");
    assert!(at(100.0, Some([8; 16])).is_err(), "the log is of another boot");
    assert!(at(100.0, None).is_err(), "the current boot is unknown");
}

/// A changed byte is a fault of the log unless it lies in the last record, which is treated as an incomplete write. A log
/// truncated at any point after its header is not a fault.
#[test]
fn any_changed_byte_before_the_last_record_is_a_fault_and_truncation_is_not() {
    let disk = FaultyDisk::new(1);
    write_log(&disk);
    let (name, intact) =
        idempotency_log::last(&disk).expect("the folder can be read").expect("there is a log");
    let bytes = disk.bytes(&name).expect("the file exists");
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 0x10;
        let contents = idempotency_log::read(&changed);
        assert!(contents.fault.is_some() || at >= bytes.len() - idempotency_log::RECORD_BYTES, "byte {at}");
        let truncated = idempotency_log::read(&bytes[..at]);
        assert!(truncated.sends.len() <= intact.sends.len());
        assert!(
            at < idempotency_log::HEADER_BYTES || truncated.fault.is_none(),
            "truncation after the header is not a fault"
        );
    }
}

#[test]
fn record_is_encoded_in_the_documented_format() {
    let record = Record::KeySend([9; 16], KeySend { at: 1.0, window: 2.0 });
    let bytes = record.bytes();
    assert_eq!((bytes[0], &bytes[1..4], &bytes[24..]), (1, &[0; 3][..], &[9; 16][..]));
    assert_eq!(bytes[8..16], 1.0_f64.to_le_bytes());
    assert_eq!(bytes[16..24], 2.0_f64.to_le_bytes());
    assert_eq!(Record::read(&bytes), Some(record));
    assert_eq!(Record::read(&[0; 40]), None, "zeros are not a record");
}

#[test]
fn sends_of_a_key_are_merged_until_the_window_of_the_last_has_ended() {
    let send = |at: f64| Record::KeySend(key("k"), KeySend { at, window: 12_000.0 }).bytes();
    let header = {
        let disk = FaultyDisk::new(1);
        IdempotencyLog::open(Box::new(disk.clone()))
            .expect("the folder can be read")
            .rewrite(&[], None)
            .expect("the log is written");
        disk.bytes("keys-0000000000000001.spl").expect("the file exists")
    };
    let read = |records: &[[u8; 40]]| {
        let sends = idempotency_log::read(&[&header[..], &records.concat()].concat()).sends[&key("k")];
        (sends.first, sends.last)
    };
    assert_eq!(read(&[send(5.0), send(5.0), send(11_000.0)]), (5.0, 11_000.0), "repeated records");
    assert_eq!(read(&[send(5.0), send(11_000.0), send(20_000.0)]), (5.0, 20_000.0));
    assert_eq!(
        read(&[send(5.0), send(12_505.0)]),
        (12_505.0, 12_505.0),
        "a send after the window starts a new one"
    );
}
