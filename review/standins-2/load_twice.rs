//! An engine hangs as a load reaches it. The client drops its connection and sends the load again, within 12 s.

mod common;

use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which the engine hangs: the longest that the pages name.
const HANG: f64 = 16.0;
/// Time for which all engines drop a repeat of a load.
const WINDOW: f64 = 12.0;
const LOADS: usize = 16;
/// Rows of a load.
const ROWS: usize = 8_000;
/// Time that a load takes.
const WORK: Duration = Duration::from_millis(300);
/// Time after which the client drops its connection, of the 2 s that it says it waits, and after which it sends the load again.
const DROPPED_AFTER: Duration = Duration::from_millis(1800);
const AGAIN_AFTER: Duration = Duration::from_millis(1000);

/// What the engines know together: when each load was last run, how often, and which of them hangs until when.
#[derive(Default)]
struct Fleet {
    ran: Mutex<HashMap<String, (f64, usize)>>,
    hung: Mutex<Option<(&'static str, f64)>>,
    began_late: AtomicUsize,
    /// When clients dropped their connections, by the query ids of their loads.
    dropped: Mutex<HashMap<String, f64>>,
}

impl Fleet {
    fn wait_while_hung(&self, case: &Case, name: &str) {
        loop {
            match *self.hung.lock().unwrap() {
                Some((hung, until)) if hung == name && case.now() < until => {}
                _ => return,
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

fn engine(case: &Arc<Case>, fleet: &Arc<Fleet>, name: &'static str) -> SocketAddr {
    let (case, fleet) = (case.clone(), fleet.clone());
    serve(move |stream| {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(&stream);
        reader.before_read = Box::new(|| fleet.wait_while_hung(&case, name));
        while let Ok(Some(mut request)) = reader.head() {
            let id = request.param("query_id").unwrap_or("").to_owned();
            let is_load = request.target() != "/ping";
            if is_load {
                let mut hung = fleet.hung.lock().unwrap();
                if case.trouble && hung.is_none() && name == "ch-1" {
                    *hung = Some((name, case.now() + HANG));
                    case.log(format!("engine {name}: hangs for {HANG} s as {id} begins to arrive"));
                }
            }
            if let Err(error) = reader.body(&mut request) {
                return case.log(format!("engine {name}: {id} did not come whole and is not run: {error}"));
            }
            fleet.wait_while_hung(&case, name);
            if !is_load {
                let _ = (&stream).write_all(&response("200 OK", None, b"Ok.\n"));
                continue;
            }
            let token = request.param("insert_deduplication_token").unwrap_or("").to_owned();
            let now = case.now();
            case.log(format!(
                "engine {name}: {id} has come whole, {} bytes, token {token}",
                request.body.len()
            ));
            if fleet.dropped.lock().unwrap().get(&id).is_some_and(|at| now > at + 0.15) {
                fleet.began_late.fetch_add(1, Ordering::SeqCst);
            }
            let is_repeat = {
                let mut ran = fleet.ran.lock().unwrap();
                let known = ran.entry(token.clone()).or_insert((f64::NEG_INFINITY, 0));
                let is_repeat = now < known.0 + WINDOW;
                if !is_repeat {
                    *known = (now, known.1 + 1);
                }
                is_repeat
            };
            if is_repeat {
                case.log(format!("engine {name}: {id} dropped as a repeat"));
            } else {
                case.log(format!(
                    "engine {name}: {id} RUN: {} rows stored",
                    request.body.iter().filter(|byte| **byte == b'\n').count()
                ));
                thread::sleep(WORK);
            }
            if (&stream).write_all(&response("200 OK", Some(&id), b"")).is_err() {
                return;
            }
        }
    })
}

/// Sends a load. Returns the first line of the answer, or none where the client dropped its connection before.
fn send_load(
    case: &Case,
    http: SocketAddr,
    load: usize,
    attempt: usize,
    limit: u32,
    wait: Duration,
) -> Option<String> {
    let (id, data) = (format!("load-{load}-try-{attempt}"), bookings(load));
    let mut stream = TcpStream::connect(http).ok()?;
    let _ = stream.set_read_timeout(Some(wait));
    let head = format!(
        "POST /?query=INSERT%20INTO%20slots_{load}.bookings%20FORMAT%20TabSeparated&query_id={id}&max_execution_time={limit} HTTP/1.1\r\nHost: g\r\nContent-Length: {}\r\n\r\n",
        data.len()
    );
    let sent = Instant::now();
    stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&data)).ok()?;
    case.log(format!("client: {id} sent, {} bytes", data.len()));
    let answer = Reader::new(&stream).head().ok().flatten().map(|answer| answer.first);
    let _ = stream.shutdown(Shutdown::Both);
    case.log(format!(
        "client: {id} after {:.3} s: {}",
        sent.elapsed().as_secs_f64(),
        answer.as_deref().unwrap_or("no answer, connection closed")
    ));
    answer
}

/// A batch file of bookings.
fn bookings(load: usize) -> Vec<u8> {
    (0..ROWS)
        .flat_map(|row| {
            format!("booking-{load}-{row:07}\tgate-{:03}\tline-{:03}\tconfirmed\n", row % 97, row % 31)
                .into_bytes()
        })
        .collect()
}

fn main() {
    let case = Case::begin();
    let fleet = Arc::new(Fleet::default());
    let engines = ["ch-1", "ch-2", "ch-3", "ch-4"].map(|name| engine(&case, &fleet, name));
    let (listen, http) = (free_address(), free_address());
    let file = case.tmp.join("gateway.hcl");
    write_file(&file, &operator_file(listen, http, &engines, "", &[]));
    let gateway =
        Gateway::start(&case, "gateway-1", &[("STARLINGPLANK_OPERATOR", file.display().to_string())]);
    await_ready(http);
    thread::sleep(Duration::from_millis(500));
    let begun = case.now();
    let clients: Vec<_> = (0..LOADS)
        .map(|load| {
            let (case, fleet) = (case.clone(), fleet.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(40 * load as u64));
                let first = send_load(&case, http, load, 1, 2, DROPPED_AFTER);
                if first.is_some_and(|answer| answer.contains(" 200 ")) {
                    return;
                }
                fleet.dropped.lock().unwrap().insert(format!("load-{load}-try-1"), case.now());
                thread::sleep(AGAIN_AFTER);
                send_load(&case, http, load, 2, 10, Duration::from_secs(9));
            })
        })
        .collect();
    while case.now() < begun + HANG + 5.0 {
        thread::sleep(Duration::from_millis(50));
    }
    drop(gateway);
    for client in clients {
        let _ = client.join();
    }
    let ran = fleet.ran.lock().unwrap();
    let twice = ran.values().filter(|(_, runs)| *runs > 1).count();
    let late = fleet.began_late.load(Ordering::SeqCst);
    case.end(
        twice > 0,
        &format!("{} loads run, {twice} of them twice; {late} attempts came whole over 0.15 s after their client had closed", ran.len()),
    );
}
