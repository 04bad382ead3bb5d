//! The bytes of a snapshot: whole or nothing, whatever happens to them.

mod common;

use common::snapshot;
use proptest::prelude::*;
use starlingplank_persistence::snapshot::{decode, encode, encode_v1, SnapshotError, FORMAT, HEADER_BYTES};
use starlingplank_persistence::snapshot_records::v1;

const MOST: usize = 1 << 20;
/// As version 1 wrote it; made once and never again.
const OLD: &[u8] = include_bytes!("fixtures/snapshot-v1.spk");

#[test]
fn what_is_written_is_read_again() {
    let whole = snapshot(1_000_000.0, 7);
    assert_eq!(decode(&encode(&whole, MOST).expect("it fits")), Ok(whole));
}

#[test]
fn head_is_as_the_page_has_it() {
    let bytes = encode(&snapshot(5.0, 1), MOST).expect("it fits");
    assert_eq!((&bytes[..8], &bytes[8..12]), (&FORMAT.magic[..], &[2, 0, 0, 0][..]));
    assert_eq!(u32::from_le_bytes(bytes[12..16].try_into().expect("4")) as usize, bytes.len() - HEADER_BYTES);
}

/// Every byte, every bit of it; and every length.
#[test]
fn any_byte_changed_and_any_cut_is_never_taken_for_whole() {
    let bytes = encode(&snapshot(1_000_000.0, 3), MOST).expect("it fits");
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut changed = bytes.clone();
            changed[at] ^= 1 << bit;
            assert!(decode(&changed).is_err(), "byte {at}, bit {bit}");
        }
        assert!(decode(&bytes[..at]).is_err(), "cut at {at}");
    }
    let longer = [&bytes[..], &[0]].concat();
    assert!(matches!(decode(&longer), Err(SnapshotError::Length { .. })));
}

#[test]
fn version_before_is_read_from_the_bytes_that_it_left() {
    let read = decode(OLD).expect("version 1 is read");
    assert_eq!((read.taken_at, read.concurrency_limit, read.fleet.speed), (1_700_000_000_000.0, 1.5, 0.8));
    assert_eq!((read.engines.len(), read.engines[0].id.as_str(), read.engines[0].slowdown), (2, "s-0", 1.5));
    assert_eq!(read.classes, snapshot(1_700_000_000_000.0, 0).classes);
    let again = v1::Snapshot {
        taken_at: 1_700_000_000_000.0,
        concurrency_limit: 1.5,
        fleet: [3.0, 9.0, 1.25, 0.2, 1.0, 0.8],
        classes: snapshot(1_700_000_000_000.0, 0).classes,
        engines: (0..2)
            .map(|n| v1::StoredEngine {
                id: format!("s-{n}"),
                confirmed_at: Some(1_699_999_999_900.0),
                slowdown: 1.5,
                ..v1::StoredEngine::default()
            })
            .collect(),
    };
    assert_eq!(encode_v1(&again).expect("written"), OLD);
}

#[test]
fn later_version_is_refused_by_its_number_alone() {
    let mut bytes = encode(&snapshot(5.0, 1), MOST).expect("it fits");
    bytes[8] = 3;
    assert_eq!(decode(&bytes), Err(SnapshotError::NewerVersion { found: 3, supported: 2 }));
    bytes[8] = 0;
    assert!(decode(&bytes).is_err());
}

#[test]
fn where_not_all_fits_the_engines_heard_last_are_kept() {
    let mut large = snapshot(1_000_000.0, 400);
    large.engines[390].confirmed_at = Some(1_000_000.0);
    let bytes = encode(&large, 8_000).expect("some fit");
    let kept = decode(&bytes).expect("whole").engines;
    assert!(bytes.len() <= 8_000 && !kept.is_empty() && kept.len() < 400);
    assert_eq!(kept[0].id, "s-390");
    assert!(matches!(encode(&large, 100), Err(SnapshotError::TooLarge { .. })));
}

proptest! {
    #[test]
    fn reader_never_panics_on_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(decode(&bytes).is_err());
    }

    /// With a head that fits, the records are read: lengths inside them are hostile.
    #[test]
    fn reader_never_panics_on_records_under_a_good_checksum(
        records in proptest::collection::vec(any::<u8>(), 0..400),
        version in 1u32..3,
    ) {
        let mut bytes = FORMAT.magic.to_vec();
        bytes.extend(version.to_le_bytes());
        bytes.extend((records.len() as u32).to_le_bytes());
        let sum = crc32fast::hash(&[&bytes[..], &records].concat());
        bytes.extend(sum.to_le_bytes());
        bytes.extend(&records);
        // Whatever it makes of them, it returns; a checksum that fits is the writer's word.
        let _ = decode(&bytes);
    }

    #[test]
    fn several_bytes_changed_are_never_taken_for_whole(
        changes in proptest::collection::vec((any::<prop::sample::Index>(), 1u8..), 1..4)
    ) {
        let bytes = encode(&snapshot(1_000_000.0, 2), MOST).expect("it fits");
        let mut changed = bytes.clone();
        for (at, by) in &changes {
            let at = at.index(bytes.len());
            changed[at] ^= by;
        }
        prop_assert!(changed == bytes || decode(&changed).is_err());
    }
}
