//! Parses commands and encodes answers of an engine, for the platform's RESP commands and the ClickHouse HTTP interface.

use crate::resp::{self, MAX_MESSAGE_BYTES};

/// The protocol of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineProtocol {
    /// The platform's RESP commands.
    Resp,
    /// The ClickHouse HTTP interface.
    ClickHouse,
}

/// The bytes that end the head of an HTTP message.
pub(crate) const HEAD_END: &[u8] = b"\r\n\r\n";

/// A command that a gateway sends to an engine.
#[derive(Debug, PartialEq)]
pub(super) enum Command {
    /// Execute a statement.
    Query {
        /// Name of the request.
        request: String,
        /// Idempotency key of the request, if it has one.
        key: Option<String>,
        statement: String,
    },
    /// A health check, with the tag that its answer repeats.
    HealthCheck(String),
    /// Cancel the attempt of the request with this name.
    Cancel(String),
    /// Any other command, which this double ignores.
    Other,
}

/// A parsed command, and its encoded length in bytes.
pub(super) struct ParsedCommand {
    pub(super) command: Command,
    pub(super) length: usize,
}

/// The error for received bytes that are not a valid command.
#[derive(Debug)]
pub(super) struct InvalidCommand;

/// Parses the next command. Returns `None` if more bytes are needed.
pub(super) fn parse(protocol: EngineProtocol, bytes: &[u8]) -> Result<Option<ParsedCommand>, InvalidCommand> {
    match protocol {
        EngineProtocol::Resp => parse_resp(bytes),
        EngineProtocol::ClickHouse => parse_http(bytes),
    }
}

fn parse_resp(bytes: &[u8]) -> Result<Option<ParsedCommand>, InvalidCommand> {
    let Some(array) = resp::parse(bytes).map_err(|_| InvalidCommand)? else { return Ok(None) };
    let part = |index: usize| array.parts.get(index).cloned().unwrap_or_default();
    let command = match part(0).as_str() {
        "want" => {
            let fields = part(2);
            let key = fields.split(',').find_map(|field| field.strip_prefix("uniq=")).map(str::to_owned);
            Command::Query { request: part(1), key, statement: part(3) }
        }
        "busy" | "there" => Command::HealthCheck(part(1)),
        "never_mind" => Command::Cancel(part(1)),
        _ => Command::Other,
    };
    Ok(Some(ParsedCommand { command, length: array.length }))
}

/// Returns the value of the header `Content-Length`, if it is present and valid.
pub(crate) fn http_content_length(head: &str) -> Option<usize> {
    head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    })
}

fn parse_http(bytes: &[u8]) -> Result<Option<ParsedCommand>, InvalidCommand> {
    let head_end = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END);
    let Some(head_end) = head_end else { return Ok(None) };
    let head = std::str::from_utf8(&bytes[..head_end]).map_err(|_| InvalidCommand)?;
    let body_start = head_end + HEAD_END.len();
    let length = body_start + http_content_length(head).unwrap_or(0);
    if length > MAX_MESSAGE_BYTES {
        return Err(InvalidCommand);
    }
    let Some(body) = bytes.get(body_start..length) else { return Ok(None) };
    let target = head.split(' ').nth(1).ok_or(InvalidCommand)?;
    if target == "/ping" {
        return Ok(Some(ParsedCommand { command: Command::HealthCheck(String::new()), length }));
    }
    let request = query_parameter(target, "query_id").unwrap_or_default();
    let key = query_parameter(target, "insert_deduplication_token");
    let statement = String::from_utf8_lossy(body).into_owned();
    Ok(Some(ParsedCommand { command: Command::Query { request, key, statement }, length }))
}

fn query_parameter(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=').map(str::to_owned))
}

/// Encodes an HTTP response with the given status and body.
fn encode_http(status: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Encodes an HTTP response with the query id of its request.
fn encode_response_to(status: &str, request: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nX-ClickHouse-Query-Id: {request}\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// Encodes the answer to a statement that was executed. `load` is the encoded load report.
pub(super) fn encode_served(protocol: EngineProtocol, request: &str, work: f64, load: &str) -> Vec<u8> {
    match protocol {
        EngineProtocol::Resp => {
            let fields = format!("pages=1,cost={work:.1},need=8{load}");
            resp::encode(&[request, "served", &fields, "a\tb\tc\n"])
        }
        EngineProtocol::ClickHouse => encode_response_to("200 OK", request, "a\tb\tc\n"),
    }
}

/// Encodes the answer to a statement that failed. `load` is the encoded load report.
pub(super) fn encode_failed(protocol: EngineProtocol, request: &str, load: &str) -> Vec<u8> {
    match protocol {
        EngineProtocol::Resp => resp::encode(&[request, "crashed", &format!("cost=0{load}"), ""]),
        EngineProtocol::ClickHouse => {
            encode_response_to("500 Internal Server Error", request, "Code: 1000.\n")
        }
    }
}

/// Encodes the answer to a health check. `load` is the encoded load report.
pub(super) fn encode_healthy(protocol: EngineProtocol, tag: &str, load: &str) -> Vec<u8> {
    match protocol {
        EngineProtocol::Resp => resp::encode(&[tag, "green", &format!("cost=0{load}"), ""]),
        EngineProtocol::ClickHouse => encode_http("200 OK", "Ok.\n"),
    }
}
