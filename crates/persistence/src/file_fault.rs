//! What is wrong with a stored file.

use starlingplank_storage::framed::FrameError;
use std::fmt;

/// A file that cannot be read as what its name says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileFault {
    /// Name of the file.
    pub file: String,
    /// Offset of the fault in bytes; `None` if the file itself cannot be read.
    pub offset: Option<usize>,
    /// What is wrong.
    pub reason: String,
    /// Whether a later release wrote the file: it is intact, but this release cannot read it.
    pub is_newer_version: bool,
}

impl FileFault {
    /// The file itself cannot be read.
    pub fn unreadable(file: String, error: impl fmt::Display) -> Self {
        Self { file, offset: None, reason: error.to_string(), is_newer_version: false }
    }

    /// The file's contents are not valid.
    pub fn invalid(file: String, error: &FrameError) -> Self {
        let (offset, is_newer_version) = (Some(error.offset()), error.is_newer_version());
        Self { file, offset, reason: error.to_string(), is_newer_version }
    }
}

impl fmt::Display for FileFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.file, self.reason)
    }
}
