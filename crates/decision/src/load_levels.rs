//! Load levels in threads a core, for which latencies are learned and among which the concurrency limit is chosen.

/// Load levels in threads a core, over all gateways. Evenly spaced, with the first level as the step.
pub(crate) const LEVELS: [f64; 12] = [0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0, 2.25, 2.5, 2.75, 3.0];

/// Lowest load level.
pub(crate) const MIN_LEVEL: f64 = LEVELS[0];

/// Highest load level. A higher load is far more than an engine can serve.
pub(crate) const MAX_LEVEL: f64 = LEVELS[LEVELS.len() - 1];

/// Index of the concurrency limit before anything has been learned: 1.5 threads a core.
pub(crate) const INITIAL_LIMIT: usize = 5;

/// Returns the index of the level nearest to a load in threads a core.
pub(crate) fn level_index(load: f64) -> usize {
    ((load / MIN_LEVEL).round().clamp(1.0, LEVELS.len() as f64) as usize).saturating_sub(1)
}

#[cfg(test)]
mod tests;
