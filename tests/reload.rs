//! SIGHUP while the configuration file cannot be read.

mod stand;

use stand::requests::*;
use stand::*;
use std::cell::Cell;
use std::fs;
use std::io::Write;

/// Guards against a lost reload: the file is missing when SIGHUP arrives and is restored a moment later, so the reload must be
/// tried again.
#[test]
fn reload_is_retried_until_its_file_can_be_read() {
    let (at, _) = resp_engine(served);
    let (first, list) = list_service();
    *list.lock().expect("list") = Some((1, vec![("s-0", at, false)]));
    let (second, list) = list_service();
    let text = |names: std::net::SocketAddr| {
        with_replacement(
            &config(&[at], "resp", 20_000),
            r#""seed":"7""#,
            &format!(r#""seed":"7","names":"{names}""#),
        )
    };
    let mut gateway = Gateway::start(&text(first));
    // The second service lists another engine, which refuses connections.
    let (_listener, refuses) = refused_address();
    *list.lock().expect("list") = Some((2, vec![("s-1", refuses, false)]));
    assert_served(gateway.thrift_client(), 1);
    fs::remove_file(&gateway.file).expect("the file existed");
    gateway.signal("-HUP");
    // Requests sent after the signal are answered after the first attempt of the reload.
    assert_served(gateway.thrift_client(), 2);
    assert_served(gateway.thrift_client(), 3);
    let new = gateway.file.with_extension("new");
    fs::write(&new, text(second)).expect("a file");
    fs::rename(&new, &gateway.file).expect("renamed");
    let last_lookup = Cell::new(3);
    wait_until(|| {
        last_lookup.set(last_lookup.get() + 1);
        let mut client = gateway.thrift_client();
        client.write_all(&lookup(1, last_lookup.get())).expect("sent");
        answer(&mut client).1 != "served"
    });
    terminate_and_expect_success(&mut gateway);
}
