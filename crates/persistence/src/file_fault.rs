//! Description of a fault in a stored file.

use starlingplank_storage::framed::FrameError;
use std::fmt;

/// A stored file that cannot be read, or whose contents are not valid for its file type.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileFault {
    /// Name of the faulty file.
    pub file: String,
    /// Offset of the fault in bytes; `None` if the file itself cannot be read.
    pub offset: Option<usize>,
    /// Description of the fault.
    pub reason: String,
    /// Whether a newer release wrote the file, which may be intact but cannot be read by this release.
    pub is_newer_version: bool,
}

impl FileFault {
    /// Creates the fault of a file that cannot be read.
    pub fn unreadable(file: String, error: impl fmt::Display) -> Self {
        Self { file, offset: None, reason: error.to_string(), is_newer_version: false }
    }

    /// Creates the fault of a file whose contents are not valid.
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
