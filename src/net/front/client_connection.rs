//! A client's connection: its open requests, and when it is closed.

use crate::limits::Limits;
use crate::net::connection::frame::Frame;
use crate::net::connection::{CloseMode, ReadBuffer, WriteQueue};
use crate::net::front::shutdown_phase::ShutdownPhase;
use starlingplank_decision::permission::close::{may_close, may_close_mid_message, CloseConditions};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// A client's connection. The front that serves it owns its socket; [`FrontendState`](super::FrontendState) lists it until
/// the front is done.
pub struct ClientConnection {
    /// Its write queue.
    pub write_queue: Rc<WriteQueue>,
    shutdown_phase: Rc<Cell<ShutdownPhase>>,
    /// An answer was sent since this process began to close connections.
    answered_in_shutdown: Cell<bool>,
    opened: Instant,
    /// When the connection arrived, at the earliest, until the bytes that came with it are read. It may have waited to be
    /// accepted.
    arrived_at: Cell<Option<Instant>>,
    /// It was read from.
    was_read: Cell<bool>,
    /// Its slot is needed for another client.
    eviction_requested: Cell<bool>,
    /// Its client closed the connection, or it broke.
    disconnected: Cell<bool>,
    open_requests: Cell<usize>,
    was_answered: Cell<bool>,
    /// When it was opened, or a request on it was last received or answered.
    last_active: Cell<Instant>,
}

/// Why this side closes a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    /// This process shuts down.
    Shutdown,
    /// Its slot is needed for another client.
    Evicted,
    /// It was never answered, or a message on it is incomplete, and its client sends nothing.
    Silent,
    /// It has had no request for long.
    Idle,
}

impl ClientConnection {
    /// A connection that was accepted now.
    pub fn new(write_queue: Rc<WriteQueue>, shutdown_phase: Rc<Cell<ShutdownPhase>>) -> Self {
        let opened = Instant::now();
        Self {
            write_queue,
            shutdown_phase,
            answered_in_shutdown: Cell::new(false),
            opened,
            arrived_at: Cell::new(None),
            was_read: Cell::new(false),
            eviction_requested: Cell::new(false),
            disconnected: Cell::new(false),
            open_requests: Cell::new(0),
            was_answered: Cell::new(false),
            last_active: Cell::new(opened),
        }
    }

    /// Requests the eviction of the connection. It checks first whether a request has arrived.
    pub fn request_eviction(&self) {
        self.eviction_requested.set(true);
        self.write_queue.request_recheck();
    }

    /// Whether its eviction was requested, and is not decided yet.
    pub fn is_eviction_requested(&self) -> bool {
        self.eviction_requested.get()
    }

    /// When the bytes that are read now arrived, at the earliest, if they may have come with the connection.
    pub fn earliest_arrival(&self) -> Option<Instant> {
        self.arrived_at.get()
    }

    /// Sets when the connection arrived, at the earliest.
    pub fn set_arrived_at(&self, at: Instant) {
        self.arrived_at.set(Some(at));
    }

    /// Counts a request that was received on it.
    pub fn request_opened(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
        self.last_active.set(Instant::now());
    }

    /// Counts a request that was received on it as ended.
    pub fn request_closed(&self) {
        self.open_requests.set(self.open_requests.get().saturating_sub(1));
        self.last_active.set(Instant::now());
    }

    /// Sends a message to the client.
    pub fn send(&self, frame: Frame, limits: &Limits) {
        self.was_answered.set(true);
        self.answered_in_shutdown.set(self.closes_after_answer());
        self.last_active.set(Instant::now());
        self.write_queue.push(frame, limits);
    }

    /// Reads from the client. False: the connection is over, or is to be closed. A client that sends nothing, stops inside
    /// a message, or sends nothing that has an answer, loses its connection soon.
    pub async fn read(&self, read_buffer: &mut ReadBuffer, stream: &TcpStream, limits: &Limits) -> bool {
        // Only what arrived before the first read may have come with the connection.
        let is_first = !self.was_read.replace(true);
        if !is_first || self.facts(read_buffer, stream).unread == 0 {
            self.arrived_at.set(None);
        }
        loop {
            let deadline = match self.check(read_buffer, stream, limits) {
                Ok(deadline) => deadline,
                Err(reason) => {
                    tracing::debug!(?reason, phase = ?self.shutdown_phase.get(), "client connection closed");
                    return false;
                }
            };
            tokio::select! {
                filled = timeout_at(deadline, read_buffer.fill(stream, limits)) => {
                    if let Ok(filled) = filled {
                        let is_open = matches!(filled, Ok(true));
                        self.disconnected.set(!is_open);
                        return is_open;
                    }
                }
                () = self.write_queue.recheck_requested() => {}
            }
        }
    }

    /// Whether the connection goes on, and when to check again if nothing arrives.
    fn check(
        &self,
        read_buffer: &ReadBuffer,
        stream: &TcpStream,
        limits: &Limits,
    ) -> Result<Instant, CloseReason> {
        if self.closes_for_shutdown(read_buffer, stream) {
            return Err(CloseReason::Shutdown);
        }
        if self.closes_for_eviction(read_buffer, stream) {
            return Err(CloseReason::Evicted);
        }
        // Open requests are answered, whatever else the client does.
        if self.open_requests.get() > 0 {
            return Ok(Instant::now() + limits.client_silence_timeout);
        }
        let silence_deadline = self.silence_deadline(read_buffer, limits);
        let deadline = silence_deadline.unwrap_or(self.last_active.get() + limits.client_idle_timeout);
        if deadline > Instant::now() {
            return Ok(deadline);
        }
        match may_close_mid_message(&self.facts_apart_from_writes(read_buffer, stream)) {
            Ok(()) if silence_deadline.is_some() => Err(CloseReason::Silent),
            Ok(()) => Err(CloseReason::Idle),
            // What has arrived may be the rest of a request, or a whole one.
            Err(_) => Ok(Instant::now() + limits.min_idle_before_eviction),
        }
    }

    /// By when the client has to continue an incomplete message, or send its first one. A message may arrive in pieces,
    /// and takes a bounded time in all.
    fn silence_deadline(&self, read_buffer: &ReadBuffer, limits: &Limits) -> Option<Instant> {
        if let Some(incomplete_since) = read_buffer.incomplete_since() {
            let next_piece = read_buffer.last_filled() + limits.client_silence_timeout;
            return Some(next_piece.min(incomplete_since + limits.client_message_timeout));
        }
        (!self.was_answered.get()).then(|| self.opened + limits.client_silence_timeout)
    }

    /// How long the connection is read after it was closed from this side.
    pub fn close_linger(&self, limits: &Limits) -> Duration {
        match self.write_queue.close_mode() {
            // Another client waits for the slot, and nothing was written here that a reset could destroy.
            Some(CloseMode::Immediately) if !self.was_answered.get() => Duration::ZERO,
            Some(CloseMode::Immediately) => limits.min_idle_before_eviction,
            _ => limits.close_linger,
        }
    }

    /// Records that the client closed the connection, or that it broke.
    pub fn set_disconnected(&self) {
        self.disconnected.set(true);
    }

    /// Whether the client closed the connection, or it broke.
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.get()
    }

    /// Whether the connection closes after its next answer, as another process serves what its client requests next.
    pub fn closes_after_answer(&self) -> bool {
        !self.shutdown_phase.get().keeps_connections()
    }

    /// Whether it closes now, as this process shuts down. What has just arrived is answered first: a request that meets a
    /// closed connection has to be sent again.
    fn closes_for_shutdown(&self, read_buffer: &ReadBuffer, stream: &TcpStream) -> bool {
        let due = match self.shutdown_phase.get() {
            ShutdownPhase::Serving | ShutdownPhase::Draining => false,
            ShutdownPhase::HandingOver => self.answered_in_shutdown.get(),
            ShutdownPhase::ClosingIdle | ShutdownPhase::Stopping => true,
        };
        due && !self.write_queue.is_closing() && may_close(&self.facts(read_buffer, stream)).is_ok()
    }

    /// Whether it closes now, as its slot is needed for another client. One at which something has arrived does not.
    fn closes_for_eviction(&self, read_buffer: &ReadBuffer, stream: &TcpStream) -> bool {
        if !self.eviction_requested.take() {
            return false;
        }
        let closes = may_close(&self.facts(read_buffer, stream)).is_ok();
        if closes {
            self.write_queue.close(CloseMode::Immediately);
        } else {
            // It is in use: others are chosen before it from now on.
            self.last_active.set(Instant::now());
        }
        closes
    }

    fn facts(&self, read_buffer: &ReadBuffer, stream: &TcpStream) -> CloseConditions {
        CloseConditions {
            open_requests: self.open_requests.get(),
            unwritten: self.write_queue.queued_bytes(),
            incomplete: read_buffer.unread().len(),
            // If the system call fails, something may have arrived.
            unread: rustix::io::ioctl_fionread(stream).map_or(1, |bytes| bytes as usize),
        }
    }

    /// The facts where queued bytes do not keep the connection open: they are written as it closes.
    fn facts_apart_from_writes(&self, read_buffer: &ReadBuffer, stream: &TcpStream) -> CloseConditions {
        CloseConditions { unwritten: 0, ..self.facts(read_buffer, stream) }
    }

    /// Since when it has had no open request and no queued bytes; none where it has some, or is closing.
    pub fn idle_since(&self) -> Option<Instant> {
        let is_idle = self.open_requests.get() == 0
            && self.write_queue.queued_bytes() == 0
            && !self.write_queue.is_closing();
        is_idle.then_some(self.last_active.get())
    }
}

#[cfg(test)]
mod tests;
