//! Whether a keyed request may leave now. Engines drop a repeat of a key for a window from when the first that they
//! saw arrived; a repeat that comes inside that window must not leave after it, or it runs twice. So the sends of each
//! key are kept, here in memory and, where there is a log, on disk **before the send leaves**.
//!
//! Which send was the first to arrive is not known: one that was recorded may never have left. A repeat must leave
//! before the window of the *first* that may have arrived is over, and the key is kept until the window of the *last*
//! that may have been the first is.
//!
//! # Why nothing runs twice
//!
//! Let `W` be the longest window. A *mark* is a line in the log that says "at this time this log was whole".
//!
//! 1. While the log is healthy, a key leaves only once its record is durable. What was sent is in the log.
//! 2. While it isn't, nothing keyed leaves until `W` after the last mark that was tried, whether or not the disk said
//!    that it got there (never, where the log is required), and no mark is tried. A life that has no log at all
//!    waits until `W` after its own start.
//! 3. A start trusts a log only if it is whole and its last mark is younger than `W`. By 1 and 2 nothing unrecorded
//!    can have been sent before it then: whoever sent without a record first waited `W` since that mark.
//! 4. A start that trusts no log sends nothing keyed until `W` after it. Whatever an earlier life sent lies before
//!    the start, so every repeat inside its window has come, and been turned away, by then. Its marks carry that
//!    time, so that a next start which trusts them waits as well.
//!
//! A log that had failed is begun anew with all keys held, first without a mark: one that is cut off there is not
//! trusted.
//!
//! All windows are taken longer by [`ARRIVES`], as engines count theirs from when a send arrives: that it does so
//! within that time, or never, is what the above rests on.
//!
//! Times are from a clock that nobody sets (see [`folder::Boot`](crate::folder::Boot)); after a reboot no log is
//! trusted.

use sha2::{Digest, Sha256};
use starlingplank_decision::interface::Milliseconds;
use std::collections::{BTreeMap, HashMap};

/// A key, as it is kept: 128 bits of its SHA-256, so that a record has one length whatever clients send.
pub type Key = [u8; 16];

/// A client's idempotency key, as it is kept.
pub fn key(text: &str) -> Key {
    let mut key = [0; 16];
    key.copy_from_slice(&Sha256::digest(text.as_bytes())[..16]);
    key
}

/// One send of a key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KeySend {
    /// When.
    pub at: Milliseconds,
    /// How long engines drop repeats once it has arrived.
    pub window: Milliseconds,
}

/// Sends of a key that belong together: any of them may be the first that an engine saw.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KeySends {
    /// The first of them.
    pub first: Milliseconds,
    /// The last.
    pub last: Milliseconds,
    /// How long engines drop repeats.
    pub window: Milliseconds,
}

impl KeySends {
    /// One send.
    pub fn one(sent: KeySend) -> Self {
        Self { first: sent.at, last: sent.at, window: sent.window }
    }

    /// Until then a repeat may run on an engine that saw the last of them first.
    pub fn end(&self) -> Milliseconds {
        self.last + self.window + ARRIVES
    }

    /// With one send more. One after their end begins anew: engines have forgotten them.
    pub fn and(self, sent: KeySend) -> Self {
        if sent.at >= self.end() {
            return Self::one(sent);
        }
        let window = self.window.max(sent.window);
        Self { first: self.first.min(sent.at), last: self.last.max(sent.at), window }
    }
}

/// What the log is to this life.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Log {
    /// None is wanted: keys are kept in memory alone, and a restart forgets them.
    Off,
    /// None could be opened: what is keyed waits for the longest window from the start.
    Missing,
    /// One is there, and this life has not sent unrecorded before `marked + window`.
    Open {
        /// Without it nothing keyed leaves.
        required: bool,
    },
    /// Another process holds the folder; nothing keyed leaves, as its log tells of its sends alone.
    Held,
}

/// May a keyed request be taken?
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// Yes, if it leaves by then.
    Until(Milliseconds),
    /// Not now; best again after so many milliseconds.
    Later(Milliseconds),
}

/// May a keyed attempt leave?
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Leave {
    /// At once.
    Now,
    /// Once this record of it is durable.
    AfterRecord(KeySend),
    /// No: it never ran.
    No,
}

/// The keys of one gateway. No I/O; times are handed in.
#[derive(Debug)]
pub struct DeduplicationWindow {
    log: Log,
    /// The longest window.
    window: Milliseconds,
    most: usize,
    /// By key, and whether all of them are durable.
    sends: HashMap<Key, (KeySends, bool)>,
    /// When each expires, to drop the expired without a look at all.
    ends: BTreeMap<(u64, Key), ()>,
    /// Nothing keyed before this.
    shut_until: Milliseconds,
    healthy: bool,
    /// The last mark that was tried.
    marked: Milliseconds,
    /// The first file of this life was tried.
    begun: bool,
    /// Records in the log since it was last written anew.
    logged: usize,
    /// Sends of keys that were turned away here, for the counts.
    refused: u64,
}

/// What a log that is begun anew must hold.
#[derive(Debug, Clone, PartialEq)]
pub struct Rewrite {
    /// All keys that hold.
    pub keys: Vec<(Key, KeySends)>,
    /// A mark, where one may be given: its time, and until when nothing keyed may leave.
    pub mark: Option<(Milliseconds, Milliseconds)>,
}

/// From the record of a send until it has arrived at its engine, at most: half for the record, half for the way.
pub const ARRIVES: Milliseconds = 500.0;
/// Records after which the log is written anew: about 1 MiB.
const REWRITE_AFTER: usize = 26_000;
/// How long a client is told to keep away while the log is not healthy and nobody knows until when.
const UNHEALTHY_WAIT: Milliseconds = 1_000.0;

impl DeduplicationWindow {
    /// Keys in memory alone.
    pub fn off() -> Self {
        Self::new(Log::Off, 0.0, usize::MAX, 0.0)
    }

    /// A life that starts now. `window` is the longest of all classes, `most` bounds the keys held.
    pub fn new(log: Log, window: Milliseconds, most: usize, now: Milliseconds) -> Self {
        let shut_until = match log {
            Log::Off => f64::NEG_INFINITY,
            Log::Missing | Log::Open { .. } => now + window + ARRIVES,
            Log::Held => f64::INFINITY,
        };
        Self {
            log,
            window,
            most,
            sends: HashMap::new(),
            ends: BTreeMap::new(),
            shut_until,
            healthy: false,
            marked: now,
            begun: false,
            logged: 0,
            refused: 0,
        }
    }

    /// The log of the life before is known to be whole: its keys, and how long it still had to wait itself.
    pub fn trust(
        &mut self,
        sends: impl IntoIterator<Item = (Key, KeySends)>,
        shut_until: Milliseconds,
        now: Milliseconds,
    ) {
        self.shut_until = shut_until;
        for (key, sends) in sends.into_iter().filter(|(_, s)| now < s.end()) {
            self.put(key, sends, true);
        }
    }

    /// The process that held the folder has ended, and its log is this one's from now on. What was sent meanwhile,
    /// unrecorded, is among the keys held, and so in the first file of this life, which may carry a mark; nothing keyed
    /// leaves before that is durable. `trusted`: what that log told, if it is whole.
    pub fn take_log(
        &mut self,
        required: bool,
        trusted: Option<(Vec<(Key, KeySends)>, Milliseconds)>,
        now: Milliseconds,
    ) {
        self.log = Log::Open { required };
        (self.healthy, self.begun, self.marked) = (false, false, now);
        match trusted {
            Some((sends, shut_until)) => {
                // Held back by nothing but the folder, or by what the other was held back by as well.
                let own = Some(self.shut_until).filter(|t| t.is_finite()).unwrap_or(shut_until);
                self.shut_until = own.max(shut_until);
                sends.into_iter().for_each(|(key, sends)| self.hear(key, sends, now));
            }
            None => self.shut_until = now + self.window + ARRIVES,
        }
    }

    /// Another process of this gateway sent that key, and has recorded it: a repeat here keeps to the window of both.
    pub fn hear(&mut self, key: Key, sends: KeySends, now: Milliseconds) {
        if now >= sends.end() {
            return;
        }
        let (held, durable) = self.sends.get(&key).copied().unwrap_or((sends, true));
        let (first, last) = (held.first.min(sends.first), held.last.max(sends.last));
        self.put(key, KeySends { first, last, window: held.window.max(sends.window) }, durable);
    }

    fn put(&mut self, key: Key, sends: KeySends, durable: bool) {
        if let Some((old, _)) = self.sends.insert(key, (sends, durable)) {
            self.ends.remove(&(order(old.end()), key));
        }
        self.ends.insert((order(sends.end()), key), ());
    }

    fn expire(&mut self, now: Milliseconds) {
        while let Some((&(end, key), ())) = self.ends.first_key_value() {
            if end > order(now) {
                return;
            }
            self.ends.pop_first();
            self.sends.remove(&key);
        }
    }

    /// Until when nothing that is keyed leaves, whatever its key.
    fn shut(&self, now: Milliseconds) -> Option<Milliseconds> {
        let logged = match self.log {
            Log::Open { .. } if self.healthy => f64::NEG_INFINITY,
            Log::Open { required: true } => now + UNHEALTHY_WAIT,
            Log::Open { required: false } => self.marked + self.window + ARRIVES,
            Log::Off | Log::Missing | Log::Held => f64::NEG_INFINITY,
        };
        Some(self.shut_until.max(logged)).filter(|until| now < *until)
    }

    /// May a request with that key be taken? One whose key was sent before must leave inside the window of that. One
    /// whose key is new must leave inside a window from now: another under the same key may be sent meanwhile, and
    /// after its window the two would both run.
    pub fn admit(
        &mut self,
        key: &Key,
        window: Milliseconds,
        now: Milliseconds,
        margin: Milliseconds,
    ) -> Admission {
        self.expire(now);
        if let Some(until) = self.shut(now) {
            self.refused += 1;
            return Admission::Later((until - now).min(self.window.max(UNHEALTHY_WAIT)));
        }
        // The shorter of the two windows where another class, or an earlier configuration, sent that key.
        let until = |s: &KeySends| s.first + s.window.min(window) - margin;
        match self.sends.get(key) {
            // Too late to go as a repeat, too early to be sure that it goes as a load of its own.
            Some((sends, _)) if now >= until(sends) => {
                self.refused += 1;
                Admission::Later(sends.end() - now)
            }
            Some((sends, _)) => Admission::Until(until(sends)),
            None if self.sends.len() >= self.most => {
                self.refused += 1;
                Admission::Later(UNHEALTHY_WAIT)
            }
            None => Admission::Until(now + window - margin),
        }
    }

    /// May an attempt with that key leave? From here on it counts as sent.
    pub fn leave(&mut self, key: &Key, window: Milliseconds, now: Milliseconds) -> Leave {
        self.expire(now);
        if self.shut(now).is_some() {
            return Leave::No;
        }
        let sent = KeySend { at: now, window };
        let sends = match self.sends.get(key) {
            Some((sends, _)) => sends.and(sent),
            None if self.sends.len() >= self.most => return Leave::No,
            None => KeySends::one(sent),
        };
        self.put(*key, sends, false);
        match self.log {
            Log::Open { .. } if self.healthy => Leave::AfterRecord(sent),
            _ => Leave::Now,
        }
    }

    /// The record of a send is durable. May it leave? Not if that took so long that it could arrive too late.
    pub fn recorded(&mut self, key: &Key, sent: KeySend, now: Milliseconds) -> bool {
        self.logged += 1;
        if let Some((sends, durable)) = self.sends.get_mut(key) {
            *durable |= sends.last == sent.at;
        }
        now <= sent.at + ARRIVES / 2.0
    }

    /// A mark to write now: its time, and until when nothing keyed may leave (0: no such time). None: there is no log
    /// that could be called whole.
    pub fn mark(&mut self, now: Milliseconds) -> Option<(Milliseconds, Milliseconds)> {
        self.healthy.then(|| self.marking(now))
    }

    fn marking(&mut self, now: Milliseconds) -> (Milliseconds, Milliseconds) {
        self.marked = self.marked.max(now);
        self.logged += 1;
        (now, if now < self.shut_until { self.shut_until } else { 0.0 })
    }

    /// A call on the log failed, or did not come back in time. True: it had been healthy.
    pub fn failed(&mut self) -> bool {
        std::mem::replace(&mut self.healthy, false)
    }

    /// What a log that is begun anew must hold. One that was not healthy must be, and one that is long.
    pub fn rewrite(&mut self, now: Milliseconds) -> Option<Rewrite> {
        self.expire(now);
        let due = matches!(self.log, Log::Open { .. }) && (!self.healthy || self.logged > REWRITE_AFTER);
        if !due {
            return None;
        }
        // The first file may carry a mark, as this life has sent nothing unrecorded; one after a failure may not.
        let mark = (self.healthy || !self.begun).then(|| self.marking(now));
        (self.begun, self.logged) = (true, 0);
        Some(Rewrite { keys: self.sends.iter().map(|(key, (sends, _))| (*key, *sends)).collect(), mark })
    }

    /// The log was begun anew. True: it is healthy now, and had not been.
    pub fn rewritten(&mut self, keys: &[(Key, KeySends)]) -> bool {
        for (key, sends) in keys {
            if let Some((held, durable)) = self.sends.get_mut(key) {
                *durable |= held == sends;
            }
        }
        // What was sent unrecorded meanwhile is not in it: the next one will have it.
        if !self.healthy && self.sends.values().any(|(_, durable)| !durable) {
            return false;
        }
        !std::mem::replace(&mut self.healthy, true)
    }

    /// Whether keyed sends are recorded now.
    pub fn healthy(&self) -> bool {
        self.healthy
    }

    /// Whether there is a log to keep.
    pub fn has_log(&self) -> bool {
        matches!(self.log, Log::Open { .. })
    }

    /// Keys that are held.
    pub fn held(&self) -> usize {
        self.sends.len()
    }

    /// Keyed requests turned away here so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

/// Times in an order that a tree can keep. None are below zero.
fn order(at: Milliseconds) -> u64 {
    at.max(0.0).to_bits()
}
