//! Encoding of commands to engines.

use crate::core::Send;
use crate::net::connection::frame::{Frame, Segment};
use crate::net::http;
use std::borrow::Cow;
use std::io::Write;

/// Initial capacity of the buffer of a command, in bytes. Most commands fit into it.
const USUAL_COMMAND_BYTES: usize = 128;

/// Encodes a command. With `body_length`, the caller appends a body of this length and an end of line.
fn encode(parts: &[&[u8]], body_length: Option<usize>) -> Vec<u8> {
    let mut out = Vec::with_capacity(USUAL_COMMAND_BYTES);
    let _ = write!(out, "*{}\r\n", parts.len() + usize::from(body_length.is_some()));
    for part in parts {
        let _ = write!(out, "${}\r\n", part.len());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    if let Some(length) = body_length {
        let _ = write!(out, "${length}\r\n");
    }
    out
}

/// Encodes a command without a body.
pub fn command(parts: &[&str]) -> Frame {
    let parts: Vec<&[u8]> = parts.iter().map(|part| part.as_bytes()).collect();
    Frame::plain(encode(&parts, None))
}

/// Encodes the command `want`, which starts an attempt.
pub fn attempt_command(send: Send) -> Frame {
    Frame::for_attempt(send, encode_attempt)
}

/// Returns a value without characters that separate fields. A value that contains one, or the character of the encoding, is
/// percent-encoded, so that different values stay different.
fn field_value(value: &str) -> Cow<'_, str> {
    let is_separator = |character: char| matches!(character, ',' | '=' | '%') || character.is_control();
    match value.contains(is_separator) {
        true => http::encode(value).into(),
        false => value.into(),
    }
}

/// Encodes an attempt. The statement is sent unchanged and is not copied; all attempts share it.
fn encode_attempt(send: &Send) -> Vec<Segment> {
    let statement = &send.statement;
    let mut fields = format!("queue={},budget={:.0}", statement.class, send.time_left.max(1.0));
    if let Some(key) = &statement.key {
        fields += &format!(",uniq={}", field_value(key));
    }
    if send.memory_mb >= 1.0 {
        fields += &format!(",mem={:.0}", send.memory_mb);
    }
    fields += &format!(",prio={}", send.priority);
    let head = encode(
        &[b"want", statement.name.as_bytes(), fields.as_bytes()],
        Some(statement.text.len() + statement.data.len()),
    );
    vec![
        Segment::Owned(head),
        Segment::StatementText(statement.clone()),
        Segment::StatementData(statement.clone()),
        Segment::Owned(b"\r\n".to_vec()),
    ]
}
