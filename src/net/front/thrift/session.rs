//! Session of one client connection: reads messages, submits calls and sends their answers.

use super::call::{class_of, read_request, Fields};
use super::decode::{frame_len, incomplete_call, message, Message, FRAME_HEADER_BYTES};
use super::encode;
use crate::core::{Answer, ResultRows};
use crate::interface::{ClassId, RequestId};
use crate::limits::Limits;
use crate::net::connection::frame::Frame;
use crate::net::connection::{close_orderly, CloseMode, ReadBuffer};
use crate::net::front::requests::count_of_answer;
use crate::net::front::{ClientConnection, CloseReason, FrontendState, ReadOutcome, ResponseWriter};
use starlingplank_admin::metrics::Count;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::net::TcpStream;

/// State of the session on one connection.
struct Session {
    connection: Rc<ClientConnection>,
    limits: Rc<Limits>,
    /// Request ids of the open calls, by sequence number.
    open_calls: RefCell<HashMap<i32, RequestId>>,
    /// Sequence number of the last call, or of the last health check that continued the sequence; initially 0, as
    /// sequences start at 1.
    last_seqid: Cell<i32>,
}

/// Error of a client that sent a sequence number out of order, or the name of a request that is still open on its
/// connection. The connection is closed, because answers could not be matched to calls.
enum ProtocolViolation {
    OutOfSequence,
    DuplicateName,
}

impl ProtocolViolation {
    fn close_reason(&self) -> CloseReason {
        match self {
            Self::OutOfSequence => CloseReason::OutOfSequence,
            Self::DuplicateName => CloseReason::DuplicateName,
        }
    }
}

/// Writer of the answer to one call.
struct CallResponse {
    session: Rc<Session>,
    seqid: i32,
    class: ClassId,
}

impl ResponseWriter for CallResponse {
    // Answers of this protocol are not streamed, because its statements have no flow control.
    fn start(&self, _: ResultRows) {}
    fn send_chunk(&self, _: Vec<u8>) {}

    fn finish(self: Box<Self>, answer: Answer) {
        self.session.close_call(self.seqid);
        let count = count_of_answer(&answer);
        let frame = match answer {
            Answer::Served(rows) => encode::answer("call", self.seqid, rows, true),
            Answer::Rejected(retry_after) => encode::overloaded(self.seqid, retry_after),
            Answer::Failed(_) | Answer::Aborted | Answer::Streamed => encode::internal(self.seqid, "failed"),
            Answer::Expired => encode::internal(self.seqid, "out of time"),
        };
        self.session.send(frame.counted((self.class.0, count)));
    }
}

/// Serves one client until its connection ends, then withdraws the calls that are still open.
pub async fn serve(stream: TcpStream, connection: Rc<ClientConnection>, frontend: Rc<FrontendState>) {
    let limits = frontend.limits.clone();
    let session = Rc::new(Session {
        connection: connection.clone(),
        limits: limits.clone(),
        open_calls: RefCell::default(),
        last_seqid: Cell::new(0),
    });
    let _ = stream.set_nodelay(true);
    let is_disconnected = tokio::select! {
        written = connection.write_queue.write_all(&stream, &limits) => {
            connection.set_write_ended();
            written.is_err()
        }
        () = read_messages(&stream, &session, &frontend) => connection.is_disconnected(),
    };
    let open_calls: Vec<_> = session.open_calls.borrow_mut().drain().map(|(_, id)| id).collect();
    frontend.abandon(&open_calls);
    for id in open_calls {
        frontend.withdraw(id).await;
    }
    if is_disconnected {
        connection.write_queue.close(CloseMode::Immediately);
    } else {
        let linger = connection.close_linger(&limits);
        close_orderly(stream, &connection.write_queue, &connection.share, linger, &limits).await;
    }
}

/// Reads and handles messages until the connection has ended or has to be closed.
async fn read_messages(stream: &TcpStream, session: &Rc<Session>, frontend: &Rc<FrontendState>) {
    let limits = &session.limits;
    let mut read_buffer = session.connection.read_buffer();
    loop {
        while let Some(length) = frame_len(read_buffer.unread()) {
            read_buffer.turn().await;
            if !session.connection.wait_for_reader(stream, limits).await {
                return;
            }
            if length > limits.max_message_bytes {
                return session.connection.set_close_reason(CloseReason::MessageTooLong);
            }
            let Some(frame) = read_buffer.unread().get(FRAME_HEADER_BYTES..length) else {
                read_buffer.expect_message(length);
                break;
            };
            let Some(message) = message(frame) else {
                return session.connection.set_close_reason(CloseReason::MalformedMessage);
            };
            if let Err(violation) = session.handle_message(message, frontend).await {
                return session.connection.set_close_reason(violation.close_reason());
            }
            read_buffer.consume(length);
        }
        match session.connection.read(&mut read_buffer, stream, limits).await {
            ReadOutcome::Received => {}
            ReadOutcome::Ended => return,
            ReadOutcome::MemoryRefused => {
                if !session.reject_incomplete_call(&mut read_buffer, stream, frontend).await {
                    return;
                }
            }
        }
    }
}

impl Session {
    fn send(&self, frame: Frame) {
        self.connection.send(frame, &self.limits);
    }

    /// Sends an answer to a call that is not submitted to the reducer, counted if the class of the call is known.
    fn send_direct_answer(&self, frame: Frame, class: Option<ClassId>, count: Count) {
        self.send(match class {
            Some(class) => frame.counted((class.0, count)),
            None => frame,
        });
    }

    fn close_call(&self, seqid: i32) {
        if self.open_calls.borrow_mut().remove(&seqid).is_some() {
            self.connection.request_closed();
        }
    }

    async fn handle_message(
        self: &Rc<Self>,
        message: Message<'_>,
        frontend: &Rc<FrontendState>,
    ) -> Result<(), ProtocolViolation> {
        match message {
            Message::Health(seqid) => self.answer_health(seqid, frontend),
            Message::Unknown(seqid, method) => self.send(encode::exception(seqid, method)),
            Message::Cancel(seqid) => self.cancel(seqid, frontend).await,
            Message::Call { seqid, fields, body } => {
                return self.handle_call(seqid, &fields, body, frontend).await;
            }
        }
        Ok(())
    }

    fn answer_health(&self, seqid: i32, frontend: &FrontendState) {
        if self.last_seqid.get().checked_add(1) == Some(seqid) {
            self.last_seqid.set(seqid);
        }
        let is_healthy =
            !frontend.shutdown_phase().reports_unhealthy() && !frontend.awaits_endpoint_list.get();
        self.send(encode::answer("health", seqid, ResultRows::default(), is_healthy));
    }

    async fn cancel(&self, seqid: i32, frontend: &FrontendState) {
        let id = self.open_calls.borrow().get(&seqid).copied();
        if let Some(id) = id {
            // The call stays open until the reducer is notified, as the connection may end during this wait.
            frontend.withdraw(id).await;
            self.close_call(seqid);
        }
    }

    /// Submits a call to the reducer, or answers it directly if it is rejected or invalid.
    async fn handle_call(
        self: &Rc<Self>,
        seqid: i32,
        fields: &Fields<'_>,
        body: &[u8],
        frontend: &Rc<FrontendState>,
    ) -> Result<(), ProtocolViolation> {
        self.check_sequence(seqid)?;
        if self.open_calls.borrow().len() >= self.limits.max_open_per_connection {
            let frame = encode::overloaded(seqid, frontend.settings.max_retry_after);
            self.send_direct_answer(frame, class_of(fields, frontend), Count::Deferred);
            return Ok(());
        }
        let same_name = fields.get("txn").and_then(|name| frontend.open_request_named(name));
        if same_name.is_some_and(|id| self.open_calls.borrow().values().any(|open| *open == id)) {
            return Err(ProtocolViolation::DuplicateName);
        }
        let request = match read_request(fields, body, &self.connection, frontend) {
            Ok(request) => request,
            Err(invalid) => {
                let frame = encode::internal(seqid, &invalid.to_string());
                self.send_direct_answer(frame, class_of(fields, frontend), Count::Errored);
                return Ok(());
            }
        };
        if same_name.is_some() {
            let frame = encode::internal(seqid, "txn is that of another open request");
            self.send_direct_answer(frame, Some(request.class), Count::Errored);
            return Ok(());
        }
        let id = frontend.allocate_request_id();
        self.open_calls.borrow_mut().insert(seqid, id);
        self.connection.request_opened();
        let response = CallResponse { session: self.clone(), seqid, class: request.class };
        frontend.submit(id, Box::new(response), request).await;
        Ok(())
    }

    /// Discards the call at the front, which is incomplete, and rejects it once all of it has arrived. Returns false if the connection
    /// has ended or has to be closed.
    async fn reject_incomplete_call(
        &self,
        read_buffer: &mut ReadBuffer,
        stream: &TcpStream,
        frontend: &FrontendState,
    ) -> bool {
        let Some(call) = incomplete_call(read_buffer.unread()) else {
            self.connection.set_close_reason(CloseReason::IncomingMemoryExhausted);
            return false;
        };
        self.connection.warn_of_refused_memory();
        read_buffer.discard_message(call.length);
        while read_buffer.is_discarding() {
            if self.connection.read(read_buffer, stream, &self.limits).await != ReadOutcome::Received {
                return false;
            }
        }
        if let Err(violation) = self.check_sequence(call.seqid) {
            self.connection.set_close_reason(violation.close_reason());
            return false;
        }
        let frame = encode::overloaded(call.seqid, frontend.settings.max_retry_after);
        self.send_direct_answer(frame, None, Count::Deferred);
        true
    }

    /// Checks that the sequence numbers of a connection start at 1 and increase. A client that starts with another number is
    /// rejected: its calls add nothing to the retry budget, and must not use up the retries of other clients.
    fn check_sequence(&self, seqid: i32) -> Result<(), ProtocolViolation> {
        let last = self.last_seqid.get();
        if seqid <= last || last == 0 && seqid != 1 {
            return Err(ProtocolViolation::OutOfSequence);
        }
        self.last_seqid.set(seqid);
        Ok(())
    }
}
