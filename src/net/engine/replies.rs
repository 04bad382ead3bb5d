//! The meaning of a reply: the outcome of an attempt, the answer to a probe, or news of an attempt that goes on.

use crate::core::{End, Event};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::engine::connection::Conn;
use crate::net::engine::progress::take_update;
use crate::net::engine::resp::Reply;
use crate::net::engine::results::take_page;
use tokio::time::Instant;

/// What an answer brings.
pub enum Taken {
    /// It is to nothing that is open here: given up, unknown, or a second copy.
    Nothing,
    News(Event),
    /// It is none that an engine in order would give.
    Spoilt,
}

/// What an answer means.
pub fn take(conn: &Conn, reply: &Reply<'_>, limits: &Limits) -> Taken {
    if let Some(tag) = reply.id.strip_prefix('p').and_then(|t| t.parse().ok()) {
        if conn.probes.borrow_mut().remove(&tag).is_none() {
            return Taken::Nothing;
        }
        conn.used.set(Instant::now());
        return Taken::News(Event::Probed(tag, reply.word == b"green", reply.report()));
    }
    let outcome = match reply.word {
        b"served" | b"rows" => return take_page(conn, reply, limits),
        b"overload" => Outcome::Full,
        b"nobody" => Outcome::Moot,
        b"crashed" => Outcome::Error,
        b"update" => return take_update(conn, reply, limits),
        _ => return Taken::Spoilt,
    };
    let Some(flight) = conn.end(reply.id) else { return Taken::Nothing };
    // What ran far enough to have pages has run, whatever is said of it now.
    let outcome = if flight.pages.is_some() { Outcome::Error } else { outcome };
    Taken::News(Event::Ended(flight.id, End { report: reply.report(), ..End::plain(outcome) }))
}
