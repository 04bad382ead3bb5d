//! Read buffer of a connection: bytes that have arrived and are not consumed yet.

mod message_space;

use crate::limits::Limits;
use crate::net::connection::fair_share::WorkShare;
use crate::net::connection::incoming_memory::MessageMemory;
use crate::net::connection::peer_close::{closed_by_peer, is_closed_by_peer};
use crate::net::connection::read_progress::ReadProgress;
use crate::net::connection::shared_state::SharedState;
use crate::net::connection::socket_retry::SocketRetry;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Time for which an engine's reply waits for memory.
const MAX_REPLY_WAIT: Duration = Duration::from_millis(250);

/// Returns the memory that is reserved for one reply: the result that is buffered at most, and what is read beyond it at once.
fn max_reply_bytes(limits: &Limits) -> usize {
    limits.max_result_bytes + limits.read_chunk_bytes
}

/// Peer from which a buffer is filled.
#[derive(Debug)]
enum Peer {
    /// A client: the buffer counts as memory for incoming messages, and long messages wait for a reservation.
    Client(ClientReader),
    /// An engine: the buffer counts as memory for results, of which a complete reply is reserved before its first byte is read.
    Engine,
    /// An operator: the buffer counts as memory for results.
    Operator,
}

/// State of reading from a client.
#[derive(Debug)]
struct ClientReader {
    memory: Rc<MessageMemory>,
    progress: Rc<ReadProgress>,
}

/// Bytes that were read and are not consumed yet. The buffer grows only as bytes arrive. Its capacity is counted in
/// [`SharedState`] until it is dropped.
///
/// A message from a client is incomplete from its first byte until it is consumed, also while a decoded part of its body was
/// moved out of the unread bytes.
#[derive(Debug)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    /// Number of consumed bytes at the front.
    consumed: usize,
    /// Decoded part of the body of the current message, between [`begin_body`](Self::begin_body) and
    /// [`take_body`](Self::take_body).
    body: Option<Vec<u8>>,
    /// Memory of the decoded head of the current message, while its body is awaited.
    head_memory: usize,
    /// Maximum length of the current message or body, if it is known.
    expected_bytes: usize,
    /// Length of the current message or body as far as it is announced.
    announced_bytes: usize,
    /// Number of bytes at the end of the current message that are discarded as they arrive.
    discarded_bytes: usize,
    /// Capacity of this buffer that is counted.
    counted_bytes: usize,
    peer: Peer,
    shared: Rc<SharedState>,
    /// Share of the reading task in the event loop.
    share: Rc<WorkShare>,
    /// Time at which the first byte of the incomplete message arrived.
    incomplete_since: Option<Instant>,
    last_filled: Instant,
}

impl ReadBuffer {
    /// Creates an empty buffer for an engine.
    pub fn for_engine(shared: Rc<SharedState>, share: Rc<WorkShare>) -> Self {
        Self::with_peer(shared, share, Peer::Engine)
    }

    /// Creates an empty buffer for an operator.
    pub fn for_operator(shared: Rc<SharedState>, share: Rc<WorkShare>) -> Self {
        Self::with_peer(shared, share, Peer::Operator)
    }

    /// Creates an empty buffer for a client.
    pub fn for_client(
        shared: Rc<SharedState>,
        share: Rc<WorkShare>,
        progress: Rc<ReadProgress>,
        memory: Rc<MessageMemory>,
    ) -> Self {
        Self::with_peer(shared, share, Peer::Client(ClientReader { memory, progress }))
    }

    fn with_peer(shared: Rc<SharedState>, share: Rc<WorkShare>, peer: Peer) -> Self {
        Self {
            bytes: Vec::new(),
            consumed: 0,
            body: None,
            head_memory: 0,
            expected_bytes: 0,
            announced_bytes: 0,
            discarded_bytes: 0,
            counted_bytes: 0,
            peer,
            shared,
            share,
            incomplete_since: None,
            last_filled: Instant::now(),
        }
    }

    /// Returns the number of bytes that belong to an incomplete message. The body of a message counts from its head on, even
    /// if none of its bytes have arrived.
    pub fn incomplete_bytes(&self) -> usize {
        let body_bytes = self.body.as_ref().map_or(0, |body| body.len().max(1));
        self.unread().len() + body_bytes + self.discarded_bytes
    }

    /// Returns whether the rest of the current message is longer than this number of bytes, as far as its length is announced.
    pub fn needs_more_than(&self, bytes: usize) -> bool {
        match self.discarded_bytes {
            0 => self.announced_bytes > self.received_bytes() + bytes,
            rest => rest > bytes,
        }
    }

    /// Returns the number of bytes of the current message, or of its body, that have arrived.
    fn received_bytes(&self) -> usize {
        self.body_len() + self.unread().len()
    }

    /// Returns the time at which the incomplete message started to arrive, or `None` if no message is incomplete.
    pub fn incomplete_since(&self) -> Option<Instant> {
        self.incomplete_since.filter(|_| self.incomplete_bytes() > 0)
    }

    /// Counts the time of an incomplete message from now on, after a time in which the connection was not read.
    fn restart_message_timeout(&mut self) {
        let now = Instant::now();
        self.last_filled = now;
        self.incomplete_since = self.incomplete_since.map(|_| now);
    }

    /// Begins the next message after the answer to an earlier one, for which it waited.
    pub fn begin_after_answer(&mut self) {
        self.restart_message_timeout();
        if let Peer::Client(client) = &self.peer {
            client.progress.restart_arrival();
        }
    }

    /// Returns the time at which bytes last arrived.
    pub fn last_filled(&self) -> Instant {
        self.last_filled
    }

    /// Returns the bytes that are not consumed yet.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Marks bytes at the front as consumed. Outside of a body they end a message, and the remaining bytes belong to the next.
    pub fn consume(&mut self, count: usize) {
        self.consumed = (self.consumed + count).min(self.bytes.len());
        if self.body.is_none() {
            self.expected_bytes = 0;
            self.announced_bytes = 0;
            self.incomplete_since = Some(self.last_filled).filter(|_| !self.unread().is_empty());
            self.release_reservation();
        }
    }

    /// Ends the message at the front, which is incomplete and has this length: what has arrived is dropped, and the rest is
    /// discarded as it arrives.
    pub fn discard_message(&mut self, length: usize) {
        let rest = length.saturating_sub(self.received_bytes());
        let incomplete_since = self.incomplete_since;
        self.body = None;
        self.head_memory = 0;
        self.consume(self.unread().len());
        self.release_consumed();
        self.discarded_bytes = rest;
        self.incomplete_since = incomplete_since;
    }

    /// Returns whether the rest of a message is being discarded.
    pub fn is_discarding(&self) -> bool {
        self.discarded_bytes > 0
    }

    /// Sets the total length of the message at the front, as its header states it.
    pub fn expect_message(&mut self, bytes: usize) {
        self.expected_bytes = bytes;
        self.announced_bytes = bytes;
    }

    /// Sets the maximum length of a body whose length is not known, and its length as far as it is announced.
    pub fn expect_body(&mut self, max_bytes: usize, announced_bytes: usize) {
        self.expected_bytes = max_bytes;
        self.announced_bytes = announced_bytes;
    }

    /// Consumes the head of a message whose body of at most `max_bytes` follows, and whose decoded form takes `head_memory`. The message
    /// stays incomplete until [`take_body`](Self::take_body).
    pub fn begin_body(&mut self, head_bytes: usize, head_memory: usize, max_bytes: usize) {
        self.body = Some(Vec::new());
        self.head_memory = head_memory;
        self.expect_message(max_bytes);
        self.consume(head_bytes);
        self.count_capacity();
    }

    /// Returns the number of decoded bytes of the body.
    pub fn body_len(&self) -> usize {
        self.body.as_ref().map_or(0, Vec::len)
    }

    /// Moves unread bytes at the front to the body.
    pub fn move_to_body(&mut self, count: usize) {
        let unread = &self.bytes[self.consumed..];
        let body = self.body.get_or_insert_default();
        let moved = &unread[..count.min(unread.len())];
        body.reserve_exact(moved.len());
        body.extend_from_slice(moved);
        self.consume(count);
        // The bytes stand in one place only before others are read.
        self.release_consumed();
    }

    /// Ends the message, and returns its body.
    pub fn take_body(&mut self) -> Vec<u8> {
        let mut body = self.body.take().unwrap_or_default();
        self.head_memory = 0;
        body.shrink_to_fit();
        self.consume(0);
        self.count_capacity();
        body
    }

    /// Waits for bytes, for the task's turn and for memory, and reads. Returns false at the end of the stream. Memory is counted before it
    /// is allocated; no other task runs in between. The bytes of a client that has sent faster than it was read, or has to wait for
    /// memory, and has closed its connection since, are not read.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn fill(&mut self, stream: &TcpStream, limits: &Limits) -> io::Result<bool> {
        self.release_consumed();
        let mut wait_until = None;
        loop {
            stream.readable().await?;
            self.set_readable();
            if !self.share.may_continue() {
                self.share.turn().await;
                if matches!(self.peer, Peer::Client(_)) && is_closed_by_peer(stream) {
                    return Ok(false);
                }
            }
            if !self.begin_reply(limits, wait_until) {
                wait_until = wait_until.or_else(|| Some(Instant::now() + MAX_REPLY_WAIT));
                self.shared.outgoing.wait_for_release().await;
                continue;
            }
            if let Some(need) = self.allocate_space(stream, limits) {
                tokio::select! {
                    () = self.reserve(need) => continue,
                    () = closed_by_peer(stream) => return Ok(false),
                }
            }
            let read_at = Instant::now();
            match self.try_read(stream) {
                Ok(count) => {
                    self.set_filled(count);
                    return Ok(count > 0);
                }
                Err(error) => match SocketRetry::after(&error) {
                    Some(SocketRetry::WhenReady) => {
                        self.release_consumed();
                        self.set_idle(read_at);
                    }
                    Some(SocketRetry::Immediately) => {}
                    None => return Err(error),
                },
            }
        }
    }

    /// Reserves the memory of a reply of which nothing was read, if the peer is an engine. After `wait_until` it is read in any case: the
    /// memory may be held by results of which this reply is a part. Returns whether it may be read.
    fn begin_reply(&mut self, limits: &Limits, wait_until: Option<Instant>) -> bool {
        if !matches!(self.peer, Peer::Engine) || self.counted_bytes > 0 {
            return true;
        }
        let bytes = max_reply_bytes(limits);
        let max_bytes = self.shared.process_share(limits.memory.outgoing_bytes);
        if self.shared.outgoing.try_reserve(bytes, max_bytes) {
            self.counted_bytes = bytes;
            return true;
        }
        wait_until.is_some_and(|until| until <= Instant::now())
    }

    /// Reads into the allocated space, or discards the rest of a message.
    fn try_read(&mut self, stream: &TcpStream) -> io::Result<usize> {
        if self.discarded_bytes > 0 {
            let count = self.shared.discard_buffer.try_discard(stream, self.discarded_bytes)?;
            self.discarded_bytes -= count;
            return Ok(count);
        }
        let count = stream.try_read_buf(&mut self.bytes);
        self.count_capacity();
        count
    }

    /// Waits for the task's turn to handle the next message in the buffer.
    pub async fn turn(&self) {
        self.share.turn().await;
    }

    fn set_readable(&self) {
        if let Peer::Client(client) = &self.peer {
            let arrived_from = self.shared.pauses.earliest_arrival(Instant::now());
            client.progress.set_readable(self.shared.read_barrier.read_until(), arrived_from);
        }
    }

    fn set_idle(&self, arrived_by: Instant) {
        if let Peer::Client(client) = &self.peer {
            client.progress.set_idle(arrived_by, !self.share.is_within_share());
        }
    }

    fn set_filled(&mut self, count: usize) {
        self.last_filled = Instant::now();
        self.incomplete_since = self.incomplete_since.or(Some(self.last_filled));
        if let Peer::Client(client) = &self.peer {
            client.memory.set_arrived(self.last_filled, self.received_bytes(), self.announced_bytes);
            client.progress.add_read(count);
        }
    }

    /// Removes consumed bytes. An empty buffer releases its memory, as most connections are idle most of the time.
    fn release_consumed(&mut self) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
        } else if matches!(self.peer, Peer::Client(_)) {
            self.bytes.shrink_to(self.expected_bytes);
        }
        self.count_capacity();
    }

    /// Returns the memory of the buffer and of the decoded parts of the current message.
    fn capacity(&self) -> usize {
        self.bytes.capacity() + self.body.as_ref().map_or(0, Vec::capacity) + self.head_memory
    }

    fn count_capacity(&mut self) {
        let capacity = self.capacity();
        let counted = match &self.peer {
            Peer::Engine if capacity > 0 => capacity.max(self.counted_bytes),
            _ => capacity,
        };
        match &self.peer {
            Peer::Client(client) => self.shared.incoming.set_allocated(&client.memory, counted),
            Peer::Engine | Peer::Operator => self.shared.outgoing.update(counted, self.counted_bytes),
        }
        self.counted_bytes = counted;
    }
}

impl Drop for ReadBuffer {
    fn drop(&mut self) {
        match &self.peer {
            Peer::Client(ClientReader { memory, .. }) => {
                self.shared.incoming.set_allocated(memory, 0);
                self.shared.incoming.release(memory);
            }
            Peer::Engine | Peer::Operator => self.shared.outgoing.update(0, self.counted_bytes),
        }
    }
}

#[cfg(test)]
mod tests;
