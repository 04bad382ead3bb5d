//! The client's side of the platform's protocol: framed Thrift in the strict binary protocol.

/// The version and message type of a call, as its first four bytes.
const CALL_HEADER: [u8; 4] = [0x80, 1, 0, 1];
/// The type byte of a reply, and the ids of its result field for success and for an error.
const REPLY: u8 = 2;
const SUCCESS_FIELD: u8 = 0;
const ERROR_FIELD: u8 = 1;
/// Thrift's type bytes.
const TYPE_STRING: u8 = 11;
const TYPE_MAP: u8 = 13;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    /// Its rows arrived.
    Served,
    /// Rejected; the client should retry after so many milliseconds.
    Refused(f64),
    /// Failed.
    Failed,
    /// The connection ended first.
    Lost,
}

/// A reply: the sequence number of its call, and the answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reply {
    /// The sequence number.
    pub sequence: i32,
    /// The answer.
    pub answer: Answer,
}

fn put_string(message: &mut Vec<u8>, bytes: &[u8]) {
    message.extend((bytes.len() as u32).to_be_bytes());
    message.extend(bytes);
}

/// A framed `call` with these fields and this statement.
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

/// Parses a reply without the length of its frame; none if it is malformed.
pub fn parse_reply(frame: &[u8]) -> Option<Reply> {
    let name_length = u32::from_be_bytes(frame.get(4..8)?.try_into().ok()?) as usize;
    let rest = frame.get(8 + name_length..)?;
    let sequence = i32::from_be_bytes(rest.get(..4)?.try_into().ok()?);
    let answer = match (frame[3], *rest.get(6)?) {
        (REPLY, SUCCESS_FIELD) => Answer::Served,
        (REPLY, ERROR_FIELD) => Answer::Refused(retry_after(&String::from_utf8_lossy(rest))),
        _ => Answer::Failed,
    };
    Some(Reply { sequence, answer })
}

/// The number after the word `later` in an error's text, in milliseconds.
fn retry_after(text: &str) -> f64 {
    let later = text.split_once("later").map_or("", |(_, rest)| rest);
    let number = later.trim_start_matches(|char: char| !char.is_ascii_digit());
    let end = number.find(|char: char| !char.is_ascii_digit() && char != '.').unwrap_or(number.len());
    number[..end].parse().unwrap_or(0.0)
}
