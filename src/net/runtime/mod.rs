//! The event loop around the reducer. It runs on one thread, as the machine has one core.
//!
//! The modules are declared in the order in which they run: `startup` opens all resources and recovers stored state;
//! `listeners` accepts clients' connections; `inputs` waits for the next input; `cycle` passes it to the reducer and `effects`
//! performs the effects that the reducer returns; `peers`, `calls` and `reload` handle other processes of this gateway,
//! operators' calls and SIGHUP; `shutdown` ends the process.

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
use crate::net::loop_profile::{Task, TaskKind};
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

/// Reason why the gateway could not start, or exited without SIGTERM.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The settings contradict each other.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The persistence folder is required and cannot be used, or a writer thread cannot be started.
    #[error(transparent)]
    Persistence(#[from] PersistenceError),
    /// Listening at an address failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A required task panicked.
    #[error("a required task panicked")]
    TaskFailed,
}

/// Serves until SIGTERM, and then until all accepted requests are answered. On SIGHUP, `reload` loads the configuration again:
/// only the address of the name service is replaced, while connections, requests and learned state are kept.
///
/// # Errors
/// Listening at an address fails, the settings contradict each other, the persistence folder is required and cannot be used,
/// or a required task panicked.
pub async fn serve(
    config: Config,
    signals: Signals,
    reload: impl Fn() -> Result<Config, LoadError>,
) -> Result<(), ServeError> {
    let Started { events, calls, failed_tasks, mut runtime } = startup::start(config).await?;
    let timers = Timers::start(&runtime.frontend.limits, runtime.config.persistence.as_ref());
    let mut inputs = Inputs { signals, events, calls, failed_tasks, timers };
    runtime.run(&mut inputs, &reload).await?;
    runtime.shut_down(inputs).await;
    match runtime.task_failed {
        true => Err(ServeError::TaskFailed),
        false => Ok(()),
    }
}

/// The event loop's state. It owns the reducer, the connections to engines and the persistent state, and is run by a single
/// task.
struct Runtime {
    config: Config,
    core: Core,
    engines: Box<dyn Engines>,
    frontend: Rc<FrontendState>,
    /// The folder that the processes of this gateway share; `None` if it cannot be used or no operators' address is configured.
    hot_restart: Option<HotRestart>,
    /// State that is persisted across restarts.
    persistence: Persistence,
    /// The queue of events for the reducer.
    events: mpsc::Sender<Event>,
    /// Publishes the address of the name service to the task that polls it.
    name_service: watch::Sender<NameServiceAddress>,
    /// State of service discovery: polls of the name service and the age of the endpoint list.
    discovery: Rc<RefCell<Discovery>>,
    /// Starts required tasks and reports those that fail.
    tasks: Tasks,
    /// Whether a required task has failed: the process then exits with an error.
    task_failed: bool,
    /// Number of open operators' connections.
    operator_count: Rc<Cell<usize>>,
    /// Time at which the process began to wait for the endpoint list.
    awaiting_list_since: Instant,
    /// Whether the process listens for clients.
    listening: bool,
    /// Time at which SIGTERM was received, if it was.
    terminated_at: Option<Instant>,
    /// Whether the last decision cycle found that all accepted requests are answered and the shutdown window has passed.
    requests_finished: bool,
    /// Whether the name service has sent an endpoint list; always true without a name service.
    list_received: bool,
    /// A failed reload of the configuration that is to be retried.
    pending_reload: Option<PendingReload>,
    /// The stage of this process, if publishing it to the other processes failed.
    unpublished_stage: Cell<Option<Stage>>,
    statistics: LoopStatistics,
}

/// Statistics of the event loop, logged when the process exits.
#[derive(Debug, Default)]
struct LoopStatistics {
    /// Duration of the longest cycle.
    longest_cycle: Duration,
    /// Largest delay of one of the reducer's timers.
    max_delay: Milliseconds,
}

impl LoopStatistics {
    fn count_cycle(&mut self, started_at: Instant) {
        self.longest_cycle = self.longest_cycle.max(started_at.elapsed());
    }

    fn count_delay(&mut self, delay: Milliseconds) {
        self.max_delay = self.max_delay.max(delay);
    }
}

impl Runtime {
    /// Runs the event loop until the process may exit.
    async fn run(
        &mut self,
        inputs: &mut Inputs,
        reload: &impl Fn() -> Result<Config, LoadError>,
    ) -> io::Result<()> {
        loop {
            if !self.listening && self.may_listen(self.awaiting_list_since.elapsed()) {
                self.listen_to_clients().await?;
            }
            if self.terminated_at.is_some_and(|at| self.has_drained(at)) {
                return Ok(());
            }
            let due_at = self.core.next_due();
            let input = inputs.next(self.wake_by(due_at), self.optional_inputs()).await;
            let woken_at = Instant::now();
            self.frontend.shared.pauses.record_alive(woken_at);
            let delay = self.delay_since(due_at);
            self.frontend.shared.profile.end_cycle(Duration::from_secs_f64(delay / 1000.0));
            if self.reload_is_due() {
                self.reload(reload());
            }
            let mut events = Vec::new();
            self.handle_input(input, reload, &mut events);
            inputs.drain_events(&mut events, self.frontend.limits.event_queue_capacity);
            while let Some(PendingCall { call, reply_to }) = inputs.next_queued_call() {
                drop(reply_to.send(self.answer_call(call, &mut events)));
            }
            let started_at = Instant::now();
            self.requests_finished = false;
            let requests = events.iter().filter(|event| matches!(event, Event::RequestReceived(_))).count();
            self.run_decision_cycles(events);
            self.frontend.shared.scheduler.record_requests(requests, started_at.elapsed());
            self.statistics.count_cycle(started_at);
            self.statistics.count_delay(delay);
            self.frontend.shared.profile.record(Task::new(TaskKind::Reducer), woken_at.elapsed());
        }
    }

    /// Starts listening for clients, and publishes this stage to the other processes of this gateway.
    async fn listen_to_clients(&mut self) -> io::Result<()> {
        listeners::listen_to_clients(&self.config, &self.frontend, &self.tasks).await?;
        self.listening = true;
        self.publish_stage(Stage::Listening);
        Ok(())
    }

    /// Latest time at which the next cycle has to begin, whether or not there is an input.
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
            persistence: self.persistence.is_enabled(),
        }
    }

    /// Handles an input, and pushes the resulting events for the reducer to `events`.
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
            Input::MaintainIdempotencyLog => events.push(Event::MaintenanceTick),
            Input::Snapshot => self.write_snapshot(),
            Input::Reload => self.begin_reload(reload()),
            Input::Terminate => self.begin_termination(events),
            Input::TaskFailed(name) => self.shut_down_after_failure(name, events),
        }
    }

    /// Polls the other processes of this gateway, and takes over the persistence folder after its owner has exited.
    fn poll_peers(&mut self, events: &mut Vec<Event>) {
        events.extend(self.observe_peers());
        if self.persistence.awaits_folder() && self.take_over_persistence_folder() {
            events.push(Event::MaintenanceTick);
        }
    }

    fn take_over_persistence_folder(&mut self) -> bool {
        let now = self.frontend.clock.now();
        self.persistence.take_over(&self.config, &mut self.core, now, &self.events)
    }

    fn write_snapshot(&mut self) {
        let started_at = Instant::now();
        self.persistence.save_snapshot(&self.core, self.frontend.clock.now());
        self.persistence.cache_endpoints(&self.core, &self.frontend.settings);
        self.statistics.count_cycle(started_at);
    }

    /// Begins the same shutdown as SIGTERM, so that open requests are answered. Without the failed task the process would keep
    /// running without working.
    fn shut_down_after_failure(&mut self, name: TaskName, events: &mut Vec<Event>) {
        tracing::error!(task = name, "required task panicked: shutting down");
        self.task_failed = true;
        self.begin_termination(events);
    }

    /// Begins the shutdown. A repeated SIGTERM changes neither the remaining time nor the shutdown phase.
    fn begin_termination(&mut self, events: &mut Vec<Event>) {
        if self.terminated_at.is_some() {
            return tracing::info!("SIGTERM: already shutting down");
        }
        tracing::info!("SIGTERM: shutting down");
        // SIGKILL follows SIGTERM after a fixed time. SIGTERM may have arrived during a pause of the process, so the time counts
        // from the start of the pause.
        let requested_at = self.frontend.shared.pauses.earliest_arrival(Instant::now());
        self.terminated_at = Some(requested_at);
        self.frontend.enter_shutdown_phase(ShutdownPhase::Draining);
        events.push(Event::Terminate { requested_at: self.frontend.clock.at(requested_at) });
        events.extend(self.observe_peers());
        self.persistence.save_snapshot(&self.core, self.frontend.clock.now());
    }

    /// Returns the delay of the reducer's timer that was due at `due_at`; 0 if it is not due yet.
    fn delay_since(&self, due_at: Option<Milliseconds>) -> Milliseconds {
        due_at.map_or(0.0, |at| (self.frontend.clock.now() - at).max(0.0))
    }
}
