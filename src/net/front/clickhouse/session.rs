//! Session of one client connection, which handles requests one after another until the connection ends.

use super::query;
use super::request::{ReadError, RequestReader};
use super::response::Session;
use crate::interface::RequestId;
use crate::net::connection::{close_orderly, CloseMode, ReadBuffer};
use crate::net::front::rules::ClassRules;
use crate::net::front::{ClientConnection, CloseReason, FrontendState};
use std::cell::Cell;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Interval of checks whether a client has disconnected while its pipelined bytes are not read. It is short enough for the
/// reducer to be notified of a disconnect within 100 ms.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(25);

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
        close_orderly(stream, &connection.write_queue, connection.close_linger(&limits), &limits).await;
    }
}

async fn handle_requests(
    stream: &TcpStream,
    session: &Rc<Session>,
    frontend: &Rc<FrontendState>,
    rules: &ClassRules,
    open_query: &Cell<Option<RequestId>>,
) {
    let mut reader = RequestReader::new(stream, session, ReadBuffer::for_client(frontend.shared.clone()));
    while session.keep_alive.get() {
        let request = match reader.read().await {
            Ok(request) => request,
            Err(ReadError::Closed) => continue,
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
        reader.buffer.restart_message_timeout();
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
        // At most `read_chunk_bytes` of pipelined requests are read ahead.
        let may_read = buffer.unread().len() < session.limits.read_chunk_bytes;
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
            () = read_closed(stream), if !may_read => {
                session.connection.set_disconnected();
                return ControlFlow::Break(());
            }
        }
    }
}

/// Waits until the client has closed the connection, even if bytes of it are still unread.
async fn read_closed(stream: &TcpStream) {
    while stream.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
        tokio::time::sleep(DISCONNECT_CHECK_INTERVAL).await;
    }
}
