use super::*;

const NOW: f64 = 1.0;

fn exclude(overrides: &mut SharedOverrides, id: &str, is_member: bool) -> Result<(), ChangeError> {
    overrides.change(|overrides| overrides.exclude(id, is_member, NOW))
}

/// An engine that is excluded at both processes at nearly the same time: the call at the second one changes nothing in the file, but
/// its process has to apply the exclusion. It used to go on using the engine, as no later refresh found a change.
#[test]
fn a_change_that_another_process_has_made_is_reported() {
    let folder = tempfile::tempdir().expect("a folder");
    let [mut first, mut second] = [0, 1].map(|_| SharedOverrides::new(folder.path()));
    exclude(&mut first, "s-1", true).expect("excluded");
    assert!(first.take_unreported().is_some_and(|overrides| overrides.is_excluded("s-1")));
    exclude(&mut second, "s-1", true).expect("excluded");
    assert!(second.take_unreported().is_some_and(|overrides| overrides.is_excluded("s-1")));
    second.refresh();
    assert!(second.take_unreported().is_none(), "a change is reported once");
}

/// A call that is rejected may still have read what another process has changed.
#[test]
fn a_change_that_is_read_by_a_rejected_call_is_reported() {
    let folder = tempfile::tempdir().expect("a folder");
    let [mut first, mut second] = [0, 1].map(|_| SharedOverrides::new(folder.path()));
    exclude(&mut first, "s-1", true).expect("excluded");
    exclude(&mut second, "s-9", false).expect_err("no such engine");
    second.refresh();
    assert!(second.take_unreported().is_some_and(|overrides| overrides.is_excluded("s-1")));
}
