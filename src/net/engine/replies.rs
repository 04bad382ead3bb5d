//! The meaning of a reply: the outcome of an attempt, the answer to a probe, or news of an attempt that goes on.

use crate::core::{End, Event};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::engine::connection::Connection;
use crate::net::engine::progress::handle_progress_update;
use crate::net::engine::resp::Reply;
use crate::net::engine::results::handle_page;
use tokio::time::Instant;

/// What an answer brings.
pub enum ReplyEffect {
    /// It is to nothing that is open here: given up, unknown, or a second copy.
    Ignored,
    Event(Event),
    /// It is none that an engine in order would give.
    ProtocolError,
}

/// What an answer means.
pub fn handle_reply(connection: &Connection, reply: &Reply<'_>, limits: &Limits) -> ReplyEffect {
    if let Some(tag) = reply.id.strip_prefix('p').and_then(|t| t.parse().ok()) {
        if connection.probes.borrow_mut().remove(&tag).is_none() {
            return ReplyEffect::Ignored;
        }
        connection.last_used.set(Instant::now());
        return ReplyEffect::Event(Event::Probed(tag, reply.word == b"green", reply.report()));
    }
    let outcome = match reply.word {
        b"served" | b"rows" => return handle_page(connection, reply, limits),
        b"overload" => Outcome::Full,
        b"nobody" => Outcome::Moot,
        b"crashed" => Outcome::Error,
        b"update" => return handle_progress_update(connection, reply, limits),
        _ => return ReplyEffect::ProtocolError,
    };
    let Some(attempt) = connection.end_attempt(reply.id) else { return ReplyEffect::Ignored };
    // What ran far enough to have pages has run, whatever is said of it now.
    let outcome = if attempt.result.is_some() { Outcome::Error } else { outcome };
    ReplyEffect::Event(Event::Ended(attempt.id, End { report: reply.report(), ..End::plain(outcome) }))
}
