//! Memory that the incomplete message of one client takes, and the order in which messages release theirs.

use std::cell::Cell;
use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time until a message is complete, as it is estimated, from which on it releases its memory if another message waits.
pub(super) const MAX_REMAINING_TIME_WHILE_OTHERS_WAIT: Duration = Duration::from_millis(250);
/// Time for which a message that waits for memory itself keeps what it has. It has to be longer than a message that is not complete soon keeps
/// its memory, so that the first that waits gets it.
pub(super) const MAX_WAIT_WHILE_OTHERS_WAIT: Duration = Duration::from_millis(500);
/// Memory of a message, in bytes, up to which it is not requested to release it.
pub(super) const MIN_RELEASED_BYTES: usize = 1 << 10;

/// How far a message has arrived.
#[derive(Debug, Clone, Copy)]
pub(super) struct Progress {
    /// Time from which on the message was read.
    began_at: Instant,
    last_arrival: Instant,
    received_bytes: usize,
    /// Length of the message; 0 while it is not known.
    expected_bytes: usize,
}

impl Progress {
    pub(super) fn begin(now: Instant) -> Self {
        Self { began_at: now, last_arrival: now, received_bytes: 0, expected_bytes: 0 }
    }

    /// Estimates the time until the message is complete, if it arrives as fast as so far. A message of unknown length counts as half
    /// received. No message is complete before it has been silent for as long again.
    fn remaining_time(&self, now: Instant) -> Duration {
        let silence = now.saturating_duration_since(self.last_arrival);
        let elapsed = now.saturating_duration_since(self.began_at).as_secs_f64();
        let received = self.received_bytes.max(1);
        let remaining = match self.expected_bytes {
            0 => received,
            expected => expected.saturating_sub(received),
        };
        silence.max(Duration::from_secs_f64(elapsed * remaining as f64 / received as f64))
    }
}

/// Order in which messages release their memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ReleaseOrder {
    /// The client sends slowly: first those that will take the most memory for the longest time.
    Slow(Reverse<u128>),
    /// The message waits for memory itself: first those that wait for the longest one.
    Waiting(Reverse<Instant>),
}

/// Memory that the incomplete message of one client takes.
#[derive(Debug)]
pub struct MessageMemory {
    /// Number of bytes that are allocated.
    pub(super) allocated: Cell<usize>,
    /// Number of bytes that are reserved; 0 without a reservation.
    pub(super) reserved: Cell<usize>,
    /// Whether the reservation is for a long message: its memory is counted with that of other long ones.
    pub(super) is_long: Cell<bool>,
    /// Time that determines the order of the waiting messages; `None` if this one does not wait.
    pub(super) rank: Cell<Option<Instant>>,
    /// Whether the message waits for the memory of a long one.
    pub(super) waits_as_long: Cell<bool>,
    /// Notified when the message may have become the first of those that wait, or memory was released.
    pub(super) may_reserve: Notify,
    pub(super) progress: Cell<Progress>,
    /// Whether the reading task can release the memory: it waits for further bytes.
    awaits_bytes: Cell<bool>,
    pub(super) release_requested: Cell<bool>,
    /// Notified when the release is requested.
    release: Notify,
}

impl MessageMemory {
    /// Creates the memory of a message of which nothing has arrived.
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self {
            allocated: Cell::new(0),
            reserved: Cell::new(0),
            is_long: Cell::new(false),
            rank: Cell::new(None),
            waits_as_long: Cell::new(false),
            may_reserve: Notify::new(),
            progress: Cell::new(Progress::begin(Instant::now())),
            awaits_bytes: Cell::new(false),
            release_requested: Cell::new(false),
            release: Notify::new(),
        })
    }

    /// Records that a message begins to be read.
    pub(super) fn begin_message(&self) {
        self.progress.set(Progress::begin(Instant::now()));
        self.release_requested.set(false);
    }

    /// Records that bytes of the message have arrived: `received` of the `expected` ones in all, which are 0 if not known. They withdraw
    /// a request to release the memory if the message will be complete soon.
    pub(in crate::net::connection) fn set_arrived(&self, at: Instant, received: usize, expected: usize) {
        let before = self.progress.get();
        let progress = Progress {
            // The time before the first byte says nothing about the client.
            began_at: if before.received_bytes == 0 { at } else { before.began_at },
            last_arrival: at,
            received_bytes: received,
            expected_bytes: expected,
        };
        self.progress.set(progress);
        if progress.remaining_time(at) < MAX_REMAINING_TIME_WHILE_OTHERS_WAIT {
            self.release_requested.set(false);
        }
    }

    /// Begins a wait for further bytes, in which the memory can be released. It ends when the returned value is dropped.
    pub fn await_bytes(self: &Rc<Self>) -> AwaitedBytes {
        self.awaits_bytes.set(true);
        AwaitedBytes(self.clone())
    }

    /// Returns whether this number of bytes is counted already.
    pub(in crate::net::connection) fn covers(&self, bytes: usize) -> bool {
        self.counted() >= bytes
    }

    pub(super) fn counted(&self) -> usize {
        self.allocated.get().max(self.reserved.get())
    }

    /// Returns the number of bytes that are counted with those of long messages.
    pub(super) fn long_bytes(&self) -> usize {
        if self.is_long.get() {
            self.counted()
        } else {
            0
        }
    }

    /// Returns the position of the message among those that release their memory, if it is worth releasing. A message that waits for memory
    /// itself keeps what it has for `max_wait`.
    pub(super) fn release_order(&self, now: Instant, max_wait: Duration) -> Option<ReleaseOrder> {
        let remaining_time = self.progress.get().remaining_time(now);
        let max_remaining_time = match self.is_waiting() {
            false => MAX_REMAINING_TIME_WHILE_OTHERS_WAIT,
            true => max_wait,
        };
        if remaining_time < max_remaining_time
            || !self.awaits_bytes.get()
            || self.counted() <= MIN_RELEASED_BYTES
        {
            return None;
        }
        Some(match self.rank.get() {
            None => ReleaseOrder::Slow(Reverse(self.counted() as u128 * remaining_time.as_micros())),
            Some(rank) => ReleaseOrder::Waiting(Reverse(rank)),
        })
    }

    /// Returns whether the message waits for memory.
    pub fn is_waiting(&self) -> bool {
        self.rank.get().is_some()
    }

    /// Requests the release of the memory.
    pub fn request_release(&self) {
        self.release_requested.set(true);
        self.release.notify_one();
    }
}

/// A wait for further bytes of a message, in which its memory can be released.
#[derive(Debug)]
pub struct AwaitedBytes(Rc<MessageMemory>);

impl AwaitedBytes {
    /// Waits until the release of the memory is requested.
    pub async fn release_requested(&self) {
        self.0.release.notified().await;
    }

    /// Returns whether the release of the memory is requested.
    pub fn is_release_requested(&self) -> bool {
        self.0.release_requested.get()
    }
}

impl Drop for AwaitedBytes {
    fn drop(&mut self) {
        self.0.awaits_bytes.set(false);
    }
}
