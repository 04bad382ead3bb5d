//! Runs a soak test: starts engines, name services, gateways and clients, injects the scheduled faults, checks that the gateways recover,
//! and terminates the gateways.

use super::client::{Client, ClientKind};
use super::context::RunContext;
use super::crowd::hold_run_long_flood;
use super::discovery::Discovery;
use super::engine::Engine;
use super::ledger::{EngineRecord, Ledger, RecoveryCheck};
use super::options::SoakOptions;
use super::process::{Footprint, Process};
use super::schedule::{self, PlannedFault};
use super::{oracle, rule_parameters};
use crate::harness::Failure;
use rustix::process::Signal;
use starlingplank_test_doubles::name_service::EndpointEntry;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::iter::repeat_n;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{interval, sleep, timeout};

const ENGINES: usize = 8;
/// Number of intermittent clients of each gateway.
const INTERMITTENT_CLIENTS: usize = 5;
/// Number of persistent clients of a gateway that is not busy.
const PERSISTENT_CLIENTS: usize = 2;
/// Every gateway whose number is a multiple of this is busy: it has enough persistent clients that requests queue in it.
pub(super) const BUSY_GATEWAY_INTERVAL: usize = 4;
/// Number of persistent clients of a busy gateway.
const BUSY_CLIENTS: usize = 48;
/// Time in seconds that the gateways have to recover from the last fault.
const RECOVERY_TIME: f64 = 3.0;
/// Number of requests of the recovery check to each gateway.
const RECOVERY_REQUESTS: usize = 4;
/// Maximum number of times that the client sends each request of the recovery check until it is served.
const RECOVERY_ATTEMPTS: usize = 4;
/// First port for gateways. The range lies below the ports that the operating system assigns to outgoing connections.
const FIRST_PORT: u16 = 12_000;
/// End of the range of ports for gateways.
const LAST_PORT: u16 = 30_000;
/// Factor that spreads simultaneous runs over the ports by their process ids.
const PORTS_PER_PROCESS: u64 = 131;
/// Factor that spreads simultaneous runs over the ports by their seeds.
const PORTS_PER_SEED: u64 = 977;
/// Factor by which the seed of a run is multiplied for the system-call faults of its processes.
const PROCESS_SEED_FACTOR: u64 = 1_000_003;
/// Interval at which gateway processes are checked and restarted.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time for a client to finish its last request at the end of the run.
const CLIENT_END_TIME: Duration = Duration::from_secs(10);
/// Interval of the checks whether all gateway processes have exited at the end of the run.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of checks whether all gateway processes have exited at the end of the run.
const MAX_END_CHECKS: usize = 800;

/// Result of a run.
pub struct SoakResult {
    /// Faults that were injected.
    pub schedule: Vec<PlannedFault>,
    /// Records of the run.
    pub ledger: Ledger,
    /// Violations of the rules, one line for each.
    pub violations: Vec<String>,
    /// Number of violations by rule name. Rules without a violation are omitted.
    pub violations_by_rule: BTreeMap<&'static str, usize>,
    /// Number of requests that each excuse covers, by its name.
    pub excuses: BTreeMap<&'static str, usize>,
    /// First lines that each gateway process wrote to standard error.
    pub errors: Vec<String>,
    /// Maximum delay, in seconds, with which the test process may have observed an event.
    pub max_observation_delay: f64,
    /// Maximum memory and maximum number of descriptors of any gateway process.
    pub footprint: Footprint,
}

/// Run in progress, which owns the gateway processes.
pub(super) struct SoakRun {
    pub(super) context: Rc<RunContext>,
    pub(super) discovery: Rc<Discovery>,
    pub(super) engines: Vec<RefCell<Rc<Engine>>>,
    /// Running processes by gateway number: one for each gateway, two during a hot restart.
    pub(super) processes: Vec<RefCell<Vec<Process>>>,
    pub(super) seed: u64,
    footprint: Cell<Footprint>,
    /// Whether the run is ending, so that processes that exit are no longer restarted.
    is_ending: Cell<bool>,
}

/// Runs a soak test on the current `LocalSet`.
///
/// # Errors
/// Fails if a component of the test cannot be started, or if a client does not finish in time at the end of the run.
pub async fn run_soak(options: &SoakOptions) -> Result<SoakResult, Failure> {
    let addresses = free_addresses(options.gateways, options.seed)?;
    let context = Rc::new(RunContext::new(options, addresses));
    let run = Rc::new(SoakRun::start(context.clone(), options).await?);
    let schedule = draw_schedule(options);
    let clock_reader = spawn_local({
        let context = context.clone();
        async move { context.read_clock_repeatedly().await }
    });
    let supervisor = spawn_local(run.clone().supervise());
    let clients = start_clients(&context, options.gateways);
    let floods = start_run_long_floods(&context, options);
    let inject = |planned: &PlannedFault| spawn_local(run.clone().inject(planned.clone()));
    let faults: Vec<_> = schedule.iter().map(inject).collect();
    for fault in faults {
        fault.await?;
    }
    context.ledger.borrow_mut().last_fault_ended = context.now();
    run.check_recovery().await;
    context.is_over.set(true);
    for client in clients.into_iter().chain(floods) {
        timeout(CLIENT_END_TIME, client).await??;
    }
    run.terminate_all().await;
    supervisor.await?;
    clock_reader.abort();
    let ledger = context.ledger.borrow().clone();
    let errors = context.errors.borrow().clone();
    let max_observation_delay = context.max_observation_delay.get();
    Ok(SoakResult { max_observation_delay, ..evaluate(schedule, ledger, errors, run.footprint.get()) })
}

fn evaluate(
    schedule: Vec<PlannedFault>,
    ledger: Ledger,
    errors: Vec<String>,
    footprint: Footprint,
) -> SoakResult {
    let parameters = rule_parameters();
    let by_rule = oracle::violations_by_rule(&ledger, &parameters);
    let violations_by_rule = by_rule.iter().map(|(rule, violations)| (*rule, violations.len())).collect();
    let excuses = oracle::excuses(&ledger, &parameters);
    SoakResult {
        schedule,
        violations: by_rule.into_values().flatten().collect(),
        violations_by_rule,
        excuses: excuses.into_iter().map(|(excuse, count)| (excuse.name(), count)).collect(),
        max_observation_delay: 0.0,
        ledger,
        errors,
        footprint,
    }
}

fn draw_schedule(options: &SoakOptions) -> Vec<PlannedFault> {
    let drawn = schedule::draw(options.seed, options.gateways, ENGINES, options.seconds);
    let numbered = drawn.into_iter().enumerate();
    numbered.filter(|(number, _)| !options.without.contains(number)).map(|(_, planned)| planned).collect()
}

fn start_clients(context: &Rc<RunContext>, gateways: usize) -> Vec<JoinHandle<()>> {
    let kinds = |gateway: usize| {
        let persistent =
            if gateway.is_multiple_of(BUSY_GATEWAY_INTERVAL) { BUSY_CLIENTS } else { PERSISTENT_CLIENTS };
        let casual = repeat_n(ClientKind::Intermittent, INTERMITTENT_CLIENTS);
        casual.chain(repeat_n(ClientKind::Persistent, persistent)).map(move |kind| (gateway, kind))
    };
    let clients = (0..gateways).flat_map(kinds);
    clients.map(|(gateway, kind)| spawn_local(Client::new(context.clone(), gateway, kind).run())).collect()
}

/// Starts the floods that keep the descriptors of all gateways exhausted, if the run with this seed has them.
fn start_run_long_floods(context: &Rc<RunContext>, options: &SoakOptions) -> Vec<JoinHandle<()>> {
    if !schedule::has_run_long_flood(options.seed) {
        return Vec::new();
    }
    (0..options.gateways).map(|gateway| spawn_local(hold_run_long_flood(context.clone(), gateway))).collect()
}

/// Returns addresses with ports on which no process listens, and that the operating system does not assign to outgoing connections.
fn free_addresses(count: usize, seed: u64) -> Result<Vec<SocketAddr>, Failure> {
    let span = u64::from(LAST_PORT - FIRST_PORT);
    let process = u64::from(std::process::id());
    let first = process.wrapping_mul(PORTS_PER_PROCESS).wrapping_add(seed.wrapping_mul(PORTS_PER_SEED));
    let ports = (0..span).map(|number| FIRST_PORT + ((first + number) % span) as u16);
    let free = ports.filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok()?.local_addr().ok());
    let addresses: Vec<_> = free.take(count).collect();
    if addresses.len() < count {
        return Err("too few free ports for the gateways in the range 12000 to 30000".into());
    }
    Ok(addresses)
}

impl SoakRun {
    async fn start(context: Rc<RunContext>, options: &SoakOptions) -> Result<Self, Failure> {
        let discovery = Discovery::start(context.clone(), options.gateways).await?;
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            context.ledger.borrow_mut().engines.push(EngineRecord { cold_since: None, drain: None });
            let engine = Engine::start(context.clone(), number).await?;
            let listed = listed_engine(&format!("s-{number}"), engine.address, 0.0);
            discovery.engines.borrow_mut().push(listed);
            engines.push(RefCell::new(engine));
        }
        let run = Self {
            context,
            discovery,
            engines,
            processes: (0..options.gateways).map(|_| RefCell::default()).collect(),
            seed: options.seed,
            footprint: Cell::default(),
            is_ending: Cell::new(false),
        };
        for gateway in 0..options.gateways {
            run.start_process(gateway)?;
        }
        Ok(run)
    }

    pub(super) fn start_process(&self, gateway: usize) -> std::io::Result<()> {
        self.write_configuration(gateway)?;
        let incarnation = self.context.ledger.borrow().processes[gateway].len() as u64;
        let seed = self.seed.wrapping_mul(PROCESS_SEED_FACTOR) ^ ((gateway as u64) << 20) ^ incarnation;
        let faults = schedule::system_call_faults(seed);
        let process = Process::start(self.context.clone(), gateway, &faults)?;
        self.processes[gateway].borrow_mut().push(process);
        Ok(())
    }

    /// Restarts each gateway process that has exited, until the run ends and all processes have exited.
    async fn supervise(self: Rc<Self>) {
        let mut check = interval(CHECK_INTERVAL);
        loop {
            check.tick().await;
            let mut running = 0;
            for gateway in 0..self.processes.len() {
                running += usize::from(self.check_processes(gateway));
            }
            if self.is_ending.get() && running == 0 {
                return;
            }
        }
    }

    /// Removes processes of a gateway that have exited, and restarts the gateway if none is left and the run is not ending. Returns whether
    /// the gateway has a running process.
    fn check_processes(&self, gateway: usize) -> bool {
        self.processes[gateway].borrow_mut().retain_mut(|process| !process.has_ended());
        self.measure(gateway);
        if self.processes[gateway].borrow().is_empty() && !self.is_ending.get() {
            return self.start_process(gateway).is_ok();
        }
        !self.processes[gateway].borrow().is_empty()
    }

    fn measure(&self, gateway: usize) {
        for footprint in self.processes[gateway].borrow().iter().filter_map(Process::footprint) {
            self.footprint.set(self.footprint.get().max(footprint));
        }
    }

    pub(super) fn signal(&self, gateway: usize, signal: Signal) {
        for process in self.processes[gateway].borrow().iter() {
            process.signal(signal);
        }
    }

    pub(super) fn switch_faults(&self, gateway: usize, on: bool) {
        for process in self.processes[gateway].borrow().iter() {
            process.switch_faults(on);
        }
    }

    async fn check_recovery(&self) {
        sleep(Duration::from_secs_f64(RECOVERY_TIME)).await;
        let check = |gateway| {
            spawn_local(count_served(Client::new(self.context.clone(), gateway, ClientKind::Intermittent)))
        };
        let checks: Vec<_> = (0..self.processes.len()).map(check).collect();
        for check in checks {
            let served = check.await.unwrap_or(0);
            let result = RecoveryCheck { served, sent: RECOVERY_REQUESTS };
            self.context.ledger.borrow_mut().recovery_checks.push(result);
        }
    }

    async fn terminate_all(&self) {
        self.is_ending.set(true);
        for gateway in 0..self.processes.len() {
            self.signal(gateway, Signal::TERM);
        }
        for _ in 0..MAX_END_CHECKS {
            if self.processes.iter().all(|processes| processes.borrow().is_empty()) {
                return;
            }
            sleep(END_CHECK_INTERVAL).await;
        }
        // Processes that are still running have violated the rule on processes. The ledger shows them without an exit.
        for processes in &self.processes {
            processes.borrow_mut().clear();
        }
    }
}

async fn count_served(mut client: Client) -> usize {
    let mut served = 0;
    for _ in 0..RECOVERY_REQUESTS {
        served += usize::from(client.is_served_within(RECOVERY_ATTEMPTS).await);
    }
    served
}

/// Returns the endpoint-list entry of an engine that is not draining.
pub(super) fn listed_engine(id: &str, address: SocketAddr, started: f64) -> EndpointEntry {
    EndpointEntry { id: id.to_owned(), address, is_draining: false, started }
}
