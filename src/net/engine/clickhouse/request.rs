//! Encoding of the HTTP request of an attempt: its limits and its idempotency key are sent as ClickHouse settings, and
//! credentials as headers.

use crate::core::{Send, Statement};
use crate::interface::Milliseconds;
use crate::net::connection::frame::Segment;
use crate::net::http;
use std::fmt::Write;

/// Minimum execution time that is sent to an engine, in seconds; 0 would mean no limit.
const MIN_EXECUTION_SECONDS: f64 = 0.001;
/// Maximum amount by which the execution time is rounded up to a full second, in seconds.
const MAX_ROUNDING_SECONDS: f64 = 0.05;
/// ClickHouse value of the lowest priority that is sent; 1 is the highest, and 0 means no priority.
const LOWEST_PRIORITY: u8 = 4;
/// Highest priority of an attempt in the reducer.
const MAX_ATTEMPT_PRIORITY: u8 = 3;

/// Encodes the request of an attempt.
pub(super) fn encode(send: &Send) -> Vec<Segment> {
    let statement = &send.statement;
    let mut target = target_with_limits(send);
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

/// Encodes the request target with the limits, the priority and the idempotency key of the attempt.
fn target_with_limits(send: &Send) -> String {
    let statement = &send.statement;
    let mut target = format!("/?query_id={}", http::encode(&query_id(send)));
    let _ = write!(target, "&max_execution_time={}", execution_time(send.time_left));
    let priority = LOWEST_PRIORITY - send.priority.min(MAX_ATTEMPT_PRIORITY);
    let _ = write!(target, "&priority={priority}");
    target += "&cancel_http_readonly_queries_on_client_close=1";
    if send.memory_mb >= 1.0 {
        // A query that exceeds its granted memory spills to disk.
        let bytes = send.memory_mb.round() as u64 * 1024 * 1024;
        let _ = write!(target, "&max_bytes_before_external_group_by={bytes}");
        let _ = write!(target, "&max_bytes_before_external_sort={bytes}");
    }
    if let Some(key) = &statement.key {
        let _ = write!(target, "&insert_deduplication_token={}", http::encode(key));
    }
    target
}

/// Returns the query id of an attempt. Further attempts of a request have their own ids, as the first may still be running.
pub(super) fn query_id(send: &Send) -> String {
    match send.id.number {
        0 => send.statement.name.clone(),
        number => format!("{}-{number}", send.statement.name),
    }
}

/// Appends the parameters of a statement to the target, and returns the headers of those that are sent as headers.
fn encode_params(statement: &Statement, target: &mut String) -> String {
    let mut headers = String::new();
    for (name, value) in &statement.params {
        // A line end in a value would start another header: values with control characters are sent in the target.
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

/// Returns the header in which a parameter is sent, if it is sent in a header.
fn header_of(parameter: &str) -> Option<&'static str> {
    match parameter {
        "user" => Some("X-ClickHouse-User"),
        "password" => Some("X-ClickHouse-Key"),
        "database" => Some("X-ClickHouse-Database"),
        "Authorization" => Some("Authorization"),
        _ => None,
    }
}

/// Formats the remaining time in seconds: rounded up to a full second if it is within `MAX_ROUNDING_SECONDS` of it,
/// otherwise with milliseconds, as the engine must not be given more time than the client has left.
fn execution_time(time_left: Milliseconds) -> String {
    let seconds = (time_left / 1000.0).max(MIN_EXECUTION_SECONDS);
    if seconds.ceil() - seconds <= MAX_ROUNDING_SECONDS {
        return format!("{:.0}", seconds.ceil());
    }
    format!("{seconds:.3}")
}
