//! Whether this gateway may close a client's connection.

/// The state of a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CloseConditions {
    /// The number of its requests that have no final answer.
    pub open_requests: usize,
    /// The number of bytes in the write queue.
    pub unwritten: usize,
    /// The number of bytes that were read and belong to an incomplete message.
    pub incomplete: usize,
    /// The number of bytes in the socket that were not read.
    pub unread: usize,
}

/// Why a connection stays open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepReason {
    /// A request has no final answer.
    RequestOpen,
    /// An answer is not written completely.
    Unwritten,
    /// A message was read in part.
    Incomplete,
    /// Bytes were received and not read: they may be a request.
    Unread,
}

/// Whether an idle connection may be closed.
///
/// # Errors
/// The first reason against it.
pub fn may_close(facts: &CloseConditions) -> Result<(), KeepReason> {
    may_close_mid_message(facts)?;
    if facts.incomplete > 0 {
        return Err(KeepReason::Incomplete);
    }
    Ok(())
}

/// Whether a connection may be closed whose client stopped sending within a message.
///
/// # Errors
/// The first reason against it.
pub fn may_close_mid_message(facts: &CloseConditions) -> Result<(), KeepReason> {
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
