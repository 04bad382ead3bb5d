//! One connection to an engine of the platform: the attempts and probes that are open on it, and its age.

use crate::core::{AttemptId, End, Event};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::conn::Outbox;
use crate::net::engine::resp;
use crate::net::engine::results::Pages;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

#[derive(Debug)]
pub struct Flight {
    pub id: AttemptId,
    pub since: Instant,
    pub pages: Option<Pages>,
}

/// One connection.
pub struct Conn {
    pub address: SocketAddr,
    pub out: Outbox,
    /// Since when it is up.
    pub up: Cell<Option<Instant>>,
    pub dead: Cell<bool>,
    /// No new attempts; it closes once it is empty.
    pub retired: Cell<bool>,
    pub flights: RefCell<HashMap<String, Flight>>,
    /// Ids given up here. One is never sent here again: an answer to the old attempt would pass for the new.
    pub spent: RefCell<BTreeSet<String>>,
    /// Probes that are out, and since when.
    pub probes: RefCell<BTreeMap<u64, Instant>>,
    pub used: Cell<Instant>,
    /// When anything last came.
    pub heard: Cell<Instant>,
}

impl Conn {
    pub fn empty(&self) -> bool {
        self.flights.borrow().is_empty() && self.probes.borrow().is_empty()
    }

    pub fn takes(&self, limits: &Limits, name: &str) -> bool {
        !self.dead.get()
            && !self.retired.get()
            && !self.out.closing()
            && self.flights.borrow().len() < limits.streams
            && !self.flights.borrow().contains_key(name)
            && !self.spent.borrow().contains(name)
    }

    /// Ends attempts whose further pages do not come: they ran, and the rest of their results is lost.
    pub fn drop_stuck(&self, limits: &Limits, events: &mut Vec<Event>) {
        let stuck = |f: &Flight| f.pages.as_ref().is_some_and(|p| p.since.elapsed() > limits.engine_silent);
        let names: Vec<_> =
            self.flights.borrow().iter().filter(|(_, f)| stuck(f)).map(|(n, _)| n.clone()).collect();
        for name in names {
            let Some(flight) = self.end(&name) else { continue };
            self.out.push(resp::say(&["shut", &name]), limits);
            self.spent.borrow_mut().insert(name);
            events.push(Event::Ended(flight.id, End::plain(Outcome::Error)));
        }
    }

    /// What was sent then is waited for no longer. Where nothing has come since, for as long as anything is waited for, this
    /// connection may never speak again, though its engine does on another. One that comes up has its own time for that.
    pub fn doubt(&self, sent: Instant, least: Duration) {
        let silent = |up: Instant| self.heard.get() <= up.max(sent) && up.max(sent).elapsed() >= least;
        if self.up.get().is_some_and(silent) {
            self.retired.set(true);
        }
    }

    /// Gives up probes that nobody answers.
    pub fn drop_probes(&self, limits: &Limits) {
        self.probes.borrow_mut().retain(|_, since| {
            let over = since.elapsed() >= limits.probe_over;
            if over {
                self.doubt(*since, limits.probe_over);
            }
            !over
        });
    }

    pub fn end(&self, name: &str) -> Option<Flight> {
        self.used.set(Instant::now());
        self.flights.borrow_mut().remove(name)
    }
}
