//! The folder that the processes of a gateway share, on a disk that fails for a while.

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

/// A gateway that shares a folder with others of its name.
struct Shared {
    gateway: Gateway,
    path: std::path::PathBuf,
    errors: std::path::PathBuf,
    _folder: tempfile::TempDir,
    _port: tokio::net::TcpSocket,
}

fn shared(engine: SocketAddr, faults: &Arc<Faults>) -> Shared {
    let port = tokio::net::TcpSocket::new_v4().expect("a socket");
    port.set_reuseport(true).expect("set");
    port.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let at = port.local_addr().expect("bound");
    let listen = format!(r#""listen":"{at}","operator":"127.0.0.1:0""#);
    let text = changed(&config(&[engine], "resp", 20_000), r#""listen":"127.0.0.1:0""#, &listen);
    let folder_of_test = tempfile::tempdir().expect("a folder");
    let (file, errors) = (folder_of_test.path().join("config.json"), folder_of_test.path().join("errors"));
    std::fs::write(&file, text).expect("a file");
    let mut command = Gateway::command_with_faults(faults);
    command.env("TMPDIR", folder_of_test.path());
    command.stderr(File::create(&errors).expect("a file"));
    let path = folder(folder_of_test.path(), "n0", at);
    let gateway = Gateway::start_command(command, &file);
    Shared { gateway, path, errors, _folder: folder_of_test, _port: port }
}

/// The folder takes no writes for a while, and many keyed requests come.
#[test]
fn disk_that_takes_no_writes_costs_few_lines_of_log() {
    const REQUESTS: usize = 300;
    let (at, log) = resp_engine(served);
    let faults = Arc::new(Faults::new("disk=1"));
    let shared = shared(at, &faults);
    let mut client = shared.gateway.client();
    faults.begin();
    for n in 1..=REQUESTS {
        client.write_all(&load(n as i32, n, &format!("k{n}"))).expect("sent");
        assert_eq!(answer(&mut client).1, "overloaded");
    }
    faults.end();
    assert_eq!(attempts(&log).len(), 0, "nothing leaves that is not recorded");
    let lines = std::fs::read_to_string(&shared.errors).expect("read").lines().count();
    assert!(lines <= REQUESTS / 10, "{lines} lines of errors");
    let seq = REQUESTS as i32 + 1;
    client.write_all(&load(seq, seq as usize, "after")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
}

/// The folder takes no writes as the process starts: what it sends then must be known to the next all the same.
#[test]
fn process_that_starts_while_the_disk_takes_no_writes_shares_the_folder_once_it_does() {
    let (at, _) = resp_engine(served);
    let faults = Arc::new(Faults::new("disk=1"));
    faults.begin();
    let ends = faults.clone();
    let disk_recovers = std::thread::spawn(move || {
        ends.until_happened("disk");
        ends.end();
    });
    let shared = shared(at, &faults);
    disk_recovers.join().expect("the disk failed at the start");
    let mut client = shared.gateway.client();
    client.write_all(&load(1, 1, "early")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    let mut next = HotRestart::open(&shared.path, 1_000_000.0).expect("the folder");
    let keys: Vec<_> = next.observe(1_000_000.0).keys.into_iter().map(|(key, _)| key).collect();
    assert!(keys.contains(&deduplication_window::key("early")), "{keys:?}");
}

/// A record that is half written must not hide those after it.
#[test]
fn key_that_is_sent_after_a_torn_record_is_heard_by_the_next_process() {
    let (at, log) = resp_engine(served);
    let faults = Arc::new(Faults::new("torn=1"));
    let shared = shared(at, &faults);
    let mut client = shared.gateway.client();
    faults.begin();
    client.write_all(&load(1, 1, "torn")).expect("sent");
    assert_eq!(answer(&mut client).1, "overloaded");
    faults.until_happened("torn");
    faults.end();
    client.write_all(&load(2, 2, "whole")).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    assert_eq!(attempts(&log).len(), 1);
    let mut next = HotRestart::open(&shared.path, 1_000_000.0).expect("the folder");
    let keys: Vec<_> = next.observe(1_000_000.0).keys.into_iter().map(|(key, _)| key).collect();
    assert!(keys.contains(&deduplication_window::key("whole")), "{keys:?}");
}
