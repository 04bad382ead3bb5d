//! New versions of the program that take over under load.

mod gateway_processes;
mod stand;

use gateway_processes::*;
use stand::*;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A leaving process answered all that was open after 3.3 s, as one does that nobody takes over from: the word that
/// another listens came before the word that it was to end, and meant nothing then.
#[test]
fn process_that_is_taken_over_from_goes_on_with_what_it_has() {
    let (at, log) = resp_engine(|parts| if parts[0] == "want" { Some(String::new()) } else { served(parts) });
    let mut site = Site::new(&[at]);
    // Nothing is late before its time is over.
    site.config = site.config.replace("\"on_time\":500", "\"on_time\":4900");
    let old = site.start();
    let mut client = old.client();
    let fields = [("verb", "lookup"), ("txn", "00000000000000a1"), ("limit", "4500")];
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    until(&log, |l| l.iter().any(|p| p[0] == "want"));
    let _new = site.start();
    old.signal("-TERM");
    // Its own time ends after 4.5 s; SIGKILL comes after 5.7 s at the earliest.
    answer(&mut client);
    drop(client);
    let output = old.ended();
    let refused: Vec<_> = output.iter().filter(|l| l.contains(": rejected for {")).collect();
    assert!(!refused.is_empty() && !refused.iter().any(|l| l.contains("ending")), "{refused:?}");
}

/// A successor that starts while the list is silent has `known` alone, which says `ready` of an engine that its
/// predecessor knows to drain, and names one that has gone.
#[test]
fn upgrade_while_the_list_is_silent_keeps_the_drains_that_the_old_one_heard() {
    let (first, _) = resp_engine(served);
    let (second, drained) = resp_engine(served);
    let (third, gone) = resp_engine(served);
    let (names, list) = list_service();
    let publish = |serial, engines: Vec<_>| *list.lock().expect("list") = Some((serial, engines));
    let mut site = Site::new(&[first, second, third]);
    site.config = site.config.replacen("\"known\"", &format!("\"names\":\"{names}\",\"known\""), 1);
    publish(2, vec![("s-0", first, false), ("s-1", second, true)]);
    let old = site.start();
    let knows_drain =
        || old.metric("gateway.cluster_size") == 2 && old.metric("gateway.cluster_unhealthy") == 1;
    assert!((0..100_000).any(|_| knows_drain()), "the list was heard");
    *list.lock().expect("list") = None;
    let new = site.start();
    assert_eq!(new.request("GET /api/ready HTTP/1.1\r\n\r\n").0, 200);
    old.signal("-TERM");
    old.ended();
    let before = (wants(&drained), wants(&gone));
    assert_eq!(served_lookups(&new, 0, 60), 60);
    assert_eq!((wants(&drained), wants(&gone)), before, "nothing went to what drains or has gone");
    // The list's own word ends it.
    publish(3, vec![("s-0", first, false), ("s-1", second, false), ("s-2", third, false)]);
    assert!((0..100_000).any(|_| new.metric("gateway.cluster_unhealthy") == 0), "the list was heard again");
    assert_eq!(served_lookups(&new, 100, 60), 60);
    assert!(wants(&drained) > before.0 && wants(&gone) > before.1, "both are in use again");
}

/// Why nobody read the first request of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum UnreadCause {
    /// The connection was not established, with this error.
    Connect(ErrorKind),
    /// The request could not be written, with this error.
    Write(ErrorKind),
    /// The connection was reset, or failed in another way, before an answer.
    Read(ErrorKind),
    /// The connection was closed before an answer.
    Closed,
}

/// What a client met that asks without a pause until it is told to stop.
#[derive(Default)]
struct ClientOutcome {
    answered: usize,
    /// New connections refused, reset, or closed with their first request unread.
    unread: Vec<UnreadCause>,
    /// Later requests that crossed the end of their connection.
    crossed: usize,
    connections: usize,
}

fn closed_loop(at: SocketAddr, client: u64, stop: &std::sync::atomic::AtomicBool) -> ClientOutcome {
    let mut outcome = ClientOutcome::default();
    let mut stream: Option<(TcpStream, i32)> = None;
    for n in 0..1_000_000_u64 {
        if stop.load(std::sync::atomic::Ordering::SeqCst) {
            break;
        }
        // A connection that has ended is not used again, as far as that is seen in time.
        stream = stream.filter(|(open, _)| {
            open.set_nonblocking(true).expect("set");
            let ended = matches!(open.peek(&mut [0]), Ok(0));
            open.set_nonblocking(false).expect("set");
            !ended
        });
        // Connections serve 1 to 7 requests, then the client opens another.
        let connected = stream.take().map_or_else(|| TcpStream::connect(at).map(|new| (new, 1)), Ok);
        let (mut open, seq) = match connected {
            Ok(connected) => connected,
            Err(error) => {
                outcome.unread.push(UnreadCause::Connect(error.kind()));
                continue;
            }
        };
        outcome.connections += usize::from(seq == 1);
        open.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
        let (txn, key) = (format!("{client:08x}{n:08x}"), format!("{client}k{n}"));
        let verb = if n % 8 == 3 { "load" } else { "lookup" };
        let mut fields = vec![("verb", verb), ("txn", &*txn), ("limit", "15000")];
        fields.extend((verb == "load").then_some(("unique", &*key)));
        let body = if verb == "load" { "insert into s_1.t" } else { "select 1" };
        let sent = open.write_all(&call(seq, &fields, body));
        // The end of the stream may come with the last answer; a request that meets it was not taken.
        let not_taken = match (sent, open.peek(&mut [0])) {
            (Err(error), _) => Some(UnreadCause::Write(error.kind())),
            (Ok(()), Err(error)) => Some(UnreadCause::Read(error.kind())),
            (Ok(()), Ok(0)) => Some(UnreadCause::Closed),
            (Ok(()), Ok(_)) => None,
        };
        if let Some(cause) = not_taken {
            outcome.crossed += usize::from(seq > 1);
            outcome.unread.extend((seq == 1).then_some(cause));
            continue;
        }
        assert_eq!(answer(&mut open).0, seq, "one answer each, in its turn");
        outcome.answered += 1;
        stream = (seq < 1 + (n % 7) as i32).then_some((open, seq + 1));
    }
    outcome
}

/// The requests that a process has read, as it logs at its end.
fn requests_read(output: &[String]) -> usize {
    let counts = output.iter().filter_map(|line| {
        let (class, _) = line.split_once(" received, ")?;
        class.rsplit(' ').next()?.parse::<usize>().ok()
    });
    counts.sum()
}

/// Each request that a process has read was answered, and few met a connection that ended.
fn check_outcomes(outcomes: &[ClientOutcome], read: usize) {
    let sum = |of: fn(&ClientOutcome) -> usize| outcomes.iter().map(of).sum::<usize>();
    let (answered, connections) = (sum(|m| m.answered), sum(|m| m.connections));
    let (unread, crossed) = (sum(|m| m.unread.len()), sum(|m| m.crossed));
    let causes: Vec<_> = outcomes.iter().flat_map(|m| &m.unread).collect();
    assert!(answered > 1_000 && connections > 200, "{answered} answers on {connections} connections");
    assert_eq!(read, answered, "what was read was answered; {causes:?} were not");
    // Two an upgrade are allowed, of connections that no process has read from. Each connection ends once: what crosses its
    // end is sent again.
    assert!(
        unread <= 2 * 50,
        "{unread} of {answered} requests met a connection that nobody read: {causes:?}"
    );
    assert!(crossed <= 6 * 50, "{crossed} of {answered} requests crossed the end of their connection");
    eprintln!(
        "{answered} answers on {connections} connections, {unread} unread {causes:?}, {crossed} crossed"
    );
}

/// Fifty versions one after the other under a closed loop of clients. Some upgrades wait until the old processes have
/// ended, the others begin at once, so that up to six processes run.
#[test]
fn fifty_upgrades_under_load_lose_nothing() {
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let runs: std::sync::Arc<std::sync::Mutex<std::collections::BTreeMap<String, usize>>> =
        Default::default();
    let counted = runs.clone();
    let (first, _) = resp_engine(move |parts| {
        if let Some(key) =
            (parts[0] == "want").then(|| parts[2].split(',').find(|f| f.starts_with("uniq="))).flatten()
        {
            *counted.lock().expect("counts").entry(key.to_owned()).or_default() += 1;
        }
        served(parts)
    });
    let (second, log) = resp_engine(served);
    let site = Site::new(&[first, second]);
    let mut current = site.start();
    assert_eq!(current.put("/api/exclude", "s-1"), 200);
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (stop, at) = (stop.clone(), site.at);
            std::thread::spawn(move || closed_loop(at, client, &stop))
        })
        .collect();
    let mut shutdown_phase: Vec<Process> = Vec::new();
    let mut read = 0;
    for upgrade in 0..50 {
        let next = site.start();
        assert_eq!(next.request("GET /api/ready HTTP/1.1\r\n\r\n").0, 200);
        let old = std::mem::replace(&mut current, next);
        old.signal("-TERM");
        shutdown_phase.push(old);
        if upgrade % 5 == 0 {
            for old in shutdown_phase.drain(..) {
                let output = old.ended();
                assert!(output.iter().any(|l| l.contains("a successor process listens")), "{output:?}");
                read += requests_read(&output);
            }
        }
    }
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    let outcome: Vec<ClientOutcome> =
        clients.into_iter().map(|c| c.join().expect("no answer is missing")).collect();
    current.signal("-TERM");
    read += shutdown_phase.into_iter().chain([current]).map(|old| requests_read(&old.ended())).sum::<usize>();
    check_outcomes(&outcome, read);
    assert_eq!(wants(&log), 0, "nothing went to the engine that is out");
    let twice: Vec<_> =
        runs.lock().expect("counts").iter().filter(|(_, n)| **n > 1).map(|(k, _)| k.clone()).collect();
    assert!(twice.is_empty(), "{twice:?}");
}

/// A successor whose configuration names no engine, while the list is silent: it would turn away what its predecessor
/// serves, so it does not listen. Once the list speaks it does.
#[test]
fn successor_that_knows_no_engine_leaves_the_clients_to_its_predecessor() {
    let (at, _) = resp_engine(served);
    let (names, list) = list_service();
    let mut site = Site::new(&[]);
    site.config = site.config.replacen("\"known\"", &format!("\"names\":\"{names}\",\"known\""), 1);
    *list.lock().expect("list") = Some((2, vec![("s-0", at, false)]));
    let old = site.start();
    assert!((0..100_000).any(|_| old.request("GET /api/ready HTTP/1.1\r\n\r\n").0 == 200), "it is ready");
    *list.lock().expect("list") = None;
    let mut child = site.spawn();
    let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
    let mut operators = lines.by_ref().map_while(Result::ok).filter_map(|l| {
        let (_, rest) = l.strip_suffix(" for its operators")?.split_once(" listens at ")?;
        rest.parse::<SocketAddr>().ok()
    });
    let operators = operators.next().expect("it has a second address");
    let new = Process { child, operators, clients: site.at, output: None };
    // Longer than a successor waits for the list where it knows engines.
    let begun = std::time::Instant::now();
    let mut requested = 0;
    while begun.elapsed() < starlingplank_admin::process_lifecycle::LIST_WAIT + Duration::from_millis(300) {
        assert_eq!(served_lookups(&old, requested, 5), 5, "all are served by the old one");
        requested += 5;
    }
    assert_eq!(new.request("GET /api/ready HTTP/1.1\r\n\r\n").0, 503);
    *list.lock().expect("list") = Some((3, vec![("s-0", at, false)]));
    assert!((0..100_000).any(|_| new.request("GET /api/ready HTTP/1.1\r\n\r\n").0 == 200), "it is ready");
}
