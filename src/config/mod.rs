//! The configuration. The platform's JSON and the operator's HCL are both flattened to the pairs that
//! [`wire`](crate::simulator) reads, so that the simulator's first message and the files at start are read by one reader
//! into one [`Settings`].

pub mod consistency;
pub mod operator;
pub mod schema;

use crate::core::Endpoint;
use crate::interface::{Availability, EngineId, KindId, Member, Milliseconds, Settings, SettingsError};
use crate::limits::Limits;
use crate::net::front::rules::ClassRules;
use crate::simulator::{self, Fields, LineError};
use miniserde::json::{self, Number, Value};
use starlingplank_persistence::recovery;
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
    Wire(#[from] LineError),
    /// The settings contradict themselves.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// All that is wrong with an operator's file, a line each.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Operator(Vec<operator::Problem>),
    /// What an operator's file says contradicts itself.
    #[error("{file}: {error}")]
    Contradiction {
        /// The file.
        file: String,
        /// What is wrong with it.
        error: Box<ConfigError>,
    },
}

/// How the log is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// JSON lines; else text.
    pub json: bool,
    /// Nothing below this is written.
    pub level: tracing::Level,
}

/// Where what was learned is kept, and for how long.
#[derive(Debug, Clone, PartialEq)]
pub struct KnowledgeSettings {
    /// The folder; it is made if it isn't there.
    pub folder: std::path::PathBuf,
    /// Without a folder that can be used, the program does not start.
    pub required: bool,
    /// Time between two snapshots.
    pub every: Milliseconds,
    /// A snapshot takes no more bytes than this.
    pub most_bytes: usize,
    /// Whether idempotency keys are logged.
    pub keys: bool,
    /// Keys held at most.
    pub most_keys: usize,
    /// An engine cannot stop and be back within less: one unheard of for longer is treated as perhaps cold.
    pub restart_within: Milliseconds,
    /// A snapshot older than this counts as nothing.
    pub keep_for: Milliseconds,
    /// Knowledge of engines that the list does not name is kept so long for it to name them.
    pub list_wait: Milliseconds,
}

/// An engine as a file names it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RawEngine {
    /// Its id.
    pub id: String,
    /// Address and port.
    pub address: String,
    /// Zone; may be empty.
    pub zone: String,
    /// Kind; may be empty.
    pub kind: String,
    /// Cell.
    pub cell: u64,
    /// `ready`, `draining` or `gone`.
    pub phase: String,
    /// Unix milliseconds of a late start, or 0.
    pub started: Milliseconds,
}

/// What the files say, not yet read: the form that they share.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Raw {
    /// Settings by their paths.
    pub pairs: BTreeMap<String, String>,
    /// The number of the list's last event.
    pub serial: u64,
    /// The list.
    pub engines: Vec<RawEngine>,
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
    pub known: Vec<Endpoint>,
    /// The module's settings.
    pub settings: Settings,
    /// The program's limits.
    pub limits: Limits,
    /// How the log is written.
    pub log: LogSettings,
    /// Where what was learned is kept; none: it ends with the program.
    pub knowledge: Option<KnowledgeSettings>,
    /// Where staff call, if anywhere; then a new version may also take over in service.
    pub operator: Option<SocketAddr>,
}

impl Config {
    /// Reads the text of the platform's configuration.
    ///
    /// # Errors
    /// Says what is missing or cannot be read.
    pub fn read(text: &str) -> Result<Self, ConfigError> {
        Self::from_raw(Raw::from_json(text)?)
    }

    /// Reads the platform's configuration, the operator's file (its name and its text), or the second beside the
    /// first.
    ///
    /// # Errors
    /// Says what is missing or cannot be read; of the operator's file all of it, with lines.
    pub fn load(platform: Option<&str>, operator: Option<(&str, &str)>) -> Result<Self, ConfigError> {
        let mut raw = platform.map(Raw::from_json).transpose()?;
        if let Some((file, text)) = operator {
            let more = operator::read(file, text, raw.is_some()).map_err(ConfigError::Operator)?;
            raw = Some(match raw {
                // The operator's own keys; the schema lets nothing of the platform's stand beside it.
                Some(mut raw) => {
                    raw.pairs.extend(more.pairs);
                    raw
                }
                None => {
                    return Self::from_raw(more).map_err(|error| ConfigError::Contradiction {
                        file: file.to_owned(),
                        error: Box::new(error),
                    });
                }
            });
        }
        Self::from_raw(raw.ok_or(ConfigError::Key("configuration", "is missing: neither file was named"))?)
    }

    fn from_raw(raw: Raw) -> Result<Self, ConfigError> {
        let mut pairs = raw.pairs;
        let seed = pairs.remove("gateway.seed").unwrap_or_else(|| "0".into());
        let seed = u64::from_str_radix(&seed, 16).map_err(|_| ConfigError::Key("seed", "must be hex"))?;
        pairs.insert("entropy".into(), seed.to_string());
        let fields = Fields::new("settings", pairs);
        let settings = simulator::settings(&fields)?;
        consistency::check(&fields)?;
        settings.check()?;
        let longest = settings.classes.iter().map(|c| c.client_timeout).fold(0.0, f64::max);
        let limits = Limits::read(&fields)?.ending(longest);
        let address = |text: &str, key| {
            text.parse::<SocketAddr>().map_err(|_| ConfigError::Key(key, "must be an address with a port"))
        };
        let listen = fields.opt("gateway.listen").ok_or(ConfigError::Key("listen", "is missing"))?;
        let names = fields.opt("gateway.names").filter(|n| !n.is_empty());
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
        let level = fields.opt("log.level").unwrap_or("info").parse();
        let log = LogSettings {
            json: fields.opt("log.form") == Some("json"),
            level: level.map_err(|_| ConfigError::Key("log.level", "is no level"))?,
        };
        let listed = raw.engines.iter().map(|e| {
            e.read(&settings)
                .ok_or(ConfigError::Key("known", "must hold a cursor and events with their members"))
        });
        Ok(Self {
            name: fields.opt("gateway.name").unwrap_or("starlingplank").to_owned(),
            listen: address(listen, "listen")?,
            clickhouse,
            engines,
            names: names.map(|n| address(n, "names")).transpose()?,
            serial: raw.serial,
            known: listed.collect::<Result<_, _>>()?,
            log,
            knowledge: KnowledgeSettings::read(&fields)?,
            operator: fields.opt("gateway.operator").map(|at| address(at, "operator")).transpose()?,
            settings,
            limits,
        })
    }
}

impl KnowledgeSettings {
    fn read(f: &Fields) -> Result<Option<Self>, LineError> {
        let Some(folder) = f.opt("knowledge.folder") else { return Ok(None) };
        Ok(Some(Self {
            folder: folder.into(),
            required: f.opt("knowledge.required") == Some("true"),
            every: f.number_or("knowledge.every", 1_000.0)?,
            most_bytes: (f.number_or("knowledge.most_mb", 16.0)? * 1024.0 * 1024.0) as usize,
            keys: f.opt("knowledge.keys") != Some("false"),
            most_keys: f.number_or("knowledge.most_keys", 100_000.0)? as usize,
            restart_within: f.number_or("knowledge.restart_within", recovery::DEFAULT.restart_within)?,
            keep_for: f.number_or("knowledge.keep_for", recovery::DEFAULT.keep_for)?,
            list_wait: f.number_or("knowledge.list_wait", recovery::DEFAULT.list_wait)?,
        }))
    }
}

impl RawEngine {
    fn read(&self, settings: &Settings) -> Option<Endpoint> {
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

impl Raw {
    fn from_json(text: &str) -> Result<Self, ConfigError> {
        let Ok(Value::Object(root)) = json::from_str::<Value>(text) else { return Err(ConfigError::Json) };
        let mut pairs = BTreeMap::new();
        match root.get("settings") {
            Some(settings @ Value::Object(_)) => flatten("", settings, &mut pairs),
            _ => return Err(ConfigError::Key("settings", "must be an object")),
        }
        for (key, under) in [("limits", "machine"), ("clickhouse", "clickhouse"), ("engines", "engines")] {
            root.get(key).into_iter().for_each(|v| flatten(under, v, &mut pairs));
        }
        for key in ["name", "listen", "names", "seed", "operator"] {
            let text = text_of(&root, key).map(str::to_owned);
            pairs.extend(text.map(|text| (format!("gateway.{key}"), text)));
        }
        let (serial, engines) = match root.get("known") {
            None => (0, Vec::new()),
            Some(known) => read_known(known)?,
        };
        Ok(Self { pairs, serial, engines })
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
        // A key without a value is a key that is not there.
        Value::Null => {}
        value => drop(plain(value).map(|text| pairs.insert(path.to_owned(), text))),
    }
}

/// The name service's events up to the start, played one after the other.
fn read_known(known: &Value) -> Result<(u64, Vec<RawEngine>), ConfigError> {
    let bad = || ConfigError::Key("known", "must hold a cursor and events with their members");
    let Value::Object(known) = known else { return Err(bad()) };
    let serial = number_of(known, "cursor").unwrap_or(0.0) as u64;
    let mut list: BTreeMap<String, RawEngine> = BTreeMap::new();
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
            let engine = read_member(member).ok_or_else(bad)?;
            list.insert(engine.id.clone(), engine);
        }
    }
    list.retain(|_, e| e.phase != "gone");
    Ok((serial, list.into_values().collect()))
}

fn read_member(member: &json::Object) -> Option<RawEngine> {
    let text = |key| text_of(member, key).unwrap_or_default().to_owned();
    Some(RawEngine {
        id: text_of(member, "id")?.to_owned(),
        address: text_of(member, "host_port")?.to_owned(),
        zone: text("locality"),
        kind: text("flavor"),
        cell: number_of(member, "cell").unwrap_or(0.0) as u64,
        phase: text_of(member, "phase")?.to_owned(),
        started: number_of(member, "up_since_ms").unwrap_or(0.0),
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
        zone: simulator::zone_of(&settings.zones, zone),
        kind: settings.kinds.iter().position(|k| k.name == kind).map(KindId),
        cell,
        availability,
        started: Some(started).filter(|t| *t > 0.0),
    }
}
