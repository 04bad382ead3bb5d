//! Clients that close their connections over bytes that are not read yet: their requests are not sent on afterwards.

mod stand;

use rstest::rstest;
use stand::requests::{lookup, name, served};
use stand::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Number of threads that compete with the gateway for its core.
const BUSY_THREADS: usize = 3;
/// Time after which no attempt of a request may begin whose client has left.
const MAX_BEGIN_AFTER_CLOSE: Duration = Duration::from_millis(100);
/// Time for which the record of an arrival may be late, as the threads of the test share the machine.
const RECORD_SLACK: Duration = Duration::from_millis(50);
/// Time that an engine takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(60);
/// Number of clients that close their connections, and of requests that each has open.
const CLIENTS: usize = 8;
const REQUESTS: usize = 30;
/// Number of bytes that follow the requests of a client.
const FOLLOWING_BYTES: usize = 3 << 20;

/// The tests run one at a time, as each measures times while the gateway has a part of a core.
static RUNNING: Mutex<()> = Mutex::new(());

/// Times at which attempts arrived, by the names of their requests.
type Arrivals = Arc<Mutex<BTreeMap<String, Vec<Instant>>>>;

/// Starts an engine that reads at once, and answers each request after some time.
fn slow_engine() -> (SocketAddr, Arrivals) {
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let (address, _) = resp_engine_with_handler(move |parts, stream| {
        if parts[0] == "want" {
            recorded.lock().expect("arrivals").entry(parts[1].clone()).or_default().push(Instant::now());
        }
        let reply = served(parts).unwrap_or_default();
        let is_request = parts[0] == "want";
        let mut stream = stream.try_clone().expect("cloned");
        thread::spawn(move || {
            if is_request {
                thread::sleep(SERVICE_TIME);
            }
            let _ = stream.write_all(reply.as_bytes());
        });
        true
    });
    (address, arrivals)
}

/// How a client closes its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Close {
    /// Both directions, with answers unread: the connection is reset.
    Reset,
    /// Its side alone, behind bytes that the gateway has not read.
    Side,
}

/// What a client sends behind its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Following {
    Nothing,
    /// Health checks, which the gateway answers.
    HealthChecks,
    /// Cancellations of calls that are not open.
    Cancels,
}

impl Following {
    fn bytes(self) -> Vec<u8> {
        let message = match self {
            Self::Nothing => return Vec::new(),
            Self::HealthChecks => health(1),
            Self::Cancels => cancel(1_000),
        };
        message.repeat(FOLLOWING_BYTES / message.len())
    }
}

/// Sends requests and further messages, closes the connection and returns the time at which it is closed.
fn send_and_close(address: SocketAddr, client: usize, following: Following, close: Close) -> Instant {
    let mut stream = TcpStream::connect(address).expect("connected");
    let requests = (1..=REQUESTS).flat_map(|number| lookup(number as i32, client * 1_000 + number));
    stream.write_all(&requests.collect::<Vec<_>>()).expect("sent");
    stream.set_nonblocking(true).expect("set");
    // What the sockets take at once: the rest is not sent.
    let _ = stream.write(&following.bytes());
    if close == Close::Side {
        stream.shutdown(Shutdown::Write).expect("closed");
        let closed_at = Instant::now();
        thread::sleep(SERVICE_TIME * 20);
        return closed_at;
    }
    drop(stream);
    Instant::now()
}

/// Clients send requests and more bytes than the gateway reads at once, and close their connections.
#[rstest]
fn no_attempt_begins_after_its_client_has_closed_over_unread_bytes(
    #[values(Close::Reset, Close::Side)] close: Close,
    #[values(Following::Nothing, Following::HealthChecks, Following::Cancels)] following: Following,
) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let (engine, arrivals) = slow_engine();
    let text = with_long_latency_objectives(&config(&[engine], "resp", 60_000));
    let core = CoreShare::beside(BUSY_THREADS);
    let gateway = core.run(|| Gateway::start(&text));
    let closed: Vec<Instant> = thread::scope(|scope| {
        let address = gateway.thrift;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| scope.spawn(move || send_and_close(address, client, following, close)))
            .collect();
        clients.into_iter().map(|client| client.join().expect("closed")).collect()
    });
    assert_usual_request_is_served(&gateway);
    let arrivals = arrivals.lock().expect("arrivals").clone();
    for (client, closed_at) in closed.iter().enumerate() {
        for number in 1..=REQUESTS {
            let attempts = arrivals.get(&name(client * 1_000 + number)).cloned().unwrap_or_default();
            let late = attempts.iter().map(|at| at.saturating_duration_since(*closed_at)).max();
            let latest = MAX_BEGIN_AFTER_CLOSE + RECORD_SLACK;
            assert!(late.unwrap_or_default() <= latest, "client {client}, request {number}: {late:?}");
        }
    }
}

/// A request that is served at the end shows that nothing of the others waits in the gateway any more.
fn assert_usual_request_is_served(gateway: &Gateway) {
    let mut client = gateway.thrift_client();
    client.write_all(&lookup(1, 999_999)).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
    let (head, _) = {
        let mut client = gateway.http_client();
        client.write_all(b"GET /ping HTTP/1.1\r\n\r\n").expect("sent");
        read_http(&mut BufReader::new(client)).expect("an answer")
    };
    assert!(head[0].starts_with("HTTP/1.1 200"), "{head:?}");
}
