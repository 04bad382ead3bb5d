//! A simulated process of the gateway, with its deduplication window and its idempotency log.

use crate::engines::WINDOW;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use starlingplank_persistence::boot_time::BootTime;
use starlingplank_persistence::clock_offset::ClockOffset;
use starlingplank_persistence::deduplication_window::{
    key, Admission, DeduplicationWindow, Key, KeySends, LogState, SendPermission,
};
use starlingplank_persistence::idempotency_log::{self, IdempotencyLog, Record};
use starlingplank_test_doubles::disk::FaultyDisk;

/// Minimum time between the last send of a key and the end of its window, in ms.
pub(crate) const MARGIN: f64 = 20.0;
/// Number of keys that clients use.
const KEYS: u64 = 12;
/// Maximum number of keys that a process tracks.
pub(crate) const MAX_KEYS: usize = 1_000;

/// A request that was admitted and waits to be sent. Times in ms.
pub(crate) struct WaitingRequest {
    pub key: Key,
    pub received: f64,
    pub send_at: f64,
    /// The request may be sent only before this time.
    pub admitted_until: f64,
}

/// A simulated process of the gateway.
pub(crate) struct Incarnation {
    pub deduplication: DeduplicationWindow,
    pub log: Option<IdempotencyLog>,
    /// Offset between the boot clock and the process's clock.
    pub offset: ClockOffset,
}

impl Incarnation {
    pub(crate) fn start(disk: &FaultyDisk, mode: LogState, now: f64, offset: ClockOffset) -> Self {
        let mut deduplication = DeduplicationWindow::new(mode, WINDOW, MAX_KEYS, now);
        let log = matches!(mode, LogState::Open { .. }).then(|| {
            let boot = BootTime { now: now + offset.by, boot_id: Some(offset.boot_id) };
            if let Ok(trusted) = idempotency_log::recover(disk, &boot, WINDOW) {
                deduplication.restore(offset.restored_log(trusted), now);
            }
            IdempotencyLog::open(Box::new(disk.clone()))
        });
        let mut incarnation = Self { deduplication, log: log.and_then(Result::ok), offset };
        incarnation.maintain(now);
        incarnation
    }

    /// Rewrites the log if necessary, and appends a mark while the log is healthy. Called once a second.
    pub(crate) fn maintain(&mut self, now: f64) {
        if let Some(rewrite) = self.deduplication.rewrite(now) {
            let stored = |(key, sends): &(Key, KeySends)| (*key, self.offset.stored_sends(*sends));
            let keys: Vec<_> = rewrite.keys.iter().map(stored).collect();
            let mark = rewrite.mark.map(|mark| self.offset.stored_mark(mark));
            match self.log.as_mut().map(|log| log.rewrite(&keys, mark)) {
                Some(Ok(_)) => drop(self.deduplication.rewritten(&rewrite.keys)),
                _ => drop(self.deduplication.failed()),
            }
        }
        if let Some(mark) = self.deduplication.mark(now) {
            let mark = self.offset.stored_mark(mark);
            let appended = self.log.as_mut().map(|log| log.append(&[Record::Mark(mark)]));
            if !matches!(appended, Some(Ok(_))) {
                self.deduplication.failed();
            }
        }
    }

    /// Receives a request with a random key. Returns the request if it is admitted.
    pub(crate) fn receive_request(&mut self, rng: &mut Pcg64Mcg, now: f64) -> Option<WaitingRequest> {
        let key = key(&rng.random_range(0..KEYS).to_string());
        let Admission::Until(admitted_until) = self.deduplication.admit(&key, WINDOW, now, MARGIN) else {
            return None;
        };
        // Some requests wait long, as a repeat sent after the window of its key would be executed again.
        let max_wait = if rng.random_bool(0.2) { 25_000.0 } else { 700.0 };
        let send_at = now + rng.random_range(0.0..max_wait);
        Some(WaitingRequest { key, received: now, send_at, admitted_until })
    }

    /// Returns whether the request may be sent now. If the log is healthy, the send was recorded in it.
    pub(crate) fn may_send(&mut self, request: &WaitingRequest, now: f64) -> bool {
        now < request.admitted_until && self.record_send(request.key, now)
    }

    fn record_send(&mut self, key: Key, now: f64) -> bool {
        match self.deduplication.permit_send(&key, WINDOW, now) {
            SendPermission::Denied => false,
            SendPermission::Now => true,
            SendPermission::AfterRecord(send) => {
                let stored = self.offset.stored_send(send);
                if let Some(Ok(_)) = self.log.as_mut().map(|log| log.append(&[Record::KeySend(key, stored)]))
                {
                    self.deduplication.recorded(&key, send, now)
                } else {
                    self.deduplication.failed();
                    false
                }
            }
        }
    }
}
