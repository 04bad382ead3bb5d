//! Failures of calls on a socket after which the call is made again.

use std::io;

/// When a failed call on a socket is made again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketRetry {
    /// The call would block: wait until the socket is ready.
    WhenReady,
    /// A signal interrupted the call before it did anything: make it again.
    Immediately,
}

impl SocketRetry {
    /// Whether and when the call is made again; none where the connection has failed.
    pub fn after(error: &io::Error) -> Option<Self> {
        match error.kind() {
            io::ErrorKind::WouldBlock => Some(Self::WhenReady),
            io::ErrorKind::Interrupted => Some(Self::Immediately),
            _ => None,
        }
    }
}
