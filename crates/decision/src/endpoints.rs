//! Updates of the endpoint list: engines that join, restart, drain and leave.

use crate::balancer::Balancer;
use crate::interface::Action;
use crate::outlier_ejection::RECOVERY_RAMP;
use crate::state::Engine;
use crate::types::{Availability, Member, Milliseconds};

/// Mean delay of a new subscription after a failure, as a share of the maximum poll interval: short enough that the
/// list does not expire meanwhile.
const RESUBSCRIBE_SHARE: f64 = 1.0 / 8.0;

impl Balancer {
    /// Applies the endpoint list, or changes of it. Engines that a complete list does not contain are marked as
    /// removed.
    pub(crate) fn learn_members(&mut self, complete: bool, members: &[Member]) {
        if complete {
            for engine in self.engines.values_mut() {
                engine.member.availability = Availability::Removed;
            }
        }
        for member in members {
            self.learn_member(member);
        }
        self.aperture.update(&mut self.engines, self.fleet.share, true);
    }

    fn learn_member(&mut self, member: &Member) {
        let machine_types = &self.settings.machine_types;
        let machine_type = member
            .machine_type
            .and_then(|machine_type| machine_types.get(machine_type.0))
            .unwrap_or(&machine_types[0]);
        let (now, rng) = (self.now, &mut self.rng);
        let unknown_engine = || Engine::new(member.clone(), machine_type, now, rng.f64());
        let engine = self.engines.entry(member.engine.clone()).or_insert_with(unknown_engine);
        if let Some(started_at) = new_start(engine, member, now) {
            engine.restart(started_at);
        }
        engine.member = member.clone();
        engine.cores = machine_type.cores;
        engine.memory_mb = machine_type.memory_mb.max(1.0);
    }

    /// Schedules a new subscription after a failure. The delay is randomised so that gateways do not all subscribe at
    /// the same time.
    pub(crate) fn schedule_resubscription(&mut self) {
        let draw = 0.5 + self.rng.f64();
        let delay = draw * self.settings.max_poll_interval * RESUBSCRIBE_SHARE;
        self.subscribe_at = Some(self.now + delay);
    }

    /// Subscribes to the endpoint list at the start of the gateway and after a failure, when the scheduled time is
    /// reached.
    pub(crate) fn subscribe_if_due(&mut self, actions: &mut Vec<Action>) {
        if self.subscribe_at.is_some_and(|at| self.now >= at) {
            self.subscribe_at = None;
            actions.push(Action::SubscribeToEndpoints);
        }
    }

    /// Discards engines that were removed, have no attempt in flight, and have been silent for so long that none of
    /// their learned state would still apply if they joined again.
    pub(crate) fn discard_removed_engines(&mut self) {
        let silent_since = self.now - self.settings.slow_start_duration - RECOVERY_RAMP;
        self.engines.retain(|_, engine| {
            let is_removed =
                engine.member.availability == Availability::Removed && engine.load.in_flight <= 0.0;
            !is_removed || engine.last_answer_at.max(engine.checked_at) > silent_since
        });
    }
}

/// Returns the time at which the engine's process started, if the list states a new start that is later than the
/// known one.
fn new_start(engine: &Engine, member: &Member, now: Milliseconds) -> Option<Milliseconds> {
    let started_at = member.started.filter(|time| time.is_finite()).map(|time| time.min(now))?;
    let is_known = engine.slow_start.started_at.is_some() && engine.member.started == member.started;
    let is_later = engine.slow_start.started_at.is_none_or(|known| started_at > known);
    (!is_known && is_later).then_some(started_at)
}
