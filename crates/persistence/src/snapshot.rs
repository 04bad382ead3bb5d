//! The bytes of a snapshot: a [header](starlingplank_storage::framed) of 20 bytes, `SPKNOWL\n` and version 2, then the
//! records in postcard's encoding.

use crate::snapshot_records::{v1, Snapshot};
use starlingplank_storage::framed::{pack, unpack, FileFormat};

pub use starlingplank_storage::framed::{FrameError as SnapshotError, HEADER_BYTES};

/// The file format.
pub const FORMAT: FileFormat = FileFormat { magic: *b"SPKNOWL\n", version: 2 };

/// Encodes a snapshot in at most `max_bytes`. If not all engines fit, those that answered last are kept.
///
/// # Errors
/// The snapshot does not fit even without engines.
pub fn encode(snapshot: &Snapshot, max_bytes: usize) -> Result<Vec<u8>, SnapshotError> {
    let max_bytes = max_bytes.min(u32::MAX as usize).saturating_sub(HEADER_BYTES);
    let records = pack(snapshot)?;
    if records.len() <= max_bytes {
        return Ok(FORMAT.frame(&records));
    }
    let mut reduced = snapshot.clone();
    reduced.engines.sort_by(|first, second| {
        second.confirmed_at.unwrap_or(0.0).total_cmp(&first.confirmed_at.unwrap_or(0.0))
    });
    while !reduced.engines.is_empty() {
        reduced.engines.truncate(reduced.engines.len() * 3 / 4);
        let records = pack(&reduced)?;
        if records.len() <= max_bytes {
            return Ok(FORMAT.frame(&records));
        }
    }
    Err(SnapshotError::TooLarge { bytes: records.len(), max_bytes })
}

/// Encodes a snapshot as version 1 did, for installations that return to it.
///
/// # Errors
/// The records cannot be encoded.
pub fn encode_v1(snapshot: &v1::Snapshot) -> Result<Vec<u8>, SnapshotError> {
    Ok(FileFormat { version: 1, ..FORMAT }.frame(&pack(snapshot)?))
}

/// Decodes a snapshot of this version or the previous one. Never panics, whatever the bytes are.
///
/// # Errors
/// Tells where and why the bytes are no snapshot.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    let frame = FORMAT.open(bytes)?;
    match frame.version {
        2 => unpack(frame.records),
        1 => unpack::<v1::Snapshot>(frame.records).map(Snapshot::from),
        other => Err(SnapshotError::UnknownVersion(other)),
    }
}
