//! Encoding of HTTP responses, and of the ClickHouse exceptions that the gateway itself answers with.

use crate::core::{Answer, EngineError, ResultRows};
use crate::interface::{ClassId, Milliseconds};
use crate::limits::Limits;
use crate::net::connection::frame::Frame;
use crate::net::front::requests::count_of_answer;
use crate::net::front::{ClientConnection, ResponseWriter};
use starlingplank_admin::metrics::CounterKey;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

const EXCEPTION_CODE_HEADER: &str = "X-ClickHouse-Exception-Code";
const QUERY_ID_HEADER: &str = "X-ClickHouse-Query-Id";
const PLAIN_TEXT: (&str, &str) = ("Content-Type", "text/plain; charset=UTF-8");

/// A ClickHouse exception.
#[derive(Debug, Clone, Copy)]
pub(super) struct Exception {
    /// HTTP status of the response.
    status: u16,
    /// ClickHouse error code.
    code: u32,
    /// ClickHouse error name.
    name: &'static str,
}

impl Exception {
    pub(super) const BAD_REQUEST: Self = Self { status: 400, code: 36, name: "BAD_ARGUMENTS" };
    pub(super) const NOT_FOUND: Self = Self { status: 404, code: 36, name: "BAD_ARGUMENTS" };
    pub(super) const BAD_METHOD: Self = Self { status: 501, code: 48, name: "NOT_IMPLEMENTED" };
    pub(super) const TOO_LARGE: Self = Self { status: 413, code: 307, name: "TOO_MANY_BYTES" };
    const TOO_MANY_QUERIES: Self = Self { status: 503, code: 202, name: "TOO_MANY_SIMULTANEOUS_QUERIES" };
    pub(super) const DUPLICATE_QUERY_ID: Self =
        Self { status: 500, code: 216, name: "QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING" };
    const TIMEOUT: Self = Self { status: 408, code: 159, name: "TIMEOUT_EXCEEDED" };
    const NETWORK: Self = Self { status: 502, code: 210, name: "NETWORK_ERROR" };
}

/// Name and value of a response header.
pub(super) type Header<'a> = (&'a str, &'a str);

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Payload Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Error",
    }
}

/// State of one connection, which has at most one open request.
pub(super) struct Session {
    /// Connection of the client.
    pub(super) connection: Rc<ClientConnection>,
    /// Resource limits and timeouts of the gateway.
    pub(super) limits: Rc<Limits>,
    /// Notified when the open request has been answered.
    pub(super) answered: Notify,
    /// Whether another request is read after this one. Cleared if the connection has to close after the current answer.
    pub(super) keep_alive: Cell<bool>,
    /// Metric under which the next response is counted.
    counter_key: Cell<Option<CounterKey>>,
}

impl Session {
    /// Creates the state of a connection from which nothing has been read.
    pub(super) fn new(connection: Rc<ClientConnection>, limits: Rc<Limits>) -> Self {
        Self {
            connection,
            limits,
            answered: Notify::new(),
            keep_alive: Cell::new(true),
            counter_key: Cell::new(None),
        }
    }

    /// Encodes the head of a response. Without a length, the body is sent in chunks.
    fn head(&self, status: u16, headers: &[Header<'_>], length: Option<usize>) -> Vec<u8> {
        let mut out = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
        for (name, value) in headers {
            out += &format!("{name}: {value}\r\n");
        }
        out += &match length {
            Some(length) => format!("Content-Length: {length}\r\n"),
            None => "Transfer-Encoding: chunked\r\n".to_owned(),
        };
        // While the process shuts down, the client must send its next request on a new connection.
        if self.connection.closes_after_answer() {
            self.keep_alive.set(false);
        }
        let connection = if self.keep_alive.get() { "Keep-Alive" } else { "Close" };
        out += &format!("Connection: {connection}\r\n\r\n");
        out.into_bytes()
    }

    /// Queues a frame to the client.
    pub(super) fn send(&self, frame: Frame) {
        self.connection.send(frame, &self.limits);
    }

    /// Sends a complete response.
    pub(super) fn send_response(&self, status: u16, headers: &[Header<'_>], body: Vec<Vec<u8>>) {
        let head = self.head(status, headers, Some(body.iter().map(Vec::len).sum()));
        let frame = Frame::from_parts(std::iter::once(head).chain(body).collect());
        self.send(Frame { counter_key: self.counter_key.take(), ..frame });
    }

    /// Sends a plain-text response.
    pub(super) fn send_text(&self, status: u16, text: &str) {
        self.send_response(status, &[PLAIN_TEXT], vec![text.as_bytes().to_vec()]);
    }

    /// Sends the exception of a rejected query, with additional headers. `Retry-After` is rounded up to full seconds, and omitted if the
    /// time is 0.
    pub(super) fn send_rejection(&self, retry_after: Milliseconds, extra_headers: &[Header<'_>]) {
        let seconds = (retry_after / 1000.0).ceil().to_string();
        let retry_after_header = (retry_after > 0.0).then_some(("Retry-After", &*seconds));
        let headers: Vec<_> = retry_after_header.into_iter().chain(extra_headers.iter().copied()).collect();
        self.send_exception(Exception::TOO_MANY_QUERIES, "Too many simultaneous queries", &headers);
    }

    /// Sends an exception with additional headers.
    pub(super) fn send_exception(&self, exception: Exception, message: &str, extra_headers: &[Header<'_>]) {
        let Exception { status, code, name } = exception;
        let text = format!("Code: {code}. DB::Exception: {message}. ({name})\n");
        let code = code.to_string();
        let headers = [PLAIN_TEXT, (EXCEPTION_CODE_HEADER, &*code)];
        self.send_response(status, &[&headers, extra_headers].concat(), vec![text.into_bytes()]);
    }
}

/// Writer of the response to one query.
pub(super) struct QueryResponse {
    /// Session of the client's connection.
    pub(super) session: Rc<Session>,
    /// Query id, as given by the client or generated.
    pub(super) name: String,
    /// Class of the query.
    pub(super) class: ClassId,
}

impl QueryResponse {
    /// Returns the headers of the engine's response, with the query id of the client instead of the engine's.
    fn headers<'a>(&'a self, rows: &'a ResultRows) -> Vec<Header<'a>> {
        let engine_headers = rows.headers.iter().map(|(name, value)| (name.as_str(), value.as_str()));
        let mut headers: Vec<Header<'_>> =
            engine_headers.filter(|(name, _)| !name.eq_ignore_ascii_case(QUERY_ID_HEADER)).collect();
        headers.push((QUERY_ID_HEADER, &self.name));
        headers
    }

    /// Forwards the error of an engine.
    fn send_engine_error(&self, error: EngineError) {
        let EngineError { status, code, text } = error;
        let code = code.to_string();
        let headers = [PLAIN_TEXT, (EXCEPTION_CODE_HEADER, &*code), (QUERY_ID_HEADER, &*self.name)];
        self.session.send_response(status, &headers, vec![text]);
    }
}

impl ResponseWriter for QueryResponse {
    fn start(&self, rows: ResultRows) {
        let head = self.session.head(200, &self.headers(&rows), None);
        self.session.send(Frame::plain(head));
        for part in rows.parts {
            self.send_chunk(part);
        }
    }

    fn send_chunk(&self, bytes: Vec<u8>) {
        if !bytes.is_empty() {
            let parts = vec![format!("{:x}\r\n", bytes.len()).into_bytes(), bytes, b"\r\n".to_vec()];
            self.session.send(Frame::from_parts(parts));
        }
    }

    fn finish(self: Box<Self>, answer: Answer) {
        let session = &self.session;
        let counter_key = (self.class.0, count_of_answer(&answer));
        session.counter_key.set(Some(counter_key));
        let query_id = (QUERY_ID_HEADER, &*self.name);
        match answer {
            Answer::Served(rows) => session.send_response(200, &self.headers(&rows), rows.parts.clone()),
            Answer::Streamed => session.send(Frame::plain(b"0\r\n\r\n".to_vec()).counted(counter_key)),
            // The last chunk is omitted, so that the client detects the truncated result.
            Answer::Aborted => {
                session.keep_alive.set(false);
                session.connection.write_queue.shared().metrics.add(counter_key);
            }
            Answer::Rejected(retry_after) => session.send_rejection(retry_after, &[query_id]),
            Answer::Expired => session.send_exception(Exception::TIMEOUT, "Timeout exceeded", &[query_id]),
            Answer::Failed(None) => {
                let message = "The query failed at its engine and may have run";
                session.send_exception(Exception::NETWORK, message, &[query_id]);
            }
            Answer::Failed(Some(error)) => self.send_engine_error(error),
        }
        session.counter_key.set(None);
        session.connection.request_closed();
        session.answered.notify_one();
    }
}
