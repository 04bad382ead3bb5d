//! Reading of responses: the head, then the body, which is forwarded in chunks if the client's protocol streams results.
//!
//! A response belongs to an attempt if it repeats the query id of the attempt. Engines may send a response twice, also some
//! time later, behind the next request on the connection: a response with another query id is discarded, and the connection is
//! not used again.

use super::connection::{AttemptJob, Connection, Job};
use super::response_head::{attempt_end, ConnectionFailed, ResponseHead, OK};
use crate::core::{AttemptEnd, CountedMemory, Event, ResultRows};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::connection::{ReadBuffer, ResultMemory};
use crate::net::http::{self, ChunkDecoder, ChunkPart, Length, Read};
use crate::net::log;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;

/// HTTP status of an interim response, which the final response follows.
const CONTINUE: u16 = 100;
/// Maximum number of responses to other requests that are discarded before the response to the current one.
const MAX_DISCARDED_RESPONSES: usize = 8;
/// Log line for bytes that follow a complete response or precede a request.
const UNREQUESTED_BYTES: &str = "an engine sent bytes that belong to no request; closing the connection";

/// Request to which a response belongs.
enum Ownership {
    /// The response belongs to the current job.
    Own,
    /// The response names another request.
    Foreign,
    /// The response names no request, although the engine has named the requests of earlier ones.
    Unknown,
}

/// Part of a response that has been read.
struct PartialResponse {
    status: u16,
    /// Headers and rows that are not forwarded yet.
    rows: ResultRows,
    /// Number of bytes of the body that were read.
    bytes: usize,
    /// Memory of the rows that are not forwarded yet.
    memory: ResultMemory,
    /// Whether chunks of the body are forwarded as they arrive.
    is_streaming: bool,
}

/// Reader of the responses on one connection.
pub(super) struct ResponseReader<'a> {
    connection: &'a Connection,
    stream: &'a TcpStream,
    limits: &'a Limits,
    events: &'a Sender<Event>,
    buffer: ReadBuffer,
    /// Decoder of the current body, if it is chunked.
    chunks: ChunkDecoder,
    /// Whether a result is being streamed to a client.
    is_streaming: bool,
}

impl<'a> ResponseReader<'a> {
    /// Creates a reader with an empty buffer.
    pub(super) fn new(
        connection: &'a Connection,
        stream: &'a TcpStream,
        limits: &'a Limits,
        events: &'a Sender<Event>,
    ) -> Self {
        let buffer = ReadBuffer::for_engine(connection.write_queue.shared(), connection.share.clone());
        Self { connection, stream, limits, events, buffer, chunks: ChunkDecoder::new(), is_streaming: false }
    }

    /// Reads responses until the connection can no longer be used.
    pub(super) async fn read_all(&mut self) {
        while self.wait_for_job().await.is_ok() {
            if !matches!(self.read_response().await, Ok(true)) {
                return;
            }
        }
    }

    async fn wait_for_job(&mut self) -> Result<(), ConnectionFailed> {
        while self.connection.has_no_job() {
            tokio::select! {
                () = self.connection.job_assigned.notified() => {}
                // The engine closed an idle connection, or sent bytes without a request. If a job was assigned meanwhile, the
                // bytes are checked as a response to it.
                filled = self.buffer.fill(self.stream, self.limits) => {
                    if !matches!(filled, Ok(true)) || self.connection.has_no_job() {
                        return Err(ConnectionFailed);
                    }
                }
            }
        }
        Ok(())
    }

    /// Reads further bytes. Bytes that arrive before the first byte of the request is written belong to no request in flight.
    async fn fill(&mut self) -> Result<(), ConnectionFailed> {
        let filled = self.buffer.fill(self.stream, self.limits);
        let filled = match self.is_streaming {
            true => timeout(self.limits.engine_stream_timeout, filled).await.map_err(|_| ConnectionFailed)?,
            false => filled.await,
        };
        match filled {
            Ok(true) => self.check_request_begun(),
            _ => Err(ConnectionFailed),
        }
    }

    /// Fails if bytes have arrived although no byte of the request is written.
    fn check_request_begun(&self) -> Result<(), ConnectionFailed> {
        if self.buffer.unread().is_empty() || !self.connection.write_queue.awaits_first_byte() {
            return Ok(());
        }
        log::warn_rate_limited(UNREQUESTED_BYTES);
        Err(ConnectionFailed)
    }

    /// Reads one response and reports the end of the job. Returns whether the connection can be reused.
    async fn read_response(&mut self) -> Result<bool, ConnectionFailed> {
        let head = self.read_own_head().await?;
        let mut remaining = head.length;
        let mut response = PartialResponse {
            status: head.status,
            rows: ResultRows { headers: head.headers, ..ResultRows::default() },
            bytes: 0,
            memory: ResultMemory::new(self.connection.write_queue.shared()),
            is_streaming: false,
        };
        while let Some(part) = self.next_part(&mut remaining, head.status).await? {
            self.forward(part, &mut response).await?;
            self.is_streaming = response.is_streaming;
        }
        self.is_streaming = false;
        // The slot for the event is reserved before the job is removed, as this future may be dropped while it waits.
        let slot = self.events.reserve().await.map_err(|_| ConnectionFailed)?;
        let job = self.connection.end_job().ok_or(ConnectionFailed)?;
        slot.send(match job {
            Job::HealthCheck(tag) => {
                Event::HealthChecked { number: tag, succeeded: response.status == OK, report: None }
            }
            Job::Attempt(attempt) => {
                let memory = CountedMemory::new(response.memory);
                let rows = ResultRows { memory, ..response.rows };
                Event::AttemptEnded(attempt.id, attempt_end(response.status, rows))
            }
        });
        self.connection.set_answered(head.query_id.is_some());
        Ok(head.keep_alive && self.is_clean())
    }

    /// Returns whether the connection can be used again after a complete response: nothing followed it, and no response to
    /// another request was received.
    fn is_clean(&self) -> bool {
        let is_last = self.buffer.unread().is_empty();
        if !is_last {
            log::warn_rate_limited(UNREQUESTED_BYTES);
        }
        is_last && !self.connection.retired.get()
    }

    /// Reads the head of the response to the current job. Responses to other requests that precede it are discarded; the
    /// connection is then not used again.
    async fn read_own_head(&mut self) -> Result<ResponseHead, ConnectionFailed> {
        self.check_request_begun()?;
        for _ in 0..=MAX_DISCARDED_RESPONSES {
            let head = self.read_head().await?;
            let job = self.connection.job().ok_or(ConnectionFailed)?;
            match self.ownership(&head, &job) {
                Ownership::Own => return Ok(head),
                Ownership::Unknown => return Err(ConnectionFailed),
                Ownership::Foreign => {
                    log::warn_rate_limited("an engine sent a response to another request; discarding it");
                    tracing::debug!(
                        address = %self.connection.address,
                        query_id = job.query_id(),
                        received = head.query_id,
                        "response to another request discarded"
                    );
                    self.connection.retired.set(true);
                    self.discard_body(&head).await?;
                }
            }
        }
        Err(ConnectionFailed)
    }

    /// Returns to which request a response belongs. A result without a query id is accepted from engines that send none. From
    /// others only errors are, which they send without an id if they reject a request before they parse it.
    fn ownership(&self, head: &ResponseHead, job: &Job) -> Ownership {
        let names_requests = &self.connection.names_requests;
        match (job.query_id(), head.query_id.as_deref()) {
            (Some(own), Some(received)) if own == received => {
                names_requests.set(true);
                Ownership::Own
            }
            (_, Some(_)) => Ownership::Foreign,
            (None, None) => Ownership::Own,
            (Some(_), None) if head.status == OK && names_requests.get() => {
                // The engine may have been replaced by one that sends no ids.
                names_requests.set(false);
                Ownership::Unknown
            }
            (Some(_), None) => Ownership::Own,
        }
    }

    /// Reads and discards the body of a response.
    async fn discard_body(&mut self, head: &ResponseHead) -> Result<(), ConnectionFailed> {
        if head.length == Length::Stream || !head.keep_alive {
            return Err(ConnectionFailed);
        }
        let mut remaining = head.length;
        while self.next_part(&mut remaining, head.status).await?.is_some() {}
        Ok(())
    }

    async fn read_head(&mut self) -> Result<ResponseHead, ConnectionFailed> {
        loop {
            match http::read_head(self.buffer.unread()) {
                Read::Complete(head, used) => {
                    let head = ResponseHead::new(&head)?;
                    self.buffer.consume(used);
                    self.chunks = ChunkDecoder::new();
                    if head.status != CONTINUE {
                        return Ok(head);
                    }
                }
                Read::Invalid => return Err(ConnectionFailed),
                Read::Incomplete if self.buffer.unread().len() > self.limits.max_head_bytes => {
                    return Err(ConnectionFailed);
                }
                Read::Incomplete => self.fill().await?,
            }
        }
    }

    /// Returns the next available part of the body, or `None` at its end.
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
                Length::Chunked => match self.take_chunked()? {
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
                // Without a length, the body ends with the stream, and may be truncated. This is accepted for errors only.
                Err(_) if *remaining == Length::Stream && status != OK => return Ok(None),
                Err(failed) => return Err(failed),
            }
        }
    }

    /// Returns whether a result that is not streamed is long, and the memory for results is exceeded.
    fn exceeds_memory(&self, response: &PartialResponse) -> bool {
        let shared = self.connection.write_queue.shared();
        response.bytes > self.limits.max_result_bytes
            && !shared.outgoing.relieve(shared.process_share(self.limits.memory.outgoing_bytes))
    }

    /// Takes at most `max` bytes from the bytes that have arrived.
    fn take_unread(&mut self, max: usize) -> Vec<u8> {
        let unread = self.buffer.unread();
        let part = unread[..unread.len().min(max)].to_vec();
        self.buffer.consume(part.len());
        part
    }

    /// Takes the bytes of a chunked body that have arrived: the next part, or an empty part at the end of the body. Returns
    /// `None` if further bytes are needed.
    fn take_chunked(&mut self) -> Result<Option<Vec<u8>>, ConnectionFailed> {
        loop {
            match self.chunks.decode(self.buffer.unread()) {
                Read::Complete(ChunkPart::Data, used) => return Ok(Some(self.take_unread(used))),
                Read::Complete(part, used) => {
                    self.buffer.consume(used);
                    if part == ChunkPart::End {
                        return Ok(Some(Vec::new()));
                    }
                }
                Read::Incomplete if self.buffer.unread().len() <= self.limits.max_head_bytes => {
                    return Ok(None)
                }
                Read::Incomplete | Read::Invalid => return Err(ConnectionFailed),
            }
        }
    }

    /// Forwards a part of the body if the result is streamed, and otherwise collects it. The job is read again after each
    /// await, as an attempt may be aborted at any time.
    async fn forward(
        &mut self,
        part: Vec<u8>,
        response: &mut PartialResponse,
    ) -> Result<(), ConnectionFailed> {
        response.bytes += part.len();
        let job = self.connection.job().ok_or(ConnectionFailed)?;
        if let (Job::Attempt(AttemptJob { flow: Some(flow), .. }), true) = (&job, response.is_streaming) {
            // Applies backpressure: the engine's response is not read faster than the client reads its own.
            flow.wait_for_capacity(self.limits.max_result_bytes).await;
        }
        let slot = self.events.reserve().await.map_err(|_| ConnectionFailed)?;
        let (id, flow) = match self.connection.job().ok_or(ConnectionFailed)? {
            Job::Attempt(AttemptJob { id, flow, .. }) => (id, flow),
            Job::HealthCheck(_) => return Ok(()),
        };
        if flow.is_some() && response.is_streaming {
            slot.send(Event::ResponseChunk(id, part));
            return Ok(());
        }
        response.memory.add(part.len());
        response.rows.parts.push(part);
        if response.status == OK && response.bytes > self.limits.max_result_bytes && flow.is_some() {
            response.is_streaming = true;
            response.memory.clear();
            slot.send(Event::ResponseStarted(id, std::mem::take(&mut response.rows)));
        } else if response.bytes > self.limits.max_message_bytes || self.exceeds_memory(response) {
            log::warn_rate_limited(
                "a result exceeds the maximum message size or the memory for results, and cannot be streamed; the attempt fails",
            );
            self.connection.end_job();
            slot.send(Event::AttemptEnded(id, AttemptEnd::from_outcome(Outcome::Error)));
            return Err(ConnectionFailed);
        }
        Ok(())
    }
}
