//! Options, state and result of a run of many gateways.

use super::gateway::{Gateway, Listening};
use crate::harness::engines::Engines;
use crate::scenario::Scenario;
use serde_json::Value;
use starlingplank_test_doubles::name_service::{EndpointEntry, NameService};
use starlingplank_test_doubles::relay::Relay;
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

/// Options of a run of many gateways.
pub struct FleetOptions<'a> {
    /// Path of the gateway program.
    pub program: &'a Path,
    /// Folder for the operator's files of the gateways.
    pub folder: &'a Path,
    /// Seed from which arrivals, the gateways of clients, and losses of datagrams are drawn.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
}

/// A series of values over time.
pub struct TimeSeries {
    /// Name of the series in tables and charts.
    pub name: &'static str,
    /// Points of the series: seconds since the start of the run, and the value.
    pub points: Vec<(f64, f64)>,
}

/// Result of a run of many gateways.
pub struct FleetResult {
    /// Metrics of the run by key. Those of the name service are nested under `list`, of the engines under `engines`, and of the clients
    /// under `clients`.
    pub json: Value,
    /// Numbers of polls and of connections to engines in each 100 ms, and the served work in cores.
    pub series: Vec<TimeSeries>,
    /// Violations of the rules, one line of text for each.
    pub violations: Vec<String>,
}

pub(super) type Gateways = Rc<RefCell<Vec<Gateway>>>;

/// Time at which an engine was started, and the first version of the endpoint list with that start.
#[derive(Clone, Copy)]
pub(super) struct EngineStart {
    pub(super) version: u32,
    pub(super) at: f64,
}

/// State of a run. Owns the gateways' processes and the test doubles.
pub(super) struct FleetRun<'a> {
    pub(super) options: &'a FleetOptions<'a>,
    pub(super) scenario: &'a Scenario,
    pub(super) engines: Engines,
    /// Relays to the engines, by engine; empty if the scenario has no faults on these paths.
    pub(super) engine_paths: Vec<Relay>,
    /// Latest content of the endpoint list.
    pub(super) endpoint_list: Vec<EndpointEntry>,
    pub(super) name_service: NameService,
    pub(super) gateways: Gateways,
    pub(super) listening: UnboundedSender<Listening>,
    /// Time at which the run started.
    pub(super) started_at: Instant,
    /// Readings of the clocks of the name service, in seconds, and of the engines, in milliseconds, at the start of the run.
    pub(super) name_service_clock_at_start: f64,
    pub(super) engine_clock_at_start: f64,
    /// Latest version of the endpoint list.
    pub(super) version: u32,
    /// First version of the endpoint list with the drain of the first engine.
    pub(super) drain_version: Option<u32>,
    pub(super) engine_starts: Vec<EngineStart>,
    /// Maximum delay of a gateway's start after it was due, in seconds.
    pub(super) max_start_delay: f64,
}

impl FleetRun<'_> {
    pub(super) fn instant(&self, at: f64) -> Instant {
        self.started_at + Duration::from_secs_f64(at)
    }

    pub(super) fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }
}
