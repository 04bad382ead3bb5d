//! Drives one connection: opens it, writes and reads until it ends, and tells what became of all that was open on it.

use crate::core::{End, Event};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::conn::{Close, Inbox};
use crate::net::engine::connection::Connection;
use crate::net::engine::replies::{handle_reply, ReplyEffect};
use crate::net::engine::resp::{self, Read};
use crate::net::log;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::time::{sleep_until, timeout, Instant};

/// Opens a connection, then writes and reads until it ends; tells what became of all that was on it.
pub async fn run(connection: Rc<Connection>, limits: Rc<Limits>, events: Sender<Event>) {
    let stream = match timeout(limits.connect, TcpStream::connect(connection.address)).await {
        Ok(Ok(stream)) => Some(stream),
        Ok(Err(e)) => {
            tracing::trace!("connection to {} failed: {e}", connection.address);
            None
        }
        Err(_) => {
            tracing::trace!("connection to {} failed: not up in time", connection.address);
            None
        }
    };
    if let Some(stream) = &stream {
        connection.connected_at.set(Some(Instant::now()));
        tracing::trace!("connection to {} is up", connection.address);
        let _ = stream.set_nodelay(true);
        tokio::select! {
            ended = connection.outbox.write_all(stream, &limits) => drop(ended),
            () = read_replies(&connection, stream, &limits, &events) => {}
            () = report_overdue(&connection, &events) => {}
        }
    }
    connection.closed.set(true);
    let unsent = connection.outbox.unsent();
    connection.outbox.close(Close::Now);
    let in_flight: Vec<_> = connection.in_flight.borrow_mut().drain().collect();
    for (_, attempt) in in_flight {
        let outcome = match (&stream, unsent.contains(&attempt.id)) {
            (None, _) => Outcome::ConnectFailed,
            (Some(_), true) => Outcome::Moot,
            (Some(_), false) => Outcome::Reset,
        };
        let _ = events.send(Event::Ended(attempt.id, End::plain(outcome))).await;
    }
    let probes = std::mem::take(&mut *connection.probes.borrow_mut());
    for (tag, _) in probes {
        let _ = events.send(Event::Probed(tag, false, None)).await;
    }
}

/// Tells of attempts that could not leave in time.
async fn report_overdue(connection: &Connection, events: &Sender<Event>) {
    loop {
        let id = connection.outbox.overdue().await;
        // Held until it is told: a connection that ends meanwhile ends what is on it.
        let _ = events.send(Event::Ended(id, End::plain(Outcome::Moot))).await;
        connection.in_flight.borrow_mut().retain(|_, f| f.id != id);
    }
}

async fn read_replies(connection: &Connection, stream: &TcpStream, limits: &Limits, events: &Sender<Event>) {
    let mut inbox = Inbox::new(connection.outbox.common());
    loop {
        loop {
            let (effect, used) = match resp::read(inbox.unread(), limits.result_bytes) {
                Read::Reply(reply, used) => (handle_reply(connection, &reply, limits), used),
                Read::More if inbox.unread().len() > 2 * limits.result_bytes => {
                    (ReplyEffect::ProtocolError, 0)
                }
                Read::More => break,
                Read::Bad => (ReplyEffect::ProtocolError, 0),
            };
            inbox.used(used);
            match effect {
                ReplyEffect::Ignored => {}
                ReplyEffect::Event(event) => {
                    if events.send(event).await.is_err() {
                        return;
                    }
                }
                // Whatever follows on this connection, nobody can tell what it answers.
                ReplyEffect::ProtocolError => {
                    return log::seldom(
                        limits,
                        "an engine's answer cannot be used; the connection was closed",
                    );
                }
            }
        }
        let stuck = inbox.since().map(|since| since + limits.engine_silent);
        let stuck = async move {
            match stuck {
                Some(until) => sleep_until(until).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            more = inbox.fill(stream, limits) => {
                if !matches!(more, Ok(true)) {
                    return;
                }
                connection.last_received.set(Instant::now());
            }
            () = stuck => {
                return log::seldom(limits, "an engine stopped inside an answer; the connection was closed");
            }
        }
    }
}
