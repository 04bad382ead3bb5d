//! Clients, processes and name services that end or pause: each test forces one order of events. `engine_endings` has those of
//! attempts.

mod stand;

use rstest::rstest;
use rustix::event::{poll, PollFd, PollFlags};
use stand::faults::Faults;
use stand::requests::{attempts_of, lookup_within, served};
use stand::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

/// Waits until the other side has closed or reset the connection, whatever is still to be read.
fn until_closed(stream: &TcpStream) {
    for _ in 0..3_000 {
        let mut fds = [PollFd::new(stream, PollFlags::RDHUP)];
        let within = rustix::event::Timespec { tv_sec: 0, tv_nsec: 10_000_000 };
        if poll(&mut fds, Some(&within)).is_ok_and(|n| n > 0) {
            return;
        }
    }
    panic!("it is never closed");
}

/// The least time between SIGTERM and the end of a process that has nothing open.
const WINDOW: Duration = Duration::from_millis(800);

/// The name of a request that its engine keeps open while the process is told to end.
const HELD: &str = "00000000000000f1";

fn engine_that_holds_one() -> (SocketAddr, Log, Arc<Barrier>) {
    let answer = reply(&[HELD, "served", "pages=1,cost=5,need=8", "a\tb\tc\n"]);
    resp_engine_that_holds(HELD, answer, served)
}

/// Tells the process to end, and stops it over the end of its window. A request that is open keeps the process from
/// ending before it is stopped; its answer lies there once the process goes on.
fn stop_over_the_end_of_the_window(gateway: &Gateway, log: &Log, held: &Barrier) -> TcpStream {
    let mut client = gateway.client();
    client.write_all(&lookup_within(HELD, 60_000)).expect("sent");
    until(log, |l| l.iter().any(|p| p[0] == "want" && p[1] == HELD));
    let mut balancer = gateway.web();
    gateway.terminate();
    let begun = Instant::now();
    while !ask(&mut balancer, "GET /ping HTTP/1.1\r\n\r\n").0.starts_with("HTTP/1.1 503") {}
    gateway.stop();
    held.wait();
    held.wait();
    // Nothing but time tells that the window is over.
    thread::sleep((WINDOW + Duration::from_millis(100)).saturating_sub(begun.elapsed()));
    client
}

/// A process stands still over the end of its window. What arrived meanwhile, on connections that rested and on such as
/// wait to be accepted, was taken by the machine, and is answered.
#[test]
fn requests_that_arrive_as_the_window_ends_are_answered() {
    let (at, log, held) = engine_that_holds_one();
    let mut gateway = Gateway::start(&never_late(&config(&[at], "resp", 60_000)));
    let mut resting: Vec<_> = (0..8).map(|_| gateway.client()).collect();
    for client in &mut resting {
        client.write_all(&health(1)).expect("sent");
        assert_eq!(answer(client).0, 1);
    }
    let mut open = stop_over_the_end_of_the_window(&gateway, &log, &held);
    let mut new: Vec<_> = (0..8).map(|_| gateway.client()).collect();
    for (i, client) in resting.iter_mut().chain(&mut new).enumerate() {
        let seq = if i < 8 { 2 } else { 1 };
        let fields = [("verb", "lookup"), ("txn", &*format!("{i:016x}")), ("limit", "5000")];
        client.write_all(&call(seq, &fields, "select 1")).expect("sent");
    }
    gateway.resume();
    for client in resting.iter_mut().chain(&mut new).chain([&mut open]) {
        let (_, kind, _) = answer(client);
        assert!(matches!(kind, "served" | "overloaded"), "{kind}");
    }
    drop((resting, new, open));
    assert!(gateway.child.wait().expect("it ends").success());
}

/// The same for connections that wait to be accepted, where `accept` fails for a moment before each of them.
#[test]
fn connections_that_wait_as_the_window_ends_are_accepted_though_accept_fails_for_moments() {
    let (at, log, held) = engine_that_holds_one();
    let faults = Faults::new("seed=9,accept=0.7");
    let config = never_late(&config(&[at], "resp", 60_000));
    let mut gateway = Gateway::start_with_faults(&config, &faults);
    let mut open = stop_over_the_end_of_the_window(&gateway, &log, &held);
    let mut new: Vec<_> = (0..16).map(|_| gateway.client()).collect();
    for (i, client) in new.iter_mut().enumerate() {
        client.write_all(&lookup_within(&format!("{i:016x}"), 5000)).expect("sent");
    }
    faults.begin();
    gateway.resume();
    for client in new.iter_mut().chain([&mut open]) {
        let (_, kind, _) = answer(client);
        assert!(matches!(kind, "served" | "overloaded"), "{kind}");
    }
    drop((new, open));
    assert!(gateway.child.wait().expect("it ends").success());
}

/// Some clients rest until the gateway ends their connections. What they say after that is read by nobody, and takes
/// nothing that was said to them along.
#[test]
fn resting_client_is_told_of_the_end_and_what_it_says_then_is_never_sent_on() {
    let (at, log) = resp_engine(served);
    let mut gateway = Gateway::start(&config(&[at], "resp", 5000));
    let mut client = gateway.client();
    client.write_all(&lookup_within("00000000000000a1", 5000)).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    gateway.terminate();
    assert_eq!(client.read(&mut [0; 16]).expect("closed, not reset"), 0);
    client
        .write_all(&call(2, &[("verb", "lookup"), ("txn", "a2"), ("limit", "5000")], "select 2"))
        .expect("sent");
    drop(client);
    assert!(gateway.child.wait().expect("it ends").success());
    assert_eq!(attempts_of(&log, "a2"), 0);
}

/// Closed over bytes that nobody has read, a connection is reset, and an answer that lies at the client's machine is lost.
#[rstest]
#[case::thrift_frame_too_long(true)]
#[case::http_that_cannot_be_read(false)]
fn answer_is_not_lost_with_what_the_client_says_after_it(#[case] thrift: bool) {
    let (at, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[at], "resp", 5000));
    let mut client = if thrift { gateway.client() } else { gateway.web() };
    client.write_all(&if thrift { health(1) } else { b"GET /ping HTTP/1.1\r\n\r\n".to_vec() }).expect("sent");
    // It lies there, and is not read.
    assert!(client.peek(&mut [0; 1]).expect("answered") > 0);
    let junk = if thrift { vec![0x7f; 200_000] } else { b"NO WAY\r\n".repeat(25_000) };
    let _ = client.write_all(&junk);
    until_closed(&client);
    let mut all = Vec::new();
    client.read_to_end(&mut all).expect("closed, not reset");
    assert!(all.len() > 8, "{all:?}");
}

/// Bytes that are not read ahead must not hide that their client has gone.
#[test]
fn http_client_that_pipelines_much_and_goes_is_gone() {
    let (at, log) = resp_engine(|parts| if parts[0] == "want" { Some(String::new()) } else { served(parts) });
    let gateway = Gateway::start(&never_late(&config(&[at], "resp", 60_000)));
    let mut client = gateway.web();
    client.write_all(b"POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1").expect("sent");
    until(&log, |l| l.iter().any(|p| p[0] == "want"));
    client.write_all(&b"GET /ping HTTP/1.1\r\n\r\n".repeat(4_000)).expect("sent");
    drop(client);
    until(&log, |l| l.iter().any(|p| p[0] == "never_mind"));
    // It was given up as its client had gone, and not to go elsewhere.
    let counts = gateway.counts();
    assert!(counts[0].contains("answered [0, 0, 0, 1]"), "{counts:?}");
}

/// The flow to the list service falls silent for good; the service is well. It is asked from a new socket, and what it
/// tells there holds.
#[test]
fn flow_to_the_list_that_falls_silent_is_left_for_a_new_one() {
    let names = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let names_at = names.local_addr().expect("bound");
    let (first, drained) = resp_engine(served);
    let (second, _) = resp_engine(served);
    let drains = Arc::new(AtomicBool::new(false));
    let from_now = drains.clone();
    thread::spawn(move || {
        let (mut bytes, mut silent) = ([0; 512], None);
        while let Ok((len, from)) = names.recv_from(&mut bytes) {
            let is_draining = from_now.load(Ordering::SeqCst);
            // The flow that was answered first is dead once the drain begins.
            let flow = *silent.get_or_insert(from);
            if is_draining && from == flow {
                continue;
            }
            let list = [("s-0", first, is_draining), ("s-1", second, false)];
            let _ =
                names.send_to(&names_answer_of(&bytes[..len], if is_draining { 3 } else { 2 }, &list), from);
        }
    });
    let text =
        config(&[first, second], "resp", 5_000).replacen('{', &format!(r#"{{"names":"{names_at}","#), 1);
    let gateway = Gateway::start(&text);
    let mut client = gateway.client();
    let mut ask = |seq: i32| {
        let fields = [("verb", "lookup"), ("txn", &*format!("{seq:016x}")), ("limit", "5000")];
        client.write_all(&call(seq, &fields, "select 1")).expect("sent");
        answer(&mut client)
    };
    let sent = || drained.lock().expect("log").iter().filter(|p| p[0] == "want").count();
    let mut seq = 0;
    while sent() == 0 {
        seq += 1;
        ask(seq);
        assert!(seq < 10_000, "both are used");
    }
    drains.store(true, Ordering::SeqCst);
    // Once the drain is heard a hundred in a row go elsewhere, where each of two takes about half.
    let mut row = 0;
    while row < 100 {
        let before = sent();
        seq += 1;
        ask(seq);
        row = if sent() > before { 0 } else { row + 1 };
        assert!(seq < 200_000, "the drain is never heard");
    }
}

/// Idle clients hold all that clients may hold, and more wait, while the list service is away. It comes back: the list is
/// heard, new clients are served, the second address answers.
#[test]
fn crowd_of_idle_clients_while_the_list_is_away_keeps_nothing_from_coming_back() {
    let names = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let names_at = names.local_addr().expect("bound");
    let (at, _) = resp_engine(served);
    let more = format!(r#"{{"names":"{names_at}","operator":"127.0.0.1:0","#);
    let text = never_late(&config(&[], "resp", 60_000)).replacen('{', &more, 1);
    // The configuration promises more than the system gives.
    let gateway = Gateway::start_after(&text, "ulimit -n 64");
    let operator = gateway.operator.expect("set up");
    let crowd: Vec<_> = (0..150)
        .map(|_| {
            let client = gateway.client();
            let mut writer = client.try_clone().expect("cloned");
            writer.write_all(&health(1)).expect("sent");
            client
        })
        .collect();
    let (served_by, mut bytes) = (at, [0; 512]);
    thread::spawn(move || {
        while let Ok((len, from)) = names.recv_from(&mut bytes) {
            let _ = names.send_to(&names_answer(&bytes[..len], 2, &[("s-0", served_by)]), from);
        }
    });
    let mut ready = false;
    for _ in 0..10_000 {
        let mut staff = TcpStream::connect(operator).expect("it listens");
        staff.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
        let (head, _) = ask(&mut staff, "GET /api/ready HTTP/1.1\r\n\r\n");
        ready = head.starts_with("HTTP/1.1 200");
        if ready {
            break;
        }
    }
    assert!(ready, "the list was heard and the second address answers");
    let mut client = gateway.client();
    client.write_all(&lookup_within("00000000000000a1", 5_000)).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    drop(crowd);
}

/// A client sends much at once and goes: what it sent and its going are read together, and nothing of it is sent on.
#[test]
fn client_that_sends_much_and_goes_has_sent_nothing() {
    let (at, log) = resp_engine(served);
    let gateway = Gateway::start(&never_late(&config(&[at], "resp", 60_000)));
    let mut client = gateway.client();
    client.write_all(&health(1)).expect("sent");
    assert_eq!(answer(&mut client).0, 1);
    gateway.stop();
    // Several reads' worth, and no more than a process that reads nothing is sent whole.
    let requests = (2..300).flat_map(|seq| {
        let fields = [("verb", "lookup"), ("txn", &*format!("{seq:016x}")), ("limit", "20000")];
        call(seq, &fields, "select 1")
    });
    client.write_all(&requests.collect::<Vec<_>>()).expect("sent");
    let address = client.local_addr().expect("connected");
    drop(client);
    gateway.until_stream_end_arrived(address);
    gateway.resume();
    let mut after = gateway.client();
    after.write_all(&lookup_within("00000000000000a1", 20_000)).expect("sent");
    assert_eq!(answer(&mut after).1, "served");
    let sent = log.lock().expect("log").iter().filter(|p| p[0] == "want").count();
    assert_eq!(sent, 1);
}

/// Staff call as the process ends: they are told so, and are not met by a close.
#[test]
fn call_that_arrives_as_the_process_ends_is_answered() {
    let (at, _) = resp_engine(served);
    let text = config(&[at], "resp", 5_000).replacen('{', r#"{"operator":"127.0.0.1:0","#, 1);
    let mut gateway = Gateway::start(&text);
    let operator = gateway.operator.expect("set up");
    gateway.terminate();
    gateway.stop();
    thread::sleep(Duration::from_millis(1_200));
    let mut staff: Vec<_> = (0..4).map(|_| TcpStream::connect(operator).expect("it listens")).collect();
    for caller in &mut staff {
        caller.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
        caller.write_all(b"GET /api/ready HTTP/1.1\r\n\r\n").expect("sent");
    }
    gateway.resume();
    for caller in staff {
        let (head, _) = web_message(&mut std::io::BufReader::new(caller)).expect("an answer");
        assert!(head[0].starts_with("HTTP/1.1 503"), "{head:?}");
    }
    assert!(gateway.child.wait().expect("it ends").success());
}

/// The process is told to end, and stands still until after its last moment; requests arrive on open connections meanwhile. They
/// are answered once it goes on.
#[test]
fn what_arrives_in_a_pause_that_outlasts_the_end_is_answered() {
    const CLIENTS: i32 = 8;
    let (at, _) = resp_engine(served);
    let mut gateway = Gateway::start(&config(&[at], "resp", 1_000));
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| gateway.client()).collect();
    for client in &mut clients {
        client.write_all(&health(1)).expect("sent");
        assert_eq!(answer(client).0, 1);
    }
    gateway.terminate();
    // What is asked after the signal is answered after it was handled.
    let mut last = gateway.client();
    for seq in 1..=3 {
        let fields = [("verb", "lookup"), ("txn", &*format!("{:016x}", 100 + seq)), ("limit", "1000")];
        last.write_all(&call(seq, &fields, "select 1")).expect("sent");
        assert_eq!(answer(&mut last).1, "served");
    }
    // Its last moment is 1.3 s after SIGTERM, where deadlines are a second away.
    gateway.stop();
    for (n, client) in clients.iter_mut().enumerate() {
        let fields = [("verb", "lookup"), ("txn", &*format!("{n:016x}")), ("limit", "1000")];
        client.write_all(&call(2, &fields, "select 1")).expect("sent");
    }
    thread::sleep(Duration::from_millis(2_500));
    gateway.resume();
    for client in &mut clients {
        let (seq, kind, _) = answer(client);
        assert_eq!(seq, 2, "{kind}");
    }
    assert!(gateway.child.wait().expect("it ends").success());
}
