//! One test for each rule, with the program, its clients and its engines on real sockets.

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
fn request_goes_on_unchanged_and_all_pages_come_back_in_order() {
    let (at, log) = resp_engine(|parts| {
        Some(match (parts[0].as_str(), parts.get(2).map(String::as_str)) {
            ("want", _) => reply(&[&parts[1], "served", "pages=3,cost=5,need=8", "1\t\t\n"]),
            // The second page comes after the third.
            ("turn", Some("1")) => String::new(),
            ("turn", _) => {
                reply(&[&parts[1], "rows", "page=2", "3\t\t\n"])
                    + &reply(&[&parts[1], "rows", "page=1", "2\t\t\n"])
            }
            _ => return served(parts),
        })
    });
    let gateway = Gateway::start(&config(&[at], "resp", 5000));
    let mut client = gateway.client();
    let fields = [("verb", "load"), ("txn", "00000000000000a1"), ("limit", "4000"), ("unique", "k1")];
    client.write_all(&call(1, &fields, "insert into s_1.t\r\n")).expect("sent");
    assert_eq!(answer(&mut client), (1, "served", "1\t\t\n2\t\t\n3\t\t\n".into()));
    let log = log.lock().expect("log");
    let want = log.iter().find(|parts| parts[0] == "want").expect("sent");
    assert_eq!((want[1].as_str(), want[3].as_str()), ("00000000000000a1", "insert into s_1.t\r\n"));
    assert!(want[2].starts_with("queue=load,budget=") && want[2].contains(",uniq=k1"), "{want:?}");
}

#[test]
fn lost_page_is_an_error_that_may_have_run_and_a_safe_request_goes_out_again() {
    let attempts = std::sync::atomic::AtomicUsize::new(0);
    let (at, log) = resp_engine(move |parts| {
        let first = || attempts.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 0;
        Some(match parts[0].as_str() {
            "want" if first() => reply(&[&parts[1], "served", "pages=2,cost=5,need=8", "1\t\t\n"]),
            "turn" => reply(&[&parts[1], "crashed", "-", ""]),
            _ => return served(parts),
        })
    });
    let gateway = Gateway::start(&config(&[at], "resp", 5000));
    let mut client = gateway.client();
    client.write_all(&call(1, &LOOKUP, "select 1")).expect("sent");
    let (_, kind, body) = answer(&mut client);
    // The only engine is ejected for a while: the answer is a rejection or the rows of the retry, never a part of them.
    assert!(kind == "overloaded" && body.contains("later") || body == "a\tb\tc\n", "{kind} {body}");
    assert!(log.lock().expect("log").iter().filter(|parts| parts[0] == "want").count() <= 2);
}

#[test]
fn refused_connection_ends_in_a_refusal_with_a_time_to_come_back() {
    let closed = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let gateway = Gateway::start(&config(&[closed], "resp", 5000));
    let mut client = gateway.client();
    client.write_all(&call(1, &LOOKUP, "select 1")).expect("sent");
    let (seq, kind, body) = answer(&mut client);
    assert_eq!((seq, kind), (1, "overloaded"));
    assert!(body.contains("later"));
}

#[test]
fn deadline_ends_an_attempt_and_is_answered_once() {
    let (at, log) = resp_engine(|parts| if parts[0] == "want" { Some(String::new()) } else { served(parts) });
    let gateway = Gateway::start(&config(&[at], "resp", 5000));
    let mut client = gateway.client();
    client
        .write_all(&call(1, &[("verb", "lookup"), ("txn", "a1"), ("limit", "300")], "select 1"))
        .expect("sent");
    let (seq, kind, _) = answer(&mut client);
    assert!(seq == 1 && kind != "served", "{kind}");
    until(&log, |log| log.iter().any(|parts| parts[0] == "never_mind"));
    // The next frame answers the next call; there is no second answer.
    client.write_all(&health(2)).expect("sent");
    assert_eq!(answer(&mut client).0, 2);
}

#[rstest]
#[case::cancel(true)]
#[case::close(false)]
fn client_that_leaves_gives_its_attempts_up(#[case] sends_cancel: bool) {
    let (at, log) = resp_engine(|parts| if parts[0] == "want" { Some(String::new()) } else { served(parts) });
    let gateway = Gateway::start(&config(&[at], "resp", 20_000));
    let mut client = gateway.client();
    client.write_all(&call(1, &LOOKUP, "select 1")).expect("sent");
    until(&log, |log| log.iter().any(|parts| parts[0] == "want"));
    if sends_cancel {
        client.write_all(&cancel(1)).expect("sent");
    } else {
        drop(client);
    }
    until(&log, |log| log.iter().any(|parts| parts[0] == "never_mind" && parts[1] == "00000000000000a1"));
}

#[rstest]
#[case::too_long(vec![0x7f, 0xff, 0xff, 0xff, 0])]
#[case::no_thrift(vec![0, 0, 0, 8, 1, 2, 3, 4, 5, 6, 7, 8])]
fn bad_frame_closes_its_connection_alone(#[case] bytes: Vec<u8>) {
    let (at, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[at], "resp", 5000));
    let (mut bad, mut good) = (gateway.client(), gateway.client());
    bad.write_all(&bytes).expect("sent");
    assert_eq!(std::io::Read::read(&mut bad, &mut [0; 16]).unwrap_or(0), 0);
    good.write_all(&call(1, &LOOKUP, "select 1")).expect("sent");
    assert_eq!(answer(&mut good).1, "served");
}

#[test]
fn sigterm_answers_what_was_taken_and_ends_well() {
    let (at, log) = resp_engine(|parts| if parts[0] == "want" { Some(String::new()) } else { served(parts) });
    let mut gateway = Gateway::start(&config(&[at], "resp", 20_000));
    let mut client = gateway.client();
    client
        .write_all(&call(1, &[("verb", "lookup"), ("txn", "a1"), ("limit", "20000")], "select 1"))
        .expect("sent");
    until(&log, |log| log.iter().any(|parts| parts[0] == "want"));
    gateway.terminate();
    assert_eq!(answer(&mut client).1, "overloaded");
    assert!(gateway.child.wait().expect("it ends").success());
}

/// A reload polls the new name service alone, and disturbs nothing that is open. SIGHUP once ended the program.
#[test]
fn sighup_moves_the_name_service_and_keeps_all_else() {
    let names = [(); 2].map(|()| UdpSocket::bind("127.0.0.1:0").expect("a port"));
    for service in &names {
        service.set_read_timeout(Some(std::time::Duration::from_secs(30))).expect("set");
    }
    let at = |i: usize| names[i].local_addr().expect("bound");
    let next_poll = |i: usize| {
        let mut bytes = [0; 512];
        let (len, from) = names[i].recv_from(&mut bytes).expect("polled");
        (bytes[..len].to_vec(), from)
    };
    let (first, _) = resp_engine(served);
    let (second, log) = resp_engine(served);
    let with =
        |i: usize| config(&[first], "resp", 5000).replacen('{', &format!("{{\"names\":\"{}\",", at(i)), 1);
    let gateway = Gateway::start(&with(0));
    let mut client = gateway.client();
    let mut send_lookup = |seq| {
        client.write_all(&call(seq, &LOOKUP, "select 1")).expect("sent");
        answer(&mut client)
    };
    assert_eq!(send_lookup(1).1, "served");
    // An invalid configuration changes nothing: the old address is still polled.
    gateway.reload("{");
    let old = [(); 3].map(|()| next_poll(0))[2].clone();
    gateway.reload(&with(1));
    let (poll, from) = next_poll(1);
    // The old address still answers its own poll, with a later serial and an empty list.
    names[0].send_to(&names_answer(&old.0, 1000, &[]), old.1).expect("sent");
    names[1].send_to(&names_answer(&poll, 99, &[("s-9", second)]), from).expect("sent");
    while log.lock().expect("log").iter().all(|parts| parts[0] != "want") {
        assert_eq!(send_lookup(2).1, "served");
    }
}

#[rstest]
#[case("", "not JSON")]
#[case("{\"settings\":{}}", "entropy")]
#[case("{\"settings\":{\"balancers\":1},\"seed\":\"1\"}", "classes")]
fn bad_configuration_is_said_plainly(#[case] text: &str, #[case] _names: &str) {
    let file = std::env::temp_dir().join(format!("starlingplank-bad-{}-{}", std::process::id(), text.len()));
    std::fs::write(&file, text).expect("a file");
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_starlingplank"))
        .args(["check-config", "--config"])
        .arg(&file)
        .output()
        .expect("it runs");
    std::fs::remove_file(file).expect("removed");
    assert!(!out.status.success());
    assert!(String::from_utf8_lossy(&out.stderr).starts_with("starlingplank: "));
}

fn closed(stream: &mut std::net::TcpStream) -> bool {
    match std::io::Read::read(stream, &mut [0; 16]) {
        Ok(read) => read == 0,
        Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
    }
}

/// At the connection limit, the connection that has been idle longest is closed for a new one. New ones were once rejected.
#[test]
fn full_house_closes_what_has_been_idle_longest_and_serves_what_is_new() {
    let (at, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[at], "resp", 5000).replace("\"sockets\":256", "\"sockets\":20"));
    let send_lookup = |client: &mut std::net::TcpStream, seq, n| {
        let txn = format!("{n:016x}");
        let fields = [("verb", "lookup"), ("txn", &*txn), ("limit", "5000")];
        client.write_all(&call(seq, &fields, "select 1")).expect("sent");
        answer(client).1
    };
    let mut stayed: Vec<_> = (1..=30)
        .map(|n| {
            let mut client = gateway.client();
            assert_eq!(send_lookup(&mut client, 1, n), "served", "client {n}");
            client
        })
        .collect();
    assert!(closed(&mut stayed[0]), "the first has been idle longest");
    assert_eq!(send_lookup(&mut stayed[29], 2, 31), "served");
}

#[rstest]
#[case::silent(vec![])]
#[case::half_said(call(1, &LOOKUP, "select 1")[..20].to_vec())]
#[case::asks_for_nothing(cancel(7))]
fn client_that_keeps_silent_is_closed(#[case] bytes: Vec<u8>) {
    let (at, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[at], "resp", 5000));
    let mut client = gateway.client();
    client.write_all(&bytes).expect("sent");
    assert!(closed(&mut client), "a close, not a read that timed out");
}

/// An invalid or missing field fails the request. Such fields were once ignored, and the rest was served.
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
fn request_that_cannot_be_used_is_an_error_and_never_leaves(#[case] fields: &[(&str, &str)]) {
    let (at, log) = resp_engine(served);
    let gateway = Gateway::start(&config(&[at], "resp", 5000));
    let mut client = gateway.client();
    client.write_all(&call(1, fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "internal");
    assert!(log.lock().expect("log").iter().all(|parts| parts[0] != "want"));
}

/// Two requests under one number or name are ambiguous: the engine's answer to one would pass for the other's.
#[rstest]
#[case::number(1, "00000000000000a2")]
#[case::name(2, "00000000000000a1")]
fn second_request_under_one_number_or_name_ends_its_connection(#[case] seq: i32, #[case] txn: &str) {
    let (at, log) = resp_engine(|parts| if parts[0] == "want" { Some(String::new()) } else { served(parts) });
    let gateway = Gateway::start(&config(&[at], "resp", 5000));
    let (mut client, mut other) = (gateway.client(), gateway.client());
    client.write_all(&call(1, &LOOKUP, "select 1")).expect("sent");
    until(&log, |log| log.iter().any(|parts| parts[0] == "want"));
    other.write_all(&call(1, &LOOKUP, "select 2")).expect("sent");
    assert_eq!(answer(&mut other).1, "internal", "another connection's is an error of its own");
    let fields = [("verb", "lookup"), ("txn", txn), ("limit", "5000")];
    client.write_all(&call(seq, &fields, "select 2")).expect("sent");
    assert!(closed(&mut client));
    until(&log, |log| log.iter().any(|parts| parts[0] == "never_mind"));
}

/// Numbers start at 1 and count up on each connection. A copy of another client's request arrives on a connection that
/// begins elsewhere: it would add to the retry budget, and spend it.
#[rstest]
#[case::begins_elsewhere(&[475])]
#[case::begins_at_none(&[0])]
#[case::goes_back(&[1, 3, 2])]
#[case::below_none(&[-1])]
fn call_whose_number_is_out_of_turn_never_leaves_and_ends_its_connection(#[case] numbers: &[i32]) {
    let (at, log) = resp_engine(served);
    let gateway = Gateway::start(&config(&[at], "resp", 5000));
    let mut client = gateway.client();
    let (out_of_turn, before) = numbers.split_last().expect("some");
    for (n, seq) in before.iter().enumerate() {
        let txn = format!("{n:016x}");
        let fields = [("verb", "lookup"), ("txn", &*txn), ("limit", "5000")];
        client.write_all(&call(*seq, &fields, "select 1")).expect("sent");
        assert_eq!(answer(&mut client).1, "served");
    }
    client.write_all(&call(*out_of_turn, &LOOKUP, "select 1")).expect("sent");
    assert!(closed(&mut client));
    let mut other = gateway.client();
    other.write_all(&call(1, &LOOKUP, "select 1")).expect("sent");
    assert_eq!(answer(&mut other).1, "served");
    let wants = log.lock().expect("log").iter().filter(|parts| parts[0] == "want").count();
    assert_eq!(wants, before.len() + 1);
}

const ID: &str = "00000000000000a1";

/// An invalid answer ends its connection. Once it failed its request alone, on a connection that stayed in use, or was
/// served as it was.
#[rstest]
#[case::noise("\u{1}\u{2}noise\r\n".into())]
#[case::unknown_word(reply(&[ID, "maybe", "-", ""]))]
#[case::three_gigabytes(format!("*4\r\n$16\r\n{ID}\r\n$6\r\nserved\r\n$7\r\npages=1\r\n$3000000000\r\n"))]
#[case::too_short(reply(&[ID, "served", "pages=1", "a\tb\tc\n"]).replace("$6\r\na", "$5\r\na"))]
#[case::no_pages(reply(&[ID, "served", "cost=5", "a\tb\tc\n"]))]
#[case::broken_row(reply(&[ID, "served", "pages=1", "a\tb\tc\nd\t"]))]
#[case::page_that_is_none(reply(&[ID, "served", "pages=2", "a\tb\tc\n"]) + &reply(&[ID, "rows", "page=9", "d\te\tf\n"]))]
#[case::stops_short(format!("*4\r\n$16\r\n{}", &ID[..5]))]
fn spoilt_answer_ends_its_connection_and_is_never_served(#[case] spoilt: String) {
    let (at, log) = resp_engine(move |parts| match parts[0].as_str() {
        "want" if parts[1] == ID => Some(spoilt.clone()),
        _ => Some(String::new()),
    });
    let gateway = Gateway::start(&config(&[at], "resp", 60_000));
    let mut client = gateway.client();
    let fields = [("verb", "lookup"), ("txn", "00000000000000a2"), ("limit", "60000")];
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    until(&log, |log| log.iter().any(|parts| parts[0] == "want"));
    let fields = [("verb", "load"), ("txn", ID), ("limit", "60000"), ("unique", "k1")];
    client.write_all(&call(2, &fields, "insert into s_1.t")).expect("sent");
    // Both requests were on the connection, so both are answered.
    let kinds = [answer(&mut client).1, answer(&mut client).1];
    assert!(!kinds.contains(&"served"), "{kinds:?}");
    until(&log, |log| log.iter().any(|parts| parts[0] == "closed"));
}

/// A copy of a page is ignored. A copy of the first page once ended its request as an error, though all pages came.
#[test]
fn copies_and_answers_to_nobody_change_nothing() {
    let (at, log) = resp_engine(|parts| {
        Some(match parts[0].as_str() {
            "want" => {
                let first = reply(&[&parts[1], "served", "pages=2,cost=5", "a\tb\tc\n"]);
                reply(&["00000000000000ff", "served", "pages=1", "x\ty\tz\n"]) + &first + &first
            }
            "turn" => reply(&[&parts[1], "rows", "page=1", "d\te\tf\n"]).repeat(2),
            _ => return served(parts),
        })
    });
    let gateway = Gateway::start(&never_late(&config(&[at], "resp", 60_000)));
    let mut client = gateway.client();
    let fields = [("verb", "lookup"), ("txn", ID), ("limit", "60000")];
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client), (1, "served", "a\tb\tc\nd\te\tf\n".into()));
    client.write_all(&health(2)).expect("sent");
    assert_eq!(answer(&mut client).0, 2);
    assert!(log.lock().expect("log").iter().all(|parts| parts[0] != "closed"));
}

/// An engine that sends the first page of two, and no other.
fn first_page_alone(parts: &[String]) -> Option<String> {
    Some(match parts[0].as_str() {
        "want" => reply(&[&parts[1], "served", "pages=2,cost=5", "a\tb\tc\n"]),
        _ => String::new(),
    })
}

/// Nothing but the timeout of a missing page ends the attempt. Its request once waited until its deadline.
#[test]
fn page_that_is_kept_back_ends_its_attempt() {
    let (at, log) = resp_engine(first_page_alone);
    let text = without_retry_budget(&never_late(&config(&[at], "resp", 60_000)), 1);
    let gateway = Gateway::start(&text);
    let mut client = gateway.client();
    let fields = [("verb", "lookup"), ("txn", ID), ("limit", "60000")];
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    assert_eq!(answer(&mut client).1, "overloaded");
    until(&log, |log| log.iter().any(|parts| parts[0] == "shut"));
    let log = log.lock().expect("log");
    let words: Vec<&str> = log.iter().map(|parts| parts[0].as_str()).collect();
    assert_eq!(words, ["want", "turn", "shut"]);
}

/// A request is cancelled after its first page has arrived: the engine is notified to release the pages, not to stop the
/// query.
#[test]
fn withdrawal_between_pages_releases_the_result() {
    let (at, log) = resp_engine(first_page_alone);
    let gateway = Gateway::start(&never_late(&config(&[at], "resp", 60_000)));
    let mut client = gateway.client();
    let fields = [("verb", "lookup"), ("txn", ID), ("limit", "60000")];
    client.write_all(&call(1, &fields, "select 1")).expect("sent");
    until(&log, |log| log.iter().any(|parts| parts[0] == "turn"));
    client.write_all(&cancel(1)).expect("sent");
    until(&log, |log| log.iter().any(|parts| parts[0] == "shut" && parts[1] == ID));
    assert!(log.lock().expect("log").iter().all(|parts| parts[0] != "never_mind"));
}
