use super::*;
use proptest::prelude::*;

fn membership() -> InheritedMembership {
    InheritedMembership::new(1_000.0, ["s-1", "s-3"].map(str::to_owned))
}

#[test]
fn draining_and_removed_engines_are_excluded_for_the_binding_duration() {
    assert!(!membership().excludes("s-0", 1_000.0), "an unknown engine is not excluded");
    assert!(membership().excludes("s-1", 1_000.0) && membership().excludes("s-1", 60_999.0));
    assert!(!membership().excludes("s-1", 61_000.0), "the exclusion ends after its duration");
}

#[test]
fn removed_engines_are_stored_until_listed_again_and_the_earliest_are_discarded_beyond_the_maximum() {
    let mut removed = RemovedEndpoints::default();
    let ids: Vec<String> = (0..MAX_REMOVED + 10).map(|n| format!("{n:05}")).collect();
    removed.update(["a", "b", "c"].into_iter(), &BTreeSet::from(["b"]));
    assert_eq!(removed.ids().collect::<Vec<_>>(), ["a", "c"]);
    removed.update(["b"].into_iter(), &BTreeSet::from(["a", "b"]));
    assert_eq!(removed.ids().collect::<Vec<_>>(), ["c"]);
    removed.update(ids.iter().map(String::as_str), &BTreeSet::new());
    assert_eq!(removed.ids().count(), MAX_REMOVED);
    assert!(!removed.ids().any(|id| id == "c" || id == "00000") && removed.ids().any(|id| id == "05009"));
}

#[test]
fn encoded_membership_is_decoded_unchanged_and_truncated_or_changed_bytes_are_rejected() {
    let bytes = membership().encode().expect("the size limit is not exceeded");
    assert_eq!(InheritedMembership::decode(&bytes), Ok(membership()));
    for at in 0..bytes.len() {
        assert!(InheritedMembership::decode(&bytes[..at]).is_err(), "truncated at {at}");
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert!(InheritedMembership::decode(&changed).is_err(), "byte {at}");
    }
    let without_end =
        InheritedMembership::new(f64::INFINITY, []).encode().expect("the size limit is not exceeded");
    assert!(InheritedMembership::decode(&without_end).is_err());
    let many = InheritedMembership::new(0.0, (0..20_000).map(|n| format!("{n:0100}")));
    assert!(matches!(many.encode(), Err(FrameError::TooLarge { .. })));
}

#[test]
fn membership_taken_over_applies_for_its_full_duration_despite_clock_steps() {
    for step in [-3_600_000.0, 0.0, 3_600_000.0] {
        let now = 5_000_000.0;
        let membership = InheritedMembership::new(now + step, ["s-1".to_owned()]).taken_over(now);
        assert!(
            membership.excludes("s-1", now + BINDING_DURATION - 1.0)
                && !membership.excludes("s-1", now + BINDING_DURATION)
        );
    }
}

/// Guards the stored format: the expected bytes are written by hand, as files of earlier releases must stay readable.
#[test]
fn stored_format_is_unchanged() {
    let bytes =
        InheritedMembership::new(1.0, ["s-1".to_owned()]).encode().expect("the size limit is not exceeded");
    assert_eq!(&bytes[..16], b"SPKHEARD\x01\0\0\0\x0d\0\0\0");
    assert_eq!(&bytes[20..], [0, 0, 0, 0, 0, 0, 0xf0, 0x3f, 1, 3, b's', b'-', b'1']);
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = InheritedMembership::decode(&bytes);
        let _ = InheritedMembership::decode(&FORMAT.frame(&bytes));
    }
}
