//! Decides whether a request with an idempotency key may be sent now.
//!
//! Engines drop repeats of a key for a window that begins when the first send arrives. A repeat that the gateway receives
//! within the window must not be sent after the window, or the request runs twice. Therefore the sends of each key are
//! tracked in memory and, if there is an idempotency log, on disk **before the request is sent**.
//!
//! The gateway does not know which send arrived first, as a send that was recorded may never have been transmitted. A
//! repeat must be sent before the end of the window of the *first* send that may have arrived. The key is tracked until the
//! end of the window of the *last* send that may have been the first to arrive.
//!
//! # Why no keyed request runs twice
//!
//! Let `W` be the longest window. A *mark* is a record in the log which states that the log was complete at a given time.
//!
//! 1. While the log is healthy, a keyed request is sent only once its record is durable. All sends are in the log.
//! 2. While the log is not healthy, no keyed request is sent until `W` after the last attempted mark, even if the disk did
//!    not confirm that mark, and no mark is attempted. If the log is required, no keyed request is sent at all. A process
//!    that has no log waits until `W` after its own start.
//! 3. A starting process trusts a log only if it is intact and its last mark is younger than `W`. By 1 and 2, no
//!    unrecorded request can have been sent by that time, as a process that sends without a record first waits until `W`
//!    after that mark.
//! 4. A starting process that trusts no log sends no keyed request until `W` after its start. All sends of earlier
//!    processes precede the start, so every repeat within their windows has arrived and been rejected by the end of that
//!    time. The marks of the process contain the end of that time, so that a later process which trusts them also waits.
//!
//! After a failure a new log file is written with all tracked keys, at first without a mark, so that the log is not trusted
//! if writing stops at this point.
//!
//! All windows are extended by [`MAX_ARRIVAL_DELAY`], as engines start a window when a send arrives. The argument assumes
//! that a send arrives within this time or never.
//!
//! Stored times are from the boot clock (see [`BootTime`](crate::boot_time::BootTime)), so no log is trusted after a reboot.

use starlingplank_decision::interface::Milliseconds;
use std::collections::{BTreeSet, HashMap};

pub use crate::idempotency_key::{key, Key, KeySend, KeySends, LogMark, TrustedLog, MAX_ARRIVAL_DELAY};

/// Number of records after which the log is rewritten; the log is then about 1 MiB long.
const REWRITE_AFTER_RECORDS: usize = 26_000;
/// Retry-After for clients, in milliseconds, if it is unknown when keyed requests will be accepted again: while a required
/// log is not healthy, or while the maximum number of keys is tracked.
const UNHEALTHY_RETRY_AFTER: Milliseconds = 1_000.0;

/// State of this process's idempotency log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LogState {
    /// No log is configured: keys are tracked in memory only and are lost on a restart.
    Off,
    /// The log could not be opened: no keyed request is sent until the longest window after the start has ended.
    Missing,
    /// The log is open. This process sends no unrecorded request until the longest window after the last mark has ended.
    Open {
        /// Whether keyed requests may be sent only while the log is healthy.
        required: bool,
    },
    /// Another process has locked the folder. No keyed request is sent, as the log contains only the other process's sends.
    Locked,
}

/// Result of the check whether a keyed request may be accepted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// The request is accepted; it must be sent before this time.
    Until(Milliseconds),
    /// The request is rejected; the client should retry after this number of milliseconds.
    Later(Milliseconds),
}

/// Result of the check whether a keyed attempt may be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SendPermission {
    /// The attempt may be sent at once.
    Now,
    /// The attempt may be sent once the record of this send is durable.
    AfterRecord(KeySend),
    /// The attempt must not be sent.
    Denied,
}

/// Contents of a new log file that is to be written.
#[derive(Debug, Clone, PartialEq)]
pub struct Rewrite {
    /// All tracked keys.
    pub keys: Vec<(Key, KeySends)>,
    /// A mark; `None` unless the new file is known to contain all sends.
    pub mark: Option<LogMark>,
}

#[derive(Debug)]
struct TrackedKey {
    sends: KeySends,
    /// Whether all sends of the key are durable.
    durable: bool,
}

/// The tracked keys of one gateway process. Performs no I/O; the caller passes in the time.
#[derive(Debug)]
pub struct DeduplicationWindow {
    log: LogState,
    /// Longest window of all classes.
    longest_window: Milliseconds,
    max_keys: usize,
    tracked: HashMap<Key, TrackedKey>,
    /// Keys ordered by the end of their window, so that expiry visits only expired keys.
    expiry: BTreeSet<(u64, Key)>,
    /// Time before which no keyed request is sent. Negative infinity if keyed requests are not blocked, infinity if they are
    /// always blocked.
    blocked_until: Milliseconds,
    healthy: bool,
    /// Time of the last attempted mark.
    last_mark: Milliseconds,
    /// Whether this process has attempted to write its first log file.
    first_file_attempted: bool,
    /// Number of records appended to the log since it was last rewritten.
    records_in_log: usize,
    /// Number of keyed requests that were rejected by [`admit`](Self::admit).
    rejected: u64,
}

impl DeduplicationWindow {
    /// Creates a state that tracks keys in memory only.
    pub fn in_memory() -> Self {
        Self::new(LogState::Off, 0.0, usize::MAX, 0.0)
    }

    /// Creates the state of a process that starts at `now`. `longest_window` is the longest window of all classes, `max_keys`
    /// the maximum number of tracked keys.
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

    /// Restores the log of the previous process, which is known to be complete.
    pub fn restore(&mut self, log: TrustedLog, now: Milliseconds) {
        self.blocked_until = log.blocked_until.unwrap_or(0.0);
        for (key, sends) in log.sends {
            if now < sends.end() {
                self.track(key, TrackedKey { sends, durable: true });
            }
        }
    }

    /// Takes over the log of a process that has ended. Sends that this process has made without a record are among the
    /// tracked keys and will therefore be in its first log file, so this file may contain a mark. No keyed request is sent
    /// before that file is durable. `trusted` is the log of the ended process if it is complete.
    pub fn take_log(&mut self, required: bool, trusted: Option<TrustedLog>, now: Milliseconds) {
        self.log = LogState::Open { required };
        self.healthy = false;
        self.first_file_attempted = false;
        self.last_mark = now;
        let Some(trusted) = trusted else {
            self.blocked_until = now + self.longest_window + MAX_ARRIVAL_DELAY;
            return;
        };
        // If this process was blocked only because the folder was locked, only the other process's block applies.
        let theirs = trusted.blocked_until.unwrap_or(0.0);
        let own = if self.blocked_until.is_finite() { self.blocked_until } else { theirs };
        self.blocked_until = own.max(theirs);
        for (key, sends) in trusted.sends {
            self.merge_peer_sends(key, sends, now);
        }
    }

    /// Merges the sends of a key that another process of this gateway has made and recorded. Repeats in this process must
    /// respect the windows of both processes' sends.
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

    /// Returns the time before which no keyed request may be sent, or `None` if keyed requests are not blocked.
    fn blocked(&self, now: Milliseconds) -> Option<Milliseconds> {
        let by_log = match self.log {
            LogState::Open { .. } if self.healthy => f64::NEG_INFINITY,
            LogState::Open { required: true } => now + UNHEALTHY_RETRY_AFTER,
            LogState::Open { required: false } => self.last_mark + self.longest_window + MAX_ARRIVAL_DELAY,
            LogState::Off | LogState::Missing | LogState::Locked => f64::NEG_INFINITY,
        };
        Some(self.blocked_until.max(by_log)).filter(|until| now < *until)
    }

    /// Decides whether a request with this key is accepted. A repeat must be sent within the window of the first send. A
    /// request with a new key must be sent within one window from now: another request with the same key may be sent in the
    /// meantime, and if this one were sent after the window of the other, both would run.
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
        // The earlier send may have had another window, from another class or an earlier configuration: the shorter applies.
        let send_before = sends.first + sends.window.min(window) - margin;
        if now >= send_before {
            // Too late to be dropped as a repeat by all engines, too early to run as a separate request.
            let retry_after = sends.end() - now;
            return self.reject(retry_after);
        }
        Admission::Until(send_before)
    }

    fn reject(&mut self, retry_after: Milliseconds) -> Admission {
        self.rejected += 1;
        Admission::Later(retry_after)
    }

    /// Decides whether an attempt with this key may be sent. Unless the result is `Denied`, the attempt counts as sent.
    pub fn permit_send(&mut self, key: &Key, window: Milliseconds, now: Milliseconds) -> SendPermission {
        self.expire(now);
        if self.blocked(now).is_some() {
            return SendPermission::Denied;
        }
        let send = KeySend { at: now, window };
        let sends = match self.tracked.get(key) {
            Some(tracked) => tracked.sends.with(send),
            None if self.tracked.len() >= self.max_keys => return SendPermission::Denied,
            None => KeySends::single(send),
        };
        self.track(*key, TrackedKey { sends, durable: false });
        match self.log {
            LogState::Open { .. } if self.healthy => SendPermission::AfterRecord(send),
            _ => SendPermission::Now,
        }
    }

    /// Notes that the record of a send is durable. Returns whether the attempt may still be sent, which is not the case if
    /// recording took so long that the attempt could arrive after [`MAX_ARRIVAL_DELAY`].
    pub fn recorded(&mut self, key: &Key, send: KeySend, now: Milliseconds) -> bool {
        self.records_in_log += 1;
        if let Some(tracked) = self.tracked.get_mut(key) {
            tracked.durable |= tracked.sends.last == send.at;
        }
        now <= send.at + MAX_ARRIVAL_DELAY / 2.0
    }

    /// Returns a mark to write now, or `None` while the log is not known to be complete.
    pub fn mark(&mut self, now: Milliseconds) -> Option<LogMark> {
        self.healthy.then(|| self.attempt_mark(now))
    }

    fn attempt_mark(&mut self, now: Milliseconds) -> LogMark {
        self.last_mark = self.last_mark.max(now);
        self.records_in_log += 1;
        LogMark { at: now, blocked_until: Some(self.blocked_until).filter(|until| now < *until) }
    }

    /// Notes that a write to the log failed or timed out. Returns whether the log was healthy before.
    pub fn failed(&mut self) -> bool {
        std::mem::replace(&mut self.healthy, false)
    }

    /// Returns the contents of a new log file if the log must be rewritten: while it is not healthy, or once it has grown
    /// long.
    pub fn rewrite(&mut self, now: Milliseconds) -> Option<Rewrite> {
        self.expire(now);
        let is_open = matches!(self.log, LogState::Open { .. });
        if !is_open || self.healthy && self.records_in_log <= REWRITE_AFTER_RECORDS {
            return None;
        }
        // The first file may contain a mark, as all sends of this process are in it; a file after a failure may not.
        let mark = (self.healthy || !self.first_file_attempted).then(|| self.attempt_mark(now));
        self.first_file_attempted = true;
        self.records_in_log = 0;
        let keys = self.tracked.iter().map(|(key, tracked)| (*key, tracked.sends)).collect();
        Some(Rewrite { keys, mark })
    }

    /// Notes that the log was rewritten with these keys. Returns whether the log has become healthy by the rewrite.
    pub fn rewritten(&mut self, keys: &[(Key, KeySends)]) -> bool {
        for (key, written) in keys {
            if let Some(tracked) = self.tracked.get_mut(key) {
                tracked.durable |= tracked.sends == *written;
            }
        }
        // Sends that were made without a record during the rewrite are not in the file; the next rewrite contains them.
        if !self.healthy && self.tracked.values().any(|tracked| !tracked.durable) {
            return false;
        }
        !std::mem::replace(&mut self.healthy, true)
    }

    /// Returns whether the log is healthy, so that sends are recorded.
    pub fn healthy(&self) -> bool {
        self.healthy
    }

    /// Returns whether this process writes a log.
    pub fn has_log(&self) -> bool {
        matches!(self.log, LogState::Open { .. })
    }

    /// Returns the number of tracked keys.
    pub fn tracked_keys(&self) -> usize {
        self.tracked.len()
    }

    /// Returns the number of keyed requests that were rejected by [`admit`](Self::admit).
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}

/// Maps a time to an integer that has the same order. Negative times are treated as zero.
fn expiry_order(at: Milliseconds) -> u64 {
    at.max(0.0).to_bits()
}
