//! A name service for which the test determines each answer.

use super::names_answer_with_draining;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// A poll of the endpoint list that was received and not answered yet.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedPoll {
    pub(crate) bytes: Vec<u8>,
    /// Address of the gateway's socket.
    pub(crate) from: SocketAddr,
}

/// A name service that sends only the answers that the test passes to it.
#[derive(Clone)]
pub(crate) struct ScriptedService {
    pub(crate) address: SocketAddr,
    socket: Arc<UdpSocket>,
}

impl ScriptedService {
    pub(crate) fn start() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        socket.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
        Self { address: socket.local_addr().expect("bound"), socket: Arc::new(socket) }
    }

    /// Receives the next poll, within 30 s.
    pub(crate) fn next_poll(&self) -> ReceivedPoll {
        let mut bytes = [0; 512];
        let (len, from) = self.socket.recv_from(&mut bytes).expect("a poll within 30 s");
        ReceivedPoll { bytes: bytes[..len].to_vec(), from }
    }

    /// Discards the polls that have arrived and were not received.
    pub(crate) fn discard_polls(&self) {
        self.socket.set_nonblocking(true).expect("set");
        while self.socket.recv(&mut [0; 512]).is_ok() {}
        self.socket.set_nonblocking(false).expect("set");
    }

    /// Answers a poll with an endpoint list. Each engine has an id, an address, and a flag for whether it is draining.
    pub(crate) fn answer(&self, poll: &ReceivedPoll, serial: u32, engines: &[(&str, SocketAddr, bool)]) {
        self.send(poll, &names_answer_with_draining(&poll.bytes, serial, engines));
    }

    /// Answers a poll with arbitrary bytes.
    pub(crate) fn send(&self, poll: &ReceivedPoll, bytes: &[u8]) {
        self.socket.send_to(bytes, poll.from).expect("sent");
    }
}
