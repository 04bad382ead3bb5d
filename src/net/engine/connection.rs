//! One connection to an engine of the platform: the attempts and probes that are open on it, and its age.

use crate::core::{AttemptId, End, Event};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::conn::Outbox;
use crate::net::engine::resp;
use crate::net::engine::results::PartialResult;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

#[derive(Debug)]
pub struct InFlight {
    pub id: AttemptId,
    pub sent_at: Instant,
    pub result: Option<PartialResult>,
}

/// One connection.
pub struct Connection {
    pub address: SocketAddr,
    pub outbox: Outbox,
    /// Since when it is up.
    pub connected_at: Cell<Option<Instant>>,
    pub closed: Cell<bool>,
    /// No new attempts; it closes once it is empty.
    pub retired: Cell<bool>,
    pub in_flight: RefCell<HashMap<String, InFlight>>,
    /// Ids given up here. One is never sent here again: an answer to the old attempt would pass for the new.
    pub retired_ids: RefCell<BTreeSet<String>>,
    /// Probes that are out, and since when.
    pub probes: RefCell<BTreeMap<u64, Instant>>,
    pub last_used: Cell<Instant>,
    /// When anything last came.
    pub last_received: Cell<Instant>,
}

impl Connection {
    pub fn is_idle(&self) -> bool {
        self.in_flight.borrow().is_empty() && self.probes.borrow().is_empty()
    }

    pub fn accepts(&self, limits: &Limits, name: &str) -> bool {
        !self.closed.get()
            && !self.retired.get()
            && !self.outbox.closing()
            && self.in_flight.borrow().len() < limits.streams
            && !self.in_flight.borrow().contains_key(name)
            && !self.retired_ids.borrow().contains(name)
    }

    /// Ends attempts whose further pages do not come: they ran, and the rest of their results is lost.
    pub fn end_stalled_results(&self, limits: &Limits, events: &mut Vec<Event>) {
        let stuck =
            |f: &InFlight| f.result.as_ref().is_some_and(|p| p.last_page_at.elapsed() > limits.engine_silent);
        let names: Vec<_> =
            self.in_flight.borrow().iter().filter(|(_, f)| stuck(f)).map(|(n, _)| n.clone()).collect();
        for name in names {
            let Some(attempt) = self.end_attempt(&name) else { continue };
            self.outbox.push(resp::command(&["shut", &name]), limits);
            self.retired_ids.borrow_mut().insert(name);
            events.push(Event::Ended(attempt.id, End::plain(Outcome::Error)));
        }
    }

    /// What was sent then is waited for no longer. Where nothing has come since, for as long as anything is waited for, this
    /// connection may never speak again, though its engine does on another. One that comes up has its own time for that.
    pub fn retire_if_silent(&self, sent: Instant, least: Duration) {
        let silent =
            |up: Instant| self.last_received.get() <= up.max(sent) && up.max(sent).elapsed() >= least;
        if self.connected_at.get().is_some_and(silent) {
            self.retired.set(true);
        }
    }

    /// Gives up probes that nobody answers.
    pub fn expire_probes(&self, limits: &Limits) {
        self.probes.borrow_mut().retain(|_, since| {
            let over = since.elapsed() >= limits.probe_over;
            if over {
                self.retire_if_silent(*since, limits.probe_over);
            }
            !over
        });
    }

    pub fn end_attempt(&self, name: &str) -> Option<InFlight> {
        self.last_used.set(Instant::now());
        self.in_flight.borrow_mut().remove(name)
    }
}
