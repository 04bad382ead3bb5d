//! The folder that the processes of a gateway share, on a disk that fails temporarily.

mod stand;

use stand::faults::Faults;
use stand::requests::*;
use stand::*;
use starlingplank::net::hot_restart::{folder, HotRestart};
use starlingplank_persistence::deduplication_window;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

/// A gateway process with a folder that it shares with later processes of the same gateway.
struct SharingGateway {
    gateway: Gateway,
    path: std::path::PathBuf,
    errors: std::path::PathBuf,
    _folder: tempfile::TempDir,
    _port: tokio::net::TcpSocket,
}

/// Starts the process on a port that later processes may also bind.
fn start_sharing_gateway(engine: SocketAddr, faults: &Arc<Faults>) -> SharingGateway {
    let port = tokio::net::TcpSocket::new_v4().expect("a socket");
    port.set_reuseport(true).expect("set");
    port.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let at = port.local_addr().expect("bound");
    let listen = format!(r#""listen":"{at}","operator":"127.0.0.1:0""#);
    let text = with_replacement(&config(&[engine], "resp", 20_000), r#""listen":"127.0.0.1:0""#, &listen);
    let folder_of_test = tempfile::tempdir().expect("a folder");
    let (file, errors) = (folder_of_test.path().join("config.json"), folder_of_test.path().join("errors"));
    std::fs::write(&file, text).expect("a file");
    let mut command = Gateway::command_with_faults(faults);
    command.env("TMPDIR", folder_of_test.path());
    command.stderr(File::create(&errors).expect("a file"));
    let path = folder(folder_of_test.path(), "n0", at);
    let gateway = Gateway::start_command(command, &file);
    SharingGateway { gateway, path, errors, _folder: folder_of_test, _port: port }
}

/// Guards against a log line for each request while writes to the folder fail: many keyed requests arrive during the failure.
#[test]
fn failing_disk_writes_cause_few_log_lines() {
    const REQUESTS: usize = 300;
    let (at, log) = resp_engine(served);
    let faults = Arc::new(Faults::new("disk=1"));
    let shared = start_sharing_gateway(at, &faults);
    let mut client = shared.gateway.thrift_client();
    faults.begin();
    for n in 1..=REQUESTS {
        client.write_all(&load(n as i32, n, &format!("k{n}"))).expect("sent");
        assert_eq!(answer(&mut client).1, "overloaded");
    }
    faults.end();
    assert_eq!(attempts(&log).len(), 0, "no key is sent without a record");
    let lines = std::fs::read_to_string(&shared.errors).expect("read").lines().count();
    assert!(lines <= REQUESTS / 10, "{lines} log lines for {REQUESTS} requests");
    let seq = REQUESTS as i32 + 1;
    client.write_all(&load(seq, seq as usize, "after")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
}

/// Guards against keys that are hidden from the next process: writes to the folder fail while this process starts, and keys sent
/// after that must still be recorded in the folder.
#[test]
fn process_started_while_disk_writes_fail_shares_the_folder_once_they_succeed() {
    let (at, _) = resp_engine(served);
    let faults = Arc::new(Faults::new("disk=1"));
    faults.begin();
    let thread_faults = faults.clone();
    let disk_recovers = std::thread::spawn(move || {
        thread_faults.wait_for_fault("disk");
        thread_faults.end();
    });
    let shared = start_sharing_gateway(at, &faults);
    disk_recovers.join().expect("the disk failed at the start");
    let mut client = shared.gateway.thrift_client();
    client.write_all(&load(1, 1, "early")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    let mut next = HotRestart::open(&shared.path, 1_000_000.0).expect("the folder");
    let keys: Vec<_> = next.observe(1_000_000.0).keys.into_iter().map(|(key, _)| key).collect();
    assert!(keys.contains(&deduplication_window::key("early")), "{keys:?}");
}

/// Guards against a partly written record that hides the records after it from the next process.
#[test]
fn key_recorded_after_a_torn_record_is_read_by_the_next_process() {
    let (at, log) = resp_engine(served);
    let faults = Arc::new(Faults::new("torn=1"));
    let shared = start_sharing_gateway(at, &faults);
    let mut client = shared.gateway.thrift_client();
    faults.begin();
    client.write_all(&load(1, 1, "torn")).expect("sent");
    assert_eq!(answer(&mut client).1, "overloaded");
    faults.wait_for_fault("torn");
    faults.end();
    client.write_all(&load(2, 2, "whole")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    assert_eq!(attempts(&log).len(), 1);
    let mut next = HotRestart::open(&shared.path, 1_000_000.0).expect("the folder");
    let keys: Vec<_> = next.observe(1_000_000.0).keys.into_iter().map(|(key, _)| key).collect();
    assert!(keys.contains(&deduplication_window::key("whole")), "{keys:?}");
}
