//! Drives one connection: opens it, writes and reads until it ends, and tells what became of all that was open on it.

use crate::core::{End, Event};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::conn::{Close, Inbox};
use crate::net::engine::connection::Conn;
use crate::net::engine::replies::{take, Taken};
use crate::net::engine::resp::{self, Read};
use crate::net::log;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::time::{sleep_until, timeout, Instant};

/// Opens a connection, then writes and reads until it ends; tells what became of all that was on it.
pub async fn run(conn: Rc<Conn>, limits: Rc<Limits>, events: Sender<Event>) {
    let stream = match timeout(limits.connect, TcpStream::connect(conn.address)).await {
        Ok(Ok(stream)) => Some(stream),
        Ok(Err(e)) => {
            tracing::trace!("connection to {} failed: {e}", conn.address);
            None
        }
        Err(_) => {
            tracing::trace!("connection to {} failed: not up in time", conn.address);
            None
        }
    };
    if let Some(stream) = &stream {
        conn.up.set(Some(Instant::now()));
        tracing::trace!("connection to {} is up", conn.address);
        let _ = stream.set_nodelay(true);
        tokio::select! {
            ended = conn.out.write_all(stream, &limits) => drop(ended),
            () = read(&conn, stream, &limits, &events) => {}
            () = drop_overdue(&conn, &events) => {}
        }
    }
    conn.dead.set(true);
    let unsent = conn.out.unsent();
    conn.out.close(Close::Now);
    let flights: Vec<_> = conn.flights.borrow_mut().drain().collect();
    for (_, flight) in flights {
        let outcome = match (&stream, unsent.contains(&flight.id)) {
            (None, _) => Outcome::ConnectFailed,
            (Some(_), true) => Outcome::Moot,
            (Some(_), false) => Outcome::Reset,
        };
        let _ = events.send(Event::Ended(flight.id, End::plain(outcome))).await;
    }
    let probes = std::mem::take(&mut *conn.probes.borrow_mut());
    for (tag, _) in probes {
        let _ = events.send(Event::Probed(tag, false, None)).await;
    }
}

/// Tells of attempts that could not leave in time.
async fn drop_overdue(conn: &Conn, events: &Sender<Event>) {
    loop {
        let id = conn.out.overdue().await;
        // Held until it is told: a connection that ends meanwhile ends what is on it.
        let _ = events.send(Event::Ended(id, End::plain(Outcome::Moot))).await;
        conn.flights.borrow_mut().retain(|_, f| f.id != id);
    }
}

async fn read(conn: &Conn, stream: &TcpStream, limits: &Limits, events: &Sender<Event>) {
    let mut inbox = Inbox::new(conn.out.common());
    loop {
        loop {
            let (taken, used) = match resp::read(inbox.unread(), limits.result_bytes) {
                Read::Reply(reply, used) => (take(conn, &reply, limits), used),
                Read::More if inbox.unread().len() > 2 * limits.result_bytes => (Taken::Spoilt, 0),
                Read::More => break,
                Read::Bad => (Taken::Spoilt, 0),
            };
            inbox.used(used);
            match taken {
                Taken::Nothing => {}
                Taken::News(event) => {
                    if events.send(event).await.is_err() {
                        return;
                    }
                }
                // Whatever follows on this connection, nobody can tell what it answers.
                Taken::Spoilt => {
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
                conn.heard.set(Instant::now());
            }
            () = stuck => {
                return log::seldom(limits, "an engine stopped inside an answer; the connection was closed");
            }
        }
    }
}
