//! State of one connection to an engine of the platform: what is in flight on it, and when it was last active.

use crate::core::{AttemptEnd, AttemptId, Event};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::connection::{SharedState, WriteQueue};
use crate::net::engine::partial_result::PartialResult;
use crate::net::engine::resp;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// An attempt that was handed to a connection and has not ended.
#[derive(Debug)]
pub(super) struct InFlight {
    /// The reducer's id of the attempt.
    pub id: AttemptId,
    /// When it was handed to the connection.
    pub sent_at: Instant,
    /// The pages of its result, once the first of them has arrived.
    pub result: Option<PartialResult>,
}

impl InFlight {
    /// An attempt that is sent now.
    pub(super) fn new(id: AttemptId) -> Self {
        Self { id, sent_at: Instant::now(), result: None }
    }

    /// Whether its result has begun to arrive and then stopped.
    fn is_stalled(&self, limits: &Limits) -> bool {
        self.result
            .as_ref()
            .is_some_and(|result| result.last_page_at().elapsed() > limits.engine_stall_timeout)
    }
}

/// One connection to an engine.
pub(super) struct Connection {
    /// The address that it was opened to.
    pub address: SocketAddr,
    /// Its write queue.
    pub write_queue: WriteQueue,
    /// When it was established; none: it is being opened.
    pub connected_at: Cell<Option<Instant>>,
    /// It has ended; the pool forgets it at the next maintenance tick.
    pub closed: Cell<bool>,
    /// It takes no new attempts, and is closed once nothing is open on it.
    pub retired: Cell<bool>,
    /// Attempts in flight, by the names of their statements.
    pub in_flight: RefCell<HashMap<String, InFlight>>,
    /// Names of attempts that were cancelled on this connection. None of them is sent here again: a late reply to the
    /// cancelled attempt would be taken for a reply to the new one.
    pub retired_names: RefCell<BTreeSet<String>>,
    /// Health checks without a reply, and when they were sent.
    pub health_checks: RefCell<BTreeMap<u64, Instant>>,
    /// When something was last sent or ended on it.
    pub last_used: Cell<Instant>,
    /// When bytes last arrived.
    pub last_received: Cell<Instant>,
}

impl Connection {
    /// A connection that is about to be opened.
    pub(super) fn new(address: SocketAddr, shared: Rc<SharedState>) -> Self {
        Self {
            address,
            write_queue: WriteQueue::new(shared),
            connected_at: Cell::new(None),
            closed: Cell::new(false),
            retired: Cell::new(false),
            in_flight: RefCell::default(),
            retired_names: RefCell::default(),
            health_checks: RefCell::default(),
            last_used: Cell::new(Instant::now()),
            last_received: Cell::new(Instant::now()),
        }
    }

    /// Whether nothing is open on it.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.borrow().is_empty() && self.health_checks.borrow().is_empty()
    }

    /// Whether it can take an attempt of that name.
    pub(super) fn accepts(&self, limits: &Limits, name: &str) -> bool {
        !self.closed.get()
            && !self.retired.get()
            && !self.write_queue.is_closing()
            && self.in_flight_count() < limits.max_attempts_per_connection
            && !self.in_flight.borrow().contains_key(name)
            && !self.retired_names.borrow().contains(name)
    }

    /// How many attempts are in flight.
    pub(super) fn in_flight_count(&self) -> usize {
        self.in_flight.borrow().len()
    }

    /// Whether the attempt of that name that is in flight here is this one.
    pub(super) fn has_in_flight(&self, id: AttemptId, name: &str) -> bool {
        self.in_flight.borrow().get(name).is_some_and(|attempt| attempt.id == id)
    }

    /// Removes an attempt that ends.
    pub(super) fn end_attempt(&self, name: &str) -> Option<InFlight> {
        self.last_used.set(Instant::now());
        self.in_flight.borrow_mut().remove(name)
    }

    /// Lets no further attempt of that name use this connection: a late or repeated reply to the one that has ended would
    /// pass for a reply to the next. A connection that has collected very many such names takes no more attempts.
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

    /// Withdraws the attempts none of whose bytes has left, and returns their ids.
    pub(super) fn withdraw_unsent(&self) -> Vec<AttemptId> {
        let mut withdrawn = self.write_queue.unsent_attempts();
        withdrawn.retain(|id| self.write_queue.withdraw(*id));
        withdrawn.iter().for_each(|id| self.remove_attempt(*id));
        withdrawn
    }

    /// Ends attempts whose results have stopped arriving. They were executed, and the rest of their results is lost.
    pub(super) fn end_stalled_results(&self, limits: &Limits, events: &mut Vec<Event>) {
        for name in self.stalled_names(limits) {
            let Some(attempt) = self.end_attempt(&name) else { continue };
            self.write_queue.push(resp::command(&["shut", &name]), limits);
            self.retire_name(name, limits);
            events.push(Event::AttemptEnded(attempt.id, AttemptEnd::from_outcome(Outcome::Error)));
        }
    }

    fn stalled_names(&self, limits: &Limits) -> Vec<String> {
        let in_flight = self.in_flight.borrow();
        let stalled = in_flight.iter().filter(|(_, attempt)| attempt.is_stalled(limits));
        stalled.map(|(name, _)| name.clone()).collect()
    }

    /// Ends the wait for health checks that have had no reply for too long.
    pub(super) fn expire_health_checks(&self, limits: &Limits) {
        self.health_checks.borrow_mut().retain(|_, sent_at| {
            let expired = sent_at.elapsed() >= limits.health_check_connection_timeout;
            if expired {
                self.retire_if_silent(*sent_at, limits.health_check_connection_timeout);
            }
            !expired
        });
    }

    /// Retires the connection if no byte has arrived since a message was sent, for at least `silence`: it may be dead
    /// although its engine answers on others. The time before the connection was established does not count.
    pub(super) fn retire_if_silent(&self, sent_at: Instant, silence: Duration) {
        let Some(connected_at) = self.connected_at.get() else { return };
        let silent_since = connected_at.max(sent_at);
        if self.last_received.get() <= silent_since && silent_since.elapsed() >= silence {
            self.retired.set(true);
        }
    }
}
