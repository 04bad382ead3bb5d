//! Common form of all configuration files: the settings by their paths, and the endpoint list at the start.

use crate::core::Endpoint;
use crate::interface::{Availability, EngineId, MachineTypeId, Member, Milliseconds, Settings};
use crate::simulator;
use std::collections::BTreeMap;

/// An engine as described in a configuration file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RawEngine {
    /// Id of the engine.
    pub id: String,
    /// IP address and port of the engine.
    pub address: String,
    /// Name of the zone of the engine, or an empty string.
    pub zone: String,
    /// Name of the machine type of the engine, or an empty string.
    pub machine_type: String,
    /// Number of the cell of the engine.
    pub cell: u64,
    /// State of the engine: `ready`, `draining` or `gone`.
    pub state: String,
    /// Start time of the engine's process in Unix milliseconds if the start was recent, otherwise 0.
    pub started: Milliseconds,
}

impl RawEngine {
    /// Converts the engine to an endpoint with the zone and machine type of the settings. Returns `None` if its state or its address
    /// is invalid.
    pub(super) fn to_endpoint(&self, settings: &Settings) -> Option<Endpoint> {
        let availability = match self.state.as_str() {
            "ready" => Availability::Live,
            "draining" => Availability::Draining,
            "gone" => Availability::Removed,
            _ => return None,
        };
        let member = to_member(
            settings,
            &self.id,
            &self.zone,
            &self.machine_type,
            self.cell,
            availability,
            self.started,
        );
        Some(Endpoint { member, address: self.address.parse().ok()? })
    }
}

/// Contents of the configuration files, before the settings are read from them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RawConfig {
    /// Values of the settings, by their paths.
    pub values: BTreeMap<String, String>,
    /// Version of the endpoint list.
    pub endpoints_version: u64,
    /// Endpoint list at the start.
    pub engines: Vec<RawEngine>,
}

/// Describes an engine as a member of the endpoint list, with the zone and machine type resolved to entries of the settings.
pub fn to_member(
    settings: &Settings,
    id: &str,
    zone: &str,
    machine_type: &str,
    cell: u64,
    availability: Availability,
    started: Milliseconds,
) -> Member {
    Member {
        engine: EngineId(id.into()),
        zone: simulator::zone_of(&settings.zones, zone),
        machine_type: settings
            .machine_types
            .iter()
            .position(|known| known.name == machine_type)
            .map(MachineTypeId),
        cell,
        availability,
        started: Some(started).filter(|time| *time > 0.0),
    }
}
