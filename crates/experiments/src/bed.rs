//! What experiments share: fleets of stand-in engines on a thread of their own, the program as a process, arrivals
//! from a seed, and clients that send them when they are due, whatever has been answered.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;
use starlingplank_test_doubles::capacity_model::EngineSpec;
use starlingplank_test_doubles::client::Client;
use starlingplank_test_doubles::engine::{Engine, EngineProtocol, Fleet};
use starlingplank_test_doubles::thrift::Answer;
use std::cell::RefCell;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, sleep_until, timeout, Instant};

pub type Failure = Box<dyn std::error::Error>;

/// What an experiment is given.
pub struct Lab {
    pub program: PathBuf,
    pub seed: u64,
    pub kills: u32,
    pub queries: usize,
    pub gateways: usize,
    pub seconds: f64,
    pub without: Vec<usize>,
    pub baseline: Option<PathBuf>,
    pub only: Vec<String>,
    pub dir: tempfile::TempDir,
}

/// Engines of one fleet, on a thread of their own until the lab ends.
pub struct Engines {
    pub fleet: Fleet,
    pub all: Vec<Engine>,
}

impl Engines {
    pub fn start(specs: Vec<EngineSpec>, seed: u64) -> Result<Self, Failure> {
        Self::start_speaking(EngineProtocol::Resp, specs, seed)
    }

    pub fn start_speaking(
        protocol: EngineProtocol,
        specs: Vec<EngineSpec>,
        seed: u64,
    ) -> Result<Self, Failure> {
        let fleet = Fleet::new(12_000.0);
        let (tell, told) = std::sync::mpsc::channel();
        let shared = fleet.clone();
        std::thread::spawn(move || {
            let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
                return;
            };
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                let mut all = Vec::new();
                for (n, spec) in specs.into_iter().enumerate() {
                    match Engine::start(protocol, spec, shared.clone(), seed ^ n as u64).await {
                        Ok(engine) => all.push(engine),
                        Err(e) => return drop(tell.send(Err(e))),
                    }
                }
                let _ = tell.send(Ok(all));
                std::future::pending::<()>().await;
            });
        });
        Ok(Self { fleet, all: told.recv()?? })
    }
}

/// Name, share of arrivals, mean work in ms, threads, aim, stretch, patience.
pub type ClassOf = (&'static str, f64, f64, f64, f64, f64, f64);

/// Classes as the experiments have them: share of arrivals, mean work in ms, threads, aim, stretch, patience.
pub const CLASSES: [ClassOf; 3] = [
    ("lookup", 0.82, 250.0, 1.0, 1_200.0, 2.0, 6_000.0),
    ("report", 0.13, 2_900.0, 3.0, 1_500.0, 2.5, 20_000.0),
    ("load", 0.05, 3_900.0, 2.0, 3_000.0, 3.0, 20_000.0),
];

/// An operator's file: a whole configuration for those engines.
pub fn config(engines: &Engines, seed: u64, knowledge: Option<&str>) -> String {
    let mut out = format!(
        "name = \"lab\"\nlisten = \"127.0.0.1:0\"\nseed = \"{seed:x}\"\nzones = [\"a\", \"b\"]\nzone = \"a\"\n\
         gateways = 1\ntick = \"5ms\"\n\
         machine {{\n  memory = \"192MiB\"\n  sockets = 1024\n}}\n\
         kind \"std\" {{\n  cores = {}\n  memory = \"24GiB\"\n}}\n\
         limits {{\n  send_cap = 3\n  cancel = true\n  probes = true\n  retry_after = \"1s\"\n  \
         connect_timeout = \"250ms\"\n}}\n\
         engines_heed {{\n  reports = \"answers\"\n}}\n\
         rules {{\n  answer_slack = \"20ms\"\n  drain_grace = \"2s\"\n  cold_from = 0.31\n  warm_within = \"15s\"\n  \
         fall_multiple = 3\n  tip_after = \"2s\"\n  extra_free = 2\n  extra_per_request = 0.2\n  \
         ratio_span = \"10s\"\n}}\n",
        engines.all.first().map_or(12.0, |e| e.with_model(|model| model.spec.cores))
    );
    for (n, e) in engines.all.iter().enumerate() {
        let zone = if n * 2 < engines.all.len() { "a" } else { "b" };
        let _ = writeln!(
            out,
            "engine \"s-{n}\" {{\n  address = \"{}\"\n  zone = \"{zone}\"\n  kind = \"std\"\n}}",
            e.address
        );
    }
    for (name, _, _, threads, aim, stretch, give_up) in CLASSES {
        let repeat = match name {
            "load" => "\"keyed\"\n  scope = \"all\"\n  window = \"12s\"",
            _ => "\"safe\"",
        };
        let _ = writeln!(
            out,
            "class \"{name}\" {{\n  aim = \"{aim}ms\"\n  aim_stretch = {stretch}\n  give_up = \"{give_up}ms\"\n  \
             threads = {threads}\n  repeat = {repeat}\n}}"
        );
    }
    if let Some(knowledge) = knowledge {
        let _ = writeln!(out, "knowledge {{\n{knowledge}\n}}");
    }
    out
}

/// The program as a process; killed when it is dropped.
pub struct Gateway {
    child: Child,
    pub address: SocketAddr,
    pub lines: Arc<Mutex<Vec<String>>>,
}

impl Gateway {
    /// Starts it and waits until it listens.
    pub async fn start(lab: &Lab, name: &str, config: &str) -> Result<Self, Failure> {
        let file = lab.dir.path().join(format!("{name}.hcl"));
        std::fs::write(&file, config)?;
        let mut child = Command::new(&lab.program)
            .args(["serve", "--operator"])
            .arg(&file)
            .env_remove("PROXY_CONFIG")
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|e| format!("{}: {e}", lab.program.display()))?;
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let (tell, told) = tokio::sync::oneshot::channel();
        if let Some(stdout) = child.stdout.take() {
            let (mut tell, lines) = (Some(tell), lines.clone());
            std::thread::spawn(move || {
                for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                    let at = line.split_once(" listens at ").and_then(|(_, at)| at.trim().parse().ok());
                    lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
                    if let (Some(at), Some(tell)) = (at, tell.take_if(|_| at.is_some())) {
                        let _ = tell.send(at);
                    }
                }
            });
        }
        let address = timeout(Duration::from_secs(10), told).await??;
        Ok(Self { child, address, lines })
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// SIGTERM, then its end.
    pub async fn end(&mut self) -> Result<(), Failure> {
        Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status()?;
        for _ in 0..1_000 {
            if self.child.try_wait()?.is_some() {
                return Ok(());
            }
            sleep(Duration::from_millis(10)).await;
        }
        Err("the program did not end".into())
    }

    /// The number after those words in the last line that has them.
    pub fn figure(&self, words: &str) -> Option<f64> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let rest = lines.iter().rev().find_map(|l| l.split_once(words).map(|(_, r)| r.to_owned()))?;
        let end = rest.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(rest.len());
        rest[..end].parse().ok()
    }

    /// The address of its second front, once it listens there.
    pub async fn second(&self) -> Result<SocketAddr, Failure> {
        for _ in 0..1_000 {
            let line = self.tail(" listens at ");
            if let Some(at) = line.and_then(|l| l.strip_suffix(" for ClickHouse HTTP")?.parse().ok()) {
                return Ok(at);
            }
            sleep(Duration::from_millis(2)).await;
        }
        Err("there is no second front".into())
    }

    /// What follows those words in the last line that has them.
    pub fn tail(&self, words: &str) -> Option<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().rev().find_map(|l| l.split_once(words).map(|(_, r)| r.to_owned()))
    }

    /// CPU time that it has used, in ms.
    pub fn cpu_ms(&self) -> Result<f64, Failure> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields: Vec<&str> =
            stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace().collect();
        // Fields 14 and 15 of proc(5), in hundredths of a second.
        let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        Ok((ticks(11) + ticks(12)) * 10.0)
    }

    pub fn said(&self, words: &str) -> bool {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).iter().any(|l| l.contains(words))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// One request of a client.
#[derive(Debug, Clone)]
pub struct Job {
    /// When it is due, in ms from the start of its arrivals.
    pub at: f64,
    pub class: usize,
    /// Work in ms on one core.
    pub work: f64,
    pub key: Option<String>,
}

/// Arrivals at so many cores' worth of work a second, for so long; classes by their shares, or lookups alone.
pub fn arrivals(seed: u64, cores: f64, span: f64, classes: usize) -> Vec<Job> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let share: f64 = CLASSES[..classes].iter().map(|c| c.1).sum();
    let mean: f64 = CLASSES[..classes].iter().map(|c| c.1 * c.2).sum::<f64>() / share;
    let gap = Exp::new(cores * 1000.0 / mean / 1000.0).ok();
    let spread = LogNormal::new(-0.32, 0.8).ok();
    let (mut at, mut out) = (0.0, Vec::new());
    while at < span {
        at += gap.map_or(1.0, |g| g.sample(&mut rng));
        let mut draw = rng.random_range(0.0..share);
        let class = CLASSES[..classes].iter().position(|c| {
            draw -= c.1;
            draw < 0.0
        });
        let class = class.unwrap_or(0);
        let work = (CLASSES[class].2 * spread.map_or(1.0, |s| s.sample(&mut rng))).clamp(1.0, 60_000.0);
        let key = (CLASSES[class].0 == "load").then(|| format!("{:032x}", rng.random::<u128>()));
        out.push(Job { at, class, work, key });
    }
    out
}

/// How a request went.
#[derive(Debug, Clone)]
pub struct Done {
    pub job: Job,
    pub answer: Option<Answer>,
    /// The client's name for the request, new with each try.
    pub txn: String,
    /// The program took the connection.
    pub connected: bool,
    /// From when it was due, in ms.
    pub took: f64,
    /// When it was sent and ended, on the lab's clock.
    pub sent: Instant,
    pub ended: Instant,
}

impl Done {
    /// Answered past its time: the rules allow 50 ms more on sockets, and this bed as much again.
    pub fn late(&self) -> bool {
        let patience = CLASSES[self.job.class].6;
        (self.ended - self.sent).as_secs_f64() * 1000.0 > patience + 100.0
    }

    /// Served within its aim.
    pub fn in_aim(&self) -> bool {
        let (_, _, _, threads, aim, stretch, _) = CLASSES[self.job.class];
        self.answer == Some(Answer::Served) && self.took <= aim + stretch * self.job.work / threads
    }
}

/// Where clients send: the address changes as the program is started anew.
pub struct Door {
    pub address: Option<SocketAddr>,
    clients: Vec<Client>,
    rng: Pcg64Mcg,
}

impl Door {
    pub fn new(seed: u64) -> Rc<RefCell<Self>> {
        Rc::new(RefCell::new(Self { address: None, clients: Vec::new(), rng: Pcg64Mcg::seed_from_u64(seed) }))
    }
}

/// Opens the door to that address; what was open is over.
pub fn open(door: &Rc<RefCell<Door>>, at: SocketAddr) {
    let mut door = door.borrow_mut();
    door.address = Some(at);
    door.clients.clear();
}

/// Shuts it: nobody listens there.
pub fn shut(door: &Rc<RefCell<Door>>) {
    let mut door = door.borrow_mut();
    door.address = None;
    door.clients.clear();
}

/// Connections that a fleet of clients keeps at most.
const CONNECTIONS: usize = 24;

/// Asks on a connection with room, or on a new one: the program closes those that are idle.
async fn ask(
    door: &Rc<RefCell<Door>>,
    fields: &[(&str, &str)],
    body: &str,
) -> Option<oneshot::Receiver<Answer>> {
    let at = {
        let mut door = door.borrow_mut();
        door.clients.retain(|c| !c.ended());
        let many = door.clients.len() >= CONNECTIONS;
        let least = door.clients.iter_mut().min_by_key(|c| c.open());
        if let Some(client) = least.filter(|c| c.open() < 4 || many && c.open() < 32) {
            return Some(client.send(fields, body));
        }
        door.address?
    };
    let mut client = Client::connect(at).await.ok()?;
    let told = client.send(fields, body);
    let mut door = door.borrow_mut();
    if door.address == Some(at) {
        door.clients.push(client);
    }
    Some(told)
}

/// Seconds past its time after which an answer is no longer waited for.
const GIVEN_UP: f64 = 2.0;

/// One try of a job.
pub async fn send(door: &Rc<RefCell<Door>>, job: Job, due: Instant) -> Done {
    let (_, _, _, threads, _, _, patience) = CLASSES[job.class];
    let sent = Instant::now();
    let txn = format!("{:016x}", door.borrow_mut().rng.random::<u64>());
    let (limit, cpu) = (format!("{patience:.0}"), format!("{:.1}", job.work));
    let mut fields = vec![
        ("verb", CLASSES[job.class].0),
        ("txn", txn.as_str()),
        ("limit", limit.as_str()),
        ("cpu", cpu.as_str()),
        ("mem", "64"),
    ];
    fields.extend(job.key.as_deref().map(|k| ("unique", k)));
    let body =
        format!("select 1 /* work={:.1} usual={:.1} threads={threads} */", job.work, CLASSES[job.class].2);
    let connected = std::cell::Cell::new(false);
    let asked = async {
        let mut answer = Answer::Lost;
        // A request that crosses the close of an idle connection is sent once more, on a new one.
        for _ in 0..2 {
            let begun = Instant::now();
            connected.set(false);
            let Some(told) = ask(door, &fields, &body).await else { return Answer::Lost };
            connected.set(true);
            answer = told.await.unwrap_or(Answer::Lost);
            if answer != Answer::Lost || begun.elapsed() > Duration::from_millis(50) {
                break;
            }
        }
        answer
    };
    // One that comes is late or not; one that does not come by then never does.
    let answer = timeout(Duration::from_secs_f64(patience / 1000.0 + GIVEN_UP), asked).await.ok();
    let ended = Instant::now();
    let connected = connected.get();
    Done { job, answer, txn, connected, took: (ended - due).as_secs_f64() * 1000.0, sent, ended }
}

/// Sends all jobs when they are due and waits for their ends.
pub async fn play(door: &Rc<RefCell<Door>>, jobs: Vec<Job>, from: Instant) -> Vec<Done> {
    let mut tasks = tokio::task::JoinSet::new();
    for job in jobs {
        let due = from + Duration::from_secs_f64(job.at / 1000.0);
        sleep_until(due).await;
        let door = door.clone();
        tasks.spawn_local(async move { send(&door, job, due).await });
    }
    tasks.join_all().await
}

/// A folder of the lab's for the program.
pub fn folder(lab: &Lab, name: &str) -> PathBuf {
    lab.dir.path().join(name)
}

pub fn knowledge(folder: &Path, more: &str) -> String {
    format!("  folder = {folder:?}\n{more}")
}
