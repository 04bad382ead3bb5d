use super::*;
use ResponseKind::*;

#[test]
fn versions_of_one_address_rise() {
    let mut versions = Versions::new(5);
    let kinds = [4, 5, 6, 5].map(|version| versions.receive_from_present(version));
    assert_eq!(kinds, [Older, Confirmation, Update, Older]);
    assert_eq!(versions.newest(), 6);
}

#[test]
fn former_address_is_heard_until_the_present_one_has_spoken() {
    let mut versions = Versions::new(5);
    versions.relocate();
    assert_eq!(
        [5, 7, 6].map(|version| versions.receive_from_previous(version)),
        [Confirmation, Update, Older]
    );
    assert_eq!(versions.newest(), 7);
    assert_eq!(versions.receive_from_present(4), Older, "older than what was known before the move");
    assert_eq!(versions.receive_from_previous(7), Confirmation);
    assert_eq!(versions.receive_from_present(7), Confirmation);
    assert_eq!(versions.receive_from_previous(9), PreviousAddress);
    assert_eq!(versions.newest(), 7);
}

#[test]
fn present_address_replaces_what_a_former_one_said_since_the_move() {
    let mut versions = Versions::new(5);
    versions.relocate();
    versions.receive_from_previous(1_000);
    assert_eq!(versions.receive_from_present(99), Update);
    assert_eq!(versions.newest(), 99);
    versions.receive_from_present(100);
    versions.relocate();
    assert_eq!(versions.receive_from_previous(100), Confirmation, "what the present address said stays");
}
