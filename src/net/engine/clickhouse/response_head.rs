//! Interpretation of responses: the head, and the end of an attempt with a complete response.

use crate::core::{AttemptEnd, EngineError, ResultRows};
use crate::interface::Outcome;
use crate::net::http::{self, Head, Length};

/// ClickHouse error code of a query that the engine rejected before executing it.
const TOO_MANY_SIMULTANEOUS_QUERIES: u32 = 202;
/// Response header that contains the code of an exception.
const EXCEPTION_CODE_HEADER: &str = "x-clickhouse-exception-code";
/// Response header that contains the query id of the request.
const QUERY_ID_HEADER: &str = "x-clickhouse-query-id";
/// Prefix of the names of ClickHouse-specific headers.
const CLICKHOUSE_HEADER_PREFIX: &str = "x-clickhouse-";
/// HTTP status of a response with a result.
pub(super) const OK: u16 = 200;

/// Error for a connection that has ended, or on which an invalid response arrived.
pub(super) struct ConnectionFailed;

/// Head of a response.
pub(super) struct ResponseHead {
    /// HTTP status.
    pub(super) status: u16,
    /// Query id of the request that the engine responds to, if the response names it.
    pub(super) query_id: Option<String>,
    /// Headers that are forwarded to the client.
    pub(super) headers: Vec<(String, String)>,
    /// How the end of the body is determined.
    pub(super) length: Length,
    /// Whether the connection stays open after the response.
    pub(super) keep_alive: bool,
}

impl ResponseHead {
    /// Interprets the head of a response.
    ///
    /// # Errors
    /// The status or the length of the body is invalid.
    pub(super) fn new(head: &Head<'_>) -> Result<Self, ConnectionFailed> {
        let status = http::status(head).ok_or(ConnectionFailed)?;
        let forwarded = head.headers.iter().filter(|(name, _)| is_forwarded(name));
        Ok(Self {
            status,
            query_id: head.header(QUERY_ID_HEADER).map(str::to_owned),
            headers: forwarded.map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect(),
            length: head.body(Length::Stream).ok_or(ConnectionFailed)?,
            keep_alive: head.keeps_alive(head.method_or_version),
        })
    }
}

fn is_forwarded(header: &str) -> bool {
    let prefix = CLICKHOUSE_HEADER_PREFIX.len();
    let is_clickhouse_header =
        header.len() > prefix && header[..prefix].eq_ignore_ascii_case(CLICKHOUSE_HEADER_PREFIX);
    is_clickhouse_header || header.eq_ignore_ascii_case("content-type")
}

/// Returns the end of an attempt with a complete response.
pub(super) fn attempt_end(status: u16, rows: ResultRows) -> AttemptEnd {
    let code = rows.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case(EXCEPTION_CODE_HEADER));
    let code = code.and_then(|(_, value)| value.parse().ok());
    if status == OK && code.is_none() {
        return AttemptEnd { rows, ..AttemptEnd::from_outcome(Outcome::Ok) };
    }
    let outcome = match (status, code) {
        (_, Some(TOO_MANY_SIMULTANEOUS_QUERIES)) => Outcome::Full,
        // The statement is invalid: the engine works, and another engine would give the same answer.
        (400..=404 | 413 | 422, _) => Outcome::Ok,
        _ => Outcome::Error,
    };
    let error = EngineError { status, code: code.unwrap_or(0), text: rows.parts.concat() };
    AttemptEnd { error: Some(error), ..AttemptEnd::from_outcome(outcome) }
}
