//! The meaning of a reply: the outcome of an attempt, the result of a probe, or news of an attempt that goes on.

use crate::core::{AttemptEnd, Event};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::engine::connection::Connection;
use crate::net::engine::progress::handle_progress_update;
use crate::net::engine::resp::Reply;
use crate::net::engine::results::handle_page;
use tokio::time::Instant;

/// What a reply leads to.
pub enum ReplyEffect {
    /// Nothing: the reply belongs to nothing that is open on the connection (cancelled, unknown, or a duplicate), or
    /// the attempt goes on.
    Ignored,
    /// News for the reducer.
    Event(Event),
    /// The reply breaks the protocol: the connection is closed.
    ProtocolError,
}

/// Applies a reply to the connection that it came on.
pub fn handle_reply(connection: &Connection, reply: &Reply<'_>, limits: &Limits) -> ReplyEffect {
    if let Some(tag) = probe_tag(reply) {
        return handle_probe_reply(connection, tag, reply);
    }
    match reply.word {
        b"served" | b"rows" => handle_page(connection, reply, limits),
        b"update" => handle_progress_update(connection, reply),
        b"overload" => handle_failure(connection, reply, Outcome::Full, limits),
        b"nobody" => handle_failure(connection, reply, Outcome::NotExecuted, limits),
        b"crashed" => handle_failure(connection, reply, Outcome::Error, limits),
        _ => ReplyEffect::ProtocolError,
    }
}

/// The tag of the probe that a reply answers, if it answers one.
fn probe_tag(reply: &Reply<'_>) -> Option<u64> {
    reply.id.strip_prefix('p')?.parse().ok()
}

fn handle_probe_reply(connection: &Connection, tag: u64, reply: &Reply<'_>) -> ReplyEffect {
    if connection.probes.borrow_mut().remove(&tag).is_none() {
        return ReplyEffect::Ignored;
    }
    connection.last_used.set(Instant::now());
    ReplyEffect::Event(Event::HealthChecked(tag, reply.word == b"green", reply.report()))
}

/// Ends an attempt that has no result.
fn handle_failure(
    connection: &Connection,
    reply: &Reply<'_>,
    outcome: Outcome,
    limits: &Limits,
) -> ReplyEffect {
    let Some(attempt) = connection.end_attempt(reply.id) else { return ReplyEffect::Ignored };
    connection.retire_id(reply.id.to_owned(), limits);
    // An attempt whose result has begun was executed, whatever the reply says.
    let outcome = if attempt.result.is_some() { Outcome::Error } else { outcome };
    let end = AttemptEnd { report: reply.report(), ..AttemptEnd::plain(outcome) };
    ReplyEffect::Event(Event::AttemptEnded(attempt.id, end))
}
