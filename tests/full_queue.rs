//! The reducer's event queue is full when an engine's answer is read, and the connection is reset while the queue stays full: the
//! end of the attempt must still be reported.

use rstest::rstest;
use starlingplank::core::{AttemptId, Event, Send, Statement};
use starlingplank::interface::{ClassId, EngineId, RequestId};
use starlingplank::limits::Limits;
use starlingplank::net::connection::SharedState;
use starlingplank::net::engine::clickhouse::HttpEngines;
use starlingplank::net::engine::pool::RespEngines;
use starlingplank::net::engine::Engines;
use starlingplank::simulator::Fields;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::time::{sleep, timeout};

/// Number of 1 ms waits in which the runtime reads what the operating system has received.
const READ_WAITS: usize = 20;
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts an engine that answers the first command at once and resets the connection on request. The receiver reports the answer
/// and then the reset; the sender requests the reset.
fn engine(reply: &'static str) -> (SocketAddr, mpsc::Receiver<()>, mpsc::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (notifier, notifications) = mpsc::channel();
    let (request_reset, reset_requested) = mpsc::channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4096]).expect("a command");
        stream.write_all(reply.as_bytes()).expect("sent");
        notifier.send(()).expect("awaited");
        reset_requested.recv().expect("the reset is requested");
        rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("set");
        drop(stream);
        notifier.send(()).expect("awaited");
    });
    (address, notifications, request_reset)
}

fn attempt(number: u64, address: SocketAddr) -> Send {
    let statement =
        Statement { name: format!("{number:016x}"), class: "lookup".into(), ..Statement::default() };
    Send {
        id: AttemptId { request: RequestId(number), number: 0 },
        engine: EngineId("s-0".into()),
        address,
        class: ClassId(0),
        statement: Rc::new(statement),
        time_left: 60_000.0,
        transmit_within: None,
        memory_mb: 0.0,
        priority: 1,
        is_retry: false,
        permit: Default::default(),
        at: 0.0,
    }
}

fn engines(protocol: &str, limits: Rc<Limits>, events: Sender<Event>) -> Box<dyn Engines> {
    match protocol {
        "resp" => Box::new(RespEngines::new(limits, SharedState::new(1), events)),
        _ => Box::new(HttpEngines::new(limits, SharedState::new(1), events)),
    }
}

/// Returns the attempts whose ends are reported, once there are two or nothing arrives within the timeout.
async fn ended(events: &mut Receiver<Event>) -> Vec<AttemptId> {
    let mut ended = Vec::new();
    while ended.len() < 2 {
        match timeout(EVENT_TIMEOUT, events.recv()).await {
            Ok(Some(Event::AttemptEnded(id, _))) => ended.push(id),
            Ok(Some(_)) => {}
            _ => break,
        }
    }
    ended.sort();
    ended
}

#[rstest]
#[case::platform(
    "resp",
    "*4\r\n$16\r\n0000000000000001\r\n$6\r\nserved\r\n$7\r\npages=1\r\n$6\r\na\tb\tc\n\r\n"
)]
#[case::clickhouse("clickhouse", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na\n")]
fn end_of_an_attempt_is_reported_though_the_queue_is_full_as_its_connection_is_reset(
    #[case] protocol: &str,
    #[case] reply: &'static str,
) {
    let limits = Rc::new(Limits::read(&Fields::new("settings", BTreeMap::new())).expect("defaults"));
    let (address, notifications, request_reset) = engine(reply);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(tokio::task::LocalSet::new().run_until(async {
        let (sender, mut events) = channel(1);
        sender.try_send(Event::MaintenanceTick).expect("room for one");
        let mut engines = engines(protocol, limits, sender);
        let mut immediate_events = Vec::new();
        engines.send(attempt(1, address), &mut immediate_events);
        let notifications = tokio::task::spawn_blocking(move || {
            notifications.recv().expect("answered");
            notifications
        });
        let notifications = notifications.await.expect("joined");
        for _ in 0..READ_WAITS {
            sleep(Duration::from_millis(1)).await;
        }
        request_reset.send(()).expect("the engine waits");
        tokio::task::spawn_blocking(move || notifications.recv().expect("reset")).await.expect("joined");
        // The next attempt finds the connection reset.
        engines.send(attempt(2, address), &mut immediate_events);
        for _ in 0..READ_WAITS {
            sleep(Duration::from_millis(1)).await;
        }
        let attempt_id_of = |request| AttemptId { request: RequestId(request), number: 0 };
        assert!(immediate_events.is_empty(), "{immediate_events:?}");
        assert_eq!(ended(&mut events).await, [attempt_id_of(1), attempt_id_of(2)]);
    }));
}
