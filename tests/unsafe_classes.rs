//! Requests that must not run twice, on loopback: whatever ends an attempt, another goes out only where the one before
//! surely never ran. What may have run is answered as failed, never as refused: a refusal invites a retry.

mod stand;

use rstest::rstest;
use stand::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const LOAD: &str = "abcdef00000000a1";
const TURNED_AWAY: &str = "overloaded";
const FAILED: &str = "internal";
/// Longer than any test takes.
const LONG: u32 = 60_000;
/// A request that waits for an engine is turned away after a quarter of this.
const AIM: u32 = 4_000;

/// A request of a class of the settings, under its name.
fn request(seq: i32, class: &str, txn: &str, limit: u32) -> Vec<u8> {
    let limit = limit.to_string();
    let fields = [("verb", class), ("txn", txn), ("limit", limit.as_str()), ("unique", "k1")];
    call(seq, &fields, "insert into s_1.t")
}

fn served(parts: &[String]) -> Option<String> {
    Some(match parts[0].as_str() {
        "want" => reply(&[&parts[1], "served", "pages=1,cost=5,need=8", "a\tb\tc\n"]),
        "busy" => reply(&[&parts[1], "green", "use=util:0.1", ""]),
        _ => String::new(),
    })
}

/// Says nothing to a request, and answers all else.
fn silent(parts: &[String]) -> Option<String> {
    if parts[0] == "want" {
        Some(String::new())
    } else {
        served(parts)
    }
}

/// How often a request arrived at an engine, over either interface.
fn runs(log: &Log, txn: &str) -> usize {
    let of = |parts: &&Vec<String>| match parts[0].as_str() {
        "want" => parts[1] == txn,
        target => target.contains(&format!("query_id={txn}")),
    };
    log.lock().expect("log").iter().filter(of).count()
}

fn all_runs(logs: &[Log], txn: &str) -> usize {
    logs.iter().map(|log| runs(log, txn)).sum()
}

/// Settings in which `load` must not run twice, no retry budget binds, and requests are late after that time.
fn settings(engines: &[SocketAddr], wire: &str, aim: u32) -> String {
    let text = without_retry_budget(&at_most_once(&config(engines, wire, LONG)), 5);
    let aim = format!(r#""on_time":{aim}"#);
    changed(&changed(&text, r#""on_time":900"#, &aim), r#""on_time":500"#, &aim)
}

/// How an engine ends an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    /// Turned away unseen.
    Overload,
    /// Over already, never run.
    Nobody,
    /// An error.
    Crashed,
    /// The connection ends under it.
    Reset,
    /// Progress, then the connection ends.
    ProgressThenReset,
    /// It waits for a load, then the connection ends.
    WaitsThenReset,
    /// Half of its result, of the rest nothing is known.
    HalfThenCrashed,
    /// Half of its result, then it is said never to have run.
    HalfThenNobody,
    /// Half of its result, then it is said to have been turned away.
    HalfThenOverload,
    /// Half of its result, then the connection ends.
    HalfThenReset,
    /// Half of its result, and no more.
    HalfThenSilence,
}

impl End {
    /// What the platform's engines say to a command.
    fn resp(self, parts: &[String]) -> Option<String> {
        let half = || reply(&[&parts[1], "served", "pages=2,cost=5,need=8", "1\t\t\n"]);
        let says = |word| Some(reply(&[&parts[1], word, "-", ""]));
        match (parts[0].as_str(), self) {
            ("want", End::Overload) | ("turn", End::HalfThenOverload) => says("overload"),
            ("want", End::Nobody) | ("turn", End::HalfThenNobody) => says("nobody"),
            ("want", End::Crashed) | ("turn", End::HalfThenCrashed) => says("crashed"),
            ("want", End::Reset) | ("turn", End::HalfThenReset) => None,
            ("want", End::ProgressThenReset | End::WaitsThenReset) => Some(String::new()),
            ("want", _) => Some(half()),
            ("turn", End::HalfThenSilence) => Some(String::new()),
            _ => served(parts),
        }
    }

    /// What an engine of the ClickHouse interface says to a request.
    fn http(self, target: &str) -> Option<String> {
        if target.starts_with("/ping") {
            return Some(web_answer("200 OK", "", "Ok.\n"));
        }
        match self {
            End::Overload => {
                Some(web_answer("503 Busy", "X-ClickHouse-Exception-Code: 202\r\n", "Code: 202."))
            }
            End::Crashed => {
                Some(web_answer("500 Error", "X-ClickHouse-Exception-Code: 241\r\n", "Code: 241."))
            }
            _ => None,
        }
    }
}

/// An engine that ends attempts so, over the platform's interface.
fn ending(end: End) -> (SocketAddr, Log) {
    let update = match end {
        End::ProgressThenReset => "detail=p,v=0.5",
        End::WaitsThenReset => "detail=w,v=2",
        _ => return resp_engine(move |parts| end.resp(parts)),
    };
    resp_engine_that(move |parts, stream| {
        let runs = parts[0] == "want";
        let said = if runs { Some(reply(&[&parts[1], "update", update, ""])) } else { served(parts) };
        stream.write_all(said.unwrap_or_default().as_bytes()).is_ok() && !runs
    })
}

/// Sends one request to a gateway before two engines that end attempts alike; its answer, and how often it ran.
fn sent_to_two(end: End, wire: &str, class: &str) -> (&'static str, usize) {
    let start = || match wire {
        "resp" => ending(end),
        _ => http_engine(move |target, _| end.http(target)),
    };
    let engines = [start(), start()];
    let at = engines.each_ref().map(|e| e.0);
    let logs = engines.each_ref().map(|e| e.1.clone());
    let gateway = Gateway::start(&settings(&at, wire, AIM));
    let mut client = gateway.client();
    client.write_all(&request(1, class, LOAD, LONG)).expect("sent");
    let (seq, kind, _) = answer(&mut client);
    assert_eq!(seq, 1);
    (kind, all_runs(&logs, LOAD))
}

#[rstest]
#[case::overload(End::Overload, "resp")]
#[case::nobody(End::Nobody, "resp")]
#[case::too_many_queries(End::Overload, "clickhouse")]
fn what_surely_never_ran_is_sent_again_and_refused_at_last(#[case] end: End, #[case] wire: &str) {
    let (kind, sent) = sent_to_two(end, wire, "load");
    assert_eq!(kind, TURNED_AWAY, "trying again is harmless");
    assert!(sent >= 2, "sent {sent} times");
}

#[rstest]
#[case::crashed(End::Crashed, "resp")]
#[case::reset(End::Reset, "resp")]
#[case::progress_then_reset(End::ProgressThenReset, "resp")]
#[case::waits_then_reset(End::WaitsThenReset, "resp")]
#[case::half_then_crashed(End::HalfThenCrashed, "resp")]
#[case::half_then_nobody(End::HalfThenNobody, "resp")]
#[case::half_then_overload(End::HalfThenOverload, "resp")]
#[case::half_then_reset(End::HalfThenReset, "resp")]
#[case::half_then_silence(End::HalfThenSilence, "resp")]
#[case::error_of_the_engine(End::Crashed, "clickhouse")]
#[case::reset_over_http(End::Reset, "clickhouse")]
fn what_may_have_run_is_never_sent_again_and_fails(#[case] end: End, #[case] wire: &str) {
    assert_eq!(sent_to_two(end, wire, "load"), (FAILED, 1));
    // The same end of a safe request is followed by another attempt: it is the class that forbids it.
    let (_, sent) = sent_to_two(end, wire, "lookup");
    assert!(sent >= 2, "a safe request was sent {sent} times");
}

/// Nobody listens, or the connection never comes up: nothing ran, and the client may try again.
#[rstest]
#[case::refused(false, "resp")]
#[case::never_up(true, "resp")]
#[case::refused_over_http(false, "clickhouse")]
#[case::never_up_over_http(true, "clickhouse")]
fn request_whose_connection_never_comes_up_is_refused_and_never_leaves(
    #[case] hangs: bool,
    #[case] wire: &str,
) {
    let (_held, refusing) = refusing();
    let (listener, filling) = full_listener();
    let at = if hangs { listener.local_addr().expect("bound") } else { refusing };
    let gateway = Gateway::start(&settings(&[at], wire, AIM));
    let mut client = gateway.client();
    client.write_all(&request(1, "load", LOAD, LONG)).expect("sent");
    assert_eq!(answer(&mut client).1, TURNED_AWAY);
    // Whatever did come up later has nothing to say.
    drop(filling);
    drop(gateway);
    listener.set_nonblocking(true).expect("set");
    let mut said = String::new();
    while let Ok((mut stream, _)) = listener.accept() {
        stream.set_nonblocking(false).expect("set");
        let _ = stream.read_to_string(&mut said);
    }
    assert!(!said.contains(LOAD), "{said}");
}

/// One engine takes no connection; the attempt moves on to the one that does, and runs there once.
#[test]
fn request_that_met_a_refused_connection_runs_at_another_engine() {
    let (_held, refusing) = refusing();
    let (good, log) = resp_engine(served);
    let gateway = Gateway::start(&settings(&[refusing, good], "resp", LONG));
    let mut client = gateway.client();
    for seq in 1..=20 {
        let txn = format!("{seq:016x}");
        client.write_all(&request(seq, "load", &txn, LONG)).expect("sent");
        assert_eq!(answer(&mut client).1, "served");
        assert_eq!(runs(&log, &txn), 1);
    }
}

/// An engine says nothing until the client's time is over.
#[rstest]
#[case::resp("resp")]
#[case::clickhouse("clickhouse")]
fn request_that_times_out_fails_and_is_not_sent_again(#[case] wire: &str) {
    let start = || match wire {
        "resp" => resp_engine(silent),
        _ => http_engine(|target, _| {
            let answer = || web_answer("200 OK", "", "Ok.\n");
            Some(if target.starts_with("/ping") { answer() } else { String::new() })
        }),
    };
    let engines = [start(), start()];
    let gateway = Gateway::start(&settings(&[engines[0].0, engines[1].0], wire, LONG));
    let mut client = gateway.client();
    client.write_all(&request(1, "load", LOAD, 400)).expect("sent");
    assert_eq!(answer(&mut client).1, FAILED);
    assert_eq!(runs(&engines[0].1, LOAD) + runs(&engines[1].1, LOAD), 1);
}

/// The client withdraws what runs: it is given up there, and goes nowhere else.
#[rstest]
#[case::cancel(true)]
#[case::close(false)]
fn request_that_its_client_gave_up_is_not_sent_again(#[case] says_so: bool) {
    let engines = [resp_engine(silent), resp_engine(silent)];
    let logs = engines.each_ref().map(|e| e.1.clone());
    let gateway = Gateway::start(&settings(&[engines[0].0, engines[1].0], "resp", LONG));
    let mut client = gateway.client();
    client.write_all(&request(1, "load", LOAD, LONG)).expect("sent");
    until_either(&logs, |parts| parts[0] == "want");
    if says_so {
        client.write_all(&cancel(1)).expect("sent");
    } else {
        drop(client);
    }
    until_either(&logs, |parts| parts[0] == "never_mind" && parts[1] == LOAD);
    // Another request has passed since: whatever the first had left to do is done.
    let mut after = gateway.client();
    after.write_all(&request(1, "lookup", "abcdef00000000b1", 200)).expect("sent");
    answer(&mut after);
    assert_eq!(all_runs(&logs, LOAD), 1);
}

fn until_either(logs: &[Log], found: impl Fn(&[String]) -> bool) {
    for _ in 0..30_000 {
        if logs.iter().any(|log| log.lock().expect("log").iter().any(|parts| found(parts))) {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("never came: {logs:?}");
}

/// What the list says of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Leaves {
    Drains,
    IsGone,
}

impl Leaves {
    /// A list in which that engine leaves and another is there.
    fn list(self, old: SocketAddr, new: SocketAddr) -> (u32, Vec<(&'static str, SocketAddr, bool)>) {
        let others = vec![("s-1", new, false)];
        let drained = vec![("s-0", old, true), ("s-1", new, false)];
        (2, if self == Leaves::Drains { drained } else { others })
    }
}

/// A request waits for a connection that is not up when its engine leaves the list: it never left, runs at another engine,
/// and the connection that comes up at last brings nothing.
#[rstest]
#[case::drains(Leaves::Drains)]
#[case::is_gone(Leaves::IsGone)]
fn request_that_waits_for_a_connection_moves_when_its_engine_leaves(#[case] how: Leaves) {
    let (listener, filling) = full_listener();
    let old = listener.local_addr().expect("bound");
    let (new, log) = resp_engine(served);
    let (names, said) = list_service();
    let text = changed(
        &settings(&[old], "resp", LONG),
        r#""connect_timeout":250"#,
        &format!(r#""connect_timeout":{LONG}"#),
    );
    let gateway = Gateway::start(&text.replacen('{', &format!(r#"{{"names":"{names}","#), 1));
    let mut client = gateway.client();
    client.write_all(&request(1, "load", LOAD, LONG)).expect("sent");
    until_coming_up(old);
    *said.lock().expect("said") = Some(how.list(old, new));
    assert_eq!(answer(&mut client).1, "served");
    let late = resp_engine_at(listener, served);
    drop(filling);
    // What filled the queue ends, and so does the gateway's connection: it is up by then, and had nothing to say.
    until(&late, |l| l.iter().filter(|p| p[0] == "closed").count() == 2);
    assert_eq!((runs(&log, LOAD), runs(&late, LOAD)), (1, 0));
}

/// An engine that holds the request back until it is released, and serves all others.
fn holding() -> (SocketAddr, Log, Arc<AtomicBool>) {
    let released = Arc::new(AtomicBool::new(false));
    let goes_on = released.clone();
    let (at, log) = resp_engine(move |parts| {
        while parts[0] == "want" && parts[1] == LOAD && !goes_on.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        served(parts)
    });
    (at, log, released)
}

/// Asks for lookups until one of them runs at that engine.
fn until_used(gateway: &Gateway, log: &Log) {
    let mut client = gateway.client();
    for seq in 1..=100_000 {
        let txn = format!("{seq:016x}");
        client.write_all(&request(seq, "lookup", &txn, 1_000)).expect("sent");
        answer(&mut client);
        if runs(log, &txn) > 0 {
            return;
        }
    }
    panic!("the engine is never used");
}

/// A request runs on an engine that leaves the list. One that drains ends what it has; what was out on one that has gone
/// may have run, and fails.
#[rstest]
#[case::drains(Leaves::Drains, "served")]
#[case::is_gone(Leaves::IsGone, FAILED)]
fn request_that_runs_where_its_engine_leaves_is_not_sent_again(#[case] how: Leaves, #[case] ends: &str) {
    let (old, old_log, released) = holding();
    let (new, new_log) = resp_engine(served);
    let (names, said) = list_service();
    let text = settings(&[old], "resp", LONG);
    let gateway = Gateway::start(&text.replacen('{', &format!(r#"{{"names":"{names}","#), 1));
    let mut client = gateway.client();
    client.write_all(&request(1, "load", LOAD, LONG)).expect("sent");
    until(&old_log, |l| l.iter().any(|p| p[0] == "want"));
    *said.lock().expect("said") = Some(how.list(old, new));
    until_used(&gateway, &new_log);
    released.store(how == Leaves::Drains, Ordering::SeqCst);
    assert_eq!(answer(&mut client).1, ends);
    assert_eq!((runs(&old_log, LOAD), runs(&new_log, LOAD)), (1, 0));
}

/// A new configuration is read while a request runs: it stays where it is.
#[test]
fn request_that_runs_through_a_reload_is_not_sent_again() {
    let (old, old_log, released) = holding();
    let (new, new_log) = resp_engine(served);
    let (names, said) = list_service();
    let text = settings(&[old], "resp", LONG);
    let gateway = Gateway::start(&text);
    let mut client = gateway.client();
    client.write_all(&request(1, "load", LOAD, LONG)).expect("sent");
    until(&old_log, |l| l.iter().any(|p| p[0] == "want"));
    *said.lock().expect("said") = Some((2, vec![("s-0", old, false), ("s-1", new, false)]));
    gateway.reload(&text.replacen('{', &format!(r#"{{"names":"{names}","#), 1));
    until_used(&gateway, &new_log);
    released.store(true, Ordering::SeqCst);
    assert_eq!(answer(&mut client).1, "served");
    assert_eq!((runs(&old_log, LOAD), runs(&new_log, LOAD)), (1, 0));
}

/// The process is told to end while a request is out that its engine never answers. What may have run fails; what is safe
/// to repeat is refused.
#[rstest]
#[case::must_not_run_twice("load", FAILED)]
#[case::safe("lookup", TURNED_AWAY)]
fn request_that_is_out_as_the_process_ends_fails_and_is_not_sent_again(
    #[case] class: &str,
    #[case] ends: &str,
) {
    let engines = [resp_engine(silent), resp_engine(silent)];
    let logs = engines.each_ref().map(|e| e.1.clone());
    // What is open at SIGTERM is answered by the longest deadline; the client waits longer than that.
    let text = without_retry_budget(&at_most_once(&config(&[engines[0].0, engines[1].0], "resp", 900)), 5);
    // Nothing but the end gives an attempt up.
    let text = changed(&text, r#""cancelling":true"#, r#""cancelling":false"#);
    let mut gateway = Gateway::start(&text);
    let mut client = gateway.client();
    client.write_all(&request(1, class, LOAD, 9_000)).expect("sent");
    until_either(&logs, |parts| parts[0] == "want");
    gateway.terminate();
    assert_eq!(answer(&mut client).1, ends);
    drop(client);
    assert!(gateway.child.wait().expect("it ends").success());
    assert_eq!(all_runs(&logs, LOAD), 1);
}

/// Two processes of one gateway, with what they share.
struct Pair {
    config: String,
    folder: tempfile::TempDir,
    _port: tokio::net::TcpSocket,
}

impl Pair {
    fn new(engines: &[SocketAddr]) -> Self {
        let port = tokio::net::TcpSocket::new_v4().expect("a socket");
        port.set_reuseport(true).expect("set");
        port.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let at = port.local_addr().expect("bound");
        let text = settings(engines, "resp", LONG);
        let listens = format!(r#""listen":"{at}","operator":"127.0.0.1:0""#);
        let config = changed(&text, r#""listen":"127.0.0.1:0""#, &listens);
        Self { config, folder: tempfile::tempdir().expect("a folder"), _port: port }
    }

    fn start(&self) -> Gateway {
        Gateway::start_in(&self.config, self.folder.path())
    }
}

/// Sockets that listen at an address, of all processes of this machine.
fn listeners(at: SocketAddr) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    let (own, listens) = (format!("0100007F:{:04X}", at.port()), "0A");
    let of = |line: &&str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words.get(1) == Some(&own.as_str()) && words.get(3) == Some(&listens)
    };
    table.lines().filter(of).count()
}

/// Another process takes over while a request runs: the old one answers it, and the new one does not send it.
#[test]
fn request_that_runs_through_a_handover_is_answered_by_the_old_process_and_not_sent_again() {
    let (at, log, released) = holding();
    let pair = Pair::new(&[at]);
    let mut old = pair.start();
    let mut client = old.client();
    client.write_all(&request(1, "load", LOAD, LONG)).expect("sent");
    until(&log, |l| l.iter().any(|p| p[0] == "want"));
    let new = pair.start();
    assert_eq!(listeners(old.thrift), 2);
    old.terminate();
    assert!((0..1_000_000).any(|_| listeners(old.thrift) == 1), "the old one has left");
    until_used(&new, &log);
    released.store(true, Ordering::SeqCst);
    assert_eq!(answer(&mut client).1, "served");
    drop(client);
    assert!(old.child.wait().expect("it ends").success());
    assert_eq!(runs(&log, LOAD), 1);
}

/// The process is killed while a request runs. Its client hears nothing that invites a retry, and the next process of this
/// gateway does not send it.
#[test]
fn request_that_runs_as_the_process_is_killed_is_not_sent_by_the_next() {
    let (at, log, _released) = holding();
    let pair = Pair::new(&[at]);
    let mut old = pair.start();
    let mut client = old.client();
    client.write_all(&request(1, "load", LOAD, LONG)).expect("sent");
    until(&log, |l| l.iter().any(|p| p[0] == "want"));
    old.signal("-KILL");
    old.child.wait().expect("it ends");
    let mut said = Vec::new();
    let _ = client.read_to_end(&mut said);
    assert!(said.is_empty(), "{said:?}");
    until_used(&pair.start(), &log);
    assert_eq!(runs(&log, LOAD), 1);
}

/// An engine says twice that an attempt never ran, the second time after the next attempt has reached it: the copy answers
/// the first, not the one that runs.
#[rstest]
#[case::nobody("nobody")]
#[case::overload("overload")]
fn copy_of_an_answer_does_not_end_the_next_attempt(#[case] word: &'static str) {
    let first: Arc<Mutex<Option<TcpStream>>> = Arc::default();
    let (at, log) = resp_engine_that(move |parts, stream| {
        let never_ran = || reply(&[&parts[1], word, "-", ""]);
        if parts[0] != "want" || parts[1] != LOAD {
            return stream.write_all(served(parts).unwrap_or_default().as_bytes()).is_ok();
        }
        let mut first = first.lock().expect("first");
        // The second attempt runs on; what is said again is said where it was said before.
        let mut says = first.take().unwrap_or_else(|| stream.try_clone().expect("cloned"));
        let said = says.write_all(never_ran().as_bytes()).is_ok();
        *first = Some(says);
        said
    });
    let gateway = Gateway::start(&settings(&[at], "resp", LONG));
    let mut client = gateway.client();
    client.write_all(&request(1, "load", LOAD, LONG)).expect("sent");
    until(&log, |l| l.iter().filter(|p| p[0] == "want" && p[1] == LOAD).count() >= 2);
    // What follows on the same connection is read after the copy.
    for seq in 2..10 {
        client.write_all(&request(seq, "lookup", &format!("{seq:016x}"), LONG)).expect("sent");
        answer(&mut client);
    }
    assert_eq!(runs(&log, LOAD), 2, "the second attempt runs, and a third was sent");
}
