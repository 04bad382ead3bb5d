//! Upgrades of a gateway with an idempotency log, whose folder only one process at a time may use.

mod gateway_processes;
mod stand;

use gateway_processes::*;
use stand::*;
use std::io::Write;

/// Guards against loads that are rejected during or after an upgrade because only one process may use the folder. Both processes
/// serve loads, the new one takes the log over when the old one exits, and relies on it after a kill and restart.
#[test]
fn upgrade_with_an_idempotency_log_rejects_no_load_and_takes_over_the_folder() {
    const WINDOW: u32 = 3_000;
    let (at, log) = resp_engine(served);
    let mut shared_gateway = SharedGateway::new(&[at]);
    shared_gateway.config =
        shared_gateway.config.replacen("\"window\":12000", &format!("\"window\":{WINDOW}"), 1);
    let folder = shared_gateway.tmp.path().join("kept");
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    write!(file, "knowledge {{\n  folder = {folder:?}\n  every = \"100ms\"\n}}\n").expect("written");
    shared_gateway.operator = Some(file);
    let old = shared_gateway.start();
    // The first start has no log to rely on, and waits for one window.
    assert!((0..1_000_000).any(|_| load(&old, 1) == "served"), "loads are served after the first window");
    let new = shared_gateway.start();
    // Either process may accept these requests.
    let during: Vec<_> = (100..140).map(|n| load(&new, n)).collect();
    assert!(during.iter().all(|a| *a == "served"), "{during:?}");
    old.signal("-TERM");
    old.wait_for_exit();
    // The new process detects the exit within 100 ms, and starts a new log with all keys.
    let logged_keys = || {
        let disk = starlingplank_persistence::folder::Files::new(&folder);
        let last = starlingplank_persistence::idempotency_log::last(&disk).expect("it can be read");
        last.map_or(0, |(_, read)| read.sends.len())
    };
    let mut n = 200;
    let holds_all = (0..10_000).any(|_| {
        n += 1;
        load(&new, n) == "served" && logged_keys() > 40
    });
    assert!(holds_all, "{} keys are in the log", logged_keys());
    let disk = starlingplank_persistence::folder::Files::new(&folder);
    let marked = || {
        starlingplank_persistence::idempotency_log::unrecorded_sends_possible(&disk).expect("it can be read")
    };
    assert!((0..1_000_000).any(|_| !marked()), "the marker is removed");
    new.signal("-KILL");
    drop(new);
    let third = shared_gateway.start();
    // Without a log to rely on, loads are rejected for a window of 3 s; with one, only until the process has started its own file,
    // which takes milliseconds.
    let relies_on_log = (10_000..10_300).any(|n| load(&third, n) == "served");
    third.signal("-TERM");
    assert!(relies_on_log, "{:?}", third.wait_for_exit());
    let sent = log.lock().expect("log").iter().filter(|p| p[0] == "want").count();
    assert!(sent >= 42, "{sent} loads arrived at the engine");
}

/// Guards against a gateway that uses the folder of another gateway, whose successor it is not: it serves requests without a key,
/// sends no keyed ones, and does not rely on the other's log.
#[test]
fn folder_of_another_gateway_is_neither_read_nor_taken_over() {
    let (at, log) = resp_engine(served);
    let mut shared_gateways = [SharedGateway::new(&[at]), SharedGateway::new(&[at])];
    let folder = shared_gateways[0].tmp.path().join("kept");
    for shared_gateway in &mut shared_gateways {
        shared_gateway.config = shared_gateway.config.replacen("\"window\":12000", "\"window\":700", 1);
        let mut file = tempfile::NamedTempFile::new().expect("a file");
        write!(file, "knowledge {{\n  folder = {folder:?}\n  every = \"100ms\"\n}}\n").expect("written");
        shared_gateway.operator = Some(file);
    }
    let first = shared_gateways[0].start();
    assert!((0..1_000_000).any(|_| load(&first, 1) == "served"), "loads are served after the first window");
    let second = shared_gateways[1].start();
    let before = log.lock().expect("log").len();
    assert_eq!(served_lookups(&second, 0, 10), 10);
    assert!((100..130).all(|n| load(&second, n) == "overloaded"), "no keyed request is sent");
    first.signal("-TERM");
    first.wait_for_exit();
    // The second gateway doesn't take over the folder once it is free either: it polls the folder every 100 ms, and the start of
    // another process takes longer.
    let third = shared_gateways[0].start();
    assert!(
        (0..1_000_000).any(|_| load(&third, 2) == "served"),
        "the first gateway's next process uses the folder"
    );
    assert!((200..230).all(|n| load(&second, n) == "overloaded"));
    let keyed = |p: &Vec<String>| p[0] == "want" && p[2].contains("uniq=k1");
    assert_eq!(log.lock().expect("log")[before..].iter().filter(|p| keyed(p)).count(), 0);
}

/// Guards against keys that run twice after an aborted upgrade: both processes are killed, and the folder they shared is lost. The
/// next process finds the marker that sent keys may be missing from the log, and waits for one window before it sends any.
#[test]
fn process_after_an_aborted_upgrade_waits_before_it_sends_keyed_requests() {
    let (at, _) = resp_engine(served);
    let mut shared_gateway = SharedGateway::new(&[at]);
    shared_gateway.config = shared_gateway.config.replacen("\"window\":12000", "\"window\":3000", 1);
    let folder = shared_gateway.tmp.path().join("kept");
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    write!(file, "knowledge {{\n  folder = {folder:?}\n  every = \"100ms\"\n}}\n").expect("written");
    shared_gateway.operator = Some(file);
    let disk = || starlingplank_persistence::folder::Files::new(&folder);
    let marked = || {
        starlingplank_persistence::idempotency_log::unrecorded_sends_possible(&disk())
            .expect("it can be read")
    };
    let old = shared_gateway.start();
    assert!((0..1_000_000).any(|_| load(&old, 1) == "served") && !marked());
    let new = shared_gateway.start();
    assert!(marked(), "the marker exists before anything is sent");
    assert!((100..120).all(|n| load(&new, n) == "served"));
    old.signal("-KILL");
    new.signal("-KILL");
    drop((old, new));
    let shared = std::fs::read_dir(shared_gateway.tmp.path()).expect("there").flatten().map(|e| e.path());
    let shared: Vec<_> = shared.filter(|p| p.is_dir() && *p != folder).collect();
    assert_eq!(shared.len(), 1);
    std::fs::remove_dir_all(&shared[0]).expect("removed");
    let third = shared_gateway.start();
    // The process's first own log file holds the time until which no key may be sent, so the marker is no longer needed.
    let mark = || starlingplank_persistence::idempotency_log::last(&disk()).ok()??.1.mark;
    assert!((0..1_000_000).any(|_| !marked()), "the marker is removed");
    // If the log was started a second time during the start, its mark is written once that log is durable.
    let first = (0..1_000_000).find_map(|_| mark());
    assert!(first.as_ref().is_some_and(|m| m.blocked_until > Some(m.at)), "{first:?}");
    assert_eq!(served_lookups(&third, 0, 5), 5, "requests without a key are served meanwhile");
    assert!((0..1_000_000).any(|_| load(&third, 200) == "served"));
}
