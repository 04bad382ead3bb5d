//! The inputs of the loop: signals, events, operators' calls and timers.

use crate::config::PersistenceSettings;
use crate::core::Event;
use crate::limits::Limits;
use crate::net::admin::PendingCall;
use crate::net::runtime::signals::{Received, Signals};
use crate::net::tasks::TaskName;
use std::time::Duration;
use tokio::sync::mpsc::Receiver;
use tokio::time::{interval, interval_at, sleep_until, Instant, Interval, MissedTickBehavior};

/// An input of the loop.
pub(super) enum Input {
    /// An event for the reducer.
    Event(Option<Event>),
    /// A timer of the reducer is due.
    Due,
    /// The maintenance tick of the connections to engines.
    MaintainEngines,
    /// The other processes of this gateway are due to be polled.
    ObservePeers,
    /// An operator calls.
    Call(PendingCall),
    /// The maintenance tick of persisted state.
    MaintainKnowledge,
    /// A snapshot is due.
    Snapshot,
    /// SIGHUP.
    Reload,
    /// SIGTERM.
    Terminate,
    /// A task that the process cannot do without ended by a panic.
    TaskFailed(TaskName),
}

/// The timers of the loop. A late tick delays those after it.
pub(super) struct Timers {
    maintain_engines: Interval,
    maintain_knowledge: Interval,
    snapshots: Interval,
    observe_peers: Interval,
}

impl Timers {
    /// Starts all timers. All but the one for snapshots have their first tick at once.
    pub(super) fn start(limits: &Limits, knowledge: Option<&PersistenceSettings>) -> Self {
        let snapshot_interval = knowledge.map_or(limits.log_maintenance_interval, |settings| {
            Duration::from_secs_f64(settings.snapshot_interval / 1000.0)
        });
        Self {
            maintain_engines: delayed(interval(limits.maintenance_interval)),
            maintain_knowledge: delayed(interval(limits.log_maintenance_interval)),
            snapshots: delayed(interval_at(Instant::now() + snapshot_interval, snapshot_interval)),
            observe_peers: delayed(interval(limits.peer_poll_interval)),
        }
    }
}

fn delayed(mut timer: Interval) -> Interval {
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    timer
}

/// Inputs that only some gateways have.
#[derive(Debug, Clone, Copy)]
pub(super) struct OptionalInputs {
    /// Other processes of this gateway are polled.
    pub peers: bool,
    /// State is persisted through restarts.
    pub knowledge: bool,
}

/// Everything that the loop waits for.
pub(super) struct Inputs {
    /// Signals.
    pub signals: Signals,
    /// Events for the reducer.
    pub events: Receiver<Event>,
    /// Operators' calls.
    pub calls: Receiver<PendingCall>,
    /// Tasks that failed.
    pub failed_tasks: Receiver<TaskName>,
    /// Timers.
    pub timers: Timers,
}

impl Inputs {
    /// Waits for the next input, until `due` at the longest.
    pub(super) async fn next(&mut self, due: Instant, optional: OptionalInputs) -> Input {
        let (signals, timers) = (&self.signals, &mut self.timers);
        tokio::select! {
            event = self.events.recv() => Input::Event(event),
            () = sleep_until(due) => Input::Due,
            _ = timers.maintain_engines.tick() => Input::MaintainEngines,
            _ = timers.observe_peers.tick(), if optional.peers => Input::ObservePeers,
            Some(call) = self.calls.recv() => Input::Call(call),
            _ = timers.maintain_knowledge.tick(), if optional.knowledge => Input::MaintainKnowledge,
            _ = timers.snapshots.tick(), if optional.knowledge => Input::Snapshot,
            signal = signals.next() => match signal {
                Received::Reload => Input::Reload,
                Received::Terminate => Input::Terminate,
            },
            Some(name) = self.failed_tasks.recv() => Input::TaskFailed(name),
        }
    }

    /// Takes the events that are queued, until there are `max` events.
    pub(super) fn drain_events(&mut self, events: &mut Vec<Event>, max: usize) {
        while let Ok(event) = self.events.try_recv() {
            events.push(event);
            if events.len() >= max {
                break;
            }
        }
    }

    /// An operator's call that is queued, if there is one.
    pub(super) fn next_waiting_call(&mut self) -> Option<PendingCall> {
        self.calls.try_recv().ok()
    }
}
