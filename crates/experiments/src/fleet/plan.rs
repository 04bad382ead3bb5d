//! Plan of a scenario: its starts, stops and faults as steps in the order of time.

use crate::scenario::{Fault, FaultKind, Scenario};

/// An action of a scenario on one gateway or engine. Gateways and engines are identified by their indices.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Step {
    StartGateway(usize),
    /// Kills the process of a gateway and restarts it at once.
    KillGateway(usize),
    PauseGateway(usize),
    ResumeGateway(usize),
    /// Begins a fault of a gateway's path to the name service.
    BeginPathFault {
        gateway: usize,
        kind: FaultKind,
        amount: f64,
    },
    EndPathFault {
        gateway: usize,
        kind: FaultKind,
    },
    /// Announces in the endpoint list that the first engine drains.
    Drain,
    /// Begins a fault of the path to an engine.
    BeginEnginePathFault {
        engine: usize,
        kind: FaultKind,
        amount: f64,
    },
    EndEnginePathFault {
        engine: usize,
        kind: FaultKind,
    },
    StopEngine(usize),
    StartEngine(usize),
    /// Makes a refusing or unresponsive engine serve connections again.
    EndEngineFault(usize),
}

/// A step, and the time at which it is due, in seconds since the start of the run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PlannedStep {
    pub(super) at: f64,
    pub(super) step: Step,
}

/// Numbers of engines that a scenario starts cold or faulty. Engines are assigned by index: the first ones are cold, and the first ones
/// refuse connections, followed by those that do not respond.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineCounts {
    pub(super) cold: usize,
    pub(super) refusing: usize,
    /// Number of engines that refuse connections or do not respond.
    pub(super) faulty: usize,
}

impl EngineCounts {
    pub(super) fn new(engines: usize, scenario: &Scenario) -> Self {
        let of_share = |share: f64| count_of_share(share, engines);
        let refusing = of_share(scenario.engines.refusing).min(engines);
        let faulty = refusing + of_share(scenario.engines.unresponsive);
        Self { cold: of_share(scenario.engines.cold), refusing, faulty }
    }
}

fn count_of_share(share: f64, all: usize) -> usize {
    (share * all as f64).round() as usize
}

/// Returns the time at which an engine starts to serve connections; 0 if it does so from the start of the run.
pub(super) fn engine_up_at(engine: usize, scenario: &Scenario) -> f64 {
    scenario.engines.up_from + engine as f64 * scenario.engines.start_interval
}

/// Returns the steps that are due before the end of the run, by time. Steps due at the same time keep the order in which they are
/// generated: gateway starts, engine steps, faults.
pub(super) fn plan(gateways: usize, engines: usize, scenario: &Scenario) -> Vec<PlannedStep> {
    let mut steps = gateway_starts(gateways, scenario);
    steps.extend(engine_steps(engines, scenario));
    for fault in scenario.faults.values() {
        steps.extend(fault_steps(gateways, engines, fault));
    }
    steps.sort_by(|step, other| step.at.total_cmp(&other.at));
    steps.retain(|step| step.at < scenario.seconds);
    steps
}

/// Returns one step for each of the first `count` indices, all due at the same time.
fn for_first(count: usize, at: f64, step: impl Fn(usize) -> Step) -> impl Iterator<Item = PlannedStep> {
    (0..count).map(move |number| PlannedStep { at, step: step(number) })
}

fn gateway_starts(gateways: usize, scenario: &Scenario) -> Vec<PlannedStep> {
    let wave_size = gateways.div_ceil(scenario.waves.len().max(1));
    let mut steps = Vec::new();
    for (wave, at) in scenario.waves.iter().enumerate() {
        let numbers = wave * wave_size..((wave + 1) * wave_size).min(gateways);
        steps.extend(numbers.map(|number| PlannedStep { at: *at, step: Step::StartGateway(number) }));
    }
    steps
}

fn engine_steps(engines: usize, scenario: &Scenario) -> Vec<PlannedStep> {
    let up_at = (0..engines).map(|engine| (engine, engine_up_at(engine, scenario)));
    let started_later = up_at.filter(|(_, at)| *at > 0.0);
    let mut steps: Vec<PlannedStep> =
        started_later.map(|(engine, at)| PlannedStep { at, step: Step::StartEngine(engine) }).collect();
    let settings = &scenario.engines;
    if settings.faulty_until > 0.0 {
        let faulty = EngineCounts::new(engines, scenario).faulty;
        steps.extend(for_first(faulty, settings.faulty_until, Step::EndEngineFault));
    }
    if settings.stopped_to > settings.stopped_from {
        steps.extend(for_first(engines, settings.stopped_from, Step::StopEngine));
        steps.extend((0..engines).map(|engine| PlannedStep {
            at: settings.stopped_to + engine as f64 * settings.start_interval,
            step: Step::StartEngine(engine),
        }));
    }
    steps
}

fn fault_steps(gateways: usize, engines: usize, fault: &Fault) -> Vec<PlannedStep> {
    let Fault { kind, share, from, to, amount } = *fault;
    let gateways = count_of_share(share, gateways);
    match kind {
        FaultKind::Drain => vec![PlannedStep { at: from, step: Step::Drain }],
        FaultKind::Pause => {
            let pauses = for_first(gateways, from, Step::PauseGateway);
            pauses.chain(for_first(gateways, to, Step::ResumeGateway)).collect()
        }
        FaultKind::Kill => {
            let second_kills = if to > from { gateways } else { 0 };
            let kills = for_first(gateways, from, Step::KillGateway);
            kills.chain(for_first(second_kills, to, Step::KillGateway)).collect()
        }
        kind if kind.affects_engine_paths() => {
            let engines = count_of_share(share, engines);
            let begins =
                for_first(engines, from, |engine| Step::BeginEnginePathFault { engine, kind, amount });
            begins.chain(for_first(engines, to, |engine| Step::EndEnginePathFault { engine, kind })).collect()
        }
        kind => {
            let begins = for_first(gateways, from, |gateway| Step::BeginPathFault { gateway, kind, amount });
            begins.chain(for_first(gateways, to, |gateway| Step::EndPathFault { gateway, kind })).collect()
        }
    }
}
