//! The decision cycle: events go to the reducer, its effects are performed, and the events that arise from them start the
//! next cycle.

use crate::core::{AttemptEnd, AttemptId, Effect, Event};
use crate::interface::{Milliseconds, RequestDetails};
use crate::net::runtime::Runtime;

/// Engines that a line of the log names at most.
const MAX_LOGGED_ENGINES: usize = 8;

impl Runtime {
    /// Hands events to the reducer and performs its effects, until no further events arise from them.
    pub(super) fn run_decision_cycles(&mut self, events: impl IntoIterator<Item = Event>) {
        let serial = self.core.membership_version();
        let mut effects = Vec::new();
        let mut new_events: Vec<Event> = events.into_iter().collect();
        loop {
            self.decide(new_events.drain(..), &mut effects);
            for effect in effects.drain(..) {
                self.perform(effect, &mut new_events);
            }
            if new_events.is_empty() {
                break;
            }
        }
        // The next process starts from the endpoint list that this one received last.
        if self.core.membership_version() != serial {
            self.log_members();
            self.persistence.cache_endpoints(&self.core, &self.frontend.settings);
        }
    }

    /// Logs the endpoint list that is used from now on.
    fn log_members(&self) {
        let (version, draining) = (self.core.membership_version().unwrap_or(0), self.core.draining());
        let named = draining.iter().take(MAX_LOGGED_ENGINES).collect::<Vec<_>>();
        let (engines, drain) = (self.core.engines().0, draining.len());
        tracing::info!("list of engines: version {version}, {engines} engines, {drain} drain {named:?}");
    }

    /// One cycle: the reducer takes the events, and decides once.
    fn decide(&mut self, events: impl Iterator<Item = Event>, effects: &mut Vec<Effect>) {
        let now = self.frontend.clock.now();
        for event in events.chain([Event::TimersDue, Event::RunDecisionCycle]) {
            trace_event(&event);
            self.prepare(now, &event, effects);
            self.core.handle(now, event, effects);
        }
        self.core.deduct_decision_time(self.frontend.clock.now() - now);
        self.frontend.awaits_endpoint_list.set(self.core.awaits_endpoint_list());
    }

    /// Does what has to be done before the reducer takes an event.
    fn prepare(&mut self, now: Milliseconds, event: &Event, effects: &mut Vec<Effect>) {
        match event {
            Event::EndpointList { .. } => self.list_received = true,
            Event::RequestReceived(request) if request.statement.key.is_some() => {
                self.read_peer_keys(now, effects);
            }
            _ => {}
        }
    }

    /// Passes the keys that other processes have just sent to the reducer: a request with one of them is a repetition.
    fn read_peer_keys(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        let keys = hot_restart.peer_keys(now);
        if !keys.is_empty() {
            self.core.handle(now, Event::PeerKeys(keys), effects);
        }
    }
}

/// Logs an event in one line at the level `trace`; where that is off, it costs a test of one flag.
fn trace_event(event: &Event) {
    match event {
        Event::AttemptEnded(AttemptId { request, number: attempt }, end) => {
            let AttemptEnd { outcome, work, report, .. } = end;
            tracing::trace!(request = request.0, attempt, ?outcome, ?work, ?report, "attempt ended");
        }
        Event::HealthChecked { number: tag, succeeded: ok, report } => {
            tracing::trace!(tag, ok, ?report, "health checked");
        }
        Event::EndpointList { version, endpoints } => {
            tracing::trace!(version, engines = endpoints.len(), "endpoint list received");
        }
        Event::RequestReceived(request) => {
            let RequestDetails { id, class, work, .. } = &request.details;
            tracing::trace!(request = id.0, class = class.0, ?work, "request received");
        }
        Event::ClientDisconnected(id) => tracing::trace!(request = id.0, "client disconnected"),
        _ => {}
    }
}
