//! The faults of a run, and which of them must not overlap.

use serde::Serialize;

/// SIGHUPs in a row.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Reloads {
    /// How many.
    pub count: u32,
    /// Seconds from one to the next.
    pub interval: f64,
    /// The change of the file.
    pub kind: ReloadKind,
}

/// The change of a configuration that is reloaded.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub enum ReloadKind {
    /// No change.
    Unchanged,
    /// The name service is at its other address. Both addresses respond.
    ToHealthyAddress,
    /// The name service is at its other address, which responds only so many seconds later. The previous one does not respond.
    ToSilentAddress(f64),
}

/// SIGHUPs and SIGTERMs in a row: first SIGHUPs, then SIGTERMs with a SIGHUP after each.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct SignalSeries {
    /// The number of SIGHUPs before.
    pub reloads: u32,
    /// The number of SIGTERMs.
    pub terminations: u32,
    /// Seconds from one to the next.
    pub interval: f64,
}

/// A fault. Gateways and engines are given by their numbers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Fault {
    /// A gateway is terminated by signals close together, and by SIGKILL as early as that may come.
    Restart {
        /// The gateway.
        gateway: usize,
        /// The signals that terminate it.
        signals: SignalSeries,
    },
    /// A new process of a gateway is started and takes over from the running one, which is terminated.
    HotRestart {
        /// The gateway.
        gateway: usize,
        /// The signals that terminate the previous process. The new one gets the SIGHUPs as well.
        signals: SignalSeries,
    },
    /// The process of a gateway is killed and restarted.
    Kill(usize),
    /// The process of a gateway is paused.
    Pause(usize),
    /// The process of a gateway is paused repeatedly, and its clients leave in each pause.
    DeparturesInPauses {
        /// The gateway.
        gateway: usize,
        /// The pauses.
        pauses: u32,
        /// Seconds of each.
        pause: f64,
    },
    /// The name service is silent for a gateway, whose process is then paused; the service is back meanwhile, an engine drains, and the
    /// service is silent again as the process goes on.
    PauseInSilence {
        /// The gateway.
        gateway: usize,
        /// The engine.
        engine: usize,
        /// Seconds of the pause.
        pause: f64,
    },
    /// A gateway reloads its configuration.
    Reload(usize, Reloads),
    /// System calls of a gateway fail, as drawn at its start.
    SystemCalls(usize),
    /// Idle connections fill a gateway's descriptors.
    ConnectionFlood(usize),
    /// The name service takes so many seconds to respond to a gateway.
    SlowNameService(usize, f64),
    /// This share of the responses to a gateway is lost, truncated, failed, outdated, or with another id.
    LossyNameService(usize, f64),
    /// The flows that a gateway has used until now stop to work.
    DeadFlows(usize),
    /// The name service responds to no gateway.
    SilentNameService,
    /// An engine drains, stays up until the end of the fault, and is then removed. Another joins in its place, cold.
    ReplaceEngine(usize),
    /// An engine crashes with all its connections, and is restarted cold.
    CrashEngine(usize),
    /// Half of the engines crash at once, and are restarted cold together.
    CrashHalf,
    /// An engine answers nothing.
    HangEngine(usize),
    /// An engine rejects everything.
    OverloadEngine(usize),
    /// All engines reject everything.
    OverloadAllEngines,
    /// An engine resets its connections repeatedly.
    ResetConnections(usize),
    /// An engine closes each connection that has no open request.
    CloseIdleConnections(usize),
    /// Clients cancel and disconnect far more often.
    ImpatientClients,
}

/// A fault with its time, in seconds since the run began.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PlannedFault {
    /// When it begins.
    pub from: f64,
    /// When it ends.
    pub to: f64,
    /// The fault.
    pub fault: Fault,
}

impl Reloads {
    /// Seconds from the first to when the name service responds again.
    pub(super) fn duration(&self) -> f64 {
        let silence = match self.kind {
            ReloadKind::ToSilentAddress(silence) => silence,
            _ => 0.0,
        };
        f64::from(self.count) * self.interval + silence
    }
}

impl Fault {
    /// The engine that it affects, if it affects one.
    fn engine(&self) -> Option<usize> {
        match self {
            Self::ReplaceEngine(engine)
            | Self::CrashEngine(engine)
            | Self::HangEngine(engine)
            | Self::OverloadEngine(engine)
            | Self::ResetConnections(engine)
            | Self::PauseInSilence { engine, .. }
            | Self::CloseIdleConnections(engine) => Some(*engine),
            _ => None,
        }
    }

    fn affects_all_engines(&self) -> bool {
        matches!(self, Self::CrashHalf | Self::OverloadAllEngines)
    }

    /// The gateway whose process it ends.
    fn ended_gateway(&self) -> Option<usize> {
        match self {
            Self::Restart { gateway, .. }
            | Self::Kill(gateway)
            | Self::HotRestart { gateway, .. }
            | Self::PauseInSilence { gateway, .. } => Some(*gateway),
            _ => None,
        }
    }

    /// The gateway whose process it pauses.
    fn paused_gateway(&self) -> Option<usize> {
        match self {
            Self::Pause(gateway)
            | Self::DeparturesInPauses { gateway, .. }
            | Self::PauseInSilence { gateway, .. } => Some(*gateway),
            _ => None,
        }
    }

    /// The gateway whose name service it affects.
    fn discovery_gateway(&self) -> Option<usize> {
        match self {
            Self::SlowNameService(gateway, _)
            | Self::LossyNameService(gateway, _)
            | Self::DeadFlows(gateway)
            | Self::PauseInSilence { gateway, .. }
            | Self::Reload(gateway, _) => Some(*gateway),
            _ => None,
        }
    }
}

/// Whether two faults must not overlap: those of one engine, those of all engines, and those of the clients. Faults of one
/// gateway may overlap, but for those that end its process, and those of its name service.
pub(super) fn excludes(first: &Fault, second: &Fault) -> bool {
    use Fault::{
        ConnectionFlood, ImpatientClients, PauseInSilence, ReplaceEngine, SilentNameService, SystemCalls,
    };
    let are_same = |of: fn(&Fault) -> Option<usize>| of(first).is_some() && of(first) == of(second);
    let (first_affects_all, second_affects_all) = (first.affects_all_engines(), second.affects_all_engines());
    match (first, second) {
        (SilentNameService, SilentNameService) | (ImpatientClients, ImpatientClients) => true,
        // Its engine has to be there for all of it, and its name service to be back in the middle.
        (SilentNameService, PauseInSilence { .. }) | (PauseInSilence { .. }, SilentNameService) => true,
        (SystemCalls(gateway), SystemCalls(other)) | (ConnectionFlood(gateway), ConnectionFlood(other)) => {
            gateway == other
        }
        // An engine that drains may be overloaded or restarted together with the others.
        (ReplaceEngine(_) | PauseInSilence { .. }, _) | (_, ReplaceEngine(_) | PauseInSilence { .. })
            if first_affects_all || second_affects_all =>
        {
            false
        }
        _ if first_affects_all => second_affects_all || second.engine().is_some(),
        _ if second_affects_all => first.engine().is_some(),
        _ => {
            are_same(Fault::engine)
                || are_same(Fault::ended_gateway)
                || are_same(Fault::paused_gateway)
                || are_same(Fault::discovery_gateway)
        }
    }
}
