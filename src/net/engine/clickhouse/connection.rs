//! State of one connection to a ClickHouse engine, and the job that it carries.

use crate::core::{AttemptId, FlowControl};
use crate::limits::Limits;
use crate::net::connection::frame::Frame;
use crate::net::connection::{SharedState, WorkShare, WriteQueue};
use crate::net::loop_profile::{Task, TaskKind};
use crate::net::recent_names::RecentNames;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum number of query ids that a connection remembers.
const MAX_RECENT_QUERY_IDS: usize = 256;
/// Time for which nothing should arrive after a response without a query id before the connection is used again: a copy of the
/// response could not be distinguished from the next one.
const SETTLE_TIME_WITHOUT_QUERY_ID: Duration = Duration::from_millis(100);

/// Request that is in flight on a connection.
#[derive(Clone)]
pub(super) enum Job {
    /// An attempt.
    Attempt(AttemptJob),
    /// A health check, with its tag.
    HealthCheck(u64),
}

/// Attempt that is in flight on a connection.
#[derive(Clone)]
pub(super) struct AttemptJob {
    /// Id of the attempt in the reducer.
    pub(super) id: AttemptId,
    /// Query id that the response has to repeat.
    pub(super) query_id: Rc<str>,
    /// Flow control of the client, if the result may be streamed.
    pub(super) flow: Option<Rc<dyn FlowControl>>,
}

impl Job {
    /// Returns the query id of an attempt.
    pub(super) fn query_id(&self) -> Option<&str> {
        match self {
            Self::Attempt(attempt) => Some(&attempt.query_id),
            Self::HealthCheck(_) => None,
        }
    }
}

/// One connection to a ClickHouse engine.
pub(super) struct Connection {
    /// Address that the connection is opened to.
    pub(super) address: SocketAddr,
    /// Share of the task that drives the connection in the event loop.
    pub(super) share: Rc<WorkShare>,
    /// Queue of requests to the engine.
    pub(super) write_queue: WriteQueue,
    job: RefCell<Option<Job>>,
    /// Query ids of the last attempts on the connection. A second copy of a response repeats one of them.
    recent_query_ids: RefCell<RecentNames>,
    /// Time at which the connection is settled after a response without a query id: no copy of the response is expected any more.
    settled_at: Cell<Option<Instant>>,
    /// Whether the last response of the engine to an attempt had a query id; shared by its connections.
    pub(super) names_requests: Rc<Cell<bool>>,
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
    pub(super) fn new(address: SocketAddr, shared: Rc<SharedState>, names_requests: Rc<Cell<bool>>) -> Self {
        Self {
            address,
            share: shared.scheduler.unlimited(Task::of_peer(TaskKind::Engine, address)),
            write_queue: WriteQueue::new(shared),
            job: RefCell::default(),
            recent_query_ids: RefCell::new(RecentNames::new(MAX_RECENT_QUERY_IDS)),
            settled_at: Cell::new(None),
            names_requests,
            job_assigned: Notify::new(),
            closed: Cell::new(false),
            retired: Cell::new(false),
            last_used: Cell::new(Instant::now()),
        }
    }

    /// Assigns a job to the connection and queues its request.
    pub(super) fn assign(&self, job: Job, frame: Frame, limits: &Limits) {
        if let Some(query_id) = job.query_id() {
            self.recent_query_ids.borrow_mut().insert(query_id);
        }
        *self.job.borrow_mut() = Some(job);
        self.last_used.set(Instant::now());
        self.write_queue.push(frame, limits);
        self.job_assigned.notify_one();
    }

    /// Returns the current job. It must be read again after each await, as an attempt may be aborted at any time.
    pub(super) fn job(&self) -> Option<Job> {
        self.job.borrow().clone()
    }

    /// Returns whether the last response had a query id, or nothing has arrived for a while since.
    pub(super) fn is_settled(&self) -> bool {
        self.settled_at.get().is_none_or(|until| until <= Instant::now())
    }

    /// Returns whether an attempt with the query id of this job was recently sent on the connection.
    pub(super) fn has_carried(&self, job: &Job) -> bool {
        job.query_id().is_some_and(|id| self.recent_query_ids.borrow().contains(id))
    }

    /// Records that the response to a job was received, and whether it had a query id.
    pub(super) fn set_answered(&self, has_query_id: bool) {
        let now = Instant::now();
        self.last_used.set(now);
        self.settled_at.set((!has_query_id).then(|| now + SETTLE_TIME_WITHOUT_QUERY_ID));
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
        matches!(&*self.job.borrow(), Some(Job::Attempt(attempt)) if attempt.id == id)
    }

    /// Returns whether the job of the connection is a health check.
    pub(super) fn carries_health_check(&self) -> bool {
        matches!(&*self.job.borrow(), Some(Job::HealthCheck(_)))
    }
}
