//! The ClickHouse HTTP interface, for clients that speak it: the same requests, deadlines and answers as the
//! platform's protocol, in that interface's words.

use crate::core::{Answer, EngineError, FlowControl, ResultRows, Statement};
use crate::interface::{ClassId, Idempotency, RequestId};
use crate::limits::Limits;
use crate::net::connection::frame::Frame;
use crate::net::connection::{close_orderly, CloseMode, ReadBuffer};
use crate::net::front::rules::ClassRules;
use crate::net::front::{count_of_answer, ClientConnection, FrontendState, ReceivedRequest, ResponseWriter};
use crate::net::http::{self, Head, Length, Read};
use crate::net::log;
use sha2::{Digest, Sha256};
use starlingplank_admin::metrics::Tally;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;

// Codes of ClickHouse's own exceptions.
const BAD_REQUEST: (u16, u32, &str) = (400, 36, "BAD_ARGUMENTS");
const NOT_FOUND: (u16, u32, &str) = (404, 36, "BAD_ARGUMENTS");
const BAD_METHOD: (u16, u32, &str) = (501, 48, "NOT_IMPLEMENTED");
const TOO_LARGE: (u16, u32, &str) = (413, 307, "TOO_MANY_BYTES");
const TOO_MANY: (u16, u32, &str) = (503, 202, "TOO_MANY_SIMULTANEOUS_QUERIES");
const SAME_NAME: (u16, u32, &str) = (500, 216, "QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING");
const TIMEOUT: (u16, u32, &str) = (408, 159, "TIMEOUT_EXCEEDED");
const NETWORK: (u16, u32, &str) = (502, 210, "NETWORK_ERROR");

/// Between two looks at whether a client has gone whose further bytes are not read yet. One that has is to be heard within
/// a tenth of a second.
const LOOK: Duration = Duration::from_millis(25);

struct Session {
    connection: Rc<ClientConnection>,
    limits: Rc<Limits>,
    answered: Notify,
    /// Cleared by an answer that can not be followed by another.
    keep: Cell<bool>,
    /// What the next answer is counted as.
    tally: Cell<Option<Tally>>,
}

struct Caller {
    session: Rc<Session>,
    name: String,
    class: ClassId,
}

fn reason(status: u16) -> &'static str {
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

impl Session {
    fn head(&self, status: u16, headers: &[(&str, &str)], length: Option<usize>) -> Vec<u8> {
        let mut out = format!("HTTP/1.1 {status} {}\r\n", reason(status));
        for (name, value) in headers {
            out += &format!("{name}: {value}\r\n");
        }
        out += &match length {
            Some(length) => format!("Content-Length: {length}\r\n"),
            None => "Transfer-Encoding: chunked\r\n".to_owned(),
        };
        // The next request is for the process that takes over.
        if self.connection.closes_after_answer() {
            self.keep.set(false);
        }
        out += if self.keep.get() { "Connection: Keep-Alive\r\n\r\n" } else { "Connection: Close\r\n\r\n" };
        out.into_bytes()
    }

    fn say(&self, status: u16, headers: &[(&str, &str)], body: Vec<Vec<u8>>) {
        let head = self.head(status, headers, Some(body.iter().map(Vec::len).sum()));
        let frame = Frame::from_parts(std::iter::once(head).chain(body).collect());
        self.connection.send(Frame { tally: self.tally.take(), ..frame }, &self.limits);
    }

    fn fail(&self, (status, code, name): (u16, u32, &str), what: &str, more: &[(&str, &str)]) {
        let text = format!("Code: {code}. DB::Exception: {what}. ({name})\n");
        let code = code.to_string();
        let headers =
            [("Content-Type", "text/plain; charset=UTF-8"), ("X-ClickHouse-Exception-Code", &*code)];
        self.say(status, &[&headers, more].concat(), vec![text.into_bytes()]);
    }
}

impl Caller {
    /// What the engine said of its answer, under the name that the client gave.
    fn headers<'a>(&'a self, rows: &'a ResultRows) -> Vec<(&'a str, &'a str)> {
        let mut headers: Vec<(&str, &str)> =
            rows.headers.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
        headers.retain(|(n, _)| !n.eq_ignore_ascii_case("X-ClickHouse-Query-Id"));
        headers.push(("X-ClickHouse-Query-Id", &self.name));
        headers
    }
}

impl ResponseWriter for Caller {
    fn start(&self, rows: ResultRows) {
        let head = self.session.head(200, &self.headers(&rows), None);
        self.session.connection.send(Frame::plain(head), &self.session.limits);
        rows.parts.into_iter().for_each(|part| self.send_chunk(part));
    }

    fn send_chunk(&self, bytes: Vec<u8>) {
        if !bytes.is_empty() {
            let parts = vec![format!("{:x}\r\n", bytes.len()).into_bytes(), bytes, b"\r\n".to_vec()];
            self.session.connection.send(Frame::from_parts(parts), &self.session.limits);
        }
    }

    fn finish(self: Box<Self>, answer: Answer) {
        let s = &self.session;
        let tally = (self.class.0, count_of_answer(&answer));
        s.tally.set(Some(tally));
        let id = ("X-ClickHouse-Query-Id", &*self.name);
        match answer {
            Answer::Served(rows) => s.say(200, &self.headers(&rows), rows.parts.clone()),
            Answer::Finished => {
                s.connection.send(Frame::plain(b"0\r\n\r\n".to_vec()).counted(tally), &s.limits)
            }
            // No last chunk: the client sees that the result is not whole.
            Answer::Cut => {
                s.keep.set(false);
                s.connection.write_queue.shared().metrics.add(tally);
            }
            Answer::Rejected(later) => {
                // The header has whole seconds alone. Where the deployment gives no advice there is none.
                let seconds = (later / 1000.0).ceil().to_string();
                let advice = (later > 0.0).then_some(("Retry-After", &*seconds));
                let headers: Vec<_> = advice.into_iter().chain([id]).collect();
                s.fail(TOO_MANY, "Too many simultaneous queries", &headers);
            }
            Answer::Expired => s.fail(TIMEOUT, "Timeout exceeded", &[id]),
            Answer::Failed(None) => s.fail(NETWORK, "The query failed at its engine and may have run", &[id]),
            Answer::Failed(Some(EngineError { status, code, text })) => {
                let code = code.to_string();
                let kind = ("Content-Type", "text/plain; charset=UTF-8");
                s.say(status, &[kind, ("X-ClickHouse-Exception-Code", &code), id], vec![text]);
            }
        }
        s.tally.set(None);
        s.connection.request_closed();
        s.answered.notify_one();
    }
}

/// Serves one client, one request after the other, until the connection ends.
pub async fn serve(
    stream: TcpStream,
    connection: Rc<ClientConnection>,
    frontend: Rc<FrontendState>,
    rules: Rc<ClassRules>,
) {
    let _ = stream.set_nodelay(true);
    let limits = frontend.limits.clone();
    let session = Rc::new(Session {
        connection: connection.clone(),
        limits: limits.clone(),
        answered: Notify::new(),
        keep: Cell::new(true),
        tally: Cell::new(None),
    });
    let open = Cell::new(None);
    let gone = tokio::select! {
        written = connection.write_queue.write_all(&stream, &limits) => written.is_err(),
        () = read(&stream, &session, &frontend, &rules, &open) => connection.is_disconnected(),
    };
    // A client that left is waited for no longer, also in the middle of its result.
    if let Some(id) = open.take() {
        frontend.withdraw(id).await;
    }
    match gone {
        true => connection.write_queue.close(CloseMode::Immediately),
        false => close_orderly(stream, &connection.write_queue, &limits).await,
    }
}

async fn read(
    stream: &TcpStream,
    session: &Rc<Session>,
    frontend: &Rc<FrontendState>,
    rules: &ClassRules,
    open: &Cell<Option<RequestId>>,
) {
    let mut read_buffer = ReadBuffer::new(frontend.shared.clone());
    while session.keep.get() {
        let Some(id) = read_request(stream, &mut read_buffer, session, frontend, rules).await else {
            continue;
        };
        open.set(Some(id));
        loop {
            tokio::select! {
                () = session.answered.notified() => break,
                // More than one message is not read ahead.
                more = read_buffer.fill(stream, &session.limits), if read_buffer.unread().len() < session.limits.read_chunk_bytes => {
                    if !matches!(more, Ok(true)) {
                        return session.connection.set_disconnected();
                    }
                }
                // A client that has gone is heard behind what is not read yet.
                () = closed(stream), if read_buffer.unread().len() >= session.limits.read_chunk_bytes => {
                    return session.connection.set_disconnected();
                }
            }
        }
        open.set(None);
    }
}

/// Waits until the client has closed the connection, whatever of it is still to be read.
async fn closed(stream: &TcpStream) {
    while stream.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
        tokio::time::sleep(LOOK).await;
    }
}

/// Reads more, or says that the connection is of no more use.
async fn more(stream: &TcpStream, read_buffer: &mut ReadBuffer, session: &Session) -> bool {
    let good = session.connection.read(read_buffer, stream, &session.limits).await;
    session.keep.set(session.keep.get() && good);
    good
}

/// Reads a request and hands it in. None: there is none, or it was answered on the spot.
async fn read_request(
    stream: &TcpStream,
    read_buffer: &mut ReadBuffer,
    session: &Rc<Session>,
    frontend: &Rc<FrontendState>,
    rules: &ClassRules,
) -> Option<RequestId> {
    let limits = &session.limits;
    let bad = |which, what: &str| {
        session.keep.set(false);
        log::seldom("an HTTP request that cannot be used was turned away");
        session.fail(which, what, &[]);
        None
    };
    let (request, length) = loop {
        match http::read_head(read_buffer.unread()) {
            Read::Done(head, used) => {
                let Some(length) = head.body(Length::Bytes(0)) else {
                    return bad(BAD_REQUEST, "The length of the body is not clear");
                };
                if head.header("expect").is_some() {
                    session
                        .connection
                        .write_queue
                        .push(Frame::plain(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()), limits);
                }
                let request = Request::new(&head);
                read_buffer.consume(used);
                break (request, length);
            }
            Read::Bad => return bad(BAD_REQUEST, "The request cannot be read"),
            Read::More if read_buffer.unread().len() > limits.max_head_bytes => {
                return bad(BAD_REQUEST, "The head of the request is too long");
            }
            Read::More => {
                if !more(stream, read_buffer, session).await {
                    return None;
                }
            }
        }
    };
    let mut body = Vec::new();
    loop {
        let whole = match length {
            Length::Bytes(n) if n > limits.max_message_bytes => {
                return bad(TOO_LARGE, "The body is too large")
            }
            Length::Bytes(n) => {
                let part = read_buffer.unread().len().min(n - body.len());
                body.extend_from_slice(&read_buffer.unread()[..part]);
                read_buffer.consume(part);
                body.len() == n
            }
            Length::Chunked | Length::Stream => {
                match http::read_chunk(read_buffer.unread(), limits.max_message_bytes) {
                    Read::Done(chunk, used) => {
                        let end = chunk.is_empty();
                        body.extend_from_slice(chunk);
                        read_buffer.consume(used);
                        if body.len() > limits.max_message_bytes {
                            return bad(TOO_LARGE, "The body is too large");
                        }
                        if !end {
                            continue;
                        }
                        true
                    }
                    Read::Bad => return bad(BAD_REQUEST, "The body cannot be read or is too large"),
                    Read::More => false,
                }
            }
        };
        if whole {
            break;
        }
        if !more(stream, read_buffer, session).await {
            return None;
        }
    }
    session.keep.set(request.keep);
    take(request, body, session, frontend, rules).await
}

/// What is kept of a head.
struct Request {
    method: String,
    path: String,
    params: Vec<(String, String)>,
    keep: bool,
    parts: bool,
}

impl Request {
    fn new(head: &Head<'_>) -> Self {
        let (path, mut params) = http::target(head.second);
        // Credentials and the like may come as headers; a parameter goes before them.
        let headers = [
            ("X-ClickHouse-User", "user"),
            ("X-ClickHouse-Key", "password"),
            ("X-ClickHouse-Database", "database"),
            ("X-ClickHouse-Format", "default_format"),
            ("Authorization", "Authorization"),
        ];
        for (header, name) in headers {
            if let Some(value) = head.header(header).filter(|_| !params.iter().any(|(n, _)| n == name)) {
                params.push((name.to_owned(), value.to_owned()));
            }
        }
        Self {
            method: head.first.to_owned(),
            path,
            params,
            keep: head.keeps(head.third),
            // The older version has no way to show that a result is cut.
            parts: head.third != "HTTP/1.0",
        }
    }

    fn take(&mut self, name: &str) -> Option<String> {
        let at = self.params.iter().position(|(n, _)| n == name)?;
        Some(self.params.remove(at).1).filter(|v| !v.is_empty())
    }

    fn param(&self, name: &str) -> &str {
        self.params.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v)
    }
}

async fn take(
    mut request: Request,
    body: Vec<u8>,
    session: &Rc<Session>,
    frontend: &Rc<FrontendState>,
    rules: &ClassRules,
) -> Option<RequestId> {
    let plain = [("Content-Type", "text/plain; charset=UTF-8")];
    let ok = |status, text: &str| session.say(status, &plain, vec![text.as_bytes().to_vec()]);
    let query = request.take("query");
    match (request.method.as_str(), request.path.as_str()) {
        // Load balancers ask here; one that asks a gateway about to end goes elsewhere.
        ("HEAD", "/ping" | "/") => ok(200, ""),
        ("GET", "/ping") if frontend.reports_unhealthy() => ok(503, "Ending.\n"),
        ("GET", "/ping") if frontend.awaits_endpoint_list.get() => {
            ok(503, "Starting: the list of engines is awaited.\n")
        }
        ("GET", "/ping") => ok(200, "Ok.\n"),
        ("GET", "/") if query.is_none() && body.is_empty() => ok(200, "Ok.\n"),
        ("GET" | "POST", "/") if query.is_some() || !body.is_empty() => {
            return hand_in(request, query, body, session, frontend, rules).await;
        }
        ("POST", "/") => session.fail(BAD_REQUEST, "Empty query", &[]),
        ("GET" | "POST", _) => session.fail(NOT_FOUND, "There is no such path", &[]),
        _ => session.fail(BAD_METHOD, "The method is not served", &[]),
    }
    None
}

async fn hand_in(
    mut request: Request,
    query: Option<String>,
    body: Vec<u8>,
    session: &Rc<Session>,
    frontend: &Rc<FrontendState>,
    rules: &ClassRules,
) -> Option<RequestId> {
    let arrived = frontend.arrival_time(&session.connection);
    // With a query in the target, the body is its data; else the body is the query.
    let (text, data) = match query {
        Some(query) => (query.into_bytes(), body),
        None => (body, Vec::new()),
    };
    let class = rules.class(&text, request.param("user"));
    let of = &frontend.settings.classes[class.0];
    let limit = request.param("max_execution_time").parse::<f64>().ok().filter(|s| *s > 0.0);
    let limit = limit.map_or(of.client_timeout, |s| (s * 1000.0).min(of.client_timeout));
    request.take("max_execution_time");
    let token = request.take("insert_deduplication_token");
    let key = matches!(of.idempotency, Idempotency::Keyed { .. })
        .then(|| token.clone().unwrap_or_else(|| stable_key(request.param("database"), &text, &data)));
    let id = frontend.allocate_request_id();
    let name = request.take("query_id").unwrap_or_else(|| format!("{:016x}", fastrand::u64(..)));
    // What goes into a header or a field must not end it.
    if name.len() > 256 || name.contains(|c: char| c.is_control() || c == ',' || c == '=') {
        session.fail(BAD_REQUEST, "The query id cannot be used", &[]);
        return None;
    }
    if frontend.open_request_named(&name).is_some() {
        session.fail(SAME_NAME, "A query with this id is already running", &[]);
        return None;
    }
    // As ClickHouse does: what comes by GET may only read.
    if request.method == "GET" && !matches!(request.param("readonly"), "1" | "2") {
        request.take("readonly");
        request.params.push(("readonly".into(), "2".into()));
    }
    let statement = Statement {
        name: name.clone(),
        class: of.name.clone(),
        text,
        key,
        data,
        params: request.params,
        flow: request.parts.then(|| -> Rc<dyn FlowControl> { session.connection.write_queue.clone() }),
    };
    // The interface has no word for a client's retry.
    let is_retry = false;
    let asked = ReceivedRequest {
        class,
        tenant: None,
        arrived,
        limit,
        work: None,
        memory_mb: None,
        is_retry,
        statement,
    };
    session.connection.request_opened();
    frontend.submit(id, Box::new(Caller { session: session.clone(), name, class }), asked).await;
    Some(id)
}

/// The same for the same load, whichever gateway it comes to.
fn stable_key(database: &str, text: &[u8], data: &[u8]) -> String {
    let mut hash = Sha256::new();
    for part in [database.as_bytes(), text, data] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().iter().take(16).map(|b| format!("{b:02x}")).collect()
}
