//! Clients that write slowly: the gateway waits for a message as long as further parts of it arrive, and answers it.

mod stand;

use stand::requests::*;
use stand::*;
use std::io::Write;
use std::thread::sleep;
use std::time::Duration;

/// Time without a received byte after which the gateway closes a client connection.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);

/// The first half of the message arrives within the silence limit of a new connection, the second half after it.
#[test]
fn message_that_begins_late_on_a_new_connection_is_answered() {
    let (address, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[address], "resp", 20_000));
    let mut client = gateway.thrift_client();
    let message = lookup(1, 1);
    let (first_half, second_half) = message.split_at(message.len() / 2);
    sleep(MAX_SILENCE * 4 / 5);
    client.write_all(first_half).expect("sent");
    sleep(MAX_SILENCE * 2 / 5);
    client.write_all(second_half).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
}

/// Each pause between two parts of the message is below the silence limit, all of them together are above it.
#[test]
fn message_that_arrives_in_parts_is_answered() {
    const PARTS: usize = 4;
    let (address, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[address], "resp", 20_000));
    let mut client = gateway.thrift_client();
    let message = lookup(1, 1);
    for part in message.chunks(message.len().div_ceil(PARTS)) {
        client.write_all(part).expect("sent");
        sleep(MAX_SILENCE * 2 / 5);
    }
    assert_eq!(answer(&mut client).1, "served");
}

/// At the connection limit the longest idle connection holds half a message: the gateway closes another one.
#[test]
fn connection_limit_closes_no_connection_with_an_incomplete_message() {
    // A configured limit of 20 descriptors leaves the minimum of 16 for connections, and clients may use three fifths of them.
    const CAPACITY: usize = 9;
    let (address, _) = resp_engine(served);
    let text = with_replacement(&config(&[address], "resp", 20_000), r#""sockets":256"#, r#""sockets":20"#);
    let gateway = Gateway::start(&text);
    let mut incomplete = gateway.thrift_client();
    incomplete.write_all(&health(1)).expect("sent");
    assert_eq!(answer(&mut incomplete).0, 1);
    let message = lookup(2, 1);
    let (first_half, second_half) = message.split_at(message.len() / 2);
    incomplete.write_all(first_half).expect("sent");
    let clients: Vec<_> = (0..CAPACITY + 4)
        .map(|n| {
            let mut client = gateway.thrift_client();
            client.write_all(&lookup(1, 100 + n)).expect("sent");
            assert_eq!(answer(&mut client).1, "served", "client {n}");
            client
        })
        .collect();
    incomplete.write_all(second_half).expect("sent");
    assert_eq!(answer(&mut incomplete).1, "served");
    drop(clients);
}
