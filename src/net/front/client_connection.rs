//! A client's connection: its open requests and the conditions under which it is closed.

mod eviction;

pub use eviction::{Evictable, EvictableKind};

use crate::limits::Limits;
use crate::net::connection::frame::Frame;
use crate::net::connection::{
    closed_by_peer, is_closed_by_peer, CloseMode, MessageMemory, ReadBuffer, ReadProgress, WorkShare,
    WriteOverflow, WriteQueue,
};
use crate::net::front::close_reason::{CloseCounters, CloseReason};
use crate::net::front::shutdown_phase::ShutdownPhase;
use crate::net::log;
use starlingplank_decision::permission::close::{may_close, may_close_mid_message, CloseConditions};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout_at, Instant};

/// Interval of checks whether a client has disconnected while its bytes are not read. It is short enough for the reducer to be
/// notified of a disconnect within 100 ms.
pub(super) const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Outcome of reading from a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Bytes have arrived.
    Received,
    /// The connection has ended or has to be closed.
    Ended,
    /// The current message must release its memory, as other messages need it. Nothing that has arrived completes it.
    MemoryRefused,
}

/// A client's connection. The task that serves it owns the socket; [`FrontendState`](super::FrontendState) lists the
/// connection until that task has ended.
pub struct ClientConnection {
    /// Address of the client.
    pub peer: SocketAddr,
    /// Share of the task that serves the connection in the event loop.
    pub share: Rc<WorkShare>,
    /// How far the connection is read.
    pub progress: Rc<ReadProgress>,
    /// Queue of responses to the client.
    pub write_queue: Rc<WriteQueue>,
    /// Memory of the message that is being read.
    memory: Rc<MessageMemory>,
    shutdown_phase: Rc<Cell<ShutdownPhase>>,
    /// Whether an answer was sent since the shutdown phase requires connections to close after an answer.
    answered_in_shutdown: Cell<bool>,
    /// Whether the connection was read from.
    was_read: Cell<bool>,
    /// Whether eviction was requested, as another client needs the slot, and is not decided yet.
    eviction_requested: Cell<bool>,
    /// Whether the client closed the connection, or the connection failed.
    disconnected: Cell<bool>,
    /// Reason for which the connection ended or is closed, once it is known.
    close_reason: Cell<Option<CloseReason>>,
    close_counters: Rc<CloseCounters>,
    open_requests: Cell<usize>,
    /// Number of received bytes that belong to no request yet: an incomplete message, or messages that follow an open request.
    incomplete_bytes: Cell<usize>,
    /// Whether the rest of a message is discarded that was rejected.
    is_discarding: Cell<bool>,
    /// Time at which bytes last arrived.
    last_received: Cell<Instant>,
    was_answered: Cell<bool>,
    /// Time at which the connection was opened, or a request on it was last received or answered.
    last_active: Cell<Instant>,
}

impl ClientConnection {
    /// Creates the state of a connection that was just accepted.
    pub fn new(
        peer: SocketAddr,
        share: Rc<WorkShare>,
        write_queue: Rc<WriteQueue>,
        shutdown_phase: Rc<Cell<ShutdownPhase>>,
        close_counters: Rc<CloseCounters>,
    ) -> Self {
        let opened = Instant::now();
        Self {
            peer,
            share,
            progress: ReadProgress::new(write_queue.shared().read_barrier.read_until()),
            memory: write_queue.shared().incoming.add_connection(),
            write_queue,
            shutdown_phase,
            answered_in_shutdown: Cell::new(false),
            was_read: Cell::new(false),
            eviction_requested: Cell::new(false),
            disconnected: Cell::new(false),
            close_reason: Cell::new(None),
            close_counters,
            open_requests: Cell::new(0),
            incomplete_bytes: Cell::new(0),
            is_discarding: Cell::new(false),
            last_received: Cell::new(opened),
            was_answered: Cell::new(false),
            last_active: Cell::new(opened),
        }
    }

    /// Creates an empty buffer for the messages of the client.
    pub fn read_buffer(&self) -> ReadBuffer {
        let (shared, memory) = (self.write_queue.shared(), self.memory.clone());
        ReadBuffer::for_client(shared, self.share.clone(), self.progress.clone(), memory)
    }

    /// Returns the earliest time at which the message that is handled now may have arrived.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        self.progress.earliest_arrival(now)
    }

    /// Counts a received request as open, and the processing time of the reducer for it as used by this client.
    pub fn request_opened(&self) {
        self.share.deduct_request();
        self.open_requests.set(self.open_requests.get() + 1);
        self.last_active.set(Instant::now());
    }

    /// Removes an ended request from the count of open ones.
    pub fn request_closed(&self) {
        self.open_requests.set(self.open_requests.get().saturating_sub(1));
        self.last_active.set(Instant::now());
    }

    /// Queues a message to the client.
    pub fn send(&self, frame: Frame, limits: &Limits) {
        self.was_answered.set(true);
        self.answered_in_shutdown.set(self.closes_after_answer());
        self.last_active.set(Instant::now());
        self.write_queue.push(frame, limits);
    }

    /// Reads from the client. The connection of a client that sends nothing, stops inside a message, or only sends messages without an
    /// answer, is closed after a short timeout.
    pub async fn read(
        &self,
        read_buffer: &mut ReadBuffer,
        stream: &TcpStream,
        limits: &Limits,
    ) -> ReadOutcome {
        // Bytes that arrive later were not sent while the connection waited to be accepted.
        let checked_at = Instant::now();
        let is_first = !self.was_read.replace(true);
        if is_first && self.close_conditions(read_buffer, stream).unread == 0 {
            self.progress.set_idle(checked_at, false);
        }
        self.set_incomplete(read_buffer);
        let awaited_bytes = self.memory.await_bytes();
        loop {
            // A message that waits for memory is rejected even if all of it may have arrived.
            if awaited_bytes.is_release_requested()
                && (self.memory.is_waiting() || has_stopped(read_buffer, stream))
            {
                return ReadOutcome::MemoryRefused;
            }
            let deadline = match self.check(read_buffer, stream, limits) {
                Ok(deadline) => deadline,
                Err(reason) => {
                    self.set_close_reason(reason);
                    return ReadOutcome::Ended;
                }
            };
            tokio::select! {
                filled = timeout_at(deadline, read_buffer.fill(stream, limits)) => {
                    if let Ok(filled) = filled {
                        let is_open = matches!(filled, Ok(true));
                        if is_open {
                            return ReadOutcome::Received;
                        }
                        self.set_disconnected();
                        return ReadOutcome::Ended;
                    }
                }
                () = self.write_queue.recheck_requested() => {}
                () = awaited_bytes.release_requested() => {}
            }
        }
    }

    /// Waits for the memory of the decoded head of the current message, of which the head has arrived.
    pub async fn wait_for_head_memory(
        &self,
        read_buffer: &mut ReadBuffer,
        stream: &TcpStream,
        bytes: usize,
        limits: &Limits,
    ) -> ReadOutcome {
        let awaited_bytes = self.memory.await_bytes();
        tokio::select! {
            () = read_buffer.reserve_head(bytes, limits) => ReadOutcome::Received,
            () = awaited_bytes.release_requested() => {
                self.warn_of_refused_memory();
                ReadOutcome::MemoryRefused
            }
            () = closed_by_peer(stream) => {
                self.set_disconnected();
                ReadOutcome::Ended
            }
        }
    }

    /// Waits while the client leaves more answers unread than may wait for it, so that a client that sends faster than it reads is not
    /// read. Returns false if the connection has ended or has to be closed.
    pub async fn wait_for_reader(&self, stream: &TcpStream, limits: &Limits) -> bool {
        if self.write_queue.memory() <= limits.memory.unread_answer_bytes {
            return true;
        }
        let awaited_reader = self.memory.await_bytes();
        loop {
            tokio::select! {
                () = self.write_queue.wait_for_memory(limits.memory.unread_answer_bytes) => return true,
                () = sleep(DISCONNECT_CHECK_INTERVAL) => {}
            }
            // The bytes that were read ahead are held until the client reads.
            if awaited_reader.is_release_requested()
                && self.write_queue.blocked_for() >= limits.min_stall_before_eviction
            {
                self.set_close_reason(CloseReason::IncomingMemoryExhausted);
                return false;
            }
            if is_closed_by_peer(stream) {
                self.set_disconnected();
                return false;
            }
            if self.open_requests.get() == 0 && self.write_queue.blocked_for() >= limits.client_idle_timeout {
                self.set_close_reason(CloseReason::NotReading);
                return false;
            }
        }
    }

    /// Checks whether the connection stays open. Returns the time of the next check if nothing arrives, or the reason to
    /// close.
    fn check(
        &self,
        read_buffer: &ReadBuffer,
        stream: &TcpStream,
        limits: &Limits,
    ) -> Result<Instant, CloseReason> {
        if self.closes_for_shutdown(read_buffer, stream) {
            return Err(CloseReason::Shutdown);
        }
        if self.closes_for_eviction(read_buffer, stream, limits) {
            return Err(CloseReason::Evicted);
        }
        // A connection with open requests stays open until they are answered, even if the client sends nothing.
        if self.open_requests.get() > 0 {
            return Ok(Instant::now() + limits.client_silence_timeout);
        }
        let silence_deadline = self.silence_deadline(read_buffer, limits);
        let deadline = silence_deadline.unwrap_or(self.last_active.get() + limits.client_idle_timeout);
        if deadline > Instant::now() {
            return Ok(deadline);
        }
        match may_close_mid_message(&self.close_conditions_ignoring_writes(read_buffer, stream)) {
            Ok(()) if silence_deadline.is_some() => Err(CloseReason::Silent),
            Ok(()) => Err(CloseReason::Idle),
            // Bytes that are not read yet may complete a request, or be one.
            Err(_) => Ok(Instant::now() + limits.min_idle_before_eviction),
        }
    }

    /// Returns the deadline for the rest of an incomplete message, or for the first request. A message may arrive in
    /// pieces, with a timeout for the next piece and one for the complete message. `None` if neither is awaited.
    fn silence_deadline(&self, read_buffer: &ReadBuffer, limits: &Limits) -> Option<Instant> {
        if let Some(incomplete_since) = read_buffer.incomplete_since() {
            let next_piece = read_buffer.last_filled() + limits.client_silence_timeout;
            return Some(next_piece.min(incomplete_since + limits.client_message_timeout));
        }
        (!self.was_answered.get()).then(|| self.last_active.get() + limits.client_silence_timeout)
    }

    /// Returns the time for which incoming bytes are read and discarded after the gateway closed the connection.
    pub fn close_linger(&self, limits: &Limits) -> Duration {
        match self.write_queue.close_mode() {
            // Another client waits for the slot, and no answer was written that a reset could discard.
            Some(CloseMode::Immediately) if !self.was_answered.get() => Duration::ZERO,
            Some(CloseMode::Immediately) => limits.min_idle_before_eviction,
            _ => limits.close_linger,
        }
    }

    /// Records, counts and logs the reason for which the connection ends. Only the first reason counts.
    pub fn set_close_reason(&self, reason: CloseReason) {
        if self.close_reason.get().is_some() {
            return;
        }
        self.close_reason.set(Some(reason));
        self.close_counters.count(reason);
        let (client, phase) = (self.peer, self.shutdown_phase.get());
        let (open, queued) = (self.open_requests.get(), self.write_queue.queued_bytes());
        let blocked_ms = self.write_queue.blocked_for().as_millis();
        if let Some(warning) = reason.warning() {
            let state =
                format_args!("{open} open requests, {queued} bytes queued, blocked for {blocked_ms} ms");
            log::warn_of_peer_rate_limited(warning, client, state);
        }
        let reason = reason.name();
        tracing::debug!(%client, reason, open, queued, blocked_ms, ?phase, "client connection closed");
    }

    /// Logs that the message of the client is rejected, as others need its memory.
    pub fn warn_of_refused_memory(&self) {
        let (open, used) = (self.open_requests.get(), self.write_queue.shared().incoming.used.bytes());
        let state = format_args!("{open} open requests, {used} bytes of incomplete messages");
        let warning = "the memory for incomplete messages is exhausted; rejecting the message of a client that sends slowly";
        log::warn_of_peer_rate_limited(warning, self.peer, state);
    }

    /// Records that the connection ended because writing to the client ended: it failed, or the queue closed the connection.
    pub fn set_write_ended(&self) {
        self.set_close_reason(match self.write_queue.overflow() {
            Some(WriteOverflow::QueueFull) => CloseReason::WriteQueueFull,
            Some(WriteOverflow::MemoryExhausted) => CloseReason::OutgoingMemoryExhausted,
            None => CloseReason::WriteFailed,
        });
    }

    /// Records that the client closed the connection, or that the connection failed.
    pub fn set_disconnected(&self) {
        self.disconnected.set(true);
        self.set_close_reason(CloseReason::ClientClosed);
    }

    /// Returns whether the client closed the connection, or the connection failed.
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.get()
    }

    /// Records the bytes in the read buffer that belong to no request yet.
    pub fn set_incomplete(&self, read_buffer: &ReadBuffer) {
        self.incomplete_bytes.set(read_buffer.incomplete_bytes());
        self.is_discarding.set(read_buffer.is_discarding());
        self.last_received.set(read_buffer.last_filled());
    }

    /// Returns whether the connection is closed after its next answer, because this process is shutting down. Requests that
    /// have already arrived are answered first.
    pub fn closes_after_answer(&self) -> bool {
        !self.shutdown_phase.get().keeps_connections() && self.incomplete_bytes.get() == 0
    }

    /// Returns whether the connection closes now because of a shutdown. Requests that have already arrived are answered
    /// first, as the client would otherwise have to send them again.
    fn closes_for_shutdown(&self, read_buffer: &ReadBuffer, stream: &TcpStream) -> bool {
        let due = match self.shutdown_phase.get() {
            ShutdownPhase::Serving | ShutdownPhase::Draining => false,
            ShutdownPhase::HandingOver => self.answered_in_shutdown.get(),
            ShutdownPhase::ClosingIdle | ShutdownPhase::Stopping => true,
        };
        due && !self.write_queue.is_closing()
            && may_close(&self.close_conditions(read_buffer, stream)).is_ok()
    }

    fn close_conditions(&self, read_buffer: &ReadBuffer, stream: &TcpStream) -> CloseConditions {
        CloseConditions {
            open_requests: self.open_requests.get(),
            unwritten: self.write_queue.queued_bytes(),
            incomplete: read_buffer.incomplete_bytes(),
            unread: unread_bytes(stream),
        }
    }

    /// Returns the close conditions without the queued bytes, which are written as the connection closes.
    fn close_conditions_ignoring_writes(
        &self,
        read_buffer: &ReadBuffer,
        stream: &TcpStream,
    ) -> CloseConditions {
        CloseConditions { unwritten: 0, ..self.close_conditions(read_buffer, stream) }
    }
}

/// Returns whether nothing that has arrived can complete the current message.
fn has_stopped(read_buffer: &ReadBuffer, stream: &TcpStream) -> bool {
    let unread = unread_bytes(stream);
    unread == 0 || read_buffer.needs_more_than(unread)
}

/// Returns the number of bytes that the socket has received and that are not read. If the system call fails, bytes are assumed.
fn unread_bytes(stream: &TcpStream) -> usize {
    rustix::io::ioctl_fionread(stream).map_or(1, |bytes| bytes as usize)
}

#[cfg(test)]
mod tests;
