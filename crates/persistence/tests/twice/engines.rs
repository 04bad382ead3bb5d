//! The engines that run what the gateway sends.

use starlingplank_persistence::deduplication_window::Key;
use std::collections::HashMap;

/// How long an engine drops repeats of a key, in ms.
pub(crate) const WINDOW: f64 = 12_000.0;

/// A run of a request, in ms.
struct Run {
    began: f64,
    /// When the gateway received the request.
    received: f64,
}

/// All engines as one: any of them drops the repeats of a key that another ran.
#[derive(Default)]
pub(crate) struct Engines {
    first_run: HashMap<Key, f64>,
    runs: HashMap<Key, Vec<Run>>,
}

impl Engines {
    /// Runs a request unless it repeats a key within its window.
    pub(crate) fn execute(&mut self, key: Key, received: f64, now: f64) {
        if self.first_run.get(&key).is_some_and(|at| now < at + WINDOW) {
            return;
        }
        self.first_run.insert(key, now);
        self.runs.entry(key).or_default().push(Run { began: now, received });
    }

    /// Counts runs of a request that was received within the window of an earlier run, or before it.
    pub(crate) fn repeated_runs(&self) -> usize {
        let is_repeat = |pair: &&[Run]| pair[1].received < pair[0].began + WINDOW;
        self.runs.values().map(|runs| runs.windows(2).filter(is_repeat).count()).sum()
    }

    /// Counts all runs.
    pub(crate) fn run_count(&self) -> usize {
        self.runs.values().map(Vec::len).sum()
    }
}
