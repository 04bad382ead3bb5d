//! State of one connection to an engine, and the job that it carries.

use crate::core::{AttemptId, FlowControl};
use crate::limits::Limits;
use crate::net::connection::frame::Frame;
use crate::net::connection::{SharedState, WriteQueue};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What the next response on a connection belongs to.
#[derive(Clone)]
pub(super) enum Job {
    /// An attempt; with the flow control of its client where its result may be streamed.
    Attempt(AttemptId, Option<Rc<dyn FlowControl>>),
    /// A health check.
    HealthCheck(u64),
}

/// One connection to an engine.
pub(super) struct Connection {
    /// The address that it is opened to.
    pub(super) address: SocketAddr,
    /// Its write queue.
    pub(super) write_queue: WriteQueue,
    job: RefCell<Option<Job>>,
    /// Notified when it gets a job.
    pub(super) job_assigned: Notify,
    /// It has ended; the pool forgets it at the next maintenance tick.
    pub(super) closed: Cell<bool>,
    /// It takes no new jobs, and is closed once it has none.
    pub(super) retired: Cell<bool>,
    /// When it last got a job or a response.
    pub(super) last_used: Cell<Instant>,
}

impl Connection {
    /// A connection that is about to be opened.
    pub(super) fn new(address: SocketAddr, shared: Rc<SharedState>) -> Self {
        Self {
            address,
            write_queue: WriteQueue::new(shared),
            job: RefCell::default(),
            job_assigned: Notify::new(),
            closed: Cell::new(false),
            retired: Cell::new(false),
            last_used: Cell::new(Instant::now()),
        }
    }

    /// Gives it a job, whose request is `frame`.
    pub(super) fn assign(&self, job: Job, frame: Frame, limits: &Limits) {
        *self.job.borrow_mut() = Some(job);
        self.last_used.set(Instant::now());
        self.write_queue.push(frame, limits);
        self.job_assigned.notify_one();
    }

    /// Its job. An attempt may be aborted at any time: nobody holds a job over a wait.
    pub(super) fn job(&self) -> Option<Job> {
        self.job.borrow().clone()
    }

    /// Ends its job.
    pub(super) fn end_job(&self) -> Option<Job> {
        self.job.borrow_mut().take()
    }

    /// Whether it has no job.
    pub(super) fn has_no_job(&self) -> bool {
        self.job.borrow().is_none()
    }

    /// Whether it can take a job.
    pub(super) fn is_free(&self) -> bool {
        self.has_no_job() && !self.closed.get() && !self.retired.get() && !self.write_queue.is_closing()
    }

    /// Whether its job is this attempt.
    pub(super) fn carries(&self, id: AttemptId) -> bool {
        matches!(&*self.job.borrow(), Some(Job::Attempt(carried, _)) if *carried == id)
    }

    /// Whether its job is a health check.
    pub(super) fn carries_health_check(&self) -> bool {
        matches!(&*self.job.borrow(), Some(Job::HealthCheck(_)))
    }
}
