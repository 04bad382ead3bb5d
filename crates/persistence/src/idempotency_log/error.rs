//! Errors of the idempotency log.

use std::io;
use thiserror::Error;

/// Errors of reading or writing the log that are not I/O errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LogError {
    /// On each try, the log was replaced after the folder had been listed and before the file was read.
    #[error("the idempotency log was replaced during each attempt to read it")]
    ReplacedWhileRead,
    /// An earlier write failed, and the log has not been rewritten since, or no log file was written yet.
    #[error("an earlier write to the idempotency log failed, and the log has not been rewritten since")]
    NotRewritten,
}

impl From<LogError> for io::Error {
    fn from(error: LogError) -> Self {
        io::Error::other(error)
    }
}
