//! Session of one client connection, which handles requests one after another until the connection ends.

use super::query;
use super::request::{ReadError, RequestReader};
use super::response::Session;
use crate::interface::RequestId;
use crate::net::connection::{close_orderly, is_closed_by_peer, CloseMode, ReadBuffer, ReadProgress};
use crate::net::front::client_connection::DISCONNECT_CHECK_INTERVAL;
use crate::net::front::rules::ClassRules;
use crate::net::front::{ClientConnection, CloseReason, FrontendState};
use std::cell::Cell;
use std::ops::ControlFlow;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

/// Serves one client until its connection ends, then withdraws the query that is still open.
pub async fn serve(
    stream: TcpStream,
    connection: Rc<ClientConnection>,
    frontend: Rc<FrontendState>,
    rules: Rc<ClassRules>,
) {
    let _ = stream.set_nodelay(true);
    let limits = frontend.limits.clone();
    let session = Rc::new(Session::new(connection.clone(), limits.clone()));
    let open_query = Cell::new(None);
    let is_disconnected = tokio::select! {
        written = connection.write_queue.write_all(&stream, &limits) => {
            connection.set_write_ended();
            written.is_err()
        }
        () = handle_requests(&stream, &session, &frontend, &rules, &open_query) => connection.is_disconnected(),
    };
    // The query is withdrawn even if a part of its result has been sent.
    if let Some(id) = open_query.take() {
        frontend.withdraw(id).await;
    }
    if is_disconnected {
        connection.write_queue.close(CloseMode::Immediately);
    } else {
        let linger = connection.close_linger(&limits);
        close_orderly(stream, &connection.write_queue, &connection.share, linger, &limits).await;
    }
}

async fn handle_requests(
    stream: &TcpStream,
    session: &Rc<Session>,
    frontend: &Rc<FrontendState>,
    rules: &ClassRules,
    open_query: &Cell<Option<RequestId>>,
) {
    let mut reader = RequestReader::new(stream, session, session.connection.read_buffer());
    while session.keep_alive.get() {
        reader.buffer.turn().await;
        if !session.connection.wait_for_reader(stream, &session.limits).await {
            return;
        }
        let request = match reader.read().await {
            Ok(request) => request,
            Err(ReadError::Closed) => continue,
            Err(ReadError::Rejected { keep_alive }) => {
                session.keep_alive.set(keep_alive);
                session.send_rejection(frontend.settings.max_retry_after, &[]);
                continue;
            }
            Err(ReadError::MemoryRefused) => {
                session.keep_alive.set(false);
                session.connection.set_close_reason(CloseReason::IncomingMemoryExhausted);
                session.send_rejection(frontend.settings.max_retry_after, &[]);
                continue;
            }
            Err(ReadError::Invalid(exception, message)) => {
                session.keep_alive.set(false);
                session.connection.set_close_reason(CloseReason::MalformedMessage);
                session.send_exception(exception, message, &[]);
                continue;
            }
        };
        session.keep_alive.set(request.keep_alive);
        session.connection.set_incomplete(&reader.buffer);
        let Some(id) = query::handle(request, session, frontend, rules).await else { continue };
        open_query.set(Some(id));
        if wait_for_answer(stream, session, &mut reader.buffer).await.is_break() {
            return;
        }
        open_query.set(None);
        // A request that was sent meanwhile may have been read only in part.
        reader.buffer.begin_after_answer();
    }
    let connection = &session.connection;
    connection.set_close_reason(match connection.closes_after_answer() {
        true => CloseReason::Shutdown,
        false => CloseReason::NotPersistent,
    });
}

/// Waits until the open query is answered. Returns `Break` if the client has disconnected.
async fn wait_for_answer(stream: &TcpStream, session: &Session, buffer: &mut ReadBuffer) -> ControlFlow<()> {
    loop {
        let may_read = buffer.may_read_ahead(&session.limits);
        tokio::select! {
            () = session.answered.notified() => return ControlFlow::Continue(()),
            filled = buffer.fill(stream, &session.limits), if may_read => {
                if !matches!(filled, Ok(true)) {
                    session.connection.set_disconnected();
                    return ControlFlow::Break(());
                }
                session.connection.set_incomplete(buffer);
            }
            // A disconnect is detected even while unread bytes precede it.
            () = read_closed(stream, &session.connection.progress), if !may_read => {
                session.connection.set_disconnected();
                return ControlFlow::Break(());
            }
        }
    }
}

/// Waits until the client has closed the connection, even if bytes of it are still unread.
async fn read_closed(stream: &TcpStream, progress: &ReadProgress) {
    loop {
        let checked_at = Instant::now();
        if is_closed_by_peer(stream) {
            return;
        }
        progress.set_connected_at(checked_at);
        sleep(DISCONNECT_CHECK_INTERVAL).await;
    }
}
