use super::*;
use proptest::prelude::*;

#[test]
fn one_inclusion_ends_repeated_exclusions_even_if_the_engine_left_the_list() {
    let mut overrides = OperatorOverrides::default();
    assert_eq!(overrides.exclude("s-1", false, 1.0), Err(OverrideError::Unknown));
    assert_eq!(overrides.exclude("s-1", true, 1.0), Ok(true));
    assert_eq!(overrides.exclude("s-1", true, 1.0), Ok(false));
    // The engine is removed from the list while excluded: it can still be excluded a second time, and included again.
    assert_eq!(overrides.exclude("s-1", false, 1.0), Ok(false));
    assert!(overrides.is_excluded("s-1"));
    assert_eq!(overrides.include("s-1", false, 5.0), Ok(true));
    assert!(!overrides.is_excluded("s-1"));
    assert_eq!(overrides.include("s-1", true, 6.0), Ok(false));
    assert_eq!(overrides.include("s-2", false, 6.0), Err(OverrideError::Unknown));
}

#[test]
fn engine_that_is_included_again_is_treated_as_just_started() {
    let mut overrides = OperatorOverrides::default();
    overrides.exclude("s-1", true, 500.0).expect("the engine is listed");
    assert_eq!(overrides.start_time("s-1", Some(2.0)), Some(2.0));
    overrides.include("s-1", true, 1_000.0).expect("the engine is excluded");
    assert_eq!(overrides.start_time("s-1", Some(2.0)), Some(1_000.0));
    assert_eq!(overrides.start_time("s-1", None), Some(1_000.0));
    // If the list shows a start after the exclusion, this start is used.
    assert_eq!(overrides.start_time("s-1", Some(700.0)), Some(700.0));
    assert_eq!(overrides.start_time("s-1", Some(3_000.0)), Some(3_000.0));
    assert_eq!(overrides.start_time("s-2", None), None);
    overrides.remove_expired_inclusions(16_000.0, 15_000.0);
    assert_eq!(overrides.start_time("s-1", Some(2.0)), Some(2.0));
}

#[test]
fn encoded_overrides_are_decoded_unchanged_and_truncated_or_changed_bytes_are_rejected() {
    let mut overrides = OperatorOverrides::default();
    ["s-1", "s-2", "s-3"].iter().for_each(|id| assert_eq!(overrides.exclude(id, true, 1.0), Ok(true)));
    overrides.include("s-2", true, 7.0).expect("the engine is excluded");
    let bytes = overrides.encode().expect("the size limit is not exceeded");
    assert_eq!(OperatorOverrides::decode(&bytes), Ok(overrides));
    for at in 0..bytes.len() {
        assert!(OperatorOverrides::decode(&bytes[..at]).is_err(), "truncated at {at}");
        for bit in 0..8 {
            let mut changed = bytes.clone();
            changed[at] ^= 1 << bit;
            assert!(OperatorOverrides::decode(&changed).is_err(), "bit {bit} of byte {at}");
        }
    }
    let newer = FileFormat { version: 2, ..FORMAT }.frame(&[1, 2, 3]);
    assert_eq!(OperatorOverrides::decode(&newer), Err(FrameError::NewerVersion { found: 2, supported: 1 }));
}

#[test]
fn inclusion_recorded_in_the_future_is_moved_to_the_present() {
    let mut overrides = OperatorOverrides::default();
    overrides.exclude("s-1", true, 3_600_000.0).expect("the engine is listed");
    overrides.include("s-1", true, 3_600_001.0).expect("the engine is excluded");
    let overrides = overrides.not_after(1_000.0);
    assert_eq!(overrides.start_time("s-1", None), Some(1_000.0));
}

/// Guards the stored format: the expected bytes are written by hand, as files of earlier releases must stay readable.
#[test]
fn stored_format_is_unchanged() {
    let mut overrides = OperatorOverrides::default();
    overrides.exclude("s-1", true, 1.0).expect("the engine is listed");
    let bytes = overrides.encode().expect("the size limit is not exceeded");
    let records = [1, 3, b's', b'-', b'1', 0, 0, 0, 0, 0, 0, 0xf0, 0x3f, 0];
    assert_eq!(&bytes[..8], b"SPKHAND\n");
    assert_eq!(&bytes[8..16], [1, 0, 0, 0, 14, 0, 0, 0]);
    assert_eq!(&bytes[20..], records);
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = OperatorOverrides::decode(&bytes);
        let _ = OperatorOverrides::decode(&FORMAT.frame(&bytes));
    }
}
