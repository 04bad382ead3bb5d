//! Reads the configuration from its files, and what the environment adds to them.

use super::{Config, ConfigError};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The variable of the environment that holds the address for operators, where no file names it.
const OPERATOR_ADDRESS_VARIABLE: &str = "PROXY_OPERATOR";

/// The files of a configuration.
#[derive(Debug, Clone, Default)]
pub struct ConfigFiles {
    /// The platform's configuration, JSON.
    pub platform: Option<PathBuf>,
    /// The operator's file, HCL.
    pub operator: Option<PathBuf>,
}

/// Why a configuration cannot be loaded.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A file cannot be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The configuration cannot be used. Where the operator's file is at fault the text names it.
    #[error(transparent)]
    Config(ConfigError),
    /// The platform's configuration, or both files together, cannot be used.
    #[error("{}: {error}", .path.display())]
    Platform {
        /// The platform's file.
        path: PathBuf,
        /// What is wrong.
        error: ConfigError,
    },
    /// The address in the environment is invalid.
    #[error("PROXY_OPERATOR: {0:?} must be an address with a port")]
    OperatorAddress(String),
}

impl ConfigFiles {
    /// Loads the configuration.
    ///
    /// # Errors
    /// A file cannot be read, or the configuration cannot be used.
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
        // A file goes before the environment.
        if config.operator.is_none() {
            config.operator = operator_address()?;
        }
        Ok(config)
    }
}

fn read_text(path: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(path).map_err(|source| LoadError::Unreadable { path: path.to_owned(), source })
}

/// The address for operators in the environment, if there is one.
fn operator_address() -> Result<Option<SocketAddr>, LoadError> {
    let Some(text) = std::env::var(OPERATOR_ADDRESS_VARIABLE).ok().filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(LoadError::OperatorAddress(text)),
    }
}
