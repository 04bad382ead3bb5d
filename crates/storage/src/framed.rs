//! Bytes that tell whether they are whole: a head of 20 bytes, all little-endian, then records in postcard's form.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0..8 | what it is |
//! | 8..12 | version |
//! | 12..16 | length of what follows the head |
//! | 16..20 | CRC-32 (IEEE 802.3) of bytes 0..16 and of all that follows the head |

use serde::{de::DeserializeOwned, Serialize};
use thiserror::Error;

/// Bytes of the head.
pub const HEAD: usize = 20;

/// Why bytes cannot be read.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The file is cut, or bytes were added.
    #[error("at byte {at}: the file has {found} bytes and should have {expected}")]
    Length {
        /// Where the fault shows.
        at: usize,
        /// Bytes that are there.
        found: usize,
        /// Bytes that should be.
        expected: usize,
    },
    /// It is something else.
    #[error("at byte 0: this is no such file")]
    Magic,
    /// Written by a later release: left alone.
    #[error(
        "at byte 8: version {0} is newer than this program, which reads up to {1}; it is left untouched"
    )]
    Newer(u32, u32),
    /// No release wrote that version.
    #[error("at byte 8: there is no version {0}")]
    Version(u32),
    /// Some byte changed.
    #[error("at byte 16: the checksum does not fit")]
    Checksum,
    /// The checksum fits, but the records are none.
    #[error("at byte {HEAD}: the records cannot be read: {0}")]
    Records(String),
    /// The records would take more room than is allowed.
    #[error("the records take {0} bytes, more than the {1} that are allowed")]
    TooLarge(usize, usize),
}

/// What a file holds, and the last of its versions that this release knows.
#[derive(Debug, Clone, Copy)]
pub struct Form {
    /// Its first bytes.
    pub magic: [u8; 8],
    /// The version that is written.
    pub version: u32,
}

fn checksum(head: &[u8], records: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(head);
    hasher.update(records);
    hasher.finalize()
}

/// The bytes of a file of that form, at most so many.
///
/// # Errors
/// They would be more.
pub fn encode(form: &Form, records: &impl Serialize, most: usize) -> Result<Vec<u8>, FrameError> {
    let bytes = form.frame(&pack(records)?);
    if bytes.len() > most {
        return Err(FrameError::TooLarge(bytes.len(), most));
    }
    Ok(bytes)
}

/// Reads the records of a file of that form.
///
/// # Errors
/// Says where and why the bytes are none; never panics, whatever they are.
pub fn decode<T: DeserializeOwned>(form: &Form, bytes: &[u8]) -> Result<T, FrameError> {
    unpack(form.open(bytes)?.1)
}

/// Records in postcard's form.
///
/// # Errors
/// They cannot be written.
pub fn pack(records: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    postcard::to_stdvec(records).map_err(|e| FrameError::Records(e.to_string()))
}

/// Reads records of which nothing is left over.
///
/// # Errors
/// They are none.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    let bad = |e: postcard::Error| FrameError::Records(e.to_string());
    let (records, rest) = postcard::take_from_bytes(bytes).map_err(bad)?;
    if rest.is_empty() {
        Ok(records)
    } else {
        Err(FrameError::Records(format!("{} bytes are left over", rest.len())))
    }
}

impl Form {
    /// Packed records with their head.
    pub fn frame(&self, records: &[u8]) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD + records.len());
        out.extend(self.magic);
        out.extend(self.version.to_le_bytes());
        out.extend((records.len() as u32).to_le_bytes());
        out.extend(checksum(&out, records).to_le_bytes());
        out.extend(records);
        out
    }

    /// The version and the packed records of a file that is whole.
    ///
    /// # Errors
    /// Says where and why it is not; never panics, whatever the bytes are.
    pub fn open<'a>(&self, bytes: &'a [u8]) -> Result<(u32, &'a [u8]), FrameError> {
        let word = |at: usize| {
            let bytes = bytes.get(at..at + 4).and_then(|b| b.try_into().ok());
            bytes.map(u32::from_le_bytes).ok_or(FrameError::Length {
                at,
                found: at.min(HEAD),
                expected: HEAD,
            })
        };
        if bytes.len() >= 8 && bytes[..8] != self.magic {
            return Err(FrameError::Magic);
        }
        let (version, length, sum) = (word(8)?, word(12)? as usize, word(16)?);
        // A later version may have another head: its number alone can be read.
        if version > self.version {
            return Err(FrameError::Newer(version, self.version));
        }
        let records = &bytes[HEAD..];
        if records.len() != length {
            let (found, expected) = (bytes.len(), HEAD + length);
            return Err(FrameError::Length { at: found.min(expected), found, expected });
        }
        if checksum(&bytes[..16], records) != sum {
            return Err(FrameError::Checksum);
        }
        Ok((version, records))
    }
}
