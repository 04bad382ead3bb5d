//! Reads lines of input.

use super::fields::{Fields, LineError};
use super::settings::{settings, zone_of};
use crate::interface::{Availability, EngineId, MachineTypeId, Member, Milliseconds, Settings};
use std::sync::Arc;

/// The largest number of a numbered endpoint list.
const MAX_BANK: u8 = 15;

/// Identifies a gateway on the wire, as text.
pub type GatewayId = Arc<str>;

/// One line of input.
#[derive(Debug, Clone, PartialEq)]
pub enum Line {
    /// A batch begins.
    Turn {
        /// The time.
        wall: Milliseconds,
        /// The number of the batch.
        turn: u64,
    },
    /// A batch ends, and its reply is awaited.
    YourTurn,
    /// A numbered endpoint list follows.
    Page {
        /// Its number.
        bank: u8,
        /// The number of its entries.
        entries: usize,
    },
    /// An entry of the endpoint list.
    Entry(Entry),
    /// A gateway starts.
    Provision(GatewayId, Box<Settings>),
    /// A gateway was killed.
    PowerOff(GatewayId),
    /// The endpoint list for a gateway.
    Registry(GatewayId, Registry),
    /// Any other event of a gateway; its names are resolved by [`event`](super::event()).
    Event(GatewayId, Fields),
}

/// An answer of the name service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Registry {
    /// A numbered endpoint list.
    List {
        /// Its number.
        bank: u8,
        /// Whether it is the complete list; otherwise it holds changes.
        complete: bool,
    },
    /// A call to the name service failed.
    Failed,
}

/// An entry of an endpoint list, its names not resolved yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    engine: EngineId,
    zone: String,
    kind: String,
    cell: u64,
    availability: Availability,
    started: Option<Milliseconds>,
}

impl Entry {
    fn read(fields: &Fields) -> Result<Self, LineError> {
        Ok(Self {
            engine: fields.engine()?,
            zone: fields.opt("locality").unwrap_or_default().to_owned(),
            kind: fields.opt("shape").unwrap_or_default().to_owned(),
            cell: fields.get_opt("block")?.unwrap_or(0),
            availability: match fields.text("availability")? {
                "live" => Availability::Live,
                "quiescing" => Availability::Draining,
                "dead" => Availability::Removed,
                _ => return Err(fields.invalid("availability", "is no availability")),
            },
            started: Some(fields.number_or("came_up", 0.0)?).filter(|time| *time > 0.0),
        })
    }
}

/// Reads one line.
///
/// # Errors
/// The message is unknown, or a field is missing or invalid.
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
        return Err(fields.invalid("bank", "is past 15"));
    }
    Ok(Line::Page { bank, entries: fields.get("members_list")? })
}

fn registry(fields: &Fields) -> Result<Registry, LineError> {
    match fields.text("kind")? {
        "failed" => Ok(Registry::Failed),
        "delta" => Ok(Registry::List { bank: fields.get("bank")?, complete: false }),
        "full" | "cached" => Ok(Registry::List { bank: fields.get("bank")?, complete: true }),
        _ => Err(fields.invalid("kind", "is no kind of list")),
    }
}

/// An entry in the terms of one gateway's settings.
pub fn member(entry: &Entry, settings: &Settings) -> Member {
    Member {
        engine: entry.engine.clone(),
        zone: zone_of(&settings.zones, &entry.zone),
        machine_type: settings
            .machine_types
            .iter()
            .position(|kind| kind.name == entry.kind)
            .map(MachineTypeId),
        cell: entry.cell,
        availability: entry.availability,
        started: entry.started,
    }
}
