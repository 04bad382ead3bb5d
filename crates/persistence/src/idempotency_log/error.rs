//! Errors of the log.

use std::io;
use thiserror::Error;

/// Why the log cannot be read or written, where the disk itself did not fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LogError {
    /// The log was replaced each time between listing and reading.
    #[error("the log is begun anew as often as it is looked for")]
    ReplacedWhileRead,
    /// An earlier write failed, and the log was not rewritten since.
    #[error("the log has failed before and was not begun anew")]
    NotRewritten,
}

impl From<LogError> for io::Error {
    fn from(error: LogError) -> Self {
        io::Error::other(error)
    }
}
