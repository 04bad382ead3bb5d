//! The options, the state and the result of a run.

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

pub(super) type Gateways = Rc<RefCell<Vec<Gateway>>>;

/// When an engine was started, and the first version of the list that tells so.
#[derive(Clone, Copy)]
pub(super) struct EngineStart {
    pub(super) version: u32,
    pub(super) at: f64,
}

/// The state of a run. It owns the gateways' processes and the doubles.
pub(super) struct FleetRun<'a> {
    pub(super) options: &'a FleetOptions<'a>,
    pub(super) scenario: &'a Scenario,
    pub(super) engines: Engines,
    /// The paths to the engines, where the scenario has faults on them.
    pub(super) engine_paths: Vec<Relay>,
    pub(super) listed: Vec<EndpointEntry>,
    pub(super) name_service: NameService,
    pub(super) gateways: Gateways,
    pub(super) listening: UnboundedSender<Listening>,
    pub(super) begun: Instant,
    /// The clocks of the name service, in seconds, and of the engines, in milliseconds, as the run began.
    pub(super) name_service_began_at: f64,
    pub(super) engines_began_at: f64,
    /// The version of the list.
    pub(super) version: u32,
    /// The version with the drain.
    pub(super) drained_in: Option<u32>,
    pub(super) engine_starts: Vec<EngineStart>,
    /// The longest delay of a gateway's start.
    pub(super) started_within: f64,
}

impl FleetRun<'_> {
    pub(super) fn instant(&self, at: f64) -> Instant {
        self.begun + Duration::from_secs_f64(at)
    }

    pub(super) fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }
}
