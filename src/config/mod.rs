//! Configuration of the program. The platform's JSON and the operator's HCL are both flattened to settings by their paths. The
//! reader of the [`simulator`] converts these to [`Settings`], so that files and the simulator's first message share one reader.
//!
//! `files` loads the texts; `platform` and [`operator`] parse them into `raw`; [`consistency`] checks the settings for
//! contradictions.

pub mod consistency;
mod error;
mod files;
pub mod operator;
mod platform;
mod raw;
pub mod schema;

pub use error::ConfigError;
pub use files::{ConfigFiles, LoadError};
pub use raw::to_member;

use crate::core::Endpoint;
use crate::interface::{Milliseconds, Settings};
use crate::limits::Limits;
use crate::net::front::rules::ClassRules;
use crate::simulator::{self, Fields, LineError};
use raw::{RawConfig, RawEngine};
use starlingplank_persistence::recovery;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Number of bytes in a mebibyte.
const MIB: f64 = 1024.0 * 1024.0;
/// Time between two snapshots if the configuration does not set it.
const DEFAULT_SNAPSHOT_INTERVAL: Milliseconds = 1_000.0;
/// Maximum size of a snapshot if the configuration does not set it, in MiB.
const DEFAULT_MAX_SNAPSHOT_MIB: f64 = 16.0;
/// Maximum number of idempotency keys if the configuration does not set it.
const DEFAULT_MAX_KEYS: f64 = 100_000.0;

/// Format and level of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// Whether the log is written as JSON lines. Otherwise it is plain text.
    pub json: bool,
    /// Minimum level of the lines that are written.
    pub level: tracing::Level,
}

impl LogSettings {
    fn read(fields: &Fields) -> Result<Self, ConfigError> {
        let level = fields.opt("log.level").unwrap_or("info").parse();
        Ok(Self {
            json: fields.opt("log.form") == Some("json"),
            level: level.map_err(|_| ConfigError::Key("log.level", "is not a log level"))?,
        })
    }
}

/// Settings of the persistence of learned state: its folder, its limits, and the time for which it is valid.
#[derive(Debug, Clone, PartialEq)]
pub struct PersistenceSettings {
    /// Path of the folder. A missing folder is created.
    pub folder: PathBuf,
    /// Whether the program exits at its start if the folder cannot be used.
    pub required: bool,
    /// Time between two snapshots.
    pub snapshot_interval: Milliseconds,
    /// Maximum size of a snapshot, in bytes.
    pub max_snapshot_bytes: usize,
    /// Whether idempotency keys are written to the idempotency log.
    pub logs_keys: bool,
    /// Maximum number of idempotency keys.
    pub max_keys: usize,
    /// Minimum time in which an engine can restart. An engine that was not observed for longer may have cold caches.
    pub min_restart_time: Milliseconds,
    /// Age above which a snapshot is ignored.
    pub max_snapshot_age: Milliseconds,
    /// Time for which the state of engines that are missing from the endpoint list is retained, as they may still appear in it.
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

/// Protocol of the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineProtocol {
    /// The platform's commands, in RESP.
    Resp,
    /// The ClickHouse HTTP interface.
    ClickHouse,
}

impl EngineProtocol {
    fn read(fields: &Fields) -> Result<Self, ConfigError> {
        match fields.opt("engines") {
            None | Some("resp") => Ok(Self::Resp),
            Some("clickhouse") => Ok(Self::ClickHouse),
            Some(_) => Err(ConfigError::Key("engines", "must be resp or clickhouse")),
        }
    }
}

/// Listener for clients of the ClickHouse HTTP interface.
#[derive(Debug, Clone)]
pub struct ClickHouseListener {
    /// Address at which the gateway accepts these clients.
    pub address: SocketAddr,
    /// Rules that assign statements to classes.
    pub rules: ClassRules,
}

/// Configuration of the program.
#[derive(Debug)]
pub struct Config {
    /// Name of this gateway.
    pub name: String,
    /// Listening address for clients of the platform's protocol.
    pub listen: SocketAddr,
    /// Listener for clients of the ClickHouse HTTP interface, if configured.
    pub clickhouse: Option<ClickHouseListener>,
    /// Protocol of the engines.
    pub engine_protocol: EngineProtocol,
    /// Address of the name service. Without one, the endpoint list at the start does not change.
    pub name_service: Option<SocketAddr>,
    /// Version of the endpoint list in `endpoints`.
    pub endpoints_version: u64,
    /// Endpoint list at the start.
    pub endpoints: Vec<Endpoint>,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Limits of the program.
    pub limits: Limits,
    /// Format and level of the log.
    pub log: LogSettings,
    /// Settings of the persistence of learned state. Without them, learned state is lost when the program exits.
    pub persistence: Option<PersistenceSettings>,
    /// Listening address for operators' calls, if configured. Hot restarts require it.
    pub operator: Option<SocketAddr>,
}

impl Config {
    /// Reads a configuration from the text of the platform's configuration.
    ///
    /// # Errors
    /// Fails if a key is missing or a value is invalid.
    pub fn read(text: &str) -> Result<Self, ConfigError> {
        Self::from_raw(platform::read(text)?)
    }

    /// Reads a configuration from the platform's configuration, from the operator's file (its name and its text), or from both, in
    /// which case the operator's file adds to the platform's configuration.
    ///
    /// # Errors
    /// Fails if a key is missing or a value is invalid. All faults of the operator's file are reported, with their lines.
    pub fn load(platform: Option<&str>, operator: Option<(&str, &str)>) -> Result<Self, ConfigError> {
        let platform = platform.map(platform::read).transpose()?;
        let Some((file, text)) = operator else {
            let missing = || {
                ConfigError::Key(
                    "configuration",
                    "is missing: neither a platform nor an operator file was given",
                )
            };
            return Self::from_raw(platform.ok_or_else(missing)?);
        };
        let operator = operator::read(file, text, platform.is_some()).map_err(ConfigError::Operator)?;
        match platform {
            // The files have no key in common: the schema rejects the platform's keys in the operator's file.
            Some(mut raw) => {
                raw.values.extend(operator.values);
                Self::from_raw(raw)
            }
            None => Self::from_raw(operator).map_err(|error| ConfigError::Contradiction {
                file: file.to_owned(),
                error: Box::new(error),
            }),
        }
    }

    fn from_raw(raw: RawConfig) -> Result<Self, ConfigError> {
        let mut values = raw.values;
        let seed = values.remove("gateway.seed").unwrap_or_else(|| "0".into());
        let seed = u64::from_str_radix(&seed, 16).map_err(|_| ConfigError::Key("seed", "must be hex"))?;
        values.insert("entropy".into(), seed.to_string());
        let fields = Fields::new("settings", values);
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
        let engine_protocol = EngineProtocol::read(&fields)?;
        let log = LogSettings::read(&fields)?;
        Ok(Self {
            name: fields.opt("gateway.name").unwrap_or("starlingplank").to_owned(),
            listen: parse_address(listen, "listen")?,
            clickhouse,
            engine_protocol,
            name_service: name_service.map(|address| parse_address(address, "names")).transpose()?,
            endpoints_version: raw.endpoints_version,
            endpoints: read_endpoints(&raw.engines, &settings)?,
            log,
            persistence: PersistenceSettings::read(&fields)?,
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
