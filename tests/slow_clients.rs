//! Clients that write slowly: a message that has begun and goes on is waited for, and is answered.

mod stand;

use stand::requests::*;
use stand::*;
use std::io::Write;
use std::thread::sleep;
use std::time::Duration;

/// A client that sends nothing for longer is closed.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);

/// The first byte comes late, the last one after the time in which a new connection has to send its first.
#[test]
fn message_that_begins_late_on_a_new_connection_is_waited_for() {
    let (at, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[at], "resp", 20_000));
    let mut client = gateway.client();
    let message = lookup(1, 1);
    let (first, rest) = message.split_at(message.len() / 2);
    sleep(MAX_SILENCE * 4 / 5);
    client.write_all(first).expect("sent");
    sleep(MAX_SILENCE * 2 / 5);
    client.write_all(rest).expect("sent");
    assert_eq!(answer(&mut client).1, "served");
}

/// No pause between two pieces is long, and all together take longer than a client may be silent.
#[test]
fn message_that_comes_in_pieces_is_waited_for_as_long_as_it_goes_on() {
    const PIECES: usize = 4;
    let (at, _) = resp_engine(served);
    let gateway = Gateway::start(&config(&[at], "resp", 20_000));
    let mut client = gateway.client();
    let message = lookup(1, 1);
    for piece in message.chunks(message.len().div_ceil(PIECES)) {
        client.write_all(piece).expect("sent");
        sleep(MAX_SILENCE * 2 / 5);
    }
    assert_eq!(answer(&mut client).1, "served");
}

/// The connection that has been idle longest has half a message on it: another one is closed.
#[test]
fn full_house_closes_no_connection_on_which_a_message_has_begun() {
    // Of 20 descriptors at least 16 count, and clients have three fifths of them.
    const CAPACITY: usize = 9;
    let (at, _) = resp_engine(served);
    let text = changed(&config(&[at], "resp", 20_000), r#""sockets":256"#, r#""sockets":20"#);
    let gateway = Gateway::start(&text);
    let mut incomplete = gateway.client();
    incomplete.write_all(&health(1)).expect("sent");
    assert_eq!(answer(&mut incomplete).0, 1);
    let message = lookup(2, 1);
    let (first, rest) = message.split_at(message.len() / 2);
    incomplete.write_all(first).expect("sent");
    let stayed: Vec<_> = (0..CAPACITY + 4)
        .map(|n| {
            let mut client = gateway.client();
            client.write_all(&lookup(1, 100 + n)).expect("sent");
            assert_eq!(answer(&mut client).1, "served", "client {n}");
            client
        })
        .collect();
    incomplete.write_all(rest).expect("sent");
    assert_eq!(answer(&mut incomplete).1, "served");
    drop(stayed);
}
