//! Socket errors after which the call is retried.

use std::io;

/// Condition for the retry of a failed socket call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketRetry {
    /// The call would block: it is retried once the socket is ready.
    WhenReady,
    /// A signal interrupted the call before it had an effect: it is retried immediately.
    Immediately,
}

impl SocketRetry {
    /// Returns when to retry the call after `error`, or `None` if the connection has failed.
    pub fn after(error: &io::Error) -> Option<Self> {
        match error.kind() {
            io::ErrorKind::WouldBlock => Some(Self::WhenReady),
            io::ErrorKind::Interrupted => Some(Self::Immediately),
            _ => None,
        }
    }
}
