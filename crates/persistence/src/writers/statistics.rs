//! What the threads have written.

/// What a thread has written since it was started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WriteStatistics {
    /// Bytes passed to the disk.
    pub bytes: u64,
    /// Writes that were made durable.
    pub writes: u64,
}

impl WriteStatistics {
    pub(super) fn count(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
        self.writes += 1;
    }
}
