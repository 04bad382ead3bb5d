//! Health checks of engines.

use super::timers::TimerKind;
use super::{Core, Effect};
use crate::interface::{EngineId, Event as DecisionEvent, LoadReport, Milliseconds};

/// A health check in flight.
pub(super) struct HealthCheck {
    engine: EngineId,
    sent_at: Milliseconds,
}

impl Core {
    /// Requests a health check of an engine. Initial checks are deferred, so that a fleet that starts at once spreads them over
    /// time.
    pub(super) fn request_health_check(
        &mut self,
        now: Milliseconds,
        engine: EngineId,
        effects: &mut Vec<Effect>,
    ) {
        match self.initial_health_checks.request(engine, now) {
            Some(engine) => self.send_health_check(now, engine, effects),
            None => self.set_timer(self.initial_health_checks.release_at, TimerKind::InitialHealthChecks),
        }
    }

    /// Sends the health checks that were deferred at the start.
    pub(super) fn send_initial_health_checks(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        for engine in self.initial_health_checks.release(now) {
            self.send_health_check(now, engine, effects);
        }
    }

    fn send_health_check(&mut self, now: Milliseconds, engine: EngineId, effects: &mut Vec<Effect>) {
        let Some(address) = self.live_address(&engine) else { return };
        self.last_number += 1;
        let number = self.last_number;
        self.health_checks.insert(number, HealthCheck { engine: engine.clone(), sent_at: now });
        self.set_timer(now + self.limits.health_check_timeout, TimerKind::HealthCheckTimeout(number));
        effects.push(Effect::CheckHealth { number, engine, address });
    }

    /// Ends a health check. A late response to a check that has timed out is ignored.
    pub(super) fn end_health_check(
        &mut self,
        now: Milliseconds,
        number: u64,
        ok: bool,
        report: Option<LoadReport>,
    ) {
        let Some(HealthCheck { engine, sent_at }) = self.health_checks.remove(&number) else { return };
        let elapsed = now - sent_at;
        self.pending_events.push(DecisionEvent::HealthChecked { engine, ok, elapsed, report });
    }
}
