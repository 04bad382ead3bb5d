//! Memory for messages that clients have not sent completely.
//!
//! A short message, or the first part of a long one, is counted as it arrives. Before the rest of a long message is read, its
//! complete length is reserved, so that each message that is being read can be completed. Once the memory is exhausted, short
//! messages need a reservation as well. Messages wait for their reservation, and their bytes stay in the socket meanwhile: shorter
//! ones go first, unless a longer one has waited for much longer. While one waits, connections that hold memory and have stopped
//! sending are requested to release it. A message that is complete is counted until the reducer takes its request.

use crate::used_memory::UsedMemory;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// Time without a received byte after which a message releases its memory if another message waits.
const MAX_STALL_WHILE_OTHERS_WAIT: Duration = Duration::from_millis(250);
/// Time by which a message that is one byte longer is served later, as if it had arrived later: 10 s for 1 MB.
const DELAY_PER_BYTE: Duration = Duration::from_micros(10);
/// Interval at which the first waiting message checks for memory to release.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Memory that the incomplete message of one client takes.
#[derive(Debug)]
pub struct MessageMemory {
    /// Number of bytes that are allocated.
    allocated: Cell<usize>,
    /// Number of bytes that are reserved; 0 without a reservation.
    reserved: Cell<usize>,
    /// Time that determines the order of the waiting messages; `None` if this one does not wait.
    rank: Cell<Option<Instant>>,
    /// Notified when the message may have become the first of those that wait, or memory was released.
    may_reserve: Notify,
    last_arrival: Cell<Instant>,
    release_requested: Cell<bool>,
    /// Notified when the release is requested.
    release: Notify,
}

impl MessageMemory {
    /// Creates the memory of a message of which nothing has arrived.
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self {
            allocated: Cell::new(0),
            reserved: Cell::new(0),
            rank: Cell::new(None),
            may_reserve: Notify::new(),
            last_arrival: Cell::new(Instant::now()),
            release_requested: Cell::new(false),
            release: Notify::new(),
        })
    }

    /// Records that bytes of the message have arrived.
    pub(super) fn set_arrived(&self, at: Instant) {
        self.last_arrival.set(at);
        self.release_requested.set(false);
    }

    /// Waits until the release of the memory is requested.
    pub async fn release_requested(&self) {
        self.release.notified().await;
    }

    /// Returns whether the release of the memory is requested, and no bytes have arrived since.
    pub fn is_release_requested(&self) -> bool {
        self.release_requested.get()
    }

    /// Returns whether memory is reserved for the complete message.
    pub(super) fn has_reservation(&self) -> bool {
        self.reserved.get() > 0
    }

    fn counted(&self) -> usize {
        self.allocated.get().max(self.reserved.get())
    }

    fn is_stalled(&self) -> bool {
        self.last_arrival.get().elapsed() >= MAX_STALL_WHILE_OTHERS_WAIT
    }

    fn request_release(&self) {
        self.release_requested.set(true);
        self.release.notify_one();
    }
}

/// Memory for the incomplete messages of all clients.
#[derive(Debug, Default)]
pub struct IncomingMemory {
    /// Memory that is allocated or reserved.
    pub used: UsedMemory,
    /// The part of it that complete messages take until the reducer takes their requests.
    pub submitted: UsedMemory,
    /// Messages of all open connections.
    messages: RefCell<Vec<Weak<MessageMemory>>>,
    /// Number of messages with a reservation.
    reservations: Cell<usize>,
    /// Messages that wait for a reservation.
    waiting: RefCell<Vec<Rc<MessageMemory>>>,
}

impl IncomingMemory {
    /// Creates the memory for the messages of a connection.
    pub(super) fn add_connection(&self) -> Rc<MessageMemory> {
        let memory = MessageMemory::new();
        let mut messages = self.messages.borrow_mut();
        messages.retain(|message| message.strong_count() > 0);
        messages.push(Rc::downgrade(&memory));
        memory
    }

    /// Returns whether fewer than `bytes` are left.
    pub(super) fn is_exhausted(&self, bytes: usize, max_bytes: usize) -> bool {
        self.used.bytes() + bytes > max_bytes
    }

    /// Counts the bytes of a complete message, until [`remove_submitted`](Self::remove_submitted).
    pub fn add_submitted(&self, bytes: usize) {
        self.used.update(bytes, 0);
        self.submitted.update(bytes, 0);
    }

    /// Removes the bytes of a complete message: the reducer has taken its request, or its connection has ended.
    pub fn remove_submitted(&self, bytes: usize) {
        self.used.update(0, bytes);
        self.submitted.update(0, bytes);
        self.notify_first();
    }

    /// Sets the number of bytes that are allocated for a message.
    pub(super) fn set_allocated(&self, memory: &MessageMemory, bytes: usize) {
        self.update(memory, |memory| memory.allocated.set(bytes));
    }

    /// Reserves `bytes` for a complete message, once all messages together stay within `max_bytes` or no other has a reservation.
    /// `announced` is the length of the message as far as it is known, which determines its place among those that wait.
    /// A call that is dropped retains its position among the waiting messages until [`release`](Self::release).
    pub(super) async fn reserve(
        &self,
        memory: &Rc<MessageMemory>,
        bytes: usize,
        announced: usize,
        max_bytes: usize,
    ) {
        if memory.rank.get().is_none() {
            memory.rank.set(Some(Instant::now() + DELAY_PER_BYTE * announced.try_into().unwrap_or(u32::MAX)));
            self.waiting.borrow_mut().push(memory.clone());
        }
        while !self.may_reserve(memory, bytes, max_bytes) {
            if self.is_first(memory) {
                self.request_releases();
            }
            let _ = timeout(STALL_CHECK_INTERVAL, memory.may_reserve.notified()).await;
        }
        self.stop_waiting(memory);
        self.reservations.set(self.reservations.get() + 1);
        memory.set_arrived(Instant::now());
        self.update(memory, |memory| memory.reserved.set(bytes));
        self.notify_first();
    }

    /// Releases the reservation of a message, and its place among the waiting messages.
    pub(super) fn release(&self, memory: &Rc<MessageMemory>) {
        if memory.has_reservation() {
            self.reservations.set(self.reservations.get() - 1);
        }
        self.stop_waiting(memory);
        self.update(memory, |memory| memory.reserved.set(0));
        self.notify_first();
    }

    fn stop_waiting(&self, memory: &Rc<MessageMemory>) {
        if memory.rank.take().is_some() {
            self.waiting.borrow_mut().retain(|waiting| !Rc::ptr_eq(waiting, memory));
        }
    }

    fn update(&self, memory: &MessageMemory, change: impl FnOnce(&MessageMemory)) {
        let before = memory.counted();
        change(memory);
        let after = memory.counted();
        self.used.update(after, before);
        if after < before {
            self.notify_first();
        }
    }

    fn may_reserve(&self, memory: &Rc<MessageMemory>, bytes: usize, max_bytes: usize) -> bool {
        let additional = bytes.saturating_sub(memory.counted());
        let fits = self.used.bytes() + additional <= max_bytes;
        self.is_first(memory) && (fits || self.reservations.get() == 0)
    }

    fn first_waiting(&self) -> Option<Rc<MessageMemory>> {
        self.waiting.borrow().iter().min_by_key(|memory| memory.rank.get()).cloned()
    }

    fn is_first(&self, memory: &Rc<MessageMemory>) -> bool {
        self.first_waiting().is_some_and(|first| Rc::ptr_eq(&first, memory))
    }

    fn notify_first(&self) {
        if let Some(first) = self.first_waiting() {
            first.may_reserve.notify_one();
        }
    }

    /// Requests connections that have stopped sending to release their memory.
    fn request_releases(&self) {
        let messages = self.messages.borrow();
        let stalled = messages.iter().filter_map(Weak::upgrade).filter(|memory| memory.is_stalled());
        for memory in stalled.filter(|memory| memory.counted() > 0) {
            memory.request_release();
        }
    }
}

#[cfg(test)]
mod tests;
