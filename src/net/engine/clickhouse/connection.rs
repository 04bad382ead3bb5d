//! State of one connection to a ClickHouse engine, and the job that it carries.

use crate::core::{AttemptId, FlowControl};
use crate::limits::Limits;
use crate::net::connection::frame::Frame;
use crate::net::connection::{SharedState, WriteQueue};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Request that is in flight on a connection, to which the next response belongs.
#[derive(Clone)]
pub(super) enum Job {
    /// An attempt, with the flow control of its client if the result may be streamed.
    Attempt(AttemptId, Option<Rc<dyn FlowControl>>),
    /// A health check, with its tag.
    HealthCheck(u64),
}

/// One connection to a ClickHouse engine.
pub(super) struct Connection {
    /// Address that the connection is opened to.
    pub(super) address: SocketAddr,
    /// Queue of requests to the engine.
    pub(super) write_queue: WriteQueue,
    job: RefCell<Option<Job>>,
    /// Notified when a job is assigned to the connection.
    pub(super) job_assigned: Notify,
    /// Whether the connection has ended. The pool removes it at the next maintenance.
    pub(super) closed: Cell<bool>,
    /// Whether the connection is retired: it accepts no new jobs, and is closed once it has none.
    pub(super) retired: Cell<bool>,
    /// Time at which a job was last assigned or a response last received.
    pub(super) last_used: Cell<Instant>,
}

impl Connection {
    /// Creates the state of a connection that is about to be opened.
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

    /// Assigns a job to the connection and queues its request.
    pub(super) fn assign(&self, job: Job, frame: Frame, limits: &Limits) {
        *self.job.borrow_mut() = Some(job);
        self.last_used.set(Instant::now());
        self.write_queue.push(frame, limits);
        self.job_assigned.notify_one();
    }

    /// Returns the current job. It must be read again after each await, as an attempt may be aborted at any time.
    pub(super) fn job(&self) -> Option<Job> {
        self.job.borrow().clone()
    }

    /// Removes the current job and returns it.
    pub(super) fn end_job(&self) -> Option<Job> {
        self.job.borrow_mut().take()
    }

    /// Returns whether the connection has no job.
    pub(super) fn has_no_job(&self) -> bool {
        self.job.borrow().is_none()
    }

    /// Returns whether a job can be assigned to the connection.
    pub(super) fn is_free(&self) -> bool {
        self.has_no_job() && !self.closed.get() && !self.retired.get() && !self.write_queue.is_closing()
    }

    /// Returns whether the job of the connection is this attempt.
    pub(super) fn carries(&self, id: AttemptId) -> bool {
        matches!(&*self.job.borrow(), Some(Job::Attempt(carried, _)) if *carried == id)
    }

    /// Returns whether the job of the connection is a health check.
    pub(super) fn carries_health_check(&self) -> bool {
        matches!(&*self.job.borrow(), Some(Job::HealthCheck(_)))
    }
}
