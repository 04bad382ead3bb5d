//! Reading of HTTP requests: the head, then the body.

use super::response::{Exception, Session};
use crate::core::{params_memory, PARAM_OVERHEAD};
use crate::net::connection::frame::Frame;
use crate::net::connection::ReadBuffer;
use crate::net::front::ReadOutcome;
use crate::net::http::{self, ChunkDecoder, ChunkPart, Head, Length, Read};
use tokio::net::TcpStream;

/// Headers that set a parameter, as pairs of the header's and the parameter's name. A parameter in the target takes
/// precedence over the header.
const PARAMETER_HEADERS: [(&str, &str); 5] = [
    ("X-ClickHouse-User", "user"),
    ("X-ClickHouse-Key", "password"),
    ("X-ClickHouse-Database", "database"),
    ("X-ClickHouse-Format", "default_format"),
    ("Authorization", "Authorization"),
];

/// Maximum number of parameters in a target. Each takes about a hundred times the memory of its shortest form.
const MAX_PARAMS: usize = 1_000;

/// An HTTP request with its body.
pub(super) struct Request {
    /// HTTP method.
    pub(super) method: String,
    /// Path of the request target.
    pub(super) path: String,
    /// Parameters from the request target and the headers.
    pub(super) params: Vec<(String, String)>,
    /// Whether the client may send another request on the connection.
    pub(super) keep_alive: bool,
    /// Whether the response may be streamed. It may not be in HTTP/1.0, which cannot indicate that a result is truncated.
    pub(super) may_stream: bool,
    /// Body of the request.
    pub(super) body: Vec<u8>,
}

impl Request {
    /// Creates a request from its head, without the body.
    fn new(head: &Head<'_>) -> Self {
        let (path, mut params) = http::target(head.target_or_status);
        for (header, name) in PARAMETER_HEADERS {
            if let Some(value) =
                head.header(header).filter(|_| !params.iter().any(|(known, _)| known == name))
            {
                params.push((name.to_owned(), value.to_owned()));
            }
        }
        Self {
            method: head.method_or_version.to_owned(),
            path,
            params,
            keep_alive: head.keeps_alive(head.version_or_reason),
            may_stream: head.version_or_reason != "HTTP/1.0",
            body: Vec::new(),
        }
    }

    /// Returns an upper bound of the memory that the parameters of a request take.
    fn max_params_memory(head: &Head<'_>) -> usize {
        let values = PARAMETER_HEADERS
            .iter()
            .filter_map(|(header, name)| Some(head.header(header)?.len() + name.len()));
        let params = target_params(head) + PARAMETER_HEADERS.len();
        head.target_or_status.len() + values.sum::<usize>() + params * PARAM_OVERHEAD
    }

    /// Removes a parameter and returns its value; `None` if it is missing or empty.
    pub(super) fn take_param(&mut self, name: &str) -> Option<String> {
        let index = self.params.iter().position(|(known, _)| known == name)?;
        Some(self.params.remove(index).1).filter(|value| !value.is_empty())
    }

    /// Returns the value of a parameter, or an empty string if it is missing.
    pub(super) fn param(&self, name: &str) -> &str {
        self.params.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }
}

/// Reason for which no request was read.
pub(super) enum ReadError {
    /// The connection has ended or has to be closed.
    Closed,
    /// Other messages need the memory of the request, which is incomplete and was not read to its end.
    MemoryRefused,
    /// Other messages needed the memory of the request, which was read to its end. Whether the client may send another request.
    Rejected { keep_alive: bool },
    /// The request is invalid: the exception to answer with, and its message.
    Invalid(Exception, &'static str),
}

/// Returns the number of parameters in the target of a request.
fn target_params(head: &Head<'_>) -> usize {
    head.target_or_status.split('&').count()
}

const BODY_TOO_LARGE: ReadError = ReadError::Invalid(Exception::TOO_LARGE, "The body is too large");

/// Reader of the requests of one connection.
pub(super) struct RequestReader<'a> {
    stream: &'a TcpStream,
    session: &'a Session,
    /// Bytes that were read and are not consumed yet.
    pub(super) buffer: ReadBuffer,
}

impl<'a> RequestReader<'a> {
    /// Creates a reader with an empty or partly filled buffer.
    pub(super) fn new(stream: &'a TcpStream, session: &'a Session, buffer: ReadBuffer) -> Self {
        Self { stream, session, buffer }
    }

    /// Reads the next request with its body.
    pub(super) async fn read(&mut self) -> Result<Request, ReadError> {
        let (mut request, length) = self.read_head().await?;
        let read = match length {
            Length::Bytes(length) => self.read_body_until(length).await,
            Length::Chunked | Length::Stream => self.read_chunks().await,
        };
        if let (Err(ReadError::MemoryRefused), Length::Bytes(length)) = (&read, length) {
            let keep_alive = request.keep_alive;
            drop(request);
            self.discard_body(length).await?;
            return Err(ReadError::Rejected { keep_alive });
        }
        read?;
        request.body = self.buffer.take_body();
        Ok(request)
    }

    /// Discards a body of this length.
    async fn discard_body(&mut self, length: usize) -> Result<(), ReadError> {
        self.buffer.discard_message(length);
        while self.buffer.is_discarding() {
            self.fill().await?;
        }
        Ok(())
    }

    async fn fill(&mut self) -> Result<(), ReadError> {
        let Session { connection, limits, keep_alive, .. } = self.session;
        match connection.read(&mut self.buffer, self.stream, limits).await {
            ReadOutcome::Received => Ok(()),
            ReadOutcome::Ended => {
                keep_alive.set(false);
                Err(ReadError::Closed)
            }
            ReadOutcome::MemoryRefused => {
                connection.warn_of_refused_memory();
                Err(ReadError::MemoryRefused)
            }
        }
    }

    /// Reads the head of a request, and begins its body.
    async fn read_head(&mut self) -> Result<(Request, Length), ReadError> {
        let Session { connection, limits, .. } = self.session;
        loop {
            match http::read_head(self.buffer.unread()) {
                Read::Complete(head, used) => {
                    let length =
                        head.body(Length::Bytes(0)).ok_or(invalid("The length of the body is not clear"))?;
                    let body_bytes = match length {
                        Length::Bytes(bytes) => bytes,
                        Length::Chunked | Length::Stream => 0,
                    };
                    if body_bytes > limits.max_message_bytes {
                        return Err(BODY_TOO_LARGE);
                    }
                    if target_params(&head) > MAX_PARAMS {
                        return Err(invalid("There are too many parameters"));
                    }
                    let max_head_memory = Request::max_params_memory(&head);
                    if !self.buffer.try_allocate_head(max_head_memory, limits) {
                        self.wait_for_head_memory(max_head_memory).await?;
                        continue;
                    }
                    if head.header("expect").is_some() {
                        let frame = Frame::plain(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec());
                        connection.write_queue.push(frame, limits);
                    }
                    let request = Request::new(&head);
                    let head_memory = params_memory(&request.params);
                    self.buffer.begin_body(used, head_memory, body_bytes);
                    return Ok((request, length));
                }
                Read::Invalid => return Err(invalid("The request cannot be read")),
                Read::Incomplete if self.buffer.unread().len() > limits.max_head_bytes => {
                    return Err(invalid("The head of the request is too long"));
                }
                Read::Incomplete => self.fill().await?,
            }
        }
    }

    /// Waits for the memory of a decoded head.
    async fn wait_for_head_memory(&mut self, bytes: usize) -> Result<(), ReadError> {
        let Session { connection, limits, keep_alive, .. } = self.session;
        match connection.wait_for_head_memory(&mut self.buffer, self.stream, bytes, limits).await {
            ReadOutcome::Received => Ok(()),
            ReadOutcome::Ended => {
                keep_alive.set(false);
                Err(ReadError::Closed)
            }
            ReadOutcome::MemoryRefused => Err(ReadError::MemoryRefused),
        }
    }

    /// Reads until the body has this length.
    async fn read_body_until(&mut self, length: usize) -> Result<(), ReadError> {
        loop {
            self.buffer.move_to_body(length - self.buffer.body_len());
            if self.buffer.body_len() == length {
                return Ok(());
            }
            self.fill().await?;
        }
    }

    /// Reads the chunks of a body, and the trailer that follows them.
    async fn read_chunks(&mut self) -> Result<(), ReadError> {
        let limits = &self.session.limits;
        let mut decoder = ChunkDecoder::new();
        loop {
            match decoder.decode(self.buffer.unread()) {
                Read::Complete(ChunkPart::Data, used) => self.buffer.move_to_body(used),
                Read::Complete(part, used) => {
                    self.buffer.consume(used);
                    match part {
                        ChunkPart::Length(length) => self.expect_chunk(length)?,
                        ChunkPart::End => return Ok(()),
                        ChunkPart::Data | ChunkPart::Separator => {}
                    }
                }
                Read::Incomplete if self.buffer.unread().len() <= limits.max_head_bytes => {
                    self.fill().await?;
                }
                Read::Incomplete | Read::Invalid => return Err(invalid("The body cannot be read")),
            }
        }
    }

    /// Prepares the buffer for a chunk of a body whose total length is not known.
    fn expect_chunk(&mut self, chunk_bytes: usize) -> Result<(), ReadError> {
        let limits = &self.session.limits;
        let announced_bytes = self.buffer.body_len() + chunk_bytes;
        if announced_bytes > limits.max_message_bytes {
            return Err(BODY_TOO_LARGE);
        }
        if announced_bytes > limits.read_chunk_bytes {
            self.buffer.expect_body(limits.max_message_bytes, announced_bytes);
        }
        Ok(())
    }
}

fn invalid(message: &'static str) -> ReadError {
    ReadError::Invalid(Exception::BAD_REQUEST, message)
}
