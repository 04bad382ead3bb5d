//! The engines that the gateway goes by: the list of the name service, merged with the operator's hand and with what
//! an earlier process of this gateway heard.

use super::timers::Due;
use super::{Core, Effect, Listed};
use crate::interface::Event as DecisionEvent;
use crate::interface::{Availability, Ms};
use starlingplank_knowledge::recall::Named;
use starlingplank_operation::hand::Hand;
use starlingplank_operation::heard::{Gone, Heard};
use starlingplank_pacing::come_back::ComeBack;
use std::collections::BTreeMap;

/// What an engine of the list is to the gateway.
fn merged(listed: &Listed, hand: &Hand, earlier: Option<&Heard>, now: Ms) -> Listed {
    let mut listed = listed.clone();
    let m = &mut listed.member;
    let id = m.engine.clone();
    m.started = hand.started(&id.0, m.started);
    let kept_out = hand.is_out(&id.0) || earlier.is_some_and(|e| e.keeps_out(&id.0, now));
    if kept_out && m.availability == Availability::Live {
        m.availability = Availability::Draining;
    }
    listed
}

impl Core {
    /// Where the engines of the list are, by their ids.
    pub fn addresses(&self) -> BTreeMap<String, String> {
        self.engines.iter().map(|(id, l)| (id.0.to_string(), l.address.to_string())).collect()
    }

    /// Engines in the list, and how many of them get nothing new: drained, out by hand, or avoided by choice.
    pub fn engines(&self) -> (usize, usize) {
        let live = |l: &&Listed| l.member.availability == Availability::Live;
        let used = self.engines.values().filter(live).filter(|l| !self.module.avoids(&l.member.engine));
        (self.engines.len(), self.engines.len() - used.count())
    }

    /// There is a list service, and what this starts with names no engine: nothing can be served before it is heard.
    pub fn await_list(&mut self, now: Ms) {
        if self.told.is_empty() && self.service.is_none() {
            self.unlisted = Some(ComeBack::new(self.settings.seed, now));
        }
    }

    /// Whether nothing can be served as no list is known yet.
    pub fn awaits_list(&self) -> bool {
        self.unlisted.is_some()
    }

    /// Whether the list names that engine.
    pub fn lists(&self, id: &str) -> bool {
        self.told.iter().any(|l| &*l.member.engine.0 == id)
    }

    /// The number of the list that holds.
    pub fn serial(&self) -> Option<u64> {
        self.serial
    }

    /// The list as the service last told it, what has gone from it, and when it last spoke; none before it did.
    pub fn service_list(&self) -> Option<(Ms, &[Listed], &Gone)> {
        self.service.map(|at| (at, &*self.told, &self.gone))
    }

    /// What a successor is told of the list service: this process's own last word of it, or an earlier one's.
    pub fn heard(&self) -> Option<Heard> {
        let drains = |l: &&Listed| l.member.availability != Availability::Live;
        let drained = self.told.iter().filter(drains).map(|l| l.member.engine.0.to_string());
        let out = || drained.chain(self.gone.ids().map(str::to_owned));
        self.service.map(|at| Heard::new(at, out())).or_else(|| self.earlier.clone())
    }

    /// Lists come whole and numbered; one older than what is known came late and says nothing new.
    pub(super) fn list(&mut self, now: Ms, serial: u64, list: Vec<Listed>, effects: &mut Vec<Effect>) {
        if let Some(known) = self.serial {
            if serial < known {
                return;
            }
            self.service = Some(now);
            // What an earlier process heard binds no longer: the service's own word does.
            if self.earlier.take().is_none() && self.unlisted.is_none() && serial == known {
                return;
            }
        }
        self.serial = Some(serial);
        let ids = list.iter().map(|l| &*l.member.engine.0).collect();
        self.gone.follow(self.told.iter().map(|l| &*l.member.engine.0), &ids);
        self.told = list;
        self.unlisted = None;
        self.merge(now, effects);
    }

    /// The list, the hand and what an earlier process heard make one list: an engine that is out by hand, or was drained
    /// or gone there, is one that drains, so what guards drains guards all three; one that was called back has just
    /// started.
    pub(super) fn merge(&mut self, now: Ms, effects: &mut Vec<Effect>) {
        self.hand.forget(now, self.settings.warm_within);
        let list: Vec<Listed> =
            self.told.iter().map(|l| merged(l, &self.hand, self.earlier.as_ref(), now)).collect();
        let mut before = std::mem::take(&mut self.engines);
        for listed in &list {
            before.remove(&listed.member.engine);
            if listed.member.availability != Availability::Live {
                effects.push(Effect::Shut(listed.member.engine.clone()));
            }
            self.engines.insert(listed.member.engine.clone(), listed.clone());
        }
        for (engine, _) in before {
            effects.push(Effect::Shut(engine.clone()));
            self.timer(now + self.limits.gone_grace, Due::Gone(engine));
        }
        let named = |l: &Listed| Named {
            id: l.member.engine.0.to_string(),
            address: l.address.to_string(),
            started: l.member.started,
        };
        let back =
            self.recall.as_mut().and_then(|r| r.list(&list.iter().map(named).collect::<Vec<_>>(), now));
        let members = list.into_iter().map(|l| l.member).collect();
        self.pending.push(DecisionEvent::Members { whole: true, members });
        self.pending.extend(back.map(|b| DecisionEvent::Recalled(Box::new(b))));
        self.recall.take_if(|r| r.over(now));
    }
}
