//! Errors for a configuration that cannot be used.

use super::operator::Problem;
use crate::interface::SettingsError;
use crate::simulator::LineError;
use thiserror::Error;

/// Reason why a configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The platform's configuration is not JSON.
    #[error("the configuration is not JSON")]
    Json,
    /// A key is missing or its value is invalid. Contains the key and a description of the fault.
    #[error("{0}: {1}")]
    Key(&'static str, &'static str),
    /// A setting is missing or its value is invalid.
    #[error(transparent)]
    Field(#[from] LineError),
    /// The settings contradict each other.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The operator's file has faults. All of them are listed, one per line.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Operator(Vec<Problem>),
    /// Settings in the operator's file contradict each other.
    #[error("{file}: {error}")]
    Contradiction {
        /// Path of the file.
        file: String,
        /// The contradiction.
        error: Box<ConfigError>,
    },
}
