//! A soak: many real gateways between engines, clients and a list service, while troubles that are drawn from a seed overlap.
//! What clients and engines saw is the ledger, and the oracle finds what breaks a rule in it.
//!
//! The troubles are at the ends and in the processes themselves: no relay stands between a gateway and its engines, so that
//! one-way cuts and reordered datagrams are not played here.

pub mod ledger;
pub mod oracle;

mod client;
mod config;
mod discovery;
mod engine;
mod process;
mod run;
mod schedule;
mod troubles;

pub use run::{play, Plan, Played};

use crate::harness::{Failure, RunOptions};
use crate::report::Figures;
use ledger::{Answer, Ledger, RequestEnd};
use oracle::Terms;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::time::Instant;

/// Window of keys in the settings of a play, in milliseconds.
const KEY_WINDOW_MS: u32 = 2_500;
/// Cores of an engine.
const CORES: f64 = 4.0;
/// From the settings of a play: the multiple at which a cold engine falls, the span in milliseconds, the share and the time of
/// the ramp.
const FALL_MULTIPLE: f64 = 1.0;
const TIP_AFTER_MS: f64 = 2_000.0;
const COLD_FROM: f64 = 0.31;
const WARM_WITHIN_MS: f64 = 8_000.0;

/// The terms of a play.
pub fn terms() -> Terms {
    Terms {
        // The settings' 20 ms, 50 ms more on sockets, and what a machine that is full adds here.
        answer_grace: 0.15,
        gone_slack: 0.1,
        budget_slack: 0.15,
        key_window: f64::from(KEY_WINDOW_MS) / 1000.0 + 0.05,
        drain_grace: 2.05,
        told_within: 1.5,
        told_after_move: 4.0,
        told_by_all_means: 7.0,
        retry_budget: (2.0, 0.2, 10.0),
        cold_budget: (
            FALL_MULTIPLE * CORES * TIP_AFTER_MS / 1000.0 / engine::MEAN_SERVICE,
            TIP_AFTER_MS / 1000.0,
        ),
        cold_ramp: (COLD_FROM, WARM_WITHIN_MS / 1000.0),
        ready_by: 10.0,
        ended_by: 3.7,
        log_lines: 40.0,
    }
}

/// Gateways of a play where none are asked for, and at most.
const GATEWAYS: usize = 12;
const MOST_GATEWAYS: usize = 40;

/// The experiment: one play, and what broke in it.
pub(crate) async fn experiment(options: &RunOptions) -> Result<Figures, Failure> {
    let folder = tempfile::tempdir()?;
    let plan = Plan {
        program: options.program.clone(),
        faults_library: options.program.with_file_name("libstarlingplank_fault_injection.so"),
        folder: folder.path().to_owned(),
        seed: options.seed,
        gateways: if options.gateways > MOST_GATEWAYS { GATEWAYS } else { options.gateways },
        seconds: options.seconds,
        without: options.without.clone(),
    };
    let played = play(&plan).await?;
    report_breaks(&played);
    Ok(Figures { json: figures(&plan, &played), chart: None })
}

/// The schedule, and the trace of each request that broke a rule, for whoever shortens the seed.
fn report_breaks(played: &Played) {
    if played.breaks.is_empty() {
        return;
    }
    for (number, planned) in played.schedule.iter().enumerate() {
        eprintln!("trouble {number}: {planned:?}");
    }
    for line in &played.breaks {
        eprintln!("break: {line}");
        let txn = line.split(':').next().unwrap_or_default();
        if let Some(request) = played.ledger.requests.get(txn) {
            eprintln!("  request {request:?}");
            eprintln!("  attempts {:?}", played.ledger.attempts.get(txn));
            let lives = played.ledger.processes.get(request.gateway);
            eprintln!("  process {:?}", lives.and_then(|l| l.get(request.incarnation as usize)));
        }
    }
    report_after_the_troubles(played);
    played.errors.iter().for_each(|line| eprintln!("logged: {line}"));
}

/// What gateways that do not serve again in the end did with the last requests.
fn report_after_the_troubles(played: &Played) {
    let ledger = &played.ledger;
    let short = ledger.recovered.iter().enumerate().filter(|(_, (served, of))| served < of);
    for (gateway, _) in short {
        let last =
            ledger.requests.iter().filter(|(_, r)| r.gateway == gateway && r.sent > ledger.last_trouble);
        for (txn, request) in last.filter(|(_, r)| !matches!(r.end, RequestEnd::Answered(_, Answer::Served)))
        {
            eprintln!(
                "gateway {gateway} after the troubles: {txn} {request:?} {:?}",
                ledger.attempts.get(txn)
            );
        }
    }
}

fn figures(plan: &Plan, played: &Played) -> serde_json::Value {
    let ends = || played.ledger.requests.values().map(|r| r.end);
    let answered =
        |wanted| ends().filter(|e| matches!(e, RequestEnd::Answered(_, a) if *a == wanted)).count();
    serde_json::json!({
        "processes": plan.gateways,
        "seconds": plan.seconds,
        "troubles": played.schedule.len(),
        "requests": ends().count(),
        "served": answered(Answer::Served),
        "refused": answered(Answer::Refused),
        "failed": answered(Answer::Failed),
        "left": ends().filter(|e| matches!(e, RequestEnd::Gone(_))).count(),
        "attempts": played.ledger.attempts.values().map(Vec::len).sum::<usize>(),
        "starts": played.ledger.processes.iter().map(Vec::len).sum::<usize>(),
        "memory_mb": (played.footprint.0 * 10.0).round() / 10.0,
        "descriptors": played.footprint.1,
        "breaks": played.breaks.len(),
        "first_break": played.breaks.first().map_or(String::new(), |line| line.chars().take(160).collect()),
    })
}

/// What all parts of a play share.
pub struct Stage {
    /// Where the program is.
    program: PathBuf,
    /// The library of system-call faults.
    faults_library: PathBuf,
    /// A folder for each gateway is in it.
    folder: PathBuf,
    /// Where the gateways listen.
    addresses: Vec<SocketAddr>,
    begun: Instant,
    rng: RefCell<Pcg64Mcg>,
    /// What was seen.
    ledger: RefCell<Ledger>,
    /// Clients cancel and leave far more often.
    clients_leave: Cell<bool>,
    /// Clients ask no more.
    over: Cell<bool>,
    /// Errors that processes logged.
    errors: RefCell<Vec<String>>,
}

impl Stage {
    fn new(plan: &Plan, addresses: Vec<SocketAddr>) -> Self {
        let gateways = addresses.len();
        Self {
            program: plan.program.clone(),
            faults_library: plan.faults_library.clone(),
            folder: plan.folder.clone(),
            addresses,
            begun: Instant::now(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(plan.seed)),
            ledger: RefCell::new(Ledger { processes: vec![Vec::new(); gateways], ..Ledger::default() }),
            clients_leave: Cell::new(false),
            over: Cell::new(false),
            errors: RefCell::default(),
        }
    }

    /// Seconds since the play began.
    fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    fn draw<T>(&self, draw: impl FnOnce(&mut Pcg64Mcg) -> T) -> T {
        draw(&mut self.rng.borrow_mut())
    }

    /// The number of a gateway's last process.
    fn incarnation(&self, gateway: usize) -> u32 {
        (self.ledger.borrow().processes[gateway].len() as u32).saturating_sub(1)
    }

    fn note_errors(&self, gateway: usize, number: usize, lines: &[String]) {
        let named = lines.iter().map(|line| format!("gateway {gateway} process {number}: {line}"));
        self.errors.borrow_mut().extend(named);
    }
}
