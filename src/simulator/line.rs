//! Reads lines of the simulator's wire.

use super::fields::{Fields, LineError};
use super::settings::{settings, zone_of};
use crate::interface::{Availability, EngineId, MachineTypeId, Member, Milliseconds, Settings};
use std::sync::Arc;

/// Maximum number (`bank`) of a numbered endpoint list.
const MAX_BANK: u8 = 15;

/// Id of a gateway on the simulator's wire.
pub type GatewayId = Arc<str>;

/// One line of input.
#[derive(Debug, Clone, PartialEq)]
pub enum Line {
    /// A turn begins: a batch of lines whose events are handled at the same time.
    Turn {
        /// Time at which all events of the turn are handled.
        wall: Milliseconds,
        /// Number of the turn.
        turn: u64,
    },
    /// The turn ends, and the simulator waits for the reply.
    YourTurn,
    /// A numbered endpoint list begins. Its entries follow in `ENTRY` lines.
    Page {
        /// Number of the list.
        bank: u8,
        /// Number of entries in the list.
        entries: usize,
    },
    /// An entry of the endpoint list that is being read.
    Entry(Entry),
    /// A gateway starts with these settings.
    Provision(GatewayId, Box<Settings>),
    /// A gateway was killed.
    PowerOff(GatewayId),
    /// The name service answers a gateway.
    Registry(GatewayId, Registry),
    /// Any other event of a gateway. The names in its fields are resolved by [`event`](super::event()).
    Event(GatewayId, Fields),
}

/// Result of a call to the name service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Registry {
    /// The name service returned a numbered endpoint list.
    List {
        /// Number of the list.
        bank: u8,
        /// Whether the list contains all engines. Otherwise it contains only changes.
        complete: bool,
    },
    /// The call to the name service failed.
    Failed,
}

/// An entry of an endpoint list. Its names are not yet resolved to entries of the settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    engine: EngineId,
    zone: String,
    machine_type: String,
    cell: u64,
    availability: Availability,
    started: Option<Milliseconds>,
}

impl Entry {
    fn read(fields: &Fields) -> Result<Self, LineError> {
        Ok(Self {
            engine: fields.engine()?,
            zone: fields.opt("locality").unwrap_or_default().to_owned(),
            machine_type: fields.opt("shape").unwrap_or_default().to_owned(),
            cell: fields.get_opt("block")?.unwrap_or(0),
            availability: match fields.text("availability")? {
                "live" => Availability::Live,
                "quiescing" => Availability::Draining,
                "dead" => Availability::Removed,
                _ => return Err(fields.invalid("availability", "is not an availability")),
            },
            started: Some(fields.number_or("came_up", 0.0)?).filter(|time| *time > 0.0),
        })
    }
}

/// Parses one line.
///
/// # Errors
/// Fails if the message is unknown, or a field is missing or invalid.
pub fn parse(line: &str) -> Result<Line, LineError> {
    let fields = Fields::parse(line)?;
    Ok(match fields.message() {
        "TURN" => Line::Turn { wall: fields.number("wall")?, turn: fields.get("turn")? },
        "YOUR_TURN" => Line::YourTurn,
        "PAGE" => page(&fields)?,
        "ENTRY" => Line::Entry(Entry::read(&fields)?),
        "PROVISION" => Line::Provision(gateway(&fields)?, Box::new(settings(&fields)?)),
        "POWER_OFF" => Line::PowerOff(gateway(&fields)?),
        "REGISTRY" => {
            let registry = registry(&fields)?;
            Line::Registry(gateway(&fields)?, registry)
        }
        "INCOMING" | "TICK_DUE" | "PEER" | "SETTLED" | "HEARTBEAT" | "LAPSED" | "HEADERS"
        | "HEALTH_RESULT" => Line::Event(gateway(&fields)?, fields),
        other => return Err(LineError::Unknown(other.to_owned())),
    })
}

fn gateway(fields: &Fields) -> Result<GatewayId, LineError> {
    fields.text("front_id").map(Arc::from)
}

fn page(fields: &Fields) -> Result<Line, LineError> {
    let bank = fields.get("bank")?;
    if bank > MAX_BANK {
        return Err(fields.invalid("bank", "is greater than 15"));
    }
    Ok(Line::Page { bank, entries: fields.get("members_list")? })
}

fn registry(fields: &Fields) -> Result<Registry, LineError> {
    match fields.text("kind")? {
        "failed" => Ok(Registry::Failed),
        "delta" => Ok(Registry::List { bank: fields.get("bank")?, complete: false }),
        "full" | "cached" => Ok(Registry::List { bank: fields.get("bank")?, complete: true }),
        _ => Err(fields.invalid("kind", "is not a kind of list")),
    }
}

/// Converts an entry to a member of the endpoint list, with the zone and machine type resolved to entries of the gateway's settings.
pub fn member(entry: &Entry, settings: &Settings) -> Member {
    Member {
        engine: entry.engine.clone(),
        zone: zone_of(&settings.zones, &entry.zone),
        machine_type: settings
            .machine_types
            .iter()
            .position(|known| known.name == entry.machine_type)
            .map(MachineTypeId),
        cell: entry.cell,
        availability: entry.availability,
        started: entry.started,
    }
}
