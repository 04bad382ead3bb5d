//! Attempts and health checks whose client, deadline or connection to the engine has ended: they are withdrawn, and their
//! connections are closed or retired.

mod stand;

use rstest::rstest;
use stand::requests::{attempts_of, lookup_within, served};
use stand::*;
use starlingplank::limits::Limits;
use starlingplank::net::connection::frame::Frame;
use starlingplank::net::connection::{SharedState, WriteQueue};
use starlingplank::simulator::Fields;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Asks until it is served.
fn until_served(client: &mut TcpStream, from: i32) {
    for seq in from..from + 10_000 {
        let fields = [("verb", "lookup"), ("txn", &*format!("{seq:016x}")), ("limit", "60000")];
        client.write_all(&call(seq, &fields, "select 1")).expect("sent");
        if answer(client).1 == "served" {
            return;
        }
    }
    panic!("it never comes up");
}

/// A request that the first engine turned away waits for another chance. Its client goes, or takes it back: it never leaves.
/// The process stands still until both the engine's answer and what the client says lie there, so that no further
/// attempt comes between them.
#[rstest]
#[case::thrift_cancel(true, true)]
#[case::thrift_close(true, false)]
#[case::http_close(false, false)]
fn request_that_waits_for_its_next_attempt_never_leaves_once_its_client_has_gone(
    #[case] thrift: bool,
    #[case] says_so: bool,
) {
    let name = "00000000000000a1";
    let turned_away = reply(&[name, "overload", "-", ""]);
    let (at, log, answer_held) = resp_engine_that_holds(name, turned_away, served);
    let gateway = Gateway::start(&never_late(&config(&[at], "resp", 60_000)));
    let mut client = if thrift { gateway.client() } else { gateway.web() };
    let head = format!("POST /?query_id={name} HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1");
    client.write_all(&if thrift { lookup_within(name, 60_000) } else { head.into_bytes() }).expect("sent");
    until(&log, |l| l.iter().any(|p| p[0] == "want"));
    gateway.stop();
    answer_held.wait();
    answer_held.wait();
    if says_so {
        client.write_all(&[cancel(1), health(2)].concat()).expect("sent");
        gateway.resume();
        assert_eq!(answer(&mut client).0, 2, "the withdrawal was read");
    } else {
        let address = client.local_addr().expect("connected");
        drop(client);
        gateway.until_stream_end_arrived(address);
        gateway.resume();
    }
    // What comes later is read later: once this is answered, the leave was read.
    let mut after = gateway.client();
    after.write_all(&health(1)).expect("sent");
    assert_eq!(answer(&mut after).0, 1);
    // Others are served by the engine again; what was withdrawn is not.
    until_served(&mut after, 2);
    assert_eq!(attempts_of(&log, name), 1);
}

/// Answers each `want` that comes on any connection, and notes all that does.
fn answering(listener: TcpListener) -> Arc<Mutex<String>> {
    let seen = Arc::new(Mutex::new(String::new()));
    let log = seen.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let log = log.clone();
            thread::spawn(move || {
                let mut bytes = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut bytes) {
                    let text = String::from_utf8_lossy(&bytes[..n]).into_owned();
                    log.lock().expect("log").push_str(&text);
                    for rest in text.split("want\r\n$16\r\n").skip(1) {
                        let name = rest.get(..16).unwrap_or_default();
                        let response = reply(&[name, "served", "pages=1,cost=5,need=8", "a\tb\tc\n"]);
                        let _ = stream.write_all(response.as_bytes());
                    }
                }
            });
        }
    });
    seen
}

/// A first attempt that waits for its connection to come up is taken back with its request.
#[rstest]
#[case::thrift_cancel(true, true)]
#[case::thrift_close(true, false)]
#[case::http_close(false, false)]
fn attempt_whose_connection_is_not_up_yet_never_leaves_once_its_client_has_gone(
    #[case] thrift: bool,
    #[case] says_so: bool,
) {
    let (listener, filling) = full_listener();
    let at = listener.local_addr().expect("bound");
    let text =
        config(&[at], "resp", 60_000).replace(r#""connect_timeout":250"#, r#""connect_timeout":30000"#);
    let gateway = Gateway::start(&text);
    let mut first = if thrift { gateway.client() } else { gateway.web() };
    let name = "abcdef00000000a1";
    let head = format!("POST /?query_id={name} HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1");
    first.write_all(&if thrift { lookup_within(name, 60_000) } else { head.into_bytes() }).expect("sent");
    // Its attempt is out, and waits.
    until_true(|| gateway.connections_coming_up(at) == 1);
    if says_so {
        first.write_all(&cancel(1)).expect("sent");
    } else {
        drop(first);
    }
    // What comes later is read later: once this is answered, the leave was read.
    let mut client = gateway.client();
    client.write_all(&health(1)).expect("sent");
    assert_eq!(answer(&mut client).0, 1);
    assert_eq!(gateway.connections_coming_up(at), 1, "it is not up yet");
    // Now it may come up, and brings the next request alone.
    let seen = answering(listener);
    drop(filling);
    until_served(&mut client, 2);
    let seen = seen.lock().expect("log");
    assert!(!seen.contains(name), "{seen}");
}

/// The window of a key is over before its connection is up: the attempt is told as never run, and its request is answered
/// in time, not at its deadline.
#[test]
fn keyed_attempt_whose_connection_comes_up_after_its_window_never_leaves() {
    let (listener, filling) = full_listener();
    let at = listener.local_addr().expect("bound");
    let text = config(&[at], "resp", 60_000)
        .replace(r#""connect_timeout":250"#, r#""connect_timeout":30000"#)
        .replace(r#""window":12000"#, r#""window":200"#)
        // Nothing else ends it before: it is not late.
        .replace(r#""on_time":900"#, r#""on_time":60000"#);
    let gateway = Gateway::start(&text);
    let mut client = gateway.client();
    let fields = [("verb", "load"), ("txn", "abcdef00000000a1"), ("limit", "60000"), ("unique", "k1")];
    client.write_all(&call(1, &fields, "insert into s_1.t")).expect("sent");
    until_true(|| gateway.connections_coming_up(at) == 1);
    // The system tries again a second after the first time, long after the window.
    let seen = answering(listener);
    drop(filling);
    let (seq, kind, _) = answer(&mut client);
    assert_eq!((seq, kind), (1, "overloaded"), "never run, so trying again is harmless");
    until_served(&mut client, 2);
    let seen = seen.lock().expect("log");
    assert!(!seen.contains("abcdef00000000a1"), "{seen}");
}

/// Probes that wait for a connection to come up must not have one opened after the other.
#[rstest]
#[case::resp("resp")]
#[case::clickhouse("clickhouse")]
fn probes_of_an_engine_that_takes_no_connection_open_one_at_a_time(#[case] wire: &str) {
    let (listener, _filling) = full_listener();
    let at = listener.local_addr().expect("bound");
    let text = config(&[at], wire, 60_000)
        .replace(r#""connect_timeout":250"#, r#""connect_timeout":30000"#)
        .replace(r#""cancelling":true"#, r#""cancelling":true,"probes":true"#);
    let gateway = Gateway::start(&text);
    let mut client = gateway.client();
    // Each is given up in its time, so that nothing but probes is on its way for longer.
    for seq in 1..30 {
        let fields = [("verb", "lookup"), ("txn", &*format!("{seq:016x}")), ("limit", "100")];
        client.write_all(&call(seq, &fields, "select 1")).expect("sent");
        assert_eq!(answer(&mut client).0, seq);
        // Two probes may be out, and an attempt.
        let most = gateway.connections_coming_up(at);
        assert!(most <= 3, "{most} connections on their way");
    }
}

/// What may not leave after a time never does, also where its connection comes up later than that.
#[test]
fn attempt_whose_time_to_leave_is_over_never_leaves() {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    rt.block_on(async {
        let limits = Limits::read(&Fields::new("settings", BTreeMap::new())).expect("defaults");
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let stream = tokio::net::TcpStream::connect(listener.local_addr().expect("bound")).await.expect("up");
        let (mut engine, _) = listener.accept().await.expect("one");
        let out = Rc::new(WriteQueue::new(SharedState::new(1)));
        let late =
            starlingplank::core::AttemptId { request: starlingplank::interface::RequestId(7), number: 0 };
        let over = tokio::time::Instant::now();
        out.push(
            Frame { attempt: Some(late), transmit_before: Some(over), ..Frame::plain(b"late".to_vec()) },
            &limits,
        );
        out.push(Frame::plain(b"next".to_vec()), &limits);
        let written = async { drop(out.write_all(&stream, &limits).await) };
        let mut bytes = [0; 4];
        tokio::select! {
            () = written => {}
            read = tokio::io::AsyncReadExt::read_exact(&mut engine, &mut bytes) => drop(read.expect("read")),
        }
        assert_eq!(&bytes, b"next");
        assert_eq!(out.next_discarded_attempt().await, late);
        assert_eq!(out.queued_bytes(), 0);
    });
}

/// An engine's connection that says nothing, though the engine does on others, takes no further attempt.
#[test]
fn connection_that_let_an_attempt_time_out_in_silence_takes_no_more() {
    let connections = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    let log = Log::default();
    let seen = log.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (number, seen) = (connections.fetch_add(1, Ordering::SeqCst), seen.clone());
            thread::spawn(move || {
                let mut stream = stream;
                let mut bytes = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut bytes) {
                    let text = String::from_utf8_lossy(&bytes[..n]).into_owned();
                    seen.lock().expect("log").push(vec![text.clone(), number.to_string()]);
                    let name = text.split("want\r\n$16\r\n").nth(1).and_then(|rest| rest.get(..16));
                    if let Some(name) = name.filter(|_| number > 0) {
                        let response = reply(&[name, "served", "pages=1,cost=5,need=8", "a\tb\tc\n"]);
                        let _ = stream.write_all(response.as_bytes());
                    }
                }
            });
        }
    });
    // Without probes, so that nothing but the attempt tells of it.
    let text =
        config(&[at], "resp", 60_000).replace(r#""cancelling":true"#, r#""cancelling":true,"probes":false"#);
    let gateway = Gateway::start(&text);
    let mut client = gateway.client();
    client.write_all(&lookup_within("00000000000000a1", 300)).expect("sent");
    assert_ne!(answer(&mut client).1, "served");
    for seq in 2..8 {
        let fields = [("verb", "lookup"), ("txn", &*format!("{seq:016x}")), ("limit", "1000")];
        client.write_all(&call(seq, &fields, "select 1")).expect("sent");
        if answer(&mut client).1 == "served" {
            return;
        }
    }
    panic!("never served: {:?}", log.lock().expect("log"));
}

/// Probes that an engine never answers must not take one connection after the other.
#[test]
fn probes_that_nobody_answers_keep_no_connections() {
    let open = Arc::new(AtomicUsize::new(0));
    let most = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    let pings = Arc::new(AtomicUsize::new(0));
    let (count, peak, pinged) = (open.clone(), most.clone(), pings.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (count, pinged) = (count.clone(), pinged.clone());
            peak.fetch_max(count.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
            thread::spawn(move || {
                let mut stream = stream;
                let mut reader = std::io::BufReader::new(stream.try_clone().expect("cloned"));
                while let Some((head, _)) = web_message(&mut reader) {
                    if head[0].contains("/ping") {
                        pinged.fetch_add(1, Ordering::SeqCst);
                        continue;
                    }
                    if stream.write_all(web_answer("200 OK", "", "1\n").as_bytes()).is_err() {
                        break;
                    }
                }
                count.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    let text = never_late(&config(&[at], "clickhouse", 60_000));
    let gateway = Gateway::start(&text.replace(r#""cancelling":true"#, r#""cancelling":true,"probes":true"#));
    let mut client = gateway.web();
    for _ in 0..200_000 {
        let (status, _) = ask(&mut client, "POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1");
        assert!(status.starts_with("HTTP/1.1 200"), "{status}");
        if pings.load(Ordering::SeqCst) >= 6 {
            break;
        }
    }
    assert!(pings.load(Ordering::SeqCst) >= 6, "it was probed");
    assert!(most.load(Ordering::SeqCst) <= 4, "{} connections at once", most.load(Ordering::SeqCst));
}

/// An engine's connection on which probes go unanswered takes no more, though an attempt on it has all its time yet.
#[test]
fn connection_that_let_a_probe_go_unanswered_takes_no_more() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    let (log, connections) = (Log::default(), Arc::new(AtomicUsize::new(0)));
    let seen = log.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (number, seen) = (connections.fetch_add(1, Ordering::SeqCst), seen.clone());
            thread::spawn(move || {
                let mut bytes = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut bytes) {
                    let text = String::from_utf8_lossy(&bytes[..n]).into_owned();
                    seen.lock().expect("log").push(vec![number.to_string(), text]);
                }
            });
        }
    });
    // Nothing but the probe tells of it: the attempt is not late.
    let text = config(&[at], "resp", 60_000)
        .replace(r#""cancelling":true"#, r#""cancelling":true,"probes":true"#)
        .replace(r#""on_time":500"#, r#""on_time":60000"#);
    let gateway = Gateway::start(&text);
    let mut client = gateway.client();
    client.write_all(&lookup_within("00000000000000a1", 60_000)).expect("sent");
    until(&log, |l| l.iter().any(|p| p[1].contains("00000000000000a1")));
    until(&log, |l| l.iter().any(|p| p[0] == "1" && p[1].contains("busy")));
}
