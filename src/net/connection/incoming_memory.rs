//! Memory for messages that clients have not sent completely.
//!
//! Memory is counted before it is allocated, and no task can run between the check of the limit and the allocation. The complete length
//! of a long message is reserved before the rest of it is read, so that each message that is being read can be completed; a
//! reservation serves for the length that it was made for, and for one message. Long messages have a part of the memory, and short ones and
//! the first parts of long ones have another, so that neither waits for the other kind. Messages wait for memory, and their bytes stay in the
//! socket meanwhile: shorter ones go first, unless a longer one has waited for much longer. While one waits, messages that will not be
//! complete soon are requested to release their memory, those first that would take the most memory for the longest time. A message
//! that is complete is counted until the reducer takes its request.

mod message_memory;

pub use message_memory::{AwaitedBytes, MessageMemory};

use crate::used_memory::UsedMemory;
use message_memory::MAX_WAIT_WHILE_OTHERS_WAIT;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Time by which a message that is one byte longer is served later, as if it had arrived later: 1.6 s for 16 KiB.
const DELAY_PER_BYTE: Duration = Duration::from_micros(100);
/// Interval at which the first waiting message checks for memory to release.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a long message waits for a reservation. Afterwards it is rejected, unless all of it has arrived.
const MAX_LONG_MESSAGE_WAIT: Duration = Duration::from_secs(1);
/// Length of a complete message, in bytes, up to which it counts as a short one.
const MAX_SHORT_BYTES: usize = 16 << 10;

/// Memory that a message needs, and the limit that holds for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Need {
    /// Number of bytes for the complete message.
    pub bytes: usize,
    /// Length of the message as far as it is known, which determines its place among those that wait.
    pub announced: usize,
    /// Maximum number of bytes of all long messages, or of all short ones.
    pub max_bytes: usize,
    /// Whether the message is longer than one read. It may exceed the limit if no other one has a reservation, so that it can be read at
    /// all, and is not awaited for longer than [`MAX_LONG_MESSAGE_WAIT`] unless it has arrived.
    pub is_long: bool,
}

/// Returns the part of a complete message's memory that is counted with that of long ones: all or nothing.
fn long_part(bytes: usize) -> usize {
    if bytes > MAX_SHORT_BYTES {
        bytes
    } else {
        0
    }
}

/// Memory for the incomplete messages of all clients.
#[derive(Debug, Default)]
pub struct IncomingMemory {
    /// Memory that is allocated or reserved.
    pub used: UsedMemory,
    /// The part of it that complete messages take until the reducer takes their requests.
    pub submitted: UsedMemory,
    /// The part of it that long messages take.
    long: UsedMemory,
    /// Messages of all open connections.
    messages: RefCell<Vec<Weak<MessageMemory>>>,
    /// Messages that wait for a reservation. The long and the short ones wait separately.
    waiting: RefCell<Vec<Rc<MessageMemory>>>,
}

impl IncomingMemory {
    /// Creates the memory for the messages of a connection.
    pub fn add_connection(&self) -> Rc<MessageMemory> {
        let memory = MessageMemory::new();
        let mut messages = self.messages.borrow_mut();
        messages.retain(|message| message.strong_count() > 0);
        messages.push(Rc::downgrade(&memory));
        memory
    }

    /// Counts the bytes of a complete message, until [`remove_submitted`](Self::remove_submitted).
    pub fn add_submitted(&self, bytes: usize) {
        self.used.update(bytes, 0);
        self.submitted.update(bytes, 0);
        self.long.update(long_part(bytes), 0);
    }

    /// Removes the bytes of a complete message: the reducer has taken its request, or its connection has ended.
    pub fn remove_submitted(&self, bytes: usize) {
        self.used.update(0, bytes);
        self.submitted.update(0, bytes);
        self.long.update(0, long_part(bytes));
        self.notify_first();
    }

    /// Returns the number of bytes that short messages and the first parts of long ones take.
    pub(super) fn short_bytes(&self) -> usize {
        self.used.bytes() - self.long.bytes()
    }

    /// Sets the number of bytes that are allocated for a message.
    pub(super) fn set_allocated(&self, memory: &MessageMemory, bytes: usize) {
        self.update(memory, |memory| memory.allocated.set(bytes));
    }

    /// Counts `bytes` as allocated for a message, if all short messages together stay within `max_bytes`. The caller allocates them
    /// next. Returns whether they are counted.
    pub(super) fn try_allocate(&self, memory: &MessageMemory, bytes: usize, max_bytes: usize) -> bool {
        let need = Need { bytes, announced: bytes, max_bytes, is_long: false };
        let is_available = self.is_available(memory, need);
        if is_available {
            memory.rank.set(None);
            self.set_allocated(memory, bytes.max(memory.allocated.get()));
        }
        is_available
    }

    /// Reserves memory for a short message if it is available now. Returns whether it is.
    pub(super) fn try_reserve(&self, memory: &MessageMemory, need: Need) -> bool {
        let is_available = self.is_available(memory, need);
        if is_available {
            memory.rank.set(None);
            self.set_reserved(memory, need.bytes.max(memory.reserved.get()), memory.is_long.get());
        }
        is_available
    }

    /// Returns whether the memory for a short message is counted already, or available now.
    fn is_available(&self, memory: &MessageMemory, need: Need) -> bool {
        memory.covers(need.bytes) || (!memory.is_long.get() && self.missing(memory, need) == 0)
    }

    /// Reserves memory for a complete message, once it is available and no message waits that goes first.
    /// A message whose call is dropped does not hold up others; its next call takes the position of the first one, until
    /// [`release`](Self::release).
    pub(super) async fn reserve(&self, memory: &Rc<MessageMemory>, need: Need) {
        if memory.rank.get().is_none() {
            let delay = DELAY_PER_BYTE * need.announced.try_into().unwrap_or(u32::MAX);
            memory.rank.set(Some(Instant::now() + delay));
        }
        memory.waits_as_long.set(need.is_long);
        let position = Position::take(self, memory);
        let refused_at = Instant::now() + MAX_LONG_MESSAGE_WAIT;
        while !self.may_reserve(memory, need) {
            if self.is_first(memory) {
                self.request_releases(memory, need);
            }
            if need.is_long && Instant::now() >= refused_at {
                memory.request_release();
            }
            let _ = timeout(RELEASE_CHECK_INTERVAL, memory.may_reserve.notified()).await;
        }
        drop(position);
        memory.rank.set(None);
        self.set_reserved(memory, need.bytes, need.is_long || memory.is_long.get());
        memory.begin_message();
        self.notify_first();
    }

    fn set_reserved(&self, memory: &MessageMemory, bytes: usize, is_long: bool) {
        self.update(memory, |memory| {
            memory.reserved.set(bytes);
            memory.is_long.set(is_long);
        });
    }

    /// Releases the reservation of a message, and its place among the waiting messages.
    pub(super) fn release(&self, memory: &Rc<MessageMemory>) {
        memory.rank.set(None);
        self.set_reserved(memory, 0, false);
        memory.begin_message();
        self.notify_first();
    }

    fn update(&self, memory: &MessageMemory, change: impl FnOnce(&MessageMemory)) {
        let (before, long_before) = (memory.counted(), memory.long_bytes());
        change(memory);
        let (after, long_after) = (memory.counted(), memory.long_bytes());
        self.used.update(after, before);
        self.long.update(long_after, long_before);
        if after < before || long_after != long_before {
            self.notify_first();
        }
    }

    fn may_reserve(&self, memory: &Rc<MessageMemory>, need: Need) -> bool {
        let is_alone = self.long.bytes() == memory.long_bytes();
        self.is_first(memory) && (self.missing(memory, need) == 0 || (need.is_long && is_alone))
    }

    /// Returns the number of bytes that other messages have to release.
    fn missing(&self, memory: &MessageMemory, need: Need) -> usize {
        let (others, additional) = if need.is_long {
            (self.long.bytes(), need.bytes.saturating_sub(memory.long_bytes()))
        } else {
            (self.short_bytes(), need.bytes.saturating_sub(memory.counted()))
        };
        (others + additional).saturating_sub(need.max_bytes)
    }

    /// Returns the number of bytes of the long or of the short messages that do not wait for more.
    fn active_bytes(&self, is_long: bool) -> usize {
        let waiting = self.waiting.borrow();
        let of_same_kind = waiting.iter().filter(|memory| memory.is_long.get() == is_long);
        let waiting_bytes: usize = of_same_kind.map(|memory| memory.counted()).sum();
        let all_bytes = if is_long { self.long.bytes() } else { self.short_bytes() };
        all_bytes.saturating_sub(waiting_bytes)
    }

    /// Returns the first of the long or of the short messages that wait.
    fn first_waiting(&self, is_long: bool) -> Option<Rc<MessageMemory>> {
        let waiting = self.waiting.borrow();
        let of_same_kind = waiting.iter().filter(|memory| memory.waits_as_long.get() == is_long);
        of_same_kind.min_by_key(|memory| memory.rank.get()).cloned()
    }

    fn is_first(&self, memory: &Rc<MessageMemory>) -> bool {
        self.first_waiting(memory.waits_as_long.get()).is_some_and(|first| Rc::ptr_eq(&first, memory))
    }

    fn notify_first(&self) {
        for is_long in [false, true] {
            if let Some(first) = self.first_waiting(is_long) {
                first.may_reserve.notify_one();
            }
        }
    }

    /// Requests slow messages to release as much memory as another one needs. Where the messages that do not wait have less than that, those
    /// that wait release theirs at once.
    fn request_releases(&self, waiting: &Rc<MessageMemory>, need: Need) {
        let now = Instant::now();
        let max_wait = match self.active_bytes(need.is_long) < self.missing(waiting, need) {
            true => Duration::ZERO,
            false => MAX_WAIT_WHILE_OTHERS_WAIT,
        };
        let messages = self.messages.borrow();
        let others = messages.iter().filter_map(Weak::upgrade).filter(|other| !Rc::ptr_eq(other, waiting));
        let of_same_kind = others.filter(|other| other.is_long.get() == need.is_long);
        let mut slow: Vec<_> =
            of_same_kind.filter_map(|memory| Some((memory.release_order(now, max_wait)?, memory))).collect();
        slow.sort_by_key(|(order, _)| *order);
        let mut missing = self.missing(waiting, need);
        for (_, memory) in slow {
            if missing == 0 {
                return;
            }
            missing = missing.saturating_sub(memory.counted());
            memory.request_release();
        }
    }
}

/// Position of a message among those that wait, which it leaves on drop: nobody would use it any more.
struct Position<'a> {
    pool: &'a IncomingMemory,
    memory: &'a Rc<MessageMemory>,
}

impl<'a> Position<'a> {
    fn take(pool: &'a IncomingMemory, memory: &'a Rc<MessageMemory>) -> Self {
        pool.waiting.borrow_mut().push(memory.clone());
        Self { pool, memory }
    }
}

impl Drop for Position<'_> {
    fn drop(&mut self) {
        self.pool.waiting.borrow_mut().retain(|waiting| !Rc::ptr_eq(waiting, self.memory));
        self.pool.notify_first();
    }
}

#[cfg(test)]
mod tests;
