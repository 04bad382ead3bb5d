//! Pages of a result, gathered until all of them are here.

use crate::core::{End, Event, Rows};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::engine::connection::{Conn, Flight};
use crate::net::engine::replies::Taken;
use crate::net::engine::resp::{self, Reply};
use tokio::time::Instant;

/// A result as its pages come in.
#[derive(Debug)]
pub struct Pages {
    parts: Vec<Option<Vec<u8>>>,
    bytes: usize,
    end: End,
    /// When the last page came.
    pub since: Instant,
}

/// A page, the first with the result's measures. The attempt has ended well once all of them are here: a page
/// that is lost is an error of an attempt that ran. A copy of a page that is here changes nothing.
pub fn take_page(conn: &Conn, reply: &Reply<'_>, limits: &Limits) -> Taken {
    let mut flights = conn.flights.borrow_mut();
    let Some(flight) = flights.get_mut(reply.id) else { return Taken::Nothing };
    let first = reply.word == b"served";
    let whole = |name: &str, most: usize| {
        reply.number(name).filter(|n| n.fract() == 0.0 && (1.0..=most as f64).contains(n)).map(|n| n as usize)
    };
    if first && flight.pages.is_none() {
        // Pages past all sense are no result, and neither is one that does not say how many it has.
        let Some(count) = whole("pages", limits.queue) else { return Taken::Spoilt };
        let end = End { work: reply.number("cost"), report: reply.report(), ..End::plain(Outcome::Ok) };
        let parts = (0..count).map(|_| None).collect();
        flight.pages = Some(Pages { parts, bytes: 0, end, since: Instant::now() });
        for page in 1..count {
            conn.out.push(resp::say(&["turn", reply.id, &page.to_string()]), limits);
        }
    }
    let number = if first { Some(0) } else { whole("page", limits.queue) };
    let (Some(pages), Some(number)) = (flight.pages.as_mut(), number) else { return Taken::Spoilt };
    match pages.parts.get(number) {
        Some(Some(_)) => return Taken::Nothing,
        Some(None) if resp::rows(reply.body) && pages.bytes + reply.body.len() <= limits.result_bytes => {}
        _ => return Taken::Spoilt,
    }
    pages.since = Instant::now();
    pages.bytes += reply.body.len();
    pages.parts[number] = Some(reply.body.to_vec());
    if pages.parts.iter().any(Option::is_none) {
        return Taken::Nothing;
    }
    if pages.parts.len() > 1 {
        conn.out.push(resp::say(&["shut", reply.id]), limits);
    }
    drop(flights);
    let Some(Flight { id, pages: Some(pages), .. }) = conn.end(reply.id) else { return Taken::Nothing };
    let rows = Rows { parts: pages.parts.into_iter().flatten().collect(), headers: Vec::new() };
    Taken::News(Event::Ended(id, End { rows, ..pages.end }))
}
