//! Condition under which a process that is shutting down may exit.

/// State of a process that is shutting down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownConditions {
    /// The window for new requests has expired, and every request has its final answer.
    pub requests_finished: bool,
    /// No client is connected, no connection is pending, and none can be received.
    pub no_connections: bool,
    /// The window in which clients may close their connections has expired.
    pub close_window_expired: bool,
}

/// Returns whether the process may exit. It never exits with an open request; each request has its own deadline.
pub fn may_exit(conditions: &ShutdownConditions) -> bool {
    conditions.requests_finished && (conditions.no_connections || conditions.close_window_expired)
}
