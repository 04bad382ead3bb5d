//! The program, its folder, and what is left of both after it was killed.

mod stand;

use stand::*;
use std::io::Write;
use std::path::Path;
use std::process::{Command, Output};

fn operator(folder: &Path, more: &str) -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    write!(file, "knowledge {{\n  folder = {folder:?}\n  every = \"100ms\"\n{more}\n}}\n").expect("written");
    file
}

fn answers(parts: &[String]) -> Option<String> {
    Some(match parts[0].as_str() {
        "want" => reply(&[&parts[1], "served", "pages=1,cost=5,need=8", "a\tb\tc\n"]),
        "busy" => reply(&[&parts[1], "green", "use=util:0.1", ""]),
        _ => String::new(),
    })
}

fn load(client: &mut std::net::TcpStream, seq: i32, txn: &str, key: &str) -> &'static str {
    let fields = [("verb", "load"), ("txn", txn), ("limit", "4000"), ("unique", key)];
    client.write_all(&call(seq, &fields, "insert into s_1.t values (1)")).expect("sent");
    answer(client).1
}

fn run(args: &[&std::ffi::OsStr]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_starlingplank")).args(args).output().expect("it runs")
}

fn verify(folder: &Path) -> (Option<i32>, String) {
    let out = run(&["knowledge".as_ref(), "verify".as_ref(), folder.as_ref()]);
    (out.status.code(), String::from_utf8_lossy(&out.stdout).into_owned())
}

fn show(folder: &Path) -> String {
    let out = run(&["knowledge".as_ref(), "show".as_ref(), folder.as_ref(), "--json".as_ref()]);
    String::from_utf8_lossy(&out.stdout).into_owned()
}

/// Until the program has written what holds there.
fn until_shown(folder: &Path, found: impl Fn(&str) -> bool) {
    for _ in 0..2_000 {
        if found(&show(folder)) {
            return;
        }
    }
    panic!("never came: {}", show(folder));
}

fn wants(log: &Log) -> usize {
    log.lock().expect("log").iter().filter(|p| p[0] == "want").count()
}

#[test]
fn life_after_a_kill_knows_the_engines_and_the_keys_of_the_one_before() {
    let parent = tempfile::tempdir().expect("a folder");
    let folder = parent.path().join("kept");
    let operator = operator(&folder, "");
    let (at, log) = resp_engine(answers);
    let config = config(&[at], "resp", 5000);
    let first = Gateway::start_with(&config, Some(operator.path()));
    let mut client = first.client();
    // A first start trusts nobody's log: it has none. Its mark carries the time until when it may not send.
    assert_eq!(load(&mut client, 1, "00000000000000a1", "k1"), "overloaded");
    assert_eq!(wants(&log), 0);
    let lookup = [("verb", "lookup"), ("txn", "00000000000000a2"), ("limit", "4000")];
    client.write_all(&call(2, &lookup, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    until_shown(&folder, |s| s.contains("\"id\": \"s-0\"") && !s.contains("\"age_ms\": null"));
    first.signal("-KILL");
    drop(first);
    assert_eq!(verify(&folder).0, Some(0));

    let second = Gateway::start_with(&config, Some(operator.path()));
    let mut client = second.client();
    assert_eq!(
        load(&mut client, 1, "00000000000000a3", "k1"),
        "overloaded",
        "the wait goes on through a restart"
    );
    assert_eq!(wants(&log), 1);
    let output = second.counts();
    assert!(output[1].starts_with("load: 1 received, 0 attempts"), "{output:?}");
}

#[test]
fn second_process_in_one_folder_serves_without_it_and_sends_nothing_keyed() {
    let parent = tempfile::tempdir().expect("a folder");
    let folder = parent.path().join("kept");
    let operator = operator(&folder, "");
    let (at, log) = resp_engine(answers);
    let config = config(&[at], "resp", 5000);
    let _first = Gateway::start_with(&config, Some(operator.path()));
    let second = Gateway::start_with(&config, Some(operator.path()));
    let mut client = second.client();
    assert_eq!(load(&mut client, 1, "00000000000000a1", "k1"), "overloaded");
    let lookup = [("verb", "lookup"), ("txn", "00000000000000a2"), ("limit", "4000")];
    client.write_all(&call(2, &lookup, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    assert_eq!(wants(&log), 1);
}

#[test]
fn folder_that_cannot_be_used_is_said_and_ends_a_start_only_where_it_is_required() {
    let parent = tempfile::tempdir().expect("a folder");
    let file = parent.path().join("file");
    std::fs::write(&file, "x").expect("a file");
    let (at, _log) = resp_engine(answers);
    let config = config(&[at], "resp", 5000);
    let may = operator(&file, "");
    let gateway = Gateway::start_with(&config, Some(may.path()));
    let lookup = [("verb", "lookup"), ("txn", "00000000000000a2"), ("limit", "4000")];
    let mut client = gateway.client();
    client.write_all(&call(1, &lookup, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");

    let must = operator(&file, "  required = true\n");
    let platform = parent.path().join("config.json");
    std::fs::write(&platform, &config).expect("a file");
    let out = run(&[
        "serve".as_ref(),
        "--config".as_ref(),
        platform.as_ref(),
        "--operator".as_ref(),
        must.path().as_ref(),
    ]);
    let output = String::from_utf8_lossy(&out.stderr);
    assert!(
        out.status.code() == Some(1)
            && output.contains("knowledge.required is set, but the folder cannot be used"),
        "{output}"
    );
}

#[test]
fn end_and_reload_leave_a_whole_folder() {
    let parent = tempfile::tempdir().expect("a folder");
    let folder = parent.path().join("kept");
    let operator = operator(&folder, "  keys = false\n");
    let (at, log) = resp_engine(answers);
    let config = config(&[at], "resp", 5000);
    let gateway = Gateway::start_with(&config, Some(operator.path()));
    gateway.reload(&config);
    let mut client = gateway.client();
    assert_eq!(load(&mut client, 1, "00000000000000a1", "k1"), "served", "without the log keys go at once");
    assert_eq!(wants(&log), 1);
    gateway.counts();
    assert_eq!(verify(&folder).0, Some(0));
    assert!(show(&folder).contains("\"name\": \"load\""));
    // One byte of the last generation: told with file and offset, and the one before is read.
    let names = std::fs::read_dir(&folder).expect("read").map(|e| e.expect("an entry").path());
    let last = names.filter(|p| p.extension().is_some_and(|e| e == "spk")).max().expect("a snapshot");
    let mut bytes = std::fs::read(&last).expect("read");
    bytes[40] ^= 1;
    std::fs::write(&last, bytes).expect("written");
    let (code, output) = verify(&folder);
    assert!(code == Some(1) && output.contains("at byte 16: the checksum does not fit"), "{output}");
    assert!(show(&folder).contains("\"name\": \"load\""));
}

/// Queries go on; what was not kept is the folder's loss alone, and the next start begins with nothing.
#[test]
fn folder_that_goes_away_while_serving_costs_no_query() {
    let parent = tempfile::tempdir().expect("a folder");
    let folder = parent.path().join("kept");
    let operator = operator(&folder, "");
    let (at, _log) = resp_engine(answers);
    let config = config(&[at], "resp", 5000);
    let gateway = Gateway::start_with(&config, Some(operator.path()));
    until_shown(&folder, |s| s.contains("lookup"));
    // A snapshot may be written just then.
    while std::fs::remove_dir_all(&folder).is_err() {}
    let mut client = gateway.client();
    for seq in 1..50 {
        let txn = format!("{seq:016x}");
        let lookup = [("verb", "lookup"), ("txn", txn.as_str()), ("limit", "4000")];
        client.write_all(&call(seq, &lookup, "select 1")).expect("sent");
        assert_eq!(answer(&mut client).1, "served");
    }
    gateway.counts();
    assert_eq!(verify(&folder).0, Some(2));
    let second = Gateway::start_with(&config, Some(operator.path()));
    until_shown(&folder, |s| s.contains("lookup"));
    second.counts();
    assert_eq!(verify(&folder).0, Some(0));
}

/// Until the list in the folder says that of an engine.
fn until_cached(folder: &Path, id: &str, live: bool) {
    let cached = || {
        let bytes = std::fs::read(folder.join("list.spk")).ok()?;
        let list = starlingplank_persistence::cached_endpoints::CachedEndpoints::decode(&bytes).ok()?;
        list.endpoints.iter().find(|e| e.id == id).map(|e| e.live)
    };
    for _ in 0..30_000 {
        if cached() == Some(live) {
            return;
        }
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
    panic!("it was never kept");
}

fn lookups(gateway: &Gateway, from: u32) -> Vec<&'static str> {
    let ask = |n: u32| {
        let mut client = gateway.client();
        let txn = format!("{n:016x}");
        let fields = [("verb", "lookup"), ("txn", txn.as_str()), ("limit", "4000")];
        client.write_all(&call(1, &fields, "select 1")).expect("sent");
        answer(&mut client).1
    };
    (from..from + 30).map(ask).collect()
}

/// Killed, and started anew while the list is silent: a gateway whose configuration names no engine serves from the list
/// that it kept, and one that names an engine which drained meanwhile sends it nothing.
#[rstest::rstest]
#[case::no_engine_in_the_configuration(false)]
#[case::engines_in_the_configuration(true)]
fn life_after_a_kill_goes_by_the_list_that_the_one_before_heard(#[case] known: bool) {
    let parent = tempfile::tempdir().expect("a folder");
    let folder = parent.path().join("kept");
    let operator = operator(&folder, "");
    let (first, used) = resp_engine(answers);
    let (second, drained) = resp_engine(answers);
    let (names, list) = list_service();
    let engines = if known { vec![first, second] } else { vec![] };
    let config =
        config(&engines, "resp", 5000).replacen("\"known\"", &format!("\"names\":\"{names}\",\"known\""), 1);
    *list.lock().expect("list") = Some((7, vec![("s-0", first, false), ("s-1", second, true)]));
    let gateway = Gateway::start_with(&config, Some(operator.path()));
    until_cached(&folder, "s-1", false);
    gateway.signal("-KILL");
    drop(gateway);
    *list.lock().expect("list") = None;
    assert_eq!(verify(&folder).0, Some(0));
    let gateway = Gateway::start_with(&config, Some(operator.path()));
    let answered = lookups(&gateway, 0);
    assert!(answered.iter().all(|a| *a == "served"), "{answered:?}");
    assert!(wants(&used) > 0 && wants(&drained) == 0, "{} and {}", wants(&used), wants(&drained));
    // The service's own word ends it.
    *list.lock().expect("list") = Some((8, vec![("s-1", second, false)]));
    until_cached(&folder, "s-1", true);
    let answered = lookups(&gateway, 100);
    assert!(answered.iter().all(|a| *a == "served") && wants(&drained) > 0, "{answered:?}");
    // A file that is none costs the list, never the start.
    gateway.signal("-KILL");
    drop(gateway);
    std::fs::write(folder.join("list.spk"), b"SPKLIST\nspoilt").expect("written");
    assert_eq!(verify(&folder).0, Some(1));
    *list.lock().expect("list") = None;
    let gateway = Gateway::start_with(&config, Some(operator.path()));
    let kind = if known { "served" } else { "overloaded" };
    assert!(lookups(&gateway, 200).iter().all(|a| *a == kind));
}
