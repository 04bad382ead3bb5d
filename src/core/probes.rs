//! Probes of engines.

use super::timers::Due;
use super::{Core, Effect};
use crate::interface::Event as DecisionEvent;
use crate::interface::{Availability, EngineId, Ms, Report};

impl Core {
    pub(super) fn probe(&mut self, now: Ms, engine: EngineId, effects: &mut Vec<Effect>) {
        let listed = self.engines.get(&engine).filter(|l| l.member.availability == Availability::Live);
        let Some(address) = listed.map(|l| l.address) else { return };
        self.numbers += 1;
        let tag = self.numbers;
        self.probes.insert(tag, (engine.clone(), now));
        self.timer(now + self.limits.probe, Due::Probe(tag));
        effects.push(Effect::Probe(tag, engine, address));
    }

    pub(super) fn probed(&mut self, now: Ms, tag: u64, ok: bool, report: Option<Report>) {
        if let Some((engine, sent)) = self.probes.remove(&tag) {
            self.pending.push(DecisionEvent::Probed { engine, ok, took: now - sent, report });
        }
    }
}
