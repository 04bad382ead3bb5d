//! The gateway's metrics: counted where the event happens, read by the second address and the last log lines.

use std::cell::Cell;
use std::fmt::Write;

/// What is counted for each class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Count {
    /// Requests served, counted once the last byte of the answer was passed to the system.
    Answered,
    /// Requests rejected, by the gateway or an engine; counted likewise.
    Deferred,
    /// Requests failed; counted likewise.
    Errored,
    /// Attempts, counted once the last byte was passed to the system.
    Sends,
}

/// A metric as it is documented.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MetricDescription {
    /// Its name; `C` stands for a class.
    pub name: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// What it counts.
    pub description: &'static str,
}

const fn describe(name: &'static str, unit: &'static str, description: &'static str) -> MetricDescription {
    MetricDescription { name, unit, description }
}

/// All metrics.
pub const TABLE: [MetricDescription; 7] = [
    describe(
        "gateway.answered.C",
        "requests",
        "served since this process started, counted once the answer is written",
    ),
    describe(
        "gateway.deferred.C",
        "requests",
        "refused since this process started, counted once the refusal is written",
    ),
    describe(
        "gateway.errored.C",
        "requests",
        "failed since this process started, counted once the failure is written",
    ),
    describe("gateway.sends", "attempts", "written whole to engines since this process started"),
    describe("gateway.current", "requests", "taken and not yet ended, now"),
    describe("gateway.cluster_size", "engines", "in the list, now"),
    describe(
        "gateway.cluster_unhealthy",
        "engines",
        "in the list that get nothing new now: drained, out by hand, or avoided",
    ),
];

/// Index of a class, and what is counted for it.
pub type Tally = (usize, Count);

/// Counts by class since the process started.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Vec<[Cell<u64>; 4]>,
}

/// Values of the moment, which are not counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests accepted and not yet answered.
    pub current: usize,
    /// Engines in the list.
    pub cluster_size: usize,
    /// Engines in the list that get no new work.
    pub cluster_unhealthy: usize,
}

impl Metrics {
    /// All counts are zero.
    pub fn new(classes: usize) -> Self {
        Self { classes: (0..classes).map(|_| Default::default()).collect() }
    }

    /// Counts an event. An unknown class is ignored.
    pub fn add(&self, (class, count): Tally) {
        let Some(counts) = self.classes.get(class) else { return };
        let cell = &counts[count as usize];
        cell.set(cell.get() + 1);
    }

    /// How often an event was counted; 0 for an unknown class.
    pub fn get(&self, class: usize, count: Count) -> u64 {
        self.classes.get(class).map_or(0, |counts| counts[count as usize].get())
    }

    /// All metrics, one a line, by the names of [`TABLE`]. `names` are those of the classes.
    pub fn text(&self, names: &[&str], gauges: Gauges) -> String {
        let mut out = String::new();
        let counts =
            [("answered", Count::Answered), ("deferred", Count::Deferred), ("errored", Count::Errored)];
        for (metric, count) in counts {
            for (class, name) in names.iter().enumerate() {
                let _ = writeln!(out, "gateway.{metric}.{name}={}", self.get(class, count));
            }
        }
        let sends: u64 = (0..self.classes.len()).map(|class| self.get(class, Count::Sends)).sum();
        let _ = writeln!(out, "gateway.sends={sends}\ngateway.current={}", gauges.current);
        let _ = writeln!(out, "gateway.cluster_size={}", gauges.cluster_size);
        let _ = writeln!(out, "gateway.cluster_unhealthy={}", gauges.cluster_unhealthy);
        out
    }
}

#[cfg(test)]
mod tests;
