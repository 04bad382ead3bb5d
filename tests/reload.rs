//! SIGHUP at a moment at which the configuration cannot be read.

mod stand;

use stand::requests::*;
use stand::*;
use std::cell::Cell;
use std::fs;
use std::io::Write;

/// The file is missing when the signal arrives, and there a moment later: the reload is tried again.
#[test]
fn reload_that_cannot_read_its_file_for_a_moment_is_made_once_it_can() {
    let (at, _) = resp_engine(served);
    let (first, list) = list_service();
    *list.lock().expect("list") = Some((1, vec![("s-0", at, false)]));
    let (second, list) = list_service();
    let text = |names: std::net::SocketAddr| {
        changed(&config(&[at], "resp", 20_000), r#""seed":"7""#, &format!(r#""seed":"7","names":"{names}""#))
    };
    let mut gateway = Gateway::start(&text(first));
    // The second service lists another engine, which refuses connections.
    let (_listener, refuses) = refusing();
    *list.lock().expect("list") = Some((2, vec![("s-1", refuses, false)]));
    is_served(gateway.client(), 1);
    fs::remove_file(&gateway.file).expect("it was there");
    gateway.signal("-HUP");
    // Requests that are sent after the signal are answered after the reload was tried.
    is_served(gateway.client(), 2);
    is_served(gateway.client(), 3);
    let new = gateway.file.with_extension("new");
    fs::write(&new, text(second)).expect("a file");
    fs::rename(&new, &gateway.file).expect("renamed");
    let last_lookup = Cell::new(3);
    until_true(|| {
        last_lookup.set(last_lookup.get() + 1);
        let mut client = gateway.client();
        client.write_all(&lookup(1, last_lookup.get())).expect("sent");
        answer(&mut client).1 != "served"
    });
    ends_well(&mut gateway);
}
