//! Errors of the persistent state.

use starlingplank_persistence::folder::FolderError;
use std::io;
use thiserror::Error;

/// Reason why the persistent state cannot be used.
#[derive(Debug, Error)]
pub enum PersistenceError {
    /// The folder cannot be used, and the configuration requires it.
    #[error("knowledge.required is set, but the folder cannot be used: {0}")]
    Required(#[source] FolderError),
    /// The folder cannot be used.
    #[error(transparent)]
    Folder(#[from] FolderError),
    /// A file cannot be read, or a writer thread cannot be started.
    #[error(transparent)]
    Io(#[from] io::Error),
}
