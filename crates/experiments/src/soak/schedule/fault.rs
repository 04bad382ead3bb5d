//! The kinds of faults of a run, and the rule on which of them must not overlap.

use serde::Serialize;

/// Series of configuration reloads, each by a SIGHUP.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Reloads {
    /// Number of SIGHUPs.
    pub count: u32,
    /// Time in seconds from one signal to the next.
    pub interval: f64,
    /// Change of the configuration file before the SIGHUP.
    pub kind: ReloadKind,
}

/// Change of a configuration that the gateway reloads.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub enum ReloadKind {
    /// The file stays as it is.
    Unchanged,
    /// The name service moves to its other address. Both addresses respond.
    ToHealthyAddress,
    /// The name service moves to its other address, which begins to respond only after this time in seconds. The previous address no
    /// longer responds.
    ToSilentAddress(f64),
}

/// Series of signals: first SIGHUPs, then SIGTERMs with a SIGHUP after each.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct SignalSeries {
    /// Number of SIGHUPs before the first SIGTERM.
    pub reloads: u32,
    /// Number of SIGTERMs.
    pub terminations: u32,
    /// Time in seconds from one signal to the next.
    pub interval: f64,
}

/// Kind of a fault, with its parameters. Gateways and engines are given by their numbers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Fault {
    /// A gateway's process is terminated by a series of signals, and by SIGKILL after the shortest grace period that is allowed. It is then
    /// restarted.
    Restart {
        /// Number of the gateway.
        gateway: usize,
        /// Signals that terminate the process.
        signals: SignalSeries,
    },
    /// A new process of a gateway is started and takes over the listener of the running one, which is then terminated.
    HotRestart {
        /// Number of the gateway.
        gateway: usize,
        /// Signals that terminate the previous process. The new process also receives the SIGHUPs.
        signals: SignalSeries,
    },
    /// A gateway's process is killed by SIGKILL without a SIGTERM, and restarted.
    Kill(usize),
    /// A gateway's process is paused by SIGSTOP.
    Pause(usize),
    /// A gateway's process is paused repeatedly, and most of its clients abandon their requests in each pause.
    DeparturesInPauses {
        /// Number of the gateway.
        gateway: usize,
        /// Number of pauses.
        pauses: u32,
        /// Duration of each pause, in seconds.
        pause: f64,
    },
    /// The name service does not respond to a gateway, and the gateway's process is paused. During the pause the name service is available
    /// again and an engine begins to drain. Shortly before the process resumes the name service stops responding again, so that the process
    /// has no new list when it resumes.
    PauseInSilence {
        /// Number of the gateway.
        gateway: usize,
        /// Number of the engine that drains.
        engine: usize,
        /// Duration of the pause, in seconds.
        pause: f64,
    },
    /// A gateway reloads its configuration.
    Reload(usize, Reloads),
    /// System calls of a gateway's process fail, with the faults that were drawn at its start.
    SystemCalls(usize),
    /// Idle connections exhaust a gateway's file descriptors.
    ConnectionFlood(usize),
    /// The name service responds to a gateway with this delay, in seconds.
    SlowNameService(usize, f64),
    /// This share of the name service's responses to a gateway is lost, truncated, outdated, a failure, or has another id.
    LossyNameService(usize, f64),
    /// The name service no longer responds to the UDP ports from which a gateway has polled so far.
    DeadFlows(usize),
    /// The name service responds to no gateway.
    SilentNameService,
    /// An engine drains until the end of the fault and is then removed from the list. A cold engine joins in its place at the beginning.
    ReplaceEngine(usize),
    /// An engine crashes, which resets all its connections, and is restarted cold at the end of the fault.
    CrashEngine(usize),
    /// Half of the engines crash at the same time and are restarted cold together.
    CrashHalf,
    /// An engine answers neither requests nor load polls until the end of the fault.
    HangEngine(usize),
    /// An engine rejects all requests as overloaded.
    OverloadEngine(usize),
    /// All engines reject all requests as overloaded.
    OverloadAllEngines,
    /// An engine resets all its connections repeatedly.
    ResetConnections(usize),
    /// An engine resets all its connections each time it has answered the last open request on one of them.
    CloseIdleConnections(usize),
    /// Clients cancel requests and disconnect far more often.
    ImpatientClients,
}

/// Fault with the times at which it begins and ends, in seconds since the start of the run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PlannedFault {
    /// Time at which the fault begins.
    pub from: f64,
    /// Time at which the fault ends.
    pub to: f64,
    /// Kind of the fault.
    pub fault: Fault,
}

impl Reloads {
    /// Returns the duration in seconds of the reloads and of a silence of the name service that follows them.
    pub(super) fn duration(&self) -> f64 {
        let silence = match self.kind {
            ReloadKind::ToSilentAddress(silence) => silence,
            _ => 0.0,
        };
        f64::from(self.count) * self.interval + silence
    }
}

impl Fault {
    /// Returns the engine that the fault affects, if it affects a single one.
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

    /// Returns the gateway whose process the fault ends, or whose process must not end during the fault.
    fn ended_gateway(&self) -> Option<usize> {
        match self {
            Self::Restart { gateway, .. }
            | Self::Kill(gateway)
            | Self::HotRestart { gateway, .. }
            | Self::PauseInSilence { gateway, .. } => Some(*gateway),
            _ => None,
        }
    }

    /// Returns the gateway whose process the fault pauses.
    fn paused_gateway(&self) -> Option<usize> {
        match self {
            Self::Pause(gateway)
            | Self::DeparturesInPauses { gateway, .. }
            | Self::PauseInSilence { gateway, .. } => Some(*gateway),
            _ => None,
        }
    }

    /// Returns the gateway whose name service the fault affects.
    fn name_service_gateway(&self) -> Option<usize> {
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

/// Returns whether two faults must not overlap. This holds for two faults of the same engine, of all engines, or of the clients. Faults of
/// the same gateway may overlap, except two that end its process, two that pause it, and two of its name service.
pub(super) fn excludes(first: &Fault, second: &Fault) -> bool {
    use Fault::{
        ConnectionFlood, ImpatientClients, PauseInSilence, ReplaceEngine, SilentNameService, SystemCalls,
    };
    let are_same = |of: fn(&Fault) -> Option<usize>| of(first).is_some() && of(first) == of(second);
    let (first_affects_all, second_affects_all) = (first.affects_all_engines(), second.affects_all_engines());
    match (first, second) {
        (SilentNameService, SilentNameService) | (ImpatientClients, ImpatientClients) => true,
        // A `PauseInSilence` needs its engine for its whole duration, and a name service that responds in the middle of it.
        (SilentNameService, PauseInSilence { .. }) | (PauseInSilence { .. }, SilentNameService) => true,
        (SystemCalls(gateway), SystemCalls(other)) | (ConnectionFlood(gateway), ConnectionFlood(other)) => {
            gateway == other
        }
        // A draining engine may be overloaded or restarted together with all others.
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
                || are_same(Fault::name_service_gateway)
        }
    }
}
