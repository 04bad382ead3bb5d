//! The levels of load, in threads a core, at which latencies are learned and among which the concurrency limit is
//! chosen.

/// The levels, in threads a core of all gateways together. Evenly spaced from the first.
pub(crate) const LEVELS: [f64; 12] = [0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0, 2.25, 2.5, 2.75, 3.0];

/// The lowest level.
pub(crate) const MIN_LEVEL: f64 = LEVELS[0];

/// The highest level. A load past it is far more than an engine can serve.
pub(crate) const MAX_LEVEL: f64 = LEVELS[LEVELS.len() - 1];

/// The index of the concurrency limit before anything is learned: 1.5 threads a core.
pub(crate) const INITIAL_LIMIT: usize = 5;

/// The index of the level nearest to a load in threads a core.
pub(crate) fn level_index(load: f64) -> usize {
    ((load / MIN_LEVEL).round().clamp(1.0, LEVELS.len() as f64) as usize).saturating_sub(1)
}

#[cfg(test)]
mod tests;
