//! The phases of a shutdown, as clients' connections meet them.

/// How far the shutdown of this process is. A process that nobody takes over from goes from `Serving` by `Draining` to
/// `Stopping`; one that is replaced goes by `HandingOver` to `ClosingIdle`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// No shutdown was requested.
    #[default]
    Serving,
    /// The shutdown was requested and no other process takes over: it serves on until its window is over.
    Draining,
    /// Another process takes over: each connection closes after its next answer.
    HandingOver,
    /// Another process takes over: connections that are idle close as well.
    ClosingIdle,
    /// The window is over and no other process takes over: it accepts no connection, and closes those that are idle.
    Stopping,
}

impl ShutdownPhase {
    /// Whether connections are accepted, and stay open after an answer.
    pub fn keeps_connections(self) -> bool {
        matches!(self, Self::Serving | Self::Draining)
    }

    /// Whether idle connections are closed.
    pub fn closes_idle(self) -> bool {
        matches!(self, Self::ClosingIdle | Self::Stopping)
    }

    /// Whether another process takes over.
    pub fn is_hot_restart(self) -> bool {
        matches!(self, Self::HandingOver | Self::ClosingIdle)
    }

    /// Whether health checks of load balancers are to fail. While another process takes over they need not: it listens at
    /// the same address.
    pub fn reports_unhealthy(self) -> bool {
        matches!(self, Self::Draining | Self::Stopping)
    }
}
