//! Reads the configuration from its files and from the environment.

use super::{Config, ConfigError};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Environment variable with the address for operators' calls. It applies if no file contains the address.
const OPERATOR_ADDRESS_VARIABLE: &str = "PROXY_OPERATOR";

/// Paths of the files of a configuration.
#[derive(Debug, Clone, Default)]
pub struct ConfigFiles {
    /// The platform's configuration, in JSON.
    pub platform: Option<PathBuf>,
    /// The operator's file, in HCL.
    pub operator: Option<PathBuf>,
}

/// Reason why a configuration cannot be loaded.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A file cannot be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the read.
        source: io::Error,
    },
    /// The configuration cannot be used. If the fault is in the operator's file, the message names that file.
    #[error(transparent)]
    Config(ConfigError),
    /// The platform's configuration cannot be used, alone or together with the operator's file.
    #[error("{}: {error}", .path.display())]
    Platform {
        /// Path of the platform's configuration.
        path: PathBuf,
        /// The fault in the configuration.
        error: ConfigError,
    },
    /// The address for operators' calls in the environment is invalid.
    #[error("PROXY_OPERATOR: {0:?} must be an address with a port")]
    OperatorAddress(String),
}

impl ConfigFiles {
    /// Loads the configuration.
    ///
    /// # Errors
    /// Fails if a file cannot be read or the configuration cannot be used.
    pub fn load(&self) -> Result<Config, LoadError> {
        let platform = self.platform.as_deref().map(read_text).transpose()?;
        let operator = self.operator.as_deref().map(read_text).transpose()?;
        let operator_name = self.operator.as_ref().map(|path| path.display().to_string());
        let operator = operator_name.as_deref().zip(operator.as_deref());
        let mut config =
            Config::load(platform.as_deref(), operator).map_err(|error| match (error, &self.platform) {
                (error @ ConfigError::Operator(_), _) | (error, None) => LoadError::Config(error),
                (error, Some(path)) => LoadError::Platform { path: path.clone(), error },
            })?;
        // An address in a file takes precedence over the one in the environment.
        if config.operator.is_none() {
            config.operator = operator_address()?;
        }
        Ok(config)
    }
}

fn read_text(path: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(path).map_err(|source| LoadError::Unreadable { path: path.to_owned(), source })
}

/// Reads the address for operators' calls from the environment. Returns `None` if the variable is unset or empty.
fn operator_address() -> Result<Option<SocketAddr>, LoadError> {
    let Some(text) = std::env::var(OPERATOR_ADDRESS_VARIABLE).ok().filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(LoadError::OperatorAddress(text)),
    }
}
