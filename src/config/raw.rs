//! The common form of all configuration files: settings by paths, and the endpoint list at the start.

use crate::core::Endpoint;
use crate::interface::{Availability, EngineId, MachineTypeId, Member, Milliseconds, Settings};
use crate::simulator;
use std::collections::BTreeMap;

/// An engine as a file names it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RawEngine {
    /// Its id.
    pub id: String,
    /// Address and port.
    pub address: String,
    /// Zone; may be empty.
    pub zone: String,
    /// Kind of machine; may be empty.
    pub kind: String,
    /// Cell.
    pub cell: u64,
    /// `ready`, `draining` or `gone`.
    pub phase: String,
    /// Unix milliseconds of a late start, or 0.
    pub started: Milliseconds,
}

impl RawEngine {
    /// The endpoint in the terms of the settings; none where its state or its address cannot be read.
    pub(super) fn to_endpoint(&self, settings: &Settings) -> Option<Endpoint> {
        let availability = match self.phase.as_str() {
            "ready" => Availability::Live,
            "draining" => Availability::Draining,
            "gone" => Availability::Removed,
            _ => return None,
        };
        let member =
            describe(settings, &self.id, &self.zone, &self.kind, self.cell, availability, self.started);
        Some(Endpoint { member, address: self.address.parse().ok()? })
    }
}

/// The contents of configuration files, before the settings are read from them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RawConfig {
    /// Settings by their paths.
    pub pairs: BTreeMap<String, String>,
    /// The version of the endpoint list.
    pub serial: u64,
    /// The endpoint list.
    pub engines: Vec<RawEngine>,
}

/// An engine in the terms of the settings.
pub fn describe(
    settings: &Settings,
    id: &str,
    zone: &str,
    kind: &str,
    cell: u64,
    availability: Availability,
    started: Milliseconds,
) -> Member {
    Member {
        engine: EngineId(id.into()),
        zone: simulator::zone_of(&settings.zones, zone),
        machine_type: settings.machine_types.iter().position(|known| known.name == kind).map(MachineTypeId),
        cell,
        availability,
        started: Some(started).filter(|time| *time > 0.0),
    }
}
