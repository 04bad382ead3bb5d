//! Parser of engine replies. It borrows from the read buffer.

use crate::interface::LoadReport;
use winnow::ascii::{crlf, dec_uint};
use winnow::combinator::{delimited, preceded, terminated};
use winnow::error::{EmptyError, ErrMode};
use winnow::prelude::*;
use winnow::token::take;
use winnow::Partial;

type Input<'a> = Partial<&'a [u8]>;
type ParseResult<T> = Result<T, ErrMode<EmptyError>>;

/// Value of [`Reply::fields`] in a reply without fields.
const NO_FIELDS: &str = "-";

/// A reply of an engine that borrows from the read buffer.
#[derive(Debug, PartialEq)]
pub struct Reply<'a> {
    /// Name of the attempt that the reply belongs to, or `p` and the tag of the health check.
    pub id: &'a str,
    /// Kind of the reply, such as `served` or `overload`.
    pub kind: &'a [u8],
    /// Fields of the reply, as `name=value` separated by commas.
    pub fields: &'a str,
    /// Body of the reply; empty if it has none.
    pub body: &'a [u8],
}

/// Result of parsing the start of a buffer.
#[derive(Debug, PartialEq)]
pub enum Read<'a> {
    /// A complete reply, and its length in bytes.
    Reply(Reply<'a>, usize),
    /// The reply is incomplete; more bytes are required.
    Incomplete,
    /// The bytes are not a valid reply.
    Invalid,
}

fn bulk_string<'a>(limit: usize) -> impl FnMut(&mut Input<'a>) -> ParseResult<&'a [u8]> {
    move |input: &mut Input<'a>| {
        let length: usize =
            delimited(b'$', dec_uint, crlf).verify(|length| *length <= limit).parse_next(input)?;
        terminated(take(length), crlf).parse_next(input)
    }
}

fn utf8_string<'a>(limit: usize) -> impl FnMut(&mut Input<'a>) -> ParseResult<&'a str> {
    move |input: &mut Input<'a>| {
        bulk_string(limit).verify_map(|bytes| std::str::from_utf8(bytes).ok()).parse_next(input)
    }
}

fn reply_array<'a>(limit: usize) -> impl FnMut(&mut Input<'a>) -> ParseResult<Reply<'a>> {
    move |input: &mut Input<'a>| {
        let parts: usize = terminated(preceded(b'*', dec_uint), crlf).parse_next(input)?;
        if !(2..=4).contains(&parts) {
            return Err(ErrMode::Backtrack(EmptyError));
        }
        let (id, kind) = (utf8_string(limit), bulk_string(limit)).parse_next(input)?;
        let fields = if parts > 2 { utf8_string(limit).parse_next(input)? } else { NO_FIELDS };
        let body = if parts > 3 { bulk_string(limit).parse_next(input)? } else { &[] };
        Ok(Reply { id, kind, fields, body })
    }
}

/// Parses one reply. A part longer than `limit` bytes is invalid.
pub fn read(bytes: &[u8], limit: usize) -> Read<'_> {
    let mut input = Partial::new(bytes);
    match reply_array(limit).parse_next(&mut input) {
        Ok(reply) => Read::Reply(reply, bytes.len() - input.len()),
        Err(ErrMode::Incomplete(_)) => Read::Incomplete,
        Err(_) => Read::Invalid,
    }
}

impl<'a> Reply<'a> {
    /// Returns the value of a field, if the reply has it.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        let mut pairs = self.fields.split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
    }

    /// Returns the value of a field, if it is a finite number.
    pub fn number(&self, name: &str) -> Option<f64> {
        self.field(name).and_then(|value| value.parse().ok()).filter(|value: &f64| value.is_finite())
    }

    /// Parses the load report in the field `use`, if there is one.
    pub fn load_report(&self) -> Option<LoadReport> {
        self.field("use").map(parse_load_report)
    }
}

/// Parses a load report such as `inflight:7;util:0.61`. Accepts the names of the platform and those of the simulator.
pub fn parse_load_report(text: &str) -> LoadReport {
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
