//! Operator overrides, which all processes of the gateway share.

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

/// Why an operator's call is rejected.
#[derive(Debug, Error)]
pub enum ChangeError {
    /// The call is not valid.
    #[error(transparent)]
    Invalid(#[from] OverrideError),
    /// The change cannot be stored for a successor.
    #[error(transparent)]
    NotStored(#[from] StoreOverridesError),
}

/// Why operator overrides cannot be stored.
#[derive(Debug, Error)]
pub enum StoreOverridesError {
    /// The folder cannot be locked, or the file cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The overrides exceed the file's bound.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// The overrides in the shared folder, as they were last read.
#[derive(Debug)]
pub(super) struct SharedOverrides {
    folder: PathBuf,
    current: OperatorOverrides,
    /// The file's bytes as they were last read; `None` if there was no file.
    bytes: Option<Vec<u8>>,
}

impl SharedOverrides {
    pub(super) fn new(folder: &Path) -> Self {
        Self { folder: folder.to_owned(), current: OperatorOverrides::default(), bytes: None }
    }

    pub(super) fn current(&self) -> &OperatorOverrides {
        &self.current
    }

    /// Reads the file. Returns whether the overrides have changed; if the file cannot be read they stay in force.
    pub(super) fn refresh(&mut self) -> bool {
        let bytes = match Files::new(&self.folder).read(OVERRIDES_FILE, MAX_FILE_BYTES) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error_rate_limited("operator overrides cannot be read", error);
                return false;
            }
        };
        if bytes == self.bytes {
            return false;
        }
        let decoded = bytes.as_deref().map_or(Ok(OperatorOverrides::default()), OperatorOverrides::decode);
        self.bytes = bytes;
        match decoded {
            Ok(overrides) => {
                let changed = overrides != self.current;
                self.current = overrides;
                changed
            }
            Err(reason) => {
                let file = self.folder.join(OVERRIDES_FILE);
                error!(file = %file.display(), %reason, "operator overrides are invalid: the known ones stay in force");
                false
            }
        }
    }

    /// Changes the overrides for this process and its successors. Returns them if the call changed something.
    ///
    /// # Errors
    /// The call is not valid, or the change cannot be stored.
    pub(super) fn change(
        &mut self,
        change: impl FnOnce(&mut OperatorOverrides) -> Result<bool, OverrideError>,
    ) -> Result<Option<OperatorOverrides>, ChangeError> {
        let _lock = lock(&self.folder).map_err(StoreOverridesError::Io)?;
        self.refresh();
        let mut changed = self.current.clone();
        if !change(&mut changed)? {
            return Ok(None);
        }
        let bytes = changed.encode().map_err(StoreOverridesError::Frame)?;
        disk::replace(&mut Files::new(&self.folder), OVERRIDES_FILE, &bytes)
            .map_err(StoreOverridesError::Io)?;
        self.current = changed.clone();
        self.bytes = Some(bytes);
        Ok(Some(changed))
    }
}
