//! Attempts and health checks whose client has disconnected, whose deadline has expired or whose engine connection has failed: they
//! are cancelled, and their connections are closed or take no further attempts.

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

/// Sends lookups until one of them is served.
fn send_until_served(client: &mut TcpStream, from: i32) {
    for seq in from..from + 10_000 {
        let fields = [("verb", "lookup"), ("txn", &*format!("{seq:016x}")), ("limit", "60000")];
        client.write_all(&call(seq, &fields, "select 1")).expect("sent");
        if answer(client).1 == "served" {
            return;
        }
    }
    panic!("none of 10,000 lookups was served");
}

/// A request that the engine rejected as overloaded waits for its next attempt. Once its client disconnects or cancels it, it must
/// not be sent again. The process is paused until both the engine's answer and the client's bytes have arrived, so that no
/// further attempt comes between them.
#[rstest]
#[case::thrift_cancel(true, true)]
#[case::thrift_close(true, false)]
#[case::http_close(false, false)]
fn request_waiting_for_its_next_attempt_is_never_sent_once_its_client_has_left(
    #[case] thrift: bool,
    #[case] sends_cancel: bool,
) {
    let name = "00000000000000a1";
    let overloaded = reply(&[name, "overload", "-", ""]);
    let (address, log, answer_held) = resp_engine_withholding(name, overloaded, served);
    let gateway = Gateway::start(&with_long_latency_objectives(&config(&[address], "resp", 60_000)));
    let mut client = if thrift { gateway.thrift_client() } else { gateway.http_client() };
    let head = format!("POST /?query_id={name} HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1");
    client.write_all(&if thrift { lookup_within(name, 60_000) } else { head.into_bytes() }).expect("sent");
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "want"));
    gateway.stop();
    answer_held.wait();
    answer_held.wait();
    if sends_cancel {
        client.write_all(&[cancel(1), health(2)].concat()).expect("sent");
        gateway.resume();
        assert_eq!(answer(&mut client).0, 2, "the cancellation was read");
    } else {
        let address = client.local_addr().expect("connected");
        drop(client);
        gateway.wait_for_stream_end(address);
        gateway.resume();
    }
    // The gateway reads in the order of arrival: once this call is answered, the cancellation or disconnect has been read.
    let mut other_client = gateway.thrift_client();
    other_client.write_all(&health(1)).expect("sent");
    assert_eq!(answer(&mut other_client).0, 1);
    // The engine serves other requests again; the cancelled one is never sent to it.
    send_until_served(&mut other_client, 2);
    assert_eq!(attempts_of(&log, name), 1);
}

/// Serves each `want` that arrives on any connection of the listener. Returns the text of everything that arrives.
fn serve_and_record(listener: TcpListener) -> Arc<Mutex<String>> {
    let received = Arc::new(Mutex::new(String::new()));
    let log = received.clone();
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
    received
}

/// A first attempt that waits for its connection to be established is cancelled together with its request.
#[rstest]
#[case::thrift_cancel(true, true)]
#[case::thrift_close(true, false)]
#[case::http_close(false, false)]
fn attempt_waiting_for_its_connection_is_never_sent_once_its_client_has_left(
    #[case] thrift: bool,
    #[case] sends_cancel: bool,
) {
    let (listener, filling) = full_listener();
    let address = listener.local_addr().expect("bound");
    let text =
        config(&[address], "resp", 60_000).replace(r#""connect_timeout":250"#, r#""connect_timeout":30000"#);
    let gateway = Gateway::start(&text);
    let mut first_client = if thrift { gateway.thrift_client() } else { gateway.http_client() };
    let name = "abcdef00000000a1";
    let head = format!("POST /?query_id={name} HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1");
    first_client
        .write_all(&if thrift { lookup_within(name, 60_000) } else { head.into_bytes() })
        .expect("sent");
    // The attempt waits for its connection to be established.
    wait_until(|| gateway.connecting_count(address) == 1);
    if sends_cancel {
        first_client.write_all(&cancel(1)).expect("sent");
    } else {
        drop(first_client);
    }
    // The gateway reads in the order of arrival: once this call is answered, the cancellation or disconnect has been read.
    let mut client = gateway.thrift_client();
    client.write_all(&health(1)).expect("sent");
    assert_eq!(answer(&mut client).0, 1);
    assert_eq!(gateway.connecting_count(address), 1, "the connection is not established yet");
    // From now on the connection can be established; only the next request may be sent on it.
    let received = serve_and_record(listener);
    drop(filling);
    send_until_served(&mut client, 2);
    let received = received.lock().expect("log");
    assert!(!received.contains(name), "{received}");
}

/// The deduplication window of a key expires before the connection is established: the attempt is reported as not executed, and
/// its request is answered promptly, not at its deadline.
#[test]
fn keyed_attempt_whose_connection_is_established_after_its_window_is_never_sent() {
    let (listener, filling) = full_listener();
    let address = listener.local_addr().expect("bound");
    let text = config(&[address], "resp", 60_000)
        .replace(r#""connect_timeout":250"#, r#""connect_timeout":30000"#)
        .replace(r#""window":12000"#, r#""window":200"#)
        // The attempt must not count as late, so that nothing else ends it before its window expires.
        .replace(r#""on_time":900"#, r#""on_time":60000"#);
    let gateway = Gateway::start(&text);
    let mut client = gateway.thrift_client();
    let fields = [("verb", "load"), ("txn", "abcdef00000000a1"), ("limit", "60000"), ("unique", "k1")];
    client.write_all(&call(1, &fields, "insert into s_1.t")).expect("sent");
    wait_until(|| gateway.connecting_count(address) == 1);
    // The system repeats the connection request 1 s after the first one, long after the window of 200 ms has expired.
    let received = serve_and_record(listener);
    drop(filling);
    let (seq, kind, _) = answer(&mut client);
    assert_eq!((seq, kind), (1, "overloaded"), "not executed, so the client may retry safely");
    send_until_served(&mut client, 2);
    let received = received.lock().expect("log");
    assert!(!received.contains("abcdef00000000a1"), "{received}");
}

/// Health checks that wait for a connection to be established must not open one connection after another.
#[rstest]
#[case::resp("resp")]
#[case::clickhouse("clickhouse")]
fn health_checks_of_an_engine_that_accepts_no_connection_open_few_connections(#[case] protocol: &str) {
    let (listener, _filling) = full_listener();
    let address = listener.local_addr().expect("bound");
    let text = config(&[address], protocol, 60_000)
        .replace(r#""connect_timeout":250"#, r#""connect_timeout":30000"#)
        .replace(r#""cancelling":true"#, r#""cancelling":true,"probes":true"#);
    let gateway = Gateway::start(&text);
    let mut client = gateway.thrift_client();
    // Each lookup ends at its deadline of 100 ms, so that only health checks wait for connections any longer.
    for seq in 1..30 {
        let fields = [("verb", "lookup"), ("txn", &*format!("{seq:016x}")), ("limit", "100")];
        client.write_all(&call(seq, &fields, "select 1")).expect("sent");
        assert_eq!(answer(&mut client).0, seq);
        // Two health checks and one attempt may be in flight.
        let pending = gateway.connecting_count(address);
        assert!(pending <= 3, "{pending} connections are being established");
    }
}

/// A frame with a transmit deadline is never written after that deadline, also where its connection is established later.
#[test]
fn frame_past_its_transmit_deadline_is_never_written() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let limits = Limits::read(&Fields::new("settings", BTreeMap::new())).expect("defaults");
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let stream = tokio::net::TcpStream::connect(listener.local_addr().expect("bound")).await.expect("up");
        let (mut engine, _) = listener.accept().await.expect("one");
        let queue = Rc::new(WriteQueue::new(SharedState::new(1)));
        let expired_attempt =
            starlingplank::core::AttemptId { request: starlingplank::interface::RequestId(7), number: 0 };
        let transmit_deadline = tokio::time::Instant::now();
        queue.push(
            Frame {
                attempt: Some(expired_attempt),
                transmit_before: Some(transmit_deadline),
                ..Frame::plain(b"late".to_vec())
            },
            &limits,
        );
        queue.push(Frame::plain(b"next".to_vec()), &limits);
        let written = async { drop(queue.write_all(&stream, &limits).await) };
        let mut bytes = [0; 4];
        tokio::select! {
            () = written => {}
            read = tokio::io::AsyncReadExt::read_exact(&mut engine, &mut bytes) => drop(read.expect("read")),
        }
        assert_eq!(&bytes, b"next");
        assert_eq!(queue.next_discarded_attempt().await, expired_attempt);
        assert_eq!(queue.queued_bytes(), 0);
    });
}

/// An engine connection on which an attempt timed out without a byte received takes no further attempt: the engine may answer on
/// other connections.
#[test]
fn connection_that_was_silent_until_an_attempt_timed_out_takes_no_further_attempt() {
    let connections = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let log = Log::default();
    let received = log.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (number, received) = (connections.fetch_add(1, Ordering::SeqCst), received.clone());
            thread::spawn(move || {
                let mut stream = stream;
                let mut bytes = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut bytes) {
                    let text = String::from_utf8_lossy(&bytes[..n]).into_owned();
                    received.lock().expect("log").push(vec![text.clone(), number.to_string()]);
                    let name = text.split("want\r\n$16\r\n").nth(1).and_then(|rest| rest.get(..16));
                    if let Some(name) = name.filter(|_| number > 0) {
                        let response = reply(&[name, "served", "pages=1,cost=5,need=8", "a\tb\tc\n"]);
                        let _ = stream.write_all(response.as_bytes());
                    }
                }
            });
        }
    });
    // Without health checks only the attempt's timeout shows that the connection is silent.
    let text = config(&[address], "resp", 60_000)
        .replace(r#""cancelling":true"#, r#""cancelling":true,"probes":false"#);
    let gateway = Gateway::start(&text);
    let mut client = gateway.thrift_client();
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

/// Health checks that an engine never answers must not occupy one connection after another.
#[test]
fn unanswered_health_checks_do_not_accumulate_connections() {
    let open_connections = Arc::new(AtomicUsize::new(0));
    let max_open = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let health_checks = Arc::new(AtomicUsize::new(0));
    let (open_count, max_open_seen, health_check_count) =
        (open_connections.clone(), max_open.clone(), health_checks.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (open_count, health_check_count) = (open_count.clone(), health_check_count.clone());
            max_open_seen.fetch_max(open_count.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
            thread::spawn(move || {
                let mut stream = stream;
                let mut reader = std::io::BufReader::new(stream.try_clone().expect("cloned"));
                while let Some((head, _)) = read_http(&mut reader) {
                    if head[0].contains("/ping") {
                        health_check_count.fetch_add(1, Ordering::SeqCst);
                        continue;
                    }
                    if stream.write_all(encode_http("200 OK", "", "1\n").as_bytes()).is_err() {
                        break;
                    }
                }
                open_count.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    let text = with_long_latency_objectives(&config(&[address], "clickhouse", 60_000));
    let gateway = Gateway::start(&text.replace(r#""cancelling":true"#, r#""cancelling":true,"probes":true"#));
    let mut client = gateway.http_client();
    for _ in 0..200_000 {
        let (status, _) = http_request(&mut client, "POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\nselect 1");
        assert!(status.starts_with("HTTP/1.1 200"), "{status}");
        if health_checks.load(Ordering::SeqCst) >= 6 {
            break;
        }
    }
    assert!(health_checks.load(Ordering::SeqCst) >= 6, "the engine received at least 6 health checks");
    assert!(
        max_open.load(Ordering::SeqCst) <= 4,
        "{} connections were open at once",
        max_open.load(Ordering::SeqCst)
    );
}

/// An engine connection on which a health check stays unanswered takes no further one, although an attempt on it has not timed out.
#[test]
fn connection_with_an_unanswered_health_check_takes_no_further_one() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (log, connections) = (Log::default(), Arc::new(AtomicUsize::new(0)));
    let received = log.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (number, received) = (connections.fetch_add(1, Ordering::SeqCst), received.clone());
            thread::spawn(move || {
                let mut bytes = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut bytes) {
                    let text = String::from_utf8_lossy(&bytes[..n]).into_owned();
                    received.lock().expect("log").push(vec![number.to_string(), text]);
                }
            });
        }
    });
    // Only the health check shows that the connection is silent: the attempt does not count as late.
    let text = config(&[address], "resp", 60_000)
        .replace(r#""cancelling":true"#, r#""cancelling":true,"probes":true"#)
        .replace(r#""on_time":500"#, r#""on_time":60000"#);
    let gateway = Gateway::start(&text);
    let mut client = gateway.thrift_client();
    client.write_all(&lookup_within("00000000000000a1", 60_000)).expect("sent");
    wait_for_log(&log, |log| log.iter().any(|parts| parts[1].contains("00000000000000a1")));
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "1" && parts[1].contains("busy")));
}
