//! Endpoint lists in datagrams that are larger than usual.

mod stand;

use rstest::rstest;
use stand::requests::*;
use stand::*;
use std::io::Write;
use std::net::UdpSocket;

/// Hundreds of engines in one datagram, up to about the number that fits: the gateway must receive the whole list. Otherwise no
/// request is served, as the engine in the configuration refuses connections.
#[rstest]
#[case::three_hundred(300)]
#[case::eight_hundred(800)]
fn list_of_hundreds_of_engines_in_one_datagram_is_received(#[case] engines: usize) {
    let (address, _) = resp_engine(served);
    let (_refusing_socket, refusing_address) = refused_address();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let name_service = socket.local_addr().expect("bound");
    let ids: Vec<String> = (0..engines).map(|n| format!("e-{n:04}")).collect();
    std::thread::spawn(move || {
        let mut request = [0; 512];
        while let Ok((len, from)) = socket.recv_from(&mut request) {
            let list: Vec<_> = ids.iter().map(|id| (id.as_str(), address)).collect();
            let _ = socket.send_to(&names_answer(&request[..len], 2, &list), from);
        }
    });
    let text = with_replacement(
        &config(&[refusing_address], "resp", 20_000),
        r#""seed":"7""#,
        &format!(r#""seed":"7","names":"{name_service}""#),
    );
    let gateway = Gateway::start(&text);
    let mut client = gateway.thrift_client();
    let is_served = (1..100).any(|n| {
        client.write_all(&lookup(n, n as usize)).expect("sent");
        answer(&mut client).1 == "served"
    });
    assert!(is_served, "the list was not received: none of 99 requests was served");
}
