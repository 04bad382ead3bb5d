//! The reducer's queue is full as an engine's answer is read, and the connection breaks at that moment: the end of the attempt is
//! still told.

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

/// Turns of the runtime in which what the system has received is read.
const TURNS: usize = 20;
const WAIT: Duration = Duration::from_secs(30);

/// An engine that answers the first command at once, tells so, and resets the connection when it is told to.
fn engine(reply: &'static str) -> (SocketAddr, mpsc::Receiver<()>, mpsc::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    let (answered, is_answered) = mpsc::channel();
    let (reset, is_told_to) = mpsc::channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4096]).expect("a command");
        stream.write_all(reply.as_bytes()).expect("sent");
        answered.send(()).expect("awaited");
        is_told_to.recv().expect("told");
        rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("set");
        drop(stream);
        answered.send(()).expect("awaited");
    });
    (at, is_answered, reset)
}

fn attempt(number: u64, at: SocketAddr) -> Send {
    let statement =
        Statement { name: format!("{number:016x}"), class: "lookup".into(), ..Statement::default() };
    Send {
        id: AttemptId { request: RequestId(number), number: 0 },
        engine: EngineId("s-0".into()),
        address: at,
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

fn engines(wire: &str, limits: Rc<Limits>, events: Sender<Event>) -> Box<dyn Engines> {
    match wire {
        "resp" => Box::new(RespEngines::new(limits, SharedState::new(1), events)),
        _ => Box::new(HttpEngines::new(limits, SharedState::new(1), events)),
    }
}

/// The attempts whose ends are told until both were.
async fn ended(events: &mut Receiver<Event>) -> Vec<AttemptId> {
    let mut ended = Vec::new();
    while ended.len() < 2 {
        match timeout(WAIT, events.recv()).await {
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
fn end_of_an_attempt_is_told_though_the_queue_is_full_as_its_connection_breaks(
    #[case] wire: &str,
    #[case] reply: &'static str,
) {
    let limits = Rc::new(Limits::read(&Fields::new("settings", BTreeMap::new())).expect("defaults"));
    let (at, answered, reset) = engine(reply);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(tokio::task::LocalSet::new().run_until(async {
        let (sender, mut events) = channel(1);
        sender.try_send(Event::MaintenanceTick).expect("room for one");
        let mut engines = engines(wire, limits, sender);
        let mut at_once = Vec::new();
        engines.send(attempt(1, at), &mut at_once);
        let answered = tokio::task::spawn_blocking(move || {
            answered.recv().expect("answered");
            answered
        });
        let answered = answered.await.expect("joined");
        for _ in 0..TURNS {
            sleep(Duration::from_millis(1)).await;
        }
        reset.send(()).expect("it waits");
        tokio::task::spawn_blocking(move || answered.recv().expect("reset")).await.expect("joined");
        // The next attempt finds the connection broken.
        engines.send(attempt(2, at), &mut at_once);
        for _ in 0..TURNS {
            sleep(Duration::from_millis(1)).await;
        }
        let of = |request| AttemptId { request: RequestId(request), number: 0 };
        assert!(at_once.is_empty(), "{at_once:?}");
        assert_eq!(ended(&mut events).await, [of(1), of(2)]);
    }));
}
