use super::*;
use proptest::prelude::*;

fn list() -> CachedEndpoints {
    let engine = |id: &str, live| CachedEndpoint {
        id: id.into(),
        address: "10.0.0.1:9".into(),
        zone: "a".into(),
        machine_type: String::new(),
        cell: 3,
        live,
        started: 5.0,
    };
    let removed = vec!["s-2".to_owned()];
    let endpoints = vec![engine("s-0", true), engine("s-1", false)];
    CachedEndpoints { confirmed_at: 1_000.0, endpoints, removed }
}

#[test]
fn encoded_list_is_decoded_unchanged_and_truncated_or_changed_bytes_are_rejected() {
    let bytes = list().encode().expect("the size limit is not exceeded");
    assert_eq!(CachedEndpoints::decode(&bytes), Ok(list()));
    for at in 0..bytes.len() {
        assert!(CachedEndpoints::decode(&bytes[..at]).is_err(), "truncated at {at}");
        let mut changed = bytes.clone();
        changed[at] ^= 4;
        assert!(CachedEndpoints::decode(&changed).is_err(), "byte {at}");
    }
    let without_time = CachedEndpoints { confirmed_at: f64::NAN, ..list() };
    assert!(CachedEndpoints::decode(&without_time.encode().expect("the size limit is not exceeded")).is_err());
}

/// Guards the stored format: the expected bytes are written by hand, as files of earlier releases must stay readable.
#[test]
fn stored_format_is_unchanged() {
    let mut list = list();
    list.endpoints.truncate(1);
    let bytes = list.encode().expect("the size limit is not exceeded");
    assert_eq!(&bytes[..16], b"SPKLIST\n\x01\0\0\0\x2a\0\0\0");
    let records =
        b"\0\0\0\0\0\x40\x8f\x40\x01\x03s-0\x0a10.0.0.1:9\x01a\0\x03\x01\0\0\0\0\0\0\x14\x40\x01\x03s-2";
    assert_eq!(&bytes[20..], records);
}

#[test]
fn engines_of_an_old_list_are_in_slow_start_and_a_list_past_the_maximum_age_is_discarded() {
    let at = |now: Milliseconds| list().as_of(now, 2_000.0, 60_000.0);
    assert_eq!(at(2_500.0), Some(list()));
    assert!(at(4_000.0).is_some_and(|l| l.endpoints.iter().all(|e| e.started == 4_000.0)));
    assert!(at(61_001.0).is_none() && at(-5_000.0).is_none());
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = CachedEndpoints::decode(&bytes);
        let _ = CachedEndpoints::decode(&FORMAT.frame(&bytes));
    }
}
