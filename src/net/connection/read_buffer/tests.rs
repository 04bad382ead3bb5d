use super::message_space::{SCARCE_MEMORY_DIVISOR, SCARCE_READ_BYTES};
use super::*;
use crate::simulator::Fields;
use std::collections::BTreeMap;
use std::future::Future;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Number of bytes that the client sends at once.
const SENT_BYTES: usize = 8_000;

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(test);
}

fn limits() -> Limits {
    Limits::read(&Fields::new("settings", BTreeMap::new())).expect("default limits are valid")
}

/// A client that has sent [`SENT_BYTES`], and the buffer into which they are read.
struct Reading {
    shared: Rc<SharedState>,
    limits: Limits,
    memory: Rc<MessageMemory>,
    buffer: ReadBuffer,
    stream: TcpStream,
    client: TcpStream,
}

impl Reading {
    async fn begin() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let mut client = TcpStream::connect(address).await.expect("connected");
        let (stream, peer) = listener.accept().await.expect("accepted");
        client.write_all(&[b'x'; SENT_BYTES]).await.expect("sent");
        let shared = SharedState::new(1);
        let memory = shared.incoming.add_connection();
        let share = shared.scheduler.new_connection(peer);
        let progress = ReadProgress::new(shared.read_barrier.read_until());
        let buffer = ReadBuffer::for_client(shared.clone(), share, progress, memory.clone());
        Self { shared, limits: limits(), memory, buffer, stream, client }
    }

    /// Lets another message take so much memory that it is scarce.
    fn make_memory_scarce(&self) {
        let bytes = self.limits.memory.short_incoming_bytes / SCARCE_MEMORY_DIVISOR + 1;
        self.shared.incoming.set_allocated(&self.shared.incoming.add_connection(), bytes);
    }

    /// Reads once, and returns the number of unread bytes.
    async fn read(&mut self) -> usize {
        assert!(self.buffer.fill(&self.stream, &self.limits).await.expect("read"));
        self.buffer.unread().len()
    }
}

#[test]
fn all_that_has_arrived_is_read_while_there_is_memory() {
    run(async {
        let mut reading = Reading::begin().await;
        assert_eq!(reading.read().await, SENT_BYTES);
        assert!(reading.buffer.may_read_ahead(&reading.limits));
    });
}

/// Each message used to take the memory of a complete read, so that few of many clients could show what they send.
#[test]
fn little_is_read_of_a_message_of_unknown_length_while_memory_is_scarce() {
    run(async {
        let mut reading = Reading::begin().await;
        reading.make_memory_scarce();
        assert_eq!(reading.read().await, SCARCE_READ_BYTES);
        assert_eq!(reading.read().await, 2 * SCARCE_READ_BYTES);
        assert!(!reading.memory.covers(SENT_BYTES));
    });
}

#[test]
fn rest_of_a_short_message_is_reserved_at_once_while_memory_is_scarce() {
    run(async {
        let mut reading = Reading::begin().await;
        reading.make_memory_scarce();
        reading.read().await;
        reading.buffer.expect_message(SENT_BYTES);
        reading.read().await;
        assert!(reading.memory.covers(SENT_BYTES));
    });
}

/// Requests behind an open one used to take memory that they cannot release before its answer.
#[test]
fn nothing_is_read_ahead_while_memory_is_scarce() {
    run(async {
        let reading = Reading::begin().await;
        assert!(reading.buffer.may_read_ahead(&reading.limits));
        reading.make_memory_scarce();
        assert!(!reading.buffer.may_read_ahead(&reading.limits));
    });
}

/// The first bytes of a chunk's length, which wait for the rest, used to turn the memory of a long body into that of a short message.
#[test]
fn memory_of_a_long_body_stays_that_of_a_long_message_behind_unread_bytes() {
    const HEAD_BYTES: usize = 100;
    const UNREAD_BYTES: usize = 4;
    run(async {
        let mut reading = Reading::begin().await;
        assert_eq!(reading.read().await, SENT_BYTES);
        reading.buffer.begin_body(HEAD_BYTES, HEAD_BYTES, reading.limits.max_message_bytes);
        reading.buffer.move_to_body(SENT_BYTES - HEAD_BYTES - UNREAD_BYTES);
        let sent = vec![b'x'; 2 * reading.limits.read_chunk_bytes];
        reading.client.write_all(&sent).await.expect("sent");
        assert!(reading.read().await > UNREAD_BYTES);
        assert_eq!(reading.shared.incoming.short_bytes(), 0);
    });
}
