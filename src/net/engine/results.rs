//! Pages of a result, gathered until all of them are here.

use crate::core::{End, Event, Rows};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::engine::connection::{Connection, InFlight};
use crate::net::engine::replies::ReplyEffect;
use crate::net::engine::resp::{self, Reply};
use tokio::time::Instant;

/// A result as its pages come in.
#[derive(Debug)]
pub struct PartialResult {
    pages: Vec<Option<Vec<u8>>>,
    bytes: usize,
    end: End,
    /// When the last page came.
    pub last_page_at: Instant,
}

/// A page, the first with the result's measures. The attempt has ended well once all of them are here: a page
/// that is lost is an error of an attempt that ran. A copy of a page that is here changes nothing.
pub fn handle_page(connection: &Connection, reply: &Reply<'_>, limits: &Limits) -> ReplyEffect {
    let mut in_flight = connection.in_flight.borrow_mut();
    let Some(attempt) = in_flight.get_mut(reply.id) else { return ReplyEffect::Ignored };
    let first = reply.word == b"served";
    let whole = |name: &str, most: usize| {
        reply.number(name).filter(|n| n.fract() == 0.0 && (1.0..=most as f64).contains(n)).map(|n| n as usize)
    };
    if first && attempt.result.is_none() {
        // Pages past all sense are no result, and neither is one that does not say how many it has.
        let Some(count) = whole("pages", limits.queue) else { return ReplyEffect::ProtocolError };
        let end = End { work: reply.number("cost"), report: reply.report(), ..End::plain(Outcome::Ok) };
        let pages = (0..count).map(|_| None).collect();
        attempt.result = Some(PartialResult { pages, bytes: 0, end, last_page_at: Instant::now() });
        for page in 1..count {
            connection.outbox.push(resp::command(&["turn", reply.id, &page.to_string()]), limits);
        }
    }
    let number = if first { Some(0) } else { whole("page", limits.queue) };
    let (Some(result), Some(number)) = (attempt.result.as_mut(), number) else {
        return ReplyEffect::ProtocolError;
    };
    match result.pages.get(number) {
        Some(Some(_)) => return ReplyEffect::Ignored,
        Some(None)
            if resp::has_whole_rows(reply.body) && result.bytes + reply.body.len() <= limits.result_bytes => {
        }
        _ => return ReplyEffect::ProtocolError,
    }
    result.last_page_at = Instant::now();
    result.bytes += reply.body.len();
    result.pages[number] = Some(reply.body.to_vec());
    if result.pages.iter().any(Option::is_none) {
        return ReplyEffect::Ignored;
    }
    if result.pages.len() > 1 {
        connection.outbox.push(resp::command(&["shut", reply.id]), limits);
    }
    drop(in_flight);
    let Some(InFlight { id, result: Some(result), .. }) = connection.end_attempt(reply.id) else {
        return ReplyEffect::Ignored;
    };
    let rows = Rows { parts: result.pages.into_iter().flatten().collect(), headers: Vec::new() };
    ReplyEffect::Event(Event::Ended(id, End { rows, ..result.end }))
}
