//! Clients that disconnect, processes that shut down or pause, and name services that fall silent: each test forces one order of
//! events. The tests of attempts are in `engine_endings`.

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

/// Waits until the gateway has closed or reset the connection, without reading the data that is still unread.
fn wait_until_closed(stream: &TcpStream) {
    for _ in 0..3_000 {
        let mut poll_fds = [PollFd::new(stream, PollFlags::RDHUP)];
        let timeout = rustix::event::Timespec { tv_sec: 0, tv_nsec: 10_000_000 };
        if poll(&mut poll_fds, Some(&timeout)).is_ok_and(|n| n > 0) {
            return;
        }
    }
    panic!("the connection was not closed within 30 s");
}

/// Shortest time between SIGTERM and the exit of a process that has no open request.
const SHUTDOWN_WINDOW: Duration = Duration::from_millis(800);

/// Name of the request that its engine leaves unanswered until the process has received SIGTERM and is paused.
const HELD_REQUEST: &str = "00000000000000f1";

fn engine_with_held_request() -> (SocketAddr, Log, Arc<Barrier>) {
    let answer = reply(&[HELD_REQUEST, "served", "pages=1,cost=5,need=8", "a\tb\tc\n"]);
    resp_engine_withholding(HELD_REQUEST, answer, served)
}

/// Sends SIGTERM and pauses the process until its shutdown window is over. An open request keeps the process from exiting before
/// it is paused; the engine's answer to it has arrived when the process is resumed. Returns the connection of that request.
fn pause_past_the_shutdown_window(gateway: &Gateway, log: &Log, answer_held: &Barrier) -> TcpStream {
    let mut client = gateway.thrift_client();
    client.write_all(&lookup_within(HELD_REQUEST, 60_000)).expect("sent");
    wait_for_log(log, |log| log.iter().any(|parts| parts[0] == "want" && parts[1] == HELD_REQUEST));
    let mut health_checker = gateway.http_client();
    gateway.terminate();
    let terminated_at = Instant::now();
    while !http_request(&mut health_checker, "GET /ping HTTP/1.1\r\n\r\n").0.starts_with("HTTP/1.1 503") {}
    gateway.stop();
    answer_held.wait();
    answer_held.wait();
    // The process is paused, so only elapsed time shows that the window is over.
    thread::sleep((SHUTDOWN_WINDOW + Duration::from_millis(100)).saturating_sub(terminated_at.elapsed()));
    client
}

/// The process is paused until its shutdown window is over. Requests that arrive meanwhile, on idle connections and on those that
/// wait to be accepted, have been received by the operating system and must be answered.
#[test]
fn requests_that_arrive_as_the_shutdown_window_ends_are_answered() {
    let (address, log, answer_held) = engine_with_held_request();
    let mut gateway = Gateway::start(&with_long_latency_objectives(&config(&[address], "resp", 60_000)));
    let mut idle_clients: Vec<_> = (0..8).map(|_| gateway.thrift_client()).collect();
    for client in &mut idle_clients {
        client.write_all(&health(1)).expect("sent");
        assert_eq!(answer(client).0, 1);
    }
    let mut held_client = pause_past_the_shutdown_window(&gateway, &log, &answer_held);
    let mut new_clients: Vec<_> = (0..8).map(|_| gateway.thrift_client()).collect();
    for (i, client) in idle_clients.iter_mut().chain(&mut new_clients).enumerate() {
        let seq = if i < 8 { 2 } else { 1 };
        let fields = [("verb", "lookup"), ("txn", &*format!("{i:016x}")), ("limit", "5000")];
        client.write_all(&call(seq, &fields, "select 1")).expect("sent");
    }
    gateway.resume();
    for client in idle_clients.iter_mut().chain(&mut new_clients).chain([&mut held_client]) {
        let (_, kind, _) = answer(client);
        assert!(matches!(kind, "served" | "overloaded"), "{kind}");
    }
    drop((idle_clients, new_clients, held_client));
    assert!(gateway.child.wait().expect("the process exits").success());
}

/// Connections that wait to be accepted as the shutdown window ends are accepted and answered, although `accept` fails for a moment
/// before each of them.
#[test]
fn connections_pending_as_the_shutdown_window_ends_are_accepted_despite_accept_errors() {
    let (address, log, answer_held) = engine_with_held_request();
    let faults = Faults::new("seed=9,accept=0.7");
    let config = with_long_latency_objectives(&config(&[address], "resp", 60_000));
    let mut gateway = Gateway::start_with_faults(&config, &faults);
    let mut held_client = pause_past_the_shutdown_window(&gateway, &log, &answer_held);
    let mut new_clients: Vec<_> = (0..16).map(|_| gateway.thrift_client()).collect();
    for (i, client) in new_clients.iter_mut().enumerate() {
        client.write_all(&lookup_within(&format!("{i:016x}"), 5000)).expect("sent");
    }
    faults.begin();
    gateway.resume();
    for client in new_clients.iter_mut().chain([&mut held_client]) {
        let (_, kind, _) = answer(client);
        assert!(matches!(kind, "served" | "overloaded"), "{kind}");
    }
    drop((new_clients, held_client));
    assert!(gateway.child.wait().expect("the process exits").success());
}

/// An idle client learns of the shutdown as its connection is half-closed. A request that it sends after that is discarded, and
/// must not reset the connection, which would destroy what was sent to the client.
#[test]
fn idle_client_is_closed_at_shutdown_and_its_later_request_is_never_forwarded() {
    let (address, log) = resp_engine(served);
    let mut gateway = Gateway::start(&config(&[address], "resp", 5000));
    let mut client = gateway.thrift_client();
    client.write_all(&lookup_within("00000000000000a1", 5000)).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    gateway.terminate();
    assert_eq!(client.read(&mut [0; 16]).expect("closed, not reset"), 0);
    client
        .write_all(&call(2, &[("verb", "lookup"), ("txn", "a2"), ("limit", "5000")], "select 2"))
        .expect("sent");
    drop(client);
    assert!(gateway.child.wait().expect("the process exits").success());
    assert_eq!(attempts_of(&log, "a2"), 0);
}

/// Closing a connection with unread bytes resets it, and the reset destroys an answer that the client has not read yet.
#[rstest]
#[case::thrift_frame_too_long(true)]
#[case::invalid_http(false)]
fn answer_is_not_lost_to_invalid_bytes_that_follow_its_request(#[case] thrift: bool) {
    let (address, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[address], "resp", 5000));
    let mut client = if thrift { gateway.thrift_client() } else { gateway.http_client() };
    client.write_all(&if thrift { health(1) } else { b"GET /ping HTTP/1.1\r\n\r\n".to_vec() }).expect("sent");
    // The answer has arrived; it stays unread until the connection is closed.
    assert!(client.peek(&mut [0; 1]).expect("answered") > 0);
    let invalid_bytes = if thrift { vec![0x7f; 200_000] } else { b"NO WAY\r\n".repeat(25_000) };
    let _ = client.write_all(&invalid_bytes);
    wait_until_closed(&client);
    let mut received = Vec::new();
    client.read_to_end(&mut received).expect("closed, not reset");
    assert!(received.len() > 8, "{received:?}");
}

/// Pipelined requests that the gateway has not read must not hide that their client has disconnected.
#[test]
fn disconnect_of_an_http_client_is_noticed_behind_pipelined_requests() {
    let (address, log) =
        resp_engine(|parts| if parts[0] == "want" { Some(String::new()) } else { served(parts) });
    let gateway = Gateway::start(&with_long_latency_objectives(&config(&[address], "resp", 60_000)));
    let mut client = gateway.http_client();
    client.write_all(b"POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1").expect("sent");
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "want"));
    client.write_all(&b"GET /ping HTTP/1.1\r\n\r\n".repeat(4_000)).expect("sent");
    drop(client);
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "never_mind"));
    // The attempt was cancelled because its client had disconnected, not to be retried on another engine.
    let counts = gateway.request_counts();
    assert!(counts[0].contains("answered [0, 0, 0, 1]"), "{counts:?}");
}

/// The name service works, but its responses no longer reach the socket that polled it first. The gateway polls it from a new
/// socket and applies the responses received there.
#[test]
fn silent_flow_to_the_name_service_is_replaced_by_a_new_one() {
    let name_service = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let name_service_address = name_service.local_addr().expect("bound");
    let (first_engine, first_engine_log) = resp_engine(served);
    let (second_engine, _) = resp_engine(served);
    let drain_begun = Arc::new(AtomicBool::new(false));
    let drain_begun_seen = drain_begun.clone();
    thread::spawn(move || {
        let (mut bytes, mut dead_flow) = ([0; 512], None);
        while let Ok((len, from)) = name_service.recv_from(&mut bytes) {
            let has_drain_begun = drain_begun_seen.load(Ordering::SeqCst);
            // The flow that was answered first receives no response once the drain begins.
            let flow = *dead_flow.get_or_insert(from);
            if has_drain_begun && from == flow {
                continue;
            }
            let list = [("s-0", first_engine, has_drain_begun), ("s-1", second_engine, false)];
            let _ = name_service.send_to(
                &names_answer_with_draining(&bytes[..len], if has_drain_begun { 3 } else { 2 }, &list),
                from,
            );
        }
    });
    let text = config(&[first_engine, second_engine], "resp", 5_000).replacen(
        '{',
        &format!(r#"{{"names":"{name_service_address}","#),
        1,
    );
    let gateway = Gateway::start(&text);
    let mut client = gateway.thrift_client();
    let mut send_lookup = |seq: i32| {
        let fields = [("verb", "lookup"), ("txn", &*format!("{seq:016x}")), ("limit", "5000")];
        client.write_all(&call(seq, &fields, "select 1")).expect("sent");
        answer(&mut client)
    };
    let attempts_sent =
        || first_engine_log.lock().expect("log").iter().filter(|parts| parts[0] == "want").count();
    let mut seq = 0;
    while attempts_sent() == 0 {
        seq += 1;
        send_lookup(seq);
        assert!(seq < 10_000, "the first engine receives requests");
    }
    drain_begun.store(true, Ordering::SeqCst);
    // Without the drain each of the two engines receives about half of the requests, so a hundred in a row on the other engine
    // show that the drain was received.
    let mut consecutive = 0;
    while consecutive < 100 {
        let before = attempts_sent();
        seq += 1;
        send_lookup(seq);
        consecutive = if attempts_sent() > before { 0 } else { consecutive + 1 };
        assert!(seq < 200_000, "the drain was never received");
    }
}

/// Idle clients hold all connections that clients may hold, and more wait, while the name service does not answer. Once it answers,
/// the list is received, new clients are served and the operators' address answers.
#[test]
fn idle_clients_at_the_connection_limit_do_not_prevent_recovery_from_a_name_service_outage() {
    let name_service = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let name_service_address = name_service.local_addr().expect("bound");
    let (address, _) = resp_engine(served);
    let extra_settings = format!(r#"{{"names":"{name_service_address}","operator":"127.0.0.1:0","#);
    let text = with_long_latency_objectives(&config(&[], "resp", 60_000)).replacen('{', &extra_settings, 1);
    // The configuration allows more descriptors than the system does.
    let gateway = Gateway::start_after_command(&text, "ulimit -n 64");
    let operator = gateway.operator.expect("set up");
    let idle_clients: Vec<_> = (0..150)
        .map(|_| {
            let client = gateway.thrift_client();
            let mut writer = client.try_clone().expect("cloned");
            writer.write_all(&health(1)).expect("sent");
            client
        })
        .collect();
    let (engine, mut bytes) = (address, [0; 512]);
    thread::spawn(move || {
        while let Ok((len, from)) = name_service.recv_from(&mut bytes) {
            let _ = name_service.send_to(&names_answer(&bytes[..len], 2, &[("s-0", engine)]), from);
        }
    });
    let mut ready = false;
    for _ in 0..10_000 {
        let mut operator_client = TcpStream::connect(operator).expect("the gateway listens");
        operator_client.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
        let (head, _) = http_request(&mut operator_client, "GET /api/ready HTTP/1.1\r\n\r\n");
        ready = head.starts_with("HTTP/1.1 200");
        if ready {
            break;
        }
    }
    assert!(ready, "the list was received and the operators' address answers");
    let mut client = gateway.thrift_client();
    client.write_all(&lookup_within("00000000000000a1", 5_000)).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    drop(idle_clients);
}

/// A client sends many requests and disconnects before the gateway reads them: the gateway reads the requests and the disconnect
/// together and forwards none of the requests.
#[test]
fn requests_read_together_with_a_disconnect_are_never_forwarded() {
    let (address, log) = resp_engine(served);
    let gateway = Gateway::start(&with_long_latency_objectives(&config(&[address], "resp", 60_000)));
    let mut client = gateway.thrift_client();
    client.write_all(&health(1)).expect("sent");
    assert_eq!(answer(&mut client).0, 1);
    gateway.stop();
    // Too much for one read, and little enough to be received in full by a process that reads nothing.
    let requests = (2..300).flat_map(|seq| {
        let fields = [("verb", "lookup"), ("txn", &*format!("{seq:016x}")), ("limit", "20000")];
        call(seq, &fields, "select 1")
    });
    client.write_all(&requests.collect::<Vec<_>>()).expect("sent");
    let address = client.local_addr().expect("connected");
    drop(client);
    gateway.wait_for_stream_end(address);
    gateway.resume();
    let mut other_client = gateway.thrift_client();
    other_client.write_all(&lookup_within("00000000000000a1", 20_000)).expect("sent");
    assert_eq!(answer(&mut other_client).1, "served");
    let sent = log.lock().expect("log").iter().filter(|parts| parts[0] == "want").count();
    assert_eq!(sent, 1);
}

/// Operators' calls that arrive while the process shuts down are answered with 503 rather than closed without an answer.
#[test]
fn operator_call_that_arrives_during_shutdown_is_answered() {
    let (address, _) = resp_engine(served);
    let text = config(&[address], "resp", 5_000).replacen('{', r#"{"operator":"127.0.0.1:0","#, 1);
    let mut gateway = Gateway::start(&text);
    let operator = gateway.operator.expect("set up");
    gateway.terminate();
    gateway.stop();
    thread::sleep(Duration::from_millis(1_200));
    let mut operator_clients: Vec<_> =
        (0..4).map(|_| TcpStream::connect(operator).expect("the gateway listens")).collect();
    for caller in &mut operator_clients {
        caller.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
        caller.write_all(b"GET /api/ready HTTP/1.1\r\n\r\n").expect("sent");
    }
    gateway.resume();
    for caller in operator_clients {
        let (head, _) = read_http(&mut std::io::BufReader::new(caller)).expect("an answer");
        assert!(head[0].starts_with("HTTP/1.1 503"), "{head:?}");
    }
    assert!(gateway.child.wait().expect("the process exits").success());
}

/// The process receives SIGTERM and is paused until its shutdown deadline is over. Requests that arrive on open connections
/// meanwhile are answered once it is resumed.
#[test]
fn requests_that_arrive_in_a_pause_past_the_shutdown_deadline_are_answered() {
    const CLIENTS: i32 = 8;
    let (address, _) = resp_engine(served);
    let mut gateway = Gateway::start(&config(&[address], "resp", 1_000));
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| gateway.thrift_client()).collect();
    for client in &mut clients {
        client.write_all(&health(1)).expect("sent");
        assert_eq!(answer(client).0, 1);
    }
    gateway.terminate();
    // Requests that are sent after the signal are answered after the signal was handled.
    let mut last = gateway.thrift_client();
    for seq in 1..=3 {
        let fields = [("verb", "lookup"), ("txn", &*format!("{:016x}", 100 + seq)), ("limit", "1000")];
        last.write_all(&call(seq, &fields, "select 1")).expect("sent");
        assert_eq!(answer(&mut last).1, "served");
    }
    // The shutdown deadline is 1.3 s after SIGTERM where the longest request deadline is 1 s.
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
    assert!(gateway.child.wait().expect("the process exits").success());
}
