//! Conditions under which this gateway may close a client's connection.

/// State of a client connection that decides whether it may be closed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CloseConditions {
    /// Number of requests on the connection that have no final answer.
    pub open_requests: usize,
    /// Number of bytes in the connection's write queue.
    pub unwritten: usize,
    /// Number of bytes that were read and belong to an incomplete message.
    pub incomplete: usize,
    /// Number of bytes that the socket has received and the gateway has not read.
    pub unread: usize,
}

/// Reason why a connection must stay open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepReason {
    /// A request on the connection has no final answer.
    RequestOpen,
    /// An answer has not been written completely.
    Unwritten,
    /// A message has been read only in part.
    Incomplete,
    /// Bytes have been received but not read; they may contain a request.
    Unread,
}

/// Checks whether an idle connection may be closed.
///
/// # Errors
/// Returns the first reason why the connection must stay open.
pub fn may_close(conditions: &CloseConditions) -> Result<(), KeepReason> {
    may_close_mid_message(conditions)?;
    if conditions.incomplete > 0 {
        return Err(KeepReason::Incomplete);
    }
    Ok(())
}

/// Checks whether a connection may be closed after its client stopped sending in the middle of a message.
///
/// # Errors
/// Returns the first reason why the connection must stay open.
pub fn may_close_mid_message(conditions: &CloseConditions) -> Result<(), KeepReason> {
    if conditions.open_requests > 0 {
        return Err(KeepReason::RequestOpen);
    }
    if conditions.unwritten > 0 {
        return Err(KeepReason::Unwritten);
    }
    if conditions.unread > 0 {
        return Err(KeepReason::Unread);
    }
    Ok(())
}
