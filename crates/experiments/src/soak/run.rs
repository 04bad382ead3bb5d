//! Runs a schedule: starts everything, injects the faults, checks the recovery, and ends everything.

use super::client::{Client, ClientKind};
use super::context::RunContext;
use super::crowd::crowd;
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
const CASUAL_CLIENTS: usize = 5;
/// Clients that never close their connections; one gateway in so many has that many that requests wait in it.
const PERSISTENT_CLIENTS: usize = 2;
pub(super) const BUSY_GATEWAY_INTERVAL: usize = 4;
const BUSY_CLIENTS: usize = 48;
/// The time that the processes have to recover, in seconds.
const RECOVERY_TIME: f64 = 3.0;
/// The requests of the recovery check to each gateway, and the attempts of each.
const RECOVERY_REQUESTS: usize = 4;
const RECOVERY_ATTEMPTS: usize = 4;
/// The ports below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 30_000;
/// Factors that spread runs at the same time, and with other seeds, over the ports.
const PORTS_PER_PROCESS: u64 = 131;
const PORTS_PER_SEED: u64 = 977;
/// What the seed of a run is multiplied with for the faults of its processes.
const PROCESS_SEED_FACTOR: u64 = 1_000_003;
/// How often processes are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The time in which clients end.
const CLIENT_END_TIME: Duration = Duration::from_secs(10);
/// How often, and how many times, the end of all processes is checked.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const MAX_END_CHECKS: usize = 800;

/// The result of a run.
pub struct SoakResult {
    /// What was planned.
    pub schedule: Vec<PlannedFault>,
    /// What was recorded.
    pub ledger: Ledger,
    /// Violations of the rules, a line each.
    pub violations: Vec<String>,
    /// How many violations each rule has; those without one are left out.
    pub violations_by_rule: BTreeMap<&'static str, usize>,
    /// How many requests each excuse covers.
    pub excuses: BTreeMap<&'static str, usize>,
    /// Errors that processes logged.
    pub errors: Vec<String>,
    /// The longest time that an observation of the run's own process may have been late, in seconds.
    pub longest_blind_time: f64,
    /// The most memory and descriptors that a process had.
    pub footprint: Footprint,
}

/// A run in progress. It owns the processes.
pub(super) struct SoakRun {
    pub(super) context: Rc<RunContext>,
    pub(super) discovery: Rc<Discovery>,
    pub(super) engines: Vec<RefCell<Rc<Engine>>>,
    /// Of each gateway; two during a hot restart.
    pub(super) processes: Vec<RefCell<Vec<Process>>>,
    pub(super) seed: u64,
    footprint: Cell<Footprint>,
    /// Whether processes that end are not restarted any more.
    is_ending: Cell<bool>,
}

/// Runs a soak on the current local set.
///
/// # Errors
/// A part of the run itself cannot be started.
pub async fn run_soak(options: &SoakOptions) -> Result<SoakResult, Failure> {
    let addresses = free_addresses(options.gateways, options.seed)?;
    let context = Rc::new(RunContext::new(options, addresses));
    let run = Rc::new(SoakRun::start(context.clone(), options).await?);
    let schedule = draw_schedule(options);
    let looks = spawn_local({
        let context = context.clone();
        async move { context.keep_looking().await }
    });
    let supervisor = spawn_local(run.clone().supervise());
    let clients = start_clients(&context, options.gateways);
    let crowds = start_crowds(&context, options);
    let inject = |planned: &PlannedFault| spawn_local(run.clone().inject(planned.clone()));
    let faults: Vec<_> = schedule.iter().map(inject).collect();
    for fault in faults {
        fault.await?;
    }
    context.ledger.borrow_mut().last_fault_ended = context.now();
    run.check_recovery().await;
    context.is_over.set(true);
    for client in clients.into_iter().chain(crowds) {
        timeout(CLIENT_END_TIME, client).await??;
    }
    run.terminate_all().await;
    supervisor.await?;
    looks.abort();
    let ledger = context.ledger.borrow().clone();
    let errors = context.errors.borrow().clone();
    let longest_blind_time = context.longest_blind_time.get();
    Ok(SoakResult { longest_blind_time, ..judge(schedule, ledger, errors, run.footprint.get()) })
}

fn judge(
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
        longest_blind_time: 0.0,
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
        let casual = repeat_n(ClientKind::Casual, CASUAL_CLIENTS);
        casual.chain(repeat_n(ClientKind::Persistent, persistent)).map(move |kind| (gateway, kind))
    };
    let clients = (0..gateways).flat_map(kinds);
    clients.map(|(gateway, kind)| spawn_local(Client::new(context.clone(), gateway, kind).run())).collect()
}

/// The crowd of a run that has one.
fn start_crowds(context: &Rc<RunContext>, options: &SoakOptions) -> Vec<JoinHandle<()>> {
    if !schedule::has_run_long_flood(options.seed) {
        return Vec::new();
    }
    (0..options.gateways).map(|gateway| spawn_local(crowd(context.clone(), gateway))).collect()
}

/// Ports on which nobody listens, and that the system gives to nobody else.
fn free_addresses(count: usize, seed: u64) -> Result<Vec<SocketAddr>, Failure> {
    let span = u64::from(LAST_PORT - FIRST_PORT);
    let process = u64::from(std::process::id());
    let first = process.wrapping_mul(PORTS_PER_PROCESS).wrapping_add(seed.wrapping_mul(PORTS_PER_SEED));
    let ports = (0..span).map(|number| FIRST_PORT + ((first + number) % span) as u16);
    let free = ports.filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok()?.local_addr().ok());
    let addresses: Vec<_> = free.take(count).collect();
    if addresses.len() < count {
        return Err("there are not enough free ports".into());
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

    /// Restarts each process that has ended, until the run ends.
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

    /// Whether the gateway has a process.
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
            spawn_local(count_served(Client::new(self.context.clone(), gateway, ClientKind::Casual)))
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
        // Processes that have not ended by now have violated a rule, which the ledger shows.
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

/// An engine that serves, as the name service lists it.
pub(super) fn listed_engine(id: &str, address: SocketAddr, started: f64) -> EndpointEntry {
    EndpointEntry { id: id.to_owned(), address, is_draining: false, started }
}
