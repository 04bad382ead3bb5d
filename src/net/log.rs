//! The log: lines through `tracing`, warnings and errors to standard error, the rest to standard output. Lines about
//! faults of peers are limited in rate: what is left out is counted. A line that cannot be written, as on a full disk, is
//! counted and lost; nothing waits for it or fails with it.

use crate::config::LogSettings;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tracing::Level;
use tracing_subscriber::fmt::writer::MakeWriterExt;

/// Shortest time between two lines of the same text, where their rate is limited.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Lines that could not be written since the start.
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Writes each line whole, or counts it as lost. It never fails: the library that calls it would print the failure, and
/// panic where that cannot be printed.
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

/// Starts the log in the form of the settings. Further calls change nothing.
pub fn start(settings: &LogSettings) {
    let errors = || LossyWriter(io::stderr());
    let writer = errors.with_max_level(Level::WARN).or_else(|| LossyWriter(io::stdout()));
    let log = tracing_subscriber::fmt()
        .with_max_level(settings.level)
        .with_writer(writer)
        .with_ansi(false)
        .log_internal_errors(false);
    // A log that was started before stays: tests start several gateways in one process.
    let _ = match settings.json {
        true => log.json().flatten_event(true).try_init(),
        false => log.with_target(false).try_init(),
    };
}

/// Lines that could not be written since the start.
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

/// Logs how many lines were lost, if there are more than at the last report. What cannot be written now is reported later.
pub fn report_lost_lines() {
    const WHAT: &str = "lines of the log could not be written";
    let lost = lost_lines();
    if lost > REPORTED_LOST_LINES.get() && is_due(WHAT).is_some() {
        REPORTED_LOST_LINES.set(lost);
        tracing::warn!(lost, "{lost} {WHAT} since the start");
    }
}

thread_local! {
    /// Lost lines at the last report.
    static REPORTED_LOST_LINES: Cell<u64> = const { Cell::new(0) };
    /// Lines whose rate is limited, by their texts.
    static LIMITED_LINES: RefCell<BTreeMap<&'static str, LimitedLine>> = const { RefCell::new(BTreeMap::new()) };
}

/// Logs a warning at a limited rate; what is left out is counted.
pub fn warn_rate_limited(what: &'static str) {
    if let Some(more) = is_due(what) {
        match more {
            0 => tracing::warn!("{what}"),
            more => tracing::warn!(more, "{what} (and {more} times more since this was last said)"),
        }
    }
}

/// Logs an error with its cause at a limited rate; what is left out is counted.
pub fn error_rate_limited(what: &'static str, cause: impl Display) {
    if let Some(more) = is_due(what) {
        match more {
            0 => tracing::error!("{what}: {cause}"),
            more => tracing::error!(more, "{what}: {cause} (and {more} times more since this was last said)"),
        }
    }
}

/// A line whose rate is limited.
struct LimitedLine {
    last_written: Instant,
    /// How often it was left out since.
    left_out: u64,
}

/// Whether a line of this text is due; if so, how many were left out since the last one.
fn is_due(what: &'static str) -> Option<u64> {
    LIMITED_LINES.with_borrow_mut(|lines| match lines.get_mut(what) {
        Some(line) if line.last_written.elapsed() < MIN_INTERVAL => {
            line.left_out += 1;
            None
        }
        previous => {
            let left_out = previous.map_or(0, |line| line.left_out);
            lines.insert(what, LimitedLine { last_written: Instant::now(), left_out: 0 });
            Some(left_out)
        }
    })
}
