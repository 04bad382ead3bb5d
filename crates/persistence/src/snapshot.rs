//! The bytes of a snapshot: a [head](starlingplank_storage::framed) of 20 bytes, `SPKNOWL\n` and version 2, then the
//! records in postcard's form.

use crate::snapshot_records::{v1, Snapshot};
use starlingplank_storage::framed::{pack, unpack, FileFormat};

pub use starlingplank_storage::framed::{FrameError as SnapshotError, HEADER_BYTES};

/// What every snapshot begins with.
pub const FORM: FileFormat = FileFormat { magic: *b"SPKNOWL\n", version: 2 };

/// The bytes of a snapshot, at most so many: where there are more engines than fit, those that answered last are
/// kept.
///
/// # Errors
/// Not even the classes fit.
pub fn encode(snapshot: &Snapshot, most: usize) -> Result<Vec<u8>, SnapshotError> {
    let most = most.min(u32::MAX as usize).saturating_sub(HEADER_BYTES);
    let records = pack(snapshot)?;
    if records.len() <= most {
        return Ok(FORM.frame(&records));
    }
    let mut fewer = snapshot.clone();
    fewer.engines.sort_by(|a, b| b.confirmed.unwrap_or(0.0).total_cmp(&a.confirmed.unwrap_or(0.0)));
    while !fewer.engines.is_empty() {
        fewer.engines.truncate(fewer.engines.len() * 3 / 4);
        let records = pack(&fewer)?;
        if records.len() <= most {
            return Ok(FORM.frame(&records));
        }
    }
    Err(SnapshotError::TooLarge { bytes: records.len(), max_bytes: most })
}

/// The bytes of a snapshot as version 1 wrote them, for installations that go back to it.
///
/// # Errors
/// The records cannot be written.
pub fn encode_v1(snapshot: &v1::Snapshot) -> Result<Vec<u8>, SnapshotError> {
    Ok(FileFormat { version: 1, ..FORM }.frame(&pack(snapshot)?))
}

/// Reads a snapshot of this version or the one before.
///
/// # Errors
/// Says where and why the bytes are none; never panics, whatever they are.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    let frame = FORM.open(bytes)?;
    match frame.version {
        2 => unpack(frame.records),
        1 => unpack::<v1::Snapshot>(frame.records).map(Snapshot::from),
        other => Err(SnapshotError::UnknownVersion(other)),
    }
}
