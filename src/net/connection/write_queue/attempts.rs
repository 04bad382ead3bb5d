//! Attempts in a write queue: they are checked before their first byte is written, and withdrawn, postponed or discarded until then.

use super::WriteQueue;
use crate::core::AttemptId;
use crate::limits::Limits;
use crate::net::connection::frame::Frame;
use crate::net::log;
use starlingplank_decision::permission::send::SendRefusal;

impl WriteQueue {
    pub(super) fn has_postponed(&self) -> bool {
        !self.postponed.borrow().is_empty()
    }

    /// Withdraws the message of an attempt if no byte of it is written. Returns whether it was withdrawn.
    pub fn withdraw(&self, attempt: AttemptId) -> bool {
        self.restore_postponed();
        let mut frames = self.frames.borrow_mut();
        let mut unwritten = self.partly_written_frames()..frames.len();
        let Some(index) = unwritten.find(|index| frames[*index].attempt == Some(attempt)) else {
            return false;
        };
        if let Some(frame) = frames.remove(index) {
            self.count_removed(&frame, frame.len());
        }
        true
    }

    /// Returns the attempts of which no byte is written, including discarded ones that are not reported yet.
    pub fn unsent_attempts(&self) -> Vec<AttemptId> {
        self.restore_postponed();
        let frames = self.frames.borrow();
        let queued = frames.iter().skip(self.partly_written_frames()).filter_map(|frame| frame.attempt);
        queued.chain(self.discarded_attempts.borrow().iter().copied()).collect()
    }

    /// Returns whether the next write may contain the first byte of an attempt.
    pub(super) fn may_begin_attempt(&self, limits: &Limits) -> bool {
        let frames = self.frames.borrow();
        let next = frames.iter().take(limits.max_gathered_slices).skip(self.partly_written_frames());
        next.into_iter().any(|frame| frame.attempt.is_some())
    }

    /// Moves postponed frames back to the end of the queue.
    pub(super) fn restore_postponed(&self) {
        self.frames.borrow_mut().extend(self.postponed.borrow_mut().drain(..));
    }

    /// Postpones the frame at this index if its client may have withdrawn the request. Returns whether it did.
    fn postpone(&self, index: usize) -> bool {
        let mut frames = self.frames.borrow_mut();
        if !frames.get(index).is_some_and(Frame::may_be_withdrawn) {
            return false;
        }
        self.postponed.borrow_mut().extend(frames.remove(index));
        true
    }

    /// Checks each attempt that may begin in the next write, discards those that must not be written, and postpones those whose client
    /// may have withdrawn the request. Attempts whose encoding is stale are encoded again.
    pub(super) fn check_next_frames(&self, limits: &Limits) {
        let mut index = self.partly_written_frames();
        while index < limits.max_gathered_slices.min(self.frames.borrow().len()) {
            if self.postpone(index) {
                continue;
            }
            match self.check_frame(index) {
                Ok(()) => index += 1,
                Err(refusal) => self.discard_refused(index, refusal),
            }
        }
    }

    fn check_frame(&self, index: usize) -> Result<(), SendRefusal> {
        let mut frames = self.frames.borrow_mut();
        let Some(frame) = frames.get_mut(index) else { return Ok(()) };
        frame.check_transmit(|| self.shared.take_from_retry_budget())?;
        let length_before = frame.len();
        frame.encode_again_if_stale();
        let length = frame.len();
        drop(frames);
        self.count_bytes(length, length_before);
        Ok(())
    }

    fn discard_refused(&self, index: usize, refusal: SendRefusal) {
        let Some(frame) = self.frames.borrow_mut().remove(index) else { return };
        self.count_removed(&frame, frame.len());
        self.shared.rule_counters.count(refusal);
        if let Some(AttemptId { request, number: attempt }) = frame.attempt {
            tracing::debug!(request = request.0, attempt, reason = refusal.name(), "attempt not written");
        }
        if refusal.is_violation() {
            log::error_rate_limited(
                "an attempt in the write queue violates a sending rule and is discarded",
                refusal.name(),
            );
        }
        self.discarded_attempts.borrow_mut().extend(frame.attempt);
        self.attempt_discarded.notify_one();
    }

    /// Waits for an attempt that was discarded because it must no longer be written.
    pub async fn next_discarded_attempt(&self) -> AttemptId {
        loop {
            if let Some(id) = self.discarded_attempts.borrow_mut().pop() {
                return id;
            }
            self.attempt_discarded.notified().await;
        }
    }
}
