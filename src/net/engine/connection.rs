//! State of one connection to an engine of the platform: attempts and health checks in flight, and times of activity.

use crate::core::{AttemptEnd, AttemptId, Event};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::connection::{SharedState, WorkShare, WriteQueue};
use crate::net::engine::partial_result::PartialResult;
use crate::net::engine::resp;
use crate::net::loop_profile::{Task, TaskKind};
use crate::net::recent_names::RecentNames;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of names of served attempts that a connection remembers.
const MAX_SERVED_NAMES: usize = 256;

/// An attempt that was queued on a connection and has not ended.
#[derive(Debug)]
pub(super) struct InFlight {
    /// Id of the attempt in the reducer.
    pub id: AttemptId,
    /// Time at which the attempt was queued on the connection.
    pub sent_at: Instant,
    /// Pages of the result, once the first of them has arrived.
    pub result: Option<PartialResult>,
}

impl InFlight {
    /// Creates the record of an attempt that is queued now.
    pub(super) fn new(id: AttemptId) -> Self {
        Self { id, sent_at: Instant::now(), result: None }
    }

    /// Returns whether a part of the result has arrived, and no page within the stall timeout.
    fn is_stalled(&self, limits: &Limits) -> bool {
        self.result
            .as_ref()
            .is_some_and(|result| result.last_page_at().elapsed() > limits.engine_stall_timeout)
    }
}

/// One connection to an engine.
pub(super) struct Connection {
    /// Address that the connection is opened to.
    pub address: SocketAddr,
    /// Share of the task that drives the connection in the event loop.
    pub share: Rc<WorkShare>,
    /// Queue of commands to the engine.
    pub write_queue: WriteQueue,
    /// Time at which the connection was established; `None` while it is being opened.
    pub connected_at: Cell<Option<Instant>>,
    /// Whether the connection has ended. The pool removes it at the next maintenance.
    pub closed: Cell<bool>,
    /// Whether the connection is retired: it accepts no new attempts, and is closed once nothing is in flight on it.
    pub retired: Cell<bool>,
    /// Attempts in flight, by the names of their requests.
    pub in_flight: RefCell<HashMap<String, InFlight>>,
    /// Names of attempts that were cancelled or failed on this connection. Attempts with these names are not sent on it
    /// again, as a late reply to the earlier attempt would be taken for a reply to the new one.
    pub retired_names: RefCell<BTreeSet<String>>,
    /// Names of the attempts that were served last. A second copy of a reply has one of these names.
    served_names: RefCell<RecentNames>,
    /// Health checks without a reply: the times at which they were queued, by tag.
    pub health_checks: RefCell<BTreeMap<u64, Instant>>,
    /// Time at which an attempt was last queued or ended, or a health check last answered.
    pub last_used: Cell<Instant>,
    /// Time at which bytes last arrived.
    pub last_received: Cell<Instant>,
}

impl Connection {
    /// Creates the state of a connection that is about to be opened.
    pub(super) fn new(address: SocketAddr, shared: Rc<SharedState>) -> Self {
        Self {
            address,
            share: shared.scheduler.unlimited(Task::of_peer(TaskKind::Engine, address)),
            write_queue: WriteQueue::new(shared),
            connected_at: Cell::new(None),
            closed: Cell::new(false),
            retired: Cell::new(false),
            in_flight: RefCell::default(),
            retired_names: RefCell::default(),
            served_names: RefCell::new(RecentNames::new(MAX_SERVED_NAMES)),
            health_checks: RefCell::default(),
            last_used: Cell::new(Instant::now()),
            last_received: Cell::new(Instant::now()),
        }
    }

    /// Returns whether neither an attempt nor a health check is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.borrow().is_empty() && self.health_checks.borrow().is_empty()
    }

    /// Returns whether an attempt with this name may be sent on the connection.
    pub(super) fn accepts(&self, limits: &Limits, name: &str) -> bool {
        !self.closed.get()
            && !self.retired.get()
            && !self.write_queue.is_closing()
            && self.in_flight_count() < limits.max_attempts_per_connection
            && !self.in_flight.borrow().contains_key(name)
            && !self.retired_names.borrow().contains(name)
    }

    /// Returns whether an attempt with this name was recently served on the connection.
    pub(super) fn has_served(&self, name: &str) -> bool {
        self.served_names.borrow().contains(name)
    }

    /// Records that an attempt with this name was served.
    pub(super) fn set_served(&self, name: &str) {
        self.served_names.borrow_mut().insert(name);
    }

    /// Returns the number of attempts in flight.
    pub(super) fn in_flight_count(&self) -> usize {
        self.in_flight.borrow().len()
    }

    /// Returns whether the attempt `id` is in flight on this connection under this name.
    pub(super) fn has_in_flight(&self, id: AttemptId, name: &str) -> bool {
        self.in_flight.borrow().get(name).is_some_and(|attempt| attempt.id == id)
    }

    /// Removes an attempt that has ended, and returns it.
    pub(super) fn end_attempt(&self, name: &str) -> Option<InFlight> {
        self.last_used.set(Instant::now());
        self.in_flight.borrow_mut().remove(name)
    }

    /// Prevents further attempts with this name on the connection, as a late or duplicate reply to the ended attempt would be
    /// taken for a reply to the next one. A connection with more than `event_queue_capacity` such names is retired.
    pub(super) fn retire_name(&self, name: String, limits: &Limits) {
        let mut retired_names = self.retired_names.borrow_mut();
        retired_names.insert(name);
        if retired_names.len() > limits.event_queue_capacity {
            self.retired.set(true);
        }
    }

    /// Removes an attempt by its id.
    pub(super) fn remove_attempt(&self, id: AttemptId) {
        self.in_flight.borrow_mut().retain(|_, attempt| attempt.id != id);
    }

    /// Withdraws the attempts of which no byte has been written, and returns their ids.
    pub(super) fn withdraw_unsent(&self) -> Vec<AttemptId> {
        let mut withdrawn = self.write_queue.unsent_attempts();
        withdrawn.retain(|id| self.write_queue.withdraw(*id));
        withdrawn.iter().for_each(|id| self.remove_attempt(*id));
        withdrawn
    }

    /// Ends attempts whose results have stopped arriving, with an error, as they were executed.
    pub(super) fn end_stalled_results(&self, limits: &Limits, events: &mut Vec<Event>) {
        for name in self.stalled_names(limits) {
            events.extend(self.abort_result(name, limits));
        }
    }

    /// Ends an attempt of whose result a part has arrived, with an error, as it was executed.
    pub(super) fn abort_result(&self, name: String, limits: &Limits) -> Option<Event> {
        let attempt = self.end_attempt(&name)?;
        self.write_queue.push(resp::command(&["shut", &name]), limits);
        self.retire_name(name, limits);
        Some(Event::AttemptEnded(attempt.id, AttemptEnd::from_outcome(Outcome::Error)))
    }

    fn stalled_names(&self, limits: &Limits) -> Vec<String> {
        let in_flight = self.in_flight.borrow();
        let stalled = in_flight.iter().filter(|(_, attempt)| attempt.is_stalled(limits));
        stalled.map(|(name, _)| name.clone()).collect()
    }

    /// Removes health checks that have had no reply within the timeout, and retires the connection if it is silent.
    pub(super) fn expire_health_checks(&self, limits: &Limits) {
        self.health_checks.borrow_mut().retain(|_, sent_at| {
            let expired = sent_at.elapsed() >= limits.health_check_connection_timeout;
            if expired {
                self.retire_if_silent(*sent_at, limits.health_check_connection_timeout);
            }
            !expired
        });
    }

    /// Retires the connection if no byte has arrived since a message was sent, and this was at least `silence` ago: the
    /// connection may have failed although the engine responds on others. Time before the connection was established is
    /// not counted.
    pub(super) fn retire_if_silent(&self, sent_at: Instant, silence: Duration) {
        let Some(connected_at) = self.connected_at.get() else { return };
        let silent_since = connected_at.max(sent_at);
        if self.last_received.get() <= silent_since && silent_since.elapsed() >= silence {
            self.retired.set(true);
        }
    }
}
