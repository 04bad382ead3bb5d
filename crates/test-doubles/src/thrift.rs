//! Encodes calls and parses replies of the platform's client protocol: framed Thrift with the strict binary protocol.

/// First four bytes of a call: the protocol version and the message type.
const CALL_HEADER: [u8; 4] = [0x80, 1, 0, 1];
/// Message type of a reply, and the ids of its result field for success and for an error.
const REPLY: u8 = 2;
const SUCCESS_FIELD: u8 = 0;
const ERROR_FIELD: u8 = 1;
/// Thrift's type codes of strings and maps.
const TYPE_STRING: u8 = 11;
const TYPE_MAP: u8 = 13;

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    /// The rows of the result were received.
    Served,
    /// The gateway rejected the request. The value is the time after which to retry, in milliseconds.
    Rejected(f64),
    /// The request failed.
    Failed,
    /// The connection ended before an answer was received.
    Lost,
}

/// A reply to a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reply {
    /// Sequence number of the call.
    pub sequence: i32,
    /// Outcome of the request.
    pub answer: Answer,
}

fn put_string(message: &mut Vec<u8>, bytes: &[u8]) {
    message.extend((bytes.len() as u32).to_be_bytes());
    message.extend(bytes);
}

/// Encodes a framed `call` with the given fields and statement.
pub fn encode_call(sequence: i32, fields: &[(&str, &str)], statement: &str) -> Vec<u8> {
    let mut message = CALL_HEADER.to_vec();
    put_string(&mut message, b"call");
    message.extend(sequence.to_be_bytes());
    message.extend([TYPE_MAP, 0, 1, TYPE_STRING, TYPE_STRING]);
    message.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        put_string(&mut message, name.as_bytes());
        put_string(&mut message, value.as_bytes());
    }
    message.extend([TYPE_STRING, 0, 2]);
    put_string(&mut message, statement.as_bytes());
    message.push(0);
    [&(message.len() as u32).to_be_bytes()[..], &message].concat()
}

/// Parses a frame without its length prefix as a reply. Returns `None` if it is malformed.
pub fn parse_reply(frame: &[u8]) -> Option<Reply> {
    let name_length = u32::from_be_bytes(frame.get(4..8)?.try_into().ok()?) as usize;
    let rest = frame.get(8 + name_length..)?;
    let sequence = i32::from_be_bytes(rest.get(..4)?.try_into().ok()?);
    let answer = match (frame[3], *rest.get(6)?) {
        (REPLY, SUCCESS_FIELD) => Answer::Served,
        (REPLY, ERROR_FIELD) => Answer::Rejected(retry_after(&String::from_utf8_lossy(rest))),
        _ => Answer::Failed,
    };
    Some(Reply { sequence, answer })
}

/// Returns the number after the word `later` in the text of an error: the time after which to retry, in milliseconds. Returns 0
/// if there is none.
fn retry_after(text: &str) -> f64 {
    let later = text.split_once("later").map_or("", |(_, rest)| rest);
    let number = later.trim_start_matches(|char: char| !char.is_ascii_digit());
    let end = number.find(|char: char| !char.is_ascii_digit() && char != '.').unwrap_or(number.len());
    number[..end].parse().unwrap_or(0.0)
}
