//! The figures: counted where the thing happens, read by whoever asks.

use std::cell::Cell;
use std::fmt::Write;

/// What is counted of each class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Count {
    /// Requests served: the last byte of the answer was handed to the system.
    Answered,
    /// Requests refused: likewise, whoever worded it.
    Deferred,
    /// Requests failed: likewise.
    Errored,
    /// Attempts whose last byte was handed to the system.
    Sends,
}

/// Name, unit and meaning of every figure. `C` stands for a class.
pub const TABLE: [(&str, &str, &str); 7] = [
    (
        "gateway.answered.C",
        "requests",
        "served since this process started, counted once the answer is written",
    ),
    (
        "gateway.deferred.C",
        "requests",
        "refused since this process started, counted once the refusal is written",
    ),
    (
        "gateway.errored.C",
        "requests",
        "failed since this process started, counted once the failure is written",
    ),
    ("gateway.sends", "attempts", "written whole to engines since this process started"),
    ("gateway.current", "requests", "taken and not yet ended, now"),
    ("gateway.cluster_size", "engines", "in the list, now"),
    (
        "gateway.cluster_unhealthy",
        "engines",
        "in the list that get nothing new now: drained, out by hand, or avoided",
    ),
];

/// One thing that is counted once its last byte is written.
pub type Tally = (usize, Count);

/// Counts by class since the process started.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Vec<[Cell<u64>; 4]>,
}

/// What is so at the moment, and is not counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// Requests taken and not yet ended.
    pub current: usize,
    /// Engines in the list.
    pub cluster_size: usize,
    /// Of these, the ones that get nothing new.
    pub cluster_unhealthy: usize,
}

impl Metrics {
    /// Nothing has happened yet.
    pub fn new(classes: usize) -> Self {
        Self { classes: (0..classes).map(|_| Default::default()).collect() }
    }

    /// It happened.
    pub fn add(&self, (class, count): Tally) {
        if let Some(cell) = self.classes.get(class).map(|c| &c[count as usize]) {
            cell.set(cell.get() + 1);
        }
    }

    /// How often it has happened.
    pub fn get(&self, class: usize, count: Count) -> u64 {
        self.classes.get(class).map_or(0, |c| c[count as usize].get())
    }

    /// All figures, a line each, by the names of [`TABLE`].
    pub fn text(&self, names: &[&str], now: Now) -> String {
        let mut out = String::new();
        let counts =
            [("answered", Count::Answered), ("deferred", Count::Deferred), ("errored", Count::Errored)];
        for (what, count) in counts {
            for (class, name) in names.iter().enumerate() {
                let _ = writeln!(out, "gateway.{what}.{name}={}", self.get(class, count));
            }
        }
        let sends: u64 = (0..self.classes.len()).map(|c| self.get(c, Count::Sends)).sum();
        let _ = writeln!(out, "gateway.sends={sends}\ngateway.current={}", now.current);
        let _ = writeln!(out, "gateway.cluster_size={}", now.cluster_size);
        let _ = writeln!(out, "gateway.cluster_unhealthy={}", now.cluster_unhealthy);
        out
    }
}

#[cfg(test)]
mod tests;
