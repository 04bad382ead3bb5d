//! Progress updates: news of an attempt that is out. They end neither the attempt nor its connection.

use crate::core::Event;
use crate::interface::Note;
use crate::limits::Limits;
use crate::net::engine::connection::Connection;
use crate::net::engine::replies::ReplyEffect;
use crate::net::engine::resp::Reply;
use crate::net::log;

/// Codes of the progress update `w`: what a query waits for.
const WAITS_FOR_MEMORY: f64 = 1.0;
const WAITS_FOR_LOAD: f64 = 2.0;

/// Megabytes that a query can be short of; more is no figure of an engine in order (a petabyte).
const MOST_MISSING_MB: f64 = 1e9;

/// A progress update that cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadNote;

impl Reply<'_> {
    /// The progress update in `detail` and `v`.
    ///
    /// # Errors
    /// There is one, and it cannot be used: its kind is unknown, or its figure is missing, unreadable or out of range.
    pub fn note(&self) -> Result<Option<Note>, BadNote> {
        let Some(kind) = self.field("detail").filter(|kind| !kind.is_empty()) else {
            return if self.field("v").is_some_and(|v| !v.is_empty()) { Err(BadNote) } else { Ok(None) };
        };
        let value = self.number("v").ok_or(BadNote)?;
        match kind {
            "p" if (0.0..=1.0).contains(&value) => Ok(Some(Note::Progress(value))),
            "s" if (0.0..=MOST_MISSING_MB).contains(&value) => Ok(Some(Note::Spill(value))),
            "w" if value == WAITS_FOR_MEMORY => Ok(Some(Note::WaitsForMemory)),
            "w" if value == WAITS_FOR_LOAD => Ok(Some(Note::WaitsForLoad)),
            _ => Err(BadNote),
        }
    }
}

/// A progress update: news of an attempt that is out, and no answer to it. One that cannot be used is dropped; the
/// attempt and its neighbours go on.
pub fn handle_progress_update(connection: &Connection, reply: &Reply<'_>, limits: &Limits) -> ReplyEffect {
    let in_flight = connection.in_flight.borrow();
    // Once a result has begun its query is over.
    let Some(attempt) = in_flight.get(reply.id).filter(|f| f.result.is_none()) else {
        return ReplyEffect::Ignored;
    };
    match reply.note() {
        Ok(Some(note)) => ReplyEffect::Event(Event::Noted(attempt.id, note)),
        Ok(None) => ReplyEffect::Ignored,
        Err(BadNote) => {
            log::seldom(limits, "an engine's progress update cannot be used; it was dropped");
            ReplyEffect::Ignored
        }
    }
}
