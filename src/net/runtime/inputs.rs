//! Inputs of the event loop: signals, events for the reducer, operators' calls and timers.

use crate::config::PersistenceSettings;
use crate::core::Event;
use crate::limits::Limits;
use crate::net::admin::PendingCall;
use crate::net::runtime::signals::{ReceivedSignal, Signals};
use crate::net::tasks::TaskName;
use std::time::Duration;
use tokio::sync::mpsc::Receiver;
use tokio::time::{interval, interval_at, sleep_until, Instant, Interval, MissedTickBehavior};

/// One input of the event loop.
pub(super) enum Input {
    /// An event for the reducer; `None` if the queue of events is closed.
    Event(Option<Event>),
    /// The reducer's next timer is due.
    Due,
    /// The maintenance tick of the connections to engines is due.
    MaintainEngines,
    /// The next poll of the other processes of this gateway is due.
    ObservePeers,
    /// A call of an operator.
    Call(PendingCall),
    /// The maintenance tick of the idempotency log is due.
    MaintainIdempotencyLog,
    /// The next snapshot is due.
    Snapshot,
    /// SIGHUP.
    Reload,
    /// SIGTERM.
    Terminate,
    /// A required task panicked.
    TaskFailed(TaskName),
}

/// Timers of the event loop. A late tick delays the ticks that follow it.
pub(super) struct Timers {
    maintain_engines: Interval,
    maintain_idempotency_log: Interval,
    snapshots: Interval,
    observe_peers: Interval,
}

impl Timers {
    /// Starts all timers. The first tick is immediate, except for snapshots, where it follows after one interval.
    pub(super) fn start(limits: &Limits, persistence: Option<&PersistenceSettings>) -> Self {
        let snapshot_interval = persistence.map_or(limits.log_maintenance_interval, |settings| {
            Duration::from_secs_f64(settings.snapshot_interval / 1000.0)
        });
        Self {
            maintain_engines: delayed(interval(limits.maintenance_interval)),
            maintain_idempotency_log: delayed(interval(limits.log_maintenance_interval)),
            snapshots: delayed(interval_at(Instant::now() + snapshot_interval, snapshot_interval)),
            observe_peers: delayed(interval(limits.peer_poll_interval)),
        }
    }
}

fn delayed(mut timer: Interval) -> Interval {
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    timer
}

/// Inputs that only some configurations have.
#[derive(Debug, Clone, Copy)]
pub(super) struct OptionalInputs {
    /// Whether other processes of this gateway are polled.
    pub peers: bool,
    /// Whether state is persisted across restarts.
    pub persistence: bool,
}

/// All sources of input of the event loop.
pub(super) struct Inputs {
    /// SIGTERM and SIGHUP.
    pub signals: Signals,
    /// Queue of events for the reducer.
    pub events: Receiver<Event>,
    /// Queue of operators' calls.
    pub calls: Receiver<PendingCall>,
    /// Names of required tasks that failed.
    pub failed_tasks: Receiver<TaskName>,
    /// The periodic timers.
    pub timers: Timers,
}

impl Inputs {
    /// Waits for the next input, but no longer than until `due`.
    pub(super) async fn next(&mut self, due: Instant, optional: OptionalInputs) -> Input {
        let (signals, timers) = (&self.signals, &mut self.timers);
        tokio::select! {
            event = self.events.recv() => Input::Event(event),
            () = sleep_until(due) => Input::Due,
            _ = timers.maintain_engines.tick() => Input::MaintainEngines,
            _ = timers.observe_peers.tick(), if optional.peers => Input::ObservePeers,
            Some(call) = self.calls.recv() => Input::Call(call),
            _ = timers.maintain_idempotency_log.tick(), if optional.persistence => Input::MaintainIdempotencyLog,
            _ = timers.snapshots.tick(), if optional.persistence => Input::Snapshot,
            signal = signals.next() => match signal {
                ReceivedSignal::Reload => Input::Reload,
                ReceivedSignal::Terminate => Input::Terminate,
            },
            Some(name) = self.failed_tasks.recv() => Input::TaskFailed(name),
        }
    }

    /// Moves queued events to `events` until the queue is empty or `events` holds `max` events.
    pub(super) fn drain_events(&mut self, events: &mut Vec<Event>, max: usize) {
        while let Ok(event) = self.events.try_recv() {
            events.push(event);
            if events.len() >= max {
                break;
            }
        }
    }

    /// Returns the next queued operator's call, if there is one.
    pub(super) fn next_queued_call(&mut self) -> Option<PendingCall> {
        self.calls.try_recv().ok()
    }
}
