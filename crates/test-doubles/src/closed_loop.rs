//! A closed-loop client, which sends one query at a time over one connection to a gateway or an engine.

use crate::client::MAX_ANSWER_BYTES;
use crate::engine::command::{http_content_length, HEAD_END};
use crate::resp;
use crate::thrift::{encode_call, parse_reply, Answer};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Index of the part of an engine's RESP answer that holds the outcome.
const RESP_OUTCOME: usize = 1;

/// The protocol of a [`ClosedLoopClient`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientProtocol {
    /// The platform's client protocol, for a gateway.
    Thrift,
    /// The platform's RESP commands, for an engine.
    Resp,
    /// The ClickHouse HTTP interface, for a gateway or an engine.
    Http,
}

/// A client that waits for each answer before it sends the next query. It has a connection of its own.
pub struct ClosedLoopClient {
    stream: TcpStream,
    protocol: ClientProtocol,
    last_sequence: i32,
    received: Vec<u8>,
}

/// A parsed answer, and its encoded length in bytes.
struct ParsedAnswer {
    answer: Answer,
    length: usize,
}

impl ClosedLoopClient {
    /// Connects to a gateway or an engine.
    ///
    /// # Errors
    /// The connection could not be opened.
    pub async fn connect(address: SocketAddr, protocol: ClientProtocol) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, protocol, last_sequence: 0, received: Vec::new() })
    }

    /// Sends a query with a name and its work, in milliseconds on one core, and waits for the answer.
    ///
    /// # Errors
    /// The connection ends before the answer, or the answer is too long.
    pub async fn query(&mut self, name: &str, work: f64) -> std::io::Result<Answer> {
        self.last_sequence += 1;
        let statement = format!("select 1 /* work={work} usual={work} threads=1 */");
        let message = self.encode(name, &statement);
        self.stream.write_all(&message).await?;
        loop {
            if let Some(parsed) = self.parse() {
                self.received.drain(..parsed.length);
                return Ok(parsed.answer);
            }
            if self.stream.read_buf(&mut self.received).await? == 0 || self.received.len() > MAX_ANSWER_BYTES
            {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn encode(&self, name: &str, statement: &str) -> Vec<u8> {
        match self.protocol {
            ClientProtocol::Thrift => {
                let fields = [("verb", "lookup"), ("txn", name), ("limit", "6000")];
                encode_call(self.last_sequence, &fields, statement)
            }
            ClientProtocol::Resp => resp::encode(&["want", name, "queue=lookup,budget=6000", statement]),
            ClientProtocol::Http => {
                let length = statement.len();
                let head =
                    format!("POST /?query_id={name} HTTP/1.1\r\nHost: l\r\nContent-Length: {length}\r\n\r\n");
                [head.as_bytes(), statement.as_bytes()].concat()
            }
        }
    }

    /// Parses the answer, if it was received completely.
    fn parse(&self) -> Option<ParsedAnswer> {
        match self.protocol {
            ClientProtocol::Thrift => parse_thrift(&self.received),
            ClientProtocol::Resp => parse_resp(&self.received),
            ClientProtocol::Http => parse_http(&self.received),
        }
    }
}

fn parse_thrift(bytes: &[u8]) -> Option<ParsedAnswer> {
    let length = u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let frame = bytes.get(4..4 + length)?;
    let answer = parse_reply(frame).map_or(Answer::Failed, |reply| reply.answer);
    Some(ParsedAnswer { answer, length: 4 + length })
}

fn parse_resp(bytes: &[u8]) -> Option<ParsedAnswer> {
    let array = resp::parse(bytes).ok()??;
    let outcome = array.parts.get(RESP_OUTCOME).map(String::as_str);
    let answer = if outcome == Some("served") { Answer::Served } else { Answer::Failed };
    Some(ParsedAnswer { answer, length: array.length })
}

fn parse_http(bytes: &[u8]) -> Option<ParsedAnswer> {
    let head_end = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    let head = std::str::from_utf8(&bytes[..head_end]).ok()?;
    let end = head_end + HEAD_END.len() + http_content_length(head)?;
    let answer = match head.split(' ').nth(1) {
        Some("200") => Answer::Served,
        Some("503") => Answer::Rejected(0.0),
        _ => Answer::Failed,
    };
    (bytes.len() >= end).then_some(ParsedAnswer { answer, length: end })
}
