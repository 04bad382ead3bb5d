//! A client's connection as a front holds it: what is open on it, and when it ends.

use crate::limits::Limits;
use crate::net::connection::frame::Frame;
use crate::net::connection::{CloseMode, ReadBuffer, WriteQueue};
use crate::net::front::ShutdownPhase;
use starlingplank_decision::permission::close::{may_close, may_cut_off, ConnectionFacts};
use std::cell::Cell;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// A client's connection.
pub struct ClientConnection {
    /// What waits to be written.
    pub write_queue: Rc<WriteQueue>,
    shutdown_phase: Rc<Cell<ShutdownPhase>>,
    /// It was answered since this process began to leave.
    answered_in_shutdown: Cell<bool>,
    opened: Instant,
    /// When it came, at the earliest, until what came with it is read: it may have waited for room.
    arrived_at: Cell<Option<Instant>>,
    /// It was read from.
    was_read: Cell<bool>,
    /// Another client waits for its place.
    eviction_requested: Cell<bool>,
    /// Its client closed the connection, or it broke.
    disconnected: Cell<bool>,
    open_requests: Cell<usize>,
    was_answered: Cell<bool>,
    /// When it connected, asked or was answered last.
    last_active: Cell<Instant>,
}

impl ClientConnection {
    /// A connection that has just been taken.
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

    /// Another client waits for its place. It looks first whether something has arrived.
    pub fn request_eviction(&self) {
        self.eviction_requested.set(true);
        self.write_queue.request_recheck();
    }

    /// Whether it was asked for its place, and has not looked yet.
    pub fn is_eviction_requested(&self) -> bool {
        self.eviction_requested.get()
    }

    /// When what is read now may have come with the connection; none: it came later.
    pub fn earliest_arrival(&self) -> Option<Instant> {
        self.arrived_at.get()
    }

    /// It came at that time, at the earliest.
    pub fn set_arrived_at(&self, at: Instant) {
        self.arrived_at.set(Some(at));
    }

    /// A request was taken from it.
    pub fn request_opened(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
        self.last_active.set(Instant::now());
    }

    /// A request that was taken from it has ended.
    pub fn request_closed(&self) {
        self.open_requests.set(self.open_requests.get().saturating_sub(1));
        self.last_active.set(Instant::now());
    }

    /// Says something to the client.
    pub fn send(&self, frame: Frame, limits: &Limits) {
        self.was_answered.set(true);
        self.answered_in_shutdown.set(self.closes_after_answer());
        self.last_active.set(Instant::now());
        self.write_queue.push(frame, limits);
    }

    /// Reads more; false once the connection is of no more use. Guards against clients that say nothing, stop
    /// inside a message, or ask for nothing that has an answer: they are told so by a close, and soon.
    pub async fn read(&self, read_buffer: &mut ReadBuffer, stream: &TcpStream, limits: &Limits) -> bool {
        // Only what lies there before the first read may have come with the connection.
        let is_first = !self.was_read.replace(true);
        if !is_first || self.facts(read_buffer, stream).unread == 0 {
            self.arrived_at.set(None);
        }
        loop {
            if self.closes_for_shutdown(read_buffer, stream) {
                tracing::debug!(
                    phase = ?self.shutdown_phase.get(),
                    "client connection closed: this process shuts down"
                );
                return false;
            }
            if self.closes_for_eviction(read_buffer, stream) {
                tracing::debug!("client connection closed: its slot is needed for another client");
                return false;
            }
            let silent = self.silent_by(read_buffer, limits);
            let until = silent.unwrap_or(self.last_active.get() + limits.client_idle_timeout);
            // What is open is waited for, whatever else the client does.
            let until = match self.open_requests.get() {
                0 if until <= Instant::now() => match may_cut_off(&self.written_facts(read_buffer, stream)) {
                    Ok(()) => {
                        let reason = if silent.is_some() { "silent" } else { "idle" };
                        tracing::debug!(reason, "client connection closed");
                        return false;
                    }
                    // What has arrived may be the rest of a request, or a whole one.
                    Err(_) => Instant::now() + limits.min_idle_before_eviction,
                },
                0 => until,
                _ => Instant::now() + limits.client_silence_timeout,
            };
            tokio::select! {
                filled = timeout_at(until, read_buffer.fill(stream, limits)) => {
                    if let Ok(filled) = filled {
                        let more = matches!(filled, Ok(true));
                        self.disconnected.set(!more);
                        return more;
                    }
                }
                () = self.write_queue.recheck_requested() => {}
            }
        }
    }

    /// By when a client has to go on: with the message that has begun, or with its first one. A message may come in pieces,
    /// and takes a bounded time in all.
    fn silent_by(&self, read_buffer: &ReadBuffer, limits: &Limits) -> Option<Instant> {
        let unanswered = || Some(self.opened).filter(|_| !self.was_answered.get());
        match read_buffer.incomplete_since() {
            Some(begun) => Some(
                (read_buffer.last_filled() + limits.client_silence_timeout)
                    .min(begun + limits.client_message_timeout),
            ),
            None => unanswered().map(|at| at + limits.client_silence_timeout),
        }
    }

    /// Its client has closed the connection, or it broke.
    pub fn set_disconnected(&self) {
        self.disconnected.set(true);
    }

    /// Whether its client has closed the connection, or it broke.
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.get()
    }

    /// Whether what this client asks next is for another process.
    pub fn closes_after_answer(&self) -> bool {
        !matches!(self.shutdown_phase.get(), ShutdownPhase::Serving | ShutdownPhase::Draining)
    }

    /// Whether it ends now, as this process is leaving. What has just arrived is answered first: a request that
    /// meets a closed connection has to be sent again.
    fn closes_for_shutdown(&self, read_buffer: &ReadBuffer, stream: &TcpStream) -> bool {
        let due = match self.shutdown_phase.get() {
            ShutdownPhase::Serving | ShutdownPhase::Draining => false,
            ShutdownPhase::HandingOver => self.answered_in_shutdown.get(),
            ShutdownPhase::ClosingIdle | ShutdownPhase::Stopping => true,
        };
        due && !self.write_queue.is_closing() && may_close(&self.facts(read_buffer, stream)).is_ok()
    }

    /// Whether it ends now, as another client waits for its place. One at which something has arrived does not.
    fn closes_for_eviction(&self, read_buffer: &ReadBuffer, stream: &TcpStream) -> bool {
        if !self.eviction_requested.take() {
            return false;
        }
        let closes = may_close(&self.facts(read_buffer, stream)).is_ok();
        match closes {
            true => self.write_queue.close(CloseMode::Immediately),
            // It is in use: others are asked before it from now on.
            false => self.last_active.set(Instant::now()),
        }
        closes
    }

    fn facts(&self, read_buffer: &ReadBuffer, stream: &TcpStream) -> ConnectionFacts {
        ConnectionFacts {
            open_requests: self.open_requests.get(),
            unwritten: self.write_queue.queued_bytes(),
            incomplete: read_buffer.unread().len(),
            // Where the system does not tell, something may have arrived.
            unread: rustix::io::ioctl_fionread(stream).map_or(1, |bytes| bytes as usize),
        }
    }

    /// The same, where what waits to be written does not keep it: it is written as the connection ends.
    fn written_facts(&self, read_buffer: &ReadBuffer, stream: &TcpStream) -> ConnectionFacts {
        ConnectionFacts { unwritten: 0, ..self.facts(read_buffer, stream) }
    }

    /// Since when nothing has been open and nothing has waited to be written.
    pub fn idle_since(&self) -> Option<Instant> {
        let idle = self.open_requests.get() == 0
            && self.write_queue.queued_bytes() == 0
            && !self.write_queue.is_closing();
        idle.then_some(self.last_active.get())
    }
}
