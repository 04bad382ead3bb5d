//! System calls that fail as Linux documents, in the real program: no request is lost or run twice by them, the process
//! starts, serves, listens and ends.

mod stand;

use rstest::rstest;
use stand::faults::Faults;
use stand::requests::*;
use stand::*;
use std::fs::File;
use std::io::{Read, Write};
use std::process::{Child, Command, Stdio};
use std::thread;

/// An interrupted call has done nothing, and is made again.
#[rstest]
#[case::platform("resp")]
#[case::clickhouse("clickhouse")]
fn interrupted_reads_and_writes_lose_nothing_and_run_nothing_twice(#[case] wire: &str) {
    const CLIENTS: usize = 8;
    const REQUESTS: usize = 40;
    let (at, log) = match wire {
        "resp" => resp_engine(served),
        _ => http_engine(|_, _| Some(web_answer("200 OK", "", "a\tb\tc\n"))),
    };
    let faults = Faults::new("seed=3,interrupt=0.2,short=0.05");
    let mut gateway = Gateway::start_with_faults(&never_late(&config(&[at], wire, 60_000)), &faults);
    faults.begin();
    let clients: Vec<_> = (0..CLIENTS).map(|_| gateway.client()).collect();
    let clients = clients.into_iter().enumerate().map(|(number, mut client)| {
        thread::spawn(move || {
            for seq in 1..=REQUESTS {
                client.write_all(&lookup(seq as i32, number * REQUESTS + seq)).expect("sent");
                assert_eq!(answer(&mut client).1, "served");
            }
        })
    });
    for client in clients.collect::<Vec<_>>() {
        client.join().expect("each request is served");
    }
    ends_well(&mut gateway);
    let queries =
        |log: &Log| log.lock().expect("log").iter().filter(|line| line[0].contains("query_id")).count();
    match wire {
        "resp" => {
            let attempts = attempts(&log);
            assert_eq!(attempts.len(), CLIENTS * REQUESTS);
            assert!(attempts.values().all(|n| *n == 1), "{attempts:?}");
        }
        _ => assert_eq!(queries(&log), CLIENTS * REQUESTS),
    }
}

/// Connections to an engine that fail for a moment are retried, and the engine is not ejected.
#[test]
fn engine_is_used_where_sockets_and_connects_fail_for_a_moment() {
    const REQUESTS: usize = 30;
    // It closes its connection after each answer, so that each request needs a new one.
    let (at, log) = resp_engine_that(|parts, stream| {
        let reply = served(parts).unwrap_or_default();
        stream.write_all(reply.as_bytes()).is_ok() && parts[0] != "want"
    });
    let faults = Faults::new("seed=5,socket=0.3,connect=0.3");
    let mut gateway = Gateway::start_with_faults(&never_late(&config(&[at], "resp", 60_000)), &faults);
    faults.begin();
    for n in 1..=REQUESTS {
        is_served(gateway.client(), n);
    }
    ends_well(&mut gateway);
    assert_eq!(attempts(&log).values().sum::<usize>(), REQUESTS);
}

/// There may be no descriptors for a moment at the start.
#[test]
fn process_starts_where_its_first_sockets_fail() {
    let (at, _) = resp_engine(served);
    let faults = Faults::new("socket_first=3");
    let gateway = Gateway::start_with_faults(&config(&[at], "resp", 20_000), &faults);
    is_served(gateway.client(), 1);
}

/// The file is a pipe: until the test writes it, the process waits for its configuration.
#[test]
fn hangup_before_the_configuration_is_read_does_not_end_the_process() {
    let (at, _) = resp_engine(served);
    let folder = tempfile::tempdir().expect("a folder");
    let pipe = folder.path().join("config.json");
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("it runs").success());
    let mut command = Command::new(env!("CARGO_BIN_EXE_starlingplank"));
    command.env("PROXY_CONFIG", &pipe).arg("serve").stdout(Stdio::piped());
    let text = config(&[at], "resp", 20_000);
    let mut child = command.spawn().expect("the program starts");
    // Opening it waits for the reader.
    let mut writer = File::options().write(true).open(&pipe).expect("it is read");
    let id = child.id().to_string();
    assert!(Command::new("kill").args(["-HUP", &id]).status().expect("kill runs").success());
    writer.write_all(text.as_bytes()).expect("written");
    drop(writer);
    // It listens before it reloads.
    let listens = first_line_with(&mut child, " listens at ");
    drop((child.kill(), child.wait()));
    assert!(listens, "it ended before it listened");
}

fn first_line_with(child: &mut Child, what: &str) -> bool {
    let mut out = child.stdout.take().expect("piped");
    let (mut all, mut bytes) = (String::new(), [0; 256]);
    while let Ok(n @ 1..) = out.read(&mut bytes) {
        all.push_str(&String::from_utf8_lossy(&bytes[..n]));
        if all.contains(what) {
            return true;
        }
    }
    false
}
