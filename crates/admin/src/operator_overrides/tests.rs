use super::*;
use proptest::prelude::*;

#[test]
fn out_twice_and_in_once_whatever_the_list_says_meanwhile() {
    let mut overrides = OperatorOverrides::default();
    assert_eq!(overrides.exclude("s-1", false, 1.0), Err(OverrideError::Unknown));
    assert_eq!(overrides.exclude("s-1", true, 1.0), Ok(true));
    assert_eq!(overrides.exclude("s-1", true, 1.0), Ok(false));
    // It left the list while out: the second call out and the call back still mean it.
    assert_eq!(overrides.exclude("s-1", false, 1.0), Ok(false));
    assert!(overrides.is_excluded("s-1"));
    assert_eq!(overrides.include("s-1", false, 5.0), Ok(true));
    assert!(!overrides.is_excluded("s-1"));
    assert_eq!(overrides.include("s-1", true, 6.0), Ok(false));
    assert_eq!(overrides.include("s-2", false, 6.0), Err(OverrideError::Unknown));
}

#[test]
fn engine_called_back_is_cold_from_then_on() {
    let mut overrides = OperatorOverrides::default();
    overrides.exclude("s-1", true, 500.0).expect("listed");
    assert_eq!(overrides.start_time("s-1", Some(2.0)), Some(2.0));
    overrides.include("s-1", true, 1_000.0).expect("out");
    assert_eq!(overrides.start_time("s-1", Some(2.0)), Some(1_000.0));
    assert_eq!(overrides.start_time("s-1", None), Some(1_000.0));
    // The list saw it start while it was out, or later.
    assert_eq!(overrides.start_time("s-1", Some(700.0)), Some(700.0));
    assert_eq!(overrides.start_time("s-1", Some(3_000.0)), Some(3_000.0));
    assert_eq!(overrides.start_time("s-2", None), None);
    overrides.remove_expired_inclusions(16_000.0, 15_000.0);
    assert_eq!(overrides.start_time("s-1", Some(2.0)), Some(2.0));
}

#[test]
fn file_is_read_as_it_was_written_and_every_cut_or_changed_byte_is_noticed() {
    let mut overrides = OperatorOverrides::default();
    ["s-1", "s-2", "s-3"].iter().for_each(|id| assert_eq!(overrides.exclude(id, true, 1.0), Ok(true)));
    overrides.include("s-2", true, 7.0).expect("out");
    let bytes = overrides.encode().expect("small");
    assert_eq!(OperatorOverrides::decode(&bytes), Ok(overrides));
    for at in 0..bytes.len() {
        assert!(OperatorOverrides::decode(&bytes[..at]).is_err(), "cut at {at}");
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
fn call_back_by_a_clock_that_was_ahead_is_one_of_now() {
    let mut overrides = OperatorOverrides::default();
    overrides.exclude("s-1", true, 3_600_000.0).expect("listed");
    overrides.include("s-1", true, 3_600_001.0).expect("out");
    let overrides = overrides.not_after(1_000.0);
    assert_eq!(overrides.start_time("s-1", None), Some(1_000.0));
}

/// These bytes were written down by overrides: the file's form is a promise.
#[test]
fn file_form_stays() {
    let mut overrides = OperatorOverrides::default();
    overrides.exclude("s-1", true, 1.0).expect("listed");
    let bytes = overrides.encode().expect("small");
    let records = [1, 3, b's', b'-', b'1', 0, 0, 0, 0, 0, 0, 0xf0, 0x3f, 0];
    assert_eq!(&bytes[..8], b"SPKHAND\n");
    assert_eq!(&bytes[8..16], [1, 0, 0, 0, 14, 0, 0, 0]);
    assert_eq!(&bytes[20..], records);
}

proptest! {
    #[test]
    fn reader_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = OperatorOverrides::decode(&bytes);
        let _ = OperatorOverrides::decode(&FORMAT.frame(&bytes));
    }
}
