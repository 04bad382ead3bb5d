//! Probes of engines.

use super::timers::Due;
use super::{Core, Effect};
use crate::interface::{EngineId, Event as DecisionEvent, LoadReport, Milliseconds};

/// A probe without an answer.
pub(super) struct Probe {
    engine: EngineId,
    sent_at: Milliseconds,
}

impl Core {
    /// Probes an engine. First probes are held back, so that a fleet that starts at once spreads them.
    pub(super) fn ask_for_probe(&mut self, now: Milliseconds, engine: EngineId, effects: &mut Vec<Effect>) {
        match self.initial_health_checks.ask(engine, now) {
            Some(engine) => self.probe(now, engine, effects),
            None => self.set_timer(self.initial_health_checks.until, Due::InitialHealthChecks),
        }
    }

    /// Sends the probes that were held back at the start.
    pub(super) fn send_first_probes(&mut self, now: Milliseconds, effects: &mut Vec<Effect>) {
        for engine in self.initial_health_checks.due(now) {
            self.probe(now, engine, effects);
        }
    }

    fn probe(&mut self, now: Milliseconds, engine: EngineId, effects: &mut Vec<Effect>) {
        let Some(address) = self.live_address(&engine) else { return };
        self.last_number += 1;
        let tag = self.last_number;
        self.probes.insert(tag, Probe { engine: engine.clone(), sent_at: now });
        self.set_timer(now + self.limits.health_check_timeout, Due::ProbeTimeout(tag));
        effects.push(Effect::CheckHealth(tag, engine, address));
    }

    /// Ends a probe. The late answer of one that timed out changes nothing.
    pub(super) fn probed(&mut self, now: Milliseconds, tag: u64, ok: bool, report: Option<LoadReport>) {
        if let Some(Probe { engine, sent_at }) = self.probes.remove(&tag) {
            self.pending_events.push(DecisionEvent::HealthChecked {
                engine,
                ok,
                took: now - sent_at,
                report,
            });
        }
    }
}
