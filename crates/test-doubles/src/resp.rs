//! Encodes and parses the platform's commands and answers on engine connections: RESP arrays of bulk strings.

/// Maximum number of bytes of one message.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Maximum number of parts that are read of one message.
const MAX_PARTS: usize = 8;

/// The error for received bytes that are not an array of bulk strings, or that hold a part that is too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidMessage;

/// An array that was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedArray {
    /// The parts of the array.
    pub parts: Vec<String>,
    /// Encoded length of the array in bytes.
    pub length: usize,
}

/// Reads the elements of an encoded array of bulk strings.
struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    /// Reads a line that consists of a type byte and a length. Returns `None` if more bytes are needed.
    fn length(&mut self, type_byte: u8) -> Result<Option<usize>, InvalidMessage> {
        let rest = self.bytes.get(self.position..).unwrap_or_default();
        let Some(end) = rest.windows(2).position(|window| window == b"\r\n") else { return Ok(None) };
        if rest[0] != type_byte {
            return Err(InvalidMessage);
        }
        self.position += end + 2;
        let number = std::str::from_utf8(&rest[1..end]).ok().and_then(|number| number.parse().ok());
        number.filter(|number| *number <= MAX_MESSAGE_BYTES).map(Some).ok_or(InvalidMessage)
    }

    /// Reads the next bulk string. Returns `None` if more bytes are needed.
    fn bulk_string(&mut self) -> Result<Option<&'a [u8]>, InvalidMessage> {
        let Some(length) = self.length(b'$')? else { return Ok(None) };
        let end = self.position + length;
        let Some(part) = self.bytes.get(self.position..end) else { return Ok(None) };
        if self.bytes.len() < end + 2 {
            return Ok(None);
        }
        self.position = end + 2;
        Ok(Some(part))
    }
}

/// Parses the first array. Returns `None` if more bytes are needed.
///
/// # Errors
/// The bytes don't begin with a valid array of bulk strings.
pub fn parse(bytes: &[u8]) -> Result<Option<ParsedArray>, InvalidMessage> {
    let mut reader = Reader { bytes, position: 0 };
    let Some(count) = reader.length(b'*')? else { return Ok(None) };
    let mut parts = Vec::new();
    for _ in 0..count.min(MAX_PARTS) {
        let Some(part) = reader.bulk_string()? else { return Ok(None) };
        parts.push(String::from_utf8_lossy(part).into_owned());
    }
    Ok(Some(ParsedArray { parts, length: reader.position }))
}

/// Encodes an array of bulk strings.
pub fn encode(parts: &[&str]) -> Vec<u8> {
    let bulk_string = |part: &&str| format!("${}\r\n{part}\r\n", part.len());
    format!("*{}\r\n{}", parts.len(), parts.iter().map(bulk_string).collect::<String>()).into_bytes()
}

#[cfg(test)]
mod tests;
