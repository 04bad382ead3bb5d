//! Write queue of a connection: frames that are written in order, by vectored writes.

mod attempts;

use crate::core::{AttemptId, FlowControl};
use crate::limits::Limits;
use crate::net::connection::fair_share::WorkShare;
use crate::net::connection::frame::Frame;
use crate::net::connection::shared_state::SharedState;
use crate::net::connection::socket_retry::SocketRetry;
use crate::net::log;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// Interval at which attempts are checked again whose client may have withdrawn the request.
const POSTPONED_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Mode in which a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseMode {
    /// The connection is closed once all queued frames are written.
    AfterWrite,
    /// The connection is closed immediately, and queued frames are discarded.
    Immediately,
}

/// Reason for which a write queue closed its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOverflow {
    /// The queue would have exceeded its limit.
    QueueFull,
    /// All queues of clients together exceeded the memory for answers.
    MemoryExhausted,
}

/// Frames that wait to be written to one peer. The length of the queue is limited. The memory of the queue of a client is also counted
/// in [`SharedState::outgoing`]; the queue to an engine holds statements, which the reducer counts. One task writes the frames,
/// by [`write_all`](Self::write_all).
#[derive(Debug)]
pub struct WriteQueue {
    frames: RefCell<VecDeque<Frame>>,
    /// Frames of attempts that wait until the bytes of their clients are handled. No byte of them is written.
    postponed: RefCell<Vec<Frame>>,
    /// Number of bytes of the first frame that are written.
    first_frame_written: Cell<usize>,
    /// Number of bytes that are queued and not written yet.
    bytes: Cell<usize>,
    /// Memory that the queued frames of a client take, in bytes.
    memory: Cell<usize>,
    /// Share in the event loop of the task that serves a client; `None` for the queue to an engine.
    client_share: Option<Rc<WorkShare>>,
    /// Time from which on the socket has accepted no complete frame, if it accepts no more bytes.
    blocked_since: Cell<Option<Instant>>,
    shared: Rc<SharedState>,
    close_mode: Cell<Option<CloseMode>>,
    /// Reason for which the queue closed the connection, if it did.
    overflow: Cell<Option<WriteOverflow>>,
    /// Wakes the writing task after a frame was queued or a close was requested.
    changed: Notify,
    /// Wakes producers that wait for the queue to become shorter.
    drained: Notify,
    /// Attempts that were discarded before they were written and are not reported yet.
    discarded_attempts: RefCell<Vec<AttemptId>>,
    attempt_discarded: Notify,
    /// Wakes the reading task to check whether the connection stays open: all frames are written, or a check was requested.
    recheck: Notify,
}

impl WriteQueue {
    /// Creates an empty queue to an engine.
    pub fn new(shared: Rc<SharedState>) -> Self {
        Self::with_peer(shared, None)
    }

    /// Creates an empty queue to a client that is served by a task with this share.
    pub fn for_client(shared: Rc<SharedState>, share: Rc<WorkShare>) -> Rc<Self> {
        let queue = Rc::new(Self::with_peer(shared, Some(share)));
        queue.shared.outgoing.register(&queue);
        queue
    }

    fn with_peer(shared: Rc<SharedState>, client_share: Option<Rc<WorkShare>>) -> Self {
        Self {
            frames: RefCell::default(),
            postponed: RefCell::default(),
            first_frame_written: Cell::new(0),
            bytes: Cell::new(0),
            memory: Cell::new(0),
            client_share,
            blocked_since: Cell::new(None),
            shared,
            close_mode: Cell::new(None),
            overflow: Cell::new(None),
            changed: Notify::new(),
            drained: Notify::new(),
            discarded_attempts: RefCell::default(),
            attempt_discarded: Notify::new(),
            recheck: Notify::new(),
        }
    }

    /// Returns the state shared by all connections.
    pub fn shared(&self) -> Rc<SharedState> {
        self.shared.clone()
    }

    /// Returns the number of bytes that are queued and not written yet.
    pub fn queued_bytes(&self) -> usize {
        self.bytes.get()
    }

    fn is_for_client(&self) -> bool {
        self.client_share.is_some()
    }

    /// Returns the memory that the queued frames of a client take, in bytes.
    pub fn memory(&self) -> usize {
        self.memory.get()
    }

    fn count_bytes(&self, added: usize, removed: usize) {
        self.bytes.set(self.bytes.get() + added - removed);
    }

    fn count_memory(&self, added: usize, removed: usize) {
        if self.is_for_client() {
            self.memory.set(self.memory.get() + added - removed);
            self.shared.outgoing.update(added, removed);
        }
    }

    /// Counts a frame that has left the queue, of which `unwritten` bytes were not written.
    fn count_removed(&self, frame: &Frame, unwritten: usize) {
        self.count_bytes(0, unwritten);
        self.count_memory(0, frame.memory());
    }

    /// Queues a message. If the queue would exceed its limit, the connection is closed. If all answers together exceed the
    /// memory for them, the connections of clients that do not read theirs are closed.
    pub fn push(&self, frame: Frame, limits: &Limits) {
        if self.is_closing() {
            return;
        }
        let length = frame.len();
        let memory = frame.memory();
        let queued =
            if self.is_for_client() { self.memory.get() + memory } else { self.bytes.get() + length };
        if queued > limits.max_write_queue_bytes {
            self.overflow.set(Some(WriteOverflow::QueueFull));
            if !self.is_for_client() {
                log::warn_rate_limited(
                    "the write queue to an engine exceeds its limit; closing the connection",
                );
            }
            return self.close(CloseMode::Immediately);
        }
        self.count_bytes(length, 0);
        self.count_memory(memory, 0);
        self.frames.borrow_mut().push_back(frame);
        self.changed.notify_one();
        if self.is_for_client() {
            self.shared.outgoing.relieve(self.shared.process_share(limits.memory.outgoing_bytes));
        }
    }

    /// Returns the time from which on the peer has accepted no complete frame, if its socket accepts no more bytes and the
    /// queue is not discarded. A connection that closes once its frames are written may be blocked as well.
    pub(super) fn blocked_since(&self) -> Option<Instant> {
        self.blocked_since.get().filter(|_| self.close_mode.get() != Some(CloseMode::Immediately))
    }

    /// Closes the connection of a client that does not read its answers, and discards them.
    pub(super) fn evict_slow_reader(&self) {
        self.overflow.set(Some(WriteOverflow::MemoryExhausted));
        self.close(CloseMode::Immediately);
        self.blocked_since.set(None);
        self.frames.borrow_mut().clear();
        self.first_frame_written.set(0);
        self.count_bytes(0, self.bytes.get());
        self.count_memory(0, self.memory.get());
    }

    /// Requests the close of the connection. Frames that are pushed afterwards are discarded.
    pub fn close(&self, mode: CloseMode) {
        if self.close_mode.get() != Some(CloseMode::Immediately) {
            self.close_mode.set(Some(mode));
        }
        self.drained.notify_one();
        self.changed.notify_one();
    }

    /// Waits until the queued frames of a client take at most this memory, or the connection closes.
    pub async fn wait_for_memory(&self, max_bytes: usize) {
        while self.memory.get() > max_bytes && !self.is_closing() {
            self.drained.notified().await;
        }
    }

    /// Waits for a request to close immediately. Must not be used while [`write_all`](Self::write_all) runs, as it consumes
    /// the notifications of the writing task.
    pub async fn closed_immediately(&self) {
        while self.close_mode.get() != Some(CloseMode::Immediately) {
            self.changed.notified().await;
        }
    }

    /// Wakes the reading task to check whether the connection stays open.
    pub fn request_recheck(&self) {
        self.recheck.notify_one();
    }

    /// Waits until all frames are written, or for [`request_recheck`](Self::request_recheck).
    pub async fn recheck_requested(&self) {
        self.recheck.notified().await;
    }

    /// Returns the close mode, if a close was requested.
    pub fn close_mode(&self) -> Option<CloseMode> {
        self.close_mode.get()
    }

    /// Returns the reason for which the queue closed the connection, if it did.
    pub fn overflow(&self) -> Option<WriteOverflow> {
        self.overflow.get()
    }

    /// Returns the time for which the socket has accepted no complete frame; zero if it accepts bytes.
    pub fn blocked_for(&self) -> Duration {
        self.blocked_since.get().map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Returns whether a close was requested.
    pub fn is_closing(&self) -> bool {
        self.close_mode.get().is_some()
    }

    /// Returns the number of frames at the front that are partly written and cannot be withdrawn: 0 or 1.
    fn partly_written_frames(&self) -> usize {
        usize::from(self.first_frame_written.get() > 0)
    }

    /// Returns whether frames are queued of which no byte is written.
    pub fn awaits_first_byte(&self) -> bool {
        let has_frames = !self.frames.borrow().is_empty() || self.has_postponed();
        self.first_frame_written.get() == 0 && has_frames
    }

    /// Removes frames that are completely written, and counts them in their metrics.
    fn advance(&self, written: usize) {
        self.count_bytes(0, written);
        let mut frames = self.frames.borrow_mut();
        let mut written = self.first_frame_written.get() + written;
        while let Some(length) = frames.front().map(Frame::len).filter(|length| *length <= written) {
            written -= length;
            self.blocked_since.set(None);
            let Some(frame) = frames.pop_front() else { break };
            self.count_removed(&frame, 0);
            if let Some(counter_key) = frame.counter_key {
                self.shared.metrics.add(counter_key);
            }
        }
        self.first_frame_written.set(written);
        drop(frames);
        self.drained.notify_one();
    }

    /// Writes queued frames until the connection has to be closed.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn write_all(&self, stream: &TcpStream, limits: &Limits) -> io::Result<()> {
        loop {
            if self.close_mode.get() == Some(CloseMode::Immediately) {
                return Ok(());
            }
            self.restore_postponed();
            let begins_attempt = self.may_begin_attempt(limits);
            if begins_attempt && !self.shared.read_barrier.is_fresh() {
                self.shared.read_barrier.pass().await;
                continue;
            }
            self.check_next_frames(limits);
            if self.frames.borrow().is_empty() {
                if self.is_closing() {
                    return Ok(());
                }
                if self.has_postponed() {
                    let _ = timeout(POSTPONED_CHECK_INTERVAL, self.changed.notified()).await;
                    continue;
                }
                self.recheck.notify_one();
                self.changed.notified().await;
                continue;
            }
            if let Some(share) = &self.client_share {
                share.turn().await;
            }
            // The process may have been paused since the check of the barrier.
            if begins_attempt && !self.shared.read_barrier.is_fresh() {
                continue;
            }
            match self.try_write(stream, limits) {
                Ok(written) => self.advance(written),
                Err(error) => match SocketRetry::after(&error) {
                    // Yields, so that repeated interruptions do not block other tasks.
                    Some(SocketRetry::Immediately) => tokio::task::yield_now().await,
                    Some(SocketRetry::WhenReady) => {
                        self.set_blocked();
                        tokio::select! {
                            ready = stream.ready(Interest::WRITABLE) => drop(ready?),
                            () = self.changed.notified() => {}
                        }
                    }
                    None => return Err(error),
                },
            }
        }
    }

    fn set_blocked(&self) {
        let since = self.blocked_since.get().unwrap_or_else(Instant::now);
        self.blocked_since.set(Some(since));
    }

    /// Writes the first frames with one vectored write. Returns the number of bytes written.
    fn try_write(&self, stream: &TcpStream, limits: &Limits) -> io::Result<usize> {
        let frames = self.frames.borrow();
        let mut skip = self.first_frame_written.get();
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
    }
}

impl FlowControl for WriteQueue {
    fn wait_for_capacity(&self, bytes: usize) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(async move {
            while self.bytes.get() > bytes && !self.is_closing() {
                self.drained.notified().await;
            }
        })
    }
}

impl Drop for WriteQueue {
    fn drop(&mut self) {
        self.count_memory(0, self.memory.get());
    }
}
