//! The event loop around the reducer: one thread, as the machine has one core.
//!
//! The modules are in the order in which they take part: `startup` opens and recovers everything; `listeners` accept
//! clients' connections; `inputs` waits for the next input; `cycle` passes it to the reducer and `effects` performs the
//! effects that the reducer returns; `peers`, `calls` and `reload` handle other processes of this gateway, operators and
//! SIGHUP; `shutdown` ends the process.

mod startup;

mod listeners;

mod inputs;
mod signals;

mod cycle;
mod effects;

mod calls;
mod peers;
mod reload;

mod shutdown;

use crate::config::{Config, LoadError};
use crate::core::{Core, Event};
use crate::interface::{Milliseconds, SettingsError};
use crate::net::admin::PendingCall;
use crate::net::discovery::NameServiceAddress;
use crate::net::engine::Engines;
use crate::net::front::{FrontendState, ShutdownPhase};
use crate::net::hot_restart::HotRestart;
use crate::net::log;
use crate::net::persistence::{Persistence, PersistenceError};
use crate::net::tasks::{TaskName, Tasks};
use inputs::{Input, Inputs, OptionalInputs, Timers};
use reload::PendingReload;
pub use signals::Signals;
use starlingplank_admin::process_lifecycle::Stage;
use starlingplank_service_discovery::discovery::Discovery;
use startup::Started;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Why the gateway could not serve, or ended before SIGTERM.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The settings contradict each other.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The persistent state is required and cannot be used.
    #[error(transparent)]
    Persistence(#[from] PersistenceError),
    /// An address cannot be listened at, or a required folder cannot be used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A task that the process cannot do without has failed.
    #[error("a task failed")]
    TaskFailed,
}

/// Serves until SIGTERM, then until all requests that were accepted are answered. At SIGHUP `reload` reads the
/// configuration again: the address of the name service may change, while connections, requests and learned state stay.
///
/// # Errors
/// An address cannot be listened at, the settings contradict each other, or a task failed.
pub async fn serve(
    config: Config,
    signals: Signals,
    reload: impl Fn() -> Result<Config, LoadError>,
) -> Result<(), ServeError> {
    let Started { events, calls, failed_tasks, mut runtime } = startup::start(config).await?;
    let timers = Timers::start(&runtime.frontend.limits, runtime.config.knowledge.as_ref());
    let mut inputs = Inputs { signals, events, calls, failed_tasks, timers };
    runtime.run(&mut inputs, &reload).await?;
    runtime.shut_down(inputs).await;
    match runtime.failed {
        true => Err(ServeError::TaskFailed),
        false => Ok(()),
    }
}

/// The gateway around its reducer. It owns the reducer, the connections to engines and the state that is persisted; one
/// task runs it.
struct Runtime {
    config: Config,
    core: Core,
    engines: Box<dyn Engines>,
    frontend: Rc<FrontendState>,
    /// The folder that the processes of this gateway share, if it can be used.
    hot_restart: Option<HotRestart>,
    /// State that is persisted through restarts.
    persistence: Persistence,
    /// The queue of events for the reducer.
    events: mpsc::Sender<Event>,
    /// The address of the name service, for the task that polls it.
    name_service: watch::Sender<NameServiceAddress>,
    /// The queries to the name service, and the age of the endpoint list.
    discovery: Rc<RefCell<Discovery>>,
    /// Starts tasks that the process cannot do without.
    tasks: Tasks,
    /// A task that the process cannot do without has failed: the process ends with an error.
    failed: bool,
    /// Operators' connections that are open.
    callers: Rc<Cell<usize>>,
    /// When it began to wait for the endpoint list.
    started: Instant,
    /// It listens to clients.
    listening: bool,
    /// When SIGTERM was received.
    terminated: Option<Instant>,
    /// All requests that were accepted are answered, and the window for that is over.
    settled: bool,
    /// The name service has answered.
    list_received: bool,
    /// A reload whose file could not be used yet.
    pending_reload: Option<PendingReload>,
    /// The stage of this process, if it could not be published to the others.
    unpublished: Cell<Option<Stage>>,
    statistics: LoopStatistics,
}

/// How long the cycles of the loop took, and how late its timers were.
#[derive(Debug, Default)]
struct LoopStatistics {
    /// The longest cycle.
    longest_cycle: Duration,
    /// The largest delay of a timer of the reducer.
    max_delay: Milliseconds,
}

impl LoopStatistics {
    fn count_cycle(&mut self, begun: Instant) {
        self.longest_cycle = self.longest_cycle.max(begun.elapsed());
    }

    fn count_delay(&mut self, delay: Milliseconds) {
        self.max_delay = self.max_delay.max(delay);
    }
}

impl Runtime {
    /// Runs the loop until the process may end.
    async fn run(
        &mut self,
        inputs: &mut Inputs,
        reload: &impl Fn() -> Result<Config, LoadError>,
    ) -> io::Result<()> {
        loop {
            if !self.listening && self.may_listen(self.started.elapsed()) {
                self.listen_to_clients().await?;
            }
            if self.terminated.is_some_and(|at| self.has_drained(at)) {
                return Ok(());
            }
            let due_at = self.core.next_due();
            let input = inputs.next(self.wake_by(due_at), self.optional_inputs()).await;
            self.frontend.pauses.record_alive(Instant::now());
            if self.reload_is_due() {
                self.reload(reload());
            }
            let mut events = Vec::new();
            self.handle_input(input, reload, &mut events);
            inputs.drain_events(&mut events, self.frontend.limits.event_queue_capacity);
            let delay = self.check_delay(due_at);
            while let Some(PendingCall { call, reply_to }) = inputs.next_waiting_call() {
                drop(reply_to.send(self.answer_call(call, &mut events)));
            }
            let begun = Instant::now();
            self.settled = false;
            self.run_decision_cycles(events);
            self.statistics.count_cycle(begun);
            self.statistics.count_delay(delay);
        }
    }

    /// Begins to listen to clients, and publishes that to other processes of this gateway.
    async fn listen_to_clients(&mut self) -> io::Result<()> {
        listeners::listen_to_clients(&self.config, &self.frontend, &self.tasks).await?;
        self.listening = true;
        self.publish_stage(Stage::Listening);
        Ok(())
    }

    /// When the next cycle begins at the latest.
    fn wake_by(&self, due_at: Option<Milliseconds>) -> Instant {
        let due: Instant = match due_at {
            Some(at) => self.frontend.clock.instant(at).into(),
            None => Instant::now() + self.frontend.limits.maintenance_interval,
        };
        self.pending_reload.map_or(due, |pending| pending.due().min(due))
    }

    fn optional_inputs(&self) -> OptionalInputs {
        OptionalInputs {
            peers: self.hot_restart.is_some() || self.persistence.awaits_folder(),
            knowledge: self.persistence.is_on(),
        }
    }

    /// Turns an input into events for the reducer.
    fn handle_input(
        &mut self,
        input: Input,
        reload: &impl Fn() -> Result<Config, LoadError>,
        events: &mut Vec<Event>,
    ) {
        match input {
            Input::Event(event) => events.extend(event),
            Input::Due => {}
            Input::MaintainEngines => {
                self.engines.maintain(events);
                log::report_lost_lines();
            }
            Input::ObservePeers => self.poll_peers(events),
            Input::Call(PendingCall { call, reply_to }) => {
                drop(reply_to.send(self.answer_call(call, events)));
            }
            Input::MaintainKnowledge => events.push(Event::MaintenanceTick),
            Input::Snapshot => self.write_snapshot(),
            Input::Reload => self.begin_reload(reload()),
            Input::Terminate => self.begin_termination(events),
            Input::TaskFailed(name) => self.end_after_failure(name, events),
        }
    }

    /// Polls the other processes of this gateway, and takes over the folder of persisted state once its owner has ended.
    fn poll_peers(&mut self, events: &mut Vec<Event>) {
        events.extend(self.observe_peers());
        if self.persistence.awaits_folder() && self.take_over_knowledge() {
            events.push(Event::MaintenanceTick);
        }
    }

    fn take_over_knowledge(&mut self) -> bool {
        let now = self.frontend.clock.now();
        self.persistence.take_over(&self.config, &mut self.core, now, &self.events)
    }

    fn write_snapshot(&mut self) {
        let begun = Instant::now();
        self.persistence.save_snapshot(&self.core, self.frontend.clock.now());
        self.persistence.cache_endpoints(&self.core, &self.frontend.settings);
        self.statistics.count_cycle(begun);
    }

    /// Ends the process as SIGTERM does, so that open requests are answered: without the task it would run on and not work.
    fn end_after_failure(&mut self, name: TaskName, events: &mut Vec<Event>) {
        tracing::error!(task = name, "the process ends, as a required task has failed");
        self.failed = true;
        self.begin_termination(events);
    }

    /// Begins the shutdown. A further SIGTERM changes nothing: neither the time that is left nor the shutdown phase.
    fn begin_termination(&mut self, events: &mut Vec<Event>) {
        if self.terminated.is_some() {
            return tracing::info!("SIGTERM: already shutting down");
        }
        tracing::info!("SIGTERM: shutting down");
        // SIGKILL follows the signal by a fixed time, and the signal may have arrived in a pause.
        let requested = self.frontend.pauses.earliest_arrival(Instant::now());
        self.terminated = Some(requested);
        self.frontend.enter_shutdown_phase(ShutdownPhase::Draining);
        events.push(Event::Terminate { requested_at: self.frontend.clock.at(requested) });
        events.extend(self.observe_peers());
        self.persistence.save_snapshot(&self.core, self.frontend.clock.now());
    }

    /// By how much a timer of the reducer is late. A pause of the process is logged: answers that were due in it are late
    /// through no decision.
    fn check_delay(&self, due_at: Option<Milliseconds>) -> Milliseconds {
        let delay = due_at.map_or(0.0, |at| self.frontend.clock.now() - at);
        if delay > self.frontend.limits.pause_threshold {
            tracing::warn!(pause_ms = delay.round(), "the process was paused");
        }
        delay
    }
}
