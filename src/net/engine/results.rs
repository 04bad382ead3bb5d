//! Pages of a result, gathered until all of them have arrived.

use crate::core::{AttemptEnd, Event, ResultRows};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::engine::connection::{Connection, InFlight};
use crate::net::engine::replies::ReplyEffect;
use crate::net::engine::resp::{self, Reply};
use tokio::time::Instant;

/// The word of a reply that brings the first page.
const FIRST_PAGE: &[u8] = b"served";

/// A result while its pages arrive.
#[derive(Debug)]
pub struct PartialResult {
    pages: Vec<Option<Vec<u8>>>,
    bytes: usize,
    end: AttemptEnd,
    last_page_at: Instant,
}

/// What a page does to a result.
enum PageEffect {
    /// The page has been received before.
    Duplicate,
    /// Further pages are awaited.
    Incomplete,
    /// It is the last page that was awaited.
    Complete,
    /// The result has no such page, or the page is malformed or too long.
    Invalid,
}

impl PartialResult {
    /// A result of which the first reply has come. None: the reply does not say how many pages there are, or says more
    /// than an engine sends.
    fn begin(reply: &Reply<'_>, limits: &Limits) -> Option<Self> {
        let count = positive_integer(reply, "pages", limits.event_queue_capacity)?;
        let end = AttemptEnd {
            work: reply.number("cost"),
            report: reply.report(),
            ..AttemptEnd::plain(Outcome::Ok)
        };
        let pages = (0..count).map(|_| None).collect();
        Some(Self { pages, bytes: 0, end, last_page_at: Instant::now() })
    }

    /// When the last page arrived.
    pub fn last_page_at(&self) -> Instant {
        self.last_page_at
    }

    fn add(&mut self, number: usize, body: &[u8], limits: &Limits) -> PageEffect {
        match self.pages.get(number) {
            None => return PageEffect::Invalid,
            Some(Some(_)) => return PageEffect::Duplicate,
            Some(None) => {}
        }
        if !resp::has_whole_rows(body) || self.bytes + body.len() > limits.max_result_bytes {
            return PageEffect::Invalid;
        }
        self.last_page_at = Instant::now();
        self.bytes += body.len();
        self.pages[number] = Some(body.to_vec());
        if self.pages.iter().any(Option::is_none) {
            return PageEffect::Incomplete;
        }
        PageEffect::Complete
    }

    fn into_end(self) -> AttemptEnd {
        let rows = ResultRows { parts: self.pages.into_iter().flatten().collect(), headers: Vec::new() };
        AttemptEnd { rows, ..self.end }
    }
}

/// Applies a page to the result of its attempt. The first one also carries the measures of the result. The attempt
/// succeeds once all pages are here; a page that is lost is an error of an attempt that was executed.
pub fn handle_page(connection: &Connection, reply: &Reply<'_>, limits: &Limits) -> ReplyEffect {
    let mut in_flight = connection.in_flight.borrow_mut();
    let Some(attempt) = in_flight.get_mut(reply.id) else { return ReplyEffect::Ignored };
    let is_first = reply.word == FIRST_PAGE;
    if is_first && attempt.result.is_none() {
        let Some(result) = PartialResult::begin(reply, limits) else { return ReplyEffect::ProtocolError };
        request_further_pages(connection, reply.id, result.pages.len(), limits);
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
        PageEffect::Duplicate | PageEffect::Incomplete => ReplyEffect::Ignored,
        PageEffect::Complete => end_with_result(connection, reply.id, limits),
        PageEffect::Invalid => ReplyEffect::ProtocolError,
    }
}

/// Asks for all pages after the first.
fn request_further_pages(connection: &Connection, name: &str, count: usize, limits: &Limits) {
    for page in 1..count {
        connection.write_queue.push(resp::command(&["turn", name, &page.to_string()]), limits);
    }
}

/// Ends an attempt whose result is complete. An engine that sent several pages is told to release them.
fn end_with_result(connection: &Connection, name: &str, limits: &Limits) -> ReplyEffect {
    let Some(InFlight { id, result: Some(result), .. }) = connection.end_attempt(name) else {
        return ReplyEffect::Ignored;
    };
    if result.pages.len() > 1 {
        connection.write_queue.push(resp::command(&["shut", name]), limits);
    }
    ReplyEffect::Event(Event::AttemptEnded(id, result.into_end()))
}

/// The value of a field that is a whole number from 1 to `most`.
fn positive_integer(reply: &Reply<'_>, field: &str, most: usize) -> Option<usize> {
    let value = reply.number(field)?;
    let is_valid = value.fract() == 0.0 && (1.0..=most as f64).contains(&value);
    is_valid.then_some(value as usize)
}
