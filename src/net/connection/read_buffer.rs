//! The read buffer of a connection: bytes that have arrived and are not consumed yet.

use crate::limits::Limits;
use crate::net::connection::shared_state::SharedState;
use crate::net::connection::socket_retry::SocketRetry;
use std::io;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// While the sum over all connections is exceeded, a buffer of more than so many chunks fails.
const MAX_CHUNKS_UNDER_PRESSURE: usize = 4;

/// Bytes that were read and are not consumed yet. It grows only as bytes arrive. Its capacity counts towards
/// [`SharedState::buffered_bytes`] until it is dropped.
#[derive(Debug)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    /// Bytes at the front that are consumed.
    consumed: usize,
    /// Its part of the sum over all connections.
    counted_bytes: usize,
    shared: Rc<SharedState>,
    /// When the first of the bytes that are not consumed arrived.
    incomplete_since: Option<Instant>,
    last_filled: Instant,
}

impl ReadBuffer {
    /// An empty buffer.
    pub fn new(shared: Rc<SharedState>) -> Self {
        Self {
            bytes: Vec::new(),
            consumed: 0,
            counted_bytes: 0,
            shared,
            incomplete_since: None,
            last_filled: Instant::now(),
        }
    }

    /// Since when an incomplete message has been in the buffer; none where it is empty.
    pub fn incomplete_since(&self) -> Option<Instant> {
        self.incomplete_since.filter(|_| !self.unread().is_empty())
    }

    /// When bytes last arrived.
    pub fn last_filled(&self) -> Instant {
        self.last_filled
    }

    /// The bytes that are not consumed yet.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Removes bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.consumed = (self.consumed + count).min(self.bytes.len());
        self.incomplete_since = None;
    }

    /// Waits for bytes and reads them; false at the end of the stream.
    ///
    /// # Errors
    /// The connection failed, or the buffer is long while all connections together exceed their memory.
    pub async fn fill(&mut self, stream: &TcpStream, limits: &Limits) -> io::Result<bool> {
        self.release_consumed();
        loop {
            stream.readable().await?;
            self.bytes.reserve(limits.read_chunk_bytes);
            match stream.try_read_buf(&mut self.bytes) {
                Ok(count) => {
                    self.count_capacity();
                    self.last_filled = Instant::now();
                    self.incomplete_since = self.incomplete_since.or(Some(self.last_filled));
                    if self.is_too_long(limits) {
                        return Err(io::ErrorKind::OutOfMemory.into());
                    }
                    return Ok(count > 0);
                }
                Err(error) if SocketRetry::after(&error).is_some() => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Gives up what is consumed. Most connections are idle most of the time: none keeps memory while it waits.
    fn release_consumed(&mut self) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
            self.count_capacity();
        }
    }

    /// Whether this buffer has to give way: many long messages at once must not take the memory of all connections.
    fn is_too_long(&self, limits: &Limits) -> bool {
        let max_bytes = self.shared.process_share(limits.max_buffered_bytes);
        self.shared.buffered_bytes.get() > max_bytes
            && self.counted_bytes > MAX_CHUNKS_UNDER_PRESSURE * limits.read_chunk_bytes
    }

    fn count_capacity(&mut self) {
        let capacity = self.bytes.capacity();
        self.shared.buffered_bytes.set(self.shared.buffered_bytes.get() + capacity - self.counted_bytes);
        self.counted_bytes = capacity;
    }
}

impl Drop for ReadBuffer {
    fn drop(&mut self) {
        self.shared.buffered_bytes.set(self.shared.buffered_bytes.get() - self.counted_bytes);
    }
}
