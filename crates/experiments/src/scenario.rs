//! What happens in a play of many gateways: a file, so that a failing play is its file and its seed.

use serde::Deserialize;
use std::collections::BTreeMap;

/// A play. Times in seconds from when the first gateway is started, shares from 0 to 1.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it is about.
    pub about: String,
    /// How long it is played.
    pub seconds: f64,
    /// When gateways are started: as many waves, of even parts.
    #[serde(default = "at_once")]
    pub waves: Vec<f64>,
    /// What gateways take the fleet's size for, as a multiple of it.
    #[serde(default = "one")]
    pub size_told: f64,
    /// Whether they know their own numbers.
    #[serde(default = "yes")]
    pub ranked: bool,
    /// Whether their files name the engines; else they start with nothing.
    #[serde(default = "yes")]
    pub known: bool,
    #[serde(default)]
    pub list: ListOf,
    #[serde(default)]
    pub engines: EnginesOf,
    #[serde(default)]
    pub clients: ClientsOf,
    /// By name, so that a line of the results can tell.
    #[serde(default)]
    pub fault: BTreeMap<String, FaultOf>,
}

/// The list service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListOf {
    pub up_from: f64,
    pub silent_from: f64,
    pub silent_to: f64,
    /// Questions a second that it answers, as a share of five of each gateway; 0: all.
    pub capacity: f64,
    /// How long questions wait at most.
    pub line: f64,
    pub falls: bool,
    pub stale_until: f64,
}

/// The engines.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EnginesOf {
    /// How many; 0: one for each twelve gateways, two at least.
    pub count: usize,
    pub cores: f64,
    /// Share of them that have just started, and are cold.
    pub cold: f64,
    /// Nobody listens there before.
    pub up_from: f64,
    /// From then on one comes up after another, so far apart.
    pub apart: f64,
    /// All are gone from the first to the second, and then back, cold.
    pub away_from: f64,
    pub away_to: f64,
    /// Share that refuse connections until `ill_until`.
    pub refuse: f64,
    /// Share that take connections and say nothing until then.
    pub mute: f64,
    pub ill_until: f64,
}

/// The clients.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientsOf {
    /// Work that comes, as a share of the warm engines' cores.
    pub load: f64,
    /// They come back at once, whatever they are told.
    pub impatient: bool,
}

/// What breaks.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultOf {
    pub what: What,
    /// Of which share of the gateways, or of the engines, from the first on.
    pub share: f64,
    pub from: f64,
    #[serde(default)]
    pub to: f64,
    /// Of `lose`: the share lost each way; of `slow`: seconds more each way.
    #[serde(default)]
    pub by: f64,
}

/// Ways to break.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// The process is stopped, and goes on at the end.
    Stop,
    /// It is killed at `from`, and again at `to` if that is later; each time it is started anew at once.
    Kill,
    /// Its way to the list is cut, both ways, there, or back.
    Cut,
    CutOut,
    CutBack,
    /// Its way to the list loses datagrams, or slows them.
    Lose,
    Slow,
    /// The first engine drains at `from`, by the list alone.
    Drain,
    /// The ways to that share of the engines are cut: connections stay open, and silent.
    EngineCut,
    /// They take `by` seconds more, each way.
    EngineSlow,
    /// All connections to them are reset, once.
    EngineReset,
}

fn one() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

fn at_once() -> Vec<f64> {
    vec![0.0]
}

impl Default for ListOf {
    fn default() -> Self {
        let (up_from, silent_from, silent_to, capacity) = (0.0, 0.0, 0.0, 0.0);
        Self { up_from, silent_from, silent_to, capacity, line: 0.1, falls: false, stale_until: 0.0 }
    }
}

impl Default for EnginesOf {
    fn default() -> Self {
        let (cold, up_from, apart) = (0.0, 0.0, 0.0);
        let (away_from, away_to, refuse, mute, ill_until) = (0.0, 0.0, 0.0, 0.0, 0.0);
        Self { count: 0, cores: 12.0, cold, up_from, apart, away_from, away_to, refuse, mute, ill_until }
    }
}

impl Default for ClientsOf {
    fn default() -> Self {
        Self { load: 0.0, impatient: false }
    }
}

/// Reads a file.
///
/// # Errors
/// It is no HCL, a key is unknown, or a figure is out of its range.
pub fn read(name: &str, text: &str) -> Result<Scenario, String> {
    let s: Scenario = hcl::from_str(text).map_err(|e| format!("{name}: {e}"))?;
    let share = |x: f64| (0.0..=1.0).contains(&x);
    let shares = [s.engines.cold, s.engines.refuse, s.engines.mute];
    let fit = shares.into_iter().chain(s.fault.values().map(|f| f.share)).all(share);
    let fit = fit && (1.0..=300.0).contains(&s.seconds) && s.waves.len() <= 100 && s.size_told > 0.0;
    let fit = fit && (0.0..=4.0).contains(&s.clients.load) && s.engines.count <= 1_000;
    if fit {
        Ok(s)
    } else {
        Err(format!("{name}: a share is none, or a figure is out of its range"))
    }
}

/// The plays that are kept with the program: name and text.
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
