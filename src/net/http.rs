//! Parsing of HTTP/1.1 messages. Heads are parsed in place. Bodies are delimited by their length, by chunks or by the end of the
//! stream.

mod chunked;

pub use chunked::{ChunkDecoder, ChunkPart};

use winnow::ascii::digit1;
use winnow::combinator::{opt, preceded, repeat, terminated};
use winnow::error::{EmptyError, ErrMode};
use winnow::prelude::*;
use winnow::token::{take, take_till, take_while};
use winnow::Partial;

/// Maximum number of headers of a message. A parsed header takes many times the memory of a short one.
const MAX_HEADERS: usize = 256;

type Input<'a> = Partial<&'a [u8]>;
type ParseResult<T> = Result<T, ErrMode<EmptyError>>;

/// The head of a request or a response, borrowed from the receive buffer.
#[derive(Debug, PartialEq)]
pub struct Head<'a> {
    /// The method of a request, or the version of a response.
    pub method_or_version: &'a str,
    /// The target of a request, or the status of a response.
    pub target_or_status: &'a str,
    /// The version of a request, or the reason of a response.
    pub version_or_reason: &'a str,
    /// Names and values of the headers as they were sent; values without surrounding white space.
    pub headers: Vec<(&'a str, &'a str)>,
}

/// Result of parsing the start of a buffer.
#[derive(Debug, PartialEq)]
pub enum Read<T> {
    /// The parsed value and its length in bytes.
    Complete(T, usize),
    /// The buffer does not contain the complete value yet.
    Incomplete,
    /// The bytes are malformed.
    Invalid,
}

fn text(bytes: &[u8]) -> Option<&str> {
    std::str::from_utf8(bytes).ok()
}

fn end_of_line(input: &mut Input<'_>) -> ParseResult<()> {
    (opt(b'\r'), b'\n').void().parse_next(input)
}

fn header<'a>(input: &mut Input<'a>) -> ParseResult<(&'a str, &'a str)> {
    let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    let name = terminated(take_while(1.., token).verify_map(text), b':').parse_next(input)?;
    let value = terminated(take_till(0.., (b'\r', b'\n')).verify_map(text), end_of_line).parse_next(input)?;
    Ok((name, value.trim()))
}

fn head<'a>(input: &mut Input<'a>) -> ParseResult<Head<'a>> {
    let word = |input: &mut Input<'a>| {
        terminated(take_till(1.., (b' ', b'\r', b'\n')), b' ').verify_map(text).parse_next(input)
    };
    let (method_or_version, target_or_status) = (word, word).parse_next(input)?;
    let version_or_reason =
        terminated(take_till(0.., (b'\r', b'\n')).verify_map(text), end_of_line).parse_next(input)?;
    let headers = terminated(repeat(0..=MAX_HEADERS, header), end_of_line).parse_next(input)?;
    Ok(Head { method_or_version, target_or_status, version_or_reason, headers })
}

fn read<'a, T>(bytes: &'a [u8], parser: impl FnOnce(&mut Input<'a>) -> ParseResult<T>) -> Read<T> {
    let mut input = Partial::new(bytes);
    match parser(&mut input) {
        Ok(done) => Read::Complete(done, bytes.len() - input.len()),
        Err(ErrMode::Incomplete(_)) => Read::Incomplete,
        Err(_) => Read::Invalid,
    }
}

/// Parses the head of a request or a response.
pub fn read_head(bytes: &[u8]) -> Read<Head<'_>> {
    read(bytes, head)
}

impl<'a> Head<'a> {
    /// Returns the value of the first header of that name.
    pub fn header(&self, name: &str) -> Option<&'a str> {
        self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| *value)
    }

    /// Returns whether the comma-separated value of a header contains an item.
    fn lists(&self, name: &str, item: &str) -> bool {
        let is_item = |listed: &str| listed.trim().eq_ignore_ascii_case(item);
        self.header(name).is_some_and(|value| value.split(',').any(is_item))
    }

    /// Returns whether the connection stays open after this message, which has the HTTP version `version`.
    pub fn keeps_alive(&self, version: &str) -> bool {
        !self.lists("connection", "close")
            && (version != "HTTP/1.0" || self.lists("connection", "keep-alive"))
    }

    /// Returns how the end of the body is determined: `default` if no header says so, and `None` if the headers are invalid or
    /// contradict each other.
    pub fn body(&self, default: Length) -> Option<Length> {
        let lengths: Vec<_> =
            self.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("content-length")).collect();
        if self.header("transfer-encoding").is_some() {
            // A message with both headers could be used for request smuggling.
            return (self.lists("transfer-encoding", "chunked") && lengths.is_empty())
                .then_some(Length::Chunked);
        }
        match lengths.as_slice() {
            [] => Some(default),
            [(_, length)] if length.bytes().all(|byte| byte.is_ascii_digit()) => {
                length.parse().ok().map(Length::Bytes)
            }
            _ => None,
        }
    }
}

/// The way in which the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Length {
    /// By this number of bytes.
    Bytes(usize),
    /// By an empty chunk.
    Chunked,
    /// By the end of the stream.
    Stream,
}

/// Returns the status code of a response; `None` if the head is not that of a valid HTTP/1 response.
pub fn status(head: &Head<'_>) -> Option<u16> {
    let code: Result<&str, EmptyError> = digit1.parse_next(&mut { head.target_or_status });
    code.ok().filter(|_| head.method_or_version.starts_with("HTTP/1.")).and_then(|code| code.parse().ok())
}

/// Decodes percent-encoding; `+` is decoded to a space.
pub fn decode(encoded: &str) -> String {
    fn byte(input: &mut &[u8]) -> Result<u8, EmptyError> {
        let digits =
            preceded(b'%', take(2usize)).verify_map(|d: &[u8]| u8::from_str_radix(text(d)?, 16).ok());
        winnow::combinator::alt((digits, b'+'.value(b' '), winnow::token::any)).parse_next(input)
    }
    let all: Result<Vec<u8>, EmptyError> = repeat(0.., byte).parse_next(&mut encoded.as_bytes());
    String::from_utf8_lossy(&all.unwrap_or_default()).into_owned()
}

/// Splits a request target into its path and its query parameters, all decoded.
pub fn target(target: &str) -> (String, Vec<(String, String)>) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pair = |text: &str| {
        let (name, value) = text.split_once('=').unwrap_or((text, ""));
        (decode(name), decode(value))
    };
    (decode(path), query.split('&').filter(|text| !text.is_empty()).map(pair).collect())
}

/// Percent-encodes a value.
pub fn encode(text: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    let encode = |byte| if is_plain(byte) { (byte as char).to_string() } else { format!("%{byte:02X}") };
    text.bytes().map(encode).collect()
}
