//! Reads the bytes of a log, whatever state a stopped process or a failing disk left them in.

use super::record::{header, Mark, Record, HEADER_BYTES, RECORD_BYTES};
use crate::idempotency_key::{Key, KeySends};
use std::collections::HashMap;

/// Where and why a log is not intact.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogFault {
    /// Offset in bytes.
    pub offset: usize,
    /// What is wrong there.
    pub reason: String,
}

/// The contents of a log.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LogContents {
    /// Sends by key; of a key that was sent again after all its windows, the later sends.
    pub sends: HashMap<Key, KeySends>,
    /// The last mark.
    pub mark: Option<Mark>,
    /// Number of valid records.
    pub records: usize,
    /// Bytes after the last valid record: the end of a write that was not completed.
    pub torn_bytes: usize,
    /// Why the log is not intact.
    pub fault: Option<LogFault>,
}

/// Reads the bytes of a log. Never panics, whatever they are.
pub fn read(bytes: &[u8]) -> LogContents {
    let mut contents = LogContents::default();
    let expected = header();
    if !bytes.starts_with(&expected) {
        let offset = bytes.iter().zip(expected).take_while(|(found, expected)| **found == *expected).count();
        contents.fault = Some(LogFault { offset, reason: "this is no log of keys of version 1".into() });
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
                let sends = self.sends.get(key).map_or(KeySends::single(*send), |earlier| earlier.and(*send));
                self.sends.insert(*key, sends);
            }
            Some(Record::Mark(mark)) => {
                self.records += 1;
                self.mark = Some(*mark);
            }
            None if self.fault.is_none() => {
                let reason = "a record is damaged, and good ones follow it".into();
                self.fault = Some(LogFault { offset: HEADER_BYTES + index * RECORD_BYTES, reason });
            }
            None => {}
        }
    }
}
