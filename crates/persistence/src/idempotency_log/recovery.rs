//! Recovery of the previous process's log, with the checks of whether it can be trusted.

use super::contents::LogContents;
use super::files::{last, unrecorded_sends_possible};
use crate::boot_time::BootTime;
use crate::disk::Disk;
use crate::idempotency_key::TrustedLog;
use starlingplank_decision::interface::Milliseconds;
use std::io;
use thiserror::Error;

/// Reason for which a log cannot be trusted.
#[derive(Debug, Error)]
pub enum DistrustedLog {
    /// A process that was taking over from another one ended before its sends were recorded in a log.
    #[error("a process that was taking over ended before the idempotency log contained its sends")]
    UnrecordedSends,
    /// The folder cannot be read.
    #[error("the folder cannot be read: {0}")]
    UnreadableFolder(#[source] io::Error),
    /// The log cannot be read.
    #[error("the idempotency log cannot be read: {0}")]
    Unreadable(#[source] io::Error),
    /// The folder contains no log.
    #[error("there is no idempotency log yet")]
    Missing,
    /// The log is damaged.
    #[error("{file}: at byte {offset}: {reason}")]
    Damaged {
        /// Name of the log file.
        file: String,
        /// Offset of the damage in bytes.
        offset: usize,
        /// Description of the damage.
        reason: String,
    },
    /// The log contains no mark, so that it was never known to be complete.
    #[error("{file}: the log contains no mark, so it may be incomplete")]
    NoMark {
        /// Name of the log file.
        file: String,
    },
    /// The log is from another boot, or the current boot is unknown, so its times cannot be compared with the boot clock.
    #[error("{file}: the log is not known to be from the current boot of the machine")]
    OtherBoot {
        /// Name of the log file.
        file: String,
    },
    /// The last mark is too old or lies in the future, so unrecorded requests may have been sent since.
    #[error("{file}: the last mark is {:.1} s old", .age / 1000.0)]
    OldMark {
        /// Name of the log file.
        file: String,
        /// Age of the mark in milliseconds; negative if the mark lies in the future.
        age: Milliseconds,
    },
}

/// Recovers the log for a process that starts without a running predecessor. The log is trusted if it is intact, of the
/// current boot, marked less than `window` ago, and no process has sent keyed requests without recording them in it.
/// [`deduplication_window`](crate::deduplication_window) explains why these conditions suffice.
///
/// # Errors
/// Returns the reason if the log is not trusted.
pub fn recover(disk: &dyn Disk, now: &BootTime, window: Milliseconds) -> Result<TrustedLog, DistrustedLog> {
    match unrecorded_sends_possible(disk) {
        Ok(false) => recover_from_peer(disk, now, window),
        Ok(true) => Err(DistrustedLog::UnrecordedSends),
        Err(error) => Err(DistrustedLog::UnreadableFolder(error)),
    }
}

/// Recovers the log for a process that takes over from a running one and is notified of each send that the log does not
/// contain.
///
/// # Errors
/// Returns the reason if the log is not trusted.
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
        return Err(DistrustedLog::Damaged { file, offset: fault.offset, reason: fault.reason });
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
