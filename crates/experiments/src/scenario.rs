//! What happens in a run of many gateways: a file, so that a failing run is reproduced from its file and its seed.

use serde::Deserialize;
use std::collections::BTreeMap;

/// The range of the length of a run, in seconds.
const MIN_SECONDS: f64 = 1.0;
const MAX_SECONDS: f64 = 300.0;
const MAX_WAVES: usize = 100;
const MAX_LOAD: f64 = 4.0;
const MAX_ENGINES: usize = 1_000;

/// A scenario. Times are in seconds from the start of the first gateway, shares from 0 to 1.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it is about.
    pub about: String,
    /// The length of the run.
    pub seconds: f64,
    /// When gateways are started: in as many waves, of equal size.
    #[serde(default = "one_wave")]
    pub waves: Vec<f64>,
    /// The fleet's size in the gateways' files, as a multiple of the real one.
    #[serde(default = "one", rename = "size_told")]
    pub configured_size: f64,
    /// Whether gateways are given their index.
    #[serde(default = "yes", rename = "ranked")]
    pub has_indices: bool,
    /// Whether the gateways' files list the engines.
    #[serde(default = "yes", rename = "known")]
    pub knows_engines: bool,
    /// The name service.
    #[serde(default, rename = "list")]
    pub name_service: NameServiceScenario,
    /// The engines.
    #[serde(default)]
    pub engines: EngineScenario,
    /// The clients.
    #[serde(default)]
    pub clients: ClientScenario,
    /// Faults by name. The name only documents the file.
    #[serde(default, rename = "fault")]
    pub faults: BTreeMap<String, Fault>,
}

/// The name service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NameServiceScenario {
    /// It answers nothing before.
    pub up_from: f64,
    /// It answers nothing from this time ...
    pub silent_from: f64,
    /// ... to this one.
    pub silent_to: f64,
    /// The polls that it can answer in a second, as a share of five for each gateway; 0 for all.
    pub capacity: f64,
    /// The longest time of a poll in its queue.
    #[serde(rename = "line")]
    pub max_queueing: f64,
    /// Whether it answers nothing while it receives more than it can answer.
    #[serde(rename = "falls")]
    pub collapses: bool,
    /// It answers with an outdated list before.
    pub stale_until: f64,
}

/// The engines.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineScenario {
    /// How many; 0 for one for each twelve gateways, at least two.
    pub count: usize,
    /// The cores of each.
    pub cores: f64,
    /// The share of engines that have just started, and are cold.
    pub cold: f64,
    /// Connections are refused before.
    pub up_from: f64,
    /// From then on engines start one after another, with so much time between them.
    #[serde(rename = "apart")]
    pub start_interval: f64,
    /// All are stopped from this time ...
    #[serde(rename = "away_from")]
    pub stopped_from: f64,
    /// ... to this one, and are then started cold.
    #[serde(rename = "away_to")]
    pub stopped_to: f64,
    /// The share that refuse connections until `faulty_until`.
    #[serde(rename = "refuse")]
    pub refusing: f64,
    /// The share that accept connections and do not respond until then.
    #[serde(rename = "mute")]
    pub unresponsive: f64,
    /// When these are healthy.
    #[serde(rename = "ill_until")]
    pub faulty_until: f64,
}

/// The clients.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientScenario {
    /// The work that arrives, as a share of the warm engines' cores.
    pub load: f64,
    /// Whether they retry at once, and ignore when they should.
    #[serde(rename = "impatient")]
    pub ignores_retry_after: bool,
}

/// A fault.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Its kind.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// The share of the gateways, or of the engines, that it affects: the first ones.
    pub share: f64,
    /// When it begins.
    pub from: f64,
    /// When it ends.
    #[serde(default)]
    pub to: f64,
    /// Of `lose`: the share of datagrams lost each way; of `slow` and `engine_slow`: the delay each way.
    #[serde(default, rename = "by")]
    pub amount: f64,
}

/// The kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process is paused until the end of the fault.
    #[serde(rename = "stop")]
    Pause,
    /// The process is killed at the beginning, and at the end if that is later, and restarted at once.
    Kill,
    /// The path to the name service is cut, both ways.
    Cut,
    /// The path to the name service is cut on the way there.
    #[serde(rename = "cut_out")]
    CutToService,
    /// The path to the name service is cut on the way back.
    #[serde(rename = "cut_back")]
    CutFromService,
    /// The path to the name service loses datagrams.
    #[serde(rename = "lose")]
    Loss,
    /// The path to the name service delays datagrams.
    #[serde(rename = "slow")]
    Delay,
    /// The first engine drains at the beginning, by the name service alone.
    Drain,
    /// The paths to engines are cut: connections stay open and silent.
    EngineCut,
    /// The paths to engines delay all data.
    #[serde(rename = "engine_slow")]
    EngineDelay,
    /// All connections to engines are reset, once.
    EngineReset,
}

impl FaultKind {
    /// Whether it affects the paths to engines.
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

/// Why a file is no scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// It is no HCL, a key is unknown or missing, or a value has another type.
    #[error("{name}: {source}")]
    Syntax {
        /// The name of the scenario.
        name: String,
        /// What is wrong, and where.
        source: hcl::Error,
    },
    /// A share is not between 0 and 1, or a figure is out of its range.
    #[error("{name}: a share is none, or a figure is out of its range")]
    OutOfRange {
        /// The name of the scenario.
        name: String,
    },
}

/// Reads a scenario.
///
/// # Errors
/// The text is no scenario.
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

/// The built-in scenarios: name and text.
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
