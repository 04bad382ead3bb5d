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
    pub out: Rc<WriteQueue>,
    end: Rc<Cell<ShutdownPhase>>,
    /// It was answered since this process began to leave.
    done: Cell<bool>,
    opened: Instant,
    /// When it came, at the earliest, until what came with it is read: it may have waited for room.
    came: Cell<Option<Instant>>,
    /// It was read from.
    read: Cell<bool>,
    /// Another client waits for its place.
    give_way: Cell<bool>,
    /// Its client closed the connection, or it broke.
    left: Cell<bool>,
    open: Cell<usize>,
    answered: Cell<bool>,
    /// When it connected, asked or was answered last.
    active: Cell<Instant>,
}

impl ClientConnection {
    /// A connection that has just been taken.
    pub fn new(out: Rc<WriteQueue>, end: Rc<Cell<ShutdownPhase>>) -> Self {
        let opened = Instant::now();
        let (done, left, give_way, read, came, open, answered) = Default::default();
        let active = Cell::new(opened);
        Self { out, end, done, opened, came, read, give_way, left, open, answered, active }
    }

    /// Another client waits for its place. It looks first whether something has arrived.
    pub fn ask_for_place(&self) {
        self.give_way.set(true);
        self.out.request_recheck();
    }

    /// Whether it was asked for its place, and has not looked yet.
    pub fn is_asked_for_place(&self) -> bool {
        self.give_way.get()
    }

    /// When what is read now may have come with the connection; none: it came later.
    pub fn earliest_arrival(&self) -> Option<Instant> {
        self.came.get()
    }

    /// It came at that time, at the earliest.
    pub fn came(&self, at: Instant) {
        self.came.set(Some(at));
    }

    /// A request was taken from it.
    pub fn asked(&self) {
        self.open.set(self.open.get() + 1);
        self.active.set(Instant::now());
    }

    /// A request that was taken from it has ended.
    pub fn ended(&self) {
        self.open.set(self.open.get().saturating_sub(1));
        self.active.set(Instant::now());
    }

    /// Says something to the client.
    pub fn say(&self, frame: Frame, limits: &Limits) {
        self.answered.set(true);
        self.done.set(self.ends_after_answer());
        self.active.set(Instant::now());
        self.out.push(frame, limits);
    }

    /// Reads more; false once the connection is of no more use. Guards against clients that say nothing, stop
    /// inside a message, or ask for nothing that has an answer: they are told so by a close, and soon.
    pub async fn read(&self, read_buffer: &mut ReadBuffer, stream: &TcpStream, limits: &Limits) -> bool {
        // Only what lies there before the first read may have come with the connection.
        let is_first = !self.read.replace(true);
        if !is_first || self.facts(read_buffer, stream).unread == 0 {
            self.came.set(None);
        }
        loop {
            if self.is_over(read_buffer, stream) {
                tracing::debug!(
                    "a client's connection is closed: this process leaves ({:?})",
                    self.end.get()
                );
                return false;
            }
            if self.gives_way(read_buffer, stream) {
                tracing::debug!("a client's connection is closed: another client needs its place");
                return false;
            }
            let silent = self.silent_by(read_buffer, limits);
            let until = silent.unwrap_or(self.active.get() + limits.client_idle_timeout);
            // What is open is waited for, whatever else the client does.
            let until = match self.open.get() {
                0 if until <= Instant::now() => match may_cut_off(&self.written_facts(read_buffer, stream)) {
                    Ok(()) => {
                        let kind = if silent.is_some() { "it is silent" } else { "it is idle" };
                        tracing::debug!("a client's connection is closed: {kind}");
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
                        self.left.set(!more);
                        return more;
                    }
                }
                () = self.out.recheck_requested() => {}
            }
        }
    }

    /// By when a client has to go on: with the message that has begun, or with its first one. A message may come in pieces,
    /// and takes a bounded time in all.
    fn silent_by(&self, read_buffer: &ReadBuffer, limits: &Limits) -> Option<Instant> {
        let unanswered = || Some(self.opened).filter(|_| !self.answered.get());
        match read_buffer.incomplete_since() {
            Some(begun) => Some(
                (read_buffer.last_filled() + limits.client_silence_timeout)
                    .min(begun + limits.client_message_timeout),
            ),
            None => unanswered().map(|at| at + limits.client_silence_timeout),
        }
    }

    /// Its client has closed the connection, or it broke.
    pub fn has_gone(&self) {
        self.left.set(true);
    }

    /// Whether its client has closed the connection, or it broke.
    pub fn gone(&self) -> bool {
        self.left.get()
    }

    /// Whether what this client asks next is for another process.
    pub fn ends_after_answer(&self) -> bool {
        !matches!(self.end.get(), ShutdownPhase::Not | ShutdownPhase::Alone)
    }

    /// Whether it ends now, as this process is leaving. What has just arrived is answered first: a request that
    /// meets a closed connection has to be sent again.
    fn is_over(&self, read_buffer: &ReadBuffer, stream: &TcpStream) -> bool {
        let due = match self.end.get() {
            ShutdownPhase::Not | ShutdownPhase::Alone => false,
            ShutdownPhase::AfterAnswer => self.done.get(),
            ShutdownPhase::Idle | ShutdownPhase::Last => true,
        };
        due && !self.out.is_closing() && may_close(&self.facts(read_buffer, stream)).is_ok()
    }

    /// Whether it ends now, as another client waits for its place. One at which something has arrived does not.
    fn gives_way(&self, read_buffer: &ReadBuffer, stream: &TcpStream) -> bool {
        if !self.give_way.take() {
            return false;
        }
        let gives_way = may_close(&self.facts(read_buffer, stream)).is_ok();
        match gives_way {
            true => self.out.close(CloseMode::Immediately),
            // It is in use: others are asked before it from now on.
            false => self.active.set(Instant::now()),
        }
        gives_way
    }

    fn facts(&self, read_buffer: &ReadBuffer, stream: &TcpStream) -> ConnectionFacts {
        ConnectionFacts {
            open_requests: self.open.get(),
            unwritten: self.out.queued_bytes(),
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
    pub fn idle(&self) -> Option<Instant> {
        let idle = self.open.get() == 0 && self.out.queued_bytes() == 0 && !self.out.is_closing();
        idle.then_some(self.active.get())
    }
}
