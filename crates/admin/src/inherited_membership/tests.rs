use super::*;
use proptest::prelude::*;

fn membership() -> InheritedMembership {
    InheritedMembership::new(1_000.0, ["s-1", "s-3"].map(str::to_owned))
}

#[test]
fn drained_and_gone_engines_are_kept_out_for_as_long_as_it_binds() {
    assert!(!membership().excludes("s-0", 1_000.0), "one of which nothing was heard is used");
    assert!(membership().excludes("s-1", 1_000.0) && membership().excludes("s-1", 60_999.0));
    assert!(!membership().excludes("s-1", 61_000.0), "it ends by itself");
}

#[test]
fn engines_that_have_gone_are_remembered_until_they_are_back_and_no_more_than_so_many() {
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
fn file_is_read_as_it_was_written_and_every_cut_or_changed_byte_is_noticed() {
    let bytes = membership().encode().expect("small");
    assert_eq!(InheritedMembership::decode(&bytes), Ok(membership()));
    for at in 0..bytes.len() {
        assert!(InheritedMembership::decode(&bytes[..at]).is_err(), "cut at {at}");
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert!(InheritedMembership::decode(&changed).is_err(), "byte {at}");
    }
    let never = InheritedMembership::new(f64::INFINITY, []).encode().expect("small");
    assert!(InheritedMembership::decode(&never).is_err());
    let many = InheritedMembership::new(0.0, (0..20_000).map(|n| format!("{n:0100}")));
    assert!(matches!(many.encode(), Err(FrameError::TooLarge { .. })));
}

#[test]
fn what_is_taken_over_binds_for_its_time_whatever_the_clock_of_the_other_process_shows() {
    for step in [-3_600_000.0, 0.0, 3_600_000.0] {
        let now = 5_000_000.0;
        let membership = InheritedMembership::new(now + step, ["s-1".to_owned()]).taken_over(now);
        assert!(
            membership.excludes("s-1", now + BINDING_DURATION - 1.0)
                && !membership.excludes("s-1", now + BINDING_DURATION)
        );
    }
}

/// These bytes were written down by hand: the file's form is a promise.
#[test]
fn file_form_stays() {
    let bytes = InheritedMembership::new(1.0, ["s-1".to_owned()]).encode().expect("small");
    assert_eq!(&bytes[..16], b"SPKHEARD\x01\0\0\0\x0d\0\0\0");
    assert_eq!(&bytes[20..], [0, 0, 0, 0, 0, 0, 0xf0, 0x3f, 1, 3, b's', b'-', b'1']);
}

proptest! {
    #[test]
    fn reader_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = InheritedMembership::decode(&bytes);
        let _ = InheritedMembership::decode(&FORMAT.frame(&bytes));
    }
}
