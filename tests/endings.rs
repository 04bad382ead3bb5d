//! What is still owed when something ends: each test forces one crossing by the order of bytes and events.

mod stand;

use rstest::rstest;
use rustix::event::{poll, PollFd, PollFlags};
use stand::*;
use starlingplank::limits::Limits;
use starlingplank::net::conn::{Common, Frame, Outbox};
use starlingplank::wire::Fields;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

fn lookup(txn: &str, limit: u32) -> Vec<u8> {
    call(1, &[("verb", "lookup"), ("txn", txn), ("limit", &limit.to_string())], "select 1")
}

fn served(parts: &[String]) -> Option<String> {
    Some(match parts[0].as_str() {
        "want" => reply(&[&parts[1], "served", "pages=1,cost=5,need=8", "a\tb\tc\n"]),
        "busy" => reply(&[&parts[1], "green", "use=util:0.1", ""]),
        _ => String::new(),
    })
}

fn wants(log: &Log, txn: &str) -> usize {
    log.lock().expect("log").iter().filter(|p| p[0] == "want" && p[1] == txn).count()
}

/// Waits until the other side has closed or reset the connection, whatever is still to be read.
fn until_closed(stream: &TcpStream) {
    for _ in 0..3_000 {
        let mut fds = [PollFd::new(stream, PollFlags::RDHUP)];
        let within = rustix::event::Timespec { tv_sec: 0, tv_nsec: 10_000_000 };
        if poll(&mut fds, Some(&within)).is_ok_and(|n| n > 0) {
            return;
        }
    }
    panic!("it is never closed");
}

/// The flow to the list service falls silent for good; the service is well. It is asked from a new socket, and what it
/// tells there holds.
#[test]
fn flow_to_the_list_that_falls_silent_is_left_for_a_new_one() {
    let names = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let names_at = names.local_addr().expect("bound");
    let (first, drained) = resp_engine(served);
    let (second, _) = resp_engine(served);
    let drains = Arc::new(AtomicBool::new(false));
    let from_now = drains.clone();
    thread::spawn(move || {
        let (mut bytes, mut silent) = ([0; 512], None);
        while let Ok((len, from)) = names.recv_from(&mut bytes) {
            let said = from_now.load(Ordering::SeqCst);
            // The flow that was answered first is dead once the drain begins.
            let flow = *silent.get_or_insert(from);
            if said && from == flow {
                continue;
            }
            let list = [("s-0", first, said), ("s-1", second, false)];
            let _ = names.send_to(&names_answer_of(&bytes[..len], if said { 3 } else { 2 }, &list), from);
        }
    });
    let text =
        config(&[first, second], "resp", 5_000).replacen('{', &format!(r#"{{"names":"{names_at}","#), 1);
    let gateway = Gateway::start(&text);
    let mut client = gateway.client();
    let mut ask = |seq: i32| {
        let fields = [("verb", "lookup"), ("txn", &*format!("{seq:016x}")), ("limit", "5000")];
        client.write_all(&call(seq, &fields, "select 1")).expect("sent");
        answer(&mut client)
    };
    let sent = || drained.lock().expect("log").iter().filter(|p| p[0] == "want").count();
    let mut seq = 0;
    while sent() == 0 {
        seq += 1;
        ask(seq);
        assert!(seq < 10_000, "both are used");
    }
    drains.store(true, Ordering::SeqCst);
    // Once the drain is heard a hundred in a row go elsewhere, where each of two takes about half.
    let mut row = 0;
    while row < 100 {
        let before = sent();
        seq += 1;
        ask(seq);
        row = if sent() > before { 0 } else { row + 1 };
        assert!(seq < 200_000, "the drain is never heard");
    }
}
