//! The log: lines through `tracing`, warnings and errors to standard error, the rest to standard output. What others
//! do wrong is counted: however often they do it, the lines about it stay few. A line that cannot be written, as on a full
//! disk, is counted and lost; nothing waits for it or fails with it.

use crate::config::LogSettings;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tracing::Level;
use tracing_subscriber::fmt::writer::MakeWriterExt;

/// Between two lines that say the same of what others do wrong.
const GAP: Duration = Duration::from_secs(1);

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

/// Starts the log in the form that the settings ask for. Further calls change nothing.
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

/// Tells of lines that were lost since this was last told. What cannot be written now is told later.
pub fn report_lost_lines() {
    const WHAT: &str = "lines of the log could not be written";
    let lost = lost_lines();
    if lost > REPORTED.get() && is_due(WHAT).is_some() {
        REPORTED.set(lost);
        tracing::warn!(lost, "{lost} {WHAT} since the start");
    }
}

thread_local! {
    /// Lost lines that were told of.
    static REPORTED: Cell<u64> = const { Cell::new(0) };
    /// By what is said: when it was last said, and how often it has been left unsaid since.
    static SAID: RefCell<BTreeMap<&'static str, (Instant, u64)>> = const { RefCell::new(BTreeMap::new()) };
}

/// Says something once in a while; between two such lines it is counted alone.
pub fn seldom(what: &'static str) {
    if let Some(more) = is_due(what) {
        match more {
            0 => tracing::warn!("{what}"),
            more => tracing::warn!(more, "{what} (and {more} times more since this was last said)"),
        }
    }
}

/// Tells an error once in a while, with its cause; between two such lines it is counted alone.
pub fn seldom_error(what: &'static str, cause: impl Display) {
    if let Some(more) = is_due(what) {
        match more {
            0 => tracing::error!("{what}: {cause}"),
            more => tracing::error!(more, "{what}: {cause} (and {more} times more since this was last said)"),
        }
    }
}

/// Whether a line of this text is due, and how many were left out since the last one.
fn is_due(what: &'static str) -> Option<u64> {
    SAID.with_borrow_mut(|said| match said.get_mut(what) {
        Some((at, more)) if at.elapsed() < GAP => {
            *more += 1;
            None
        }
        before => {
            let more = before.map_or(0, |(_, more)| *more);
            said.insert(what, (Instant::now(), 0));
            Some(more)
        }
    })
}
