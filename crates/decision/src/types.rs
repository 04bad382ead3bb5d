//! Identifiers, units and endpoint list entries: the types that all other modules of this crate use.

use std::sync::Arc;

/// A point in time or a duration, in milliseconds.
pub type Milliseconds = f64;

/// Identifier of a client request; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifier of an engine. The text is opaque and serves only to compare engines.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub Arc<str>);

impl EngineId {
    /// Returns a hash of the identifier alone, which is therefore the same on every gateway.
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

/// Key that orders requests: requests with the same key run one after another, in order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey(pub u64);

/// Identifier of a data set: a group of tables that a request reads or loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DataSet(pub u64);

/// Location of an engine, with which the scope of an idempotency key is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Zone of the engine, if it is one of those in the settings.
    pub zone: Option<ZoneId>,
    /// Cell of the engine.
    pub cell: u64,
}

/// Availability of an engine for new work, as the endpoint list states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// The engine accepts new work.
    Live,
    /// The engine is draining: it finishes its work and accepts no new work.
    Draining,
    /// The engine is no longer in the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Identifier of the engine.
    pub engine: EngineId,
    /// Zone of the engine, if it is one of those in the settings.
    pub zone: Option<ZoneId>,
    /// Machine type of the engine, if it is one of those in the settings.
    pub machine_type: Option<MachineTypeId>,
    /// Cell of the engine.
    pub cell: u64,
    /// Availability of the engine for new work.
    pub availability: Availability,
    /// Time at which the engine's process started, if the list states a recent start.
    pub started: Option<Milliseconds>,
}

impl Member {
    /// Returns the zone and the cell of the engine.
    pub fn placement(&self) -> Placement {
        Placement { zone: self.zone, cell: self.cell }
    }
}
