//! Buffer for bytes that are read and discarded, shared by all connections of a process.

use std::cell::RefCell;
use std::io;
use tokio::net::TcpStream;

/// Size of the buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// Buffer for bytes that are read and discarded.
#[derive(Debug)]
pub(super) struct DiscardBuffer(RefCell<Vec<u8>>);

impl Default for DiscardBuffer {
    fn default() -> Self {
        Self(RefCell::new(vec![0; BUFFER_BYTES]))
    }
}

impl DiscardBuffer {
    /// Reads at most this number of bytes, and discards them. Returns their number; 0 at the end of the stream.
    ///
    /// # Errors
    /// The socket holds no bytes, or the connection failed.
    pub(super) fn try_discard(&self, stream: &TcpStream, max_bytes: usize) -> io::Result<usize> {
        let mut buffer = self.0.borrow_mut();
        let length = max_bytes.min(buffer.len());
        stream.try_read(&mut buffer[..length])
    }
}
