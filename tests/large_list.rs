//! Lists of engines that are larger than most datagrams.

mod stand;

use rstest::rstest;
use stand::requests::*;
use stand::*;
use std::io::Write;
use std::net::UdpSocket;

/// As many engines as one datagram can tell of, by some hundreds.
#[rstest]
#[case::three_hundred(300)]
#[case::eight_hundred(800)]
fn list_of_hundreds_of_engines_in_one_datagram_is_heard(#[case] engines: usize) {
    let (at, _) = resp_engine(served);
    let (_held, closed) = refusing();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let names = socket.local_addr().expect("bound");
    let ids: Vec<String> = (0..engines).map(|n| format!("e-{n:04}")).collect();
    std::thread::spawn(move || {
        let mut question = [0; 512];
        while let Ok((len, from)) = socket.recv_from(&mut question) {
            let list: Vec<_> = ids.iter().map(|id| (id.as_str(), at)).collect();
            let _ = socket.send_to(&names_answer(&question[..len], 2, &list), from);
        }
    });
    let text = changed(
        &config(&[closed], "resp", 20_000),
        r#""seed":"7""#,
        &format!(r#""seed":"7","names":"{names}""#),
    );
    let gateway = Gateway::start(&text);
    let mut client = gateway.client();
    let is_served = (1..100).any(|n| {
        client.write_all(&lookup(n, n as usize)).expect("sent");
        answer(&mut client).1 == "served"
    });
    assert!(is_served, "the list is never heard");
}
