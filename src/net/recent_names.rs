//! Names that were used recently, in a bounded memory.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Hashes of the names that were inserted last. A name may be reported as contained although only its hash is.
#[derive(Debug)]
pub(crate) struct RecentNames {
    hashes: VecDeque<u64>,
    capacity: usize,
}

impl RecentNames {
    /// Creates an empty list of at most `capacity` names.
    pub(crate) fn new(capacity: usize) -> Self {
        Self { hashes: VecDeque::new(), capacity }
    }

    /// Inserts a name, in place of the oldest one if the list is full.
    pub(crate) fn insert(&mut self, name: &str) {
        if self.hashes.len() >= self.capacity {
            self.hashes.pop_front();
        }
        self.hashes.push_back(hash(name));
    }

    /// Returns whether the name was inserted recently.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.hashes.contains(&hash(name))
    }
}

fn hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests;
