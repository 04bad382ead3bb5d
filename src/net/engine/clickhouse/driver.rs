//! Driver of one connection: opens it, writes and reads until it ends, and reports the end of its job.

use super::connection::{AttemptJob, Connection, Job};
use super::response::ResponseReader;
use crate::core::{AttemptEnd, Event};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::connection::CloseMode;
use crate::net::engine::connect::{connect, ConnectError};
use std::rc::Rc;
use tokio::sync::mpsc::Sender;

/// Opens a connection, writes and reads until it ends, and reports the end of its job.
pub(super) async fn run(connection: Rc<Connection>, limits: Rc<Limits>, events: Sender<Event>) {
    let stream = tokio::select! {
        stream = connect(connection.address, &limits) => stream,
        () = connection.write_queue.closed_immediately() => Err(ConnectError::Aborted),
    };
    if let Ok(stream) = &stream {
        let _ = stream.set_nodelay(true);
        let mut reader = ResponseReader::new(&connection, stream, &limits, &events);
        tokio::select! {
            written = connection.write_queue.write_all(stream, &limits) => drop(written),
            () = reader.read_all() => {}
            () = report_discarded_attempts(&connection, &events) => {}
        }
    }
    connection.closed.set(true);
    let unsent = connection.write_queue.unsent_attempts();
    connection.write_queue.close(CloseMode::Immediately);
    let event = match connection.end_job() {
        None => return,
        Some(Job::HealthCheck(tag)) => Event::HealthChecked { number: tag, succeeded: false, report: None },
        Some(Job::Attempt(AttemptJob { id, .. })) => {
            let outcome = match &stream {
                Err(error) => error.outcome(),
                Ok(_) if unsent.contains(&id) => Outcome::NotExecuted,
                Ok(_) => Outcome::Reset,
            };
            Event::AttemptEnded(id, AttemptEnd::from_outcome(outcome))
        }
    };
    let _ = events.send(event).await;
}

/// Reports attempts that were discarded from the write queue because they must no longer be written.
async fn report_discarded_attempts(connection: &Connection, events: &Sender<Event>) {
    loop {
        let id = connection.write_queue.next_discarded_attempt().await;
        if connection.carries(id) {
            let _ =
                events.send(Event::AttemptEnded(id, AttemptEnd::from_outcome(Outcome::NotExecuted))).await;
            connection.end_job();
        }
    }
}
