//! Plays of many gateways: the real program, as many processes as the scenario wants, between stand-ins on loopback, with
//! faults by script. What comes of it is read from what the stand-ins and the clients saw, never from what gateways say.

use crate::bed::{arrivals, config, open, send, shut, Done, Door, Engines, Failure, Job, CLASSES};
use crate::ledger::{self, Try};
use crate::scenario::{FaultOf, Scenario, What};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use starlingplank_test_doubles::capacity_model::EngineSpec;
use starlingplank_test_doubles::engine::ListenerMode;
use starlingplank_test_doubles::name_service::{
    ListVersion, ListedEngine, NameService, SentAnswer, ServiceScript,
};
use starlingplank_test_doubles::relay::Relay;
use starlingplank_test_doubles::thrift::Answer;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::time::{sleep, sleep_until, Instant};

/// What a play is made of.
pub struct Stage<'a> {
    /// The program.
    pub program: &'a Path,
    /// A folder for its files.
    pub folder: &'a Path,
    /// Arrivals, places and faults follow from it.
    pub seed: u64,
    /// Processes.
    pub gateways: usize,
}

/// One gateway: its file, its way to the list, its process and where its clients go.
struct Gateway {
    file: PathBuf,
    way: Relay,
    child: Option<Child>,
    /// Told as each of its lives listens.
    door: Rc<RefCell<Door>>,
    life: u32,
    /// Flows to the list that its earlier lives had.
    former: usize,
    /// Killed or stopped, from and to: its clients may lose what they had open.
    broken: Vec<(f64, f64)>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Gateway {
    fn start(
        &mut self,
        number: usize,
        program: &Path,
        heard: &UnboundedSender<(usize, u32, SocketAddr)>,
    ) -> Result<(), Failure> {
        let mut command = Command::new(program);
        command.args(["serve", "--operator"]).arg(&self.file).env_remove("PROXY_CONFIG");
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", program.display()))?;
        self.life += 1;
        self.former = self.way.relay_addresses().len();
        let (life, heard) = (self.life, heard.clone());
        let lines = child.stdout.take().ok_or("it has no output")?;
        self.child = Some(child);
        // Whatever else it says is read as it comes, so that it never waits for a reader.
        std::thread::Builder::new().stack_size(256 << 10).spawn(move || {
            for line in BufReader::new(lines).lines().map_while(Result::ok) {
                let at = line.split_once(" listens at ").and_then(|(_, at)| at.trim().parse().ok());
                at.into_iter().for_each(|at| {
                    let _ = heard.send((number, life, at));
                });
            }
        })?;
        Ok(())
    }

    fn signal(&self, which: Signal) -> Result<(), Failure> {
        let Some(child) = &self.child else { return Ok(()) };
        let id = Pid::from_raw(child.id() as i32).ok_or("it has no number")?;
        Ok(kill_process(id, which)?)
    }

    fn kill(&mut self) {
        shut(&self.door);
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// What a play brought.
pub struct Played {
    /// Figures, nested by what they are of.
    pub json: Value,
    /// Questions and connections in 100 ms, and work served in cores, over time in seconds.
    pub series: Vec<(&'static str, Vec<(f64, f64)>)>,
    /// Rules that were broken, a line each.
    pub broken: Vec<String>,
}

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

fn script(s: &Scenario, gateways: usize) -> ServiceScript {
    let l = &s.list;
    let capacity = if l.capacity > 0.0 { l.capacity * 5.0 * gateways as f64 } else { 1e6 };
    ServiceScript {
        up_from: l.up_from,
        silent_from: l.silent_from,
        silent_to: l.silent_to,
        capacity,
        max_queueing: l.line,
        collapses: l.falls,
        stale_until: l.stale_until,
    }
}

/// Tries that are written down at most. A play that comes so far is cut short, and says so.
const TRIES: usize = 2_000_000;

/// Tries of one job: it is sent again where its gateway refused it, or was not there, for as long as its client waits.
async fn stubborn(
    door: Rc<RefCell<Door>>,
    gateway: usize,
    job: Job,
    due: Instant,
    impatient: bool,
    tries: Rc<RefCell<Vec<(usize, Done)>>>,
) {
    sleep_until(due).await;
    let patience = Duration::from_secs_f64(CLASSES[job.class].6 / 1000.0);
    loop {
        let done = send(&door, job.clone(), Instant::now()).await;
        let pause = match done.answer {
            Some(Answer::Refused(ms)) if !impatient => {
                Duration::from_secs_f64(ms.clamp(1.0, 60_000.0) / 1000.0)
            }
            Some(Answer::Refused(_)) => Duration::from_millis(10),
            Some(Answer::Lost) => Duration::from_millis(100),
            _ => Duration::ZERO,
        };
        tries.borrow_mut().push((gateway, done));
        if tries.borrow().len() >= TRIES {
            return;
        }
        if pause.is_zero() || due.elapsed() + pause > patience {
            return;
        }
        sleep(pause).await;
    }
}

/// Mean work of a request, in milliseconds on one core.
fn usual_work() -> f64 {
    let all: f64 = CLASSES.iter().map(|c| c.1).sum();
    CLASSES.iter().map(|c| c.1 * c.2).sum::<f64>() / all
}

/// Plays a scenario with the real program.
///
/// # Errors
/// A process, a port or a file cannot be had.
pub async fn play(stage: &Stage<'_>, s: &Scenario) -> Result<Played, Failure> {
    let count = if s.engines.count > 0 { s.engines.count } else { (stage.gateways / 12).max(2) };
    let spec =
        EngineSpec { cores: s.engines.cores, chance_allowance_work: usual_work(), ..EngineSpec::default() };
    let engines = Engines::start(vec![spec; count], stage.seed)?;
    let cold = (s.engines.cold * count as f64).round() as usize;
    let (mut refusing, mute) = (
        (s.engines.refuse * count as f64).round() as usize,
        (s.engines.mute * count as f64).round() as usize,
    );
    refusing = refusing.min(count);
    let up = |n: usize| s.engines.up_from + n as f64 * s.engines.apart;
    // Ways to the engines, where something happens to them.
    let cut = |f: &&FaultOf| matches!(f.what, What::EngineCut | What::EngineSlow | What::EngineReset);
    let mut ways = Vec::new();
    if s.fault.values().any(|f| cut(&f)) {
        for e in &engines.all {
            ways.push(Relay::tcp(e.address).await?);
        }
    }
    let address = |n: usize| ways.get(n).map_or(engines.all[n].address, |w| w.address);
    let mut entries: Vec<ListedEngine> = (0..count)
        .map(|n| ListedEngine {
            id: format!("s-{n}"),
            address: address(n),
            drains: false,
            started: if n < cold { unix_ms().floor() } else { 0.0 },
        })
        .collect();
    for (n, e) in engines.all.iter().enumerate() {
        if n < cold {
            e.restart();
        }
        let ill = if n < refusing { ListenerMode::Refusing } else { ListenerMode::Unresponsive };
        if up(n) > 0.0 {
            e.set_listener_mode(ListenerMode::Refusing);
        } else if n < refusing + mute {
            e.set_listener_mode(ill);
        }
    }
    let first = ListVersion { from: 0.0, serial: 2, engines: entries.clone() };
    let list = NameService::start(script(s, stage.gateways), vec![first])?;
    let mut text = config(&engines, stage.seed, None);
    for (n, e) in engines.all.iter().enumerate() {
        text = text.replace(&format!("\"{}\"", e.address), &format!("\"{}\"", address(n)));
    }
    let told = ((stage.gateways as f64 * s.size_told).round() as usize).max(1);
    let mut gateways = Vec::new();
    for rank in 0..stage.gateways {
        let way = Relay::udp(list.address, stage.seed ^ (rank as u64) << 20).await?;
        let mut own = format!("names = \"{}\"\ngateways = {told}\n", way.address);
        if s.ranked && rank < told {
            let _ = writeln!(own, "rank = {rank}");
        }
        let mut text =
            text.replacen("gateways = 1\n", &own, 1).replacen("seed = \"", &format!("seed = \"{rank:x}"), 1);
        if !s.known {
            let (from, to) = (text.find("engine \"").unwrap_or(0), text.find("class \"").unwrap_or(0));
            text.replace_range(from..to, "");
        }
        let file = stage.folder.join(format!("gateway-{rank}.hcl"));
        std::fs::write(&file, text)?;
        let door = Door::new(stage.seed ^ rank as u64);
        gateways.push(Gateway { file, way, child: None, door, life: 0, former: 0, broken: Vec::new() });
    }
    let gateways: Rc<RefCell<Vec<Gateway>>> = Rc::new(RefCell::new(gateways));
    let (heard, mut hears) = unbounded_channel::<(usize, u32, SocketAddr)>();
    let listening = gateways.clone();
    let doors = tokio::task::spawn_local(async move {
        while let Some((n, life, at)) = hears.recv().await {
            let all = listening.borrow();
            if all[n].life == life {
                open(&all[n].door, at);
            }
        }
    });
    let begun = Instant::now();
    // The clocks of the list, of the engines and of this play, at one moment.
    let (list_at, engines_at) = (list.started_at.elapsed().as_secs_f64(), engines.fleet.now());
    let from = |at: f64| begun + Duration::from_secs_f64(at);

    // Clients.
    let tries: Rc<RefCell<Vec<(usize, Done)>>> = Rc::default();
    let mut dice = Pcg64Mcg::seed_from_u64(stage.seed ^ 0x0c11);
    let cores = s.clients.load * s.engines.cores * count as f64;
    let jobs = if cores > 0.0 { arrivals(stage.seed, cores, s.seconds * 1000.0, 3) } else { Vec::new() };
    let mut clients = tokio::task::JoinSet::new();
    for job in jobs {
        let gateway = dice.random_range(0..stage.gateways);
        let (door, due) = (gateways.borrow()[gateway].door.clone(), from(job.at / 1000.0));
        clients.spawn_local(stubborn(door, gateway, job, due, s.clients.impatient, tries.clone()));
    }

    // All that happens, in its order.
    let mut plan: Vec<(f64, Step)> = Vec::new();
    let part = stage.gateways.div_ceil(s.waves.len().max(1));
    for (n, at) in s.waves.iter().enumerate() {
        plan.extend((n * part..((n + 1) * part).min(stage.gateways)).map(|g| (*at, Step::Start(g))));
    }
    plan.extend((0..count).filter(|n| up(*n) > 0.0).map(|n| (up(n), Step::Up(n))));
    if s.engines.ill_until > 0.0 {
        plan.extend((0..refusing + mute).map(|n| (s.engines.ill_until, Step::Well(n))));
    }
    if s.engines.away_to > s.engines.away_from {
        plan.extend((0..count).map(|n| (s.engines.away_from, Step::Away(n))));
        plan.extend((0..count).map(|n| (s.engines.away_to + n as f64 * s.engines.apart, Step::Up(n))));
    }
    for fault in s.fault.values() {
        let n = (fault.share * stage.gateways as f64).round() as usize;
        let on = |at: f64, step: fn(usize, f64) -> Step| (0..n).map(move |g| (at, step(g, fault.by)));
        match fault.what {
            What::Drain => plan.push((fault.from, Step::Drain)),
            What::Stop => {
                plan.extend(on(fault.from, |g, _| Step::Stop(g)));
                plan.extend(on(fault.to, |g, _| Step::Go(g)));
            }
            What::Kill => {
                plan.extend(on(fault.from, |g, _| Step::Kill(g)));
                plan.extend(
                    (fault.to > fault.from).then(|| on(fault.to, |g, _| Step::Kill(g))).into_iter().flatten(),
                );
            }
            What::EngineCut | What::EngineSlow | What::EngineReset => {
                let n = (fault.share * count as f64).round() as usize;
                plan.extend((0..n).map(|e| (fault.from, Step::EngineWay(e, fault.what, fault.by))));
                plan.extend((0..n).map(|e| (fault.to, Step::EngineMend(e, fault.what))));
            }
            what => {
                plan.extend((0..n).map(|g| (fault.from, Step::Way(g, what, fault.by))));
                plan.extend((0..n).map(|g| (fault.to, Step::Mend(g, what))));
            }
        }
    }
    plan.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut serial, mut drained, mut started_within) = (2, None, 0.0_f64);
    // Under which number the list first tells of each engine's start, and when it was.
    let mut ups = vec![(2, 0.0); count];
    for (at, step) in plan.into_iter().filter(|(at, _)| *at < s.seconds) {
        sleep_until(from(at)).await;
        let now = begun.elapsed().as_secs_f64();
        let mut all = gateways.borrow_mut();
        match step {
            Step::Start(g) => {
                all[g].start(g, stage.program, &heard)?;
                started_within = started_within.max(now - at);
            }
            Step::Kill(g) => {
                all[g].kill();
                all[g].broken.push((now, now + 1.0));
                all[g].start(g, stage.program, &heard)?;
            }
            Step::Stop(g) => {
                all[g].signal(Signal::STOP)?;
                all[g].broken.push((now, f64::INFINITY));
            }
            Step::Go(g) => {
                all[g].signal(Signal::CONT)?;
                if let Some((_, to)) = all[g].broken.last_mut() {
                    *to = now + 0.2;
                }
            }
            Step::Way(g, what, by) => all[g].way.set(|f| match what {
                What::Cut => f.set_cut(true),
                What::CutOut => f.cut_to_server = true,
                What::CutBack => f.cut_to_client = true,
                What::Lose => f.loss = by,
                _ => f.delay = Duration::from_secs_f64(by),
            }),
            Step::Mend(g, what) => all[g].way.set(|f| match what {
                What::Lose => f.loss = 0.0,
                What::Slow => f.delay = Duration::ZERO,
                _ => f.set_cut(false),
            }),
            Step::EngineWay(n, What::EngineReset, _) => ways[n].reset(),
            Step::EngineWay(n, What::EngineSlow, by) => {
                ways[n].set(|f| f.delay = Duration::from_secs_f64(by));
            }
            Step::EngineWay(n, ..) => ways[n].set(|f| f.set_cut(true)),
            Step::EngineMend(_, What::EngineReset) => {}
            Step::EngineMend(n, What::EngineSlow) => ways[n].set(|f| f.delay = Duration::ZERO),
            Step::EngineMend(n, _) => ways[n].set(|f| f.set_cut(false)),
            Step::Drain => {
                entries[0].drains = true;
                serial += 1;
                list.publish(serial, entries.clone());
                drained = Some((serial, engines.all[0].clone()));
            }
            Step::Away(n) => {
                engines.all[n].set_listener_mode(ListenerMode::Refusing);
                engines.all[n].stop();
            }
            Step::Up(n) => {
                engines.all[n].restart();
                engines.all[n].set_listener_mode(ListenerMode::Serving);
                entries[n].started = unix_ms().floor();
                serial += 1;
                ups[n] = (serial, now);
                list.publish(serial, entries.clone());
            }
            Step::Well(n) => engines.all[n].set_listener_mode(ListenerMode::Serving),
        }
    }
    sleep_until(from(s.seconds)).await;
    let asked = list.queries();
    // Requests still open are given their time: each must get its answer.
    let _ =
        tokio::time::timeout(Duration::from_secs(25), async { while clients.join_next().await.is_some() {} })
            .await;
    doors.abort();

    // The ledgers, all on this play's clock in seconds.
    // A gateway was told once the answer came out of its way.
    let begun_at = begun.into_std();
    let mut heard: std::collections::HashMap<(SocketAddr, u16), Vec<f64>> = Default::default();
    for delivery in gateways.borrow().iter().flat_map(|g| g.way.deliveries()) {
        let at = (delivery.at - begun_at).as_secs_f64();
        heard.entry((delivery.relay_address, delivery.id)).or_default().push(at);
    }
    let asked: Vec<_> = asked
        .into_iter()
        .map(|mut a| {
            a.at -= list_at;
            a.answer = a.answer.and_then(|SentAnswer { serial, at }| {
                let times = heard.get(&(a.from, a.id))?;
                times.iter().find(|t| **t >= at - list_at - 0.01).map(|t| SentAnswer { serial, at: *t })
            });
            a
        })
        .collect();
    let engine_ledgers: Vec<_> = engines
        .all
        .iter()
        .map(|e| {
            let mut ledger = e.arrivals();
            ledger.iter_mut().for_each(|a| a.at = (a.at - engines_at) / 1000.0);
            ledger
        })
        .collect();
    let all = gateways.borrow();
    let tries: Vec<Try> = tries
        .borrow()
        .iter()
        .map(|(gateway, d)| Try {
            gateway: *gateway,
            txn: d.txn.clone(),
            sent: (d.sent - begun).as_secs_f64(),
            ended: (d.ended - begun).as_secs_f64(),
            answer: d.answer,
            connected: d.connected,
            work: d.job.work,
            in_aim: d.in_aim(),
            late: d.late(),
        })
        .collect();
    let excused = |t: &Try| all[t.gateway].broken.iter().any(|(from, to)| t.sent < *to && t.ended > *from);
    let mut broken = ledger::lost_answers(&tries, excused);
    if tries.len() >= TRIES {
        broken.push(format!("clients tried {TRIES} times, and the play was cut short"));
    }
    broken.extend(ledger::overlaps(engines.fleet.overlaps()));
    broken.extend(ledger::retry_budget(&tries, &engine_ledgers, stage.gateways));
    let mut told = BTreeMap::new();
    if let Some((serial, _)) = &drained {
        for (g, gateway) in all.iter().enumerate() {
            let ports = gateway.way.relay_addresses();
            let of = asked.iter().filter(|a| ports.contains(&a.from));
            let at = of
                .filter_map(|a| a.answer.filter(|answer| answer.serial >= *serial).map(|answer| answer.at))
                .fold(f64::INFINITY, f64::min);
            told.insert(g, at);
        }
        broken.extend(ledger::drains(&tries, &engine_ledgers[0], &told));
    }
    let fallen = engines.all.iter().filter(|e| e.with_model(|model| model.collapsed_at.is_some())).count();
    let worst_cold =
        engines.all.iter().map(|e| e.with_model(|model| model.max_overload_ratio)).fold(0.0, f64::max);
    // The operators' page: the rule is broken where over two thirds of what pushed one over came from gateways that had
    // been told of its start.
    let told_of = |g: usize, serial: u32| {
        let ports = all[g].way.relay_addresses();
        let of = asked.iter().filter(|a| ports.contains(&a.from));
        of.filter_map(|a| a.answer.filter(|answer| answer.serial >= serial).map(|answer| answer.at))
            .fold(f64::INFINITY, f64::min)
    };
    let mut told_shares = Vec::new();
    for (n, e) in engines.all.iter().enumerate() {
        let Some(fell) = e.with_model(|model| model.collapsed_at) else { continue };
        let fell = (fell - engines_at) / 1000.0;
        let from = ups[n].1.max(fell - 2.0);
        told_shares
            .push(ledger::told_share(&tries, &engine_ledgers[n], (from, fell), |g| told_of(g, ups[n].0)));
    }
    if told_shares.iter().any(|s| *s > 2.0 / 3.0) {
        broken.push(format!(
            "{fallen} cold engines were pushed over, the worst sent {worst_cold:.2} times its budget"
        ));
    }
    let asked: Vec<_> = asked.into_iter().filter(|a| a.at < s.seconds).collect();
    let ports: Vec<_> = all.iter().map(|g| g.way.relay_addresses().split_off(g.former)).collect();
    let capacity = script(s, stage.gateways).capacity;
    let mut json = json!({
        "about": s.about,
        "started_within_s": ledger::round(started_within),
        "list": ledger::questions(&asked, &ports, capacity, s.seconds),
        "engines": ledger::doors(&engine_ledgers, s.seconds),
        "worst_cold_ratio": ledger::round(worst_cold),
        "fallen": fallen,
        "fallen_share_from_told": told_shares.iter().map(|s| ledger::round(*s)).collect::<Vec<_>>(),
        "overlapping": engines.fleet.overlaps(),
        "rules_broken": broken.len(),
    });
    if !tries.is_empty() {
        json["clients"] = ledger::clients(&tries, cores / s.clients.load, s.seconds);
    }
    let series = vec![
        ("questions", ledger::in_tenths(asked.iter().map(|a| (a.at, 1.0)), s.seconds)),
        ("connections", ledger::in_tenths(ledger::connections(&engine_ledgers), s.seconds)),
        ("cores' worth served", ledger::in_tenths(ledger::served(&tries), s.seconds)),
    ];
    Ok(Played { json, series, broken })
}

/// One thing that happens.
enum Step {
    Start(usize),
    Kill(usize),
    Stop(usize),
    Go(usize),
    Way(usize, What, f64),
    Mend(usize, What),
    Drain,
    EngineWay(usize, What, f64),
    EngineMend(usize, What),
    Away(usize),
    Up(usize),
    Well(usize),
}
