//! Reads the log of the previous process and decides whether it can be trusted.

use super::contents::LogContents;
use super::files::{last, unrecorded_sends_possible};
use crate::boot_time::BootTime;
use crate::disk::Disk;
use crate::idempotency_key::TrustedLog;
use starlingplank_decision::interface::Milliseconds;
use std::io;
use thiserror::Error;

/// Why a log cannot be trusted.
#[derive(Debug, Error)]
pub enum DistrustedLog {
    /// A process that was following another one ended before its sends were in a log.
    #[error("a version that was taking over ended before it had written down what it sent")]
    UnrecordedSends,
    /// The folder cannot be read.
    #[error("the folder cannot be read: {0}")]
    UnreadableFolder(#[source] io::Error),
    /// The log cannot be read.
    #[error("the log of keys cannot be read: {0}")]
    Unreadable(#[source] io::Error),
    /// There is no log.
    #[error("there is no log of keys yet")]
    Missing,
    /// The log is damaged.
    #[error("{file}: at byte {offset}: {why}")]
    Damaged {
        /// Name of the file.
        file: String,
        /// Offset of the fault.
        offset: usize,
        /// What is wrong there.
        why: String,
    },
    /// The log never was complete.
    #[error("{file}: no mark is in it")]
    NoMark {
        /// Name of the file.
        file: String,
    },
    /// Its times cannot be compared with those of this boot.
    #[error("{file}: the machine has started anew since")]
    OtherBoot {
        /// Name of the file.
        file: String,
    },
    /// Unrecorded requests may have been sent since its last mark.
    #[error("{file}: its last mark is {:.1} s old", .age / 1000.0)]
    OldMark {
        /// Name of the file.
        file: String,
        /// Age of the mark in milliseconds; negative if it lies in the future.
        age: Milliseconds,
    },
}

/// Recovers the log for a process that knows nothing of earlier ones. The log is trusted if it is intact, of this boot,
/// marked less than `window` ago, and holds all sends. [`deduplication_window`](crate::deduplication_window) shows why
/// that suffices.
///
/// # Errors
/// Tells why the log is not trusted.
pub fn recover(disk: &dyn Disk, now: &BootTime, window: Milliseconds) -> Result<TrustedLog, DistrustedLog> {
    match unrecorded_sends_possible(disk) {
        Ok(false) => recover_from_peer(disk, now, window),
        Ok(true) => Err(DistrustedLog::UnrecordedSends),
        Err(error) => Err(DistrustedLog::UnreadableFolder(error)),
    }
}

/// Recovers the log for a process that takes over from a running one, and is told of each send that the log does not hold.
///
/// # Errors
/// Tells why the log is not trusted.
pub fn recover_from_peer(
    disk: &dyn Disk,
    now: &BootTime,
    window: Milliseconds,
) -> Result<TrustedLog, DistrustedLog> {
    let found = last(disk).map_err(DistrustedLog::Unreadable)?;
    let (file, contents) = found.ok_or(DistrustedLog::Missing)?;
    trust(file, contents, now, window)
}

fn trust(
    file: String,
    contents: LogContents,
    now: &BootTime,
    window: Milliseconds,
) -> Result<TrustedLog, DistrustedLog> {
    if let Some(fault) = contents.fault {
        return Err(DistrustedLog::Damaged { file, offset: fault.offset, why: fault.reason });
    }
    let Some(mark) = contents.mark else { return Err(DistrustedLog::NoMark { file }) };
    if now.boot_id != Some(mark.boot_id) {
        return Err(DistrustedLog::OtherBoot { file });
    }
    let age = now.now - mark.at;
    if !(0.0..window).contains(&age) {
        return Err(DistrustedLog::OldMark { file, age });
    }
    Ok(TrustedLog { sends: contents.sends.into_iter().collect(), blocked_until: mark.blocked_until })
}
