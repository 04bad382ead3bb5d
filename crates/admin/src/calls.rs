//! The calls of the second address. In come method, path and body; out comes what is asked for, or the status and the
//! line that says what is wrong.

use crate::operator_overrides::ID_BYTES;

/// What staff ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Ready,
    /// The figures.
    Telemetry,
    /// Nothing more to that engine.
    Exclude(String),
    /// Use that engine again.
    Include(String),
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Status code: 2xx is yes, 4xx and 5xx are no.
    pub status: u16,
    /// What is said, a line or more.
    pub text: String,
}

impl Reply {
    /// With one line.
    pub fn line(status: u16, text: impl std::fmt::Display) -> Self {
        Self { status, text: format!("{text}\n") }
    }

    /// The reason phrase of the status.
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

/// Bytes of a body at most.
pub const BODY: usize = 1024;

/// Paths, methods, and what they are.
const PATHS: [(&str, &str); 4] =
    [("/api/ready", "GET"), ("/api/telemetry", "GET"), ("/api/exclude", "PUT"), ("/api/include", "PUT")];

/// What a call asks for.
///
/// # Errors
/// The answer that says what is wrong with it.
pub fn read(method: &str, path: &str, body: &[u8]) -> Result<Call, Reply> {
    let Some((_, wanted)) = PATHS.iter().find(|(p, _)| *p == path) else {
        let known: Vec<_> = PATHS.iter().map(|(path, method)| format!("{method} {path}")).collect();
        return Err(Reply::line(404, format_args!("there is no such path; known are {}", known.join(", "))));
    };
    if method != *wanted {
        return Err(Reply::line(405, format_args!("{path} takes {wanted}")));
    }
    match path {
        "/api/ready" => Ok(Call::Ready),
        "/api/telemetry" => Ok(Call::Telemetry),
        _ => {
            let id = std::str::from_utf8(body).map(str::trim).unwrap_or_default();
            let plain = |c: char| !c.is_whitespace() && !c.is_control();
            if id.is_empty() || id.len() > ID_BYTES || !id.chars().all(plain) {
                return Err(Reply::line(400, "the body must be the id of one engine"));
            }
            Ok(match path {
                "/api/exclude" => Call::Exclude(id.to_owned()),
                _ => Call::Include(id.to_owned()),
            })
        }
    }
}

#[cfg(test)]
mod tests;
