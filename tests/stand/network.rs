//! Connections: those of the system's table, and listeners that are full or absent.

use super::waits::until_true;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

pub(super) fn connect(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).expect("it listens");
    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
    stream
}

/// An IPv4 address as the system's table of connections writes it.
pub(super) fn table_address(at: SocketAddr) -> String {
    let SocketAddr::V4(at) = at else { panic!("IPv4") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port())
}

/// Inodes of the connections in the system's table whose columns fit.
pub(super) fn table_inodes(fits: impl Fn(&[&str]) -> bool) -> BTreeSet<String> {
    const INODE_COLUMN: usize = 9;
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    let lines = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    lines.filter(|words| fits(words)).filter_map(|w| w.get(INODE_COLUMN).map(|i| (*i).to_owned())).collect()
}

/// Waits until the owner of that address has read all that has arrived on its connections.
pub(crate) fn until_read(at: SocketAddr) {
    const QUEUES_COLUMN: usize = 4;
    let own = table_address(at);
    let is_unread = |words: &[&str]| {
        let received = words.get(QUEUES_COLUMN).and_then(|queues| queues.split_once(':'));
        words.get(1) == Some(&&*own)
            && received.is_some_and(|(_, bytes)| bytes.bytes().any(|digit| digit != b'0'))
    };
    until_true(|| table_inodes(is_unread).is_empty());
}

/// A listener whose queue is full: connections to it come up once there is room, at the system's next try a second later.
/// With what fills it.
pub(crate) fn full_listener() -> (TcpListener, Vec<std::io::Result<TcpStream>>) {
    let socket = rustix::net::socket(rustix::net::AddressFamily::INET, rustix::net::SocketType::STREAM, None);
    let socket = socket.expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    rustix::net::bind(&socket, &any).expect("bound");
    rustix::net::listen(&socket, 0).expect("listens");
    let listener = TcpListener::from(socket);
    let at = listener.local_addr().expect("bound");
    let filling: Vec<_> =
        (0..2).map(|_| TcpStream::connect_timeout(&at, Duration::from_millis(100))).collect();
    assert!(filling[1].is_err(), "the queue is full");
    (listener, filling)
}

/// Waits until a connection to that address is on its way and not up yet.
pub(crate) fn until_coming_up(at: SocketAddr) {
    let (to, syn_sent) = (format!("0100007F:{:04X}", at.port()), "02");
    let of = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words.get(2) == Some(&to.as_str()) && words.get(3) == Some(&syn_sent)
    };
    for _ in 0..30_000 {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
        if table.lines().any(of) {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("no connection to {at} is ever on its way");
}

/// An address at which nothing listens and nothing will: connections are refused for as long as the socket is held.
pub(crate) fn refusing() -> (tokio::net::TcpSocket, SocketAddr) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let at = socket.local_addr().expect("bound");
    (socket, at)
}
