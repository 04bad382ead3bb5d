//! The log, written through `tracing`: warnings and errors go to standard error, other lines to standard output. Lines about
//! faults of peers are rate-limited, and suppressed lines are counted. A line that cannot be written, for example to a full
//! disk, is lost and counted; no caller waits or fails because of it.

use crate::config::LogSettings;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tracing::Level;
use tracing_subscriber::fmt::writer::MakeWriterExt;

/// Minimum interval between two rate-limited lines of the same text.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Number of lines that could not be written since the start of the process.
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Writes each line completely, or counts it as lost. Never returns an error: `tracing_subscriber` would print the error, and
/// panic if it cannot be printed.
struct LossyWriter<W>(W);

impl<W: Write> Write for LossyWriter<W> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.0.write_all(line).and_then(|()| self.0.flush()).is_err() {
            LOST_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Initializes the log with the configured level and format. Further calls have no effect.
pub fn start(settings: &LogSettings) {
    let errors = || LossyWriter(io::stderr());
    let writer = errors.with_max_level(Level::WARN).or_else(|| LossyWriter(io::stdout()));
    let log = tracing_subscriber::fmt()
        .with_max_level(settings.level)
        .with_writer(writer)
        .with_ansi(false)
        .log_internal_errors(false);
    // A log that is already initialized stays in use: tests start several gateways in one process.
    let _ = match settings.json {
        true => log.json().flatten_event(true).try_init(),
        false => log.with_target(false).try_init(),
    };
}

/// Returns the number of lines that could not be written since the start of the process.
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

/// Logs the number of lost lines if it has grown since the last report, at a limited rate. A report that cannot be written
/// counts as a lost line itself and is repeated later.
pub fn report_lost_lines() {
    const MESSAGE: &str = "lines of the log could not be written";
    let lost = lost_lines();
    if lost > REPORTED_LOST_LINES.get() && suppressed_if_due(MESSAGE).is_some() {
        REPORTED_LOST_LINES.set(lost);
        tracing::warn!(lost, "{lost} {MESSAGE} since the start");
    }
}

thread_local! {
    /// Number of lost lines at the last report.
    static REPORTED_LOST_LINES: Cell<u64> = const { Cell::new(0) };
    /// State of the rate-limited lines, by their texts.
    static LIMITED_LINES: RefCell<BTreeMap<&'static str, LimitedLine>> = const { RefCell::new(BTreeMap::new()) };
}

/// Logs a warning at a limited rate; suppressed repetitions are counted.
pub fn warn_rate_limited(message: &'static str) {
    if let Some(more) = suppressed_if_due(message) {
        match more {
            0 => tracing::warn!("{message}"),
            more => tracing::warn!(more, "{message} (suppressed {more} times since last logged)"),
        }
    }
}

/// Logs a warning about a peer and the state of its connection at a limited rate; suppressed repetitions are counted.
pub fn warn_of_peer_rate_limited(message: &'static str, peer: impl Display, state: impl Display) {
    if let Some(more) = suppressed_if_due(message) {
        match more {
            0 => tracing::warn!(%peer, %state, "{message}"),
            more => {
                tracing::warn!(%peer, %state, more, "{message} (suppressed {more} times since last logged)");
            }
        }
    }
}

/// Logs an error with its cause at a limited rate; suppressed repetitions are counted.
pub fn error_rate_limited(message: &'static str, cause: impl Display) {
    if let Some(more) = suppressed_if_due(message) {
        match more {
            0 => tracing::error!("{message}: {cause}"),
            more => tracing::error!(more, "{message}: {cause} (suppressed {more} times since last logged)"),
        }
    }
}

/// State of one rate-limited line.
struct LimitedLine {
    last_written: Instant,
    /// Number of times the line has been suppressed since then.
    suppressed: u64,
}

/// Returns the number of suppressed repetitions if a line of this text may be logged now; otherwise counts the line as
/// suppressed and returns `None`.
pub(super) fn suppressed_if_due(message: &'static str) -> Option<u64> {
    LIMITED_LINES.with_borrow_mut(|lines| match lines.get_mut(message) {
        Some(line) if line.last_written.elapsed() < MIN_INTERVAL => {
            line.suppressed += 1;
            None
        }
        previous => {
            let suppressed = previous.map_or(0, |line| line.suppressed);
            lines.insert(message, LimitedLine { last_written: Instant::now(), suppressed: 0 });
            Some(suppressed)
        }
    })
}
