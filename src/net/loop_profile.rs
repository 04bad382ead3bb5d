//! Profile of the event loop: the time that each kind of task takes, and the tasks that hold up the loop.
//!
//! All tasks of a process share one thread, so a task that runs for long delays timers, engines, signals and all clients.
//! Each poll of a task is recorded. The event loop ends a cycle of the profile each time it runs, and logs a cycle that took
//! long with the tasks that ran in it.

use crate::net::log;
use rustix::time::{clock_gettime, ClockId};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a cycle holds up the event loop from which on it is logged.
const LONG_CYCLE: Duration = Duration::from_millis(50);
/// Divisor of the time for which a cycle holds up the loop that gives the CPU time up to which the process counts as paused in it.
const PAUSED_CPU_DIVISOR: u32 = 20;

/// Kind of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskKind {
    /// The reducer and the effects that it requests.
    Reducer,
    /// A listener for clients.
    Listener,
    /// A connection of a client.
    Client,
    /// A connection to an engine.
    Engine,
    /// The poller of the name service.
    Discovery,
    /// An operator's connection.
    Operator,
}

impl TaskKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Self; 6] =
        [Self::Reducer, Self::Listener, Self::Client, Self::Engine, Self::Discovery, Self::Operator];

    /// Returns the name of the kind in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Reducer => "reducer",
            Self::Listener => "listener",
            Self::Client => "client",
            Self::Engine => "engine",
            Self::Discovery => "discovery",
            Self::Operator => "operator",
        }
    }
}

/// A task that is measured: its kind, and the address of its peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Task {
    /// Kind of the task.
    pub kind: TaskKind,
    /// Address of the peer, if the task serves one.
    pub peer: Option<SocketAddr>,
}

impl Task {
    /// Returns a task that serves the peer at this address.
    pub fn of_peer(kind: TaskKind, peer: SocketAddr) -> Self {
        Self { kind, peer: Some(peer) }
    }

    /// Returns a task without a peer.
    pub fn new(kind: TaskKind) -> Self {
        Self { kind, peer: None }
    }
}

impl fmt::Display for Task {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.kind.name())?;
        self.peer.map_or(Ok(()), |peer| write!(formatter, " {peer}"))
    }
}

/// Time that the tasks of each kind took, in the order of [`TaskKind::ALL`].
pub type TimeByKind = [Duration; TaskKind::ALL.len()];

/// The current cycle of the event loop.
#[derive(Debug)]
struct Cycle {
    cpu_time_at_start: Duration,
    time_by_kind: TimeByKind,
    /// The longest poll of a task in the cycle, and the task.
    longest: Option<(Duration, Task)>,
}

impl Cycle {
    fn start() -> Self {
        Self { cpu_time_at_start: cpu_time(), time_by_kind: TimeByKind::default(), longest: None }
    }
}

/// Profile of the event loop, shared by all measured tasks.
#[derive(Debug)]
pub struct LoopProfile {
    cycle: RefCell<Cycle>,
    total_by_kind: RefCell<TimeByKind>,
    longest_by_kind: RefCell<TimeByKind>,
    longest_cycle: Cell<Duration>,
}

impl Default for LoopProfile {
    fn default() -> Self {
        Self {
            cycle: RefCell::new(Cycle::start()),
            total_by_kind: RefCell::default(),
            longest_by_kind: RefCell::default(),
            longest_cycle: Cell::default(),
        }
    }
}

impl LoopProfile {
    /// Records that a task ran for this time without returning to the event loop.
    pub fn record(&self, task: Task, time: Duration) {
        let index = task.kind as usize;
        self.total_by_kind.borrow_mut()[index] += time;
        let longest = &mut self.longest_by_kind.borrow_mut()[index];
        *longest = time.max(*longest);
        let mut cycle = self.cycle.borrow_mut();
        cycle.time_by_kind[index] += time;
        if cycle.longest.is_none_or(|(longest, _)| time > longest) {
            cycle.longest = Some((time, task));
        }
    }

    /// Ends the current cycle and begins the next one. `delay` is the time by which the event loop runs later than it was asked to. A
    /// cycle that held up the loop, by a delay or by one task that ran for long, is logged: as a pause if the process got hardly
    /// any CPU time in it, and otherwise with the tasks that ran.
    pub fn end_cycle(&self, delay: Duration) {
        let ended = self.cycle.replace(Cycle::start());
        let longest = ended.longest.map_or(Duration::ZERO, |(longest, _)| longest);
        let taken = longest.max(delay);
        self.longest_cycle.set(self.longest_cycle.get().max(taken));
        if taken < LONG_CYCLE {
            return;
        }
        let cpu = cpu_time().saturating_sub(ended.cpu_time_at_start);
        if cpu < taken / PAUSED_CPU_DIVISOR {
            log_pause(taken, cpu);
        } else {
            log_long_cycle(&ended, taken, cpu);
        }
    }

    /// Returns the time that the tasks of each kind took since the start of the process.
    pub fn total_by_kind(&self) -> TimeByKind {
        *self.total_by_kind.borrow()
    }

    /// Returns the longest poll of a task of each kind since the start of the process.
    pub fn longest_by_kind(&self) -> TimeByKind {
        *self.longest_by_kind.borrow()
    }

    /// Returns the longest time for which a cycle held up the loop since the start of the process.
    pub fn longest_cycle(&self) -> Duration {
        self.longest_cycle.get()
    }
}

/// Returns the CPU time that this thread has used.
fn cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

fn milliseconds(time: Duration) -> f64 {
    (time.as_secs_f64() * 10_000.0).round() / 10.0
}

fn log_pause(taken: Duration, cpu: Duration) {
    let (pause_ms, cpu_ms) = (milliseconds(taken).round(), milliseconds(cpu));
    tracing::warn!(pause_ms, cpu_ms, "the process was paused");
}

fn log_long_cycle(cycle: &Cycle, taken: Duration, cpu: Duration) {
    const MESSAGE: &str = "a cycle of the event loop took long";
    let Some(more) = log::suppressed_if_due(MESSAGE) else { return };
    let time_of = |kind: TaskKind| milliseconds(cycle.time_by_kind[kind as usize]);
    let longest = cycle.longest.map(|(time, task)| format!("{task}, {} ms", milliseconds(time)));
    tracing::warn!(
        cycle_ms = milliseconds(taken),
        cpu_ms = milliseconds(cpu),
        reducer_ms = time_of(TaskKind::Reducer),
        listener_ms = time_of(TaskKind::Listener),
        client_ms = time_of(TaskKind::Client),
        engine_ms = time_of(TaskKind::Engine),
        discovery_ms = time_of(TaskKind::Discovery),
        operator_ms = time_of(TaskKind::Operator),
        longest,
        more,
        "{MESSAGE}"
    );
}

#[cfg(test)]
mod tests;
