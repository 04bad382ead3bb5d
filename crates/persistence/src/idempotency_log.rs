//! The log of keys: a head of 16 bytes, then records of 40 bytes each, all little-endian.
//!
//! | bytes of the head | what |
//! | --- | --- |
//! | 0..8 | `SPKEYLG\n` |
//! | 8..12 | version, 1 |
//! | 12..16 | CRC-32 of bytes 0..12 |
//!
//! | bytes of a record | what |
//! | --- | --- |
//! | 0 | kind: 1 a send, 2 a mark |
//! | 1..4 | zero |
//! | 4..8 | CRC-32 of the other 36 bytes |
//! | 8..16 | when, in milliseconds since the machine started (a 64-bit float) |
//! | 16..24 | of a send: how long engines drop repeats, in milliseconds; of a mark: until when nothing keyed may leave, as before 8..16, or zero |
//! | 24..40 | of a send: the key's hash; of a mark: which start of the machine |
//!
//! Each life, and each time the log has grown long, begins a new file with all keys that still hold, written whole
//! before the old one is removed. Bytes after the last good record are the end of a write that never came to be,
//! whose send never left; a bad record with good ones after it is damage, and the log is not trusted.

use crate::deduplication_window::{Key, KeySend, KeySends};
use crate::disk::{self, Disk};
use crate::snapshot_store::Fault;
use starlingplank_decision::interface::Milliseconds;
use std::collections::HashMap;
use std::io;

const PREFIX: &str = "keys";
const EXTENSION: &str = "spl";
const MAGIC: [u8; 8] = *b"SPKEYLG\n";
const VERSION: u32 = 1;
/// Bytes of the head.
pub const HEAD: usize = 16;
/// Bytes of a record.
pub const RECORD: usize = 40;
/// Bytes of a log that is read at most: far more than is ever written before it is written anew.
const MOST: u64 = 1 << 30;

/// The log was whole at that time: see [`gate`](crate::deduplication_window).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mark {
    /// When.
    pub at: Milliseconds,
    /// Until then nothing keyed may leave, in this life or the next; 0: no such time.
    pub shut_until: Milliseconds,
    /// Which start of the machine the times count from.
    pub boot: [u8; 16],
}

/// One record.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Record {
    /// A send of a key.
    KeySend(Key, KeySend),
    /// The log was whole then.
    Mark(Mark),
}

impl Record {
    /// Its bytes.
    pub fn bytes(&self) -> [u8; RECORD] {
        let (kind, at, window, tail) = match self {
            Record::KeySend(key, sent) => (1, sent.at, sent.window, key),
            Record::Mark(mark) => (2, mark.at, mark.shut_until, &mark.boot),
        };
        let mut out = [0; RECORD];
        out[0] = kind;
        out[8..16].copy_from_slice(&at.to_le_bytes());
        out[16..24].copy_from_slice(&window.to_le_bytes());
        out[24..40].copy_from_slice(tail);
        let sum = checksum(&out);
        out[4..8].copy_from_slice(&sum.to_le_bytes());
        out
    }

    /// Reads one; none: these are not the bytes of a record.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let bytes: &[u8; RECORD] = bytes.try_into().ok()?;
        let float = |at: usize| {
            let eight: [u8; 8] = bytes[at..at + 8].try_into().ok()?;
            Some(f64::from_le_bytes(eight)).filter(|x| x.is_finite() && *x >= 0.0)
        };
        let sum: [u8; 4] = bytes[4..8].try_into().ok()?;
        if u32::from_le_bytes(sum) != checksum(bytes) || bytes[1..4] != [0; 3] {
            return None;
        }
        let (at, window) = (float(8)?, float(16)?);
        let tail: [u8; 16] = bytes[24..40].try_into().ok()?;
        match bytes[0] {
            1 => Some(Record::KeySend(tail, KeySend { at, window })),
            2 => Some(Record::Mark(Mark { at, shut_until: window, boot: tail })),
            _ => None,
        }
    }
}

fn checksum(record: &[u8; RECORD]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&record[..4]);
    hasher.update(&record[8..]);
    hasher.finalize()
}

/// The head of every log.
pub fn head() -> [u8; HEAD] {
    let mut out = [0; HEAD];
    out[..8].copy_from_slice(&MAGIC);
    out[8..12].copy_from_slice(&VERSION.to_le_bytes());
    let sum = crc32fast::hash(&out[..12]);
    out[12..16].copy_from_slice(&sum.to_le_bytes());
    out
}

/// What a log says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Read {
    /// Sends by key; of a key that was sent anew after all its windows, the later.
    pub sends: HashMap<Key, KeySends>,
    /// The last mark.
    pub mark: Option<Mark>,
    /// Records that are good.
    pub records: usize,
    /// Bytes after the last good record.
    pub torn: usize,
    /// Why it is not whole: where, and what.
    pub fault: Option<(usize, String)>,
}

/// Reads the bytes of a log; never panics, whatever they are.
pub fn read(bytes: &[u8]) -> Read {
    let mut out = Read::default();
    let expected = head();
    if bytes.len() < HEAD || bytes[..HEAD] != expected {
        let at = bytes.iter().zip(expected).take_while(|(a, b)| **a == *b).count();
        out.fault = Some((at, "this is no log of keys of version 1".into()));
        return out;
    }
    let body = &bytes[HEAD..];
    let all: Vec<Option<Record>> = body.chunks(RECORD).map(Record::read).collect();
    let good = all.iter().rposition(Option::is_some).map_or(0, |last| last + 1);
    out.torn = body.len() - (good * RECORD).min(body.len());
    for (n, record) in all.iter().take(good).enumerate() {
        match record {
            Some(Record::KeySend(key, sent)) => {
                out.records += 1;
                let sends = out.sends.get(key).map_or(KeySends::one(*sent), |held| held.and(*sent));
                out.sends.insert(*key, sends);
            }
            Some(Record::Mark(mark)) => {
                out.records += 1;
                out.mark = Some(*mark);
            }
            None if out.fault.is_none() => {
                let why = "a record is damaged, and good ones follow it";
                out.fault = Some((HEAD + n * RECORD, why.into()));
            }
            None => {}
        }
    }
    out
}

/// What was found at a start.
#[derive(Debug, Default)]
pub struct Recovered {
    /// The keys, and until when nothing keyed may leave, where the log can be trusted.
    pub trusted: Option<(Vec<(Key, KeySends)>, Milliseconds)>,
    /// Why it can't be.
    pub why: Option<String>,
}

/// What names of files begin with that say: a process sends keyed requests beside this log, and does not write them
/// there. Each such process makes one before it does so, and takes it away once a log of its own holds all of them.
pub const BESIDE: &str = "beside-";

/// Whether some process may have sent keyed requests that no log here holds.
///
/// # Errors
/// The folder cannot be read.
pub fn sent_beside(disk: &dyn Disk) -> io::Result<bool> {
    Ok(disk.names()?.iter().any(|name| name.starts_with(BESIDE)))
}

/// Reads the log of the life before, and settles whether it can be trusted: whole, of this start of the machine, marked
/// less than `window` ago, and all that there is. [`gate`](crate::deduplication_window) shows why that is enough.
pub fn recover(
    disk: &dyn Disk,
    now: Milliseconds,
    boot: Option<[u8; 16]>,
    window: Milliseconds,
) -> Recovered {
    match sent_beside(disk) {
        Ok(false) => recover_beside(disk, now, boot, window),
        Ok(true) => {
            let why = "a version that was taking over ended before it had written down what it sent".into();
            Recovered { trusted: None, why: Some(why) }
        }
        Err(e) => Recovered { trusted: None, why: Some(format!("the folder cannot be read: {e}")) },
    }
}

/// The same for one that knows all that was sent beside the log: a process that takes over from a living one, and hears
/// what each of them sends.
pub fn recover_beside(
    disk: &dyn Disk,
    now: Milliseconds,
    boot: Option<[u8; 16]>,
    window: Milliseconds,
) -> Recovered {
    let distrust = |why: String| Recovered { trusted: None, why: Some(why) };
    let (file, read) = match last(disk) {
        Ok(Some(found)) => found,
        Ok(None) => return distrust("there is no log of keys yet".into()),
        Err(e) => return distrust(format!("the log of keys cannot be read: {e}")),
    };
    if let Some((at, why)) = read.fault {
        return distrust(format!("{file}: at byte {at}: {why}"));
    }
    let Some(mark) = read.mark else { return distrust(format!("{file}: no mark is in it")) };
    if boot != Some(mark.boot) {
        return distrust(format!("{file}: the machine has started anew since"));
    }
    let age = now - mark.at;
    if !(0.0..window).contains(&age) {
        return distrust(format!("{file}: its last mark is {:.1} s old", age / 1000.0));
    }
    Recovered { trusted: Some((read.sends.into_iter().collect(), mark.shut_until)), why: None }
}

/// Times that a folder is listed again, at most, whose latest log has gone meanwhile: a new one was begun.
const LISTED: usize = 8;

/// The latest log and what it says.
///
/// # Errors
/// The folder or the file cannot be read.
pub fn last(disk: &dyn Disk) -> io::Result<Option<(String, Read)>> {
    for _ in 0..LISTED {
        let Some(number) = disk::numbers(disk, PREFIX, EXTENSION)?.first().copied() else { return Ok(None) };
        let file = disk::numbered_name(PREFIX, number, EXTENSION);
        if let Some(bytes) = disk.read(&file, MOST)? {
            return Ok(Some((file, read(&bytes))));
        }
    }
    Err(io::Error::other("the log is begun anew as often as it is looked for"))
}

/// The faults of all logs that are there.
///
/// # Errors
/// The folder cannot be read.
pub fn faults(disk: &dyn Disk) -> io::Result<Vec<Fault>> {
    let Some((file, read)) = last(disk)? else { return Ok(Vec::new()) };
    let fault = |(offset, why): (usize, String)| Fault {
        why: format!("at byte {offset}: {why}"),
        offset: Some(offset),
        file,
        newer: false,
    };
    Ok(read.fault.map(fault).into_iter().collect())
}

/// Writes the log. After a call that failed nobody knows how the file ends: only a new one goes on.
pub struct IdempotencyLog {
    disk: Box<dyn Disk>,
    file: Option<String>,
    next: u64,
}

impl IdempotencyLog {
    /// No file yet: [`rewrite`](Self::rewrite) begins one.
    ///
    /// # Errors
    /// The folder cannot be read.
    pub fn open(disk: Box<dyn Disk>) -> io::Result<Self> {
        let next = disk::numbers(&*disk, PREFIX, EXTENSION)?.first().map_or(1, |n| n.saturating_add(1));
        Ok(Self { disk, file: None, next })
    }

    /// Begins a new file with those keys, and a mark where there is one to give, and removes the old ones once it
    /// is durable. Its bytes.
    ///
    /// # Errors
    /// It was not written; the old one is still there.
    pub fn rewrite(&mut self, keys: &[(Key, KeySends)], mark: Option<Mark>) -> io::Result<usize> {
        self.file = None;
        let number = self.next;
        self.next = self.next.saturating_add(1);
        let mut bytes = head().to_vec();
        for (key, sends) in keys {
            let record = |at| Record::KeySend(*key, KeySend { at, window: sends.window }).bytes();
            bytes.extend(record(sends.first));
            if sends.last > sends.first {
                bytes.extend(record(sends.last));
            }
        }
        bytes.extend(mark.into_iter().flat_map(|mark| Record::Mark(mark).bytes()));
        let file = disk::numbered_name(PREFIX, number, EXTENSION);
        disk::replace(&mut *self.disk, &file, &bytes)?;
        for old in disk::numbers(&*self.disk, PREFIX, EXTENSION)?.into_iter().filter(|n| *n < number) {
            // One that stays is never read again: the latest is.
            let _ = self.disk.remove(&disk::numbered_name(PREFIX, old, EXTENSION));
        }
        self.file = Some(file);
        Ok(bytes.len())
    }

    /// Adds records and makes them durable, all or (as far as anyone may rely on it) none.
    ///
    /// # Errors
    /// They may not be durable; the file takes no more.
    pub fn append(&mut self, records: &[Record]) -> io::Result<usize> {
        let Some(file) = self.file.take() else {
            return Err(io::Error::other("the log has failed before and was not begun anew"));
        };
        let bytes: Vec<u8> = records.iter().flat_map(Record::bytes).collect();
        disk::append_all(&mut *self.disk, &file, &bytes)?;
        self.disk.sync(&file)?;
        self.file = Some(file);
        Ok(bytes.len())
    }
}
