//! The framing of stored files: a header of 20 bytes, all little-endian, followed by records in postcard's encoding.
//!
//! | bytes | contents |
//! | --- | --- |
//! | 0..8 | magic bytes of the format |
//! | 8..12 | version |
//! | 12..16 | length of the records in bytes |
//! | 16..20 | CRC-32 (IEEE 802.3) of bytes 0..16 and of the records |

use serde::{de::DeserializeOwned, Serialize};
use thiserror::Error;

/// Length of the header in bytes.
pub const HEADER_BYTES: usize = 20;
/// Offset of the version in the header, directly after the magic bytes.
const VERSION_AT: usize = 8;
/// Offset of the length of the records in the header.
const LENGTH_AT: usize = 12;
/// Offset of the checksum in the header.
const CHECKSUM_AT: usize = 16;

/// Reason for which a file cannot be decoded or encoded.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The file is truncated or has additional bytes.
    #[error("at byte {at}: the file has {found} bytes and should have {expected}")]
    Length {
        /// Offset at which the fault was detected.
        at: usize,
        /// Length of the file in bytes.
        found: usize,
        /// Length in bytes that the file should have.
        expected: usize,
    },
    /// The file has another format.
    #[error("at byte 0: the magic bytes are not those of the expected file format")]
    Magic,
    /// A newer release wrote the file. The file must not be changed.
    #[error(
        "at byte 8: version {found} is newer than this program, which reads up to {supported}; the file is left unchanged"
    )]
    NewerVersion {
        /// Version of the file.
        found: u32,
        /// Latest version that this release can read.
        supported: u32,
    },
    /// No release has written this version.
    #[error("at byte 8: version {0} does not exist")]
    UnknownVersion(u32),
    /// The contents were changed after they had been written.
    #[error("at byte 16: the checksum does not match")]
    Checksum,
    /// The records cannot be encoded, or they cannot be decoded although the checksum is correct.
    #[error("at byte {HEADER_BYTES}: the records cannot be decoded or encoded: {0}")]
    Records(String),
    /// The records exceed the maximum size.
    #[error("the records take {bytes} bytes, more than the maximum of {max_bytes}")]
    TooLarge {
        /// Size of the records in bytes.
        bytes: usize,
        /// Maximum size in bytes.
        max_bytes: usize,
    },
}

impl FrameError {
    /// Returns the offset in the file at which the fault was detected.
    pub fn offset(&self) -> usize {
        match self {
            FrameError::Length { at, .. } => *at,
            FrameError::Magic => 0,
            FrameError::NewerVersion { .. } | FrameError::UnknownVersion(_) => VERSION_AT,
            FrameError::Checksum => CHECKSUM_AT,
            FrameError::Records(_) | FrameError::TooLarge { .. } => HEADER_BYTES,
        }
    }

    /// Returns whether a newer release wrote the file.
    pub fn is_newer_version(&self) -> bool {
        matches!(self, FrameError::NewerVersion { .. })
    }
}

/// A file format and the latest version of it that this release supports.
#[derive(Debug, Clone, Copy)]
pub struct FileFormat {
    /// First bytes of every file of the format.
    pub magic: [u8; 8],
    /// Version that this release writes, and the latest that it can read.
    pub version: u32,
}

/// Encodes records as the contents of a file of at most `max_bytes`.
///
/// # Errors
/// Returns an error if the records cannot be encoded or the file would be larger.
pub fn encode(
    format: &FileFormat,
    records: &impl Serialize,
    max_bytes: usize,
) -> Result<Vec<u8>, FrameError> {
    let file = format.frame(&pack(records)?);
    if file.len() > max_bytes {
        return Err(FrameError::TooLarge { bytes: file.len(), max_bytes });
    }
    Ok(file)
}

/// Decodes the records of a file. Does not panic on arbitrary bytes.
///
/// # Errors
/// Returns the offset and the reason if the bytes are not a valid file of the format.
pub fn decode<T: DeserializeOwned>(format: &FileFormat, bytes: &[u8]) -> Result<T, FrameError> {
    unpack(format.open(bytes)?.records)
}

/// Encodes records with postcard.
///
/// # Errors
/// Returns an error if the records cannot be encoded.
pub fn pack(records: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    postcard::to_stdvec(records).map_err(|error| FrameError::Records(error.to_string()))
}

/// Decodes records with postcard.
///
/// # Errors
/// Returns an error if the bytes are not records of type `T`, or if bytes remain after them.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    let decoded = postcard::take_from_bytes(bytes);
    let (records, rest) = decoded.map_err(|error| FrameError::Records(error.to_string()))?;
    if !rest.is_empty() {
        return Err(FrameError::Records(format!("{} bytes follow the records", rest.len())));
    }
    Ok(records)
}

/// A file whose header and checksum are valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenedFrame<'a> {
    /// Version of the file, which is not newer than the version of its format.
    pub version: u32,
    /// The encoded records.
    pub records: &'a [u8],
}

impl FileFormat {
    /// Returns the contents of a file with a header and the encoded records.
    pub fn frame(&self, records: &[u8]) -> Vec<u8> {
        let mut file = Vec::with_capacity(HEADER_BYTES + records.len());
        file.extend(self.magic);
        file.extend(self.version.to_le_bytes());
        file.extend((records.len() as u32).to_le_bytes());
        file.extend(checksum(&file, records).to_le_bytes());
        file.extend(records);
        file
    }

    /// Verifies a file and returns its version and encoded records. Does not panic on arbitrary bytes.
    ///
    /// # Errors
    /// Returns the offset and the reason if the bytes are not a valid file of the format.
    pub fn open<'a>(&self, bytes: &'a [u8]) -> Result<OpenedFrame<'a>, FrameError> {
        if bytes.len() >= self.magic.len() && !bytes.starts_with(&self.magic) {
            return Err(FrameError::Magic);
        }
        let version = header_field(bytes, VERSION_AT)?;
        let length = header_field(bytes, LENGTH_AT)? as usize;
        let expected_checksum = header_field(bytes, CHECKSUM_AT)?;
        // A newer version may have another header, of which only the version number can be relied on.
        if version > self.version {
            return Err(FrameError::NewerVersion { found: version, supported: self.version });
        }
        let records = &bytes[HEADER_BYTES..];
        if records.len() != length {
            let (found, expected) = (bytes.len(), HEADER_BYTES + length);
            return Err(FrameError::Length { at: found.min(expected), found, expected });
        }
        if checksum(&bytes[..CHECKSUM_AT], records) != expected_checksum {
            return Err(FrameError::Checksum);
        }
        Ok(OpenedFrame { version, records })
    }
}

/// Returns the little-endian 32-bit number at the offset `at` of the header.
fn header_field(bytes: &[u8], at: usize) -> Result<u32, FrameError> {
    let field = bytes.get(at..at + 4).and_then(|field| field.try_into().ok());
    let truncated = FrameError::Length { at, found: at.min(HEADER_BYTES), expected: HEADER_BYTES };
    field.map(u32::from_le_bytes).ok_or(truncated)
}

fn checksum(header: &[u8], records: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(records);
    hasher.finalize()
}
