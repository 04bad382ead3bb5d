//! Engines out by hand. In come calls and lists; out comes, for an engine that a list names, what it is to the gateway:
//! one that drains while it is out, and one that has just started when it is called back.

use serde::{Deserialize, Serialize};
use starlingplank_storage::framed::{decode, encode, FileFormat, FrameError};
use std::collections::BTreeMap;
use thiserror::Error;

/// Unix milliseconds.
pub type UnixMilliseconds = f64;

/// What the file begins with.
pub const FORM: FileFormat = FileFormat { magic: *b"SPKHAND\n", version: 1 };
/// Engines that can be out by hand at most; a list is far shorter.
pub const MOST: usize = 10_000;
/// Bytes of an id at most.
pub const ID_BYTES: usize = 256;
/// Bytes of the file at most.
pub const BYTES: u64 = 4 << 20;

/// Why a call is answered with no.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OverrideError {
    /// Neither the list nor an earlier call names it.
    #[error("no engine of that id is in the list or out by hand")]
    Unknown,
    /// The bound is reached.
    #[error("{MOST} engines are out by hand already")]
    TooMany,
}

/// Which engines are out, and which were called back when.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorOverrides {
    /// Since when.
    out: BTreeMap<String, UnixMilliseconds>,
    /// Since when they had been out, and when they were called back.
    back: BTreeMap<String, (UnixMilliseconds, UnixMilliseconds)>,
}

impl OperatorOverrides {
    /// Nothing more to that engine. Said twice it is out once. True: this changed something.
    ///
    /// # Errors
    /// It is unknown, or too many are out.
    pub fn exclude(&mut self, id: &str, listed: bool, now: UnixMilliseconds) -> Result<bool, OverrideError> {
        if self.is_out(id) {
            return Ok(false);
        }
        if !listed || id.len() > ID_BYTES {
            return Err(OverrideError::Unknown);
        }
        if self.out.len() >= MOST {
            return Err(OverrideError::TooMany);
        }
        self.back.remove(id);
        Ok(self.out.insert(id.to_owned(), now).is_none())
    }

    /// Use that engine again: once said undoes however many calls out. True: this changed something.
    ///
    /// # Errors
    /// It is unknown.
    pub fn include(&mut self, id: &str, listed: bool, now: UnixMilliseconds) -> Result<bool, OverrideError> {
        if let Some(since) = self.out.remove(id) {
            self.back.insert(id.to_owned(), (since, now));
            return Ok(true);
        }
        if listed {
            Ok(false)
        } else {
            Err(OverrideError::Unknown)
        }
    }

    /// The same by a clock that shows this time: nothing was called out or back later. Another process of the gateway may
    /// have written it, whose clock differs by a step of the wall clock.
    pub fn not_after(mut self, now: UnixMilliseconds) -> Self {
        self.out.values_mut().for_each(|at| *at = at.min(now));
        self.back.values_mut().for_each(|(out, back)| (*out, *back) = (out.min(now), back.min(now)));
        self
    }

    /// Whether it is out.
    pub fn is_out(&self, id: &str) -> bool {
        self.out.contains_key(id)
    }

    /// Which are out.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.out.keys().map(String::as_str)
    }

    /// When an engine has started, as far as budgets go. One that the list saw start since it was taken out has started
    /// then; of any other nobody knows what was done to it meanwhile, and it starts as it is called back.
    pub fn started(&self, id: &str, listed: Option<UnixMilliseconds>) -> Option<UnixMilliseconds> {
        match self.back.get(id) {
            Some((since, back)) => listed.filter(|at| at > since).or(Some(*back)),
            None => listed,
        }
    }

    /// Forgets calls back that are older than an engine takes to warm up.
    pub fn forget(&mut self, now: UnixMilliseconds, slow_start_duration: UnixMilliseconds) {
        self.back.retain(|_, (_, back)| now - *back < slow_start_duration);
    }

    /// The bytes of the file.
    ///
    /// # Errors
    /// They cannot be made.
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        encode(&FORM, self, BYTES as usize)
    }

    /// Reads the file; never panics, whatever the bytes are.
    ///
    /// # Errors
    /// Says where and why they are none.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let hand: Self = decode(&FORM, bytes)?;
        let sane = |id: &String| id.len() <= ID_BYTES;
        if hand.out.len() > MOST || !hand.out.keys().chain(hand.back.keys()).all(sane) {
            return Err(FrameError::TooLarge { bytes: hand.out.len(), max_bytes: MOST });
        }
        Ok(hand)
    }
}

#[cfg(test)]
mod tests;
