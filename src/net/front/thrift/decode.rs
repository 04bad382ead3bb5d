//! Parser of client messages. It borrows from the read buffer.

use super::protocol::*;
use std::collections::BTreeMap;
use winnow::binary::{be_i16, be_i32, be_u32, u8};
use winnow::error::EmptyError;
use winnow::prelude::*;
use winnow::token::take;

/// Length of the header of a frame, which contains the length of the frame.
pub(super) const FRAME_HEADER_BYTES: usize = 4;

/// Maximum number of fields of a call. A decoded field takes several times the memory of a short encoded one.
const MAX_FIELDS: i32 = 1_000;
/// Maximum nesting depth of unknown fields, which are skipped recursively.
const MAX_DEPTH: usize = 16;

/// A message that borrows from the read buffer.
#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    /// The method `call`, which submits a statement.
    Call {
        /// Sequence number of the call.
        seqid: i32,
        /// Fields of the call, by name.
        fields: BTreeMap<&'a str, &'a str>,
        /// Statement to execute.
        body: &'a [u8],
    },
    /// The method `cancel`, with the sequence number of the call to cancel.
    Cancel(i32),
    /// The method `health`, with the sequence number of the message.
    Health(i32),
    /// An unsupported method, or arguments that cannot be decoded: the sequence number and the name of the method.
    Unknown(i32, &'a [u8]),
}

type ParseResult<T> = Result<T, EmptyError>;

/// Returns the length of the first frame including its header, or `None` if the header is incomplete.
pub fn frame_len(bytes: &[u8]) -> Option<usize> {
    let mut rest = bytes;
    let length: ParseResult<u32> = be_u32.parse_next(&mut rest);
    length.ok().map(|length| length as usize + FRAME_HEADER_BYTES)
}

fn binary<'a>(input: &mut &'a [u8]) -> ParseResult<&'a [u8]> {
    let length = be_i32.verify(|length: &i32| *length >= 0).parse_next(input)?;
    take(length as usize).parse_next(input)
}

fn text<'a>(input: &mut &'a [u8]) -> ParseResult<&'a str> {
    binary.verify_map(|bytes| std::str::from_utf8(bytes).ok()).parse_next(input)
}

fn text_map<'a>(input: &mut &'a [u8]) -> ParseResult<BTreeMap<&'a str, &'a str>> {
    let (key_type, value_type, length) = (u8, u8, be_i32).parse_next(input)?;
    let mut map = BTreeMap::new();
    if length == 0 {
        return Ok(map);
    }
    if !(0..=MAX_FIELDS).contains(&length) || key_type != STRING || value_type != STRING {
        return Err(EmptyError);
    }
    for _ in 0..length {
        let (name, value) = (text, text).parse_next(input)?;
        map.insert(name, value);
    }
    Ok(map)
}

/// Skips the value of an unknown field, with a maximum nesting of `depth` levels.
fn skip(input: &mut &[u8], field_type: u8, depth: usize) -> ParseResult<()> {
    if depth == 0 {
        return Err(EmptyError);
    }
    match field_type {
        BOOL | BYTE => take(1usize).void().parse_next(input),
        I16 => take(2usize).void().parse_next(input),
        I32 => take(4usize).void().parse_next(input),
        DOUBLE | I64 => take(8usize).void().parse_next(input),
        STRING => binary.void().parse_next(input),
        STRUCT => skip_struct(input, depth),
        MAP => skip_map(input, depth),
        SET | LIST => {
            let (element_type, length) = (u8, be_i32).parse_next(input)?;
            (0..length).try_for_each(|_| skip(input, element_type, depth - 1))
        }
        _ => Err(EmptyError),
    }
}

fn skip_struct(input: &mut &[u8], depth: usize) -> ParseResult<()> {
    loop {
        let field_type = u8.parse_next(input)?;
        if field_type == STOP {
            return Ok(());
        }
        be_i16.void().parse_next(input)?;
        skip(input, field_type, depth - 1)?;
    }
}

fn skip_map(input: &mut &[u8], depth: usize) -> ParseResult<()> {
    let (key_type, value_type, length) = (u8, u8, be_i32).parse_next(input)?;
    for _ in 0..length {
        skip(input, key_type, depth - 1)?;
        skip(input, value_type, depth - 1)?;
    }
    Ok(())
}

fn arguments<'a>(method: &[u8], seqid: i32, input: &mut &'a [u8]) -> ParseResult<Message<'a>> {
    let mut fields = BTreeMap::new();
    let mut body: &[u8] = &[];
    let mut cancelled = None;
    loop {
        let field_type = u8.parse_next(input)?;
        if field_type == STOP {
            break;
        }
        let field_id = be_i16.parse_next(input)?;
        match (method, field_id, field_type) {
            (b"call", 1, MAP) => fields = text_map.parse_next(input)?,
            (b"call", 2, STRING) => body = binary.parse_next(input)?,
            (b"cancel", 1, I32) => cancelled = Some(be_i32.parse_next(input)?),
            _ => skip(input, field_type, MAX_DEPTH)?,
        }
    }
    match method {
        b"call" => Ok(Message::Call { seqid, fields, body }),
        b"cancel" => cancelled.map(Message::Cancel).ok_or(EmptyError),
        _ => Ok(Message::Health(seqid)),
    }
}

/// The beginning of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct IncompleteCall {
    /// Length of the frame including its header.
    pub(super) length: usize,
    /// Sequence number of the call.
    pub(super) seqid: i32,
}

/// Parses the beginning of a frame. Returns `None` if it is not a call, or too short to tell.
pub(super) fn incomplete_call(bytes: &[u8]) -> Option<IncompleteCall> {
    let length = frame_len(bytes)?;
    let mut input = bytes.get(FRAME_HEADER_BYTES..)?;
    let head: ParseResult<_> = (be_u32, binary, be_i32).parse_next(&mut input);
    let (first_word, method, seqid) = head.ok()?;
    let is_call =
        first_word & VERSION_MASK == VERSION && (first_word & 0xff) as u8 == CALL && method == b"call";
    is_call.then_some(IncompleteCall { length, seqid })
}

/// Parses the message in a frame without its header. Returns `None` if it is not a message of this protocol, or is a
/// `cancel` with invalid arguments, which cannot be answered with an exception because it is one-way.
pub fn message(frame: &[u8]) -> Option<Message<'_>> {
    let mut input = frame;
    let head: ParseResult<_> = (be_u32, binary, be_i32).parse_next(&mut input);
    let (first_word, method, seqid) = head.ok()?;
    let message_type = (first_word & 0xff) as u8;
    if first_word & VERSION_MASK != VERSION || !matches!(message_type, CALL | ONEWAY) {
        return None;
    }
    if !matches!(method, b"call" | b"cancel" | b"health") {
        return Some(Message::Unknown(seqid, method));
    }
    match arguments(method, seqid, &mut input) {
        Ok(message) => Some(message),
        Err(EmptyError) if method == b"cancel" => None,
        Err(EmptyError) => Some(Message::Unknown(seqid, method)),
    }
}
