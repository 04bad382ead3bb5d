//! Engines out by hand. In come calls and lists; out comes, for an engine that a list names, what it is to the gateway:
//! one that drains while it is out, and one that has just started when it is called back.

use serde::{Deserialize, Serialize};
use starlingplank_records::framed::{decode, encode, Form, FrameError};
use std::collections::BTreeMap;
use thiserror::Error;

/// Unix milliseconds.
pub type Ms = f64;

/// What the file begins with.
pub const FORM: Form = Form { magic: *b"SPKHAND\n", version: 1 };
/// Engines that can be out by hand at most; a list is far shorter.
pub const MOST: usize = 10_000;
/// Bytes of an id at most.
pub const ID_BYTES: usize = 256;
/// Bytes of the file at most.
pub const BYTES: u64 = 4 << 20;

/// Why a call is answered with no.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum No {
    /// Neither the list nor an earlier call names it.
    #[error("no engine of that id is in the list or out by hand")]
    Unknown,
    /// The bound is reached.
    #[error("{MOST} engines are out by hand already")]
    TooMany,
}

/// Which engines are out, and which were called back when.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Hand {
    /// Since when.
    out: BTreeMap<String, Ms>,
    /// Since when they had been out, and when they were called back.
    back: BTreeMap<String, (Ms, Ms)>,
}

impl Hand {
    /// Nothing more to that engine. Said twice it is out once. True: this changed something.
    ///
    /// # Errors
    /// It is unknown, or too many are out.
    pub fn exclude(&mut self, id: &str, listed: bool, now: Ms) -> Result<bool, No> {
        if self.is_out(id) {
            return Ok(false);
        }
        if !listed || id.len() > ID_BYTES {
            return Err(No::Unknown);
        }
        if self.out.len() >= MOST {
            return Err(No::TooMany);
        }
        self.back.remove(id);
        Ok(self.out.insert(id.to_owned(), now).is_none())
    }

    /// Use that engine again: once said undoes however many calls out. True: this changed something.
    ///
    /// # Errors
    /// It is unknown.
    pub fn include(&mut self, id: &str, listed: bool, now: Ms) -> Result<bool, No> {
        if let Some(since) = self.out.remove(id) {
            self.back.insert(id.to_owned(), (since, now));
            return Ok(true);
        }
        if listed {
            Ok(false)
        } else {
            Err(No::Unknown)
        }
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
    pub fn started(&self, id: &str, listed: Option<Ms>) -> Option<Ms> {
        match self.back.get(id) {
            Some((since, back)) => listed.filter(|at| at > since).or(Some(*back)),
            None => listed,
        }
    }

    /// Forgets calls back that are older than an engine takes to warm up.
    pub fn forget(&mut self, now: Ms, warm_within: Ms) {
        self.back.retain(|_, (_, back)| now - *back < warm_within);
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
            return Err(FrameError::TooLarge(hand.out.len(), MOST));
        }
        Ok(hand)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn out_twice_and_in_once_whatever_the_list_says_meanwhile() {
        let mut hand = Hand::default();
        assert_eq!(hand.exclude("s-1", false, 1.0), Err(No::Unknown));
        assert_eq!(hand.exclude("s-1", true, 1.0), Ok(true));
        assert_eq!(hand.exclude("s-1", true, 1.0), Ok(false));
        // It left the list while out: the second call out and the call back still mean it.
        assert_eq!(hand.exclude("s-1", false, 1.0), Ok(false));
        assert!(hand.is_out("s-1"));
        assert_eq!(hand.include("s-1", false, 5.0), Ok(true));
        assert!(!hand.is_out("s-1"));
        assert_eq!(hand.include("s-1", true, 6.0), Ok(false));
        assert_eq!(hand.include("s-2", false, 6.0), Err(No::Unknown));
    }

    #[test]
    fn engine_called_back_is_cold_from_then_on() {
        let mut hand = Hand::default();
        hand.exclude("s-1", true, 500.0).expect("listed");
        assert_eq!(hand.started("s-1", Some(2.0)), Some(2.0));
        hand.include("s-1", true, 1_000.0).expect("out");
        assert_eq!(hand.started("s-1", Some(2.0)), Some(1_000.0));
        assert_eq!(hand.started("s-1", None), Some(1_000.0));
        // The list saw it start while it was out, or later.
        assert_eq!(hand.started("s-1", Some(700.0)), Some(700.0));
        assert_eq!(hand.started("s-1", Some(3_000.0)), Some(3_000.0));
        assert_eq!(hand.started("s-2", None), None);
        hand.forget(16_000.0, 15_000.0);
        assert_eq!(hand.started("s-1", Some(2.0)), Some(2.0));
    }

    #[test]
    fn file_is_read_as_it_was_written_and_every_cut_or_changed_byte_is_noticed() {
        let mut hand = Hand::default();
        ["s-1", "s-2", "s-3"].iter().for_each(|id| assert_eq!(hand.exclude(id, true, 1.0), Ok(true)));
        hand.include("s-2", true, 7.0).expect("out");
        let bytes = hand.encode().expect("small");
        assert_eq!(Hand::decode(&bytes), Ok(hand));
        for at in 0..bytes.len() {
            assert!(Hand::decode(&bytes[..at]).is_err(), "cut at {at}");
            for bit in 0..8 {
                let mut changed = bytes.clone();
                changed[at] ^= 1 << bit;
                assert!(Hand::decode(&changed).is_err(), "bit {bit} of byte {at}");
            }
        }
        let newer = Form { version: 2, ..FORM }.frame(&[1, 2, 3]);
        assert_eq!(Hand::decode(&newer), Err(FrameError::Newer(2, 1)));
    }

    /// These bytes were written down by hand: the file's form is a promise.
    #[test]
    fn file_form_stays() {
        let mut hand = Hand::default();
        hand.exclude("s-1", true, 1.0).expect("listed");
        let bytes = hand.encode().expect("small");
        let records = [1, 3, b's', b'-', b'1', 0, 0, 0, 0, 0, 0, 0xf0, 0x3f, 0];
        assert_eq!(&bytes[..8], b"SPKHAND\n");
        assert_eq!(&bytes[8..16], [1, 0, 0, 0, 14, 0, 0, 0]);
        assert_eq!(&bytes[20..], records);
    }

    proptest! {
        #[test]
        fn reader_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            let _ = Hand::decode(&bytes);
            let _ = Hand::decode(&FORM.frame(&bytes));
        }
    }
}
