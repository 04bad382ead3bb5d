//! Coordination with other processes of this gateway: when this process may listen, and when it hands over to a later one.

use crate::core::Event;
use crate::net::front::ShutdownPhase;
use crate::net::log;
use crate::net::runtime::Runtime;
use starlingplank_admin::process_lifecycle::{self, Readiness, Stage};
use std::time::Duration;

impl Runtime {
    /// Whether this process may start listening for clients after waiting for the endpoint list for the time `waited`.
    pub(super) fn may_listen(&self, waited: Duration) -> bool {
        let Some(hot_restart) = &self.hot_restart else { return true };
        process_lifecycle::may_listen(
            hot_restart.incarnation(),
            &hot_restart.peers(),
            Readiness {
                list_received: self.list_received,
                knows_engines: !self.core.awaits_endpoint_list(),
                waited,
            },
        )
    }

    /// Publishes the stage of this process to the other processes of this gateway. A failure is retried at the next poll.
    pub(super) fn publish_stage(&self, stage: Stage) {
        let Some(hot_restart) = &self.hot_restart else { return };
        let published = hot_restart.publish_stage(stage);
        self.unpublished_stage.set(published.is_err().then_some(stage));
        if let Err(e) = published {
            log::error_rate_limited("the stage of this process cannot be published to the other processes; retrying at the next poll", e);
        }
    }

    /// Polls the other processes of this gateway: passes state to waiting successors, begins to hand over once a successor
    /// listens, and returns the resulting events.
    pub(super) fn observe_peers(&mut self) -> Vec<Event> {
        let now = self.frontend.clock.now();
        if let Some(stage) = self.unpublished_stage.get() {
            self.publish_stage(stage);
        }
        let Some(hot_restart) = &mut self.hot_restart else { return Vec::new() };
        let observation = hot_restart.observe(now);
        for successor in observation.waiting_successors {
            hot_restart.pass_state_to(successor, &self.config.name, &self.core, now, &self.frontend.limits);
        }
        let (incarnation, peers) = (hot_restart.incarnation(), hot_restart.peers());
        let mut events = Vec::new();
        events.extend(observation.overrides.map(Event::OperatorOverrides));
        if !observation.keys.is_empty() {
            events.push(Event::PeerKeys(observation.keys));
        }
        if !observation.requests.is_empty() {
            events.push(Event::PeerRequests(observation.requests));
        }
        self.update_process_count(process_lifecycle::process_count(&peers), &mut events);
        if self.frontend.shutdown_phase() == ShutdownPhase::Draining
            && process_lifecycle::successor_listens(incarnation, &peers)
        {
            self.begin_hot_restart(&mut events);
        }
        events
    }

    /// Updates the number of running processes of this gateway, which share the limits of one process.
    fn update_process_count(&self, processes: usize, events: &mut Vec<Event>) {
        if self.frontend.shared.process_count.replace(processes) != processes {
            events.push(Event::ProcessCount(processes));
        }
    }

    /// Begins to hand over to a later process: each client connection closes after its next answer.
    fn begin_hot_restart(&self, events: &mut Vec<Event>) {
        tracing::info!(
            "a successor process listens: answering open requests, new connections are left to it"
        );
        self.frontend.enter_shutdown_phase(ShutdownPhase::HandingOver);
        self.publish_stage(Stage::Draining);
        events.push(Event::SuccessorListening);
    }
}
