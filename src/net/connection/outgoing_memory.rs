//! Memory for the results of engines and for the answers that are queued for clients.

use crate::net::connection::shared_state::SharedState;
use crate::net::connection::write_queue::WriteQueue;
use crate::used_memory::UsedMemory;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Maximum time between two checks whether memory was released.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Memory for results that are being received and for queued answers. When it is exceeded, the clients pay that do not read
/// their answers.
#[derive(Debug, Default)]
pub struct OutgoingMemory {
    /// Memory that is in use.
    pub used: UsedMemory,
    client_queues: RefCell<Vec<Weak<WriteQueue>>>,
    /// Notified when memory is released.
    released: Notify,
}

impl OutgoingMemory {
    /// Counts bytes that were added and removed.
    pub(super) fn update(&self, added: usize, removed: usize) {
        self.used.update(added, removed);
        if removed > added {
            self.released.notify_waiters();
        }
    }

    /// Counts the bytes of a reply that is about to be received, if all stay within `max_bytes`; the clients pay for it that do not read
    /// their answers. Returns whether they are counted.
    pub(super) fn try_reserve(&self, bytes: usize, max_bytes: usize) -> bool {
        let fits = self.relieve(max_bytes.saturating_sub(bytes));
        if fits {
            self.update(bytes, 0);
        }
        fits
    }

    /// Waits until memory is released, at most for a short time, as clients may block their queues meanwhile.
    pub(super) async fn wait_for_release(&self) {
        let _ = timeout(RELEASE_CHECK_INTERVAL, self.released.notified()).await;
    }

    /// Registers the write queue of a client, which may be evicted.
    pub(super) fn register(&self, queue: &Rc<WriteQueue>) {
        let mut queues = self.client_queues.borrow_mut();
        queues.retain(|queue| queue.strong_count() > 0);
        queues.push(Rc::downgrade(queue));
    }

    /// While more than `max_bytes` are in use, closes the connection of the client that has blocked its queue for the longest
    /// time. Returns whether the limit is kept: queues that are not blocked are not evicted.
    pub fn relieve(&self, max_bytes: usize) -> bool {
        while self.used.bytes() > max_bytes {
            match self.longest_blocked() {
                Some(queue) => queue.evict_slow_reader(),
                None => return false,
            }
        }
        true
    }

    fn longest_blocked(&self) -> Option<Rc<WriteQueue>> {
        let queues = self.client_queues.borrow();
        let open = queues.iter().filter_map(Weak::upgrade);
        let blocked = open.filter_map(|queue| Some((queue.blocked_since()?, queue)));
        blocked.min_by_key(|(since, _)| *since).map(|(_, queue)| queue)
    }
}

/// Bytes of a result that is being received, counted until they are dropped.
#[derive(Debug)]
pub struct ResultMemory {
    bytes: usize,
    shared: Rc<SharedState>,
}

impl ResultMemory {
    /// Creates the memory of a result of which nothing was received.
    pub fn new(shared: Rc<SharedState>) -> Self {
        Self { bytes: 0, shared }
    }

    /// Counts received bytes.
    pub fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.shared.outgoing.update(bytes, 0);
    }

    /// Removes all bytes, as they were passed on.
    pub fn clear(&mut self) {
        self.shared.outgoing.update(0, std::mem::take(&mut self.bytes));
    }
}

impl Drop for ResultMemory {
    fn drop(&mut self) {
        self.clear();
    }
}
