//! Upgrades of a gateway that has a folder for its idempotency log, which belongs to one process at a time.

mod gateway_processes;
mod stand;

use gateway_processes::*;
use stand::*;
use std::io::Write;

/// The folder of what is kept belongs to one process. In an upgrade loads are served by both, and once the old one has
/// ended the new one keeps the log: killed and started anew it trusts it.
#[test]
fn upgrade_of_a_gateway_that_keeps_keys_refuses_no_load_and_takes_the_folder_over() {
    const WINDOW: u32 = 3_000;
    let (at, log) = resp_engine(served);
    let mut site = Site::new(&[at]);
    site.config = site.config.replacen("\"window\":12000", &format!("\"window\":{WINDOW}"), 1);
    let folder = site.tmp.path().join("kept");
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    write!(file, "knowledge {{\n  folder = {folder:?}\n  every = \"100ms\"\n}}\n").expect("written");
    site.operator = Some(file);
    let old = site.start();
    // A first start has no log to trust, and waits for a window.
    assert!((0..1_000_000).any(|_| load(&old, 1) == "served"), "the first window passes");
    let new = site.start();
    // Either process may be met.
    let during: Vec<_> = (100..140).map(|n| load(&new, n)).collect();
    assert!(during.iter().all(|a| *a == "served"), "{during:?}");
    old.signal("-TERM");
    old.ended();
    // Its end is seen within a tenth of a second; the log is begun anew with all keys.
    let held = || {
        let disk = starlingplank_persistence::folder::Files::new(&folder);
        let last = starlingplank_persistence::idempotency_log::last(&disk).expect("it can be read");
        last.map_or(0, |(_, read)| read.sends.len())
    };
    let mut n = 200;
    let whole = (0..10_000).any(|_| {
        n += 1;
        load(&new, n) == "served" && held() > 40
    });
    assert!(whole, "{} keys are in the log", held());
    let disk = starlingplank_persistence::folder::Files::new(&folder);
    let marked = || {
        starlingplank_persistence::idempotency_log::unrecorded_sends_possible(&disk).expect("it can be read")
    };
    assert!((0..1_000_000).any(|_| !marked()), "the marker is removed");
    new.signal("-KILL");
    drop(new);
    let third = site.start();
    // Not trusted, loads are refused for a window of 3 s; else until its own file is begun, which takes milliseconds.
    let trusted = (10_000..10_300).any(|n| load(&third, n) == "served");
    third.signal("-TERM");
    assert!(trusted, "{:?}", third.ended());
    let sent = log.lock().expect("log").iter().filter(|p| p[0] == "want").count();
    assert!(sent >= 42, "{sent} loads arrived");
}

/// Two gateways and one folder: the second is not the first's next version. It serves what has no key, sends nothing
/// keyed, and does not go by the other's log.
#[test]
fn folder_of_another_gateway_is_neither_followed_nor_taken() {
    let (at, log) = resp_engine(served);
    let mut sites = [Site::new(&[at]), Site::new(&[at])];
    let folder = sites[0].tmp.path().join("kept");
    for site in &mut sites {
        site.config = site.config.replacen("\"window\":12000", "\"window\":700", 1);
        let mut file = tempfile::NamedTempFile::new().expect("a file");
        write!(file, "knowledge {{\n  folder = {folder:?}\n  every = \"100ms\"\n}}\n").expect("written");
        site.operator = Some(file);
    }
    let first = sites[0].start();
    assert!((0..1_000_000).any(|_| load(&first, 1) == "served"), "the first window passes");
    let second = sites[1].start();
    let before = log.lock().expect("log").len();
    assert_eq!(served_lookups(&second, 0, 10), 10);
    assert!((100..130).all(|n| load(&second, n) == "overloaded"), "nothing keyed leaves");
    first.signal("-TERM");
    first.ended();
    // Nor does it take the folder once it is free: looks are a tenth of a second apart, a start of another is longer.
    let third = sites[0].start();
    assert!((0..1_000_000).any(|_| load(&third, 2) == "served"), "its own next life has it");
    assert!((200..230).all(|n| load(&second, n) == "overloaded"));
    let keyed = |p: &Vec<String>| p[0] == "want" && p[2].contains("uniq=k1");
    assert_eq!(log.lock().expect("log")[before..].iter().filter(|p| keyed(p)).count(), 0);
}

/// Both versions are killed in the middle of an upgrade, and what they shared is gone: the next life finds the word that
/// some keyed requests are in no log, and waits for a window before it sends any.
#[test]
fn upgrade_cut_short_makes_the_next_life_wait_before_it_sends_what_is_keyed() {
    let (at, _) = resp_engine(served);
    let mut site = Site::new(&[at]);
    site.config = site.config.replacen("\"window\":12000", "\"window\":3000", 1);
    let folder = site.tmp.path().join("kept");
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    write!(file, "knowledge {{\n  folder = {folder:?}\n  every = \"100ms\"\n}}\n").expect("written");
    site.operator = Some(file);
    let disk = || starlingplank_persistence::folder::Files::new(&folder);
    let marked = || {
        starlingplank_persistence::idempotency_log::unrecorded_sends_possible(&disk())
            .expect("it can be read")
    };
    let old = site.start();
    assert!((0..1_000_000).any(|_| load(&old, 1) == "served") && !marked());
    let new = site.start();
    assert!(marked(), "the marker is there before anything is sent");
    assert!((100..120).all(|n| load(&new, n) == "served"));
    old.signal("-KILL");
    new.signal("-KILL");
    drop((old, new));
    let shared = std::fs::read_dir(site.tmp.path()).expect("there").flatten().map(|e| e.path());
    let shared: Vec<_> = shared.filter(|p| p.is_dir() && *p != folder).collect();
    assert_eq!(shared.len(), 1);
    std::fs::remove_dir_all(&shared[0]).expect("removed");
    let third = site.start();
    // Its own first file says until when nothing keyed may leave; then the word has done its part.
    let mark = || starlingplank_persistence::idempotency_log::last(&disk()).ok()??.1.mark;
    assert!((0..1_000_000).any(|_| !marked()), "the marker is removed");
    // Where the log was begun a second time at the start, its mark follows once that is durable.
    let first = (0..1_000_000).find_map(|_| mark());
    assert!(first.as_ref().is_some_and(|m| m.blocked_until > Some(m.at)), "{first:?}");
    assert_eq!(served_lookups(&third, 0, 5), 5, "what has no key is served meanwhile");
    assert!((0..1_000_000).any(|_| load(&third, 200) == "served"));
}
