//! Interpretation of replies: the end of an attempt or of a health check, a page of a result, or a progress update.

use crate::core::{AttemptEnd, Event};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::connection::ResultMemory;
use crate::net::engine::connection::{Connection, InFlight};
use crate::net::engine::partial_result::{positive_integer, PageEffect, PartialResult};
use crate::net::engine::resp::{self, InvalidProgressUpdate, Reply};
use crate::net::log;
use tokio::time::Instant;

/// Kind of the reply to a health check that succeeded.
const HEALTHY: &[u8] = b"green";
/// Kind of the reply that contains the first page of a result.
const FIRST_PAGE: &[u8] = b"served";

/// Effect of a reply.
pub(super) enum ReplyEffect {
    /// No event: the reply belongs to nothing in flight on the connection (cancelled, unknown or a duplicate), or the
    /// attempt continues.
    Ignored,
    /// An event is sent to the reducer.
    Event(Box<Event>),
    /// The reply violates the protocol: the connection is closed.
    ProtocolError,
}

impl ReplyEffect {
    fn event(event: Event) -> Self {
        Self::Event(Box::new(event))
    }
}

/// Applies a reply to the state of the connection on which it arrived.
pub(super) fn handle_reply(connection: &Connection, reply: &Reply<'_>, limits: &Limits) -> ReplyEffect {
    if let Some(tag) = health_check_tag(connection, reply) {
        return handle_health_reply(connection, tag, reply);
    }
    match reply.kind {
        b"served" | b"rows" => handle_page(connection, reply, limits),
        b"update" => handle_progress_update(connection, reply),
        b"overload" => handle_failure(connection, reply, Outcome::Full, limits),
        b"nobody" => handle_failure(connection, reply, Outcome::NotExecuted, limits),
        b"crashed" => handle_failure(connection, reply, Outcome::Error, limits),
        _ => ReplyEffect::ProtocolError,
    }
}

/// Returns the tag of the health check that a reply answers, if it answers one. Clients may give a request a name of the same form:
/// unless it has the kind of a health check, a reply with the name of an attempt in flight belongs to the attempt.
fn health_check_tag(connection: &Connection, reply: &Reply<'_>) -> Option<u64> {
    let is_attempt = reply.kind != HEALTHY && connection.in_flight.borrow().contains_key(reply.id);
    reply.id.strip_prefix('p').filter(|_| !is_attempt)?.parse().ok()
}

fn handle_health_reply(connection: &Connection, tag: u64, reply: &Reply<'_>) -> ReplyEffect {
    if connection.health_checks.borrow_mut().remove(&tag).is_none() {
        return ReplyEffect::Ignored;
    }
    connection.last_used.set(Instant::now());
    ReplyEffect::event(Event::HealthChecked {
        number: tag,
        succeeded: reply.kind == HEALTHY,
        report: reply.load_report(),
    })
}

/// Ends an attempt that the engine reports as failed.
fn handle_failure(
    connection: &Connection,
    reply: &Reply<'_>,
    outcome: Outcome,
    limits: &Limits,
) -> ReplyEffect {
    let Some(attempt) = connection.end_attempt(reply.id) else { return ReplyEffect::Ignored };
    connection.retire_name(reply.id.to_owned(), limits);
    // An attempt whose result has started to arrive was executed, even if the reply claims otherwise.
    let outcome = if attempt.result.is_some() { Outcome::Error } else { outcome };
    let end = AttemptEnd { report: reply.load_report(), ..AttemptEnd::from_outcome(outcome) };
    ReplyEffect::event(Event::AttemptEnded(attempt.id, end))
}

/// Passes a progress update on to the reducer. An invalid one is discarded, without effect on its attempt or on others on
/// the connection.
fn handle_progress_update(connection: &Connection, reply: &Reply<'_>) -> ReplyEffect {
    let in_flight = connection.in_flight.borrow();
    let Some(attempt) = in_flight.get(reply.id) else { return ReplyEffect::Ignored };
    // The query has been executed once its result starts to arrive.
    if attempt.result.is_some() {
        return ReplyEffect::Ignored;
    }
    match reply.progress_update() {
        Ok(Some(update)) => ReplyEffect::event(Event::ProgressUpdate(attempt.id, update)),
        Ok(None) => ReplyEffect::Ignored,
        Err(InvalidProgressUpdate) => {
            log::warn_rate_limited("an engine sent an invalid progress update; discarding the update");
            ReplyEffect::Ignored
        }
    }
}

/// Adds a page to the result of its attempt. The first page also contains the work and load report. The attempt succeeds
/// once all pages have arrived; if a page is lost, it ends with an error, as it was executed.
fn handle_page(connection: &Connection, reply: &Reply<'_>, limits: &Limits) -> ReplyEffect {
    let mut in_flight = connection.in_flight.borrow_mut();
    let Some(attempt) = in_flight.get_mut(reply.id) else { return ReplyEffect::Ignored };
    let is_first = reply.kind == FIRST_PAGE;
    if is_first && attempt.result.is_none() {
        let memory = ResultMemory::new(connection.write_queue.shared());
        let Some(result) = PartialResult::begin(reply, limits, memory) else {
            return ReplyEffect::ProtocolError;
        };
        request_further_pages(connection, reply.id, result.page_count(), limits);
        attempt.result = Some(result);
    }
    let number =
        if is_first { Some(0) } else { positive_integer(reply, "page", limits.event_queue_capacity) };
    let (Some(result), Some(number)) = (attempt.result.as_mut(), number) else {
        return ReplyEffect::ProtocolError;
    };
    let effect = result.add(number, reply.body, limits);
    drop(in_flight);
    match effect {
        PageEffect::Incomplete if exceeds_memory(connection, limits) => {
            log::warn_rate_limited(
                "the memory for results is exhausted; ending an attempt whose result is incomplete",
            );
            let event = connection.abort_result(reply.id.to_owned(), limits);
            event.map_or(ReplyEffect::Ignored, ReplyEffect::event)
        }
        PageEffect::Duplicate | PageEffect::Incomplete => ReplyEffect::Ignored,
        PageEffect::Complete => end_with_result(connection, reply.id, limits),
        PageEffect::Invalid => ReplyEffect::ProtocolError,
    }
}

/// Returns whether the memory for results is exceeded, although clients that do not read were disconnected.
fn exceeds_memory(connection: &Connection, limits: &Limits) -> bool {
    let shared = connection.write_queue.shared();
    !shared.outgoing.relieve(shared.process_share(limits.memory.outgoing_bytes))
}

/// Requests all pages of a result after the first.
fn request_further_pages(connection: &Connection, name: &str, count: usize, limits: &Limits) {
    for page in 1..count {
        connection.write_queue.push(resp::command(&["turn", name, &page.to_string()]), limits);
    }
}

/// Ends an attempt whose result is complete. If the result has several pages, requests the engine to release them.
fn end_with_result(connection: &Connection, name: &str, limits: &Limits) -> ReplyEffect {
    let Some(InFlight { id, result: Some(result), .. }) = connection.end_attempt(name) else {
        return ReplyEffect::Ignored;
    };
    connection.set_served(name);
    if result.page_count() > 1 {
        connection.write_queue.push(resp::command(&["shut", name]), limits);
    }
    ReplyEffect::event(Event::AttemptEnded(id, result.into_end()))
}
