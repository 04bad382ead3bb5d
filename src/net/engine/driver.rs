//! Driver of one connection: opens it, writes and reads until it ends, and reports the end of everything in flight on it.

use crate::core::{AttemptEnd, AttemptId, Event};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::connection::{CloseMode, ReadBuffer};
use crate::net::engine::connect::{connect, ConnectError};
use crate::net::engine::connection::Connection;
use crate::net::engine::replies::{handle_reply, ReplyEffect};
use crate::net::engine::resp::{self, Read};
use crate::net::log;
use std::ops::ControlFlow;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::time::{sleep_until, Instant};

/// Maximum length of a reply, as a multiple of the maximum size of a result.
const MAX_REPLY_IN_RESULTS: usize = 2;

/// Opens a connection, writes and reads until it ends, and reports the end of everything that was in flight on it.
pub(super) async fn run(connection: Rc<Connection>, limits: Rc<Limits>, events: Sender<Event>) {
    let stream = tokio::select! {
        stream = connect(connection.address, &limits) => stream,
        () = connection.write_queue.closed_immediately() => Err(ConnectError::Aborted),
    };
    match &stream {
        Ok(stream) => exchange(&connection, stream, &limits, &events).await,
        Err(error) => tracing::debug!(address = %connection.address, %error, "connecting to engine failed"),
    }
    let connect_failure = stream.as_ref().err().map(ConnectError::outcome);
    connection.closed.set(true);
    let unsent = connection.write_queue.unsent_attempts();
    connection.write_queue.close(CloseMode::Immediately);
    report_ended_attempts(&connection, connect_failure, &unsent, &events).await;
    report_failed_health_checks(&connection, &events).await;
}

/// Writes commands and reads replies until the connection ends.
async fn exchange(connection: &Connection, stream: &TcpStream, limits: &Limits, events: &Sender<Event>) {
    connection.connected_at.set(Some(Instant::now()));
    tracing::trace!(address = %connection.address, "connected to engine");
    let _ = stream.set_nodelay(true);
    tokio::select! {
        written = connection.write_queue.write_all(stream, limits) => drop(written),
        () = read_replies(connection, stream, limits, events) => {}
        () = report_discarded_attempts(connection, events) => {}
    }
}

/// Reports attempts that were discarded from the write queue because they must no longer be written.
async fn report_discarded_attempts(connection: &Connection, events: &Sender<Event>) {
    loop {
        let id = connection.write_queue.next_discarded_attempt().await;
        // The attempt stays in flight until it is reported: if the connection ends first, `report_ended_attempts` reports it.
        let _ = events.send(Event::AttemptEnded(id, AttemptEnd::from_outcome(Outcome::NotExecuted))).await;
        connection.remove_attempt(id);
    }
}

/// Reads replies until the engine closes the connection or sends an invalid reply.
async fn read_replies(connection: &Connection, stream: &TcpStream, limits: &Limits, events: &Sender<Event>) {
    let mut read_buffer = ReadBuffer::for_engine(connection.write_queue.shared(), connection.share.clone());
    loop {
        if handle_buffered_replies(connection, &mut read_buffer, limits, events).await.is_break() {
            return;
        }
        if receive(connection, &mut read_buffer, stream, limits).await.is_break() {
            return;
        }
    }
}

/// Handles all complete replies in the read buffer. Returns `Break` if the connection has to be closed.
async fn handle_buffered_replies(
    connection: &Connection,
    read_buffer: &mut ReadBuffer,
    limits: &Limits,
    events: &Sender<Event>,
) -> ControlFlow<()> {
    let max_unread = MAX_REPLY_IN_RESULTS * limits.max_result_bytes;
    loop {
        connection.share.turn().await;
        // The slot for the event is reserved before the reply changes any state, as this future may be dropped while it waits.
        let Ok(slot) = events.reserve().await else { return ControlFlow::Break(()) };
        let (effect, used) = match resp::read(read_buffer.unread(), limits.max_result_bytes) {
            Read::Reply(reply, used) => (handle_reply(connection, &reply, limits), used),
            Read::Incomplete if read_buffer.unread().len() <= max_unread => return ControlFlow::Continue(()),
            Read::Incomplete | Read::Invalid => (ReplyEffect::ProtocolError, 0),
        };
        read_buffer.consume(used);
        match effect {
            ReplyEffect::Ignored => {}
            ReplyEffect::Event(event) => slot.send(*event),
            // After an invalid reply, later replies cannot be assigned to attempts.
            ReplyEffect::ProtocolError => {
                log::warn_rate_limited("an engine sent an invalid reply; closing the connection");
                return ControlFlow::Break(());
            }
        }
    }
}

/// Waits for more bytes, at most for the stall timeout if a reply is incomplete. Returns `Break` if the connection has to
/// be closed.
async fn receive(
    connection: &Connection,
    read_buffer: &mut ReadBuffer,
    stream: &TcpStream,
    limits: &Limits,
) -> ControlFlow<()> {
    let complete_by = read_buffer.incomplete_since().map(|since| since + limits.engine_stall_timeout);
    tokio::select! {
        filled = read_buffer.fill(stream, limits) => {
            if !matches!(filled, Ok(true)) {
                return ControlFlow::Break(());
            }
            connection.last_received.set(Instant::now());
            ControlFlow::Continue(())
        }
        () = sleep_until_deadline(complete_by) => {
            log::warn_rate_limited(
                "an engine did not complete a reply within the stall timeout; closing the connection",
            );
            ControlFlow::Break(())
        }
    }
}

/// Waits until a deadline, or indefinitely without one.
async fn sleep_until_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

/// Reports the attempts that were in flight when the connection ended, with the outcome of the connect failure if it was
/// never established.
async fn report_ended_attempts(
    connection: &Connection,
    connect_failure: Option<Outcome>,
    unsent: &[AttemptId],
    events: &Sender<Event>,
) {
    let in_flight: Vec<_> = connection.in_flight.borrow_mut().drain().collect();
    for (_, attempt) in in_flight {
        let outcome = match connect_failure {
            Some(outcome) => outcome,
            None if unsent.contains(&attempt.id) => Outcome::NotExecuted,
            None => Outcome::Reset,
        };
        let _ = events.send(Event::AttemptEnded(attempt.id, AttemptEnd::from_outcome(outcome))).await;
    }
}

/// Reports the health checks that had no reply when the connection ended as failed.
async fn report_failed_health_checks(connection: &Connection, events: &Sender<Event>) {
    let health_checks = std::mem::take(&mut *connection.health_checks.borrow_mut());
    for (tag, _) in health_checks {
        let _ = events.send(Event::HealthChecked { number: tag, succeeded: false, report: None }).await;
    }
}
