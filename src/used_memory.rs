//! A number of bytes in use, with its peak.

use std::cell::Cell;

/// Memory of one owner: the number of bytes in use, and the largest number so far.
#[derive(Debug, Default)]
pub struct UsedMemory {
    bytes: Cell<usize>,
    peak: Cell<usize>,
}

impl UsedMemory {
    /// Returns the number of bytes in use.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Returns the largest number of bytes that were in use at a time.
    pub fn peak(&self) -> usize {
        self.peak.get()
    }

    /// Counts bytes that were added and removed.
    pub fn update(&self, added: usize, removed: usize) {
        let bytes = self.bytes.get() + added - removed;
        self.bytes.set(bytes);
        self.peak.set(self.peak.get().max(bytes));
    }
}

#[cfg(test)]
mod tests;
