//! The decision cycle: the reducer handles the events, the runtime performs the effects that the reducer returns, and events
//! that result from those effects start the next cycle.

use crate::core::{AttemptEnd, AttemptId, Effect, Event};
use crate::interface::{Milliseconds, RequestDetails};
use crate::net::runtime::Runtime;

/// Maximum number of engines that one log line names.
const MAX_LOGGED_ENGINES: usize = 8;

impl Runtime {
    /// Passes events to the reducer and performs its effects, and repeats this until the effects produce no further events.
    pub(super) fn run_decision_cycles(&mut self, events: impl IntoIterator<Item = Event>) {
        let previous_version = self.core.membership_version();
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
        // The cached list is what the next process of this gateway starts from.
        if self.core.membership_version() != previous_version {
            self.log_endpoint_list();
            self.persistence.cache_endpoints(&self.core, &self.frontend.settings);
        }
    }

    /// Logs the endpoint list that has just come into use: its version, its size and some of the draining engines.
    fn log_endpoint_list(&self) {
        let (version, draining) = (self.core.membership_version().unwrap_or(0), self.core.draining());
        let named = draining.iter().take(MAX_LOGGED_ENGINES).collect::<Vec<_>>();
        let (engines, drain) = (self.core.member_counts().0, draining.len());
        tracing::info!("endpoint list: version {version}, {engines} engines, {drain} draining {named:?}");
    }

    /// Runs one cycle: the reducer handles all events and then decides once.
    fn decide(&mut self, events: impl Iterator<Item = Event>, effects: &mut Vec<Effect>) {
        let now = self.frontend.clock.now();
        for event in events.chain([Event::TimersDue, Event::RunDecisionCycle]) {
            trace_event(&event);
            self.before_event(now, &event, effects);
            self.core.handle(now, event, effects);
        }
        self.core.deduct_decision_time(self.frontend.clock.now() - now);
        self.frontend.awaits_endpoint_list.set(self.core.awaits_endpoint_list());
    }

    /// Updates the runtime's own state before the reducer handles an event.
    fn before_event(&mut self, now: Milliseconds, event: &Event, effects: &mut Vec<Effect>) {
        match event {
            Event::EndpointList { .. } => self.list_received = true,
            Event::RequestReceived(request) => {
                self.frontend.request_taken(request);
                if request.statement.key.is_some() {
                    self.read_peer_keys(now, effects);
                }
                if request.statement.identity.is_some() {
                    self.read_peer_requests(now, effects);
                }
            }
            _ => {}
        }
    }

    /// Passes requests to the reducer that other processes have recently sent and that must not run twice.
    fn read_peer_requests(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        let requests = hot_restart.peer_requests(now);
        if !requests.is_empty() {
            self.core.handle(now, Event::PeerRequests(requests), effects);
        }
    }

    /// Passes idempotency keys that other processes have recently sent to the reducer, so that it treats a request with one of
    /// these keys as a repetition.
    fn read_peer_keys(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        let keys = hot_restart.peer_keys(now);
        if !keys.is_empty() {
            self.core.handle(now, Event::PeerKeys(keys), effects);
        }
    }
}

/// Logs an event as one line at level `trace`. With that level disabled, the cost is the check of one flag.
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
