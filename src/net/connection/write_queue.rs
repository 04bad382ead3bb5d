//! The write queue of a connection: frames that go out by gathered writes, in order.

use crate::core::{AttemptId, FlowControl};
use crate::limits::Limits;
use crate::net::connection::frame::Frame;
use crate::net::connection::shared_state::SharedState;
use crate::net::connection::socket_retry::Retry;
use crate::net::log;
use starlingplank_decision::permission::send::SendRefusal;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// How a connection is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Close {
    /// Once all that waits is written.
    AfterWrite,
    /// At once.
    Now,
}

/// What waits for one reader. Its bytes count towards its own limit and towards a sum over all connections.
#[derive(Debug)]
pub struct WriteQueue {
    frames: RefCell<VecDeque<Frame>>,
    /// Of the first frame, what has left.
    begun: Cell<usize>,
    bytes: Cell<usize>,
    shared: Rc<SharedState>,
    closing: Cell<Option<Close>>,
    wake: Notify,
    drained: Notify,
    /// Attempts that were taken back as they were about to leave.
    overdue: RefCell<Vec<AttemptId>>,
    late: Notify,
    /// All that waited is written, or the connection should look again at whether it goes on.
    nudge: Notify,
}

impl WriteQueue {
    /// Nothing waits.
    pub fn new(shared: Rc<SharedState>) -> Self {
        let (frames, begun, bytes) = Default::default();
        Self {
            frames,
            begun,
            bytes,
            shared,
            closing: Cell::new(None),
            wake: Notify::new(),
            drained: Notify::new(),
            overdue: RefCell::default(),
            late: Notify::new(),
            nudge: Notify::new(),
        }
    }

    /// What all connections have in common.
    pub fn shared(&self) -> Rc<SharedState> {
        self.shared.clone()
    }

    /// Bytes that wait.
    pub fn waiting(&self) -> usize {
        self.bytes.get()
    }

    fn count(&self, more: usize, less: usize) {
        self.bytes.set(self.bytes.get() + more - less);
        self.shared.held.set(self.shared.held.get() + more - less);
    }

    /// Adds a message. A reader who lets too much pile up is cut off: it stalls nobody else.
    pub fn push(&self, frame: Frame, limits: &Limits) {
        if self.closing.get().is_some() {
            return;
        }
        let len = frame.len();
        let most = self.shared.part(limits.max_buffered_bytes);
        if self.bytes.get() + len > limits.max_write_queue_bytes || self.shared.held.get() + len > most {
            log::seldom("a connection was closed: its reader is too slow");
            return self.close(Close::Now);
        }
        self.count(len, 0);
        self.frames.borrow_mut().push_back(frame);
        self.wake.notify_one();
    }

    /// Ends the connection; nothing more is taken.
    pub fn close(&self, how: Close) {
        if self.closing.get() != Some(Close::Now) {
            self.closing.set(Some(how));
        }
        self.drained.notify_one();
        self.wake.notify_one();
    }

    /// Waits, before anything is written, for an end at once.
    pub async fn closed_now(&self) {
        while self.closing.get() != Some(Close::Now) {
            self.wake.notified().await;
        }
    }

    /// Has the reader of the connection look again at whether it goes on.
    pub fn nudge(&self) {
        self.nudge.notify_one();
    }

    /// Waits until all is written, or for a [`nudge`](Self::nudge).
    pub async fn nudged(&self) {
        self.nudge.notified().await;
    }

    /// How the connection is to end, if its end was asked for.
    pub(super) fn close_requested(&self) -> Option<Close> {
        self.closing.get()
    }

    /// Whether the end was asked for.
    pub fn closing(&self) -> bool {
        self.closing.get().is_some()
    }

    /// Takes back the message of an attempt if none of it has left.
    pub fn withdraw(&self, attempt: AttemptId) -> bool {
        let mut frames = self.frames.borrow_mut();
        let from = usize::from(self.begun.get() > 0);
        let Some(at) = (from..frames.len()).find(|i| frames[*i].attempt == Some(attempt)) else {
            return false;
        };
        let len = frames.remove(at).map_or(0, |f| f.len());
        self.count(0, len);
        true
    }

    /// The attempts none of whose bytes have left, nor will: those whose time is over, not told of yet, among them.
    pub fn unsent(&self) -> Vec<AttemptId> {
        let frames = self.frames.borrow();
        let waiting = frames.iter().skip(usize::from(self.begun.get() > 0)).filter_map(|f| f.attempt);
        waiting.chain(self.overdue.borrow().iter().copied()).collect()
    }

    /// Asks of each attempt that the next write may begin whether it may still be sent, and takes back what may not. Those
    /// that have waited are worded anew: the engine is told what is left of their time now.
    fn admit_frames(&self, limits: &Limits) {
        let begun = usize::from(self.begun.get() > 0);
        let mut at = begun;
        while at < limits.max_gathered_slices.min(self.frames.borrow().len()) {
            match self.admit(at) {
                Ok(()) => at += 1,
                Err(refusal) => self.take_back(at, refusal),
            }
        }
    }

    fn admit(&self, at: usize) -> Result<(), SendRefusal> {
        let mut frames = self.frames.borrow_mut();
        let Some(frame) = frames.get_mut(at) else { return Ok(()) };
        frame.may_leave(|| self.shared.take_from_retry_budget())?;
        let before = frame.len();
        frame.refresh();
        let after = frame.len();
        drop(frames);
        self.count(after, before);
        Ok(())
    }

    fn take_back(&self, at: usize, refusal: SendRefusal) {
        let Some(frame) = self.frames.borrow_mut().remove(at) else { return };
        self.count(0, frame.len());
        self.shared.rules.count(refusal);
        if let Some((request, number)) = frame.attempt {
            tracing::debug!("attempt {}.{number} is not written: {}", request.0, refusal.name());
        }
        if refusal.is_violation() {
            log::seldom_error("an attempt was about to be written against the rules", refusal.name());
        }
        self.overdue.borrow_mut().extend(frame.attempt);
        self.late.notify_one();
    }

    /// Waits for an attempt whose time to leave is over; it never left.
    pub async fn overdue(&self) -> AttemptId {
        loop {
            if let Some(id) = self.overdue.borrow_mut().pop() {
                return id;
            }
            self.late.notified().await;
        }
    }

    fn advance(&self, mut written: usize) {
        self.count(0, written);
        let mut frames = self.frames.borrow_mut();
        written += self.begun.get();
        while let Some(len) = frames.front().map(Frame::len).filter(|len| *len <= written) {
            written -= len;
            let tally = frames.pop_front().and_then(|f| f.tally);
            tally.into_iter().for_each(|t| self.shared.figures.add(t));
        }
        self.begun.set(written);
        drop(frames);
        self.drained.notify_one();
    }

    /// Writes what waits until the connection is to end.
    pub async fn write_all(&self, stream: &TcpStream, limits: &Limits) -> io::Result<()> {
        loop {
            if self.closing.get() == Some(Close::Now) {
                return Ok(());
            }
            self.admit_frames(limits);
            if self.frames.borrow().is_empty() {
                if self.closing.get().is_some() {
                    return Ok(());
                }
                self.nudge.notify_one();
                self.wake.notified().await;
                continue;
            }
            let written = {
                let frames = self.frames.borrow();
                let mut skip = self.begun.get();
                let mut slices = Vec::new();
                for bytes in frames.iter().flat_map(Frame::bytes) {
                    let from = skip.min(bytes.len());
                    skip -= from;
                    if from < bytes.len() {
                        slices.push(IoSlice::new(&bytes[from..]));
                    }
                    if slices.len() == limits.max_gathered_slices {
                        break;
                    }
                }
                stream.try_write_vectored(&slices)
            };
            match written {
                Ok(written) => self.advance(written),
                Err(e) => match Retry::after(&e) {
                    // Others have their turn, however often it happens.
                    Some(Retry::AtOnce) => tokio::task::yield_now().await,
                    Some(Retry::WhenReady) => tokio::select! {
                        ready = stream.ready(Interest::WRITABLE) => drop(ready?),
                        () = self.wake.notified() => {}
                    },
                    None => return Err(e),
                },
            }
        }
    }
}

impl FlowControl for WriteQueue {
    fn room(&self, bytes: usize) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(async move {
            while self.bytes.get() > bytes && self.closing.get().is_none() {
                self.drained.notified().await;
            }
        })
    }
}

impl Drop for WriteQueue {
    fn drop(&mut self) {
        self.shared.held.set(self.shared.held.get() - self.bytes.get());
    }
}
