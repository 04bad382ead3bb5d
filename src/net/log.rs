//! The log: lines through `tracing`, warnings and errors to standard error, the rest to standard output. What others
//! do wrong is counted: however often they do it, the lines about it stay few.

use crate::config::LogSettings;
use crate::limits::Limits;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Instant;
use tracing::Level;
use tracing_subscriber::fmt::writer::MakeWriterExt;

/// Starts the log in the form that the settings ask for. Further calls change nothing.
pub fn start(settings: &LogSettings) {
    let writer = std::io::stderr.with_max_level(Level::WARN).or_else(std::io::stdout);
    let log = tracing_subscriber::fmt().with_max_level(settings.level).with_writer(writer).with_ansi(false);
    // A log that was started before stays: tests start several gateways in one process.
    let _ = match settings.json {
        true => log.json().flatten_event(true).try_init(),
        false => log.with_target(false).try_init(),
    };
}

thread_local! {
    /// By what is said: when it was last said, and how often it has been left unsaid since.
    static SAID: RefCell<BTreeMap<&'static str, (Instant, u64)>> = const { RefCell::new(BTreeMap::new()) };
}

/// Says something once in a while; between two such lines it is counted alone.
pub fn seldom(limits: &Limits, what: &'static str) {
    SAID.with_borrow_mut(|said| match said.get_mut(what) {
        Some((at, more)) if at.elapsed() < limits.log_gap => *more += 1,
        before => {
            match before.map_or(0, |(_, more)| *more) {
                0 => tracing::warn!("{what}"),
                more => tracing::warn!(more, "{what} (and {more} times more since this was last said)"),
            }
            said.insert(what, (Instant::now(), 0));
        }
    });
}
