//! Case 1: engines over HTTP answer one query in twenty with a second copy of its good answer.

#[path = "../standins/bench.rs"]
mod bench;
#[path = "../standins/http.rs"]
mod http;

use bench::*;
use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One good answer in this many has a second copy.
const ANSWERS_PER_COPY: u64 = 20;
const LOOKUP_CLIENTS: u64 = 6;
const LOAD_CLIENTS: u64 = 2;
const TRAFFIC: Duration = Duration::from_secs(20);
/// All engines drop a repeat of a key for this time.
const KEYS_KEPT: Duration = Duration::from_secs(12);

/// What the engines share: keys, and what ran.
struct Engines {
    record: Record,
    trouble: bool,
    answers: AtomicU64,
    copies: AtomicU64,
    keys: Mutex<HashMap<String, Instant>>,
    ran: Mutex<HashSet<String>>,
}

/// The name of a statement, which it holds between the first two quotes.
fn name_of(statement: &str) -> String {
    statement.split('\'').nth(1).unwrap_or_default().to_owned()
}

/// The result of a lookup: one row that depends on its statement.
fn row_of(name: &str) -> String {
    format!("{name}\tslot of {name}\tfree\n")
}

fn serve_engine(engine: usize, listener: TcpListener, engines: Arc<Engines>) {
    for stream in listener.incoming().flatten() {
        let engines = engines.clone();
        thread::spawn(move || serve_connection(engine, stream, &engines));
    }
}

fn serve_connection(engine: usize, mut stream: TcpStream, engines: &Engines) {
    let _ = stream.set_nodelay(true);
    let Ok(read) = stream.try_clone() else { return };
    let mut reader = http::Reader::new(read);
    let mut random = Random(0x9e37 + stream.peer_addr().map_or(1, |at| at.port().into()));
    while let Ok(request) = reader.message() {
        let answer = if request.first_line.starts_with("GET /ping") {
            b"HTTP/1.1 200 OK\r\nConnection: Keep-Alive\r\nContent-Length: 4\r\n\r\nOk.\n".to_vec()
        } else {
            run_query(engine, &request, engines, &mut random)
        };
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}

fn run_query(engine: usize, request: &http::Message, engines: &Engines, random: &mut Random) -> Vec<u8> {
    let statement = String::from_utf8_lossy(&request.body).into_owned();
    let (name, query_id) = (name_of(&statement), request.parameter("query_id").unwrap_or_default());
    let is_load = statement.starts_with("INSERT");
    if let Some(key) = request.parameter("insert_deduplication_token").filter(|_| is_load) {
        let mut keys = engines.keys.lock().unwrap();
        if keys.get(key).is_some_and(|ran| ran.elapsed() < KEYS_KEPT) {
            engines.record.line(&format!("engine {engine}: load {name} dropped as a repeat, query {query_id}"));
            return http::result(query_id, "");
        }
        keys.insert(key.to_owned(), Instant::now());
    }
    engines.ran.lock().unwrap().insert(name.clone());
    thread::sleep(Duration::from_millis(if is_load { random.between(60, 120) } else { random.between(10, 40) }));
    let body = if is_load { String::new() } else { row_of(&name) };
    let answer = http::result(query_id, &body);
    let number = engines.answers.fetch_add(1, Ordering::Relaxed) + 1;
    if engines.trouble && number % ANSWERS_PER_COPY == 0 {
        engines.copies.fetch_add(1, Ordering::Relaxed);
        engines.record.line(&format!("engine {engine}: ran {name}, query {query_id}, answered with a second copy"));
        return [answer.clone(), answer].concat();
    }
    engines.record.line(&format!("engine {engine}: ran {name}, query {query_id}, answered"));
    answer
}

/// What the clients saw.
#[derive(Default)]
struct Seen {
    served: u64,
    other: u64,
    foreign: Vec<String>,
    loads_served: Vec<String>,
}

fn client(number: u64, is_load: bool, gateway: SocketAddr, record: &Record, seen: &Mutex<Seen>) {
    let until = Instant::now() + TRAFFIC;
    let mut random = Random(0x51ed + number * 7919);
    'connections: while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(gateway) else { continue };
        let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(Duration::from_secs(25))));
        let Ok(read) = stream.try_clone() else { continue };
        let mut reader = http::Reader::new(read);
        while Instant::now() < until {
            let group = random.between(1, 40);
            let name = format!("{}{number}-{:08x}", if is_load { "load" } else { "lookup" }, random.next() as u32);
            let statement = if is_load {
                format!("INSERT INTO bookings_{group}.slots VALUES ('{name}', 1, 2)")
            } else {
                format!("SELECT slot, state FROM bookings_{group}.slots WHERE booking = '{name}'")
            };
            record.line(&format!("client {number}: sends {name}"));
            if http::post(&mut stream, "/", statement.as_bytes()).is_err() {
                continue 'connections;
            }
            let Ok(answer) = reader.message() else {
                record.line(&format!("client {number}: {name} has no answer, connection ended"));
                seen.lock().unwrap().other += 1;
                continue 'connections;
            };
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            record.line(&format!("client {number}: {name} answered with {} {:?}", answer.status(), body.trim_end()));
            let mut seen = seen.lock().unwrap();
            match answer.status() {
                200 if is_load => {
                    seen.served += 1;
                    seen.loads_served.push(name);
                }
                200 => {
                    seen.served += 1;
                    if body != row_of(&name) {
                        seen.foreign.push(format!("{name} got {:?}", body.trim_end()));
                    }
                }
                _ => seen.other += 1,
            }
            drop(seen);
            thread::sleep(Duration::from_millis(random.between(10, 50)));
        }
    }
}

fn main() {
    let case = Case::read();
    let record = case.record.clone();
    let engines = Arc::new(Engines {
        record: record.clone(),
        trouble: case.trouble,
        answers: AtomicU64::new(0),
        copies: AtomicU64::new(0),
        keys: Mutex::default(),
        ran: Mutex::default(),
    });
    let listeners = [listen(), listen()];
    let [first, second] = [0, 1].map(|i: usize| listeners[i].local_addr().unwrap());
    for (number, listener) in listeners.into_iter().enumerate() {
        let engines = engines.clone();
        thread::spawn(move || serve_engine(number + 1, listener, engines));
    }
    let [thrift, gateway] = free_ports();
    let file = std::fs::read_to_string("deploy/clickhouse.hcl").unwrap_or_else(|e| stop(&e.to_string()));
    let file = file
        .replace("127.0.0.1:9090", &thrift.to_string())
        .replace("127.0.0.1:8123", &gateway.to_string())
        .replace("127.0.0.1:18123", &first.to_string())
        .replace("127.0.0.1:28123", &second.to_string());
    let config = case.file("gateway.hcl", &file);
    let process = case.start_gateway("STARLINGPLANK_OPERATOR", &config, gateway);

    let seen = Arc::new(Mutex::new(Seen::default()));
    let clients: Vec<_> = (0..LOOKUP_CLIENTS + LOAD_CLIENTS)
        .map(|number| {
            let (record, seen) = (record.clone(), seen.clone());
            thread::spawn(move || client(number, number >= LOOKUP_CLIENTS, gateway, &record, &seen))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    // What is still on its way to an engine has time to arrive.
    thread::sleep(Duration::from_secs(2));
    process.copy_warnings(&record);
    let seen = seen.lock().unwrap();
    let ran = engines.ran.lock().unwrap();
    let never_run: Vec<_> = seen.loads_served.iter().filter(|name| !ran.contains(*name)).collect();
    let copies = engines.copies.load(Ordering::Relaxed);
    record.say(&format!("{} answers served, {} other; {copies} second copies sent", seen.served, seen.other));
    if seen.served < 100 || case.trouble && copies == 0 {
        record.say("could not run: too little traffic");
        drop(process);
        std::process::exit(COULD_NOT_RUN);
    }
    record.say(&format!("lookups served with rows of another statement: {}", seen.foreign.len()));
    seen.foreign.iter().take(10).for_each(|line| record.say(&format!("  {line}")));
    record.say(&format!("loads answered as served that no engine ran: {}", never_run.len()));
    never_run.iter().take(10).for_each(|name| record.say(&format!("  {name}")));
    let broken = !seen.foreign.is_empty() || !never_run.is_empty();
    record.say(if broken { "the rule was broken" } else { "the rule held" });
    drop(process);
    std::process::exit(if broken { BROKEN } else { HELD });
}
