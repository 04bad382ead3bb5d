//! Plays a schedule: starts everything, begins and ends the troubles, checks the recovery, ends everything.

use super::client::Client;
use super::discovery::Discovery;
use super::engine::{Engine, Mode};
use super::ledger::{EngineRecord, Ledger};
use super::process::Process;
use super::schedule::{self, Planned, Trouble};
use super::{
    oracle, terms, Stage, COLD_FROM, CORES, FALL_MULTIPLE, KEY_WINDOW_MS, TIP_AFTER_MS, WARM_WITHIN_MS,
};
use crate::bed::Failure;
use rustix::process::Signal;
use starlingplank_standins::list::Entry;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{interval, sleep, timeout};

/// Engines of a play.
const ENGINES: usize = 6;
/// Clients of each gateway.
const CLIENTS: usize = 3;
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

struct Play {
    stage: Rc<Stage>,
    discovery: Rc<Discovery>,
    engines: Vec<RefCell<Rc<Engine>>>,
    /// Of each gateway; two while one takes over from the other.
    processes: Vec<RefCell<Vec<Process>>>,
    /// Which of the two services each gateway's configuration names.
    service: Vec<Cell<usize>>,
    seed: u64,
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

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

impl Play {
    async fn open(stage: Rc<Stage>, plan: &Plan) -> Result<Self, Failure> {
        let discovery = Discovery::start().await?;
        let mut engines = Vec::new();
        for n in 0..ENGINES {
            stage.ledger.borrow_mut().engines.push(EngineRecord { cold_since: None, drained: None });
            let engine = Engine::start(stage.clone(), n).await?;
            discovery.entries.borrow_mut().push(entry(&format!("s-{n}"), engine.address, 0.0));
            engines.push(RefCell::new(engine));
        }
        let processes = (0..plan.gateways).map(|_| RefCell::default()).collect();
        let service = (0..plan.gateways).map(|_| Cell::new(0)).collect();
        let (seed, footprint, ending) = (plan.seed, Cell::default(), Cell::new(false));
        let play = Self { stage, discovery, engines, processes, service, seed, footprint, ending };
        for gateway in 0..plan.gateways {
            play.start_process(gateway)?;
        }
        Ok(play)
    }

    fn start_process(&self, gateway: usize) -> std::io::Result<()> {
        self.write_config(gateway)?;
        let lives = self.stage.ledger.borrow().processes[gateway].len() as u64;
        let seed = self.seed.wrapping_mul(1_000_003) ^ ((gateway as u64) << 20) ^ lives;
        let process = Process::start(self.stage.clone(), gateway, &schedule::system_call_faults(seed))?;
        self.processes[gateway].borrow_mut().push(process);
        Ok(())
    }

    fn write_config(&self, gateway: usize) -> std::io::Result<()> {
        let folder = self.stage.folder.join(format!("g{gateway}"));
        std::fs::create_dir_all(&folder)?;
        // Whole or not at all: a reload may read it at any moment.
        let new = folder.join("config.new");
        std::fs::write(&new, self.config(gateway))?;
        std::fs::rename(new, folder.join("config.json"))
    }

    fn config(&self, gateway: usize) -> String {
        let member = |e: &Entry| {
            let phase = if e.drains { "draining" } else { "ready" };
            format!(
                r#"{{"id":"{}","host_port":"{}","locality":"a","flavor":"std","cell":0,"phase":"{phase}","size":1,"up_since_ms":{:.0}}}"#,
                e.id, e.address, e.started
            )
        };
        let members: Vec<_> = self.discovery.entries.borrow().iter().map(member).collect();
        format!(
            r#"{{"name":"g{gateway}","listen":"{}","operator":"127.0.0.1:0","seed":"{:x}","names":"{}",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},
            "known":{{"cursor":{serial},"cmds":[{{"cursor":{serial},"nodes":{{"revision":1,"complete":true,"members":[{}]}}}}]}},
            "settings":{{"balancers":{},"rank":{gateway},"zones":["a"],"locality":"a","skus":["std"],"tick":1.0,
             "classes":[
              {{"name":"lookup","on_time":1200,"give_up":4000,"idempotency":"idempotent","worth":1}},
              {{"name":"load","on_time":1200,"give_up":4000,"idempotency":"deduplicated","dedup_scope":"all","window":{KEY_WINDOW_MS},"worth":1}},
              {{"name":"order","on_time":1200,"give_up":4000,"idempotency":"at_most_once","worth":1}}],
             "specifics":{{"cpu_of_kind":[{CORES}],"memory_by_kind_mb":[8192],"width_by_class":[1,1,1],
              "is_load":[false,false,false],"class_waits":[false,false,false],"grants_count":false,"takes_priority":false,"most_grant":0.4}},
             "reporting":{{"how":"answers","columns":["load_share"]}},
             "limits":{{"send_cap":3,"cancelling":true,"probes":true,"retry_after":true,"max_retry_after":400,"connect_timeout":250,"idle_close":4000}},
             "rules":{{"answer_slack":20,"drain_grace":2000,"extra_free":2,"extra_per_request":0.2,"ratio_span":10000,
              "cold_from":{COLD_FROM},"warm_within":{WARM_WITHIN_MS},"fall_multiple":{FALL_MULTIPLE},"tip_after":{TIP_AFTER_MS}}}}}}}"#,
            self.stage.addresses[gateway],
            self.seed ^ gateway as u64,
            self.discovery.addresses[self.service[gateway].get()],
            members.join(","),
            self.processes.len(),
            serial = self.discovery.serial.get(),
        )
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

    fn signal(&self, gateway: usize, signal: Signal) {
        self.processes[gateway].borrow().iter().for_each(|process| process.signal(signal));
    }

    fn switch_faults(&self, gateway: usize, on: bool) {
        self.processes[gateway].borrow().iter().for_each(|process| process.switch_faults(on));
    }

    async fn trouble(self: Rc<Self>, planned: Planned) {
        self.until(planned.from).await;
        let engine = |n: usize| self.engines[n].borrow().clone();
        match planned.trouble {
            Trouble::Restart(gateway) => self.signal(gateway, Signal::TERM),
            Trouble::Upgrade(gateway) => self.upgrade(gateway).await,
            Trouble::Kill(gateway) => self.signal(gateway, Signal::KILL),
            Trouble::Stop(gateway) => self.stop(gateway, planned.to).await,
            Trouble::Reload(gateway, times) => self.reload(gateway, times).await,
            Trouble::SystemCalls(gateway) => {
                self.switch_faults(gateway, true);
                self.until(planned.to).await;
                self.switch_faults(gateway, false);
            }
            Trouble::Replace(n) => self.replace(n, planned.to).await,
            Trouble::Crash(n) => self.crash(n, planned.to).await,
            Trouble::Hang(n) => self.behave(&engine(n), Mode::Hang, planned.to).await,
            Trouble::Overload(n) => self.behave(&engine(n), Mode::Overload, planned.to).await,
            Trouble::CloseIdle(n) => self.behave(&engine(n), Mode::CloseIdle, planned.to).await,
            Trouble::Reset(n) => self.reset_often(&engine(n), planned.to).await,
            Trouble::SilentList => self.silence(planned.to).await,
            Trouble::Leaving => {
                self.stage.clients_leave.set(true);
                self.until(planned.to).await;
                self.stage.clients_leave.set(false);
            }
        }
    }

    async fn until(&self, at: f64) {
        sleep(Duration::from_secs_f64((at - self.stage.now()).max(0.0))).await;
    }

    /// Stops a gateway's processes, and has them go on.
    async fn stop(&self, gateway: usize, to: f64) {
        self.signal(gateway, Signal::STOP);
        self.until(to).await;
        self.signal(gateway, Signal::CONT);
    }

    /// Starts a process beside the one that runs, and ends that one once the new one listens.
    async fn upgrade(&self, gateway: usize) {
        let old = self.processes[gateway].borrow().len();
        if old != 1 || self.start_process(gateway).is_err() {
            return;
        }
        for _ in 0..500 {
            sleep(Duration::from_millis(10)).await;
            let processes = self.processes[gateway].borrow();
            if processes.len() != 2 {
                return;
            }
            if processes[1].listens() {
                return processes[0].signal(Signal::TERM);
            }
        }
    }

    async fn reload(&self, gateway: usize, times: u32) {
        for _ in 0..times {
            self.service[gateway].set(1 - self.service[gateway].get());
            let _ = self.write_config(gateway);
            self.signal(gateway, Signal::HUP);
            sleep(Duration::from_millis(3)).await;
        }
    }

    async fn behave(&self, engine: &Engine, mode: Mode, to: f64) {
        engine.behave(mode);
        self.until(to).await;
        engine.behave(Mode::Well);
    }

    async fn reset_often(&self, engine: &Engine, to: f64) {
        while self.stage.now() < to {
            engine.reset();
            sleep(Duration::from_millis(150)).await;
        }
    }

    async fn silence(&self, to: f64) {
        let from = self.stage.now();
        self.discovery.silent_since.set(Some(from));
        self.until(to).await;
        self.discovery.silent_since.set(None);
        self.stage.ledger.borrow_mut().list_silent.push((from, self.stage.now()));
    }

    /// A new engine in the ledger, which starts now.
    fn cold_engine(&self) -> usize {
        let mut ledger = self.stage.ledger.borrow_mut();
        ledger.engines.push(EngineRecord { cold_since: Some(self.stage.now()), drained: None });
        ledger.engines.len() - 1
    }

    /// The engine drains, another joins; the first goes.
    async fn replace(&self, n: usize, to: f64) {
        let old = self.engines[n].borrow().clone();
        let number = self.cold_engine();
        let Ok(new) = Engine::start(self.stage.clone(), number).await else { return };
        self.stage.ledger.borrow_mut().engines[old.number.get()].drained = Some(self.stage.now());
        self.discovery.change(|entries| {
            entries.iter_mut().filter(|e| e.address == old.address).for_each(|e| e.drains = true);
            entries.push(entry(&format!("s-{n}-{number}"), new.address, unix_ms()));
        });
        *self.engines[n].borrow_mut() = new;
        self.until(to).await;
        self.discovery.change(|entries| entries.retain(|e| e.address != old.address));
    }

    /// The engine dies and is restarted at once or a little later; the list tells its start.
    async fn crash(&self, n: usize, to: f64) {
        let engine = self.engines[n].borrow().clone();
        engine.crash();
        self.until(to).await;
        engine.restart(self.cold_engine());
        self.discovery.change(|entries| {
            let own = entries.iter_mut().filter(|e| e.address == engine.address);
            own.for_each(|e| e.started = unix_ms());
        });
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

fn entry(id: &str, address: SocketAddr, started: f64) -> Entry {
    Entry { id: id.to_owned(), address, drains: false, started }
}
