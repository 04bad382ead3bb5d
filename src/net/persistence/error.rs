//! Why the persistent state cannot be used.

use starlingplank_persistence::folder::FolderError;
use std::io;
use thiserror::Error;

/// Why the persistent state cannot be used.
#[derive(Debug, Error)]
pub enum PersistenceError {
    /// The folder cannot be used, and the operator requires it.
    #[error("knowledge is required: {0}")]
    Required(#[source] FolderError),
    /// The folder cannot be used.
    #[error(transparent)]
    Folder(#[from] FolderError),
    /// A file cannot be read, or a thread that writes cannot be started.
    #[error(transparent)]
    Io(#[from] io::Error),
}
