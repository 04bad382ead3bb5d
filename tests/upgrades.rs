//! Upgrades: new processes of the program take over from old ones under load.

mod gateway_processes;
mod stand;

use gateway_processes::*;
use stand::*;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Guards against a draining process that ends its open requests after 3.3 s, as one without a successor does: the notification
/// that the successor listens arrived before SIGTERM, and was ignored.
#[test]
fn process_with_a_successor_keeps_its_open_requests_until_their_deadline() {
    let (at, log) = resp_engine(|parts| if parts[0] == "want" { Some(String::new()) } else { served(parts) });
    let mut shared_gateway = SharedGateway::new(&[at]);
    // The target latency exceeds the request's deadline, so that the request is not late before its deadline.
    shared_gateway.config = shared_gateway.config.replace("\"on_time\":500", "\"on_time\":4900");
    let old = shared_gateway.start();
    let mut client = old.client();
    let fields = [("verb", "lookup"), ("txn", "00000000000000a1"), ("limit", "4500")];
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    wait_for_log(&log, |l| l.iter().any(|p| p[0] == "want"));
    let _new = shared_gateway.start();
    old.signal("-TERM");
    // The request's deadline is after 4.5 s; SIGKILL follows after 5.7 s at the earliest.
    answer(&mut client);
    drop(client);
    let output = old.wait_for_exit();
    let refused: Vec<_> = output.iter().filter(|l| l.contains(": rejected for {")).collect();
    assert!(!refused.is_empty() && !refused.iter().any(|l| l.contains("ending")), "{refused:?}");
}

/// Guards against a successor that uses outdated engines: it starts while the name service does not answer, and `known` in its
/// configuration shows one engine as ready that its predecessor knows to be draining, and names another that was removed.
#[test]
fn successor_keeps_drains_known_to_its_predecessor_while_the_name_service_is_silent() {
    let (first, _) = resp_engine(served);
    let (second, draining_log) = resp_engine(served);
    let (third, removed_log) = resp_engine(served);
    let (names, list) = list_service();
    let publish = |version, engines: Vec<_>| *list.lock().expect("list") = Some((version, engines));
    let mut shared_gateway = SharedGateway::new(&[first, second, third]);
    shared_gateway.config =
        shared_gateway.config.replacen("\"known\"", &format!("\"names\":\"{names}\",\"known\""), 1);
    publish(2, vec![("s-0", first, false), ("s-1", second, true)]);
    let old = shared_gateway.start();
    let knows_drain =
        || old.metric("gateway.cluster_size") == 2 && old.metric("gateway.cluster_unhealthy") == 1;
    assert!((0..100_000).any(|_| knows_drain()), "the list was applied");
    *list.lock().expect("list") = None;
    let new = shared_gateway.start();
    assert_eq!(new.request("GET /api/ready HTTP/1.1\r\n\r\n").0, 200);
    old.signal("-TERM");
    old.wait_for_exit();
    let before = (attempt_count(&draining_log), attempt_count(&removed_log));
    assert_eq!(served_lookups(&new, 0, 60), 60);
    assert_eq!(
        (attempt_count(&draining_log), attempt_count(&removed_log)),
        before,
        "nothing was sent to the draining or the removed engine"
    );
    // A response of the name service replaces the inherited state.
    publish(3, vec![("s-0", first, false), ("s-1", second, false), ("s-2", third, false)]);
    assert!((0..100_000).any(|_| new.metric("gateway.cluster_unhealthy") == 0), "the new list was applied");
    assert_eq!(served_lookups(&new, 100, 60), 60);
    assert!(
        attempt_count(&draining_log) > before.0 && attempt_count(&removed_log) > before.1,
        "both engines are in use again"
    );
}

/// Reason for which no process read the first request of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum UnreadCause {
    /// The connection could not be established: the error's kind.
    Connect(ErrorKind),
    /// The request could not be written: the error's kind.
    Write(ErrorKind),
    /// The connection was reset or failed in another way before an answer: the error's kind.
    Read(ErrorKind),
    /// The connection was closed before an answer.
    Closed,
}

/// Outcomes of a closed-loop client, which sends requests without a pause until it is stopped.
#[derive(Default)]
struct ClientOutcome {
    answered: usize,
    /// Causes for which new connections were refused, reset, or closed with their first request unread.
    unread: Vec<UnreadCause>,
    /// Number of requests after the first that were sent while their connection was being closed.
    sent_while_closing: usize,
    connections: usize,
}

/// Runs a closed-loop client until it is stopped.
fn closed_loop(at: SocketAddr, client: u64, stop: &std::sync::atomic::AtomicBool) -> ClientOutcome {
    let mut outcome = ClientOutcome::default();
    let mut stream: Option<(TcpStream, i32)> = None;
    for n in 0..1_000_000_u64 {
        if stop.load(std::sync::atomic::Ordering::SeqCst) {
            break;
        }
        // Does not reuse a connection whose end the client has already received.
        stream = stream.filter(|(open, _)| {
            open.set_nonblocking(true).expect("set");
            let ended = matches!(open.peek(&mut [0]), Ok(0));
            open.set_nonblocking(false).expect("set");
            !ended
        });
        // The client sends 1 to 7 requests on a connection, then opens another.
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
        // The server may close the connection with its last answer; a request that is sent at that moment was not read.
        let unread_cause = match (sent, open.peek(&mut [0])) {
            (Err(error), _) => Some(UnreadCause::Write(error.kind())),
            (Ok(()), Err(error)) => Some(UnreadCause::Read(error.kind())),
            (Ok(()), Ok(0)) => Some(UnreadCause::Closed),
            (Ok(()), Ok(_)) => None,
        };
        if let Some(cause) = unread_cause {
            outcome.sent_while_closing += usize::from(seq > 1);
            outcome.unread.extend((seq == 1).then_some(cause));
            continue;
        }
        assert_eq!(answer(&mut open).0, seq, "each request gets one answer, in order");
        outcome.answered += 1;
        stream = (seq < 1 + (n % 7) as i32).then_some((open, seq + 1));
    }
    outcome
}

/// Returns the number of requests that a process has read, from the counts that it logs when it exits.
fn requests_read(output: &[String]) -> usize {
    let counts = output.iter().filter_map(|line| {
        let (class, _) = line.split_once(" received, ")?;
        class.rsplit(' ').next()?.parse::<usize>().ok()
    });
    counts.sum()
}

/// Checks that each request that a process has read was answered, and that few requests met the end of a connection.
fn check_outcomes(outcomes: &[ClientOutcome], read: usize) {
    let sum = |of: fn(&ClientOutcome) -> usize| outcomes.iter().map(of).sum::<usize>();
    let (answered, connections) = (sum(|m| m.answered), sum(|m| m.connections));
    let (unread, sent_while_closing) = (sum(|m| m.unread.len()), sum(|m| m.sent_while_closing));
    let causes: Vec<_> = outcomes.iter().flat_map(|m| &m.unread).collect();
    assert!(answered > 1_000 && connections > 200, "{answered} answers on {connections} connections");
    assert_eq!(read, answered, "each request that was read is answered; causes of unread ones: {causes:?}");
    // Each upgrade may leave two new connections from which no process has read. Each connection is closed once, and a request
    // sent at that moment is sent again.
    assert!(
        unread <= 2 * 50,
        "{unread} new connections were not read from, beside {answered} answers: {causes:?}"
    );
    assert!(
        sent_while_closing <= 6 * 50,
        "{sent_while_closing} requests were sent while closing, beside {answered} answers"
    );
    eprintln!(
        "{answered} answers on {connections} connections, {unread} unread {causes:?}, {sent_while_closing} sent while closing"
    );
}

/// Guards against requests lost or keys run twice in upgrades: fifty in a row under closed-loop clients. One upgrade in five waits
/// until the old processes have exited, the others start immediately, so that up to six processes run.
#[test]
fn fifty_upgrades_under_load_lose_no_request() {
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let runs: std::sync::Arc<std::sync::Mutex<std::collections::BTreeMap<String, usize>>> =
        Default::default();
    let run_counts = runs.clone();
    let (first, _) = resp_engine(move |parts| {
        if let Some(key) =
            (parts[0] == "want").then(|| parts[2].split(',').find(|f| f.starts_with("uniq="))).flatten()
        {
            *run_counts.lock().expect("counts").entry(key.to_owned()).or_default() += 1;
        }
        served(parts)
    });
    let (second, log) = resp_engine(served);
    let shared_gateway = SharedGateway::new(&[first, second]);
    let mut current = shared_gateway.start();
    assert_eq!(current.put("/api/exclude", "s-1"), 200);
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (stop, at) = (stop.clone(), shared_gateway.at);
            std::thread::spawn(move || closed_loop(at, client, &stop))
        })
        .collect();
    let mut draining: Vec<Process> = Vec::new();
    let mut read = 0;
    for upgrade in 0..50 {
        let next = shared_gateway.start();
        assert_eq!(next.request("GET /api/ready HTTP/1.1\r\n\r\n").0, 200);
        let old = std::mem::replace(&mut current, next);
        old.signal("-TERM");
        draining.push(old);
        if upgrade % 5 == 0 {
            for old in draining.drain(..) {
                let output = old.wait_for_exit();
                assert!(output.iter().any(|l| l.contains("a successor process listens")), "{output:?}");
                read += requests_read(&output);
            }
        }
    }
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    let outcomes: Vec<ClientOutcome> =
        clients.into_iter().map(|c| c.join().expect("the client received all answers")).collect();
    current.signal("-TERM");
    read +=
        draining.into_iter().chain([current]).map(|old| requests_read(&old.wait_for_exit())).sum::<usize>();
    check_outcomes(&outcomes, read);
    assert_eq!(attempt_count(&log), 0, "nothing was sent to the excluded engine");
    let repeated: Vec<_> =
        runs.lock().expect("counts").iter().filter(|(_, n)| **n > 1).map(|(k, _)| k.clone()).collect();
    assert!(repeated.is_empty(), "keys that ran more than once: {repeated:?}");
}

/// Guards against a successor that accepts requests which only its predecessor can serve: its configuration names no engine, and
/// the name service does not answer. It listens only once it has received the endpoint list.
#[test]
fn successor_without_known_engines_does_not_listen_before_it_receives_the_list() {
    let (at, _) = resp_engine(served);
    let (names, list) = list_service();
    let mut shared_gateway = SharedGateway::new(&[]);
    shared_gateway.config =
        shared_gateway.config.replacen("\"known\"", &format!("\"names\":\"{names}\",\"known\""), 1);
    *list.lock().expect("list") = Some((2, vec![("s-0", at, false)]));
    let old = shared_gateway.start();
    assert!(
        (0..100_000).any(|_| old.request("GET /api/ready HTTP/1.1\r\n\r\n").0 == 200),
        "the gateway is ready"
    );
    *list.lock().expect("list") = None;
    let mut child = shared_gateway.spawn();
    let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
    let mut operators = lines.by_ref().map_while(Result::ok).filter_map(|l| {
        let (_, rest) = l.strip_suffix(" for its operators")?.split_once(" listens at ")?;
        rest.parse::<SocketAddr>().ok()
    });
    let operators = operators.next().expect("the process logs its address for operators");
    let new = Process { child, operators, clients: shared_gateway.at, output: None };
    // Longer than a successor with known engines waits for the list.
    let begun = std::time::Instant::now();
    let mut requested = 0;
    while begun.elapsed() < starlingplank_admin::process_lifecycle::LIST_WAIT + Duration::from_millis(300) {
        assert_eq!(served_lookups(&old, requested, 5), 5, "the predecessor serves all requests");
        requested += 5;
    }
    assert_eq!(new.request("GET /api/ready HTTP/1.1\r\n\r\n").0, 503);
    *list.lock().expect("list") = Some((3, vec![("s-0", at, false)]));
    assert!(
        (0..100_000).any(|_| new.request("GET /api/ready HTTP/1.1\r\n\r\n").0 == 200),
        "the gateway is ready"
    );
}
