//! Why a configuration cannot be used.

use super::operator::Problem;
use crate::interface::SettingsError;
use crate::simulator::LineError;
use thiserror::Error;

/// Why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The platform's configuration is not JSON.
    #[error("the configuration is not JSON")]
    Json,
    /// A key is missing or its value is invalid: the key, and what is wrong.
    #[error("{0}: {1}")]
    Key(&'static str, &'static str),
    /// A setting is missing or its value is invalid.
    #[error(transparent)]
    Field(#[from] LineError),
    /// The settings contradict each other.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// All faults of an operator's file, a line each.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Operator(Vec<Problem>),
    /// The contents of an operator's file contradict each other.
    #[error("{file}: {error}")]
    Contradiction {
        /// The file.
        file: String,
        /// What is wrong with it.
        error: Box<ConfigError>,
    },
}
