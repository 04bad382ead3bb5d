//! The platform's engines: RESP arrays of bulk strings. Answers are read in place.

use crate::core::Send;
use crate::interface::LoadReport;
use crate::net::connection::frame::{Frame, Segment};
pub use crate::net::engine::progress::InvalidProgressUpdate;
use std::io::Write;
use winnow::ascii::{crlf, dec_uint};
use winnow::combinator::{delimited, preceded, terminated};
use winnow::error::{EmptyError, ErrMode};
use winnow::prelude::*;
use winnow::token::take;
use winnow::Partial;

type Input<'a> = Partial<&'a [u8]>;
type ParseResult<T> = Result<T, ErrMode<EmptyError>>;

/// An answer of an engine, still in the buffer.
#[derive(Debug, PartialEq)]
pub struct Reply<'a> {
    /// The id or tag that it answers.
    pub id: &'a str,
    /// What it says.
    pub word: &'a [u8],
    /// Its fields, `name=value` parted by commas.
    pub fields: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

/// What reading the start of a buffer brought.
#[derive(Debug, PartialEq)]
pub enum Read<'a> {
    /// An answer, and the bytes that it took.
    Reply(Reply<'a>, usize),
    /// Not all of one is there.
    More,
    /// This is no answer.
    Bad,
}

fn bulk_string<'a>(limit: usize) -> impl FnMut(&mut Input<'a>) -> ParseResult<&'a [u8]> {
    move |input: &mut Input<'a>| {
        let len: usize = delimited(b'$', dec_uint, crlf).verify(|n| *n <= limit).parse_next(input)?;
        terminated(take(len), crlf).parse_next(input)
    }
}

fn utf8_string<'a>(limit: usize) -> impl FnMut(&mut Input<'a>) -> ParseResult<&'a str> {
    move |input: &mut Input<'a>| {
        bulk_string(limit).verify_map(|b| std::str::from_utf8(b).ok()).parse_next(input)
    }
}

fn reply_array<'a>(limit: usize) -> impl FnMut(&mut Input<'a>) -> ParseResult<Reply<'a>> {
    move |input: &mut Input<'a>| {
        let parts: usize = terminated(preceded(b'*', dec_uint), crlf).parse_next(input)?;
        if !(2..=4).contains(&parts) {
            return Err(ErrMode::Backtrack(EmptyError));
        }
        let (id, said) = (utf8_string(limit), bulk_string(limit)).parse_next(input)?;
        let fields = if parts > 2 { utf8_string(limit).parse_next(input)? } else { "-" };
        let body = if parts > 3 { bulk_string(limit).parse_next(input)? } else { &[] };
        Ok(Reply { id, word: said, fields, body })
    }
}

/// Reads one answer, no part of which is longer than the limit.
pub fn read(bytes: &[u8], limit: usize) -> Read<'_> {
    let mut input = Partial::new(bytes);
    match reply_array(limit).parse_next(&mut input) {
        Ok(reply) => Read::Reply(reply, bytes.len() - input.len()),
        Err(ErrMode::Incomplete(_)) => Read::More,
        Err(_) => Read::Bad,
    }
}

impl<'a> Reply<'a> {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        let pairs = self.fields.split(',').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, value)| value)
    }

    /// The value of a field that is a number.
    pub fn number(&self, name: &str) -> Option<f64> {
        self.field(name).and_then(|v| v.parse().ok()).filter(|v: &f64| v.is_finite())
    }

    /// The load report in `use`, if there is one.
    pub fn report(&self) -> Option<LoadReport> {
        self.field("use").map(report)
    }
}

/// Reads `inflight:7;util:0.61`, by the platform's names or the simulator's.
pub fn report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|pair| pair.split_once(':')) {
        let value = value.parse().ok();
        match name {
            "inflight" | "concurrent" => report.inflight = value,
            "queue" | "depth" => report.queue = value,
            "util" | "load_share" => report.util = value,
            "x0" => report.memory = value,
            "x1" => report.disks = value,
            _ => {}
        }
    }
    report
}

/// Whether this is a page of a result: whole rows of three columns of text.
pub fn has_whole_rows(body: &[u8]) -> bool {
    let whole = body.is_empty() || body.ends_with(b"\n");
    let three = |row: &str| row.bytes().filter(|b| *b == b'\t').count() == 2;
    whole && std::str::from_utf8(body).is_ok_and(|text| text.lines().all(three))
}

fn encode_command(parts: &[&[u8]], open: Option<usize>) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    let _ = write!(out, "*{}\r\n", parts.len() + usize::from(open.is_some()));
    for part in parts {
        let _ = write!(out, "${}\r\n", part.len());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    if let Some(len) = open {
        let _ = write!(out, "${len}\r\n");
    }
    out
}

/// A command without a body.
pub fn command(parts: &[&str]) -> Frame {
    let parts: Vec<&[u8]> = parts.iter().map(|p| p.as_bytes()).collect();
    Frame::plain(encode_command(&parts, None))
}

/// The message of an attempt: the command `want`.
pub fn want_command(send: Send) -> Frame {
    Frame::for_attempt(send, encode_want)
}

/// The statement goes out as it came in, shared by all attempts.
fn encode_want(send: &Send) -> Vec<Segment> {
    let statement = &send.statement;
    let mut fields = format!("queue={},budget={:.0}", statement.class, send.budget.max(1.0));
    if let Some(key) = &statement.key {
        fields += &format!(",uniq={key}");
    }
    if send.memory_mb >= 1.0 {
        fields += &format!(",mem={:.0}", send.memory_mb);
    }
    fields += &format!(",prio={}", send.priority);
    let head = encode_command(
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
