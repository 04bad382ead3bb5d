//! Encoding of the log's header and records.

use crate::idempotency_key::{Key, KeySend, KeySends};
use starlingplank_decision::interface::Milliseconds;

const MAGIC: [u8; 8] = *b"SPKEYLG\n";
const VERSION: u32 = 1;
/// Length of the header in bytes.
pub const HEADER_BYTES: usize = 16;
/// Length of a record in bytes.
pub const RECORD_BYTES: usize = 40;
/// First byte of a record that contains a send.
const KIND_SEND: u8 = 1;
/// First byte of a record that contains a mark.
const KIND_MARK: u8 = 2;

/// A mark, which states that the log contained all sends at a given time. The module
/// [`deduplication_window`](crate::deduplication_window) explains its use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mark {
    /// Time at which the log was complete, in milliseconds since the machine booted.
    pub at: Milliseconds,
    /// Time before which neither this process nor the next may send a keyed request. `None` (stored as 0) if keyed requests
    /// are not blocked.
    pub blocked_until: Option<Milliseconds>,
    /// Identifier of the boot from which the times are counted.
    pub boot_id: [u8; 16],
}

/// A record of the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Record {
    /// A send of a key.
    KeySend(Key, KeySend),
    /// A statement that the log was complete.
    Mark(Mark),
}

impl Record {
    /// Returns the records that represent the sends of a key in a new file: the first send, and the last one if it differs.
    pub fn for_sends(key: Key, sends: &KeySends) -> impl Iterator<Item = Record> {
        let window = sends.window;
        let last = (sends.last > sends.first).then_some(sends.last);
        [Some(sends.first), last]
            .into_iter()
            .flatten()
            .map(move |at| Record::KeySend(key, KeySend { at, window }))
    }

    /// Encodes the record.
    pub fn bytes(&self) -> [u8; RECORD_BYTES] {
        let (kind, at, duration, tail) = match self {
            Record::KeySend(key, send) => (KIND_SEND, send.at, send.window, key),
            Record::Mark(mark) => (KIND_MARK, mark.at, mark.blocked_until.unwrap_or(0.0), &mark.boot_id),
        };
        let mut bytes = [0; RECORD_BYTES];
        bytes[0] = kind;
        bytes[8..16].copy_from_slice(&at.to_le_bytes());
        bytes[16..24].copy_from_slice(&duration.to_le_bytes());
        bytes[24..40].copy_from_slice(tail);
        let sum = checksum(&bytes);
        bytes[4..8].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// Decodes a record. Returns `None` if the bytes are not a valid record.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let bytes: &[u8; RECORD_BYTES] = bytes.try_into().ok()?;
        let stored_checksum: [u8; 4] = bytes[4..8].try_into().ok()?;
        if u32::from_le_bytes(stored_checksum) != checksum(bytes) || bytes[1..4] != [0; 3] {
            return None;
        }
        let (at, duration) = (time_at(bytes, 8)?, time_at(bytes, 16)?);
        let tail: [u8; 16] = bytes[24..40].try_into().ok()?;
        match bytes[0] {
            KIND_SEND => Some(Record::KeySend(tail, KeySend { at, window: duration })),
            KIND_MARK => {
                let blocked_until = Some(duration).filter(|until| *until > 0.0);
                Some(Record::Mark(Mark { at, blocked_until, boot_id: tail }))
            }
            _ => None,
        }
    }
}

/// Returns the 64-bit float at the offset, or `None` if it is negative or not finite.
fn time_at(bytes: &[u8; RECORD_BYTES], offset: usize) -> Option<Milliseconds> {
    let eight: [u8; 8] = bytes[offset..offset + 8].try_into().ok()?;
    Some(f64::from_le_bytes(eight)).filter(|time| time.is_finite() && *time >= 0.0)
}

fn checksum(record: &[u8; RECORD_BYTES]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&record[..4]);
    hasher.update(&record[8..]);
    hasher.finalize()
}

/// Returns the header, which is the same for every log.
pub fn header() -> [u8; HEADER_BYTES] {
    let mut bytes = [0; HEADER_BYTES];
    bytes[..8].copy_from_slice(&MAGIC);
    bytes[8..12].copy_from_slice(&VERSION.to_le_bytes());
    let sum = crc32fast::hash(&bytes[..12]);
    bytes[12..16].copy_from_slice(&sum.to_le_bytes());
    bytes
}
