//! Whether this side may close a client's connection.

/// What is so of a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionFacts {
    /// Requests of it that are not answered.
    pub open_requests: usize,
    /// Bytes that wait to be written.
    pub unwritten: usize,
    /// Bytes that were read and belong to no whole message yet.
    pub incomplete: usize,
    /// Bytes that lie in the socket.
    pub unread: usize,
}

/// Why a connection stays open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepReason {
    /// A request is not answered.
    RequestOpen,
    /// An answer is not written.
    Unwritten,
    /// A message has begun.
    Incomplete,
    /// Something has arrived that nobody has looked at: it may be a request.
    Unread,
}

/// Whether a connection that has rested may be closed.
///
/// # Errors
/// The first reason against it.
pub fn may_close(facts: &ConnectionFacts) -> Result<(), KeepReason> {
    may_cut_off(facts).and(match facts.incomplete {
        0 => Ok(()),
        _ => Err(KeepReason::Incomplete),
    })
}

/// Whether a connection may be closed whose client has stopped inside a message.
///
/// # Errors
/// The first reason against it.
pub fn may_cut_off(facts: &ConnectionFacts) -> Result<(), KeepReason> {
    if facts.open_requests > 0 {
        return Err(KeepReason::RequestOpen);
    }
    if facts.unwritten > 0 {
        return Err(KeepReason::Unwritten);
    }
    if facts.unread > 0 {
        return Err(KeepReason::Unread);
    }
    Ok(())
}
