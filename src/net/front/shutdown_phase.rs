//! Phases of the shutdown of this process, and their effect on client connections.

/// Phase of the shutdown of this process. In a shutdown without a hot restart the phases are `Serving`, `Draining`,
/// `Stopping`; in a hot restart they are `Serving`, `HandingOver`, `ClosingIdle`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// No shutdown has been requested.
    #[default]
    Serving,
    /// Shutdown was requested and no other process has taken over: requests are served until the drain ends.
    Draining,
    /// Another process takes over: each connection is closed after its next answer.
    HandingOver,
    /// Another process takes over: idle connections are closed as well.
    ClosingIdle,
    /// The drain has ended and no other process takes over: no connections are accepted, and idle ones are closed.
    Stopping,
}

impl ShutdownPhase {
    /// Returns whether connections are accepted and stay open after an answer.
    pub fn keeps_connections(self) -> bool {
        matches!(self, Self::Serving | Self::Draining)
    }

    /// Returns whether idle connections are closed.
    pub fn closes_idle(self) -> bool {
        matches!(self, Self::ClosingIdle | Self::Stopping)
    }

    /// Returns whether another process takes over.
    pub fn is_hot_restart(self) -> bool {
        matches!(self, Self::HandingOver | Self::ClosingIdle)
    }

    /// Returns whether health checks of load balancers fail. In a hot restart they succeed, as the other process listens
    /// on the same address.
    pub fn reports_unhealthy(self) -> bool {
        matches!(self, Self::Draining | Self::Stopping)
    }
}
