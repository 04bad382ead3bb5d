//! Records of keyed sends, and maintenance of the idempotency log that holds them.

use super::request_state::{Attempt, PendingRecord, RequestKey};
use super::timers::TimerKind;
use super::{AttemptEnd, AttemptId, Core, Effect};
use crate::interface::{Milliseconds, Outcome};
use starlingplank_persistence::deduplication_window::{DeduplicationWindow, Key, KeySends, TrustedLog};

/// The result of writing a record.
#[derive(Debug, Clone, Copy, PartialEq)]
enum RecordOutcome {
    Durable,
    /// The record may not be durable.
    Failed,
}

impl Core {
    /// Returns the deduplication window.
    pub fn deduplication(&self) -> &DeduplicationWindow {
        &self.deduplication
    }

    /// Takes over the idempotency log of a process that has exited.
    pub fn adopt_log(&mut self, required: bool, trusted: Option<TrustedLog>, now: Milliseconds) {
        self.deduplication.take_log(required, trusted, now);
    }

    /// Requests that a send be recorded. The attempt is transmitted once the record is durable.
    pub(super) fn request_record(
        &mut self,
        now: Milliseconds,
        id: AttemptId,
        record: PendingRecord,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id.request) else { return };
        let Some(RequestKey { key, .. }) = request.key else { return };
        self.last_number += 1;
        let number = self.last_number;
        let sent = record.sent;
        if let Some(attempt) = request.attempt_mut(id.number) {
            attempt.pending_record = Some(record);
        }
        self.pending_records.insert(number, id);
        self.set_timer(now + self.limits.record_timeout, TimerKind::RecordTimeout(number));
        effects.push(Effect::WriteRecord { number, key, sent });
    }

    /// Transmits the attempts whose records are durable.
    pub(super) fn records_durable(
        &mut self,
        now: Milliseconds,
        numbers: Vec<u64>,
        effects: &mut Vec<Effect>,
    ) {
        for number in numbers {
            self.end_record(now, number, RecordOutcome::Durable, effects);
        }
    }

    /// Ends the attempts whose records may not be durable as not executed. The log is considered unreliable until it is rewritten.
    pub(super) fn records_failed(&mut self, now: Milliseconds, numbers: Vec<u64>, effects: &mut Vec<Effect>) {
        self.deduplication.failed();
        for number in numbers {
            self.end_record(now, number, RecordOutcome::Failed, effects);
        }
    }

    /// Treats a record that does not become durable in time as failed, such as on a disk that hangs.
    pub(super) fn record_timed_out(&mut self, now: Milliseconds, number: u64, effects: &mut Vec<Effect>) {
        if self.pending_records.contains_key(&number) {
            self.records_failed(now, vec![number], effects);
        }
    }

    /// Ends the wait for a record: transmits the attempt, or ends it as not executed. An attempt that was aborted meanwhile is
    /// left unchanged.
    fn end_record(
        &mut self,
        now: Milliseconds,
        number: u64,
        outcome: RecordOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(id) = self.pending_records.remove(&number) else { return };
        let Some(request) = self.requests.get_mut(&id.request) else { return };
        let Some(RequestKey { key, .. }) = request.key else { return };
        let Some(attempt) = request.attempt_mut(id.number) else { return };
        let Some(PendingRecord { sent, deadline }) = attempt.pending_record.take() else { return };
        let is_recorded = outcome == RecordOutcome::Durable && self.deduplication.recorded(&key, sent, now);
        if !self.find_attempt(id).is_some_and(Attempt::is_in_flight) {
            return;
        }
        if is_recorded {
            self.transmit(now, id, deadline, effects);
        } else {
            self.end_attempt(now, id, AttemptEnd::from_outcome(Outcome::NotExecuted), effects);
        }
    }

    /// Handles the completion of a log rewrite: `keys` are the keys that the log now holds.
    pub(super) fn log_rewritten(
        &mut self,
        now: Milliseconds,
        keys: &[(Key, KeySends)],
        effects: &mut Vec<Effect>,
    ) {
        if self.deduplication.rewritten(keys) {
            self.mark_log(now, effects);
        }
    }

    /// Adds keys with which another process of this gateway has sent requests to the deduplication window.
    pub(super) fn add_peer_keys(&mut self, now: Milliseconds, keys: Vec<(Key, KeySends)>) {
        for (key, sends) in keys {
            self.deduplication.merge_peer_sends(key, sends, now);
        }
    }

    /// Performs the periodic maintenance: marks the log as complete, or rewrites it if it has failed or grown too long.
    pub(super) fn maintain_log(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        match self.deduplication.rewrite(now) {
            Some(rewrite) => effects.push(Effect::RewriteLog(rewrite)),
            None => self.mark_log(now, effects),
        }
    }

    fn mark_log(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        effects.extend(self.deduplication.mark(now).map(Effect::WriteMark));
    }
}
