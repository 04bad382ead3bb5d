//! Stand-ins for engines of both kinds, which log what they are sent.

use super::http::web_message;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;

/// What a stand-in was sent, in order.
pub(crate) type Log = Arc<Mutex<Vec<Vec<String>>>>;

/// A command of the platform's engines, as an array of strings.
fn command(reader: &mut impl BufRead) -> Option<Vec<String>> {
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

/// An answer of the platform's engines.
pub(crate) fn reply(parts: &[&str]) -> String {
    let bulk = |p: &&str| format!("${}\r\n{p}\r\n", p.len());
    format!("*{}\r\n{}", parts.len(), parts.iter().map(bulk).collect::<String>())
}

/// A platform engine that answers each command by `act`; none closes the connection.
pub(crate) fn resp_engine(
    act: impl Fn(&[String]) -> Option<String> + Send + Sync + 'static,
) -> (SocketAddr, Log) {
    resp_engine_that(replying(act))
}

/// A platform engine that does as it likes with each command's connection; false closes it.
pub(crate) fn resp_engine_that(
    act: impl Fn(&[String], &mut TcpStream) -> bool + Send + Sync + 'static,
) -> (SocketAddr, Log) {
    serve(commands(act))
}

fn replying(act: impl Fn(&[String]) -> Option<String>) -> impl Fn(&[String], &mut TcpStream) -> bool {
    move |parts, stream| act(parts).is_some_and(|reply| stream.write_all(reply.as_bytes()).is_ok())
}

fn commands(act: impl Fn(&[String], &mut TcpStream) -> bool) -> impl Fn(&mut TcpStream, &Log) {
    move |stream, log| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(parts) = command(&mut reader) {
            log.lock().expect("log").push(parts.clone());
            if !act(&parts, stream) {
                return;
            }
        }
        log.lock().expect("log").push(vec!["closed".into()]);
    }
}

/// A ClickHouse engine that answers each request, its target and body, by `act`; none closes the connection.
pub(crate) fn http_engine(
    act: impl Fn(&str, &str) -> Option<String> + Send + Sync + 'static,
) -> (SocketAddr, Log) {
    serve(move |stream, log| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some((head, body)) = web_message(&mut reader) {
            let target = head[0].split(' ').nth(1).expect("a target").to_owned();
            log.lock().expect("log").push(vec![target.clone(), body.clone()]);
            let Some(response) = act(&target, &body) else { return };
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
        log.lock().expect("log").push(vec!["closed".into()]);
    })
}

fn serve(each: impl Fn(&mut TcpStream, &Log) + Send + Sync + 'static) -> (SocketAddr, Log) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    (at, serve_at(listener, each))
}

fn serve_at(listener: TcpListener, each: impl Fn(&mut TcpStream, &Log) + Send + Sync + 'static) -> Log {
    let log = Log::default();
    let (each, seen) = (Arc::new(each), log.clone());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (each, seen) = (each.clone(), seen.clone());
            thread::spawn(move || each(&mut stream, &seen));
        }
    });
    log
}

/// A platform engine at a listener that stands already.
pub(crate) fn resp_engine_at(
    listener: TcpListener,
    act: impl Fn(&[String]) -> Option<String> + Send + Sync + 'static,
) -> Log {
    serve_at(listener, commands(replying(act)))
}

/// A platform engine that keeps its first answer to the command `want` of that name back: after the first
/// [`Barrier::wait`] it sends the answer, and joins the second once the answer is sent. All else is answered by `act`.
pub(crate) fn resp_engine_that_holds(
    name: &'static str,
    held_answer: String,
    act: impl Fn(&[String]) -> Option<String> + Send + Sync + 'static,
) -> (SocketAddr, Log, Arc<Barrier>) {
    let barrier = Arc::new(Barrier::new(2));
    let (joined, is_first, act) = (barrier.clone(), AtomicBool::new(true), replying(act));
    let (at, log) = resp_engine_that(move |parts, stream| {
        let is_held = parts[0] == "want" && parts[1] == name && is_first.swap(false, Ordering::SeqCst);
        if !is_held {
            return act(parts, stream);
        }
        joined.wait();
        let is_sent = stream.write_all(held_answer.as_bytes()).is_ok();
        joined.wait();
        is_sent
    });
    (at, log, barrier)
}
