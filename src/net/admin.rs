//! The operators' address. Each connection carries one HTTP call. Calls have a queue of their own, so that they do not wait
//! behind clients' requests.

use crate::limits::Limits;
use crate::net::connection::{ReadBuffer, SharedState, SocketRetry, WorkShare};
use crate::net::http::{self, Length, Read};
use crate::net::log;
use crate::net::loop_profile::{Task, TaskKind};
use crate::net::transient_errors::Backoff;
use starlingplank_admin::calls::{self, Call, Reply};
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{timeout, timeout_at, Instant};

/// An operator's call, and the channel for its reply.
pub struct PendingCall {
    /// The call.
    pub call: Call,
    /// Receives the reply.
    pub reply_to: oneshot::Sender<Reply>,
}

/// State that all connections of the operators' address share.
#[derive(Clone)]
pub struct AdminContext {
    /// Limits on connections, times and message sizes.
    pub limits: Rc<Limits>,
    /// State that these connections share with those of clients and engines.
    pub shared: Rc<SharedState>,
    /// Queue of calls for the event loop.
    pub calls: mpsc::Sender<PendingCall>,
}

/// Accepts operators' connections; `open_connections` counts them. There are few operators. When the maximum number of
/// connections is reached, the oldest one that is owed no reply is closed, so that idle connections keep no operator out.
pub async fn listen(listener: TcpListener, context: AdminContext, open_connections: Rc<Cell<usize>>) {
    let mut connections = OpenConnections::default();
    let mut backoff = Backoff::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::error_rate_limited("an operator's connection cannot be accepted", &error);
                let wait = backoff.wait_to_accept(&error);
                if !wait.is_zero() {
                    // No descriptor is available: closing a connection frees one.
                    connections.close_one(&context.limits).await;
                }
                tokio::time::sleep(wait).await;
                continue;
            }
        };
        backoff.reset();
        while connections.count() >= context.limits.max_admin_connections {
            connections.close_one(&context.limits).await;
        }
        connections.serve(stream, context.clone(), OpenConnectionGuard::count(&open_connections));
    }
}

/// A connection, shared by the task that serves it and the listener.
struct OperatorConnection {
    stream: TcpStream,
    /// Whether a call was read and its reply is not written yet.
    is_answering: Cell<bool>,
}

impl OperatorConnection {
    /// Returns whether a reply is owed: a call was read, or unread bytes have arrived that may be a call.
    fn owes_reply(&self) -> bool {
        self.is_answering.get() || rustix::io::ioctl_fionread(&self.stream).map_or(true, |unread| unread > 0)
    }
}

/// An open connection and the task that serves it.
struct OpenConnection {
    connection: Rc<OperatorConnection>,
    task: JoinHandle<()>,
}

/// The open connections, ordered from the oldest to the newest.
#[derive(Default)]
struct OpenConnections(VecDeque<OpenConnection>);

impl OpenConnections {
    /// Removes connections that have ended, and returns the number of the others.
    fn count(&mut self) -> usize {
        self.0.retain(|open| !open.task.is_finished());
        self.0.len()
    }

    /// Starts a task that serves a connection.
    fn serve(&mut self, stream: TcpStream, context: AdminContext, guard: OpenConnectionGuard) {
        let connection = Rc::new(OperatorConnection { stream, is_answering: Cell::new(false) });
        let served = connection.clone();
        let share = context.shared.scheduler.unlimited(Task::new(TaskKind::Operator));
        let reader_share = share.clone();
        let task = tokio::task::spawn_local(share.run(async move {
            serve(&served, context, reader_share).await;
            drop(served);
            drop(guard);
        }));
        self.0.push_back(OpenConnection { connection, task });
    }

    /// Closes the oldest connection that is owed no reply. If all are owed one, closes the oldest after it had
    /// `admin_discard_timeout` to be answered. The connection's descriptor is closed when this returns.
    async fn close_one(&mut self, limits: &Limits) {
        self.0.retain(|open| !open.task.is_finished());
        let idle = self.0.iter().position(|open| !open.connection.owes_reply());
        let Some(OpenConnection { connection, mut task }) = self.0.remove(idle.unwrap_or(0)) else { return };
        if connection.owes_reply() && timeout(limits.admin_discard_timeout, &mut task).await.is_ok() {
            return;
        }
        task.abort();
        let _ = task.await;
    }
}

/// Counts a connection as open until the guard is dropped.
struct OpenConnectionGuard(Rc<Cell<usize>>);

impl OpenConnectionGuard {
    fn count(open_connections: &Rc<Cell<usize>>) -> Self {
        open_connections.set(open_connections.get() + 1);
        Self(open_connections.clone())
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve(connection: &OperatorConnection, context: AdminContext, share: Rc<WorkShare>) {
    let limits = &context.limits;
    let stream = &connection.stream;
    let mut read_buffer = ReadBuffer::for_operator(context.shared.clone(), share);
    let deadline = Instant::now() + limits.admin_call_timeout;
    let read = match timeout_at(deadline, read_call(stream, &mut read_buffer, limits)).await {
        Ok(None) => return,
        Ok(Some(read)) => read,
        Err(_) => Err(Reply::line(408, "the call did not come whole in time")),
    };
    connection.is_answering.set(true);
    let was_read = read.is_ok();
    let reply = match read {
        Ok(call) => forward(call, &context.calls).await,
        Err(reply) => reply,
    };
    let written = write_all(stream, &encode(&reply)).await;
    let is_shut_down = rustix::net::shutdown(stream, rustix::net::Shutdown::Write).is_ok();
    connection.is_answering.set(false);
    if written.is_err() || !is_shut_down || was_read {
        return;
    }
    let _ = timeout(limits.admin_discard_timeout, discard(stream, &mut read_buffer, limits)).await;
}

/// Passes a call to the event loop and waits for its reply.
async fn forward(call: Call, calls: &mpsc::Sender<PendingCall>) -> Reply {
    let (sender, reply) = oneshot::channel();
    let is_sent = calls.send(PendingCall { call, reply_to: sender }).await.is_ok();
    match (is_sent, reply.await) {
        (true, Ok(reply)) => reply,
        _ => Reply::line(503, "this process is ending"),
    }
}

/// Encodes a reply as an HTTP response.
fn encode(reply: &Reply) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: text/plain; charset=UTF-8\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        reply.status,
        reply.reason(),
        reply.text.len()
    );
    [head.as_bytes(), reply.text.as_bytes()].concat()
}

/// Reads and discards the rest of a rejected call. Closing a connection with unread bytes resets it, and the reply could be
/// lost.
async fn discard(stream: &TcpStream, read_buffer: &mut ReadBuffer, limits: &Limits) {
    read_buffer.consume(read_buffer.unread().len());
    while matches!(read_buffer.fill(stream, limits).await, Ok(true)) {
        read_buffer.consume(read_buffer.unread().len());
    }
}

/// Writes all bytes, and retries system calls that were interrupted or would block.
async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if SocketRetry::after(&error).is_some() => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads one call. Returns the error reply if the call is not valid, or `None` if the operator has disconnected.
async fn read_call(
    stream: &TcpStream,
    read_buffer: &mut ReadBuffer,
    limits: &Limits,
) -> Option<Result<Call, Reply>> {
    loop {
        match parse_call(read_buffer.unread(), limits.max_head_bytes) {
            Ok(Some(call)) => return Some(Ok(call)),
            Ok(None) => {}
            Err(reply) => return Some(Err(reply)),
        }
        if !matches!(read_buffer.fill(stream, limits).await, Ok(true)) {
            return None;
        }
    }
}

/// Parses a call; `None` if the call is not complete yet. An error is the reply to a call that is not valid.
fn parse_call(bytes: &[u8], max_head_bytes: usize) -> Result<Option<Call>, Reply> {
    let (head, head_bytes) = match http::read_head(bytes) {
        Read::Complete(head, head_bytes) => (head, head_bytes),
        Read::Invalid => return Err(Reply::line(400, "the call cannot be read as HTTP/1.1")),
        Read::Incomplete if bytes.len() > max_head_bytes => {
            return Err(Reply::line(431, "the head of the call is too long"));
        }
        Read::Incomplete => return Ok(None),
    };
    if !matches!(head.version_or_reason, "HTTP/1.1" | "HTTP/1.0") {
        return Err(Reply::line(400, "the version must be HTTP/1.1"));
    }
    let (path, _) = http::target(head.target_or_status);
    let length = match head.body(Length::Bytes(0)) {
        Some(Length::Bytes(length)) => length,
        Some(_) => return Err(Reply::line(411, "the body must have a Content-Length; chunks are not taken")),
        None => return Err(Reply::line(400, "the length of the body is not clear")),
    };
    if length > calls::MAX_BODY_BYTES {
        // A wrong path or method is reported in preference to the excessive length of the body.
        let wrong_target = calls::read(head.method_or_version, &path, b"-").err();
        return Err(wrong_target.unwrap_or_else(|| Reply::line(413, "the body is longer than any id")));
    }
    let body = bytes.get(head_bytes..head_bytes + length);
    body.map(|body| calls::read(head.method_or_version, &path, body)).transpose()
}
