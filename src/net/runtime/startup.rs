//! Opens and recovers everything before the loop begins.

use crate::config::{Config, EngineWire};
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

/// A gateway that is ready for its loop.
pub(super) struct Started {
    /// Events for the reducer.
    pub events: Receiver<Event>,
    /// Operators' calls.
    pub calls: Receiver<PendingCall>,
    /// Tasks that failed.
    pub failed_tasks: Receiver<TaskName>,
    /// The gateway.
    pub runtime: Runtime,
}

/// Opens everything, recovers the state of earlier processes of this gateway, and begins with the first endpoint list.
///
/// # Errors
/// An address cannot be listened at, the settings contradict themselves, or the folder of knowledge is required and
/// cannot be used.
pub(super) async fn start(config: Config) -> Result<Started, ServeError> {
    let limits = Rc::new(config.limits.clone());
    let settings = Rc::new(config.settings.clone());
    let (sender, events) = mpsc::channel(limits.event_queue_capacity);
    let frontend = FrontendState::new(settings, limits.clone(), sender.clone());
    let mut core = Core::new(config.settings.clone(), config.limits.clone(), frontend.clock.now())?;
    core.count_refusals_in(frontend.shared.rule_counters.clone());
    let persistence = Persistence::open(&config, &mut core, frontend.clock.now(), &sender)?;
    let engines = open_engines(config.engine_wire, limits.clone(), frontend.shared.clone(), sender.clone());
    let (call_sender, calls) = mpsc::channel(limits.max_admin_connections);
    let callers = Rc::new(Cell::new(0));
    let (tasks, failed_tasks) = Tasks::new();
    let now = frontend.clock.now();
    let discovery =
        discovery::begin(&config.settings, &limits, config.endpoints_version, config.name_service, now);
    let discovery = Rc::new(RefCell::new(discovery));
    let mut hot_restart = None;
    if let Some(at) = config.operator {
        listen_to_operators(at, &config.name, &frontend, call_sender, callers.clone(), &tasks).await?;
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
        failed: false,
        callers,
        started: Instant::now(),
        listening: false,
        terminated: None,
        settled: false,
        list_received: false,
        unpublished: Cell::new(None),
        pending_reload: None,
        statistics: LoopStatistics::default(),
    };
    let inherited = runtime.inherit_from_peers().await;
    runtime.claim_knowledge()?;
    runtime.started = Instant::now();
    runtime.begin(inherited);
    runtime.poll_names();
    Ok(Started { events, calls, failed_tasks, runtime })
}

fn open_engines(
    wire: EngineWire,
    limits: Rc<Limits>,
    shared: Rc<SharedState>,
    events: Sender<Event>,
) -> Box<dyn Engines> {
    match wire {
        EngineWire::Resp => Box::new(RespEngines::new(limits, shared, events)),
        EngineWire::ClickHouse => Box::new(HttpEngines::new(limits, shared, events)),
    }
}

/// Listens at the second address, where operators call.
async fn listen_to_operators(
    at: SocketAddr,
    name: &str,
    frontend: &FrontendState,
    calls: Sender<PendingCall>,
    callers: Rc<Cell<usize>>,
    tasks: &Tasks,
) -> io::Result<()> {
    let listener = bind(at, false, frontend.limits.bind_retry).await?;
    tracing::info!("{name} listens at {} for its operators", listener.local_addr()?);
    let (limits, shared) = (frontend.limits.clone(), frontend.shared.clone());
    let context = admin::AdminContext { limits, shared, calls };
    tasks.spawn("operators' listener", admin::listen(listener, context, callers));
    Ok(())
}

/// Opens the folder that the processes of this gateway share. A disk that takes no writes is retried for a while: the next
/// process must know what this one sends. Without the folder the gateway serves on its own.
async fn open_hot_restart(config: &Config, frontend: &FrontendState) -> Option<HotRestart> {
    let folder = hot_restart::folder(&std::env::temp_dir(), &config.name, config.listen);
    let open = || HotRestart::open(&folder, frontend.clock.now());
    match transient_errors::retry_while(transient_errors::is_of_disk, frontend.limits.disk_retry, open).await
    {
        Ok(opened) => {
            opened.log_opened();
            Some(opened)
        }
        Err(e) => {
            tracing::error!("nothing is shared with other versions: {}: {e}", folder.display());
            None
        }
    }
}

impl Runtime {
    /// Takes over what other processes of this gateway know: keys that were sent, operators' exclusions, what was learned
    /// and what was heard of the list service.
    async fn inherit_from_peers(&mut self) -> Vec<Event> {
        let Some(hot_restart) = &mut self.hot_restart else { return Vec::new() };
        let (config, clock, limits) = (&self.config, &self.frontend.clock, &self.frontend.limits);
        let mut inherited = vec![Event::PeerKeys(hot_restart.observe(clock.now()).keys)];
        // A folder of knowledge that an earlier process of this gateway holds is followed; one that another gateway holds
        // is not.
        if !hot_restart.peers().is_empty() {
            self.persistence.follow(config, &mut self.core, clock.now());
        }
        inherited.push(Event::OperatorOverrides(hot_restart.overrides().clone()));
        let rules = recovery::RecoverySettings {
            overload_collapse_after: config.settings.overload_collapse_after,
            ..recovery::DEFAULT
        };
        if let Some(restored_state) = hot_restart.inherit_learned(clock.now(), rules, limits).await {
            self.core.set_restored_state(restored_state);
        }
        // Without a list service the list at the start is the list.
        let membership = hot_restart.inherit_membership().filter(|_| config.name_service.is_some());
        inherited.extend(
            membership.map(|membership| Event::InheritedMembership(membership.taken_over(clock.now()))),
        );
        inherited
    }

    /// Takes the folder of knowledge where no other process of this gateway has it.
    fn claim_knowledge(&mut self) -> Result<(), PersistenceError> {
        let shared = self.hot_restart.as_ref().is_some_and(|hot_restart| !hot_restart.peers().is_empty());
        if self.persistence.awaits_folder() && !shared && !self.take_over_knowledge() {
            self.persistence.serve_without_folder(&self.config)?;
        }
        Ok(())
    }

    /// Hands the reducer its first events: what was inherited and the list of engines at the start.
    fn begin(&mut self, mut inherited: Vec<Event>) {
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
        // Without a name service the list at the start is the list.
        self.list_received = self.config.name_service.is_none();
    }

    /// The list of engines at the start. Where the configuration names none, it is the one that an earlier process kept;
    /// else the drains and removals of the kept list bind until the name service answers.
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
        tracing::info!("starting with the list of {age:.1} s ago: {} engines", known.len());
        known
    }

    fn poll_names(&self) {
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
        self.tasks.spawn("name service", poller.run(address));
    }
}

/// The engines that drain in a kept list, or were removed from it.
fn out_of_service(cached: &CachedEndpoints) -> InheritedMembership {
    let draining = cached.endpoints.iter().filter(|engine| !engine.live).map(|engine| engine.id.clone());
    InheritedMembership::new(cached.confirmed_at, draining.chain(cached.removed.iter().cloned()))
}
