//! Case 3: clients over HTTP make a new connection for every load, and write some of them in 1.6 s.

#[path = "../standins/bench.rs"]
mod bench;
#[path = "../standins/http.rs"]
mod http;

use bench::*;
use std::collections::HashSet;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: u64 = 6;
const LOADS_PER_CLIENT: u64 = 4;
/// One load in this many is written slowly.
const LOADS_PER_SLOW_ONE: u64 = 2;
/// A slow load is written in this time, in equal parts at equal intervals of 0.1 s.
const WRITTEN_IN: Duration = Duration::from_millis(1_600);
const INTERVALS: u32 = 16;
/// Rows of a load: about 60 kB.
const ROWS: usize = 3_000;
/// What a client waits from the last byte (`give_up` of the class `load`), and the rule's half second and 50 ms.
const WAIT: Duration = Duration::from_millis(20_000 + 550);

struct Engines {
    record: Record,
    ran: Mutex<HashSet<String>>,
}

fn name_of(statement: &str) -> String {
    statement.split('\'').nth(1).unwrap_or_default().to_owned()
}

fn serve_engine(engine: usize, listener: TcpListener, engines: Arc<Engines>) {
    for stream in listener.incoming().flatten() {
        let engines = engines.clone();
        thread::spawn(move || drop(serve_connection(engine, stream, &engines)));
    }
}

fn serve_connection(engine: usize, mut stream: TcpStream, engines: &Engines) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = http::Reader::new(stream.try_clone()?);
    loop {
        let request = reader.message()?;
        let id = request.parameter("query_id").unwrap_or_default().to_owned();
        if request.first_line.starts_with("GET /ping") {
            stream.write_all(&http::result("", "Ok.\n"))?;
            continue;
        }
        let name = name_of(&String::from_utf8_lossy(&request.body));
        thread::sleep(Duration::from_millis(50));
        engines.ran.lock().unwrap().insert(name.clone());
        engines.record.line(&format!("engine {engine}: ran {name}, answers"));
        stream.write_all(&http::result(&id, ""))?;
    }
}

/// How a load ended for its client.
enum End {
    Answered(u16),
    /// All bytes were written, and the connection ended, or the time was over, with no whole answer.
    NoAnswer(String),
    /// The connection ended before all bytes were written.
    NotWritten(String),
}

fn send_load(name: &str, slow: bool, gateway: SocketAddr) -> io::Result<(End, f64)> {
    let mut body = format!("INSERT INTO bookings_7.slots VALUES ('{name}', 0, 0)");
    for row in 1..ROWS {
        body += &format!(", ('{name}', {row}, 1)");
    }
    let mut stream = TcpStream::connect(gateway)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(WAIT))?;
    let head = format!("POST / HTTP/1.1\r\nHost: gateway\r\nContent-Length: {}\r\n\r\n", body.len());
    let message = [head.as_bytes(), body.as_bytes()].concat();
    let parts: u32 = if slow { INTERVALS + 1 } else { 1 };
    let began = Instant::now();
    for (part, bytes) in (0..).zip(message.chunks(message.len().div_ceil(parts as usize))) {
        thread::sleep((began + WRITTEN_IN / INTERVALS * part).saturating_duration_since(Instant::now()));
        if let Err(error) = stream.write_all(bytes) {
            return Ok((End::NotWritten(error.to_string()), began.elapsed().as_secs_f64()));
        }
    }
    let written_after = began.elapsed().as_secs_f64();
    let end = match http::Reader::new(stream).message() {
        Ok(answer) => End::Answered(answer.status()),
        Err(error) => End::NoAnswer(error.to_string()),
    };
    Ok((end, written_after))
}

#[derive(Default)]
struct Seen {
    answered: u64,
    answered_slow: u64,
    not_written: u64,
    lost: Vec<String>,
}

fn client(number: u64, trouble: bool, gateway: SocketAddr, record: &Record, seen: &Mutex<Seen>) {
    for load in 0..LOADS_PER_CLIENT {
        let slow = trouble && load % LOADS_PER_SLOW_ONE == 1;
        let name = format!("load{number}-{load}");
        record.line(&format!("client {number}: begins {name}{}", if slow { ", slowly" } else { "" }));
        let (end, written_after) = match send_load(&name, slow, gateway) {
            Ok(sent) => sent,
            Err(error) => {
                record.line(&format!("client {number}: {name} not connected: {error}"));
                continue;
            }
        };
        let mut seen = seen.lock().unwrap();
        match end {
            End::Answered(status) => {
                record.line(&format!("client {number}: {name} written in {written_after:.2} s, answered with {status}"));
                seen.answered += 1;
                seen.answered_slow += u64::from(slow);
            }
            End::NoAnswer(why) => {
                record.line(&format!("client {number}: {name} written in {written_after:.2} s, no answer: {why}"));
                seen.lost.push(name);
            }
            End::NotWritten(why) => {
                record.line(&format!("client {number}: {name} not written whole, {written_after:.2} s: {why}"));
                seen.not_written += 1;
            }
        }
        drop(seen);
        thread::sleep(Duration::from_millis(200));
    }
}

fn main() {
    let case = Case::read();
    let record = case.record.clone();
    let engines = Arc::new(Engines { record: record.clone(), ran: Mutex::default() });
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
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, seen, trouble) = (record.clone(), seen.clone(), case.trouble);
            thread::spawn(move || client(number, trouble, gateway, &record, &seen))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    process.copy_warnings(&record);
    let seen = seen.lock().unwrap();
    let ran = engines.ran.lock().unwrap();
    record.say(&format!(
        "{} loads answered, {} of them written slowly; {} not written whole",
        seen.answered, seen.answered_slow, seen.not_written
    ));
    record.say(&format!("loads written whole and never answered: {}", seen.lost.len()));
    for name in &seen.lost {
        record.say(&format!("  {name}, {}", if ran.contains(name) { "an engine ran it" } else { "no engine ran it" }));
    }
    if seen.answered == 0 {
        record.say("could not run: nothing was answered");
        drop(process);
        std::process::exit(COULD_NOT_RUN);
    }
    let broken = !seen.lost.is_empty();
    record.say(if broken { "the rule was broken" } else { "the rule held" });
    drop(process);
    std::process::exit(if broken { BROKEN } else { HELD });
}
