//! The bytes of a snapshot: a head of 20 bytes, all little-endian, then the records in postcard's form.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0..8 | `SPKNOWL\n` |
//! | 8..12 | version, 2 |
//! | 12..16 | length of what follows the head |
//! | 16..20 | CRC-32 (IEEE 802.3) of bytes 0..16 and of all that follows the head |

use crate::records::{v1, Snapshot};
use serde::{de::DeserializeOwned, Serialize};
use thiserror::Error;

/// The first bytes of every snapshot.
pub const MAGIC: [u8; 8] = *b"SPKNOWL\n";
/// The version that is written.
pub const VERSION: u32 = 2;
/// Bytes of the head.
pub const HEAD: usize = 20;

/// Why bytes are no snapshot.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum SnapshotError {
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
    /// It is no snapshot at all.
    #[error("at byte 0: this is no snapshot")]
    Magic,
    /// Written by a later release: left alone.
    #[error("at byte 8: version {0} is newer than this program, which reads up to {VERSION}; it is left untouched")]
    Newer(u32),
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

fn frame(version: u32, records: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD + records.len());
    out.extend(MAGIC);
    out.extend(version.to_le_bytes());
    out.extend((records.len() as u32).to_le_bytes());
    out.extend(checksum(&out, records).to_le_bytes());
    out.extend(records);
    out
}

fn checksum(head: &[u8], records: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(head);
    hasher.update(records);
    hasher.finalize()
}

fn pack(records: &impl Serialize) -> Result<Vec<u8>, SnapshotError> {
    postcard::to_stdvec(records).map_err(|e| SnapshotError::Records(e.to_string()))
}

fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, SnapshotError> {
    let bad = |e: postcard::Error| SnapshotError::Records(e.to_string());
    let (records, rest) = postcard::take_from_bytes(bytes).map_err(bad)?;
    if rest.is_empty() {
        Ok(records)
    } else {
        Err(SnapshotError::Records(format!("{} bytes are left over", rest.len())))
    }
}

/// The bytes of a snapshot, at most so many: where there are more engines than fit, those that answered last are
/// kept.
///
/// # Errors
/// Not even the classes fit.
pub fn encode(snapshot: &Snapshot, most: usize) -> Result<Vec<u8>, SnapshotError> {
    let most = most.min(u32::MAX as usize).saturating_sub(HEAD);
    let records = pack(snapshot)?;
    if records.len() <= most {
        return Ok(frame(VERSION, &records));
    }
    let mut fewer = snapshot.clone();
    fewer.engines.sort_by(|a, b| b.confirmed.unwrap_or(0.0).total_cmp(&a.confirmed.unwrap_or(0.0)));
    while !fewer.engines.is_empty() {
        fewer.engines.truncate(fewer.engines.len() * 3 / 4);
        let records = pack(&fewer)?;
        if records.len() <= most {
            return Ok(frame(VERSION, &records));
        }
    }
    Err(SnapshotError::TooLarge(records.len(), most))
}

/// The bytes of a snapshot as version 1 wrote them, for installations that go back to it.
///
/// # Errors
/// The records cannot be written.
pub fn encode_v1(snapshot: &v1::Snapshot) -> Result<Vec<u8>, SnapshotError> {
    Ok(frame(1, &pack(snapshot)?))
}

/// Reads a snapshot of this version or the one before.
///
/// # Errors
/// Says where and why the bytes are none; never panics, whatever they are.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    let word = |at: usize| {
        let bytes = bytes.get(at..at + 4).and_then(|b| b.try_into().ok());
        bytes.map(u32::from_le_bytes).ok_or(SnapshotError::Length { at, found: at.min(HEAD), expected: HEAD })
    };
    if bytes.len() >= 8 && bytes[..8] != MAGIC {
        return Err(SnapshotError::Magic);
    }
    let (version, length, sum) = (word(8)?, word(12)? as usize, word(16)?);
    // A later version may have another head: its number alone can be read.
    if version > VERSION {
        return Err(SnapshotError::Newer(version));
    }
    let records = &bytes[HEAD..];
    if records.len() != length {
        let (found, expected) = (bytes.len(), HEAD + length);
        return Err(SnapshotError::Length { at: found.min(expected), found, expected });
    }
    if checksum(&bytes[..16], records) != sum {
        return Err(SnapshotError::Checksum);
    }
    match version {
        2 => unpack(records),
        1 => unpack::<v1::Snapshot>(records).map(Snapshot::from),
        other => Err(SnapshotError::Version(other)),
    }
}
