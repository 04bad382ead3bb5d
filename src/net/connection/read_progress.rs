//! How far a client's connection is read: whether a cancellation or a disconnect may have happened that is not handled yet.
//!
//! Only an empty socket shows that everything is handled. While it has bytes, the client may have sent more that wait on its side for the
//! receive window to open, and may have closed the connection behind them.

use crate::core::ClientReading;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time for which bytes of a client may wait to be handled while attempts of its requests begin: a fraction of the 100 ms
/// within which a disconnect has to take effect.
const MAX_UNHANDLED_TIME: Duration = Duration::from_millis(25);
/// Time for which the socket of a client that sends faster than its share has to stay empty, as the window has to open for the bytes that
/// wait at the client.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Number of bytes that are read without a break from which on more may wait at the client.
const BURST_BYTES: usize = 16 << 10;

/// Progress of the task that reads a connection, shared with the requests of its client.
#[derive(Debug)]
pub struct ReadProgress {
    /// Everything that arrived before this time is handled, also if the process was paused since.
    handled_until: Cell<Instant>,
    /// Earliest time at which the bytes that are handled now may have arrived.
    arrived_from: Cell<Instant>,
    /// Whether everything that has arrived is handled, as far as the task knows: it waits for the socket.
    is_idle: Cell<bool>,
    /// Whether the socket was found empty since the connection was accepted. Before, it takes no part in reads of all sockets.
    was_idle: Cell<bool>,
    /// Time from which on an empty socket shows that everything is handled.
    settled_at: Cell<Instant>,
    /// Number of bytes that were read since the socket was last empty.
    burst_bytes: Cell<usize>,
}

impl ReadProgress {
    /// Creates the progress of a connection from which nothing was read, and on which nothing arrived before `handled_until`.
    pub fn new(handled_until: Instant) -> Rc<Self> {
        Rc::new(Self {
            handled_until: Cell::new(handled_until),
            arrived_from: Cell::new(Instant::now()),
            is_idle: Cell::new(true),
            was_idle: Cell::new(false),
            settled_at: Cell::new(handled_until),
            burst_bytes: Cell::new(0),
        })
    }

    /// Returns the earliest time at which the message that is handled now may have arrived.
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

    /// Records that the connection was accepted. The client may have connected at any time from `after` on, and as far as pauses of the
    /// process are known from `arrived_from` on. What it sent meanwhile counts as arrived then, until the socket is empty.
    pub fn set_connected(&self, after: Instant, arrived_from: Instant) {
        self.handled_until.set(after.min(self.handled_until.get()));
        self.arrived_from.set(arrived_from);
        self.is_idle.set(false);
    }

    /// Records that the socket has bytes, which may have arrived from `arrived_from` on: the process may have been paused. All sockets
    /// were read that had bytes at `read_until`.
    pub(super) fn set_readable(&self, read_until: Instant, arrived_from: Instant) {
        if !self.is_idle.replace(false) {
            return;
        }
        self.arrived_from.set(arrived_from);
        self.burst_bytes.set(0);
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

    /// Records that bytes were read.
    pub(super) fn add_read(&self, bytes: usize) {
        self.burst_bytes.set(self.burst_bytes.get() + bytes);
    }

    /// Records that all bytes are handled that had arrived at a time. `exceeds_share` tells whether the client sends faster than its share
    /// of the event loop.
    pub fn set_idle(&self, arrived_by: Instant, exceeds_share: bool) {
        let waited = arrived_by.saturating_duration_since(self.earliest_arrival(arrived_by));
        let is_burst = exceeds_share && self.burst_bytes.get() >= BURST_BYTES;
        if waited > MAX_UNHANDLED_TIME || is_burst {
            self.settled_at.set(arrived_by + SETTLE_TIME);
        }
        self.is_idle.set(true);
        self.was_idle.set(true);
        self.handled_until.set(arrived_by);
    }
}

impl ClientReading for ReadProgress {
    fn may_hold_withdrawal(&self) -> bool {
        let now = Instant::now();
        now < self.settled_at.get() || self.lag(now) > MAX_UNHANDLED_TIME
    }
}

#[cfg(test)]
mod tests;
