//! Whether a process that is shutting down may exit.

/// The state of a process that is shutting down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndFacts {
    /// The window for new requests is over, and every request has its final answer.
    pub settled: bool,
    /// No client is connected, and no connection is pending or can arrive.
    pub unconnected: bool,
    /// The window for closing connections is over as well.
    pub overdue: bool,
}

/// Whether the process may exit. It never exits with an open request, which has a deadline of its own.
pub fn may_end(facts: &EndFacts) -> bool {
    facts.settled && (facts.unconnected || facts.overdue)
}
