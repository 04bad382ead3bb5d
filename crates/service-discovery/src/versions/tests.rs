use super::*;
use ResponseKind::*;

#[test]
fn older_versions_from_the_same_address_are_not_applied() {
    let mut versions = Versions::new(5);
    let kinds = [4, 5, 6, 5].map(|version| versions.receive_from_current(version));
    assert_eq!(kinds, [Older, Confirmation, Update, Older]);
    assert_eq!(versions.newest(), 6);
}

#[test]
fn lists_from_a_previous_address_are_used_until_the_current_one_has_responded() {
    let mut versions = Versions::new(5);
    versions.relocate();
    assert_eq!(
        [5, 7, 6].map(|version| versions.receive_from_previous(version)),
        [Confirmation, Update, Older]
    );
    assert_eq!(versions.newest(), 7);
    assert_eq!(versions.receive_from_current(4), Older, "older than the version known before the relocation");
    assert_eq!(versions.receive_from_previous(7), Confirmation);
    assert_eq!(versions.receive_from_current(7), Confirmation);
    assert_eq!(versions.receive_from_previous(9), PreviousAddress);
    assert_eq!(versions.newest(), 7);
}

#[test]
fn list_from_the_current_address_replaces_lists_received_from_the_previous_one_since_the_relocation() {
    let mut versions = Versions::new(5);
    versions.relocate();
    versions.receive_from_previous(1_000);
    assert_eq!(versions.receive_from_current(99), Update);
    assert_eq!(versions.newest(), 99);
    versions.receive_from_current(100);
    versions.relocate();
    assert_eq!(
        versions.receive_from_previous(100),
        Confirmation,
        "the version from the address that was current remains"
    );
}
