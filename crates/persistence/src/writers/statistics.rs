//! Amounts that the writer threads have written.

/// Amounts that a thread has written since it was started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WriteStatistics {
    /// Number of bytes written.
    pub bytes: u64,
    /// Number of writes that were made durable.
    pub writes: u64,
}

impl WriteStatistics {
    pub(super) fn count(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
        self.writes += 1;
    }
}
