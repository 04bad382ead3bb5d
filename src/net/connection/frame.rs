//! Messages in a write queue, and what is checked before the first byte of one is written.

use crate::core::{AttemptId, Send, Statement};
use crate::interface::Milliseconds;
use starlingplank_admin::metrics::{Count, Tally};
use starlingplank_decision::permission::send::SendRefusal;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// An attempt that has been queued for longer is encoded again before it is written, so that the engine is given the time
/// that is left now.
const ENCODE_AGAIN_AFTER: Duration = Duration::from_millis(5);
/// No deadline is further away (a day): a longer time may not fit into an `Instant`.
const MAX_DEADLINE_MS: Milliseconds = 86_400_000.0;

/// A segment of a frame: bytes of its own, or a part of a statement that is shared with its owner.
#[derive(Debug, Clone)]
pub enum Segment {
    /// Bytes of its own.
    Owned(Vec<u8>),
    /// The text of a statement.
    StatementText(Rc<Statement>),
    /// The data of a statement.
    StatementData(Rc<Statement>),
}

impl Segment {
    fn bytes(&self) -> &[u8] {
        match self {
            Self::Owned(bytes) => bytes,
            Self::StatementText(statement) => &statement.text,
            Self::StatementData(statement) => &statement.data,
        }
    }
}

/// A message to be written whole, unless it is withdrawn before its first byte is written.
#[derive(Debug)]
pub struct Frame {
    /// The attempt that it transmits, if any.
    pub attempt: Option<AttemptId>,
    /// Its bytes.
    pub segments: Vec<Segment>,
    /// What is counted once its last byte is written.
    pub tally: Option<Tally>,
    /// Its first byte is written before this time, or never.
    pub transmit_before: Option<Instant>,
    /// Encodes the attempt again where the message gives the engine the time that is left.
    pub queued_attempt: Option<QueuedAttempt>,
}

/// An attempt in a write queue, with what is needed to encode it again.
#[derive(Debug)]
pub struct QueuedAttempt {
    send: Send,
    encode: fn(&Send) -> Vec<Segment>,
    deadline: Instant,
    /// When it was queued. By the clock of the reducer this is [`Send::at`].
    queued_at: Instant,
    encoded_at: Instant,
    /// It counts towards the retry budget already.
    admitted: bool,
}

impl QueuedAttempt {
    /// The current time by the clock of the reducer.
    fn now(&self) -> Milliseconds {
        self.send.at + self.queued_at.elapsed().as_secs_f64() * 1000.0
    }
}

impl Frame {
    /// A message of one segment that transmits no attempt.
    pub fn plain(bytes: Vec<u8>) -> Self {
        Self::from_parts(vec![bytes])
    }

    /// A message of several segments that transmits no attempt.
    pub fn from_parts(parts: Vec<Vec<u8>>) -> Self {
        Self {
            attempt: None,
            segments: parts.into_iter().map(Segment::Owned).collect(),
            tally: None,
            transmit_before: None,
            queued_attempt: None,
        }
    }

    /// The message that transmits an attempt, before the attempt's deadline and before its engine may forget its key.
    pub fn for_attempt(send: Send, encode: fn(&Send) -> Vec<Segment>) -> Self {
        let now = Instant::now();
        let after = |ms: Milliseconds| now + Duration::from_secs_f64(ms.clamp(0.0, MAX_DEADLINE_MS) / 1000.0);
        let deadline = after(send.budget);
        Self {
            attempt: Some(send.id),
            segments: encode(&send),
            tally: Some((send.class.0, Count::Sends)),
            transmit_before: Some(send.transmit_within.map_or(deadline, after).min(deadline)),
            queued_attempt: Some(QueuedAttempt {
                send,
                encode,
                deadline,
                queued_at: now,
                encoded_at: now,
                admitted: false,
            }),
        }
    }

    /// Checks whether the first byte may be written now. A retry takes from the retry budget, once.
    ///
    /// # Errors
    /// The reason for which the message must not be written.
    pub fn check_transmit(
        &mut self,
        take_from_retry_budget: impl FnOnce() -> bool,
    ) -> Result<(), SendRefusal> {
        if self.transmit_before.is_some_and(|limit| limit <= Instant::now()) {
            return Err(SendRefusal::DeadlinePassed);
        }
        let Some(queued) = &mut self.queued_attempt else { return Ok(()) };
        if queued.send.statement.is_abandoned() {
            return Err(SendRefusal::RequestFinished);
        }
        queued.send.permit.check(queued.now())?;
        if queued.send.is_retry && !queued.admitted && !take_from_retry_budget() {
            return Err(SendRefusal::RetryBudgetExhausted);
        }
        queued.admitted = true;
        Ok(())
    }

    /// Encodes an attempt again that has been queued for long: its engine is given the time that is left now.
    pub fn encode_again_if_stale(&mut self) {
        let Some(queued) = &mut self.queued_attempt else { return };
        if queued.encoded_at.elapsed() < ENCODE_AGAIN_AFTER {
            return;
        }
        let now = Instant::now();
        queued.encoded_at = now;
        queued.send.budget = queued.deadline.saturating_duration_since(now).as_secs_f64() * 1000.0;
        self.segments = (queued.encode)(&queued.send);
    }

    /// Its bytes by segments, in order.
    pub fn bytes(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Segment::bytes)
    }

    /// The same message, counted under `tally` once it is written.
    #[must_use]
    pub fn counted(self, tally: Tally) -> Self {
        Self { tally: Some(tally), ..self }
    }

    /// Its length in bytes.
    #[allow(clippy::len_without_is_empty)]
    pub fn len(&self) -> usize {
        self.segments.iter().map(|segment| segment.bytes().len()).sum()
    }
}
