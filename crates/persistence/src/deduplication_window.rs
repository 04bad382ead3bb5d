//! Decides whether a keyed request may be sent now.
//!
//! Engines drop repeats of a key for a window that begins when the first send arrives. A repeat that the gateway receives
//! inside the window must not be sent after it, or the request runs twice. So the sends of each key are tracked: in
//! memory and, where there is an idempotency log, on disk **before the request is sent**.
//!
//! It is unknown which send arrived first: one that was recorded may never have been transmitted. A repeat must be sent
//! before the window of the *first* send that may have arrived ends, and the key is tracked until the window of the
//! *last* send that may have been the first to arrive ends.
//!
//! # Why no keyed request runs twice
//!
//! Let `W` be the longest window. A *mark* is a record in the log that says "at this time this log was complete".
//!
//! 1. While the log is healthy, a keyed request is sent only once its record is durable. What was sent is in the log.
//! 2. While the log is not healthy, no keyed request is sent until `W` after the last attempted mark, whether or not the
//!    disk confirmed it (and none at all if the log is required), and no mark is attempted. A process that has no log
//!    at all waits until `W` after its own start.
//! 3. A starting process trusts a log only if it is intact and its last mark is younger than `W`. By 1 and 2 no
//!    unrecorded request can have been sent before it then: a process that sent without a record first waited `W`
//!    since that mark.
//! 4. A starting process that trusts no log sends no keyed request until `W` after its start. Whatever an earlier process
//!    sent lies before the start, so every repeat inside its window has arrived, and been rejected, by then. Its marks
//!    carry that time, so that a later process which trusts them waits as well.
//!
//! After a failure a new log file is written with all tracked keys, first without a mark: a file that is cut off there is
//! not trusted.
//!
//! All windows are extended by [`MAX_ARRIVAL_DELAY`], as engines count theirs from a send's arrival. The argument rests
//! on a send arriving within that time or never.
//!
//! Times are from the boot clock (see [`BootTime`](crate::boot_time::BootTime)); after a reboot no log is trusted.

use starlingplank_decision::interface::Milliseconds;
use std::collections::{BTreeSet, HashMap};

pub use crate::idempotency_key::{key, Key, KeySend, KeySends, LogMark, TrustedLog, MAX_ARRIVAL_DELAY};

/// Records after which the log is rewritten: about 1 MiB.
const REWRITE_AFTER_RECORDS: usize = 26_000;
/// Retry-After for clients while the log is not healthy and it is unknown when it will be.
const UNHEALTHY_RETRY_AFTER: Milliseconds = 1_000.0;

/// The idempotency log that this process has.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LogState {
    /// None is configured: keys are tracked in memory only, and a restart forgets them.
    Off,
    /// The log could not be opened: no keyed request is sent for the longest window from the start.
    Missing,
    /// The log is open, and this process has sent no unrecorded request before its last mark plus the longest window.
    Open {
        /// Whether no keyed request may be sent without the log.
        required: bool,
    },
    /// Another process has locked the folder. No keyed request is sent, as that log covers only the other's sends.
    Locked,
}

/// Whether a keyed request may be accepted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// It may, if it is sent before this time.
    Until(Milliseconds),
    /// Not now; the client should retry after so many milliseconds.
    Later(Milliseconds),
}

/// Whether a keyed attempt may be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SendPermission {
    /// At once.
    Now,
    /// Once the record of this send is durable.
    AfterRecord(KeySend),
    /// No: the attempt is not executed.
    Denied,
}

/// The contents of a log file that is to be written.
#[derive(Debug, Clone, PartialEq)]
pub struct Rewrite {
    /// All tracked keys.
    pub keys: Vec<(Key, KeySends)>,
    /// A mark, where the log is known to be complete.
    pub mark: Option<LogMark>,
}

#[derive(Debug)]
struct TrackedKey {
    sends: KeySends,
    /// Whether all of the sends are durable.
    durable: bool,
}

/// The tracked keys of one gateway process. Performs no I/O; times are passed in.
#[derive(Debug)]
pub struct DeduplicationWindow {
    log: LogState,
    /// The longest window of all classes.
    longest_window: Milliseconds,
    max_keys: usize,
    tracked: HashMap<Key, TrackedKey>,
    /// Keys by the end of their window, so that expiry looks at expired keys only.
    expiry: BTreeSet<(u64, Key)>,
    /// No keyed request is sent before this time: negative infinity for never blocked, infinity for always.
    blocked_until: Milliseconds,
    healthy: bool,
    /// Time of the last attempted mark.
    last_mark: Milliseconds,
    /// Whether the first log file of this process was attempted.
    first_file_attempted: bool,
    /// Records in the log since it was last rewritten.
    records_in_log: usize,
    /// Keyed requests rejected here.
    rejected: u64,
}

impl DeduplicationWindow {
    /// Tracks keys in memory only.
    pub fn in_memory() -> Self {
        Self::new(LogState::Off, 0.0, usize::MAX, 0.0)
    }

    /// For a process that starts now. `longest_window` is the longest of all classes, `max_keys` bounds the tracked keys.
    pub fn new(log: LogState, longest_window: Milliseconds, max_keys: usize, now: Milliseconds) -> Self {
        let blocked_until = match log {
            LogState::Off => f64::NEG_INFINITY,
            LogState::Missing | LogState::Open { .. } => now + longest_window + MAX_ARRIVAL_DELAY,
            LogState::Locked => f64::INFINITY,
        };
        Self {
            log,
            longest_window,
            max_keys,
            tracked: HashMap::new(),
            expiry: BTreeSet::new(),
            blocked_until,
            healthy: false,
            last_mark: now,
            first_file_attempted: false,
            records_in_log: 0,
            rejected: 0,
        }
    }

    /// Takes over the log of the previous process, which is known to be complete.
    pub fn restore(&mut self, log: TrustedLog, now: Milliseconds) {
        self.blocked_until = log.blocked_until.unwrap_or(0.0);
        for (key, sends) in log.sends {
            if now < sends.end() {
                self.track(key, TrackedKey { sends, durable: true });
            }
        }
    }

    /// Takes over the folder from a process that has ended. What was sent meanwhile without a record is among the tracked
    /// keys, and so in the first file of this process, which may carry a mark; no keyed request is sent before that file
    /// is durable. `trusted` is the other's log if it is complete.
    pub fn take_log(&mut self, required: bool, trusted: Option<TrustedLog>, now: Milliseconds) {
        self.log = LogState::Open { required };
        self.healthy = false;
        self.first_file_attempted = false;
        self.last_mark = now;
        let Some(trusted) = trusted else {
            self.blocked_until = now + self.longest_window + MAX_ARRIVAL_DELAY;
            return;
        };
        // Where only the lock blocked this process, what blocked the other one applies.
        let theirs = trusted.blocked_until.unwrap_or(0.0);
        let own = if self.blocked_until.is_finite() { self.blocked_until } else { theirs };
        self.blocked_until = own.max(theirs);
        for (key, sends) in trusted.sends {
            self.merge_peer_sends(key, sends, now);
        }
    }

    /// Another process of this gateway has sent a key and recorded it: repeats here must keep to the windows of both.
    pub fn merge_peer_sends(&mut self, key: Key, sends: KeySends, now: Milliseconds) {
        if now >= sends.end() {
            return;
        }
        let merged = match self.tracked.get(&key) {
            None => TrackedKey { sends, durable: true },
            Some(TrackedKey { sends: own, durable }) => {
                let (first, last) = (own.first.min(sends.first), own.last.max(sends.last));
                let window = own.window.max(sends.window);
                TrackedKey { sends: KeySends { first, last, window }, durable: *durable }
            }
        };
        self.track(key, merged);
    }

    fn track(&mut self, key: Key, tracked: TrackedKey) {
        let end = expiry_order(tracked.sends.end());
        if let Some(old) = self.tracked.insert(key, tracked) {
            self.expiry.remove(&(expiry_order(old.sends.end()), key));
        }
        self.expiry.insert((end, key));
    }

    fn expire(&mut self, now: Milliseconds) {
        while let Some(&(end, key)) = self.expiry.first() {
            if end > expiry_order(now) {
                return;
            }
            self.expiry.pop_first();
            self.tracked.remove(&key);
        }
    }

    /// Until when no keyed request may be sent, whatever its key. `None` if nothing blocks them.
    fn blocked(&self, now: Milliseconds) -> Option<Milliseconds> {
        let by_log = match self.log {
            LogState::Open { .. } if self.healthy => f64::NEG_INFINITY,
            LogState::Open { required: true } => now + UNHEALTHY_RETRY_AFTER,
            LogState::Open { required: false } => self.last_mark + self.longest_window + MAX_ARRIVAL_DELAY,
            LogState::Off | LogState::Missing | LogState::Locked => f64::NEG_INFINITY,
        };
        Some(self.blocked_until.max(by_log)).filter(|until| now < *until)
    }

    /// Whether a request with this key may be accepted. A repeat must be sent inside the window of the earlier send. A new
    /// key must be sent inside a window from now: another request under the same key may be sent meanwhile, and after its
    /// window both would run.
    pub fn admit(
        &mut self,
        key: &Key,
        window: Milliseconds,
        now: Milliseconds,
        margin: Milliseconds,
    ) -> Admission {
        self.expire(now);
        if let Some(until) = self.blocked(now) {
            return self.reject((until - now).min(self.longest_window.max(UNHEALTHY_RETRY_AFTER)));
        }
        let Some(TrackedKey { sends, .. }) = self.tracked.get(key) else {
            if self.tracked.len() >= self.max_keys {
                return self.reject(UNHEALTHY_RETRY_AFTER);
            }
            return Admission::Until(now + window - margin);
        };
        // The shorter of the two windows, where another class or an earlier configuration sent that key.
        let send_before = sends.first + sends.window.min(window) - margin;
        if now >= send_before {
            // Too late for a repeat, too early to run as a request of its own.
            let retry_after = sends.end() - now;
            return self.reject(retry_after);
        }
        Admission::Until(send_before)
    }

    fn reject(&mut self, retry_after: Milliseconds) -> Admission {
        self.rejected += 1;
        Admission::Later(retry_after)
    }

    /// Whether an attempt with this key may be sent. From here on it counts as sent.
    pub fn permit_send(&mut self, key: &Key, window: Milliseconds, now: Milliseconds) -> SendPermission {
        self.expire(now);
        if self.blocked(now).is_some() {
            return SendPermission::Denied;
        }
        let send = KeySend { at: now, window };
        let sends = match self.tracked.get(key) {
            Some(tracked) => tracked.sends.and(send),
            None if self.tracked.len() >= self.max_keys => return SendPermission::Denied,
            None => KeySends::single(send),
        };
        self.track(*key, TrackedKey { sends, durable: false });
        match self.log {
            LogState::Open { .. } if self.healthy => SendPermission::AfterRecord(send),
            _ => SendPermission::Now,
        }
    }

    /// The record of a send is durable. Returns whether the attempt may still be sent: not if recording took so long that
    /// it could arrive too late.
    pub fn recorded(&mut self, key: &Key, send: KeySend, now: Milliseconds) -> bool {
        self.records_in_log += 1;
        if let Some(tracked) = self.tracked.get_mut(key) {
            tracked.durable |= tracked.sends.last == send.at;
        }
        now <= send.at + MAX_ARRIVAL_DELAY / 2.0
    }

    /// A mark to write now. `None` while the log is not known to be complete.
    pub fn mark(&mut self, now: Milliseconds) -> Option<LogMark> {
        self.healthy.then(|| self.attempt_mark(now))
    }

    fn attempt_mark(&mut self, now: Milliseconds) -> LogMark {
        self.last_mark = self.last_mark.max(now);
        self.records_in_log += 1;
        LogMark { at: now, blocked_until: Some(self.blocked_until).filter(|until| now < *until) }
    }

    /// A write to the log failed, or did not return in time. Returns whether the log had been healthy.
    pub fn failed(&mut self) -> bool {
        std::mem::replace(&mut self.healthy, false)
    }

    /// The contents of a new log file, if one is due: after a failure, or once the log has grown long.
    pub fn rewrite(&mut self, now: Milliseconds) -> Option<Rewrite> {
        self.expire(now);
        let is_open = matches!(self.log, LogState::Open { .. });
        if !is_open || self.healthy && self.records_in_log <= REWRITE_AFTER_RECORDS {
            return None;
        }
        // The first file may carry a mark, as this process has sent nothing unrecorded; one after a failure may not.
        let mark = (self.healthy || !self.first_file_attempted).then(|| self.attempt_mark(now));
        self.first_file_attempted = true;
        self.records_in_log = 0;
        let keys = self.tracked.iter().map(|(key, tracked)| (*key, tracked.sends)).collect();
        Some(Rewrite { keys, mark })
    }

    /// The log was rewritten with these keys. Returns whether it has become healthy by that.
    pub fn rewritten(&mut self, keys: &[(Key, KeySends)]) -> bool {
        for (key, written) in keys {
            if let Some(tracked) = self.tracked.get_mut(key) {
                tracked.durable |= tracked.sends == *written;
            }
        }
        // Sends that were made unrecorded meanwhile are not in the file: the next one will hold them.
        if !self.healthy && self.tracked.values().any(|tracked| !tracked.durable) {
            return false;
        }
        !std::mem::replace(&mut self.healthy, true)
    }

    /// Whether sends are being recorded.
    pub fn healthy(&self) -> bool {
        self.healthy
    }

    /// Whether this process writes a log.
    pub fn has_log(&self) -> bool {
        matches!(self.log, LogState::Open { .. })
    }

    /// Number of tracked keys.
    pub fn tracked_keys(&self) -> usize {
        self.tracked.len()
    }

    /// Number of keyed requests that were rejected here.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}

/// Maps a time to an integer of the same order. Negative times count as zero.
fn expiry_order(at: Milliseconds) -> u64 {
    at.max(0.0).to_bits()
}
