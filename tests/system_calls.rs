//! System calls of the real program that fail in ways documented for Linux: no request is lost or executed twice, and the process
//! starts, serves, listens and exits as usual.

mod stand;

use rstest::rstest;
use stand::faults::Faults;
use stand::requests::*;
use stand::*;
use std::fs::File;
use std::io::{Read, Write};
use std::process::{Child, Command, Stdio};
use std::thread;

/// A system call that fails with EINTR has had no effect and is repeated.
#[rstest]
#[case::platform("resp")]
#[case::clickhouse("clickhouse")]
fn interrupted_reads_and_writes_lose_no_request_and_execute_none_twice(#[case] protocol: &str) {
    const CLIENTS: usize = 8;
    const REQUESTS: usize = 40;
    let (address, log) = match protocol {
        "resp" => resp_engine(served),
        _ => http_engine(|_, _| Some(encode_http("200 OK", "", "a\tb\tc\n"))),
    };
    let faults = Faults::new("seed=3,interrupt=0.2,short=0.05");
    let mut gateway = Gateway::start_with_faults(
        &with_long_latency_objectives(&config(&[address], protocol, 60_000)),
        &faults,
    );
    faults.begin();
    let clients: Vec<_> = (0..CLIENTS).map(|_| gateway.thrift_client()).collect();
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
    terminate_and_expect_success(&mut gateway);
    let queries =
        |log: &Log| log.lock().expect("log").iter().filter(|line| line[0].contains("query_id")).count();
    match protocol {
        "resp" => {
            let attempts = attempts(&log);
            assert_eq!(attempts.len(), CLIENTS * REQUESTS);
            assert!(attempts.values().all(|n| *n == 1), "{attempts:?}");
        }
        _ => assert_eq!(queries(&log), CLIENTS * REQUESTS),
    }
}

/// Sockets and connects to an engine that fail for a moment are retried, and the engine is not ejected.
#[test]
fn engine_is_not_ejected_when_sockets_and_connects_fail_for_a_moment() {
    const REQUESTS: usize = 30;
    // The engine closes its connection after each answer, so that each request needs a new one.
    let (address, log) = resp_engine_with_handler(|parts, stream| {
        let reply = served(parts).unwrap_or_default();
        stream.write_all(reply.as_bytes()).is_ok() && parts[0] != "want"
    });
    let faults = Faults::new("seed=5,socket=0.3,connect=0.3");
    let mut gateway = Gateway::start_with_faults(
        &with_long_latency_objectives(&config(&[address], "resp", 60_000)),
        &faults,
    );
    faults.begin();
    for n in 1..=REQUESTS {
        assert_served(gateway.thrift_client(), n);
    }
    terminate_and_expect_success(&mut gateway);
    assert_eq!(attempts(&log).values().sum::<usize>(), REQUESTS);
}

/// The process retries when its first sockets cannot be opened, as when no descriptors are free for a moment.
#[test]
fn process_starts_although_its_first_sockets_fail() {
    let (address, _) = resp_engine(served);
    let faults = Faults::new("socket_first=3");
    let gateway = Gateway::start_with_faults(&config(&[address], "resp", 20_000), &faults);
    assert_served(gateway.thrift_client(), 1);
}

/// The configuration file is a pipe, so that the process waits in the read of it until the test writes; SIGHUP arrives meanwhile.
#[test]
fn sighup_before_the_configuration_is_read_does_not_end_the_process() {
    let (address, _) = resp_engine(served);
    let folder = tempfile::tempdir().expect("a folder");
    let pipe = folder.path().join("config.json");
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs").success());
    let mut command = Command::new(env!("CARGO_BIN_EXE_starlingplank"));
    command.env("PROXY_CONFIG", &pipe).arg("serve").stdout(Stdio::piped());
    let text = config(&[address], "resp", 20_000);
    let mut child = command.spawn().expect("the program starts");
    // Opening the pipe blocks until the process opens it for reading.
    let mut writer = File::options().write(true).open(&pipe).expect("the process opens the pipe");
    let id = child.id().to_string();
    assert!(Command::new("kill").args(["-HUP", &id]).status().expect("kill runs").success());
    writer.write_all(text.as_bytes()).expect("written");
    drop(writer);
    // The process listens before it handles the reload.
    let listens = output_contains(&mut child, " listens at ");
    drop((child.kill(), child.wait()));
    assert!(listens, "the process exited before it listened");
}

fn output_contains(child: &mut Child, text: &str) -> bool {
    let mut stdout = child.stdout.take().expect("piped");
    let (mut output, mut bytes) = (String::new(), [0; 256]);
    while let Ok(n @ 1..) = stdout.read(&mut bytes) {
        output.push_str(&String::from_utf8_lossy(&bytes[..n]));
        if output.contains(text) {
            return true;
        }
    }
    false
}
