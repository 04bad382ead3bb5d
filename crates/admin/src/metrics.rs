//! The gateway's metrics. Events are counted where they happen; the counts are read by the administration calls on the second
//! address and written to the log when the process ends.

use std::cell::Cell;
use std::fmt::Write;

/// Events that are counted for each class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Count {
    /// Requests that were served, counted once the last byte of the answer was passed to the operating system.
    Answered,
    /// Requests that the gateway or an engine rejected, counted at the same point.
    Deferred,
    /// Requests that failed, counted at the same point.
    Errored,
    /// Attempts, counted once the last byte was passed to the operating system.
    Sends,
}

/// Documentation of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MetricDescription {
    /// Name of the metric, in which `C` stands for the name of a class, `R` for a reason to close and `T` for a kind of task.
    pub name: &'static str,
    /// Unit of the metric.
    pub unit: &'static str,
    /// Description of the values.
    pub description: &'static str,
}

const fn describe(name: &'static str, unit: &'static str, description: &'static str) -> MetricDescription {
    MetricDescription { name, unit, description }
}

/// Descriptions of all metrics.
pub const TABLE: [MetricDescription; 16] = [
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
    describe(
        "gateway.memory_incoming",
        "bytes",
        "taken or reserved for messages that clients have not completed, now",
    ),
    describe(
        "gateway.memory_outgoing",
        "bytes",
        "taken by results and by answers that clients have not read, now",
    ),
    describe("gateway.memory.O", "bytes", "counted for the owner O, now; `resident`: of the process, as the kernel counts it"),
    describe("gateway.memory_peak.O", "bytes", "the largest value of `gateway.memory.O` since this process started"),
    describe("gateway.waiting.W", "connections", "of clients that wait for the resource W, now"),
    describe(
        "gateway.longest_wait.W",
        "microseconds",
        "the longest wait of a client's connection for the resource W that has ended since this process started",
    ),
    describe(
        "gateway.closed.R",
        "connections",
        "of clients that ended for the reason R since this process started",
    ),
    describe(
        "gateway.loop_time.T",
        "microseconds",
        "that tasks of the kind T ran since this process started",
    ),
    describe(
        "gateway.loop_longest.T",
        "microseconds",
        "the longest that a task of the kind T ran without letting others run, since this process started",
    ),
];

/// Index of a class and the event to count for it.
pub type CounterKey = (usize, Count);

/// Counts of events by class since the process started.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Vec<[Cell<u64>; 4]>,
}

/// Current values, which are measured rather than counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Number of requests that were accepted and are not yet answered.
    pub current: usize,
    /// Number of engines in the endpoint list.
    pub cluster_size: usize,
    /// Number of engines in the endpoint list that get no new work.
    pub cluster_unhealthy: usize,
    /// Number of bytes that are taken or reserved for incomplete messages from clients.
    pub memory_incoming: usize,
    /// Number of bytes of results and queued answers.
    pub memory_outgoing: usize,
}

/// Metrics whose names end with the name of an owner, a resource, a reason or a kind of task.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NamedCounts {
    /// Bytes that are counted now, by owner.
    pub memory: Vec<(&'static str, u64)>,
    /// Largest numbers of bytes that were counted, by owner.
    pub memory_peak: Vec<(&'static str, u64)>,
    /// Numbers of client connections that wait now, by resource.
    pub waiting: Vec<(&'static str, u64)>,
    /// Longest waits in microseconds, by resource.
    pub longest_wait: Vec<(&'static str, u64)>,
    /// Numbers of client connections that ended, by reason.
    pub closed: Vec<(&'static str, u64)>,
    /// Time in microseconds that tasks ran, by kind.
    pub loop_time: Vec<(&'static str, u64)>,
    /// Longest time in microseconds that a task ran without letting others run, by kind.
    pub loop_longest: Vec<(&'static str, u64)>,
}

impl NamedCounts {
    fn write(&self, out: &mut String) {
        let metrics = [
            ("memory", &self.memory),
            ("memory_peak", &self.memory_peak),
            ("waiting", &self.waiting),
            ("longest_wait", &self.longest_wait),
            ("closed", &self.closed),
            ("loop_time", &self.loop_time),
            ("loop_longest", &self.loop_longest),
        ];
        for (metric, counts) in metrics {
            for (name, count) in counts {
                let _ = writeln!(out, "gateway.{metric}.{name}={count}");
            }
        }
    }
}

impl Metrics {
    /// Creates the counts of this number of classes, all zero.
    pub fn new(classes: usize) -> Self {
        Self { classes: (0..classes).map(|_| Default::default()).collect() }
    }

    /// Counts an event. An event of an unknown class is ignored.
    pub fn add(&self, (class, count): CounterKey) {
        let Some(counts) = self.classes.get(class) else { return };
        let cell = &counts[count as usize];
        cell.set(cell.get() + 1);
    }

    /// Returns the number of times that an event was counted, 0 for an unknown class.
    pub fn get(&self, class: usize, count: Count) -> u64 {
        self.classes.get(class).map_or(0, |counts| counts[count as usize].get())
    }

    /// Formats all metrics, one per line, under the names of [`TABLE`]. `names` are the names of the classes.
    pub fn text(&self, names: &[&str], gauges: Gauges, named_counts: &NamedCounts) -> String {
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
        let _ = writeln!(out, "gateway.memory_incoming={}", gauges.memory_incoming);
        let _ = writeln!(out, "gateway.memory_outgoing={}", gauges.memory_outgoing);
        named_counts.write(&mut out);
        out
    }
}

#[cfg(test)]
mod tests;
