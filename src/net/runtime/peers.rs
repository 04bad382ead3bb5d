//! Other processes of this gateway: when this one may listen, and when it hands over to a newer one.

use crate::core::Event;
use crate::net::front::Leaving;
use crate::net::log;
use crate::net::runtime::Runtime;
use starlingplank_admin::lives::{self, Stage};
use std::time::Duration;

impl Runtime {
    /// Whether it may begin to listen to clients.
    pub fn may_listen(&self, waited: Duration) -> bool {
        let Some(handover) = &self.handover else { return true };
        lives::may_listen(
            handover.own(),
            &handover.others(),
            self.list_received,
            !self.core.awaits_list(),
            waited,
        )
    }

    /// Tells other processes of this gateway how far this one is. Where that fails it is tried again with the next look at
    /// them.
    pub fn publish_stage(&self, stage: Stage) {
        let Some(handover) = &self.handover else { return };
        let said = handover.say(stage);
        self.unpublished.set(said.is_err().then_some(stage));
        if let Err(e) = said {
            log::seldom_error("other versions cannot see how far this one is", e);
        }
    }

    /// Looks at what other processes of this gateway do, and acts on it.
    pub fn observe_peers(&mut self) -> Vec<Event> {
        let now = self.desk.clock.now();
        if let Some(stage) = self.unpublished.get() {
            self.publish_stage(stage);
        }
        let Some(handover) = &mut self.handover else { return Vec::new() };
        let seen = handover.look(now);
        for newcomer in seen.newcomers {
            handover.pass_on(newcomer, &self.config.name, &self.core, now, &self.desk.limits);
        }
        let (own, others) = (handover.own(), handover.others());
        let mut events = Vec::new();
        events.extend(seen.hand.map(Event::OperatorOverrides));
        if !seen.keys.is_empty() {
            events.push(Event::PeerKeys(seen.keys));
        }
        self.share_limits(lives::processes(&others), &mut events);
        if self.desk.leaving() == Leaving::Alone && lives::hands_over(own, &others) {
            self.hand_over(&mut events);
        }
        events
    }

    /// Divides what one process may use among all processes of this gateway.
    fn share_limits(&self, processes: usize, events: &mut Vec<Event>) {
        if self.desk.common.processes.replace(processes) != processes {
            events.push(Event::ProcessCount(processes));
        }
    }

    /// Begins to hand over to a newer process: each connection ends after its next answer.
    fn hand_over(&self, events: &mut Vec<Event>) {
        tracing::info!("a new version listens: what is open is answered, and the rest is for it");
        self.desk.leave_by(Leaving::AfterAnswer);
        self.publish_stage(Stage::Leaving);
        events.push(Event::SuccessorListens);
    }
}
