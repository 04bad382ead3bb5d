//! Eviction of connections whose slots other clients need.

use super::{has_stopped, ClientConnection};
use crate::limits::Limits;
use crate::net::connection::{CloseMode, ReadBuffer};
use starlingplank_decision::permission::close::{may_close, may_close_mid_message, CloseConditions};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Kind of connection that may be evicted, in the order in which they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictableKind {
    /// The client has no request open and has sent nothing.
    Idle,
    /// The client's message was rejected, and its rest is discarded.
    Rejected,
    /// The client stopped inside a message.
    Stalled,
}

/// State in which a connection may be evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Evictable {
    /// Kind of connection.
    pub kind: EvictableKind,
    /// Time from which on it may be evicted.
    pub from: Instant,
}

impl ClientConnection {
    /// Requests the eviction of the connection. The reading task first checks whether a request has arrived.
    pub fn request_eviction(&self) {
        self.eviction_requested.set(true);
        self.write_queue.request_recheck();
    }

    /// Returns whether eviction was requested and is not decided yet.
    pub fn is_eviction_requested(&self) -> bool {
        self.eviction_requested.get()
    }

    /// Returns whether the connection closes now because another client needs the slot. A connection on which bytes have
    /// arrived is not evicted, unless they cannot complete its message and the client has stopped sending or was rejected.
    pub(super) fn closes_for_eviction(
        &self,
        read_buffer: &ReadBuffer,
        stream: &TcpStream,
        limits: &Limits,
    ) -> bool {
        if !self.eviction_requested.take() {
            return false;
        }
        let is_slow = read_buffer.is_discarding()
            || read_buffer.last_filled().elapsed() >= limits.min_stall_before_eviction;
        let is_stopped = read_buffer.incomplete_bytes() > 0 && is_slow && has_stopped(read_buffer, stream);
        let conditions = self.close_conditions(read_buffer, stream);
        let closes = may_close(&conditions).is_ok()
            || is_stopped && may_close_mid_message(&CloseConditions { unread: 0, ..conditions }).is_ok();
        if closes {
            self.write_queue.close(CloseMode::Immediately);
        } else if read_buffer.incomplete_bytes() > 0 && self.memory.is_waiting() {
            // The message is answered with a rejection, as all of it may have arrived.
            self.memory.request_release();
        } else {
            // The connection is in use: connections that have been idle for longer are evicted before it.
            self.last_active.set(Instant::now());
        }
        closes
    }

    /// Returns the state in which the connection may be evicted; `None` if it has open requests or queued bytes, is inside a
    /// message that arrives, or is closing. Bytes that are still unread are checked before it is closed.
    pub fn evictable(&self, limits: &Limits) -> Option<Evictable> {
        let conditions = CloseConditions {
            open_requests: self.open_requests.get(),
            unwritten: self.write_queue.queued_bytes(),
            incomplete: self.incomplete_bytes.get(),
            unread: 0,
        };
        let awaits_memory_for_unread = conditions.incomplete == 0 && self.memory.is_waiting();
        if awaits_memory_for_unread
            || self.write_queue.is_closing()
            || may_close_mid_message(&conditions).is_err()
        {
            return None;
        }
        let (kind, from) = if conditions.incomplete == 0 {
            (EvictableKind::Idle, self.last_active.get() + limits.min_idle_before_eviction)
        } else if self.is_discarding.get() {
            (EvictableKind::Rejected, self.last_active.get() + limits.min_idle_before_eviction)
        } else {
            (EvictableKind::Stalled, self.last_received.get() + limits.min_stall_before_eviction)
        };
        Some(Evictable { kind, from })
    }
}
