//! The configuration: JSON flattened to the pairs that [`wire`](crate::wire) reads, so that the simulator's
//! first message and the file at start are read by one reader into one [`Settings`].

use crate::core::Listed;
use crate::interface::{Availability, EngineId, KindId, Member, Settings, SettingsError};
use crate::limits::Limits;
use crate::net::front::rules::ClassRules;
use crate::wire::{self, Fields, WireError};
use miniserde::json::{self, Number, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// It is no JSON.
    #[error("the configuration is not JSON")]
    Json,
    /// A key is missing or cannot be used.
    #[error("{0}: {1}")]
    Key(&'static str, &'static str),
    /// A setting cannot be read.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The settings contradict themselves.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Which interface the engines speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineWire {
    /// The platform's commands.
    Resp,
    /// The ClickHouse HTTP interface.
    ClickHouse,
}

/// All that the program is told at its start.
#[derive(Debug)]
pub struct Config {
    /// This gateway's name.
    pub name: String,
    /// Where clients of the platform's protocol connect.
    pub listen: SocketAddr,
    /// Where clients of the ClickHouse HTTP interface connect, if anywhere, and how they are classed.
    pub clickhouse: Option<(SocketAddr, ClassRules)>,
    /// What the engines speak.
    pub engines: EngineWire,
    /// The name service; none: the list at start stays.
    pub names: Option<SocketAddr>,
    /// The number of the last event in `known`.
    pub serial: u64,
    /// The list at start.
    pub known: Vec<Listed>,
    /// The module's settings.
    pub settings: Settings,
    /// The program's limits.
    pub limits: Limits,
}

impl Config {
    /// Reads the text of a configuration file.
    ///
    /// # Errors
    /// Says what is missing or cannot be read.
    pub fn read(text: &str) -> Result<Self, ConfigError> {
        let Ok(Value::Object(root)) = json::from_str::<Value>(text) else { return Err(ConfigError::Json) };
        let mut pairs = BTreeMap::new();
        match root.get("settings") {
            Some(settings @ Value::Object(_)) => flatten("", settings, &mut pairs),
            _ => return Err(ConfigError::Key("settings", "must be an object")),
        }
        for (key, under) in [("limits", "machine"), ("clickhouse", "clickhouse"), ("engines", "engines")] {
            root.get(key).into_iter().for_each(|v| flatten(under, v, &mut pairs));
        }
        let seed = text_of(&root, "seed").unwrap_or("0");
        let seed = u64::from_str_radix(seed, 16).map_err(|_| ConfigError::Key("seed", "must be hex"))?;
        pairs.insert("entropy".into(), seed.to_string());
        let fields = Fields::new("settings", pairs);
        let settings = wire::settings(&fields)?;
        settings.check()?;
        let limits = Limits::read(&fields)?;
        let address = |text: &str, key| {
            text.parse::<SocketAddr>().map_err(|_| ConfigError::Key(key, "must be an address with a port"))
        };
        let listen = text_of(&root, "listen").ok_or(ConfigError::Key("listen", "is missing"))?;
        let names = text_of(&root, "names").filter(|n| !n.is_empty());
        let clickhouse = match fields.opt("clickhouse.listen") {
            None => None,
            Some(at) => {
                let rules = ClassRules::read(&fields, &settings)?;
                Some((address(at, "clickhouse.listen")?, rules))
            }
        };
        let engines = match fields.opt("engines") {
            None | Some("resp") => EngineWire::Resp,
            Some("clickhouse") => EngineWire::ClickHouse,
            Some(_) => return Err(ConfigError::Key("engines", "must be resp or clickhouse")),
        };
        let (serial, known) = match root.get("known") {
            None => (0, Vec::new()),
            Some(known) => read_known(known, &settings)?,
        };
        Ok(Self {
            name: text_of(&root, "name").unwrap_or("starlingplank").to_owned(),
            listen: address(listen, "listen")?,
            clickhouse,
            engines,
            names: names.map(|n| address(n, "names")).transpose()?,
            serial,
            known,
            settings,
            limits,
        })
    }
}

fn text_of<'a>(object: &'a json::Object, key: &str) -> Option<&'a str> {
    match object.get(key) {
        Some(Value::String(text)) => Some(text),
        _ => None,
    }
}

fn number_of(object: &json::Object, key: &str) -> Option<f64> {
    match object.get(key) {
        Some(Value::Number(Number::U64(n))) => Some(*n as f64),
        Some(Value::Number(Number::I64(n))) => Some(*n as f64),
        Some(Value::Number(Number::F64(n))) => Some(*n),
        _ => None,
    }
}

/// A plain value as the simulator writes it.
fn plain(value: &Value) -> Option<String> {
    Some(match value {
        Value::Null => String::new(),
        Value::Bool(b) => b.to_string(),
        Value::Number(n) => n.to_string(),
        Value::String(s) => s.replace([' ', ','], "_"),
        Value::Array(_) | Value::Object(_) => return None,
    })
}

/// Paths joined by dots; lists of plain values by commas; lists of objects counted and numbered.
fn flatten(path: &str, value: &Value, pairs: &mut BTreeMap<String, String>) {
    let under = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(object) => object.iter().for_each(|(k, v)| flatten(&under(k), v, pairs)),
        Value::Array(list) => match list.iter().map(plain).collect::<Option<Vec<_>>>() {
            Some(parts) => drop(pairs.insert(path.to_owned(), parts.join(","))),
            None => {
                pairs.insert(under("count"), list.len().to_string());
                list.iter().enumerate().for_each(|(i, v)| flatten(&under(&i.to_string()), v, pairs));
            }
        },
        value => drop(plain(value).map(|text| pairs.insert(path.to_owned(), text))),
    }
}

/// The name service's events up to the start, played one after the other.
fn read_known(known: &Value, settings: &Settings) -> Result<(u64, Vec<Listed>), ConfigError> {
    let bad = || ConfigError::Key("known", "must hold a cursor and events with their members");
    let Value::Object(known) = known else { return Err(bad()) };
    let serial = number_of(known, "cursor").unwrap_or(0.0) as u64;
    let mut list: BTreeMap<EngineId, Listed> = BTreeMap::new();
    let Some(Value::Array(events)) = known.get("cmds") else { return Err(bad()) };
    for event in events {
        let Value::Object(event) = event else { return Err(bad()) };
        let Some(Value::Object(nodes)) = event.get("nodes") else { continue };
        if matches!(nodes.get("complete"), Some(Value::Bool(true))) {
            list.clear();
        }
        let Some(Value::Array(members)) = nodes.get("members") else { return Err(bad()) };
        for member in members {
            let Value::Object(member) = member else { return Err(bad()) };
            let listed = read_member(member, settings).ok_or_else(bad)?;
            list.insert(listed.member.engine.clone(), listed);
        }
    }
    list.retain(|_, l| l.member.availability != Availability::Gone);
    Ok((serial, list.into_values().collect()))
}

fn read_member(member: &json::Object, settings: &Settings) -> Option<Listed> {
    let availability = match text_of(member, "phase")? {
        "ready" => Availability::Live,
        "draining" => Availability::Draining,
        "gone" => Availability::Gone,
        _ => return None,
    };
    Some(Listed {
        member: describe(
            settings,
            text_of(member, "id")?,
            text_of(member, "locality").unwrap_or_default(),
            text_of(member, "flavor").unwrap_or_default(),
            number_of(member, "cell").unwrap_or(0.0) as u64,
            availability,
            number_of(member, "up_since_ms").unwrap_or(0.0),
        ),
        address: text_of(member, "host_port")?.parse().ok()?,
    })
}

/// An engine in the terms of the settings.
pub fn describe(
    settings: &Settings,
    id: &str,
    zone: &str,
    kind: &str,
    cell: u64,
    availability: Availability,
    started: f64,
) -> Member {
    Member {
        engine: EngineId(id.into()),
        zone: wire::zone_of(&settings.zones, zone),
        kind: settings.kinds.iter().position(|k| k.name == kind).map(KindId),
        cell,
        availability,
        started: Some(started).filter(|t| *t > 0.0),
    }
}
