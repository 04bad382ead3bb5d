//! Whether a process that is shutting down may exit.

/// The state of a process that is shutting down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownConditions {
    /// The window for new requests is over, and every request has its final answer.
    pub requests_finished: bool,
    /// No client is connected, and no connection is pending or can arrive.
    pub no_connections: bool,
    /// The window for closing connections is over as well.
    pub close_window_expired: bool,
}

/// Whether the process may exit. It never exits with an open request, which has a deadline of its own.
pub fn may_exit(facts: &ShutdownConditions) -> bool {
    facts.requests_finished && (facts.no_connections || facts.close_window_expired)
}
