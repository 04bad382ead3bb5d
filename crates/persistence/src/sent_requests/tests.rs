use super::*;

const NOW: Milliseconds = 1e12;

fn id(number: u32) -> Key {
    identity(&[&number.to_be_bytes()])
}

#[test]
fn request_is_remembered_until_its_retention_ends() {
    let mut sent = SentRequests::new(10);
    assert_eq!(sent.check(&id(1), NOW), Repetition::None);
    assert!(sent.record(id(1), NOW));
    assert_eq!(sent.check(&id(1), NOW + RETENTION - 1.0), Repetition::MayHaveRun);
    assert_eq!(sent.check(&id(2), NOW + RETENTION - 1.0), Repetition::None);
    assert_eq!(sent.check(&id(1), NOW + RETENTION + 1.0), Repetition::None);
    assert!(sent.is_empty());
}

#[test]
fn request_that_never_ran_is_forgotten() {
    let mut sent = SentRequests::new(10);
    sent.record(id(1), NOW);
    sent.forget(&id(1));
    assert_eq!(sent.check(&id(1), NOW + 1.0), Repetition::None);
}

#[test]
fn memory_is_bounded_and_recent_requests_are_not_forgotten() {
    let mut sent = SentRequests::new(3);
    for number in 1..=3 {
        assert!(sent.record(id(number), NOW + f64::from(number)));
    }
    assert_eq!(sent.check(&id(4), NOW + 10.0), Repetition::Full);
    assert!(!sent.record(id(4), NOW + 10.0));
    assert!(sent.record(id(2), NOW + 20.0), "a known request takes no further memory");
    let later = NOW + 5.0 + MIN_RETENTION;
    assert_eq!(sent.check(&id(4), later), Repetition::None);
    assert!(sent.record(id(4), later));
    assert_eq!(sent.len(), 3);
    assert_eq!(sent.check(&id(2), later), Repetition::MayHaveRun);
}

#[test]
fn requests_of_other_processes_are_known_from_their_last_send() {
    let mut sent = SentRequests::new(2);
    sent.merge_peer(id(1), NOW);
    sent.merge_peer(id(1), NOW - 5_000.0);
    assert_eq!(sent.check(&id(1), NOW + RETENTION - 1.0), Repetition::MayHaveRun);
    sent.merge_peer(id(2), NOW);
    sent.merge_peer(id(3), NOW);
    assert_eq!(sent.len(), 2);
}

#[test]
fn identities_differ_by_part_and_from_idempotency_keys() {
    assert_ne!(identity(&[b"ab", b"c"]), identity(&[b"a", b"bc"]));
    assert_ne!(identity(&[b"k1"]), crate::idempotency_key::key("k1"));
}
