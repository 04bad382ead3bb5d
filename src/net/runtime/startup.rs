//! Startup: opens all resources and recovers stored and inherited state before the event loop begins.

use crate::config::{Config, EngineProtocol};
use crate::core::{Core, Endpoint, Event};
use crate::limits::Limits;
use crate::net::admin::{self, PendingCall};
use crate::net::connection::SharedState;
use crate::net::discovery::sockets::Sockets;
use crate::net::discovery::{self, NameServiceAddress, Poller};
use crate::net::engine::clickhouse::HttpEngines;
use crate::net::engine::pool::RespEngines;
use crate::net::engine::Engines;
use crate::net::front::FrontendState;
use crate::net::hot_restart::{self, HotRestart};
use crate::net::loop_profile::{Task, TaskKind};
use crate::net::persistence::{self, Persistence, PersistenceError};
use crate::net::runtime::listeners::bind;
use crate::net::runtime::{LoopStatistics, Runtime, ServeError};
use crate::net::tasks::{TaskName, Tasks};
use crate::net::transient_errors;
use starlingplank_admin::inherited_membership::InheritedMembership;
use starlingplank_persistence::cached_endpoints::CachedEndpoints;
use starlingplank_persistence::recovery;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::sync::watch;
use tokio::time::Instant;

/// A gateway that is ready to run its event loop.
pub(super) struct Started {
    /// Queue of events for the reducer.
    pub events: Receiver<Event>,
    /// Queue of operators' calls.
    pub calls: Receiver<PendingCall>,
    /// Names of required tasks that failed.
    pub failed_tasks: Receiver<TaskName>,
    /// The state of the event loop.
    pub runtime: Runtime,
}

/// Logs how the memory of the machine is divided, and warns if it is less than the process needs.
fn log_memory(limits: &Limits) {
    let machine = limits.memory.machine_bytes;
    tracing::info!(
        machine,
        short_messages = limits.memory.short_incoming_bytes,
        long_messages = limits.memory.long_incoming_bytes,
        outgoing = limits.memory.outgoing_bytes,
        statements = limits.memory.statement_bytes,
        "memory in bytes"
    );
    if machine < limits.memory.least_machine_bytes {
        tracing::warn!(
            machine,
            least = limits.memory.least_machine_bytes,
            "limits.memory_mb is less than this number of connections needs (limits.sockets): the process may exceed it"
        );
    }
}

/// Opens all resources, recovers the state of earlier processes of this gateway, and runs the first decision cycles with the
/// initial endpoint list.
///
/// # Errors
/// Listening at the operators' address fails, the settings contradict each other, or the persistence folder is required and
/// cannot be used.
pub(super) async fn start(config: Config) -> Result<Started, ServeError> {
    let limits = Rc::new(config.limits.clone());
    let settings = Rc::new(config.settings.clone());
    let (sender, events) = mpsc::channel(limits.event_queue_capacity);
    log_memory(&limits);
    let frontend = FrontendState::new(settings, limits.clone(), sender.clone());
    let mut core = Core::new(config.settings.clone(), config.limits.clone(), frontend.clock.now())?;
    core.set_rule_counters(frontend.shared.rule_counters.clone());
    let persistence = Persistence::open(&config, &mut core, frontend.clock.now(), &sender)?;
    let engines =
        open_engines(config.engine_protocol, limits.clone(), frontend.shared.clone(), sender.clone());
    let (call_sender, calls) = mpsc::channel(limits.max_admin_connections);
    let operator_count = Rc::new(Cell::new(0));
    let (tasks, failed_tasks) = Tasks::new();
    let now = frontend.clock.now();
    let discovery =
        discovery::initialize(&config.settings, &limits, config.endpoints_version, config.name_service, now);
    let discovery = Rc::new(RefCell::new(discovery));
    let mut hot_restart = None;
    if let Some(at) = config.operator {
        listen_to_operators(at, &config.name, &frontend, call_sender, operator_count.clone(), &tasks).await?;
        hot_restart = open_hot_restart(&config, &frontend).await;
    }
    let mut runtime = Runtime {
        name_service: watch::Sender::new(NameServiceAddress {
            address: config.name_service,
            changed_at: now,
        }),
        discovery,
        config,
        core,
        engines,
        frontend,
        hot_restart,
        persistence,
        events: sender,
        tasks,
        task_failed: false,
        operator_count,
        awaiting_list_since: Instant::now(),
        listening: false,
        terminated_at: None,
        requests_finished: false,
        list_received: false,
        unpublished_stage: Cell::new(None),
        pending_reload: None,
        statistics: LoopStatistics::default(),
    };
    let inherited = runtime.inherit_from_peers().await;
    runtime.claim_persistence_folder()?;
    runtime.awaiting_list_since = Instant::now();
    runtime.run_first_cycles(inherited);
    runtime.start_poller();
    Ok(Started { events, calls, failed_tasks, runtime })
}

fn open_engines(
    engine_protocol: EngineProtocol,
    limits: Rc<Limits>,
    shared: Rc<SharedState>,
    events: Sender<Event>,
) -> Box<dyn Engines> {
    match engine_protocol {
        EngineProtocol::Resp => Box::new(RespEngines::new(limits, shared, events)),
        EngineProtocol::ClickHouse => Box::new(HttpEngines::new(limits, shared, events)),
    }
}

/// Listens at the operators' address.
async fn listen_to_operators(
    at: SocketAddr,
    name: &str,
    frontend: &FrontendState,
    calls: Sender<PendingCall>,
    open_connections: Rc<Cell<usize>>,
    tasks: &Tasks,
) -> io::Result<()> {
    let listener = bind(at, false, frontend.limits.bind_retry).await?;
    tracing::info!("{name} listens at {} for its operators", listener.local_addr()?);
    let (limits, shared) = (frontend.limits.clone(), frontend.shared.clone());
    let context = admin::AdminContext { limits, shared, calls };
    tasks.spawn("operators' listener", admin::listen(listener, context, open_connections));
    Ok(())
}

/// Opens the folder that the processes of this gateway share. Write failures of the disk are retried for a limited time, as
/// the next process has to know the keyed requests that this one sends. If the folder cannot be opened, `None`: the gateway
/// then serves without sharing state.
async fn open_hot_restart(config: &Config, frontend: &FrontendState) -> Option<HotRestart> {
    let folder = hot_restart::folder(&std::env::temp_dir(), &config.name, config.listen);
    let open = || HotRestart::open(&folder, frontend.clock.now());
    match transient_errors::retry_while(
        transient_errors::is_local_or_of_disk,
        frontend.limits.disk_retry,
        open,
    )
    .await
    {
        Ok(opened) => {
            opened.log_opened();
            Some(opened)
        }
        Err(e) => {
            tracing::error!("shared folder cannot be opened, serving without it: {}: {e}", folder.display());
            None
        }
    }
}

impl Runtime {
    /// Takes over the state of other processes of this gateway: idempotency keys that were sent, operator overrides, learned
    /// state, and the membership received from the name service.
    async fn inherit_from_peers(&mut self) -> Vec<Event> {
        let Some(hot_restart) = &mut self.hot_restart else { return Vec::new() };
        let (config, clock, limits) = (&self.config, &self.frontend.clock, &self.frontend.limits);
        let observation = hot_restart.observe(clock.now());
        let mut inherited =
            vec![Event::PeerKeys(observation.keys), Event::PeerRequests(observation.requests)];
        // The persistence folder may be locked by another process of this gateway, whose log can then be used, or by another
        // gateway, whose log is of no use.
        if !hot_restart.peers().is_empty() {
            self.persistence.use_owner_log(config, &mut self.core, clock.now());
        }
        inherited.push(Event::OperatorOverrides(hot_restart.overrides().clone()));
        let settings = recovery::RecoverySettings {
            overload_collapse_after: config.settings.overload_collapse_after,
            ..recovery::DEFAULT_SETTINGS
        };
        if let Some(restored_state) = hot_restart.inherit_learned(clock.now(), settings, limits).await {
            self.core.set_restored_state(restored_state);
        }
        // Without a name service, the configured list is authoritative.
        let membership = hot_restart.inherit_membership().filter(|_| config.name_service.is_some());
        inherited.extend(
            membership.map(|membership| Event::InheritedMembership(membership.taken_over(clock.now()))),
        );
        inherited
    }

    /// Takes over the persistence folder if no other process of this gateway runs; if another gateway has locked it, serves
    /// without it.
    fn claim_persistence_folder(&mut self) -> Result<(), PersistenceError> {
        let has_peers = self.hot_restart.as_ref().is_some_and(|hot_restart| !hot_restart.peers().is_empty());
        if self.persistence.awaits_folder() && !has_peers && !self.take_over_persistence_folder() {
            self.persistence.serve_without_folder(&self.config)?;
        }
        Ok(())
    }

    /// Passes the first events to the reducer: inherited state and the initial endpoint list.
    fn run_first_cycles(&mut self, mut inherited: Vec<Event>) {
        let observed = self.observe_peers();
        let known = self.initial_list(&mut inherited);
        let first = [
            Event::EndpointList { version: self.config.endpoints_version, endpoints: known },
            Event::MaintenanceTick,
        ];
        self.run_decision_cycles(inherited.into_iter().chain(first).chain(observed));
        if self.config.name_service.is_some() {
            self.core.await_endpoint_list(self.frontend.clock.now());
            self.frontend.awaits_endpoint_list.set(self.core.awaits_endpoint_list());
        }
        // Without a name service, the initial list is authoritative.
        self.list_received = self.config.name_service.is_none();
    }

    /// Returns the initial endpoint list. If the configuration contains no engines, it is the list that an earlier process
    /// cached. Otherwise it is the configured list, and engines that were draining or removed in the cached list get no new
    /// work until the name service answers.
    fn initial_list(&self, inherited: &mut Vec<Event>) -> Vec<Endpoint> {
        let known = self.config.endpoints.clone();
        let Some(cached) = self.persistence.cached_endpoints().filter(|_| self.config.name_service.is_some())
        else {
            return known;
        };
        if !known.is_empty() {
            inherited.push(Event::InheritedMembership(out_of_service(cached)));
            return known;
        }
        let age = (self.frontend.clock.now() - cached.confirmed_at) / 1000.0;
        let known = persistence::endpoints_from_cache(cached, &self.config.settings);
        tracing::info!(
            "starting with the cached endpoint list, confirmed {age:.1} s ago: {} engines",
            known.len()
        );
        known
    }

    fn start_poller(&self) {
        let poller = Poller {
            discovery: self.discovery.clone(),
            clock: self.frontend.clock,
            settings: self.frontend.settings.clone(),
            events: self.events.clone(),
            sockets: Sockets::default(),
            reported_lease_end: f64::INFINITY,
            addresses: discovery::addresses_of(&self.config.endpoints),
            buffer: vec![0; self.frontend.limits.max_datagram_bytes],
        };
        let address = self.name_service.subscribe();
        let share = self.frontend.shared.scheduler.unlimited(Task::new(TaskKind::Discovery));
        let task = share.run(poller.run(address));
        self.tasks.spawn("name service", task);
    }
}

/// Returns the engines that are draining in a cached list or were removed from it.
fn out_of_service(cached: &CachedEndpoints) -> InheritedMembership {
    let draining = cached.endpoints.iter().filter(|engine| !engine.live).map(|engine| engine.id.clone());
    InheritedMembership::new(cached.confirmed_at, draining.chain(cached.removed.iter().cloned()))
}
