//! Helpers for the kernel's socket table, for listeners with a full accept queue, and for addresses that refuse connections.

use super::waits::wait_until;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

pub(super) fn connect(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).expect("connected");
    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
    stream
}

/// Formats an IPv4 address as the kernel's socket table does.
pub(super) fn socket_table_address(at: SocketAddr) -> String {
    let SocketAddr::V4(at) = at else { panic!("IPv4") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port())
}

/// Returns the inodes of the connections in the kernel's socket table whose columns match a predicate.
pub(super) fn socket_table_inodes(matches: impl Fn(&[&str]) -> bool) -> BTreeSet<String> {
    const INODE_COLUMN: usize = 9;
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's socket table");
    let lines = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    lines
        .filter(|words| matches(words))
        .filter_map(|w| w.get(INODE_COLUMN).map(|i| (*i).to_owned()))
        .collect()
}

/// Waits until the process that owns an address has read all data that has arrived on its connections.
pub(crate) fn wait_until_read(at: SocketAddr) {
    const QUEUES_COLUMN: usize = 4;
    let own = socket_table_address(at);
    let is_unread = |words: &[&str]| {
        let received = words.get(QUEUES_COLUMN).and_then(|queues| queues.split_once(':'));
        words.get(1) == Some(&&*own)
            && received.is_some_and(|(_, bytes)| bytes.bytes().any(|digit| digit != b'0'))
    };
    wait_until(|| socket_table_inodes(is_unread).is_empty());
}

/// Returns a listener whose accept queue is full, and the connections that fill it. Further connections are established once the
/// queue has space and the kernel retransmits the SYN, one second later.
pub(crate) fn full_listener() -> (TcpListener, Vec<std::io::Result<TcpStream>>) {
    let socket = rustix::net::socket(rustix::net::AddressFamily::INET, rustix::net::SocketType::STREAM, None);
    let socket = socket.expect("a socket");
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    rustix::net::bind(&socket, &any_port).expect("bound");
    rustix::net::listen(&socket, 0).expect("listens");
    let listener = TcpListener::from(socket);
    let at = listener.local_addr().expect("bound");
    let filling: Vec<_> =
        (0..2).map(|_| TcpStream::connect_timeout(&at, Duration::from_millis(100))).collect();
    assert!(filling[1].is_err(), "the queue is full");
    (listener, filling)
}

/// Waits until a connection to an address is being opened and not established yet.
pub(crate) fn wait_until_connecting(at: SocketAddr) {
    let (to, syn_sent) = (format!("0100007F:{:04X}", at.port()), "02");
    let is_being_opened = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words.get(2) == Some(&to.as_str()) && words.get(3) == Some(&syn_sent)
    };
    for _ in 0..30_000 {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's socket table");
        if table.lines().any(is_being_opened) {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("no connection to {at} was opened within the time limit");
}

/// Returns an address that refuses connections, and a socket that reserves it. Nothing can listen there until the socket is
/// dropped.
pub(crate) fn refused_address() -> (tokio::net::TcpSocket, SocketAddr) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let at = socket.local_addr().expect("bound");
    (socket, at)
}
