//! The event loop around the reducer: one thread, as the machine has one core.
//!
//! The parts stand in the order in which they take part: `startup` opens and recovers everything; `listeners` take
//! clients' connections; `inputs` tells what happens next; `cycle` hands it to the reducer and `effects` performs what
//! the reducer asks for; `peers`, `calls` and `reload` deal with other processes of this gateway, operators and SIGHUP;
//! `shutdown` ends the process.

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

use crate::config::Config;
use crate::core::{Core, Event};
use crate::interface::Milliseconds;
use crate::net::engine::Engines;
use crate::net::front::{FrontendState, ShutdownPhase};
use crate::net::hot_restart::HotRestart;
use crate::net::log;
use crate::net::persistence::Persistence;
use crate::net::tasks::{TaskName, Tasks};
use inputs::{Inputs, Optional, Timers, Wake};
use reload::PendingReload;
pub use signals::Signals;
use starlingplank_admin::process_lifecycle::Stage;
use starlingplank_service_discovery::discovery::Discovery;
use startup::Started;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Serves until SIGTERM, then until all requests that were accepted are answered. At SIGHUP `reload` reads the
/// configuration again: the address of the name service may change, while connections, requests and all that was learned
/// stay.
///
/// # Errors
/// An address cannot be listened at, or the settings contradict themselves.
pub async fn serve(
    config: Config,
    signals: Signals,
    reload: impl Fn() -> Result<Config, String>,
) -> io::Result<()> {
    let Started { events, calls, failed_tasks, mut gateway } = startup::start(config).await?;
    let timers = Timers::start(&gateway.frontend.limits, gateway.config.knowledge.as_ref());
    let mut inputs = Inputs { signals, events, calls, failed_tasks, timers };
    gateway.run(&mut inputs, &reload).await?;
    gateway.shut_down(inputs).await;
    match gateway.failed {
        true => Err(io::Error::other("a task failed")),
        false => Ok(()),
    }
}

/// The gateway around its reducer.
struct Runtime {
    config: Config,
    core: Core,
    engines: Box<dyn Engines>,
    frontend: Rc<FrontendState>,
    /// What is shared with other processes of this gateway, if anything.
    hot_restart: Option<HotRestart>,
    /// What is kept through restarts.
    persistence: Persistence,
    /// The queue of events for the reducer.
    events: mpsc::Sender<Event>,
    /// Where the name service is, for the task that polls it.
    names: watch::Sender<Option<SocketAddr>>,
    /// Its questions and answers, and the age of the list.
    discovery: Rc<RefCell<Discovery>>,
    /// Starts tasks that the process cannot do without.
    tasks: Tasks,
    /// A task that the process cannot do without has failed: it ends, and tells so by its exit code.
    failed: bool,
    /// Operators' connections that are open.
    callers: Rc<Cell<usize>>,
    /// When it began to wait for the list of engines.
    started: Instant,
    /// It listens to clients.
    listening: bool,
    /// When SIGTERM came.
    terminated: Option<Instant>,
    /// All requests that were accepted are answered, and the window for that is over.
    settled: bool,
    /// The name service has answered.
    list_received: bool,
    /// A reload whose file could not be used yet.
    pending_reload: Option<PendingReload>,
    /// How far this process is, where the others could not be told.
    unpublished: Cell<Option<Stage>>,
    statistics: LoopStatistics,
}

/// How well the loop kept its times.
#[derive(Debug, Default)]
struct LoopStatistics {
    /// The longest that it was busy without a break.
    longest_cycle: Duration,
    /// The most by which a timer of the reducer was late, in milliseconds.
    most_late: Milliseconds,
}

impl LoopStatistics {
    fn count_cycle(&mut self, begun: Instant) {
        self.longest_cycle = self.longest_cycle.max(begun.elapsed());
    }

    fn count_delay(&mut self, late: Milliseconds) {
        self.most_late = self.most_late.max(late);
    }
}

impl Runtime {
    /// Runs the loop until the process may end.
    async fn run(
        &mut self,
        inputs: &mut Inputs,
        reload: &impl Fn() -> Result<Config, String>,
    ) -> io::Result<()> {
        loop {
            if !self.listening && self.may_listen(self.started.elapsed()) {
                self.listen_to_clients().await?;
            }
            if self.terminated.is_some_and(|at| self.has_drained(at)) {
                return Ok(());
            }
            let due_at = self.core.next_due();
            let wake = inputs.next(self.wake_by(due_at), self.optional_inputs()).await;
            self.frontend.pauses.alive(Instant::now());
            if self.reload_is_due() {
                self.reload(reload());
            }
            let mut events = Vec::new();
            self.handle_wake(wake, reload, &mut events);
            inputs.drain_events(&mut events, self.frontend.limits.event_queue_capacity);
            let late = self.check_delay(due_at);
            while let Some((call, reply_to)) = inputs.next_waiting_call() {
                drop(reply_to.send(self.answer_call(call, &mut events)));
            }
            let begun = Instant::now();
            self.settled = false;
            self.run_decision_cycles(events);
            self.statistics.count_cycle(begun);
            self.statistics.count_delay(late);
        }
    }

    /// Begins to listen to clients, and tells that to other processes of this gateway.
    async fn listen_to_clients(&mut self) -> io::Result<()> {
        listeners::listen_to_clients(&self.config, &self.frontend, &self.tasks).await?;
        self.listening = true;
        self.publish_stage(Stage::Listening);
        Ok(())
    }

    /// When the loop goes on at the latest.
    fn wake_by(&self, due_at: Option<Milliseconds>) -> Instant {
        let due: Instant = match due_at {
            Some(at) => self.frontend.clock.instant(at).into(),
            None => Instant::now() + self.frontend.limits.maintenance_interval,
        };
        self.pending_reload.map_or(due, |pending| pending.due().min(due))
    }

    fn optional_inputs(&self) -> Optional {
        Optional {
            peers: self.hot_restart.is_some() || self.persistence.waits(),
            knowledge: self.persistence.is_on(),
        }
    }

    /// Turns what has woken the loop into events for the reducer.
    fn handle_wake(
        &mut self,
        wake: Wake,
        reload: &impl Fn() -> Result<Config, String>,
        events: &mut Vec<Event>,
    ) {
        match wake {
            Wake::Event(event) => events.extend(event),
            Wake::Due => {}
            Wake::MaintainEngines => {
                self.engines.maintain(events);
                log::report_lost_lines();
            }
            Wake::ObservePeers => self.observe_handover(events),
            Wake::Call((call, reply_to)) => drop(reply_to.send(self.answer_call(call, events))),
            Wake::MaintainKnowledge => events.push(Event::MaintenanceTick),
            Wake::Snapshot => self.write_snapshot(),
            Wake::Reload => self.begin_reload(reload()),
            Wake::Terminate => self.begin_termination(events),
            Wake::TaskFailed(name) => self.end_after_failure(name, events),
        }
    }

    /// Looks at other processes of this gateway, and takes the folder of knowledge over once its owner has ended.
    fn observe_handover(&mut self, events: &mut Vec<Event>) {
        events.extend(self.observe_peers());
        if self.persistence.waits() && self.take_over_knowledge() {
            events.push(Event::MaintenanceTick);
        }
    }

    fn take_over_knowledge(&mut self) -> bool {
        let now = self.frontend.clock.now();
        self.persistence.take_over(&self.config, &mut self.core, now, &self.events)
    }

    fn write_snapshot(&mut self) {
        let begun = Instant::now();
        self.persistence.snapshot(&self.core, self.frontend.clock.now());
        self.persistence.list(&self.core, &self.frontend.settings);
        self.statistics.count_cycle(begun);
    }

    /// Ends the process as SIGTERM does, so that what was taken is answered: without the task it would live on and not do
    /// its work.
    fn end_after_failure(&mut self, name: TaskName, events: &mut Vec<Event>) {
        tracing::error!("the process ends, as it cannot go on without its task {name:?}");
        self.failed = true;
        self.begin_termination(events);
    }

    /// Begins the end. What ends already goes on as it began: a further SIGTERM changes neither the time that is left nor
    /// how far this process is on its way out.
    fn begin_termination(&mut self, events: &mut Vec<Event>) {
        if self.terminated.is_some() {
            return tracing::info!("SIGTERM: this process ends already");
        }
        tracing::info!("SIGTERM: answering what was taken");
        self.terminated = Some(Instant::now());
        self.frontend.enter_shutdown_phase(ShutdownPhase::Draining);
        events.push(Event::Terminate);
        events.extend(self.observe_peers());
        self.persistence.snapshot(&self.core, self.frontend.clock.now());
    }

    /// By how much a timer of the reducer is late. Answers that were due in a pause of the process are late through no
    /// decision, so the log tells of it.
    fn check_delay(&self, due_at: Option<Milliseconds>) -> Milliseconds {
        let late = due_at.map_or(0.0, |at| self.frontend.clock.now() - at);
        if late > self.frontend.limits.pause_threshold {
            tracing::warn!("stood still for {late:.0} ms");
        }
        late
    }
}
