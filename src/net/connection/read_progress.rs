//! How far a client's connection is read: whether a cancellation may have arrived that is not handled yet.

use crate::core::ClientReading;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time for which bytes of a client may wait to be handled while attempts of its requests begin: half of the 100 ms
/// within which a disconnect has to take effect.
const MAX_UNHANDLED_TIME: Duration = Duration::from_millis(50);

/// A position in the stream of received bytes, with the time at which all bytes before it had arrived.
#[derive(Debug, Clone, Copy)]
struct Checkpoint {
    position: u64,
    arrived_by: Instant,
}

/// Progress of the task that reads a connection, shared with the requests of its client.
#[derive(Debug)]
pub struct ReadProgress {
    /// Everything that arrived before this time is handled, also if the process was paused since.
    handled_until: Cell<Instant>,
    /// Earliest time at which the bytes that are handled now may have arrived, if the process was not paused.
    arrived_from: Cell<Instant>,
    /// Whether everything that has arrived is handled, as far as the task knows: it waits for the socket.
    is_idle: Cell<bool>,
    /// Whether the socket was found empty since the connection was accepted. Before, it takes no part in reads of all sockets.
    was_idle: Cell<bool>,
    /// Number of bytes that were read.
    read_bytes: Cell<u64>,
    checkpoint: Cell<Option<Checkpoint>>,
}

impl ReadProgress {
    /// Creates the progress of a connection from which nothing was read, and on which nothing arrived before `handled_until`.
    pub fn new(handled_until: Instant) -> Rc<Self> {
        Rc::new(Self {
            handled_until: Cell::new(handled_until),
            arrived_from: Cell::new(Instant::now()),
            is_idle: Cell::new(true),
            was_idle: Cell::new(false),
            read_bytes: Cell::new(0),
            checkpoint: Cell::new(None),
        })
    }

    /// Returns the earliest time at which the message that is handled now may have arrived, if the process was not paused.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        match self.is_idle.get() {
            true => now,
            false => self.arrived_from.get().min(now),
        }
    }

    /// Returns the time for which bytes may have been waiting to be handled.
    fn lag(&self, now: Instant) -> Duration {
        match self.is_idle.get() {
            true => Duration::ZERO,
            false => now.saturating_duration_since(self.handled_until.get()),
        }
    }

    /// Records that the client may have connected at any time from `after` on.
    pub fn set_connected(&self, after: Instant) {
        self.handled_until.set(after.min(self.handled_until.get()));
    }

    /// Records that the socket has bytes. All sockets were read that had bytes at `read_until`.
    pub(super) fn set_readable(&self, read_until: Instant) {
        if !self.is_idle.replace(false) {
            return;
        }
        self.arrived_from.set(Instant::now());
        if self.was_idle.get() {
            self.handled_until.set(read_until.max(self.handled_until.get()));
        }
    }

    /// Records that the client had not disconnected at this time. Only for protocols in which a client cannot cancel by a message.
    pub fn set_connected_at(&self, at: Instant) {
        self.handled_until.set(at.max(self.handled_until.get()));
    }

    /// Counts the bytes that are handled next as arrived now, as they waited for the answer to an earlier request.
    pub(super) fn restart_arrival(&self) {
        self.arrived_from.set(Instant::now());
    }

    /// Records that all bytes are handled that had arrived at a time.
    pub(super) fn set_idle(&self, arrived_by: Instant) {
        self.is_idle.set(true);
        self.was_idle.set(true);
        self.handled_until.set(arrived_by);
        self.checkpoint.set(None);
    }

    /// Returns whether the position of the bytes that have arrived is needed to determine the lag.
    pub(super) fn needs_checkpoint(&self) -> bool {
        !self.is_idle.get() && self.checkpoint.get().is_none()
    }

    /// Records that `unread` bytes have arrived and are not read yet.
    pub(super) fn set_checkpoint(&self, unread: usize, arrived_by: Instant) {
        let position = self.read_bytes.get() + unread as u64;
        self.checkpoint.set(Some(Checkpoint { position, arrived_by }));
    }

    /// Records that bytes were read.
    pub(super) fn add_read(&self, bytes: usize) {
        self.read_bytes.set(self.read_bytes.get() + bytes as u64);
    }

    /// Records that all bytes are handled that were read, but for the last `unhandled` ones.
    pub(super) fn set_handled(&self, unhandled: usize) {
        let handled = self.read_bytes.get().saturating_sub(unhandled as u64);
        if let Some(checkpoint) = self.checkpoint.get().filter(|checkpoint| checkpoint.position <= handled) {
            self.handled_until.set(checkpoint.arrived_by);
            self.arrived_from.set(checkpoint.arrived_by);
            self.checkpoint.set(None);
        }
    }
}

impl ClientReading for ReadProgress {
    fn may_hold_withdrawal(&self) -> bool {
        self.lag(Instant::now()) > MAX_UNHANDLED_TIME
    }
}

#[cfg(test)]
mod tests;
