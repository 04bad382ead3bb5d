//! An upgrade under load: clients on open connections ask for a report and read it at the pace of their link.

mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 10;
/// Bytes of a client's link in a second, and bytes of a report.
const LINK: f64 = 2.5e6;
const REPORT_ROWS: usize = 160_000;

fn rows(count: usize) -> Vec<u8> {
    (0..count)
        .flat_map(|row| {
            format!("slot-{row:06}\tgate-{:04}\tfree until the ship departs\n", row % 97).into_bytes()
        })
        .collect()
}

/// An engine that answers each query at once, with the rows that it asks for.
fn engine(case: &Arc<Case>, name: &'static str) -> SocketAddr {
    let case = case.clone();
    serve(move |stream| {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(&stream);
        while let Ok(Some(mut request)) = reader.head() {
            if reader.body(&mut request).is_err() {
                return;
            }
            if request.target() == "/ping" {
                let _ = (&stream).write_all(&response("200 OK", None, b"Ok.\n"));
                continue;
            }
            let id = request.param("query_id").unwrap_or("").to_owned();
            let count = if id.starts_with("report") { REPORT_ROWS } else { 3 };
            let from = Instant::now();
            let written = (&stream).write_all(&response("200 OK", Some(&id), &rows(count)));
            case.log(format!(
                "engine {name}: ran {id}, {count} rows, written in {:.3} s: {written:?}",
                from.elapsed().as_secs_f64()
            ));
        }
    })
}

fn ask(stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
    let text = "SELECT slot, gate, state FROM gates_3.slots";
    stream.write_all(
        format!("POST /?query_id={id} HTTP/1.1\r\nHost: g\r\nX-ClickHouse-User: planner\r\nContent-Length: {}\r\n\r\n{text}", text.len()).as_bytes(),
    )
}

fn main() {
    let case = Case::begin();
    let engines = [engine(&case, "ch-1"), engine(&case, "ch-2")];
    let (listen, http) = (free_address(), free_address());
    let start = |name: &str, operator: SocketAddr| {
        let file = case.tmp.join(format!("{name}.hcl"));
        write_file(
            &file,
            &operator_file(listen, http, &engines, &format!("operator = \"{operator}\"\n"), &[]),
        );
        Gateway::start(&case, name, &[("STARLINGPLANK_OPERATOR", file.display().to_string())])
    };
    let old = start("old", free_address());
    await_ready(http);
    let connections: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let mut stream = TcpStream::connect(http).unwrap_or_else(|_| cannot_run("no connection"));
            let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
            ask(&mut stream, &format!("lookup-{client}")).unwrap_or_else(|_| cannot_run("no request"));
            let mut reader = Reader::new(&stream);
            let mut answer = reader.head().ok().flatten().unwrap_or_else(|| cannot_run("no first answer"));
            if reader.body(&mut answer).is_err() || answer.status() != 200 {
                cannot_run("no first answer");
            }
            drop(reader);
            stream
        })
        .collect();
    let new = case.trouble.then(|| {
        let operator = free_address();
        let new = start("new", operator);
        await_yes(operator);
        case.log("the new process says yes: SIGTERM to the old one");
        old.signal(SIGTERM);
        new
    });
    let terminated = Instant::now();
    let old_pid = old.pid;
    if case.trouble {
        let case = case.clone();
        thread::spawn(move || {
            while runs(old_pid) {
                thread::sleep(Duration::from_millis(5));
            }
            case.log(format!(
                "the old process has ended, {:.3} s after SIGTERM",
                terminated.elapsed().as_secs_f64()
            ));
        });
    }
    thread::sleep(Duration::from_millis(150));
    let whole = Arc::new(AtomicUsize::new(0));
    let lost = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(client, mut stream)| {
            let (case, whole, lost) = (case.clone(), whole.clone(), lost.clone());
            thread::spawn(move || {
                let id = format!("report-{client}");
                let sent = Instant::now();
                if let Err(error) = ask(&mut stream, &id) {
                    return case.log(format!("client: {id} cannot be sent: {error}"));
                }
                let mut reader = Reader::new(&stream);
                let paced = std::cell::Cell::new(0.0);
                reader.before_read = Box::new(move || {
                    paced.set(paced.get() + 16384.0);
                    thread::sleep(Duration::from_secs_f64(paced.get() / LINK).saturating_sub(sent.elapsed()));
                });
                let answer = reader.head().and_then(|head| {
                    let mut head = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
                    let ended = reader.body(&mut head);
                    Ok((head, ended))
                });
                let after = sent.elapsed().as_secs_f64();
                match answer {
                    Ok((answer, Ok(()))) if answer.status() != 200 || answer.body == rows(REPORT_ROWS) => {
                        whole.fetch_add(1, Ordering::SeqCst);
                        case.log(format!("client: {id} answered whole after {after:.3} s: {}, {} bytes", answer.first, answer.body.len()));
                    }
                    Ok((answer, ended)) => {
                        lost.fetch_add(1, Ordering::SeqCst);
                        let (got, all) = (answer.body.len(), rows(REPORT_ROWS).len());
                        case.log(format!("client: {id} cut off, seen {after:.3} s after it was sent: {got} bytes of {all}, {ended:?}"));
                    }
                    // A request that crosses the close of a connection within 50 ms is sent once more, on a new one.
                    Err(error) if after <= 0.05 => case.log(format!("client: {id} crossed a close: {error}")),
                    Err(error) => {
                        lost.fetch_add(1, Ordering::SeqCst);
                        case.log(format!("client: {id} not answered: {error}, after {after:.3} s"));
                    }
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    drop((old, new));
    let (whole, lost) = (whole.load(Ordering::SeqCst), lost.load(Ordering::SeqCst));
    case.end(lost > 0, &format!("{whole} reports answered whole, {lost} cut off by the gateway"));
}
