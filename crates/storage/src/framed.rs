//! The framing of a stored file: a header of 20 bytes, all little-endian, then records in postcard's encoding.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0..8 | magic bytes of the format |
//! | 8..12 | version |
//! | 12..16 | length of what follows the header |
//! | 16..20 | CRC-32 (IEEE 802.3) of bytes 0..16 and of all that follows the header |

use serde::{de::DeserializeOwned, Serialize};
use thiserror::Error;

/// Length of the header in bytes.
pub const HEADER_BYTES: usize = 20;
/// Where the magic bytes end and the version begins.
const VERSION_AT: usize = 8;
/// Where the length of the records stands.
const LENGTH_AT: usize = 12;
/// Where the checksum stands.
const CHECKSUM_AT: usize = 16;

/// Why a file cannot be read or written.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The file is cut short, or bytes were added.
    #[error("at byte {at}: the file has {found} bytes and should have {expected}")]
    Length {
        /// Offset at which the fault shows.
        at: usize,
        /// Length of the file.
        found: usize,
        /// Length that the file should have.
        expected: usize,
    },
    /// The file has another format.
    #[error("at byte 0: this is no such file")]
    Magic,
    /// A later release wrote the file. It must be left as it is.
    #[error(
        "at byte 8: version {found} is newer than this program, which reads up to {supported}; it is left untouched"
    )]
    NewerVersion {
        /// Version of the file.
        found: u32,
        /// Latest version that this release reads.
        supported: u32,
    },
    /// No release wrote this version.
    #[error("at byte 8: there is no version {0}")]
    UnknownVersion(u32),
    /// Some byte was changed.
    #[error("at byte 16: the checksum does not fit")]
    Checksum,
    /// The checksum fits, but the records cannot be decoded or encoded.
    #[error("at byte {HEADER_BYTES}: the records cannot be read: {0}")]
    Records(String),
    /// The records exceed the allowed size.
    #[error("the records take {bytes} bytes, more than the {max_bytes} that are allowed")]
    TooLarge {
        /// Size of the records.
        bytes: usize,
        /// The bound.
        max_bytes: usize,
    },
}

impl FrameError {
    /// Offset in the file at which the fault shows.
    pub fn offset(&self) -> usize {
        match self {
            FrameError::Length { at, .. } => *at,
            FrameError::Magic => 0,
            FrameError::NewerVersion { .. } | FrameError::UnknownVersion(_) => VERSION_AT,
            FrameError::Checksum => CHECKSUM_AT,
            FrameError::Records(_) | FrameError::TooLarge { .. } => HEADER_BYTES,
        }
    }

    /// Whether a later release wrote the file.
    pub fn is_newer_version(&self) -> bool {
        matches!(self, FrameError::NewerVersion { .. })
    }
}

/// A file format, and the latest of its versions that this release knows.
#[derive(Debug, Clone, Copy)]
pub struct FileFormat {
    /// The first bytes of every file of the format.
    pub magic: [u8; 8],
    /// The version that this release writes.
    pub version: u32,
}

/// Encodes records as a file of at most `max_bytes`.
///
/// # Errors
/// The records cannot be encoded, or the file would be larger.
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

/// Decodes the records of a file. Never panics, whatever the bytes are.
///
/// # Errors
/// Tells where and why the bytes are no valid file of the format.
pub fn decode<T: DeserializeOwned>(format: &FileFormat, bytes: &[u8]) -> Result<T, FrameError> {
    unpack(format.open(bytes)?.records)
}

/// Encodes records with postcard.
///
/// # Errors
/// The records cannot be encoded.
pub fn pack(records: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    postcard::to_stdvec(records).map_err(|error| FrameError::Records(error.to_string()))
}

/// Decodes records with postcard; all bytes must be used.
///
/// # Errors
/// The bytes are no such records.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    let decoded = postcard::take_from_bytes(bytes);
    let (records, rest) = decoded.map_err(|error| FrameError::Records(error.to_string()))?;
    if !rest.is_empty() {
        return Err(FrameError::Records(format!("{} bytes are left over", rest.len())));
    }
    Ok(records)
}

/// A file whose header and checksum fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenedFrame<'a> {
    /// Version of the file: at most the one of its format.
    pub version: u32,
    /// The encoded records.
    pub records: &'a [u8],
}

impl FileFormat {
    /// Puts the header before encoded records.
    pub fn frame(&self, records: &[u8]) -> Vec<u8> {
        let mut file = Vec::with_capacity(HEADER_BYTES + records.len());
        file.extend(self.magic);
        file.extend(self.version.to_le_bytes());
        file.extend((records.len() as u32).to_le_bytes());
        file.extend(checksum(&file, records).to_le_bytes());
        file.extend(records);
        file
    }

    /// Checks a file and returns its version and encoded records. Never panics, whatever the bytes are.
    ///
    /// # Errors
    /// Tells where and why the bytes are no valid file of the format.
    pub fn open<'a>(&self, bytes: &'a [u8]) -> Result<OpenedFrame<'a>, FrameError> {
        if bytes.len() >= self.magic.len() && !bytes.starts_with(&self.magic) {
            return Err(FrameError::Magic);
        }
        let version = header_field(bytes, VERSION_AT)?;
        let length = header_field(bytes, LENGTH_AT)? as usize;
        let expected_checksum = header_field(bytes, CHECKSUM_AT)?;
        // A later version may have another header: only its number can be read.
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

/// The little-endian number of four bytes at that offset of the header.
fn header_field(bytes: &[u8], at: usize) -> Result<u32, FrameError> {
    let field = bytes.get(at..at + 4).and_then(|field| field.try_into().ok());
    let cut_short = FrameError::Length { at, found: at.min(HEADER_BYTES), expected: HEADER_BYTES };
    field.map(u32::from_le_bytes).ok_or(cut_short)
}

fn checksum(header: &[u8], records: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(records);
    hasher.finalize()
}
