//! Tests of the snapshot encoding: damaged or truncated bytes are rejected, and earlier versions can be read.

mod common;

use common::snapshot;
use proptest::prelude::*;
use starlingplank_persistence::snapshot::{decode, encode, encode_v1, SnapshotError, FORMAT, HEADER_BYTES};
use starlingplank_persistence::snapshot_records::v1;

const MAX_BYTES: usize = 1 << 20;
/// A snapshot that the release with version 1 wrote. The file must never be regenerated.
const VERSION_1: &[u8] = include_bytes!("fixtures/snapshot-v1.spk");

#[test]
fn encoded_snapshot_is_decoded_unchanged() {
    let original = snapshot(1_000_000.0, 7);
    assert_eq!(decode(&encode(&original, MAX_BYTES).expect("the snapshot fits")), Ok(original));
}

#[test]
fn header_has_the_documented_format() {
    let bytes = encode(&snapshot(5.0, 1), MAX_BYTES).expect("the snapshot fits");
    assert_eq!((&bytes[..8], &bytes[8..12]), (&FORMAT.magic[..], &[2, 0, 0, 0][..]));
    assert_eq!(
        u32::from_le_bytes(bytes[12..16].try_into().expect("four bytes")) as usize,
        bytes.len() - HEADER_BYTES
    );
}

/// Flips every bit of the file, truncates the file at every length, and appends a byte.
#[test]
fn changed_truncated_or_extended_snapshot_is_rejected() {
    let bytes = encode(&snapshot(1_000_000.0, 3), MAX_BYTES).expect("the snapshot fits");
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut changed = bytes.clone();
            changed[at] ^= 1 << bit;
            assert!(decode(&changed).is_err(), "byte {at}, bit {bit}");
        }
        assert!(decode(&bytes[..at]).is_err(), "truncated at {at}");
    }
    let longer = [&bytes[..], &[0]].concat();
    assert!(matches!(decode(&longer), Err(SnapshotError::Length { .. })));
}

#[test]
fn stored_snapshot_of_version_1_is_decoded() {
    let read = decode(VERSION_1).expect("version 1 can be decoded");
    assert_eq!((read.taken_at, read.concurrency_limit, read.fleet.speed), (1_700_000_000_000.0, 1.5, 0.8));
    assert_eq!((read.engines.len(), read.engines[0].id.as_str(), read.engines[0].slowdown), (2, "s-0", 1.5));
    assert_eq!(read.classes, snapshot(1_700_000_000_000.0, 0).classes);
    let same = v1::Snapshot {
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
    assert_eq!(encode_v1(&same).expect("the records can be encoded"), VERSION_1);
}

#[test]
fn newer_version_is_rejected_before_its_checksum_is_verified() {
    let mut bytes = encode(&snapshot(5.0, 1), MAX_BYTES).expect("the snapshot fits");
    bytes[8] = 3;
    assert_eq!(decode(&bytes), Err(SnapshotError::NewerVersion { found: 3, supported: 2 }));
    bytes[8] = 0;
    assert!(decode(&bytes).is_err());
}

#[test]
fn engines_that_answered_most_recently_are_kept_if_not_all_fit() {
    let mut large = snapshot(1_000_000.0, 400);
    large.engines[390].confirmed_at = Some(1_000_000.0);
    let bytes = encode(&large, 8_000).expect("some engines fit");
    let kept = decode(&bytes).expect("a valid snapshot").engines;
    assert!(bytes.len() <= 8_000 && !kept.is_empty() && kept.len() < 400);
    assert_eq!(kept[0].id, "s-390");
    assert!(matches!(encode(&large, 100), Err(SnapshotError::TooLarge { .. })));
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_rejected_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(decode(&bytes).is_err());
    }

    /// With a valid header the records are decoded, and the lengths in them are arbitrary.
    #[test]
    fn decoding_arbitrary_records_with_a_valid_checksum_does_not_panic(
        records in proptest::collection::vec(any::<u8>(), 0..400),
        version in 1u32..3,
    ) {
        let mut bytes = FORMAT.magic.to_vec();
        bytes.extend(version.to_le_bytes());
        bytes.extend((records.len() as u32).to_le_bytes());
        let sum = crc32fast::hash(&[&bytes[..], &records].concat());
        bytes.extend(sum.to_le_bytes());
        bytes.extend(&records);
        // The bytes may happen to be valid records, so only the absence of a panic is tested.
        let _ = decode(&bytes);
    }

    #[test]
    fn snapshot_with_several_changed_bytes_is_rejected(
        changes in proptest::collection::vec((any::<prop::sample::Index>(), 1u8..), 1..4)
    ) {
        let bytes = encode(&snapshot(1_000_000.0, 2), MAX_BYTES).expect("the snapshot fits");
        let mut changed = bytes.clone();
        for (at, by) in &changes {
            let at = at.index(bytes.len());
            changed[at] ^= by;
        }
        prop_assert!(changed == bytes || decode(&changed).is_err());
    }
}
