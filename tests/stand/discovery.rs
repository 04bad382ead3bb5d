//! A name service whose every answer the test decides on.

use super::names_answer_of;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// A question that waits for its answer.
#[derive(Debug, Clone)]
pub(crate) struct Question {
    pub(crate) bytes: Vec<u8>,
    /// The gateway's socket.
    pub(crate) from: SocketAddr,
}

/// A name service that says nothing by itself.
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

    /// The next question.
    pub(crate) fn next(&self) -> Question {
        let mut bytes = [0; 512];
        let (len, from) = self.socket.recv_from(&mut bytes).expect("a question within 30 s");
        Question { bytes: bytes[..len].to_vec(), from }
    }

    /// Discards the questions that have arrived.
    pub(crate) fn discard_questions(&self) {
        self.socket.set_nonblocking(true).expect("set");
        while self.socket.recv(&mut [0; 512]).is_ok() {}
        self.socket.set_nonblocking(false).expect("set");
    }

    /// Answers with this list: id, address, whether it drains.
    pub(crate) fn answer(&self, question: &Question, serial: u32, engines: &[(&str, SocketAddr, bool)]) {
        self.send(question, &names_answer_of(&question.bytes, serial, engines));
    }

    /// Answers with these bytes.
    pub(crate) fn send(&self, question: &Question, bytes: &[u8]) {
        self.socket.send_to(bytes, question.from).expect("sent");
    }
}
