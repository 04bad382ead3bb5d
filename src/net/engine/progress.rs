//! Progress updates: news of an attempt in flight. They end neither the attempt nor its connection.

use crate::core::Event;
use crate::interface::ProgressUpdate;
use crate::net::engine::connection::Connection;
use crate::net::engine::replies::ReplyEffect;
use crate::net::engine::resp::Reply;
use crate::net::log;

/// Value of a progress update of kind `w`: the query waits for memory.
const WAITS_FOR_MEMORY: f64 = 1.0;
/// Value of a progress update of kind `w`: the query waits for other load.
const WAITS_FOR_LOAD: f64 = 2.0;

/// Megabytes that a query can be short of; no machine has more (a petabyte).
const MOST_MISSING_MB: f64 = 1e9;

/// A progress update that cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidProgressUpdate;

impl Reply<'_> {
    /// The progress update in `detail` and `v`.
    ///
    /// # Errors
    /// There is one, and it cannot be used: its kind is unknown, or its figure is missing, unreadable or out of range.
    pub fn note(&self) -> Result<Option<ProgressUpdate>, InvalidProgressUpdate> {
        let Some(kind) = self.field("detail").filter(|kind| !kind.is_empty()) else {
            let has_value = self.field("v").is_some_and(|value| !value.is_empty());
            return if has_value { Err(InvalidProgressUpdate) } else { Ok(None) };
        };
        let value = self.number("v").ok_or(InvalidProgressUpdate)?;
        match kind {
            "p" if (0.0..=1.0).contains(&value) => Ok(Some(ProgressUpdate::Progress(value))),
            "s" if (0.0..=MOST_MISSING_MB).contains(&value) => Ok(Some(ProgressUpdate::Spill(value))),
            "w" if value == WAITS_FOR_MEMORY => Ok(Some(ProgressUpdate::WaitsForMemory)),
            "w" if value == WAITS_FOR_LOAD => Ok(Some(ProgressUpdate::WaitsForLoad)),
            _ => Err(InvalidProgressUpdate),
        }
    }
}

/// Passes a progress update on to the reducer. One that cannot be used is dropped; the attempt and the others on its
/// connection go on.
pub fn handle_progress_update(connection: &Connection, reply: &Reply<'_>) -> ReplyEffect {
    let in_flight = connection.in_flight.borrow();
    let Some(attempt) = in_flight.get(reply.id) else { return ReplyEffect::Ignored };
    // The query is over once its result has begun.
    if attempt.result.is_some() {
        return ReplyEffect::Ignored;
    }
    match reply.note() {
        Ok(Some(note)) => ReplyEffect::Event(Event::ProgressUpdate(attempt.id, note)),
        Ok(None) => ReplyEffect::Ignored,
        Err(InvalidProgressUpdate) => {
            log::seldom("an engine's progress update cannot be used; it was dropped");
            ReplyEffect::Ignored
        }
    }
}
