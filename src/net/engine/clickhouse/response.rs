//! Reads responses: the head, then the body, which is passed on in parts where the client's protocol streams results.

use super::connection::{Connection, Job};
use crate::core::{AttemptEnd, EngineError, Event, ResultRows};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::connection::ReadBuffer;
use crate::net::http::{self, Head, Length, Read};
use crate::net::log;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::time::Instant;

/// ClickHouse's code of an exception: the engine rejected the query before it ran.
const TOO_MANY_SIMULTANEOUS_QUERIES: u32 = 202;
/// The status of a response that only tells that the request is awaited.
const CONTINUE: u16 = 100;
/// The status of a response with a result.
const OK: u16 = 200;
/// The header of a response that holds the code of an exception.
const EXCEPTION_CODE_HEADER: &str = "x-clickhouse-exception-code";
/// What the names of ClickHouse's own headers begin with.
const OWN_HEADER_PREFIX: &str = "x-clickhouse-";
/// A chunk of a body may be so many times as long as a message.
const MAX_CHUNK_IN_MESSAGES: usize = 4;

/// The connection is over, or what was read on it cannot be used.
struct ConnectionFailed;

/// The head of a response.
struct ResponseHead {
    status: u16,
    /// The headers that are passed on to the client.
    headers: Vec<(String, String)>,
    length: Length,
    keep_alive: bool,
}

impl ResponseHead {
    fn new(head: &Head<'_>) -> Result<Self, ConnectionFailed> {
        let status = http::status(head).ok_or(ConnectionFailed)?;
        let passed_on = head.headers.iter().filter(|(name, _)| is_passed_on(name));
        Ok(Self {
            status,
            headers: passed_on.map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect(),
            length: head.body(Length::Stream).ok_or(ConnectionFailed)?,
            keep_alive: head.keeps_alive(head.first),
        })
    }
}

fn is_passed_on(header: &str) -> bool {
    let prefix = OWN_HEADER_PREFIX.len();
    let is_own = header.len() > prefix && header[..prefix].eq_ignore_ascii_case(OWN_HEADER_PREFIX);
    is_own || header.eq_ignore_ascii_case("content-type")
}

/// The part of a response that was read so far.
struct PartialResponse {
    status: u16,
    /// What is not passed on yet.
    rows: ResultRows,
    /// Bytes of the body that were read.
    bytes: usize,
    /// Parts of the body are passed on as they arrive.
    is_streaming: bool,
}

/// Reads the responses on one connection.
pub(super) struct ResponseReader<'a> {
    connection: &'a Connection,
    stream: &'a TcpStream,
    limits: &'a Limits,
    events: &'a Sender<Event>,
    buffer: ReadBuffer,
}

impl<'a> ResponseReader<'a> {
    /// A reader that has read nothing yet.
    pub(super) fn new(
        connection: &'a Connection,
        stream: &'a TcpStream,
        limits: &'a Limits,
        events: &'a Sender<Event>,
    ) -> Self {
        let buffer = ReadBuffer::new(connection.write_queue.shared());
        Self { connection, stream, limits, events, buffer }
    }

    /// Reads responses until the connection can no longer be used.
    pub(super) async fn read_all(&mut self) {
        while self.wait_for_job().await.is_ok() {
            let keep_alive = self.read_response().await;
            if keep_alive.is_ok() {
                self.connection.last_used.set(Instant::now());
            }
            if !matches!(keep_alive, Ok(true)) {
                return;
            }
        }
    }

    async fn wait_for_job(&mut self) -> Result<(), ConnectionFailed> {
        while self.connection.has_no_job() {
            tokio::select! {
                () = self.connection.job_assigned.notified() => {}
                // The engine closed an idle connection, or sent what was not requested.
                _ = self.buffer.fill(self.stream, self.limits) => return Err(ConnectionFailed),
            }
        }
        Ok(())
    }

    async fn fill(&mut self) -> Result<(), ConnectionFailed> {
        match self.buffer.fill(self.stream, self.limits).await {
            Ok(true) => Ok(()),
            _ => Err(ConnectionFailed),
        }
    }

    /// Reads one response and reports the end of the job. Returns whether the connection can be used again.
    async fn read_response(&mut self) -> Result<bool, ConnectionFailed> {
        let head = self.read_head().await?;
        let mut remaining = head.length;
        let mut response = PartialResponse {
            status: head.status,
            rows: ResultRows { parts: Vec::new(), headers: head.headers },
            bytes: 0,
            is_streaming: false,
        };
        while let Some(part) = self.next_part(&mut remaining, head.status).await? {
            self.pass_on(part, &mut response).await?;
        }
        // The slot of the event is reserved before the job ends: this future may be dropped while it waits.
        let slot = self.events.reserve().await.map_err(|_| ConnectionFailed)?;
        let job = self.connection.end_job().ok_or(ConnectionFailed)?;
        slot.send(match job {
            Job::HealthCheck(tag) => {
                Event::HealthChecked { number: tag, succeeded: response.status == OK, report: None }
            }
            Job::Attempt(id, _) => Event::AttemptEnded(id, attempt_end(response.status, response.rows)),
        });
        Ok(head.keep_alive)
    }

    async fn read_head(&mut self) -> Result<ResponseHead, ConnectionFailed> {
        loop {
            match http::read_head(self.buffer.unread()) {
                Read::Done(head, used) => {
                    let head = ResponseHead::new(&head)?;
                    self.buffer.consume(used);
                    if head.status != CONTINUE {
                        return Ok(head);
                    }
                }
                Read::Bad => return Err(ConnectionFailed),
                Read::More if self.buffer.unread().len() > self.limits.max_head_bytes => {
                    return Err(ConnectionFailed);
                }
                Read::More => self.fill().await?,
            }
        }
    }

    /// The next part of the body, as far as it has arrived; none at its end.
    async fn next_part(
        &mut self,
        remaining: &mut Length,
        status: u16,
    ) -> Result<Option<Vec<u8>>, ConnectionFailed> {
        loop {
            let part = match *remaining {
                Length::Bytes(0) => return Ok(None),
                Length::Bytes(length) => {
                    let part = self.take_unread(length);
                    *remaining = Length::Bytes(length - part.len());
                    part
                }
                Length::Stream => self.take_unread(usize::MAX),
                Length::Chunked => match self.take_chunk()? {
                    Some(chunk) if chunk.is_empty() => return Ok(None),
                    Some(chunk) => chunk,
                    None => Vec::new(),
                },
            };
            if !part.is_empty() {
                return Ok(Some(part));
            }
            match self.fill().await {
                Ok(()) => {}
                // Without a length, the end of the stream is the end of the body, complete or not.
                Err(_) if *remaining == Length::Stream && status != OK => return Ok(None),
                Err(failed) => return Err(failed),
            }
        }
    }

    /// Takes what has arrived, `max` bytes at most.
    fn take_unread(&mut self, max: usize) -> Vec<u8> {
        let unread = self.buffer.unread();
        let part = unread[..unread.len().min(max)].to_vec();
        self.buffer.consume(part.len());
        part
    }

    /// Takes a chunk; none where it is incomplete. An empty chunk ends the body.
    fn take_chunk(&mut self) -> Result<Option<Vec<u8>>, ConnectionFailed> {
        let max_bytes = MAX_CHUNK_IN_MESSAGES * self.limits.max_message_bytes;
        match http::read_chunk(self.buffer.unread(), max_bytes) {
            Read::Done(chunk, used) => {
                let chunk = chunk.to_vec();
                self.buffer.consume(used);
                Ok(Some(chunk))
            }
            Read::Bad => Err(ConnectionFailed),
            Read::More => Ok(None),
        }
    }

    /// Passes on a part of the body where the result is streamed, or collects it. The job is looked up after each wait, as
    /// an attempt may be aborted at any time.
    async fn pass_on(
        &mut self,
        part: Vec<u8>,
        response: &mut PartialResponse,
    ) -> Result<(), ConnectionFailed> {
        response.bytes += part.len();
        let job = self.connection.job().ok_or(ConnectionFailed)?;
        if let (Job::Attempt(_, Some(flow)), true) = (&job, response.is_streaming) {
            // The engine is read no faster than the client reads.
            flow.wait_for_capacity(self.limits.max_result_bytes).await;
        }
        let slot = self.events.reserve().await.map_err(|_| ConnectionFailed)?;
        let (id, flow) = match self.connection.job().ok_or(ConnectionFailed)? {
            Job::Attempt(id, flow) => (id, flow),
            Job::HealthCheck(_) => return Ok(()),
        };
        if flow.is_some() && response.is_streaming {
            slot.send(Event::ResponseChunk(id, part));
            return Ok(());
        }
        response.rows.parts.push(part);
        if response.status == OK && response.bytes > self.limits.max_result_bytes && flow.is_some() {
            response.is_streaming = true;
            slot.send(Event::ResponseStarted(id, std::mem::take(&mut response.rows)));
        } else if response.bytes > self.limits.max_message_bytes {
            log::warn_rate_limited("a result that is too large cannot be passed on whole");
            self.connection.end_job();
            slot.send(Event::AttemptEnded(id, AttemptEnd::from_outcome(Outcome::Error)));
            return Err(ConnectionFailed);
        }
        Ok(())
    }
}

/// The end of an attempt that has a complete response.
fn attempt_end(status: u16, rows: ResultRows) -> AttemptEnd {
    let code = rows.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case(EXCEPTION_CODE_HEADER));
    let code = code.and_then(|(_, value)| value.parse().ok());
    if status == OK && code.is_none() {
        return AttemptEnd { rows, ..AttemptEnd::from_outcome(Outcome::Ok) };
    }
    let outcome = match (status, code) {
        (_, Some(TOO_MANY_SIMULTANEOUS_QUERIES)) => Outcome::Full,
        // The statement itself is at fault: the engine works, and another one would answer the same.
        (400..=404 | 413 | 422, _) => Outcome::Ok,
        _ => Outcome::Error,
    };
    let error = EngineError { status, code: code.unwrap_or(0), text: rows.parts.concat() };
    AttemptEnd { error: Some(error), ..AttemptEnd::from_outcome(outcome) }
}
