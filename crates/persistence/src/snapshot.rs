//! Encoding of a snapshot file: a [header](starlingplank_storage::framed) of 20 bytes with the magic bytes `SPKNOWL\n` and
//! version 2, followed by the records in postcard's encoding.

use crate::snapshot_records::{v1, Snapshot};
use starlingplank_storage::framed::{pack, unpack, FileFormat};

pub use starlingplank_storage::framed::{FrameError as SnapshotError, HEADER_BYTES};

/// File format of snapshots.
pub const FORMAT: FileFormat = FileFormat { magic: *b"SPKNOWL\n", version: 2 };

/// Encodes a snapshot as a file of at most `max_bytes`. If not all engines fit, those that answered least recently are left
/// out.
///
/// # Errors
/// Returns an error if the snapshot does not fit even without engines, or if the records cannot be encoded.
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

/// Encodes a snapshot in the format of version 1, for installations that are downgraded to a release that reads only this
/// version.
///
/// # Errors
/// Returns an error if the records cannot be encoded.
pub fn encode_v1(snapshot: &v1::Snapshot) -> Result<Vec<u8>, SnapshotError> {
    Ok(FileFormat { version: 1, ..FORMAT }.frame(&pack(snapshot)?))
}

/// Decodes a snapshot of version 1 or 2. Does not panic on arbitrary bytes.
///
/// # Errors
/// Returns the offset and the reason if the bytes are not a valid snapshot.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    let frame = FORMAT.open(bytes)?;
    match frame.version {
        2 => unpack(frame.records),
        1 => unpack::<v1::Snapshot>(frame.records).map(Snapshot::from),
        other => Err(SnapshotError::UnknownVersion(other)),
    }
}
