//! Operator overrides, which all processes of the gateway share through a file.

use super::folder::{lock, OVERRIDES_FILE};
use crate::net::log;
use starlingplank_admin::operator_overrides::{OperatorOverrides, OverrideError, MAX_FILE_BYTES};
use starlingplank_storage::disk::{self, Disk};
use starlingplank_storage::folder::Files;
use starlingplank_storage::framed::FrameError;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;
use tracing::error;

/// Reason why an operator's change is rejected.
#[derive(Debug, Error)]
pub enum ChangeError {
    /// The change is not valid.
    #[error(transparent)]
    Invalid(#[from] OverrideError),
    /// The change cannot be stored for the other processes.
    #[error(transparent)]
    NotStored(#[from] StoreOverridesError),
}

/// Reason why operator overrides cannot be stored.
#[derive(Debug, Error)]
pub enum StoreOverridesError {
    /// The folder cannot be locked, or the file cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The overrides exceed the maximum size of the file.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// The overrides in the shared folder, as they were last read.
#[derive(Debug)]
pub(super) struct SharedOverrides {
    folder: PathBuf,
    current: OperatorOverrides,
    /// The overrides that were last passed on to the reducer.
    reported: OperatorOverrides,
    /// Contents of the file when it was last read or written; `None` if it did not exist.
    bytes: Option<Vec<u8>>,
}

impl SharedOverrides {
    pub(super) fn new(folder: &Path) -> Self {
        Self {
            folder: folder.to_owned(),
            current: OperatorOverrides::default(),
            reported: OperatorOverrides::default(),
            bytes: None,
        }
    }

    pub(super) fn current(&self) -> &OperatorOverrides {
        &self.current
    }

    /// Reads the file. If it cannot be read or is invalid, the known overrides stay in force.
    pub(super) fn refresh(&mut self) {
        let bytes = match Files::new(&self.folder).read(OVERRIDES_FILE, MAX_FILE_BYTES) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error_rate_limited(
                    "operator overrides cannot be read: the known ones stay in force",
                    error,
                );
                return;
            }
        };
        if bytes == self.bytes {
            return;
        }
        let decoded = bytes.as_deref().map_or(Ok(OperatorOverrides::default()), OperatorOverrides::decode);
        self.bytes = bytes;
        match decoded {
            Ok(overrides) => self.current = overrides,
            Err(reason) => {
                let file = self.folder.join(OVERRIDES_FILE);
                error!(file = %file.display(), %reason, "operator overrides are invalid: the known ones stay in force");
            }
        }
    }

    /// Returns the overrides in force if they differ from those that were returned last, whichever call has read the change.
    pub(super) fn take_unreported(&mut self) -> Option<OperatorOverrides> {
        if self.current == self.reported {
            return None;
        }
        self.reported = self.current.clone();
        Some(self.current.clone())
    }

    /// Changes the overrides for this process and its successors. Another process may have made the same change before, so that the
    /// file stays as it is; [`take_unreported`](Self::take_unreported) returns the result in both cases.
    ///
    /// # Errors
    /// The change is not valid or cannot be stored.
    pub(super) fn change(
        &mut self,
        change: impl FnOnce(&mut OperatorOverrides) -> Result<bool, OverrideError>,
    ) -> Result<(), ChangeError> {
        let _lock = lock(&self.folder).map_err(StoreOverridesError::Io)?;
        self.refresh();
        let mut changed = self.current.clone();
        if !change(&mut changed)? {
            return Ok(());
        }
        let bytes = changed.encode().map_err(StoreOverridesError::Frame)?;
        disk::replace(&mut Files::new(&self.folder), OVERRIDES_FILE, &bytes)
            .map_err(StoreOverridesError::Io)?;
        self.current = changed;
        self.bytes = Some(bytes);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
