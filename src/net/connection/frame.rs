//! Messages in a write queue, and the checks before the first byte of a message is written.

use crate::core::{AttemptId, Send, Statement};
use crate::interface::Milliseconds;
use starlingplank_admin::metrics::{Count, CounterKey};
use starlingplank_decision::permission::send::SendRefusal;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Age of the encoding of a queued attempt from which on it is encoded again before it is written, so that the engine
/// receives the current remaining time.
const ENCODE_AGAIN_AFTER: Duration = Duration::from_millis(5);
/// Maximum time until a deadline (1 day), as a longer time may overflow an `Instant`.
const MAX_DEADLINE_MS: Milliseconds = 86_400_000.0;

/// A segment of a frame: owned bytes, or a part of a shared statement.
#[derive(Debug, Clone)]
pub enum Segment {
    /// Bytes owned by the segment.
    Owned(Vec<u8>),
    /// Text of a statement.
    StatementText(Rc<Statement>),
    /// Data of a statement.
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

/// A message in a write queue. Once its first byte is written, it is written completely; before, it can be withdrawn.
#[derive(Debug)]
pub struct Frame {
    /// Attempt that the message transmits, if any.
    pub attempt: Option<AttemptId>,
    /// Bytes of the message.
    pub segments: Vec<Segment>,
    /// Metric that is incremented once the last byte is written.
    pub counter_key: Option<CounterKey>,
    /// Deadline for the write of the first byte, after which the message is discarded.
    pub transmit_before: Option<Instant>,
    /// Attempt that the message transmits, with the data to check it and to encode it again before it is written.
    pub queued_attempt: Option<Box<QueuedAttempt>>,
}

/// An attempt in a write queue, with the data to encode it again.
#[derive(Debug)]
pub struct QueuedAttempt {
    send: Send,
    encode: fn(&Send) -> Vec<Segment>,
    deadline: Instant,
    /// Time at which the attempt was queued. In the clock of the reducer this is [`Send::at`].
    queued_at: Instant,
    encoded_at: Instant,
    /// Whether the attempt has passed the check of the retry budget. A retry is counted in the budget only once.
    retry_budget_checked: bool,
}

impl QueuedAttempt {
    /// Returns the current time in the clock of the reducer.
    fn now(&self) -> Milliseconds {
        self.send.at + self.queued_at.elapsed().as_secs_f64() * 1000.0
    }
}

impl Frame {
    /// Creates a message of one segment that transmits no attempt.
    pub fn plain(bytes: Vec<u8>) -> Self {
        Self::from_parts(vec![bytes])
    }

    /// Creates a message of several segments that transmits no attempt.
    pub fn from_parts(parts: Vec<Vec<u8>>) -> Self {
        Self {
            attempt: None,
            segments: parts.into_iter().map(Segment::Owned).collect(),
            counter_key: None,
            transmit_before: None,
            queued_attempt: None,
        }
    }

    /// Creates the message that transmits an attempt. It must be written before the deadline of the attempt and, for an attempt
    /// with an idempotency key, before the engine may have removed the key.
    pub fn for_attempt(send: Send, encode: fn(&Send) -> Vec<Segment>) -> Self {
        let now = Instant::now();
        let after = |ms: Milliseconds| now + Duration::from_secs_f64(ms.clamp(0.0, MAX_DEADLINE_MS) / 1000.0);
        let deadline = after(send.time_left);
        Self {
            attempt: Some(send.id),
            segments: encode(&send),
            counter_key: Some((send.class.0, Count::Sends)),
            transmit_before: Some(send.transmit_within.map_or(deadline, after).min(deadline)),
            queued_attempt: Some(Box::new(QueuedAttempt {
                send,
                encode,
                deadline,
                queued_at: now,
                encoded_at: now,
                retry_budget_checked: false,
            })),
        }
    }

    /// Checks whether the first byte may be written now. The first successful check of a retry is counted in the retry budget.
    ///
    /// # Errors
    /// Returns the reason for which the message must not be written.
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
        if queued.send.is_retry && !queued.retry_budget_checked && !take_from_retry_budget() {
            return Err(SendRefusal::RetryBudgetExhausted);
        }
        queued.retry_budget_checked = true;
        Ok(())
    }

    /// Returns whether the message transmits an attempt whose client may have withdrawn the request by bytes that are not handled yet.
    pub fn may_be_withdrawn(&self) -> bool {
        self.queued_attempt.as_ref().is_some_and(|queued| queued.send.statement.may_be_withdrawn())
    }

    /// Encodes an attempt again if its encoding is older than `ENCODE_AGAIN_AFTER`, with the current remaining time.
    pub fn encode_again_if_stale(&mut self) {
        let Some(queued) = &mut self.queued_attempt else { return };
        if queued.encoded_at.elapsed() < ENCODE_AGAIN_AFTER {
            return;
        }
        let now = Instant::now();
        queued.encoded_at = now;
        queued.send.time_left = queued.deadline.saturating_duration_since(now).as_secs_f64() * 1000.0;
        self.segments = (queued.encode)(&queued.send);
    }

    /// Returns the bytes of the message by segment, in order.
    pub fn bytes(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Segment::bytes)
    }

    /// Returns the same message, counted under `counter_key` once it is written.
    #[must_use]
    pub fn counted(self, counter_key: CounterKey) -> Self {
        Self { counter_key: Some(counter_key), ..self }
    }

    /// Returns the memory that the message takes while it is queued, in bytes. Statements are shared, and not counted.
    pub fn memory(&self) -> usize {
        let owned = self.segments.iter().map(|segment| match segment {
            Segment::Owned(bytes) => bytes.capacity(),
            Segment::StatementText(_) | Segment::StatementData(_) => 0,
        });
        size_of::<Self>() + self.segments.capacity() * size_of::<Segment>() + owned.sum::<usize>()
    }

    /// Returns the length of the message in bytes.
    #[allow(clippy::len_without_is_empty)]
    pub fn len(&self) -> usize {
        self.segments.iter().map(|segment| segment.bytes().len()).sum()
    }
}
