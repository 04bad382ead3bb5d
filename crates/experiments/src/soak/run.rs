//! Plays a schedule: starts everything, begins and ends the troubles, checks the recovery, ends everything.

use super::client::Client;
use super::discovery::Discovery;
use super::engine::Engine;
use super::ledger::{EngineRecord, Ledger};
use super::process::Process;
use super::schedule::{self, Planned};
use super::{oracle, terms, Stage};
use crate::harness::Failure;
use rustix::process::Signal;
use starlingplank_test_doubles::name_service::ListedEngine;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{interval, sleep, timeout};

/// Engines of a play.
const ENGINES: usize = 8;
/// Clients of each gateway.
const CLIENTS: usize = 5;
/// Time that the processes have to recover, in seconds.
const RECOVERS_WITHIN: f64 = 3.0;
/// Requests of the last check to each gateway, and tries of each.
const CHECKED: usize = 4;
const TRIES: usize = 4;
/// Ports below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 30_000;

/// A play that is asked for.
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// The library of system-call faults.
    pub faults_library: PathBuf,
    /// An empty folder.
    pub folder: PathBuf,
    /// Everything drawn follows from it.
    pub seed: u64,
    /// Gateways.
    pub gateways: usize,
    /// Seconds in which troubles begin.
    pub seconds: f64,
    /// Troubles to leave out, by their numbers in the schedule: a failing seed is shortened so.
    pub without: Vec<usize>,
}

/// A play that has ended.
pub struct Played {
    /// What was planned.
    pub schedule: Vec<Planned>,
    /// What was seen.
    pub ledger: Ledger,
    /// What broke a rule.
    pub breaks: Vec<String>,
    /// Errors that processes logged.
    pub errors: Vec<String>,
    /// The most memory that a process held, in MB, and descriptors that one had open.
    pub footprint: (f64, usize),
}

/// A play that runs.
pub(super) struct Play {
    pub(super) stage: Rc<Stage>,
    pub(super) discovery: Rc<Discovery>,
    pub(super) engines: Vec<RefCell<Rc<Engine>>>,
    /// Of each gateway; two while one takes over from the other.
    pub(super) processes: Vec<RefCell<Vec<Process>>>,
    pub(super) seed: u64,
    footprint: Cell<(f64, usize)>,
    /// Nothing is started anew any more.
    ending: Cell<bool>,
}

/// Plays on the current local set.
///
/// # Errors
/// Something of the play itself cannot be started.
pub async fn play(plan: &Plan) -> Result<Played, Failure> {
    let addresses = free_addresses(plan.gateways, plan.seed)?;
    let stage = Rc::new(Stage::new(plan, addresses));
    let play = Rc::new(Play::open(stage.clone(), plan).await?);
    let mut schedule = schedule::draw(plan.seed, plan.gateways, ENGINES, plan.seconds);
    let mut number = 0;
    schedule.retain(|_| {
        number += 1;
        !plan.without.contains(&(number - 1))
    });
    let watch = tokio::task::spawn_local(play.clone().watch());
    let clients: Vec<_> = (0..plan.gateways * CLIENTS)
        .map(|n| tokio::task::spawn_local(Client::new(stage.clone(), n / CLIENTS).run()))
        .collect();
    let troubles: Vec<_> = schedule
        .iter()
        .map(|planned| tokio::task::spawn_local(play.clone().trouble(planned.clone())))
        .collect();
    for trouble in troubles {
        trouble.await?;
    }
    stage.ledger.borrow_mut().last_trouble = stage.now();
    play.check_recovery().await;
    stage.over.set(true);
    for client in clients {
        timeout(Duration::from_secs(10), client).await??;
    }
    play.end_all().await;
    watch.await?;
    let ledger = stage.ledger.borrow().clone();
    let breaks = oracle::breaks(&ledger, &terms());
    let errors = stage.errors.borrow().clone();
    Ok(Played { schedule, ledger, breaks, errors, footprint: play.footprint.get() })
}

/// Ports that nobody listens at, and that the system gives to nobody else.
fn free_addresses(count: usize, seed: u64) -> Result<Vec<SocketAddr>, Failure> {
    let span = u64::from(LAST_PORT - FIRST_PORT);
    let own = u64::from(std::process::id()).wrapping_mul(131).wrapping_add(seed.wrapping_mul(977));
    let ports = (0..span).map(|n| FIRST_PORT + ((own + n) % span) as u16);
    let free = ports.filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok()?.local_addr().ok());
    let addresses: Vec<_> = free.take(count).collect();
    if addresses.len() < count {
        return Err("there are not enough free ports".into());
    }
    Ok(addresses)
}

impl Play {
    async fn open(stage: Rc<Stage>, plan: &Plan) -> Result<Self, Failure> {
        let discovery = Discovery::start(stage.clone(), plan.gateways).await?;
        let mut engines = Vec::new();
        for n in 0..ENGINES {
            stage.ledger.borrow_mut().engines.push(EngineRecord { cold_since: None, drained: None });
            let engine = Engine::start(stage.clone(), n).await?;
            discovery.entries.borrow_mut().push(entry(&format!("s-{n}"), engine.address, 0.0));
            engines.push(RefCell::new(engine));
        }
        let processes = (0..plan.gateways).map(|_| RefCell::default()).collect();
        let (seed, footprint, ending) = (plan.seed, Cell::default(), Cell::new(false));
        let play = Self { stage, discovery, engines, processes, seed, footprint, ending };
        for gateway in 0..plan.gateways {
            play.start_process(gateway)?;
        }
        Ok(play)
    }

    pub(super) fn start_process(&self, gateway: usize) -> std::io::Result<()> {
        self.write_config(gateway)?;
        let lives = self.stage.ledger.borrow().processes[gateway].len() as u64;
        let seed = self.seed.wrapping_mul(1_000_003) ^ ((gateway as u64) << 20) ^ lives;
        let process = Process::start(self.stage.clone(), gateway, &schedule::system_call_faults(seed))?;
        self.processes[gateway].borrow_mut().push(process);
        Ok(())
    }

    /// Looks after the processes: one that has ended, told to or not, is started again.
    async fn watch(self: Rc<Self>) {
        let mut look = interval(Duration::from_millis(5));
        loop {
            look.tick().await;
            let mut running = 0;
            for gateway in 0..self.processes.len() {
                running += usize::from(self.look_at(gateway));
            }
            if self.ending.get() && running == 0 {
                return;
            }
        }
    }

    /// Whether that gateway has a process.
    fn look_at(&self, gateway: usize) -> bool {
        self.processes[gateway].borrow_mut().retain_mut(|process| !process.look());
        self.measure(gateway);
        if self.processes[gateway].borrow().is_empty() && !self.ending.get() {
            return self.start_process(gateway).is_ok();
        }
        !self.processes[gateway].borrow().is_empty()
    }

    fn measure(&self, gateway: usize) {
        for (memory, files) in self.processes[gateway].borrow().iter().filter_map(Process::footprint) {
            let before = self.footprint.get();
            self.footprint.set((before.0.max(memory), before.1.max(files)));
        }
    }

    pub(super) fn signal(&self, gateway: usize, signal: Signal) {
        self.processes[gateway].borrow().iter().for_each(|process| process.signal(signal));
    }

    pub(super) fn switch_faults(&self, gateway: usize, on: bool) {
        self.processes[gateway].borrow().iter().for_each(|process| process.switch_faults(on));
    }

    async fn check_recovery(&self) {
        sleep(Duration::from_secs_f64(RECOVERS_WITHIN)).await;
        let checks: Vec<_> = (0..self.processes.len())
            .map(|gateway| {
                let stage = self.stage.clone();
                tokio::task::spawn_local(async move {
                    let mut client = Client::new(stage, gateway);
                    let mut served = 0;
                    for _ in 0..CHECKED {
                        served += usize::from(client.is_served_within(TRIES).await);
                    }
                    served
                })
            })
            .collect();
        for check in checks {
            let served = check.await.unwrap_or(0);
            self.stage.ledger.borrow_mut().recovered.push((served, CHECKED));
        }
    }

    async fn end_all(&self) {
        self.ending.set(true);
        (0..self.processes.len()).for_each(|gateway| self.signal(gateway, Signal::TERM));
        for _ in 0..800 {
            if self.processes.iter().all(|all| all.borrow().is_empty()) {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        // What has not ended by now has broken a rule, and is written down as it is.
        self.processes.iter().for_each(|all| all.borrow_mut().clear());
    }
}

/// An engine that serves, as the list names it.
pub(super) fn entry(id: &str, address: SocketAddr, started: f64) -> ListedEngine {
    ListedEngine { id: id.to_owned(), address, drains: false, started }
}
