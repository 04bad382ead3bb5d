//! The gateway program with test clients and stub engines on real sockets: one test for each rule.

mod stand;

use rstest::rstest;
use stand::*;
use std::io::Write;
use std::net::{TcpListener, UdpSocket};

const LOOKUP: [(&str, &str); 3] = [("verb", "lookup"), ("txn", "00000000000000a1"), ("limit", "5000")];

fn served(parts: &[String]) -> Option<String> {
    Some(match parts[0].as_str() {
        "want" => reply(&[&parts[1], "served", "pages=1,cost=5,need=8", "a\tb\tc\n"]),
        "busy" => reply(&[&parts[1], "green", "use=util:0.1", ""]),
        _ => String::new(),
    })
}

#[test]
fn request_is_forwarded_unchanged_and_its_pages_are_returned_in_order() {
    let (address, log) = resp_engine(|parts| {
        Some(match (parts[0].as_str(), parts.get(2).map(String::as_str)) {
            ("want", _) => reply(&[&parts[1], "served", "pages=3,cost=5,need=8", "1\t\t\n"]),
            // The engine sends the third page before the second.
            ("turn", Some("1")) => String::new(),
            ("turn", _) => {
                reply(&[&parts[1], "rows", "page=2", "3\t\t\n"])
                    + &reply(&[&parts[1], "rows", "page=1", "2\t\t\n"])
            }
            _ => return served(parts),
        })
    });
    let gateway = Gateway::start(&config(&[address], "resp", 5000));
    let mut client = gateway.thrift_client();
    let fields = [("verb", "load"), ("txn", "00000000000000a1"), ("limit", "4000"), ("unique", "k1")];
    client.write_all(&call(1, &fields, "insert into s_1.t\r\n")).expect("sent");
    assert_eq!(answer(&mut client), (1, "served", "1\t\t\n2\t\t\n3\t\t\n".into()));
    let log = log.lock().expect("log");
    let want = log.iter().find(|parts| parts[0] == "want").expect("sent");
    assert_eq!((want[1].as_str(), want[3].as_str()), ("00000000000000a1", "insert into s_1.t\r\n"));
    assert!(want[2].starts_with("queue=load,budget=") && want[2].contains(",uniq=k1"), "{want:?}");
}

#[test]
fn failed_page_never_yields_a_partial_result() {
    let attempts = std::sync::atomic::AtomicUsize::new(0);
    let (address, log) = resp_engine(move |parts| {
        let is_first_attempt = || attempts.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 0;
        Some(match parts[0].as_str() {
            "want" if is_first_attempt() => reply(&[&parts[1], "served", "pages=2,cost=5,need=8", "1\t\t\n"]),
            "turn" => reply(&[&parts[1], "crashed", "-", ""]),
            _ => return served(parts),
        })
    });
    let gateway = Gateway::start(&config(&[address], "resp", 5000));
    let mut client = gateway.thrift_client();
    client.write_all(&call(1, &LOOKUP, "select 1")).expect("sent");
    let (_, kind, body) = answer(&mut client);
    // The failure ejects the only engine for a while: the answer is a rejection or all rows of a retry, never a partial result.
    assert!(kind == "overloaded" && body.contains("later") || body == "a\tb\tc\n", "{kind} {body}");
    assert!(log.lock().expect("log").iter().filter(|parts| parts[0] == "want").count() <= 2);
}

#[test]
fn refused_connection_is_answered_as_overloaded_with_a_retry_after() {
    let refusing_address = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let gateway = Gateway::start(&config(&[refusing_address], "resp", 5000));
    let mut client = gateway.thrift_client();
    client.write_all(&call(1, &LOOKUP, "select 1")).expect("sent");
    let (seq, kind, body) = answer(&mut client);
    assert_eq!((seq, kind), (1, "overloaded"));
    assert!(body.contains("later"));
}

#[test]
fn expired_deadline_cancels_the_attempt_and_is_answered_once() {
    let (address, log) =
        resp_engine(|parts| if parts[0] == "want" { Some(String::new()) } else { served(parts) });
    let gateway = Gateway::start(&config(&[address], "resp", 5000));
    let mut client = gateway.thrift_client();
    client
        .write_all(&call(1, &[("verb", "lookup"), ("txn", "a1"), ("limit", "300")], "select 1"))
        .expect("sent");
    let (seq, kind, _) = answer(&mut client);
    assert!(seq == 1 && kind != "served", "{kind}");
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "never_mind"));
    // The next frame belongs to the next call: the first call was answered only once.
    client.write_all(&health(2)).expect("sent");
    assert_eq!(answer(&mut client).0, 2);
}

#[rstest]
#[case::cancel(true)]
#[case::close(false)]
fn attempt_is_cancelled_when_its_client_cancels_or_disconnects(#[case] sends_cancel: bool) {
    let (address, log) =
        resp_engine(|parts| if parts[0] == "want" { Some(String::new()) } else { served(parts) });
    let gateway = Gateway::start(&config(&[address], "resp", 20_000));
    let mut client = gateway.thrift_client();
    client.write_all(&call(1, &LOOKUP, "select 1")).expect("sent");
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "want"));
    if sends_cancel {
        client.write_all(&cancel(1)).expect("sent");
    } else {
        drop(client);
    }
    wait_for_log(&log, |log| {
        log.iter().any(|parts| parts[0] == "never_mind" && parts[1] == "00000000000000a1")
    });
}

#[rstest]
#[case::too_long(vec![0x7f, 0xff, 0xff, 0xff, 0])]
#[case::not_thrift(vec![0, 0, 0, 8, 1, 2, 3, 4, 5, 6, 7, 8])]
fn invalid_frame_closes_only_its_own_connection(#[case] bytes: Vec<u8>) {
    let (address, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[address], "resp", 5000));
    let (mut invalid_client, mut valid_client) = (gateway.thrift_client(), gateway.thrift_client());
    invalid_client.write_all(&bytes).expect("sent");
    assert_eq!(std::io::Read::read(&mut invalid_client, &mut [0; 16]).unwrap_or(0), 0);
    valid_client.write_all(&call(1, &LOOKUP, "select 1")).expect("sent");
    assert_eq!(answer(&mut valid_client).1, "served");
}

#[test]
fn sigterm_answers_accepted_requests_and_exits_successfully() {
    let (address, log) =
        resp_engine(|parts| if parts[0] == "want" { Some(String::new()) } else { served(parts) });
    let mut gateway = Gateway::start(&config(&[address], "resp", 20_000));
    let mut client = gateway.thrift_client();
    client
        .write_all(&call(1, &[("verb", "lookup"), ("txn", "a1"), ("limit", "20000")], "select 1"))
        .expect("sent");
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "want"));
    gateway.terminate();
    assert_eq!(answer(&mut client).1, "overloaded");
    assert!(gateway.child.wait().expect("the process exits").success());
}

/// After a reload the gateway polls only the new name service, and open connections and requests are not affected. Guards
/// against SIGHUP ending the program.
#[test]
fn sighup_switches_the_name_service_and_keeps_open_connections() {
    let services = [(); 2].map(|()| UdpSocket::bind("127.0.0.1:0").expect("a port"));
    for service in &services {
        service.set_read_timeout(Some(std::time::Duration::from_secs(30))).expect("set");
    }
    let service_address = |i: usize| services[i].local_addr().expect("bound");
    let next_poll = |i: usize| {
        let mut bytes = [0; 512];
        let (len, from) = services[i].recv_from(&mut bytes).expect("polled");
        (bytes[..len].to_vec(), from)
    };
    let (first_engine, _) = resp_engine(served);
    let (second_engine, log) = resp_engine(served);
    let config_with_service = |i: usize| {
        config(&[first_engine], "resp", 5000).replacen(
            '{',
            &format!("{{\"names\":\"{}\",", service_address(i)),
            1,
        )
    };
    let gateway = Gateway::start(&config_with_service(0));
    let mut client = gateway.thrift_client();
    let mut send_lookup = |seq| {
        client.write_all(&call(seq, &LOOKUP, "select 1")).expect("sent");
        answer(&mut client)
    };
    assert_eq!(send_lookup(1).1, "served");
    // An invalid configuration changes nothing: the old address is still polled.
    gateway.reload("{");
    let old_poll = [(); 3].map(|()| next_poll(0))[2].clone();
    gateway.reload(&config_with_service(1));
    let (poll, from) = next_poll(1);
    // The old name service answers its own poll late, with a higher serial and an empty list, which must be ignored.
    services[0].send_to(&names_answer(&old_poll.0, 1000, &[]), old_poll.1).expect("sent");
    services[1].send_to(&names_answer(&poll, 99, &[("s-9", second_engine)]), from).expect("sent");
    while log.lock().expect("log").iter().all(|parts| parts[0] != "want") {
        assert_eq!(send_lookup(2).1, "served");
    }
}

#[rstest]
#[case("", "not JSON")]
#[case("{\"settings\":{}}", "entropy")]
#[case("{\"settings\":{\"balancers\":1},\"seed\":\"1\"}", "classes")]
fn invalid_configuration_is_reported_on_stderr(#[case] text: &str, #[case] _expected: &str) {
    let file = std::env::temp_dir().join(format!("starlingplank-bad-{}-{}", std::process::id(), text.len()));
    std::fs::write(&file, text).expect("a file");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_starlingplank"))
        .args(["check-config", "--config"])
        .arg(&file)
        .output()
        .expect("the program runs");
    std::fs::remove_file(file).expect("removed");
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).starts_with("starlingplank: "));
}

/// Returns whether the gateway closes the connection before the read times out.
fn is_closed(stream: &mut std::net::TcpStream) -> bool {
    match std::io::Read::read(stream, &mut [0; 16]) {
        Ok(read) => read == 0,
        Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
    }
}

/// At the connection limit, the gateway closes the connection that has been idle longest to accept a new one. Guards against new
/// connections being rejected instead.
#[test]
fn connection_limit_closes_the_longest_idle_connection_for_a_new_one() {
    let (address, _) = resp_engine(served);
    let gateway =
        Gateway::start(&config(&[address], "resp", 5000).replace("\"sockets\":256", "\"sockets\":20"));
    let send_lookup = |client: &mut std::net::TcpStream, seq, n| {
        let txn = format!("{n:016x}");
        let fields = [("verb", "lookup"), ("txn", &*txn), ("limit", "5000")];
        client.write_all(&call(seq, &fields, "select 1")).expect("sent");
        answer(client).1
    };
    let mut clients: Vec<_> = (1..=30)
        .map(|n| {
            let mut client = gateway.thrift_client();
            assert_eq!(send_lookup(&mut client, 1, n), "served", "client {n}");
            client
        })
        .collect();
    assert!(is_closed(&mut clients[0]), "the first connection has been idle longest and is closed");
    assert_eq!(send_lookup(&mut clients[29], 2, 31), "served");
}

#[rstest]
#[case::nothing_sent(vec![])]
#[case::partial_frame(call(1, &LOOKUP, "select 1")[..20].to_vec())]
#[case::cancel_of_an_unknown_call(cancel(7))]
fn silent_client_is_disconnected(#[case] bytes: Vec<u8>) {
    let (address, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[address], "resp", 5000));
    let mut client = gateway.thrift_client();
    client.write_all(&bytes).expect("sent");
    assert!(is_closed(&mut client), "the gateway closes the connection before the read times out");
}

/// An invalid or missing field fails the request. Guards against such a field being ignored and the rest being served.
#[rstest]
#[case(&[("verb", "lookup"), ("txn", "a1"), ("limit", "NaN")])]
#[case(&[("verb", "lookup"), ("txn", "a1"), ("limit", "-5")])]
#[case(&[("verb", "lookup"), ("txn", "a1"), ("limit", "900000000")])]
#[case(&[("verb", "lookup"), ("txn", "a1")])]
#[case(&[("verb", "lookup"), ("txn", "a1"), ("limit", "500"), ("cpu", "much")])]
#[case(&[("verb", "lookup"), ("txn", "a1"), ("limit", "500"), ("mem", "1e300")])]
#[case(&[("verb", "lookup"), ("limit", "500")])]
#[case(&[("verb", "lookup"), ("txn", "a,b=c"), ("limit", "500")])]
#[case(&[("verb", "none"), ("txn", "a1"), ("limit", "500")])]
#[case(&[("verb", "load"), ("txn", "a1"), ("limit", "500")])]
fn request_with_an_invalid_field_is_an_error_and_is_never_forwarded(#[case] fields: &[(&str, &str)]) {
    let (address, log) = resp_engine(served);
    let gateway = Gateway::start(&config(&[address], "resp", 5000));
    let mut client = gateway.thrift_client();
    client.write_all(&call(1, fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "internal");
    assert!(log.lock().expect("log").iter().all(|parts| parts[0] != "want"));
}

/// Two open requests with one sequence number or name are ambiguous: the engine's answer to one would be taken for the other's.
#[rstest]
#[case::sequence_number(1, "00000000000000a2")]
#[case::request_name(2, "00000000000000a1")]
fn duplicate_sequence_number_or_request_name_closes_its_connection(#[case] seq: i32, #[case] txn: &str) {
    let (address, log) =
        resp_engine(|parts| if parts[0] == "want" { Some(String::new()) } else { served(parts) });
    let gateway = Gateway::start(&config(&[address], "resp", 5000));
    let (mut client, mut other) = (gateway.thrift_client(), gateway.thrift_client());
    client.write_all(&call(1, &LOOKUP, "select 1")).expect("sent");
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "want"));
    other.write_all(&call(1, &LOOKUP, "select 2")).expect("sent");
    assert_eq!(
        answer(&mut other).1,
        "internal",
        "a duplicate name on another connection fails that request alone"
    );
    let fields = [("verb", "lookup"), ("txn", txn), ("limit", "5000")];
    client.write_all(&call(seq, &fields, "select 2")).expect("sent");
    assert!(is_closed(&mut client));
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "never_mind"));
}

/// Sequence numbers start at 1 and increase on each connection. A duplicate of another client's request arrives on a connection
/// that starts at another number: if accepted, it would add to the retry budget and spend it.
#[rstest]
#[case::starts_above_one(&[475])]
#[case::starts_at_zero(&[0])]
#[case::decreases(&[1, 3, 2])]
#[case::negative(&[-1])]
fn call_with_an_out_of_order_number_is_never_forwarded_and_closes_its_connection(#[case] numbers: &[i32]) {
    let (address, log) = resp_engine(served);
    let gateway = Gateway::start(&config(&[address], "resp", 5000));
    let mut client = gateway.thrift_client();
    let (out_of_order, before) = numbers.split_last().expect("a number");
    for (n, seq) in before.iter().enumerate() {
        let txn = format!("{n:016x}");
        let fields = [("verb", "lookup"), ("txn", &*txn), ("limit", "5000")];
        client.write_all(&call(*seq, &fields, "select 1")).expect("sent");
        assert_eq!(answer(&mut client).1, "served");
    }
    client.write_all(&call(*out_of_order, &LOOKUP, "select 1")).expect("sent");
    assert!(is_closed(&mut client));
    let mut other = gateway.thrift_client();
    other.write_all(&call(1, &LOOKUP, "select 1")).expect("sent");
    assert_eq!(answer(&mut other).1, "served");
    let attempts_sent = log.lock().expect("log").iter().filter(|parts| parts[0] == "want").count();
    assert_eq!(attempts_sent, before.len() + 1);
}

const ID: &str = "00000000000000a1";

/// An invalid answer closes its engine connection. Guards against failing its request alone while the connection stays in use,
/// and against serving the answer unchecked.
#[rstest]
#[case::noise("\u{1}\u{2}noise\r\n".into())]
#[case::unknown_kind(reply(&[ID, "maybe", "-", ""]))]
#[case::body_of_three_gigabytes(format!("*4\r\n$16\r\n{ID}\r\n$6\r\nserved\r\n$7\r\npages=1\r\n$3000000000\r\n"))]
#[case::length_too_small(reply(&[ID, "served", "pages=1", "a\tb\tc\n"]).replace("$6\r\na", "$5\r\na"))]
#[case::no_page_count(reply(&[ID, "served", "cost=5", "a\tb\tc\n"]))]
#[case::incomplete_row(reply(&[ID, "served", "pages=1", "a\tb\tc\nd\t"]))]
#[case::page_out_of_range(reply(&[ID, "served", "pages=2", "a\tb\tc\n"]) + &reply(&[ID, "rows", "page=9", "d\te\tf\n"]))]
#[case::truncated(format!("*4\r\n$16\r\n{}", &ID[..5]))]
fn invalid_answer_closes_its_connection_and_is_never_served(#[case] invalid_answer: String) {
    let (address, log) = resp_engine(move |parts| match parts[0].as_str() {
        "want" if parts[1] == ID => Some(invalid_answer.clone()),
        _ => Some(String::new()),
    });
    let gateway = Gateway::start(&config(&[address], "resp", 60_000));
    let mut client = gateway.thrift_client();
    let fields = [("verb", "lookup"), ("txn", "00000000000000a2"), ("limit", "60000")];
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "want"));
    let fields = [("verb", "load"), ("txn", ID), ("limit", "60000"), ("unique", "k1")];
    client.write_all(&call(2, &fields, "insert into s_1.t")).expect("sent");
    // Both requests were in flight on the connection, so both end with it and are answered.
    let kinds = [answer(&mut client).1, answer(&mut client).1];
    assert!(!kinds.contains(&"served"), "{kinds:?}");
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "closed"));
}

/// A duplicate page is ignored. Guards against a duplicate of the first page failing its request although all pages arrive.
#[test]
fn duplicate_pages_and_answers_to_unknown_requests_are_ignored() {
    let (address, log) = resp_engine(|parts| {
        Some(match parts[0].as_str() {
            "want" => {
                let first = reply(&[&parts[1], "served", "pages=2,cost=5", "a\tb\tc\n"]);
                reply(&["00000000000000ff", "served", "pages=1", "x\ty\tz\n"]) + &first + &first
            }
            "turn" => reply(&[&parts[1], "rows", "page=1", "d\te\tf\n"]).repeat(2),
            _ => return served(parts),
        })
    });
    let gateway = Gateway::start(&with_long_latency_objectives(&config(&[address], "resp", 60_000)));
    let mut client = gateway.thrift_client();
    let fields = [("verb", "lookup"), ("txn", ID), ("limit", "60000")];
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client), (1, "served", "a\tb\tc\nd\te\tf\n".into()));
    client.write_all(&health(2)).expect("sent");
    assert_eq!(answer(&mut client).0, 2);
    assert!(log.lock().expect("log").iter().all(|parts| parts[0] != "closed"));
}

/// Answers as an engine that sends the first page of a two-page result and withholds the second.
fn first_page_only(parts: &[String]) -> Option<String> {
    Some(match parts[0].as_str() {
        "want" => reply(&[&parts[1], "served", "pages=2,cost=5", "a\tb\tc\n"]),
        _ => String::new(),
    })
}

/// Only the timeout for a missing page can end the attempt here. Guards against the request waiting until its deadline.
#[test]
fn withheld_page_ends_its_attempt() {
    let (address, log) = resp_engine(first_page_only);
    let text = without_retry_budget(&with_long_latency_objectives(&config(&[address], "resp", 60_000)), 1);
    let gateway = Gateway::start(&text);
    let mut client = gateway.thrift_client();
    let fields = [("verb", "lookup"), ("txn", ID), ("limit", "60000")];
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "overloaded");
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "shut"));
    let log = log.lock().expect("log");
    let commands: Vec<&str> = log.iter().map(|parts| parts[0].as_str()).collect();
    assert_eq!(commands, ["want", "turn", "shut"]);
}

/// A request is cancelled after its first page has arrived: the gateway notifies the engine to release the pages, not to stop
/// the query.
#[test]
fn cancel_between_pages_releases_the_result() {
    let (address, log) = resp_engine(first_page_only);
    let gateway = Gateway::start(&with_long_latency_objectives(&config(&[address], "resp", 60_000)));
    let mut client = gateway.thrift_client();
    let fields = [("verb", "lookup"), ("txn", ID), ("limit", "60000")];
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "turn"));
    client.write_all(&cancel(1)).expect("sent");
    wait_for_log(&log, |log| log.iter().any(|parts| parts[0] == "shut" && parts[1] == ID));
    assert!(log.lock().expect("log").iter().all(|parts| parts[0] != "never_mind"));
}
