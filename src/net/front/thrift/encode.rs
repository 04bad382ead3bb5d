//! Encoding of answers as frames.

use super::protocol::*;
use crate::core::ResultRows;
use crate::interface::Milliseconds;
use crate::net::connection::frame::Frame;
use crate::net::front::thrift::decode::FRAME_HEADER_BYTES;

/// Field id of the answer in the result of a method.
const ANSWER_FIELD: i16 = 0;
/// Field id of the exception `Overloaded` in the result of `call`.
const OVERLOADED_FIELD: i16 = 1;
/// Field id of the exception `Internal` in the result of `call`.
const INTERNAL_FIELD: i16 = 2;

/// Encodes the start of a message, with zeros in place of the frame's header.
fn message_head(message_type: u8, method: &str, seqid: i32) -> Vec<u8> {
    let mut out = vec![0; FRAME_HEADER_BYTES];
    out.extend((VERSION | u32::from(message_type)).to_be_bytes());
    write_binary(&mut out, method.as_bytes());
    out.extend(seqid.to_be_bytes());
    out
}

fn write_binary(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}

fn write_field_head(out: &mut Vec<u8>, field_type: u8, id: i16) {
    out.push(field_type);
    out.extend(id.to_be_bytes());
}

fn write_text_map(out: &mut Vec<u8>, pairs: &[(&str, &str)]) {
    out.extend([STRING, STRING]);
    out.extend((pairs.len() as u32).to_be_bytes());
    for (name, value) in pairs {
        write_binary(out, name.as_bytes());
        write_binary(out, value.as_bytes());
    }
}

/// Sets the header of a frame to the length of its parts.
fn frame(mut parts: Vec<Vec<u8>>) -> Frame {
    let length = parts.iter().map(Vec::len).sum::<usize>() - FRAME_HEADER_BYTES;
    parts[0][..FRAME_HEADER_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Frame::from_parts(parts)
}

/// Encodes an `Answer`: a result, whose parts are not copied, and whether the gateway is healthy.
pub(super) fn answer(method: &str, seqid: i32, rows: ResultRows, is_healthy: bool) -> Frame {
    let mut head = message_head(REPLY, method, seqid);
    write_field_head(&mut head, STRUCT, ANSWER_FIELD);
    write_field_head(&mut head, STRING, 1);
    head.extend((rows.parts.iter().map(Vec::len).sum::<usize>() as u32).to_be_bytes());
    let mut tail = Vec::new();
    write_field_head(&mut tail, MAP, 2);
    write_text_map(&mut tail, &[]);
    write_field_head(&mut tail, BOOL, 3);
    tail.extend([u8::from(is_healthy), STOP, STOP]);
    frame(std::iter::once(head).chain(rows.parts).chain([tail]).collect())
}

/// Encodes a declared exception, in the given field of the result of `call`.
fn declared_exception(seqid: i32, field: i16, pairs: &[(&str, &str)]) -> Frame {
    let mut out = message_head(REPLY, "call", seqid);
    write_field_head(&mut out, STRUCT, field);
    write_field_head(&mut out, MAP, 1);
    write_text_map(&mut out, pairs);
    out.extend([STOP, STOP]);
    frame(vec![out])
}

/// Encodes the exception `Overloaded`: the call was rejected, and the client may retry after `retry_after`.
pub(super) fn overloaded(seqid: i32, retry_after: Milliseconds) -> Frame {
    declared_exception(seqid, OVERLOADED_FIELD, &[("later", &format!("{:.0}", retry_after.max(0.0)))])
}

/// Encodes the exception `Internal`: the call failed.
pub(super) fn internal(seqid: i32, reason: &str) -> Frame {
    declared_exception(seqid, INTERNAL_FIELD, &[("why", reason)])
}

/// Encodes the exception for an unsupported method, or for arguments that cannot be decoded.
pub(super) fn exception(seqid: i32, method: &[u8]) -> Frame {
    let method = String::from_utf8_lossy(method);
    let (text, code): (&[u8], i32) = match &*method {
        "call" | "health" => (b"arguments that can't be read", PROTOCOL_ERROR),
        _ => (b"unknown method", UNKNOWN_METHOD),
    };
    let mut out = message_head(EXCEPTION, &method, seqid);
    write_field_head(&mut out, STRING, 1);
    write_binary(&mut out, text);
    write_field_head(&mut out, I32, 2);
    out.extend(code.to_be_bytes());
    out.push(STOP);
    frame(vec![out])
}
