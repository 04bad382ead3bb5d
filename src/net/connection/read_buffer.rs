//! The read buffer of a connection: bytes that have arrived and are not used yet.

use crate::limits::Limits;
use crate::net::connection::shared_state::SharedState;
use crate::net::connection::socket_retry::Retry;
use std::io;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// What was read and not yet used. It grows only as bytes arrive.
#[derive(Debug)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    from: usize,
    /// What of it is counted in the sum over all connections.
    counted: usize,
    shared: Rc<SharedState>,
    /// When the first of the bytes not yet used came.
    since: Option<Instant>,
    /// When the last bytes came.
    filled: Instant,
}

impl ReadBuffer {
    /// Nothing was read.
    pub fn new(shared: Rc<SharedState>) -> Self {
        Self { bytes: Vec::new(), from: 0, counted: 0, shared, since: None, filled: Instant::now() }
    }

    /// Since when a message has been incomplete.
    pub fn since(&self) -> Option<Instant> {
        self.since.filter(|_| !self.unread().is_empty())
    }

    /// When the last bytes came.
    pub fn last_filled(&self) -> Instant {
        self.filled
    }

    /// What is not yet used.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.from..]
    }

    /// Marks bytes as used.
    pub fn used(&mut self, n: usize) {
        self.from = (self.from + n).min(self.bytes.len());
        self.since = None;
    }

    /// Reads what there is; false at the end of the stream.
    pub async fn fill(&mut self, stream: &TcpStream, limits: &Limits) -> io::Result<bool> {
        self.bytes.drain(..self.from);
        self.from = 0;
        // Of the many connections most are idle most of the time: none keeps memory while it waits.
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
            self.count();
        }
        loop {
            stream.readable().await?;
            self.bytes.reserve(limits.read_chunk_bytes);
            match stream.try_read_buf(&mut self.bytes) {
                Ok(n) => {
                    self.count();
                    self.filled = Instant::now();
                    self.since = self.since.or(Some(self.filled));
                    // Many long messages at once must not take the memory of all: the long ones go first.
                    let most = self.shared.part(limits.max_buffered_bytes);
                    if self.shared.held.get() > most && self.counted > 4 * limits.read_chunk_bytes {
                        return Err(io::ErrorKind::OutOfMemory.into());
                    }
                    return Ok(n > 0);
                }
                Err(e) if Retry::after(&e).is_some() => {}
                Err(e) => return Err(e),
            }
        }
    }

    fn count(&mut self) {
        let now = self.bytes.capacity();
        self.shared.held.set(self.shared.held.get() + now - self.counted);
        self.counted = now;
    }
}

impl Drop for ReadBuffer {
    fn drop(&mut self) {
        self.shared.held.set(self.shared.held.get() - self.counted);
    }
}
