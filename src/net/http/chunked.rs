//! Decoding of chunked bodies as their bytes arrive.

use super::{end_of_line, header, read, Read};
use winnow::ascii::hex_uint;
use winnow::combinator::{repeat, terminated};
use winnow::prelude::*;
use winnow::token::take_till;

/// Position in a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// Before the line with the length of a chunk.
    Length,
    /// Before this number of bytes of a chunk, and the end of line after them.
    Data(usize),
    /// Before the headers after the last chunk, and the empty line that ends them.
    Trailer,
}

/// The next part of a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkPart {
    /// The line that announces a chunk of this length; 0 before the trailer.
    Length(usize),
    /// Bytes of the body.
    Data,
    /// The end of line after a chunk.
    Separator,
    /// The trailer, which ends the body.
    End,
}

/// Decoder of one chunked body.
#[derive(Debug)]
pub struct ChunkDecoder {
    position: Position,
}

impl ChunkDecoder {
    /// Creates a decoder at the start of a body.
    pub fn new() -> Self {
        Self { position: Position::Length }
    }

    /// Decodes the part at the start of `bytes`, which the caller then consumes. The parts other than data are short.
    pub fn decode(&mut self, bytes: &[u8]) -> Read<ChunkPart> {
        match self.position {
            Position::Length => self.advance(read_length(bytes), |length| {
                let next = if length == 0 { Position::Trailer } else { Position::Data(length) };
                (next, ChunkPart::Length(length))
            }),
            Position::Data(0) => {
                self.advance(read(bytes, end_of_line), |()| (Position::Length, ChunkPart::Separator))
            }
            Position::Data(_) if bytes.is_empty() => Read::Incomplete,
            Position::Data(remaining) => {
                let available = remaining.min(bytes.len());
                self.position = Position::Data(remaining - available);
                Read::Complete(ChunkPart::Data, available)
            }
            Position::Trailer => self.advance(read_trailer(bytes), |()| (Position::Trailer, ChunkPart::End)),
        }
    }

    fn advance<T>(
        &mut self,
        parsed: Read<T>,
        next: impl FnOnce(T) -> (Position, ChunkPart),
    ) -> Read<ChunkPart> {
        match parsed {
            Read::Complete(value, used) => {
                let (position, part) = next(value);
                self.position = position;
                Read::Complete(part, used)
            }
            Read::Incomplete => Read::Incomplete,
            Read::Invalid => Read::Invalid,
        }
    }
}

impl Default for ChunkDecoder {
    fn default() -> Self {
        Self::new()
    }
}

fn read_length(bytes: &[u8]) -> Read<usize> {
    read(bytes, |input| {
        let length: u32 = hex_uint.parse_next(input)?;
        // Extensions of the chunk are ignored.
        (take_till(0.., (b'\r', b'\n')), end_of_line).void().parse_next(input)?;
        Ok(length as usize)
    })
}

fn read_trailer(bytes: &[u8]) -> Read<()> {
    read(bytes, |input| {
        terminated(repeat::<_, _, (), _, _>(0.., header.void()), end_of_line).parse_next(input)
    })
}

#[cfg(test)]
mod tests;
