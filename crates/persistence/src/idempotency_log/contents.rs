//! Decodes the bytes of a log, including those that a killed process or a failing disk left incomplete or damaged.

use super::record::{header, Mark, Record, HEADER_BYTES, RECORD_BYTES};
use crate::idempotency_key::{Key, KeySends};
use std::collections::HashMap;

/// Offset and description of damage in a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogFault {
    /// Offset of the damage in bytes.
    pub offset: usize,
    /// Description of the damage.
    pub reason: String,
}

/// The decoded contents of a log.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LogContents {
    /// Sends by key. If a key was sent again after its windows had ended, only the later sends.
    pub sends: HashMap<Key, KeySends>,
    /// The last mark in the log.
    pub mark: Option<Mark>,
    /// Number of valid records.
    pub records: usize,
    /// Number of bytes after the last valid record, which a write left that was not completed.
    pub torn_bytes: usize,
    /// The first damage that was found; `None` if the log is intact.
    pub fault: Option<LogFault>,
}

/// Decodes the bytes of a log. Does not panic on arbitrary bytes.
pub fn read(bytes: &[u8]) -> LogContents {
    let mut contents = LogContents::default();
    let expected = header();
    if !bytes.starts_with(&expected) {
        let offset = bytes.iter().zip(expected).take_while(|(found, expected)| **found == *expected).count();
        contents.fault = Some(LogFault { offset, reason: "not an idempotency log of version 1".into() });
        return contents;
    }
    let body = &bytes[HEADER_BYTES..];
    let records: Vec<Option<Record>> = body.chunks(RECORD_BYTES).map(Record::read).collect();
    let valid = records.iter().rposition(Option::is_some).map_or(0, |last| last + 1);
    contents.torn_bytes = body.len() - (valid * RECORD_BYTES).min(body.len());
    for (index, record) in records.iter().take(valid).enumerate() {
        contents.add(index, record.as_ref());
    }
    contents
}

impl LogContents {
    fn add(&mut self, index: usize, record: Option<&Record>) {
        match record {
            Some(Record::KeySend(key, send)) => {
                self.records += 1;
                let sends =
                    self.sends.get(key).map_or(KeySends::single(*send), |earlier| earlier.with(*send));
                self.sends.insert(*key, sends);
            }
            Some(Record::Mark(mark)) => {
                self.records += 1;
                self.mark = Some(*mark);
            }
            None if self.fault.is_none() => {
                let reason = "damaged record, followed by valid records".into();
                self.fault = Some(LogFault { offset: HEADER_BYTES + index * RECORD_BYTES, reason });
            }
            None => {}
        }
    }
}
