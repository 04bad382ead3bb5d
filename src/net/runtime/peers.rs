//! Other processes of this gateway: when this process may listen, and when it hands over to a newer one.

use crate::core::Event;
use crate::net::front::ShutdownPhase;
use crate::net::log;
use crate::net::runtime::Runtime;
use starlingplank_admin::process_lifecycle::{self, Readiness, Stage};
use std::time::Duration;

impl Runtime {
    /// Whether it may begin to listen to clients.
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

    /// Publishes the stage of this process to the others of this gateway. A failure is retried at the next poll.
    pub(super) fn publish_stage(&self, stage: Stage) {
        let Some(hot_restart) = &self.hot_restart else { return };
        let published = hot_restart.publish_stage(stage);
        self.unpublished.set(published.is_err().then_some(stage));
        if let Err(e) = published {
            log::error_rate_limited("other versions cannot see how far this one is", e);
        }
    }

    /// Polls the other processes of this gateway, and acts on what they do.
    pub(super) fn observe_peers(&mut self) -> Vec<Event> {
        let now = self.frontend.clock.now();
        if let Some(stage) = self.unpublished.get() {
            self.publish_stage(stage);
        }
        let Some(hot_restart) = &mut self.hot_restart else { return Vec::new() };
        let seen = hot_restart.observe(now);
        for newcomer in seen.waiting_successors {
            hot_restart.pass_state_to(newcomer, &self.config.name, &self.core, now, &self.frontend.limits);
        }
        let (own, others) = (hot_restart.incarnation(), hot_restart.peers());
        let mut events = Vec::new();
        events.extend(seen.overrides.map(Event::OperatorOverrides));
        if !seen.keys.is_empty() {
            events.push(Event::PeerKeys(seen.keys));
        }
        self.share_limits(process_lifecycle::process_count(&others), &mut events);
        if self.frontend.shutdown_phase() == ShutdownPhase::Draining
            && process_lifecycle::successor_listens(own, &others)
        {
            self.begin_hot_restart(&mut events);
        }
        events
    }

    /// Divides the limits of one process among all processes of this gateway.
    fn share_limits(&self, processes: usize, events: &mut Vec<Event>) {
        if self.frontend.shared.process_count.replace(processes) != processes {
            events.push(Event::ProcessCount(processes));
        }
    }

    /// Begins to hand over to a newer process: each connection closes after its next answer.
    fn begin_hot_restart(&self, events: &mut Vec<Event>) {
        tracing::info!("a new version listens: what is open is answered, and the rest is for it");
        self.frontend.enter_shutdown_phase(ShutdownPhase::HandingOver);
        self.publish_stage(Stage::Draining);
        events.push(Event::SuccessorListens);
    }
}
