//! Simulated engines that execute the requests which the gateway sends.

use starlingplank_persistence::deduplication_window::Key;
use std::collections::HashMap;

/// Time for which an engine drops repeats of a key, in ms.
pub(crate) const WINDOW: f64 = 12_000.0;

/// One execution of a request. Times in ms.
struct Run {
    began: f64,
    /// Time at which the gateway received the request.
    received: f64,
}

/// All engines, simulated as one: each of them drops repeats of a key that another one has executed.
#[derive(Default)]
pub(crate) struct Engines {
    first_run: HashMap<Key, f64>,
    runs: HashMap<Key, Vec<Run>>,
}

impl Engines {
    /// Executes a request unless it repeats a key within the key's window.
    pub(crate) fn execute(&mut self, key: Key, received: f64, now: f64) {
        if self.first_run.get(&key).is_some_and(|at| now < at + WINDOW) {
            return;
        }
        self.first_run.insert(key, now);
        self.runs.entry(key).or_default().push(Run { began: now, received });
    }

    /// Returns the number of wrong executions: those whose request the gateway received before or within the window of an
    /// earlier execution under the same key.
    pub(crate) fn repeated_runs(&self) -> usize {
        let is_repeat = |pair: &&[Run]| pair[1].received < pair[0].began + WINDOW;
        self.runs.values().map(|runs| runs.windows(2).filter(is_repeat).count()).sum()
    }

    /// Returns the number of all executions.
    pub(crate) fn run_count(&self) -> usize {
        self.runs.values().map(Vec::len).sum()
    }
}
