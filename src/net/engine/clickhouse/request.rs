//! Writes the request of an attempt: its terms and its key as settings of the interface, credentials as headers.

use crate::core::{Send, Statement};
use crate::interface::Milliseconds;
use crate::net::connection::frame::Segment;
use crate::net::http;
use std::fmt::Write;

/// The shortest execution time that an engine is given, in seconds; 0 would stand for no limit.
const MIN_EXECUTION_SECONDS: f64 = 0.001;
/// By how much the execution time may be rounded up to a whole second, in seconds.
const MAX_ROUNDING_SECONDS: f64 = 0.05;
/// The interface's number for the lowest priority that is sent; 1 is the highest, and 0 is none.
const LOWEST_PRIORITY: u8 = 4;
/// The highest priority of an attempt.
const MAX_ATTEMPT_PRIORITY: u8 = 3;

/// The request of an attempt.
pub(super) fn encode(send: &Send) -> Vec<Segment> {
    let statement = &send.statement;
    let mut target = target_with_terms(send);
    let headers = encode_params(statement, &mut target);
    let (body, length) = if statement.data.is_empty() {
        (Segment::StatementText(statement.clone()), statement.text.len())
    } else {
        let query = String::from_utf8_lossy(&statement.text);
        let _ = write!(target, "&query={}", http::encode(&query));
        (Segment::StatementData(statement.clone()), statement.data.len())
    };
    let head = format!(
        "POST {target} HTTP/1.1\r\nHost: {}\r\n{headers}Content-Length: {length}\r\n\r\n",
        send.address
    );
    vec![Segment::Owned(head.into_bytes()), body]
}

/// The target, with the terms of the attempt and its key.
fn target_with_terms(send: &Send) -> String {
    let statement = &send.statement;
    let mut target = format!("/?query_id={}", http::encode(&query_id(send)));
    let _ = write!(target, "&max_execution_time={}", execution_time(send.budget));
    let priority = LOWEST_PRIORITY - send.priority.min(MAX_ATTEMPT_PRIORITY);
    let _ = write!(target, "&priority={priority}");
    target += "&cancel_http_readonly_queries_on_client_close=1";
    if send.memory_mb >= 1.0 {
        // Beyond its grant a query spills to disk.
        let bytes = send.memory_mb.round() as u64 * 1024 * 1024;
        let _ = write!(target, "&max_bytes_before_external_group_by={bytes}");
        let _ = write!(target, "&max_bytes_before_external_sort={bytes}");
    }
    if let Some(key) = &statement.key {
        let _ = write!(target, "&insert_deduplication_token={}", http::encode(key));
    }
    target
}

/// The name of an attempt: a further attempt must not have the name of the first, which may still be running.
fn query_id(send: &Send) -> String {
    match send.id.number {
        0 => send.statement.name.clone(),
        number => format!("{}-{number}", send.statement.name),
    }
}

/// Appends the parameters of a statement to the target; returns the headers for those that are sent as headers.
fn encode_params(statement: &Statement, target: &mut String) -> String {
    let mut headers = String::new();
    for (name, value) in &statement.params {
        // A line end in a value would begin another header.
        match header_of(name).filter(|_| !value.contains(char::is_control)) {
            Some(header) => {
                let _ = write!(headers, "{header}: {value}\r\n");
            }
            None => {
                let _ = write!(target, "&{}={}", http::encode(name), http::encode(value));
            }
        }
    }
    headers
}

/// The header that a parameter is sent as, if it is sent as one.
fn header_of(parameter: &str) -> Option<&'static str> {
    match parameter {
        "user" => Some("X-ClickHouse-User"),
        "password" => Some("X-ClickHouse-Key"),
        "database" => Some("X-ClickHouse-Database"),
        "Authorization" => Some("Authorization"),
        _ => None,
    }
}

/// The time that is left, in seconds: rounded up to a whole second that is close, otherwise with milliseconds, as the
/// engine must not be given more time than the client has left.
fn execution_time(budget: Milliseconds) -> String {
    let seconds = (budget / 1000.0).max(MIN_EXECUTION_SECONDS);
    if seconds.ceil() - seconds <= MAX_ROUNDING_SECONDS {
        return format!("{:.0}", seconds.ceil());
    }
    format!("{seconds:.3}")
}
