//! Runs of many gateways: the real program, as many processes as the scenario wants, between test doubles on loopback, with
//! faults by script. The result is read from what the doubles and the clients recorded, never from what gateways log.

mod clients;
mod evaluation;
mod gateway;
mod plan;
mod setup;
mod steps;

use crate::harness::engines::Engines;
use crate::harness::Failure;
use crate::scenario::Scenario;
use clients::AttemptRecord;
use gateway::{Gateway, Listening};
use serde_json::Value;
use starlingplank_test_doubles::name_service::{ListedEngine, NameService};
use starlingplank_test_doubles::relay::Relay;
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep_until, timeout, Instant};

/// The time after a run in which open requests get their answers.
const DRAIN_TIME: Duration = Duration::from_secs(25);

/// The options of a run.
pub struct FleetOptions<'a> {
    /// The program.
    pub program: &'a Path,
    /// A folder for its files.
    pub folder: &'a Path,
    /// Arrivals, the gateways of clients and faults follow from it.
    pub seed: u64,
    /// The number of gateways.
    pub gateways: usize,
}

/// A series over time, in seconds.
pub struct TimeSeries {
    /// Its name.
    pub name: &'static str,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

/// The result of a run.
pub struct FleetResult {
    /// Figures, nested by what they are of.
    pub json: Value,
    /// Polls and connections in 100 ms, and the work that was served in cores.
    pub series: Vec<TimeSeries>,
    /// Violations of the rules, a line each.
    pub violations: Vec<String>,
}

type Gateways = Rc<RefCell<Vec<Gateway>>>;

/// When an engine was started, and the first version of the list that tells so.
#[derive(Clone, Copy)]
struct EngineStart {
    version: u32,
    at: f64,
}

/// The state of a run. It owns the gateways' processes and the doubles.
struct FleetRun<'a> {
    options: &'a FleetOptions<'a>,
    scenario: &'a Scenario,
    engines: Engines,
    /// The paths to the engines, where the scenario has faults on them.
    engine_paths: Vec<Relay>,
    listed: Vec<ListedEngine>,
    name_service: NameService,
    gateways: Gateways,
    listening: UnboundedSender<Listening>,
    begun: Instant,
    /// The clocks of the name service, in seconds, and of the engines, in milliseconds, as the run began.
    name_service_began_at: f64,
    engines_began_at: f64,
    /// The version of the list.
    version: u32,
    /// The version with the drain.
    drained_in: Option<u32>,
    engine_starts: Vec<EngineStart>,
    /// The longest delay of a gateway's start.
    started_within: f64,
}

impl FleetRun<'_> {
    fn instant(&self, at: f64) -> Instant {
        self.begun + Duration::from_secs_f64(at)
    }

    fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }
}

/// Opens the clients' connections to each process as it listens, unless the gateway has been restarted since.
async fn open_connections(gateways: Gateways, mut listening: UnboundedReceiver<Listening>) {
    while let Some(Listening { gateway, incarnation, address }) = listening.recv().await {
        gateways.borrow()[gateway].listens(incarnation, address);
    }
}

/// Runs a scenario with the real program.
///
/// # Errors
/// A process, a port or a file cannot be had.
pub async fn run_scenario(options: &FleetOptions<'_>, scenario: &Scenario) -> Result<FleetResult, Failure> {
    let (listening, events) = unbounded_channel();
    let mut run = setup::set_up(options, scenario, listening).await?;
    let connections = tokio::task::spawn_local(open_connections(run.gateways.clone(), events));
    let records: Rc<RefCell<Vec<AttemptRecord>>> = Rc::default();
    let mut clients = clients::start(&run, &records);
    for planned in plan::plan(options.gateways, run.engines.all.len(), scenario) {
        sleep_until(run.instant(planned.at)).await;
        run.perform(&planned)?;
    }
    sleep_until(run.instant(scenario.seconds)).await;
    let queries = run.name_service.queries();
    let _ = timeout(DRAIN_TIME, async { while clients.join_next().await.is_some() {} }).await;
    connections.abort();
    let records = records.borrow();
    Ok(evaluation::evaluate(&run, queries, &records))
}
