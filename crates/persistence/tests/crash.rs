//! The program stopped before and after every call on the disk, once and twice in a row, and a disk that fails.

mod common;

use common::snapshot;
use rstest::rstest;
use starlingplank_persistence::boot_time::BootTime;
use starlingplank_persistence::deduplication_window::{key, KeySend, KeySends, TrustedLog};
use starlingplank_persistence::idempotency_log::{self, DistrustedLog, IdempotencyLog, Mark, Record};
use starlingplank_persistence::snapshot as bytes_of;
use starlingplank_persistence::snapshot_store::{load, SnapshotStore};
use starlingplank_test_doubles::disk::{Fault, FaultyDisk};

const MOST: usize = 1 << 20;
const BOOT: [u8; 16] = [7; 16];

/// Saves until the disk stops or so many are done; the last that was said to be durable.
fn save(disk: &FaultyDisk, from: u64, count: u64) -> u64 {
    let Ok((mut store, _)) = SnapshotStore::open(Box::new(disk.clone()), MOST) else { return from };
    let mut done = from;
    for n in from + 1..=from + count {
        if store.save(&snapshot(n as f64, 2)).is_ok() {
            done = n;
        }
    }
    done
}

fn found(disk: &FaultyDisk) -> (u64, usize) {
    let loaded = load(disk, MOST).expect("it can be read");
    (loaded.snapshot.map_or(0, |(_, s)| s.taken_at as u64), loaded.faults.len())
}

#[rstest]
fn snapshot_is_the_last_whole_one_wherever_the_program_stops(
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
            disk.fault(at, fault);
            let done = save(&disk, 0, 4);
            assert!(disk.stopped());
            disk.restart();
            let (taken, faults) = found(&disk);
            // What was said to be durable is there, or the next one that was under way.
            assert!(taken == done || taken == done + 1, "call {at}: {taken} found, {done} done");
            assert_eq!(faults, 0, "call {at}: a file under its own name is whole");
        }
    }
}

#[test]
fn second_stop_during_the_recovery_from_the_first_loses_nothing_either() {
    for first in 0..12 {
        for second in 0..12 {
            let disk = FaultyDisk::new(first * 100 + second);
            disk.fault(6 + first as usize, Fault::StopAfter);
            let done = save(&disk, 0, 4);
            disk.restart();
            let (before, _) = found(&disk);
            disk.fault(second as usize, Fault::StopBefore);
            let again = save(&disk, before, 2);
            disk.restart();
            let (after, faults) = found(&disk);
            assert!(after >= done.max(again) && faults == 0, "{first}, {second}: {after} of {done}, {again}");
        }
    }
}

#[rstest]
#[case(Fault::Fail)]
#[case(Fault::FailAfter)]
#[case(Fault::Full)]
fn disk_that_fails_keeps_what_was_there_and_serves_again_when_it_works(#[case] fault: Fault) {
    for at in 0..10 {
        let disk = FaultyDisk::new(at as u64);
        let (mut store, _) = SnapshotStore::open(Box::new(disk.clone()), MOST).expect("empty");
        store.save(&snapshot(1.0, 2)).expect("it works");
        disk.fault(at, fault);
        let second = store.save(&snapshot(2.0, 2));
        let (taken, faults) = found(&disk);
        assert!(
            faults == 0 && (taken == 2 || second.is_err() && taken == 1),
            "call {at}: {taken}, {second:?}"
        );
        disk.restart();
        let (taken, faults) = found(&disk);
        assert!(
            faults == 0 && taken >= 1 && (second.is_err() || taken == 2),
            "call {at}: {taken}, {second:?}"
        );
        store.save(&snapshot(3.0, 2)).expect("it works again");
        assert_eq!(found(&disk), (3, 0));
    }
}

#[test]
fn short_writes_are_carried_on_until_all_is_written() {
    let disk = FaultyDisk::new(1);
    disk.short_writes(7);
    assert_eq!((save(&disk, 0, 2), found(&disk)), (2, (2, 0)));
}

#[test]
fn generation_before_is_read_where_the_last_one_rots_and_a_later_version_is_left_untouched() {
    let disk = FaultyDisk::new(1);
    save(&disk, 0, 3);
    let name = "snapshot-0000000000000003.spk";
    let mut rotten = disk.bytes(name).expect("the third");
    rotten[30] ^= 1;
    disk.put(name, rotten);
    assert_eq!(found(&disk), (2, 1));

    let name = "snapshot-00000000000000ff.spk";
    let mut later = bytes_of::encode(&snapshot(9.0, 1), MOST).expect("it fits");
    later[8] = 9;
    disk.put(name, later.clone());
    let (mut store, loaded) = SnapshotStore::open(Box::new(disk.clone()), MOST).expect("it can be read");
    assert!(loaded.faults[0].is_newer_version && loaded.faults[0].reason.contains("version 9 is newer"));
    for n in 10..15 {
        store.save(&snapshot(f64::from(n), 1)).expect("it works");
    }
    assert_eq!(disk.bytes(name), Some(later), "left untouched");
    assert_eq!(found(&disk).0, 14);
}

fn recover(disk: &FaultyDisk, now: f64, boot_id: Option<[u8; 16]>) -> Result<TrustedLog, DistrustedLog> {
    idempotency_log::recover(disk, &BootTime { now, boot_id }, 12_000.0)
}

fn mark(at: f64) -> Mark {
    Mark { at, blocked_until: None, boot_id: BOOT }
}

/// Writes two files and records in both, until the disk stops; the keys that were said to be durable.
fn log(disk: &FaultyDisk) -> Vec<u32> {
    let first = |n: u32| KeySend { at: f64::from(n), window: 12_000.0 };
    let mut done = Vec::new();
    let Ok(mut log) = IdempotencyLog::open(Box::new(disk.clone())) else { return done };
    for file in 0..2_u32 {
        let keys: Vec<_> = done.iter().map(|n| (key(&n.to_string()), KeySends::single(first(*n)))).collect();
        if log.rewrite(&keys, Some(mark(f64::from(file * 10)))).is_err() {
            return done;
        }
        for n in file * 10..file * 10 + 3 {
            let batch = [Record::KeySend(key(&n.to_string()), first(n)), Record::Mark(mark(f64::from(n)))];
            if log.append(&batch).is_err() {
                return done;
            }
            done.push(n);
        }
    }
    done
}

#[rstest]
fn key_that_was_durable_is_known_or_the_log_is_not_trusted_wherever_the_program_stops(
    #[values(Fault::StopBefore, Fault::StopAfter, Fault::Fail, Fault::FailAfter, Fault::Full)] fault: Fault,
) {
    let mut trusted = 0;
    for seed in 0..20 {
        let calls = {
            let disk = FaultyDisk::new(seed);
            assert_eq!(log(&disk).len(), 6);
            disk.calls()
        };
        for at in 0..calls {
            let disk = FaultyDisk::new(seed * 1_000 + at as u64);
            disk.fault(at, fault);
            let done = log(&disk);
            disk.restart();
            let recovered = recover(&disk, 30.0, Some(BOOT));
            let Ok(TrustedLog { sends, .. }) = recovered else { continue };
            trusted += 1;
            for n in done {
                let known = sends.iter().any(|(k, f)| *k == key(&n.to_string()) && f.first == f64::from(n));
                assert!(known, "{fault:?} at call {at}: key {n} was durable and is gone");
            }
        }
    }
    assert!(trusted > 100, "the log is trusted where it can be: {trusted}");
}

#[test]
fn log_is_trusted_only_if_whole_young_and_of_this_start_of_the_machine() {
    let disk = FaultyDisk::new(1);
    assert!(recover(&disk, 5.0, Some(BOOT)).is_err(), "there is none");
    log(&disk);
    let at = |now: f64, boot| recover(&disk, now, boot);
    assert!(at(100.0, Some(BOOT)).is_ok_and(|log| log.sends.len() == 6));
    assert!(at(12_011.0, Some(BOOT)).is_ok());
    assert!(at(12_012.0, Some(BOOT)).is_err(), "the mark is too old");
    assert!(at(3.0, Some(BOOT)).is_err(), "the mark is from the future");
    assert!(at(100.0, Some([8; 16])).is_err(), "another start of the machine");
    assert!(at(100.0, None).is_err(), "nobody knows which start");
}

/// Any byte of the log changed, and any cut: keys are lost only where the log is no longer trusted, or at its end.
#[test]
fn log_with_any_byte_changed_is_not_trusted_unless_its_end_alone_is_lost() {
    let disk = FaultyDisk::new(1);
    log(&disk);
    let (name, whole) = idempotency_log::last(&disk).expect("read").expect("there");
    let bytes = disk.bytes(&name).expect("there");
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 0x10;
        let read = idempotency_log::read(&changed);
        assert!(read.fault.is_some() || at >= bytes.len() - idempotency_log::RECORD_BYTES, "byte {at}");
        let cut = idempotency_log::read(&bytes[..at]);
        assert!(cut.sends.len() <= whole.sends.len());
        assert!(at < idempotency_log::HEADER_BYTES || cut.fault.is_none(), "a torn end is no fault");
    }
}

#[test]
fn record_s_bytes_are_as_the_page_has_them() {
    let record = Record::KeySend([9; 16], KeySend { at: 1.0, window: 2.0 });
    let bytes = record.bytes();
    assert_eq!((bytes[0], &bytes[1..4], &bytes[24..]), (1, &[0; 3][..], &[9; 16][..]));
    assert_eq!(bytes[8..16], 1.0_f64.to_le_bytes());
    assert_eq!(bytes[16..24], 2.0_f64.to_le_bytes());
    assert_eq!(Record::read(&bytes), Some(record));
    assert_eq!(Record::read(&[0; 40]), None, "zeros are none");
}

#[test]
fn sends_of_a_key_belong_together_until_engines_have_forgotten_the_last() {
    let sent = |at: f64| Record::KeySend(key("k"), KeySend { at, window: 12_000.0 }).bytes();
    let head = {
        let disk = FaultyDisk::new(1);
        IdempotencyLog::open(Box::new(disk.clone())).expect("empty").rewrite(&[], None).expect("written");
        disk.bytes("keys-0000000000000001.spl").expect("there")
    };
    let read = |records: &[[u8; 40]]| {
        let sends = idempotency_log::read(&[&head[..], &records.concat()].concat()).sends[&key("k")];
        (sends.first, sends.last)
    };
    assert_eq!(read(&[sent(5.0), sent(5.0), sent(11_000.0)]), (5.0, 11_000.0), "repeated records");
    assert_eq!(read(&[sent(5.0), sent(11_000.0), sent(20_000.0)]), (5.0, 20_000.0));
    assert_eq!(read(&[sent(5.0), sent(12_505.0)]), (12_505.0, 12_505.0), "a load of its own");
}
