use super::*;

#[test]
fn a_wait_counts_until_it_is_dropped() {
    let profile = Rc::<WaitProfile>::default();
    let (first, second) = (profile.begin(Resource::Memory), profile.begin(Resource::Memory));
    assert_eq!(profile.waiting().collect::<Vec<_>>(), [("memory", 2), ("turn", 0), ("slot", 0)]);
    drop(first);
    drop(second);
    assert!(profile.waiting().all(|(_, waiting)| waiting == 0));
    assert!(profile.longest().skip(1).all(|(_, longest)| longest == 0), "nothing else was awaited");
}
