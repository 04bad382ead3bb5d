//! Whether a process that was told to end may do so.

/// What is so of a process that was told to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndFacts {
    /// The time in which new requests are still taken is over, and every request is answered.
    pub settled: bool,
    /// No client is connected, and no connection waits or can come.
    pub unconnected: bool,
    /// The time for connections to be closed is over as well.
    pub overdue: bool,
}

/// Whether the process may end. An open request keeps it in any case: it has a deadline of its own.
pub fn may_end(facts: &EndFacts) -> bool {
    facts.settled && (facts.unconnected || facts.overdue)
}
