//! Test doubles of platform engines and ClickHouse engines, which record the commands that they receive.

use super::http::read_http;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;

/// Record of the commands that a test double received, in order. The entry `closed` records that the peer closed a
/// connection.
pub(crate) type Log = Arc<Mutex<Vec<Vec<String>>>>;

/// Reads a command for a platform engine, as an array of strings. Returns `None` at the end of the connection.
fn read_command(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let count: usize = line.trim().strip_prefix('*')?.parse().ok()?;
    (0..count)
        .map(|_| {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let mut bytes = vec![0; line.trim().strip_prefix('$')?.parse::<usize>().ok()? + 2];
            reader.read_exact(&mut bytes).ok()?;
            bytes.truncate(bytes.len() - 2);
            String::from_utf8(bytes).ok()
        })
        .collect()
}

/// Encodes an answer of a platform engine.
pub(crate) fn reply(parts: &[&str]) -> String {
    let bulk = |p: &&str| format!("${}\r\n{p}\r\n", p.len());
    format!("*{}\r\n{}", parts.len(), parts.iter().map(bulk).collect::<String>())
}

/// Starts a platform engine that answers each command with the result of `respond`, and closes the connection on `None`.
pub(crate) fn resp_engine(
    respond: impl Fn(&[String]) -> Option<String> + Send + Sync + 'static,
) -> (SocketAddr, Log) {
    resp_engine_with_handler(replying(respond))
}

/// Starts a platform engine that passes each command and its connection to `handle`, and closes the connection on `false`.
pub(crate) fn resp_engine_with_handler(
    handle: impl Fn(&[String], &mut TcpStream) -> bool + Send + Sync + 'static,
) -> (SocketAddr, Log) {
    serve(commands(handle))
}

fn replying(respond: impl Fn(&[String]) -> Option<String>) -> impl Fn(&[String], &mut TcpStream) -> bool {
    move |parts, stream| respond(parts).is_some_and(|reply| stream.write_all(reply.as_bytes()).is_ok())
}

fn commands(handle: impl Fn(&[String], &mut TcpStream) -> bool) -> impl Fn(&mut TcpStream, &Log) {
    move |stream, log| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(parts) = read_command(&mut reader) {
            log.lock().expect("log").push(parts.clone());
            if !handle(&parts, stream) {
                return;
            }
        }
        log.lock().expect("log").push(vec!["closed".into()]);
    }
}

/// Starts a ClickHouse engine. It answers each request with the result of `respond` for the request target and body, and closes
/// the connection on `None`.
pub(crate) fn http_engine(
    respond: impl Fn(&str, &str) -> Option<String> + Send + Sync + 'static,
) -> (SocketAddr, Log) {
    serve(move |stream, log| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some((head, body)) = read_http(&mut reader) {
            let target = head[0].split(' ').nth(1).expect("a target").to_owned();
            log.lock().expect("log").push(vec![target.clone(), body.clone()]);
            let Some(response) = respond(&target, &body) else { return };
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
        log.lock().expect("log").push(vec!["closed".into()]);
    })
}

/// Starts a ClickHouse engine that passes the target and the body of each request, a value that is kept for the connection, and
/// the connection to `handle`, and closes the connection on `false`.
pub(crate) fn http_engine_with_handler(
    handle: impl Fn(&str, &str, &mut Option<String>, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> (SocketAddr, Log) {
    serve(move |stream, _| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        let mut kept = None;
        while let Some((head, body)) = read_http(&mut reader) {
            let target = head[0].split(' ').nth(1).expect("a target");
            if !handle(target, &body, &mut kept, stream) {
                return;
            }
        }
    })
}

fn serve(handle_connection: impl Fn(&mut TcpStream, &Log) + Send + Sync + 'static) -> (SocketAddr, Log) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    (address, serve_on(listener, handle_connection))
}

fn serve_on(
    listener: TcpListener,
    handle_connection: impl Fn(&mut TcpStream, &Log) + Send + Sync + 'static,
) -> Log {
    let log = Log::default();
    let (handle_connection, connection_log) = (Arc::new(handle_connection), log.clone());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (handle_connection, connection_log) = (handle_connection.clone(), connection_log.clone());
            thread::spawn(move || handle_connection(&mut stream, &connection_log));
        }
    });
    log
}

/// Starts a platform engine on an existing listener.
pub(crate) fn resp_engine_at(
    listener: TcpListener,
    respond: impl Fn(&[String]) -> Option<String> + Send + Sync + 'static,
) -> Log {
    serve_on(listener, commands(replying(respond)))
}

/// Starts a platform engine that withholds its first answer to the command `want` of the given name. It sends that answer after
/// the first [`Barrier::wait`], and then joins the second one. All other commands are answered with the result of `respond`.
pub(crate) fn resp_engine_withholding(
    name: &'static str,
    held_answer: String,
    respond: impl Fn(&[String]) -> Option<String> + Send + Sync + 'static,
) -> (SocketAddr, Log, Arc<Barrier>) {
    let barrier = Arc::new(Barrier::new(2));
    let (engine_barrier, is_first, respond) = (barrier.clone(), AtomicBool::new(true), replying(respond));
    let (address, log) = resp_engine_with_handler(move |parts, stream| {
        let is_held = parts[0] == "want" && parts[1] == name && is_first.swap(false, Ordering::SeqCst);
        if !is_held {
            return respond(parts, stream);
        }
        engine_barrier.wait();
        let is_sent = stream.write_all(held_answer.as_bytes()).is_ok();
        engine_barrier.wait();
        is_sent
    });
    (address, log, barrier)
}
