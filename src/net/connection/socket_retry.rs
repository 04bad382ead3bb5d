//! Failures of calls on a socket after which the call is made again.

use std::io;

/// What a call on a socket that has failed asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// Nothing is there yet: wait until the socket is ready.
    WhenReady,
    /// A signal interrupted the call before it did anything: make it again.
    AtOnce,
}

impl Retry {
    /// Whether and when the call is made again; none where the connection has failed.
    pub fn after(error: &io::Error) -> Option<Self> {
        match error.kind() {
            io::ErrorKind::WouldBlock => Some(Self::WhenReady),
            io::ErrorKind::Interrupted => Some(Self::AtOnce),
            _ => None,
        }
    }
}
