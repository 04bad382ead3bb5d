//! Parser of progress updates in replies.

use super::reply::Reply;
use crate::interface::ProgressUpdate;
use thiserror::Error;

/// Value of a progress update of kind `w`: the query waits for memory.
const WAITS_FOR_MEMORY: f64 = 1.0;
/// Value of a progress update of kind `w`: the query waits for a load that holds its data set.
const WAITS_FOR_LOAD: f64 = 2.0;

/// Maximum amount of memory that a query can be short of, in MB (1 PB): no machine has more.
const MAX_MISSING_MB: f64 = 1e9;

/// Error for a progress update whose kind is unknown, or whose value is missing, unreadable or out of range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("unknown kind of progress update, or its value is missing or invalid")]
pub struct InvalidProgressUpdate;

impl Reply<'_> {
    /// Parses the progress update in the fields `detail` and `v`, if there is one.
    ///
    /// # Errors
    /// The reply contains a progress update that is invalid.
    pub fn progress_update(&self) -> Result<Option<ProgressUpdate>, InvalidProgressUpdate> {
        let Some(kind) = self.field("detail").filter(|kind| !kind.is_empty()) else {
            let has_value = self.field("v").is_some_and(|value| !value.is_empty());
            return if has_value { Err(InvalidProgressUpdate) } else { Ok(None) };
        };
        let value = self.number("v").ok_or(InvalidProgressUpdate)?;
        match kind {
            "p" if (0.0..=1.0).contains(&value) => Ok(Some(ProgressUpdate::Progress(value))),
            "s" if (0.0..=MAX_MISSING_MB).contains(&value) => Ok(Some(ProgressUpdate::Spill(value))),
            "w" if value == WAITS_FOR_MEMORY => Ok(Some(ProgressUpdate::WaitsForMemory)),
            "w" if value == WAITS_FOR_LOAD => Ok(Some(ProgressUpdate::WaitsForLoad)),
            _ => Err(InvalidProgressUpdate),
        }
    }
}
