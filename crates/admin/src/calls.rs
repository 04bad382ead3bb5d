//! Parsing of the administration calls that the gateway accepts on its second address. Method, path and body of a call are
//! parsed to the operator's request, or to an error reply with a status and one line of text.

use crate::operator_overrides::MAX_ID_BYTES;
use std::fmt;

/// Maximum length of a call's body in bytes.
pub const MAX_BODY_BYTES: usize = 1024;

/// The path of a call and the method that it accepts.
struct Endpoint {
    path: &'static str,
    method: &'static str,
}

const READY: Endpoint = Endpoint { path: "/api/ready", method: "GET" };
const TELEMETRY: Endpoint = Endpoint { path: "/api/telemetry", method: "GET" };
const EXCLUDE: Endpoint = Endpoint { path: "/api/exclude", method: "PUT" };
const INCLUDE: Endpoint = Endpoint { path: "/api/include", method: "PUT" };
const ENDPOINTS: [Endpoint; 4] = [READY, TELEMETRY, EXCLUDE, INCLUDE];

/// An operator's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Report whether this process is ready to serve.
    Ready,
    /// Return the metrics.
    Telemetry,
    /// Send no new work to the engine with this id.
    Exclude(String),
    /// Send new work to the engine with this id again.
    Include(String),
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code: 2xx for success, 4xx and 5xx for failure.
    pub status: u16,
    /// Body of the reply, which has one or more lines.
    pub text: String,
}

impl Reply {
    /// Creates a reply whose body is one line.
    pub fn line(status: u16, text: impl fmt::Display) -> Self {
        Self { status, text: format!("{text}\n") }
    }

    /// Returns the reason phrase of the status.
    pub fn reason(&self) -> &'static str {
        match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            411 => "Length Required",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            503 => "Service Unavailable",
            _ => "Error",
        }
    }
}

/// Parses a call.
///
/// # Errors
/// Returns an error reply if the path is unknown, the method is not accepted or the body is invalid.
pub fn read(method: &str, path: &str, body: &[u8]) -> Result<Call, Reply> {
    let endpoint = ENDPOINTS.iter().find(|endpoint| endpoint.path == path).ok_or_else(unknown_path)?;
    if method != endpoint.method {
        return Err(Reply::line(405, format_args!("{path} takes {}", endpoint.method)));
    }
    match path {
        _ if path == READY.path => Ok(Call::Ready),
        _ if path == TELEMETRY.path => Ok(Call::Telemetry),
        _ if path == EXCLUDE.path => Ok(Call::Exclude(engine_id(body)?)),
        _ => Ok(Call::Include(engine_id(body)?)),
    }
}

fn unknown_path() -> Reply {
    let known = ENDPOINTS.map(|endpoint| format!("{} {}", endpoint.method, endpoint.path));
    Reply::line(404, format_args!("there is no such path; known are {}", known.join(", ")))
}

fn engine_id(body: &[u8]) -> Result<String, Reply> {
    let id = std::str::from_utf8(body).map(str::trim).unwrap_or_default();
    let has_valid_characters =
        id.chars().all(|character| !character.is_whitespace() && !character.is_control());
    if id.is_empty() || id.len() > MAX_ID_BYTES || !has_valid_characters {
        return Err(Reply::line(400, "the body must be the id of one engine"));
    }
    Ok(id.to_owned())
}

#[cfg(test)]
mod tests;
