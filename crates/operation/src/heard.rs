//! What an earlier process of this gateway heard of the list service. In comes the last list that it was told; out
//! comes, for an engine that this process's own start names, whether it gets nothing new until the service has been
//! heard here. Rule: **a drain or a stop that one process heard binds its successor**, also while the service is
//! silent. It works in one direction: what only the earlier process knew is not used for it.

use serde::{Deserialize, Serialize};
use starlingplank_records::framed::{pack, unpack, Form, FrameError};
use std::collections::BTreeSet;

/// Unix milliseconds.
pub type Ms = f64;

/// What the file begins with.
pub const FORM: Form = Form { magic: *b"SPKHEARD", version: 1 };
/// Bytes of the file at most: 10,000 engines with ids of 100 bytes.
pub const BYTES: u64 = 1 << 20;
/// It binds so long after the service last spoke, in ms: services are silent for up to 23 s. An engine that is newer
/// than the earlier process's last word gets nothing meanwhile, which must end.
pub const BINDS: Ms = 60_000.0;

/// What one process heard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heard {
    at: Ms,
    live: BTreeSet<String>,
}

impl Heard {
    /// The engines that may get work, by the service's word at that time.
    pub fn new(at: Ms, live: impl IntoIterator<Item = String>) -> Self {
        Self { at, live: live.into_iter().collect() }
    }

    /// Until when it binds, unless the service is heard before.
    pub fn until(&self) -> Ms {
        self.at + BINDS
    }

    /// Whether that engine gets nothing new.
    pub fn keeps_out(&self, id: &str, now: Ms) -> bool {
        now < self.until() && !self.live.contains(id)
    }

    /// The bytes of the file.
    ///
    /// # Errors
    /// They would be too many.
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        let bytes = FORM.frame(&pack(self)?);
        let most = BYTES as usize;
        if bytes.len() > most {
            return Err(FrameError::TooLarge(bytes.len(), most));
        }
        Ok(bytes)
    }

    /// Reads the file; never panics, whatever the bytes are.
    ///
    /// # Errors
    /// Says where and why they are none.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let (_, records) = FORM.open(bytes)?;
        let heard: Self = unpack(records)?;
        // A time that is none would bind for ever.
        if heard.at.is_finite() {
            Ok(heard)
        } else {
            Err(FrameError::Records("the time is none".into()))
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn heard() -> Heard {
        Heard::new(1_000.0, ["s-0", "s-2"].map(str::to_owned))
    }

    #[test]
    fn drained_and_gone_engines_are_kept_out_for_as_long_as_it_binds() {
        assert!(!heard().keeps_out("s-0", 1_000.0));
        assert!(heard().keeps_out("s-1", 1_000.0) && heard().keeps_out("s-1", 60_999.0));
        assert!(!heard().keeps_out("s-1", 61_000.0), "it ends by itself");
    }

    #[test]
    fn file_is_read_as_it_was_written_and_every_cut_or_changed_byte_is_noticed() {
        let bytes = heard().encode().expect("small");
        assert_eq!(Heard::decode(&bytes), Ok(heard()));
        for at in 0..bytes.len() {
            assert!(Heard::decode(&bytes[..at]).is_err(), "cut at {at}");
            let mut changed = bytes.clone();
            changed[at] ^= 1;
            assert!(Heard::decode(&changed).is_err(), "byte {at}");
        }
        let never = Heard::new(f64::INFINITY, []).encode().expect("small");
        assert!(Heard::decode(&never).is_err());
        let many = Heard::new(0.0, (0..20_000).map(|n| format!("{n:0100}")));
        assert!(matches!(many.encode(), Err(FrameError::TooLarge(..))));
    }

    /// These bytes were written down by hand: the file's form is a promise.
    #[test]
    fn file_form_stays() {
        let bytes = Heard::new(1.0, ["s-1".to_owned()]).encode().expect("small");
        assert_eq!(&bytes[..16], b"SPKHEARD\x01\0\0\0\x0d\0\0\0");
        assert_eq!(&bytes[20..], [0, 0, 0, 0, 0, 0, 0xf0, 0x3f, 1, 3, b's', b'-', b'1']);
    }

    proptest! {
        #[test]
        fn reader_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            let _ = Heard::decode(&bytes);
            let _ = Heard::decode(&FORM.frame(&bytes));
        }
    }
}
