//! Encodes messages and reads answers of the platform's client protocol.

use std::io::Read;
use std::net::TcpStream;

fn put_string(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}

fn message(kind: u8, name: &str, seq: i32, args: &[u8]) -> Vec<u8> {
    let mut out = vec![0x80, 1, 0, kind];
    put_string(&mut out, name.as_bytes());
    out.extend(seq.to_be_bytes());
    out.extend(args);
    [&(out.len() as u32).to_be_bytes()[..], &out].concat()
}

/// Encodes a `call` with the given fields and statement.
pub(crate) fn call(seq: i32, fields: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut args = vec![13, 0, 1, 11, 11];
    args.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        put_string(&mut args, name.as_bytes());
        put_string(&mut args, value.as_bytes());
    }
    args.extend([11, 0, 2]);
    put_string(&mut args, body.as_bytes());
    args.push(0);
    message(1, "call", seq, &args)
}

pub(crate) fn cancel(seq: i32) -> Vec<u8> {
    message(4, "cancel", 99, &[&[8, 0, 1][..], &seq.to_be_bytes(), &[0]].concat())
}

pub(crate) fn health(seq: i32) -> Vec<u8> {
    message(1, "health", seq, &[2, 0, 1, 0, 0])
}

/// Reads the next answer. Returns its sequence number, its kind (`served`, `overloaded`, `internal` or `exception`) and its text.
pub(crate) fn answer(stream: &mut TcpStream) -> (i32, &'static str, String) {
    let mut len = [0; 4];
    stream.read_exact(&mut len).expect("an answer");
    let mut frame = vec![0; u32::from_be_bytes(len) as usize];
    stream.read_exact(&mut frame).expect("a complete answer");
    let name = u32::from_be_bytes(frame[4..8].try_into().expect("4")) as usize;
    let rest = &frame[8 + name..];
    let seq = i32::from_be_bytes(rest[..4].try_into().expect("4"));
    let kind = match (frame[3], rest[6]) {
        (2, 0) => "served",
        (2, 1) => "overloaded",
        (2, 2) => "internal",
        _ => "exception",
    };
    let body = match kind {
        "served" => {
            let len = u32::from_be_bytes(rest[10..14].try_into().expect("4")) as usize;
            String::from_utf8_lossy(&rest[14..14 + len]).into_owned()
        }
        _ => String::from_utf8_lossy(rest).into_owned(),
    };
    (seq, kind, body)
}
