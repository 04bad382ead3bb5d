//! Read buffer of a connection: bytes that have arrived and are not consumed yet.

use crate::limits::Limits;
use crate::net::connection::shared_state::SharedState;
use crate::net::connection::socket_retry::SocketRetry;
use std::io;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Maximum length of a buffer, in read chunks, while the limit of bytes buffered by all connections is exceeded.
const MAX_CHUNKS_UNDER_PRESSURE: usize = 4;

/// Bytes that were read and are not consumed yet. The buffer grows only as bytes arrive. Its capacity is counted in
/// [`SharedState::buffered_bytes`] until it is dropped.
#[derive(Debug)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    /// Number of consumed bytes at the front.
    consumed: usize,
    /// Capacity of this buffer that is counted in [`SharedState::buffered_bytes`].
    counted_bytes: usize,
    shared: Rc<SharedState>,
    /// Time at which the first of the unconsumed bytes arrived.
    incomplete_since: Option<Instant>,
    last_filled: Instant,
}

impl ReadBuffer {
    /// Creates an empty buffer.
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

    /// Returns the time at which the incomplete message in the buffer started to arrive, or `None` if the buffer is empty.
    pub fn incomplete_since(&self) -> Option<Instant> {
        self.incomplete_since.filter(|_| !self.unread().is_empty())
    }

    /// Returns the time at which bytes last arrived.
    pub fn last_filled(&self) -> Instant {
        self.last_filled
    }

    /// Returns the bytes that are not consumed yet.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Marks bytes at the front as consumed.
    pub fn consume(&mut self, count: usize) {
        self.consumed = (self.consumed + count).min(self.bytes.len());
        self.incomplete_since = None;
    }

    /// Waits for bytes and reads them. Returns false at the end of the stream.
    ///
    /// # Errors
    /// The connection failed, or the buffer is too long while all connections together exceed the limit of buffered bytes.
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

    /// Removes consumed bytes. An empty buffer releases its memory, as most connections are idle most of the time.
    fn release_consumed(&mut self) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
            self.count_capacity();
        }
    }

    /// Returns whether the buffer is too long while the limit of bytes buffered by all connections is exceeded. This prevents
    /// many concurrent long messages from using up the memory of all connections.
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
