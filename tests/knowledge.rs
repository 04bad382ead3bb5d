//! The program's knowledge folder: contents after a kill, a restart, corruption or removal.

mod stand;

use stand::*;
use std::io::Write;
use std::path::Path;
use std::process::{Command, Output};

/// Returns an operator's file that sets the knowledge folder, with additional settings.
fn operator(folder: &Path, additional: &str) -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    write!(file, "knowledge {{\n  folder = {folder:?}\n  every = \"100ms\"\n{additional}\n}}\n")
        .expect("written");
    file
}

fn served(parts: &[String]) -> Option<String> {
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

/// Waits until `knowledge show` prints what is searched for.
fn until_shown(folder: &Path, found: impl Fn(&str) -> bool) {
    for _ in 0..2_000 {
        if found(&show(folder)) {
            return;
        }
    }
    panic!("not shown after 2,000 tries: {}", show(folder));
}

fn attempt_count(log: &Log) -> usize {
    log.lock().expect("log").iter().filter(|p| p[0] == "want").count()
}

/// Guards against the loss of engines and keys when the process is killed: the key's wait goes on in the restarted process.
#[test]
fn restart_after_a_kill_restores_engines_and_keys() {
    let parent = tempfile::tempdir().expect("a folder");
    let folder = parent.path().join("kept");
    let operator = operator(&folder, "");
    let (at, log) = resp_engine(served);
    let config = config(&[at], "resp", 5000);
    let first = Gateway::start_with(&config, Some(operator.path()));
    let mut client = first.thrift_client();
    // The first start has no idempotency log to rely on. The mark in its new log holds the time until which no key may be sent.
    assert_eq!(load(&mut client, 1, "00000000000000a1", "k1"), "overloaded");
    assert_eq!(attempt_count(&log), 0);
    let lookup = [("verb", "lookup"), ("txn", "00000000000000a2"), ("limit", "4000")];
    client.write_all(&call(2, &lookup, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    until_shown(&folder, |s| s.contains("\"id\": \"s-0\"") && !s.contains("\"age_ms\": null"));
    first.signal("-KILL");
    drop(first);
    assert_eq!(verify(&folder).0, Some(0));

    let second = Gateway::start_with(&config, Some(operator.path()));
    let mut client = second.thrift_client();
    assert_eq!(
        load(&mut client, 1, "00000000000000a3", "k1"),
        "overloaded",
        "the wait for the window continues after the restart"
    );
    assert_eq!(attempt_count(&log), 1);
    let output = second.request_counts();
    assert!(output[1].starts_with("load: 1 received, 0 attempts"), "{output:?}");
}

#[test]
fn second_process_on_a_locked_folder_serves_but_sends_no_keyed_requests() {
    let parent = tempfile::tempdir().expect("a folder");
    let folder = parent.path().join("kept");
    let operator = operator(&folder, "");
    let (at, log) = resp_engine(served);
    let config = config(&[at], "resp", 5000);
    let _first = Gateway::start_with(&config, Some(operator.path()));
    let second = Gateway::start_with(&config, Some(operator.path()));
    let mut client = second.thrift_client();
    assert_eq!(load(&mut client, 1, "00000000000000a1", "k1"), "overloaded");
    let lookup = [("verb", "lookup"), ("txn", "00000000000000a2"), ("limit", "4000")];
    client.write_all(&call(2, &lookup, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    assert_eq!(attempt_count(&log), 1);
}

#[test]
fn unusable_folder_prevents_a_start_only_where_knowledge_is_required() {
    let parent = tempfile::tempdir().expect("a folder");
    let file = parent.path().join("file");
    std::fs::write(&file, "x").expect("a file");
    let (at, _log) = resp_engine(served);
    let config = config(&[at], "resp", 5000);
    let optional = operator(&file, "");
    let gateway = Gateway::start_with(&config, Some(optional.path()));
    let lookup = [("verb", "lookup"), ("txn", "00000000000000a2"), ("limit", "4000")];
    let mut client = gateway.thrift_client();
    client.write_all(&call(1, &lookup, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");

    let required = operator(&file, "  required = true\n");
    let platform = parent.path().join("config.json");
    std::fs::write(&platform, &config).expect("a file");
    let out = run(&[
        "serve".as_ref(),
        "--config".as_ref(),
        platform.as_ref(),
        "--operator".as_ref(),
        required.path().as_ref(),
    ]);
    let output = String::from_utf8_lossy(&out.stderr);
    assert!(
        out.status.code() == Some(1)
            && output.contains("knowledge.required is set, but the folder cannot be used"),
        "{output}"
    );
}

#[test]
fn reload_and_shutdown_leave_a_valid_folder() {
    let parent = tempfile::tempdir().expect("a folder");
    let folder = parent.path().join("kept");
    let operator = operator(&folder, "  keys = false\n");
    let (at, log) = resp_engine(served);
    let config = config(&[at], "resp", 5000);
    let gateway = Gateway::start_with(&config, Some(operator.path()));
    gateway.reload(&config);
    let mut client = gateway.thrift_client();
    assert_eq!(
        load(&mut client, 1, "00000000000000a1", "k1"),
        "served",
        "without an idempotency log keys are sent immediately"
    );
    assert_eq!(attempt_count(&log), 1);
    gateway.request_counts();
    assert_eq!(verify(&folder).0, Some(0));
    assert!(show(&folder).contains("\"name\": \"load\""));
    // One byte of the newest snapshot is changed: `verify` reports file and offset, and the previous snapshot is read.
    let names = std::fs::read_dir(&folder).expect("read").map(|e| e.expect("an entry").path());
    let last = names.filter(|p| p.extension().is_some_and(|e| e == "spk")).max().expect("a snapshot");
    let mut bytes = std::fs::read(&last).expect("read");
    bytes[40] ^= 1;
    std::fs::write(&last, bytes).expect("written");
    let (code, output) = verify(&folder);
    assert!(code == Some(1) && output.contains("at byte 16: the checksum does not match"), "{output}");
    assert!(show(&folder).contains("\"name\": \"load\""));
}

/// Guards against failing queries when the folder is deleted while the gateway serves: only the stored knowledge is lost, and the
/// next start begins without any.
#[test]
fn folder_deleted_while_serving_fails_no_query() {
    let parent = tempfile::tempdir().expect("a folder");
    let folder = parent.path().join("kept");
    let operator = operator(&folder, "");
    let (at, _log) = resp_engine(served);
    let config = config(&[at], "resp", 5000);
    let gateway = Gateway::start_with(&config, Some(operator.path()));
    until_shown(&folder, |s| s.contains("lookup"));
    // Removal fails if a snapshot is written at the same moment, so it is tried again.
    while std::fs::remove_dir_all(&folder).is_err() {}
    let mut client = gateway.thrift_client();
    for seq in 1..50 {
        let txn = format!("{seq:016x}");
        let lookup = [("verb", "lookup"), ("txn", txn.as_str()), ("limit", "4000")];
        client.write_all(&call(seq, &lookup, "select 1")).expect("sent");
        assert_eq!(answer(&mut client).1, "served");
    }
    gateway.request_counts();
    assert_eq!(verify(&folder).0, Some(2));
    let second = Gateway::start_with(&config, Some(operator.path()));
    until_shown(&folder, |s| s.contains("lookup"));
    second.request_counts();
    assert_eq!(verify(&folder).0, Some(0));
}

/// Waits until the endpoint list in the folder shows the engine as live, or as not live.
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
    panic!("{id} was not stored with live = {live} within 30,000 tries");
}

/// Sends 30 lookups, each on a connection of its own, and returns the kinds of their answers.
fn lookups(gateway: &Gateway, from: u32) -> Vec<&'static str> {
    let send_lookup = |n: u32| {
        let mut client = gateway.thrift_client();
        let txn = format!("{n:016x}");
        let fields = [("verb", "lookup"), ("txn", txn.as_str()), ("limit", "4000")];
        client.write_all(&call(1, &fields, "select 1")).expect("sent");
        answer(&mut client).1
    };
    (from..from + 30).map(send_lookup).collect()
}

/// Guards against losing the endpoint list when a gateway is killed and restarted while the name service does not answer: a
/// gateway without engines in its configuration serves from the stored list, and one with engines in its configuration sends
/// nothing to an engine that the stored list shows as draining.
#[rstest::rstest]
#[case::no_engine_in_the_configuration(false)]
#[case::engines_in_the_configuration(true)]
fn restart_after_a_kill_uses_the_stored_endpoint_list(#[case] has_known_engines: bool) {
    let parent = tempfile::tempdir().expect("a folder");
    let folder = parent.path().join("kept");
    let operator = operator(&folder, "");
    let (first, live_log) = resp_engine(served);
    let (second, draining_log) = resp_engine(served);
    let (names, list) = list_service();
    let engines = if has_known_engines { vec![first, second] } else { vec![] };
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
    let answers = lookups(&gateway, 0);
    assert!(answers.iter().all(|kind| *kind == "served"), "{answers:?}");
    assert!(
        attempt_count(&live_log) > 0 && attempt_count(&draining_log) == 0,
        "{} sent to the live engine, {} to the draining one",
        attempt_count(&live_log),
        attempt_count(&draining_log)
    );
    // A response of the name service replaces the stored list.
    *list.lock().expect("list") = Some((8, vec![("s-1", second, false)]));
    until_cached(&folder, "s-1", true);
    let answers = lookups(&gateway, 100);
    assert!(answers.iter().all(|kind| *kind == "served") && attempt_count(&draining_log) > 0, "{answers:?}");
    // A corrupted file loses the stored list, but does not prevent the start.
    gateway.signal("-KILL");
    drop(gateway);
    std::fs::write(folder.join("list.spk"), b"SPKLIST\nspoilt").expect("written");
    assert_eq!(verify(&folder).0, Some(1));
    *list.lock().expect("list") = None;
    let gateway = Gateway::start_with(&config, Some(operator.path()));
    let expected = if has_known_engines { "served" } else { "overloaded" };
    assert!(lookups(&gateway, 200).iter().all(|kind| *kind == expected));
}
