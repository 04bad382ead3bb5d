//! Messages that wait to be written, and what is asked of one as its first byte leaves.

use crate::core::{AttemptId, Send, Statement};
use crate::interface::Milliseconds;
use starlingplank_admin::metrics::{Count, Tally};
use starlingplank_decision::permission::send::SendRefusal;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// An attempt that has waited for longer is worded anew before it leaves.
const REFRESH_AFTER: Duration = Duration::from_millis(5);
/// No deadline is further away: a day.
const LONGEST_MS: Milliseconds = 86_400_000.0;

/// A part of a frame: a head written for it, or a body shared with its owner.
#[derive(Debug, Clone)]
pub enum Part {
    /// Bytes of its own.
    Own(Vec<u8>),
    /// The text of a statement.
    Text(Rc<Statement>),
    /// The data of a statement.
    Data(Rc<Statement>),
}

impl Part {
    fn bytes(&self) -> &[u8] {
        match self {
            Part::Own(bytes) => bytes,
            Part::Text(statement) => &statement.text,
            Part::Data(statement) => &statement.data,
        }
    }
}

/// A message to be written whole, unless it is withdrawn before its first byte leaves.
#[derive(Debug)]
pub struct Frame {
    /// The attempt that it sends, if it does.
    pub attempt: Option<AttemptId>,
    /// Its bytes.
    pub parts: Vec<Part>,
    /// What is counted once the last of them has left.
    pub tally: Option<Tally>,
    /// Its first byte leaves by then, or never.
    pub by: Option<Instant>,
    /// How the attempt is worded, where it tells its engine how much time is left.
    pub delivery: Option<Delivery>,
}

/// An attempt that waits to be written.
#[derive(Debug)]
pub struct Delivery {
    send: Send,
    encode: fn(&Send) -> Vec<Part>,
    deadline: Instant,
    /// When it was handed over, which is [`Send::at`].
    queued_at: Instant,
    encoded_at: Instant,
    /// It counts towards the retry budget already.
    admitted: bool,
}

impl Delivery {
    /// Now, by the clock of the reducer.
    fn now(&self) -> Milliseconds {
        self.send.at + self.queued_at.elapsed().as_secs_f64() * 1000.0
    }
}

impl Frame {
    /// A message that sends no attempt.
    pub fn plain(bytes: Vec<u8>) -> Self {
        Self::of(vec![bytes])
    }

    /// The same, in parts.
    pub fn of(parts: Vec<Vec<u8>>) -> Self {
        Self {
            attempt: None,
            parts: parts.into_iter().map(Part::Own).collect(),
            tally: None,
            by: None,
            delivery: None,
        }
    }

    /// The message that sends an attempt. It leaves before the attempt's deadline, and before its key may be forgotten.
    pub fn sending(send: Send, encode: fn(&Send) -> Vec<Part>) -> Self {
        let now = Instant::now();
        let after = |ms: Milliseconds| now + Duration::from_secs_f64(ms.clamp(0.0, LONGEST_MS) / 1000.0);
        let deadline = after(send.budget);
        Self {
            attempt: Some(send.id),
            parts: encode(&send),
            tally: Some((send.class.0, Count::Sends)),
            by: Some(send.leave_within.map_or(deadline, after).min(deadline)),
            delivery: Some(Delivery {
                send,
                encode,
                deadline,
                queued_at: now,
                encoded_at: now,
                admitted: false,
            }),
        }
    }

    /// Whether its first byte may leave now. A further attempt asks the retry budget, once.
    ///
    /// # Errors
    /// Why not.
    pub fn may_leave(&mut self, take_from_retry_budget: impl FnOnce() -> bool) -> Result<(), SendRefusal> {
        if self.by.is_some_and(|by| by <= Instant::now()) {
            return Err(SendRefusal::DeadlineOver);
        }
        let Some(delivery) = &mut self.delivery else { return Ok(()) };
        delivery.send.permit.check(delivery.now())?;
        if delivery.send.is_retry && !delivery.admitted && !take_from_retry_budget() {
            return Err(SendRefusal::RetryBudgetSpent);
        }
        delivery.admitted = true;
        Ok(())
    }

    /// Words an attempt anew that has waited: what its engine is told of its time is what is left of it.
    pub fn refresh(&mut self) {
        let Some(delivery) = &mut self.delivery else { return };
        if delivery.encoded_at.elapsed() < REFRESH_AFTER {
            return;
        }
        let now = Instant::now();
        delivery.encoded_at = now;
        delivery.send.budget = delivery.deadline.saturating_duration_since(now).as_secs_f64() * 1000.0;
        self.parts = (delivery.encode)(&delivery.send);
    }

    /// Its bytes, in order.
    pub fn bytes(&self) -> impl Iterator<Item = &[u8]> {
        self.parts.iter().map(Part::bytes)
    }

    /// Counts that, once it is written.
    pub fn counted(self, tally: Tally) -> Self {
        Self { tally: Some(tally), ..self }
    }

    /// How many bytes it has.
    #[allow(clippy::len_without_is_empty)]
    pub fn len(&self) -> usize {
        self.parts.iter().map(|p| p.bytes().len()).sum()
    }
}
