//! Scenario files: settings and faults of a run of many gateways. A failing run is reproduced from its scenario file and its seed.

use serde::Deserialize;
use std::collections::BTreeMap;

/// Range of the duration of a run, in seconds.
const MIN_SECONDS: f64 = 1.0;
const MAX_SECONDS: f64 = 300.0;
const MAX_WAVES: usize = 100;
const MAX_LOAD: f64 = 4.0;
const MAX_ENGINES: usize = 1_000;

/// A scenario. Times are in seconds since the start of the run, shares range from 0 to 1.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Description of the scenario, which is copied into its results.
    pub about: String,
    /// Duration of the run.
    pub seconds: f64,
    /// Start times of the gateways, which start in one wave at each time. The waves are of equal size.
    #[serde(default = "one_wave")]
    pub waves: Vec<f64>,
    /// Number of gateways in the operator's files, as a multiple of the actual number.
    #[serde(default = "one", rename = "size_told")]
    pub configured_size: f64,
    /// Whether the operator's file of each gateway has the index of the gateway.
    #[serde(default = "yes", rename = "ranked")]
    pub has_indices: bool,
    /// Whether the operator's files list the engines.
    #[serde(default = "yes", rename = "known")]
    pub knows_engines: bool,
    /// Behaviour of the name service.
    #[serde(default, rename = "list")]
    pub name_service: NameServiceScenario,
    /// Behaviour of the engines.
    #[serde(default)]
    pub engines: EngineScenario,
    /// Behaviour of the clients.
    #[serde(default)]
    pub clients: ClientScenario,
    /// Faults by name. The name only documents the scenario file.
    #[serde(default, rename = "fault")]
    pub faults: BTreeMap<String, Fault>,
}

/// Behaviour of the name service in a scenario.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NameServiceScenario {
    /// Time before which the name service answers no poll.
    pub up_from: f64,
    /// Time at which the name service stops answering polls.
    pub silent_from: f64,
    /// Time at which the name service resumes answering polls.
    pub silent_to: f64,
    /// Number of polls that the name service can answer in a second, as a share of five polls for each gateway; 0 for no limit.
    pub capacity: f64,
    /// Maximum time that a poll waits in the queue of the name service.
    #[serde(rename = "line")]
    pub max_queueing: f64,
    /// Whether the name service answers no poll while it receives more polls than it can answer.
    #[serde(rename = "falls")]
    pub collapses: bool,
    /// Time before which the name service answers with an outdated endpoint list.
    pub stale_until: f64,
}

/// Number, capacity and faults of the engines in a scenario.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineScenario {
    /// Number of engines; 0 for one engine for each twelve gateways, with a minimum of two.
    pub count: usize,
    /// Number of cores of each engine.
    pub cores: f64,
    /// Share of the engines that start with the run, and are cold.
    pub cold: f64,
    /// Time before which all engines refuse connections.
    pub up_from: f64,
    /// Time between the starts of successive engines, after `up_from` and after `away_to`.
    #[serde(rename = "apart")]
    pub start_interval: f64,
    /// Time at which all engines are stopped.
    #[serde(rename = "away_from")]
    pub stopped_from: f64,
    /// Time at which the stopped engines are started again, cold.
    #[serde(rename = "away_to")]
    pub stopped_to: f64,
    /// Share of the engines that refuse connections until `faulty_until`.
    #[serde(rename = "refuse")]
    pub refusing: f64,
    /// Share of the engines that accept connections and do not respond until `faulty_until`.
    #[serde(rename = "mute")]
    pub unresponsive: f64,
    /// Time at which the refusing and the unresponsive engines become healthy.
    #[serde(rename = "ill_until")]
    pub faulty_until: f64,
}

/// Load and behaviour of the clients in a scenario.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientScenario {
    /// Work that arrives, as a share of the capacity of the engines' cores when all engines are warm.
    pub load: f64,
    /// Whether clients retry rejected requests after 10 ms, and ignore the retry-after time of the rejection.
    #[serde(rename = "impatient")]
    pub ignores_retry_after: bool,
}

/// A fault of gateways, of engines or of their network paths.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// Share of the gateways, or of the engines, that the fault affects: those with the lowest indices.
    pub share: f64,
    /// Time at which the fault begins.
    pub from: f64,
    /// Time at which the fault ends.
    #[serde(default)]
    pub to: f64,
    /// For `lose`, the share of datagrams lost in each direction; for `slow` and `engine_slow`, the delay in each direction, in seconds.
    #[serde(default, rename = "by")]
    pub amount: f64,
}

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Gateway processes are paused until the end of the fault.
    #[serde(rename = "stop")]
    Pause,
    /// Gateway processes are killed at the beginning of the fault, and again at its end if that is later, and are restarted at once.
    Kill,
    /// The path to the name service is cut in both directions.
    Cut,
    /// The path to the name service is cut for polls; answers are delivered.
    #[serde(rename = "cut_out")]
    CutToService,
    /// The path to the name service is cut for answers; polls are delivered.
    #[serde(rename = "cut_back")]
    CutFromService,
    /// The path to the name service loses datagrams.
    #[serde(rename = "lose")]
    Loss,
    /// The path to the name service delays datagrams.
    #[serde(rename = "slow")]
    Delay,
    /// The first engine drains from the beginning of the fault. Only the name service announces the drain.
    Drain,
    /// The paths to engines are cut: connections stay open and deliver no data.
    EngineCut,
    /// The paths to engines delay all data.
    #[serde(rename = "engine_slow")]
    EngineDelay,
    /// All connections to engines are reset, once.
    EngineReset,
}

impl FaultKind {
    /// Returns whether the fault affects the paths to engines, and `share` counts engines.
    pub fn affects_engine_paths(self) -> bool {
        matches!(self, Self::EngineCut | Self::EngineDelay | Self::EngineReset)
    }
}

fn one() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

fn one_wave() -> Vec<f64> {
    vec![0.0]
}

impl Default for NameServiceScenario {
    fn default() -> Self {
        Self {
            up_from: 0.0,
            silent_from: 0.0,
            silent_to: 0.0,
            capacity: 0.0,
            max_queueing: 0.1,
            collapses: false,
            stale_until: 0.0,
        }
    }
}

impl Default for EngineScenario {
    fn default() -> Self {
        Self {
            count: 0,
            cores: 12.0,
            cold: 0.0,
            up_from: 0.0,
            start_interval: 0.0,
            stopped_from: 0.0,
            stopped_to: 0.0,
            refusing: 0.0,
            unresponsive: 0.0,
            faulty_until: 0.0,
        }
    }
}

/// Error of reading a scenario file.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not valid HCL, a key is unknown or missing, or a value has the wrong type.
    #[error("cannot read scenario {name}: {source}")]
    Syntax {
        /// Name of the scenario.
        name: String,
        /// Error of the parser, with its position.
        source: hcl::Error,
    },
    /// A share is not between 0 and 1, or another number is out of its range.
    #[error("scenario {name}: a share is not between 0 and 1, or a number is out of its range")]
    OutOfRange {
        /// Name of the scenario.
        name: String,
    },
}

/// Parses the text of a scenario file and checks the ranges of its values.
///
/// # Errors
/// The text is not a valid scenario, or a value is out of its range.
pub fn read(name: &str, text: &str) -> Result<Scenario, ScenarioError> {
    let scenario: Scenario =
        hcl::from_str(text).map_err(|source| ScenarioError::Syntax { name: name.to_owned(), source })?;
    if !is_in_range(&scenario) {
        return Err(ScenarioError::OutOfRange { name: name.to_owned() });
    }
    Ok(scenario)
}

fn is_in_range(scenario: &Scenario) -> bool {
    let Scenario { engines, clients, faults, .. } = scenario;
    let shares = [engines.cold, engines.refusing, engines.unresponsive];
    let mut shares = shares.into_iter().chain(faults.values().map(|fault| fault.share));
    shares.all(|share| (0.0..=1.0).contains(&share))
        && (MIN_SECONDS..=MAX_SECONDS).contains(&scenario.seconds)
        && scenario.waves.len() <= MAX_WAVES
        && scenario.configured_size > 0.0
        && (0.0..=MAX_LOAD).contains(&clients.load)
        && engines.count <= MAX_ENGINES
}

/// Names and texts of the built-in scenarios.
pub const ALL: [(&str, &str); 19] = [
    ("well", include_str!("../scenarios/well.hcl")),
    ("fifth", include_str!("../scenarios/fifth.hcl")),
    ("falls", include_str!("../scenarios/falls.hcl")),
    ("late", include_str!("../scenarios/late.hcl")),
    ("silent", include_str!("../scenarios/silent.hcl")),
    ("waves", include_str!("../scenarios/waves.hcl")),
    ("stale", include_str!("../scenarios/stale.hcl")),
    ("one-way", include_str!("../scenarios/one-way.hcl")),
    ("lossy", include_str!("../scenarios/lossy.hcl")),
    ("nothing-known", include_str!("../scenarios/nothing-known.hcl")),
    ("cold", include_str!("../scenarios/cold.hcl")),
    ("one-by-one", include_str!("../scenarios/one-by-one.hcl")),
    ("third-refuse", include_str!("../scenarios/third-refuse.hcl")),
    ("stopped", include_str!("../scenarios/stopped.hcl")),
    ("killed", include_str!("../scenarios/killed.hcl")),
    ("impatient", include_str!("../scenarios/impatient.hcl")),
    ("room-cut", include_str!("../scenarios/room-cut.hcl")),
    ("reset", include_str!("../scenarios/reset.hcl")),
    ("outage", include_str!("../scenarios/outage.hcl")),
];

#[cfg(test)]
mod tests;
