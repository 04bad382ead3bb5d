//! Identifiers, units and engine endpoints: the types that all other modules of this package build on.

use std::sync::Arc;

/// A point in time or a duration, in milliseconds.
pub type Milliseconds = f64;

/// The identifier of a client request; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The identifier of an engine. The text is opaque: it carries identity only.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub Arc<str>);

impl EngineId {
    /// A number derived from the identifier alone, hence the same on every gateway.
    pub fn stable_hash(&self) -> u64 {
        self.0.bytes().fold(0, |hash: u64, byte| fastrand::Rng::with_seed(hash ^ u64::from(byte)).u64(..))
    }
}

/// Index into [`Settings::classes`](crate::settings::Settings::classes).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index into [`Settings::machine_types`](crate::settings::Settings::machine_types).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineTypeId(pub usize);

/// Index into [`Settings::zones`](crate::settings::Settings::zones).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub usize);

/// Index into [`Settings::tenants`](crate::settings::Settings::tenants).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// The key whose requests run one after another, in order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey(pub u64);

/// The identifier of a data set: a group of tables that a request reads or loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DataSet(pub u64);

/// Where an engine stands: what the scope of an idempotency key is compared by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// The zone, if it is one of those in the settings.
    pub zone: Option<ZoneId>,
    /// The cell.
    pub cell: u64,
}

/// Whether an engine accepts work, as the endpoint list states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It accepts new work.
    Live,
    /// It finishes its work and accepts no new work.
    Draining,
    /// It is no longer in the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The engine.
    pub engine: EngineId,
    /// Its zone, if it is one of those in the settings.
    pub zone: Option<ZoneId>,
    /// Its machine type, if it is one of those in the settings.
    pub machine_type: Option<MachineTypeId>,
    /// Its cell.
    pub cell: u64,
    /// Whether it accepts work.
    pub availability: Availability,
    /// When its process started, if that was recent.
    pub started: Option<Milliseconds>,
}

impl Member {
    /// The zone and the cell of the engine.
    pub fn placement(&self) -> Placement {
        Placement { zone: self.zone, cell: self.cell }
    }
}
