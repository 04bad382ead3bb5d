//! The configuration. The platform's JSON and the operator's HCL are both flattened to settings by their paths, which the
//! [`simulator`]'s reader turns into [`Settings`]: one reader for the simulator's first message and for files.
//!
//! `files` loads the texts; `platform` and [`operator`] read them into `raw`; [`consistency`] checks settings against each other.

pub mod consistency;
mod error;
mod files;
pub mod operator;
mod platform;
mod raw;
pub mod schema;

pub use error::ConfigError;
pub use files::{ConfigFiles, LoadError};
pub use raw::describe;

use crate::core::Endpoint;
use crate::interface::{Milliseconds, Settings};
use crate::limits::Limits;
use crate::net::front::rules::ClassRules;
use crate::simulator::{self, Fields, LineError};
use raw::{RawConfig, RawEngine};
use starlingplank_persistence::recovery;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Bytes of a mebibyte.
const MIB: f64 = 1024.0 * 1024.0;
/// Time between two snapshots where the configuration does not set it.
const DEFAULT_SNAPSHOT_INTERVAL: Milliseconds = 1_000.0;
/// Largest snapshot where the configuration does not set it, in MiB.
const DEFAULT_MAX_SNAPSHOT_MIB: f64 = 16.0;
/// Number of idempotency keys where the configuration does not set it.
const DEFAULT_MAX_KEYS: f64 = 100_000.0;

/// How the log is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// JSON lines; otherwise text.
    pub json: bool,
    /// Lines below this level are not written.
    pub level: tracing::Level,
}

impl LogSettings {
    fn read(fields: &Fields) -> Result<Self, ConfigError> {
        let level = fields.opt("log.level").unwrap_or("info").parse();
        Ok(Self {
            json: fields.opt("log.form") == Some("json"),
            level: level.map_err(|_| ConfigError::Key("log.level", "is no level"))?,
        })
    }
}

/// Where learned state is persisted, and for how long it is valid.
#[derive(Debug, Clone, PartialEq)]
pub struct PersistenceSettings {
    /// The folder; it is created if it does not exist.
    pub folder: PathBuf,
    /// Whether the program ends at its start if the folder cannot be used.
    pub required: bool,
    /// Time between two snapshots.
    pub snapshot_interval: Milliseconds,
    /// Largest size of a snapshot, in bytes.
    pub max_snapshot_bytes: usize,
    /// Whether idempotency keys are logged.
    pub logs_keys: bool,
    /// Largest number of idempotency keys.
    pub max_keys: usize,
    /// The shortest time in which an engine can restart: one that was not seen for longer may be cold.
    pub min_restart_time: Milliseconds,
    /// An older snapshot is ignored.
    pub max_snapshot_age: Milliseconds,
    /// How long state of engines that are not in the endpoint list is kept for them to appear there.
    pub unlisted_retention: Milliseconds,
}

impl PersistenceSettings {
    fn read(fields: &Fields) -> Result<Option<Self>, LineError> {
        let Some(folder) = fields.opt("knowledge.folder") else { return Ok(None) };
        let max_snapshot_mib = fields.number_or("knowledge.most_mb", DEFAULT_MAX_SNAPSHOT_MIB);
        Ok(Some(Self {
            folder: folder.into(),
            required: fields.opt("knowledge.required") == Some("true"),
            snapshot_interval: fields.number_or("knowledge.every", DEFAULT_SNAPSHOT_INTERVAL)?,
            max_snapshot_bytes: (max_snapshot_mib? * MIB) as usize,
            logs_keys: fields.opt("knowledge.keys") != Some("false"),
            max_keys: fields.number_or("knowledge.most_keys", DEFAULT_MAX_KEYS)? as usize,
            min_restart_time: fields
                .number_or("knowledge.restart_within", recovery::DEFAULT_SETTINGS.min_restart_time)?,
            max_snapshot_age: fields
                .number_or("knowledge.keep_for", recovery::DEFAULT_SETTINGS.max_snapshot_age)?,
            unlisted_retention: fields
                .number_or("knowledge.list_wait", recovery::DEFAULT_SETTINGS.unlisted_retention)?,
        }))
    }
}

/// The protocol of the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineWire {
    /// The platform's commands.
    Resp,
    /// The ClickHouse HTTP interface.
    ClickHouse,
}

impl EngineWire {
    fn read(fields: &Fields) -> Result<Self, ConfigError> {
        match fields.opt("engines") {
            None | Some("resp") => Ok(Self::Resp),
            Some("clickhouse") => Ok(Self::ClickHouse),
            Some(_) => Err(ConfigError::Key("engines", "must be resp or clickhouse")),
        }
    }
}

/// The listener for clients of the ClickHouse HTTP interface.
#[derive(Debug, Clone)]
pub struct ClickHouseListener {
    /// Where it listens.
    pub address: SocketAddr,
    /// How statements are assigned to classes.
    pub rules: ClassRules,
}

/// The configuration of the program.
#[derive(Debug)]
pub struct Config {
    /// This gateway's name.
    pub name: String,
    /// Where clients of the platform's protocol connect.
    pub listen: SocketAddr,
    /// Where clients of the ClickHouse HTTP interface connect, if anywhere.
    pub clickhouse: Option<ClickHouseListener>,
    /// The protocol of the engines.
    pub engine_wire: EngineWire,
    /// The name service; without one, the endpoint list at the start stays.
    pub name_service: Option<SocketAddr>,
    /// The version of the endpoint list in `endpoints`.
    pub endpoints_version: u64,
    /// The endpoint list at the start.
    pub endpoints: Vec<Endpoint>,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The limits of the program.
    pub limits: Limits,
    /// How the log is written.
    pub log: LogSettings,
    /// Where learned state is persisted; without it, it ends with the program.
    pub knowledge: Option<PersistenceSettings>,
    /// Where operators call, if anywhere; a new version may then take over in service as well.
    pub operator: Option<SocketAddr>,
}

impl Config {
    /// Reads the text of the platform's configuration.
    ///
    /// # Errors
    /// A key is missing, or a value is invalid.
    pub fn read(text: &str) -> Result<Self, ConfigError> {
        Self::from_raw(platform::read(text)?)
    }

    /// Reads the platform's configuration, the operator's file (its name and its text), or the second beside the first.
    ///
    /// # Errors
    /// A key is missing, or a value is invalid; of the operator's file all faults, with lines.
    pub fn load(platform: Option<&str>, operator: Option<(&str, &str)>) -> Result<Self, ConfigError> {
        let platform = platform.map(platform::read).transpose()?;
        let Some((file, text)) = operator else {
            let missing = || ConfigError::Key("configuration", "is missing: neither file was named");
            return Self::from_raw(platform.ok_or_else(missing)?);
        };
        let operator = operator::read(file, text, platform.is_some()).map_err(ConfigError::Operator)?;
        match platform {
            // The schema lets no key of the platform be in the operator's file.
            Some(mut raw) => {
                raw.pairs.extend(operator.pairs);
                Self::from_raw(raw)
            }
            None => Self::from_raw(operator).map_err(|error| ConfigError::Contradiction {
                file: file.to_owned(),
                error: Box::new(error),
            }),
        }
    }

    fn from_raw(raw: RawConfig) -> Result<Self, ConfigError> {
        let mut pairs = raw.pairs;
        let seed = pairs.remove("gateway.seed").unwrap_or_else(|| "0".into());
        let seed = u64::from_str_radix(&seed, 16).map_err(|_| ConfigError::Key("seed", "must be hex"))?;
        pairs.insert("entropy".into(), seed.to_string());
        let fields = Fields::new("settings", pairs);
        let settings = simulator::settings(&fields)?;
        consistency::check(&fields)?;
        settings.check()?;
        let longest_deadline = settings.classes.iter().map(|class| class.client_timeout).fold(0.0, f64::max);
        let limits = Limits::read(&fields)?.with_shutdown_deadlines(longest_deadline);
        let listen = fields.opt("gateway.listen").ok_or(ConfigError::Key("listen", "is missing"))?;
        let name_service = fields.opt("gateway.names").filter(|address| !address.is_empty());
        let clickhouse = match fields.opt("clickhouse.listen") {
            None => None,
            Some(address) => {
                let rules = ClassRules::read(&fields, &settings)?;
                Some(ClickHouseListener { address: parse_address(address, "clickhouse.listen")?, rules })
            }
        };
        let engine_wire = EngineWire::read(&fields)?;
        let log = LogSettings::read(&fields)?;
        Ok(Self {
            name: fields.opt("gateway.name").unwrap_or("starlingplank").to_owned(),
            listen: parse_address(listen, "listen")?,
            clickhouse,
            engine_wire,
            name_service: name_service.map(|address| parse_address(address, "names")).transpose()?,
            endpoints_version: raw.serial,
            endpoints: read_endpoints(&raw.engines, &settings)?,
            log,
            knowledge: PersistenceSettings::read(&fields)?,
            operator: fields
                .opt("gateway.operator")
                .map(|address| parse_address(address, "operator"))
                .transpose()?,
            settings,
            limits,
        })
    }
}

fn parse_address(text: &str, key: &'static str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Key(key, "must be an address with a port"))
}

fn read_endpoints(engines: &[RawEngine], settings: &Settings) -> Result<Vec<Endpoint>, ConfigError> {
    let invalid = || ConfigError::Key("known", "must hold a cursor and events with their members");
    engines.iter().map(|engine| engine.to_endpoint(settings).ok_or_else(invalid)).collect()
}
